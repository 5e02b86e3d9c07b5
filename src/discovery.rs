//! Gateway discovery: lists the gateways that a caller may use.

use crate::{fleet::Fleet, ident::rendezvous};
use serde::Serialize;

/// Address of a gateway.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GatewayAddress {
    /// Address, as `IP:port`.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
}

/// Response of `/v1/entries`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GatewayList {
    /// Gateways in order of preference.
    pub entries: Vec<GatewayAddress>,
    /// How long the response may be cached, in seconds.
    pub max_age: u64,
}

/// Lists live gateways that are not leaving: those in `data_centre` first, each group ordered by rendezvous hashing of
/// the caller so that callers spread over the gateways.
pub fn list_gateways(fleet: &Fleet, caller: &str, data_centre: &str, max_age: u64) -> GatewayList {
    let mut gateways: Vec<GatewayAddress> = fleet
        .live()
        .filter_map(|record| {
            let gateway = record.gateway.as_ref().filter(|g| !g.leaving)?;
            let data_centre = record.data_centre.clone();
            Some(GatewayAddress {
                address: gateway.address.clone(),
                data_centre,
            })
        })
        .collect();
    gateways = rendezvous(caller, &gateways, |e| &e.address)
        .into_iter()
        .cloned()
        .collect();
    gateways.sort_by_key(|e| e.data_centre != data_centre);
    GatewayList {
        entries: gateways,
        max_age,
    }
}
