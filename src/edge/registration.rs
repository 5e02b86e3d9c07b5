//! An upstream's entry in the platform's registry.

use crate::ident::UpstreamId;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// An adapter of a base model, whatever its version.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterKey {
    /// Base model.
    pub model: Arc<str>,
    /// Adapter's own name.
    pub adapter: Arc<str>,
}

impl AdapterKey {
    /// Joins the two names.
    pub fn new(model: &str, adapter: &str) -> Self {
        Self {
            model: Arc::from(model),
            adapter: Arc::from(adapter),
        }
    }
}

impl std::fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.model, self.adapter)
    }
}

/// An adapter that an upstream lists, and its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldAdapter {
    /// The adapter.
    pub key: AdapterKey,
    /// Version that is held.
    pub version: u32,
}

/// A base model that an upstream lists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldModel {
    /// Name.
    pub name: Arc<str>,
    /// Its adapters.
    pub adapters: Vec<HeldAdapter>,
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It does.
    Serving,
    /// It is leaving.
    Leaving {
        /// Time until it is gone, where the notice names one.
        remaining: Option<Duration>,
    },
}

/// One upstream as it describes itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Registration {
    /// Name, also of the process that answers.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Start of its process in Unix milliseconds; tells a restart under the same name.
    pub born: Option<u64>,
    /// Counts this process's heartbeats; a lower one is older news.
    pub beat: u64,
    /// Base models that it holds; empty for a plain service.
    pub models: Vec<HeldModel>,
}

impl Registration {
    /// Whether both describe the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.id == other.id && self.born == other.born && self.address == other.address
    }

    /// Whether it takes new requests.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }
}
