//! Client of the platform's VM list, which says which VMs are live and which are leaving.

use crate::http_client::{self, CallError, HttpClient};
use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Interval between polls of the list.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Accepts work.
    Live,
    /// Must be given no new work.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Vm {
    /// Name.
    pub id: String,
    /// Address of the process on the VM.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Pool in the catalogue, or [`ENTRY_POOL`].
    pub pool: String,
    /// State.
    pub state: VmState,
}

/// Pool name of the VMs that run this system's own processes.
pub const ENTRY_POOL: &str = "entry";

/// All VMs.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmList {
    /// VMs.
    pub vms: Vec<Vm>,
}

/// Reads the list.
///
/// # Errors
/// The list could not be read.
pub async fn read(client: &HttpClient, address: SocketAddr) -> Result<VmList, CallError> {
    let uri = format!("http://{address}/vms");
    let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
    let response = http_client::call(client, request, READ_TIMEOUT).await?;
    if response.status != 200 {
        return Err(CallError::Unknown);
    }
    serde_json::from_slice(&response.body).map_err(|_e| CallError::Unknown)
}
