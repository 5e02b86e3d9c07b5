//! The platform's VM list: which VMs are live and which are leaving.

use crate::http_client::{self, CallError, HttpClient};
use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Interval between reads.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Takes work.
    Live,
    /// Must get no new work.
    Leaving,
}

/// A VM as listed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Vm {
    /// Name.
    pub id: String,
    /// Address of the process that it runs.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Pool of the catalogue, or `entry` for our own VMs.
    pub pool: String,
    /// State.
    pub state: VmState,
}

/// Pool name of our own VMs.
pub const ENTRY_POOL: &str = "entry";

/// Every VM.
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
    let answer = http_client::call(client, request, READ_TIMEOUT).await?;
    if answer.status != 200 {
        return Err(CallError::Unknown);
    }
    serde_json::from_slice(&answer.body).map_err(|_e| CallError::Unknown)
}
