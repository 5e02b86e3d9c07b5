//! Tells callers which gateways to use.

use crate::{fleet::Fleet, ident::rendezvous};
use serde::Serialize;

/// An address that a caller may use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GatewayAddress {
    /// Address, as `IP:port`.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
}

/// Answer of `/v1/entries`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GatewayList {
    /// Addresses, the one to try first at the front.
    pub entries: Vec<GatewayAddress>,
    /// How long the answer may be kept, in seconds.
    pub max_age: u64,
}

/// Live gateways that are not leaving: the nearest data centre first, spread over callers by hashing.
pub fn list_gateways(fleet: &Fleet, caller: &str, data_centre: &str, max_age: u64) -> GatewayList {
    let mut open: Vec<GatewayAddress> = fleet
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
    open = rendezvous(caller, &open, |e| &e.address)
        .into_iter()
        .cloned()
        .collect();
    open.sort_by_key(|e| e.data_centre != data_centre);
    GatewayList {
        entries: open,
        max_age,
    }
}
