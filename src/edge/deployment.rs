//! The operator's configuration: routes, services and limits.

use crate::ident::Revision;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::{
    fmt::{Debug, Formatter},
    sync::Arc,
    time::Duration,
};

/// A complete configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Deployment {
    /// Revision of the configuration; increases with each change, not always by one.
    pub revision: Revision,
    /// Routes, unordered.
    pub routes: Vec<Route>,
    /// Services that the routes refer to.
    pub services: Vec<Service>,
    /// Size limits of callers' requests.
    pub limits: Limits,
    /// Customers that may send requests; `None` if requests need no key.
    pub customers: Option<Vec<Customer>>,
}

/// Customer whose callers send requests with one of its keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Name, which upstreams get.
    pub name: Arc<str>,
    /// Digests of its keys; the keys themselves are not kept.
    pub keys: Vec<KeyDigest>,
    /// Priority that takes precedence over the route's, if any; 0 is the highest.
    pub priority: Option<u8>,
    /// Limit of its requests over all entries; `None` if there is none.
    pub quota: Option<Quota>,
}

/// SHA-256 digest of a customer's key.
#[derive(Clone, Copy, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl Debug for KeyDigest {
    /// Hides the digest, as logs must not tell keys apart.
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Limit of a customer's requests over all entries together.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Tokens a second.
    pub per_second: f64,
    /// Tokens beyond that at once.
    pub burst: f64,
    /// Tokens of a request that names no token usage.
    pub plain_tokens: f64,
}

/// Rule that maps requests to services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Kind, which decides what may be retried.
    pub kind: RouteKind,
    /// Upper bound of a request's time to its deadline.
    pub timeout: Duration,
    /// Target latency of a response, or of a stream's first event.
    pub target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Weighted target services.
    pub targets: Vec<Target>,
    /// Largest number of attempts per request.
    pub attempts: u32,
    /// Whether its requests need no key although there are customers.
    pub public: bool,
}

/// A weighted target service of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight, relative to the sum of all weights.
    pub weight: u32,
}

/// Kind of a route's requests, which decides what may be retried.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// Running the request again is harmless.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
    /// A stream whose request must run at most once.
    Stream,
    /// A stream that another upstream can resume after its last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request that may have run can be retried.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at-most-once",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable-stream",
        }
    }
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Largest number of connections that one upstream accepts in total.
    pub connections: u32,
    /// Capacity of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Capacity of a service's model engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Largest number of requests in a batch.
    pub batch: u32,
    /// Capacity of the KV cache, in tokens of prompts and outputs.
    pub cache_tokens: u64,
    /// Adapter slots of an engine; an adapter that is being loaded takes one.
    pub adapter_slots: u32,
    /// Memory for weights and adapters, in megabytes.
    pub capacity_mb: f64,
    /// Base model loads per second that the weight store allows across all engines.
    pub load_rate: f64,
    /// Base models that the engines can load.
    pub models: Vec<BaseModel>,
}

/// A base model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaseModel {
    /// Name.
    pub name: Arc<str>,
    /// Size of the weights, in megabytes.
    pub weights_mb: f64,
    /// Size of one of its adapters, in megabytes.
    pub adapter_mb: f64,
    /// Duration of a load from the weight store.
    pub load: Duration,
}

/// Size limits of callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
        }
    }
}

impl Route {
    /// Returns the priority of requests of `customer`: its own if it has one, else the route's.
    pub fn priority_of(&self, customer: Option<&Customer>) -> u8 {
        let priority = customer.and_then(|c| c.priority);
        priority.unwrap_or(self.priority)
    }
}

impl Deployment {
    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }
}
