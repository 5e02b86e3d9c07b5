//! Registration of an upstream in the platform's registry.

use crate::ident::UpstreamId;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// An adapter of a base model, regardless of its version.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterKey {
    /// Base model.
    pub model: Arc<str>,
    /// Name of the adapter.
    pub adapter: Arc<str>,
}

impl AdapterKey {
    /// Creates a key from the two names.
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

/// An adapter version that an upstream lists as loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldAdapter {
    /// The adapter.
    pub key: AdapterKey,
    /// Loaded version.
    pub version: u32,
}

/// A base model that an upstream lists as loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldModel {
    /// Name.
    pub name: Arc<str>,
    /// Loaded adapters of this model.
    pub adapters: Vec<HeldAdapter>,
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It takes new requests.
    Serving,
    /// It is shutting down.
    Leaving {
        /// Time until it stops, if announced.
        remaining: Option<Duration>,
    },
}

/// Software of an upstream. A stream that one build began can't go on at another: what they write doesn't fit together.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Build {
    /// Service.
    pub service: Arc<str>,
    /// Version of the software, without an order.
    pub version: BuildVersion,
}

/// Version of an upstream's software.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum BuildVersion {
    /// The upstream names it.
    Named(Arc<str>),
    /// The upstream names none, so that no other one is known to have the same.
    OnlyAt(UpstreamId),
}

impl std::fmt::Display for Build {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.version {
            BuildVersion::Named(version) => write!(f, "{}:{version}", self.service),
            BuildVersion::OnlyAt(upstream) => write!(f, "{}:only-at-{upstream}", self.service),
        }
    }
}

/// An upstream's own description of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Registration {
    /// Name of the upstream, and of its process in request and response headers.
    pub id: UpstreamId,
    /// Service to which it belongs.
    pub service: Arc<str>,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Largest number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Start time of its process, in milliseconds since the Unix epoch; reveals a restart under the same name.
    pub born: Option<u64>,
    /// Number of this process's heartbeats; a lower number is stale.
    pub beat: u64,
    /// Version of its software, if it names one.
    pub software: Option<Arc<str>>,
    /// Loaded base models; empty for a plain service.
    pub models: Vec<HeldModel>,
}

impl Registration {
    /// Returns whether both describe the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.id == other.id
            && self.born == other.born
            && self.address == other.address
            && self.software == other.software
    }

    /// Returns its build.
    pub fn build(&self) -> Build {
        let named = self.software.clone().map(BuildVersion::Named);
        let version = named.unwrap_or_else(|| BuildVersion::OnlyAt(Arc::clone(&self.id)));
        Build {
            service: Arc::clone(&self.service),
            version,
        }
    }

    /// Returns whether it takes new requests.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }
}
