//! The operator's configuration: routes, services and limits.

use crate::ident::Revision;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// A whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Deployment {
    /// Grows with each configuration, in uneven steps.
    pub revision: Revision,
    /// Routes in no order.
    pub routes: Vec<Route>,
    /// Services that routes name.
    pub services: Vec<Service>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// Which requests go to which services, and how.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer (a stream's first event) is of full worth.
    pub target: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services and their shares.
    pub targets: Vec<Target>,
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
}

/// One service of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share, against the sum of all shares.
    pub weight: u32,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// Idempotent: a second run does no harm.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// A stream that runs at most once.
    Stream,
    /// A stream that another upstream may take up after its last event.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request that may have run may be sent again from its start.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at-most-once",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable-stream",
        }
    }
}

/// A group of upstreams that run the same.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Connections that one upstream takes from all callers together.
    pub connections: u32,
    /// What its upstreams can hold; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Sizes of a service's model engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub batch: u32,
    /// Tokens of prompts and answers that fit in memory.
    pub cache_tokens: u64,
    /// Adapters that an engine holds, those on their way included.
    pub adapter_slots: u32,
    /// Room for weights and adapters, in megabytes.
    pub capacity_mb: f64,
    /// Loads of base models from the weight store, a second, over all engines.
    pub load_rate: f64,
    /// Base models.
    pub models: Vec<BaseModel>,
}

/// A base model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaseModel {
    /// Name.
    pub name: Arc<str>,
    /// Size, in megabytes.
    pub weights_mb: f64,
    /// Size of one of its adapters, in megabytes.
    pub adapter_mb: f64,
    /// Time of a load from the weight store.
    pub load: Duration,
}

/// Bounds on what callers may send.
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

impl Deployment {
    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }
}
