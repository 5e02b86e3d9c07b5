//! Orders to model engines, and their reports.

use crate::{
    edge::registration::{AdapterKey, HeldModel, Registration},
    ident::Generation,
};
use std::sync::Arc;

/// What an engine is told to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load a base model.
    LoadModel(Arc<str>),
    /// Load an adapter, at the newest version where none is named; replaces another version.
    LoadAdapter(AdapterKey, Option<u32>),
    /// Evict an adapter once its runs have ended.
    EvictAdapter(AdapterKey),
}

impl Order {
    /// Name in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::LoadModel(_) => "load-model",
            Self::LoadAdapter(..) => "load-adapter",
            Self::EvictAdapter(_) => "evict-adapter",
        }
    }
}

/// Who gives an order, and under which fencing number.
#[derive(Clone, Copy, Debug)]
pub struct OrderIssuer<'a> {
    /// Name of the VM.
    pub holder: &'a str,
    /// Fencing number.
    pub generation: Generation,
    /// Orders that the engine must have accepted before this one, where that matters.
    pub expected_orders: Option<u64>,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// It is being carried out.
    Accepted,
    /// What was ordered already holds.
    AlreadySatisfied,
    /// Another order is in the way, or more or fewer were accepted than expected.
    Busy,
    /// A higher fencing number is known.
    Fenced,
    /// Another process has the address.
    OtherProcess,
    /// The engine can't carry it out.
    Invalid,
    /// It was not sent.
    NotSent,
    /// No answer: it may be carried out now, or seconds later.
    Unknown,
}

impl OrderResponse {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::AlreadySatisfied => "holds",
            Self::Busy => "busy",
            Self::Fenced => "fenced",
            Self::OtherProcess => "other-process",
            Self::Invalid => "invalid",
            Self::NotSent => "not-sent",
            Self::Unknown => "unknown",
        }
    }
}

/// What an engine says of itself, some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Base models and adapters that it holds.
    pub models: Vec<HeldModel>,
    /// Adapters on their way to it.
    pub loading: Vec<AdapterKey>,
    /// Orders that this process accepted.
    pub accepted_orders: u64,
}

impl EngineReport {
    /// Whether what `order` asks for holds.
    pub fn satisfies(&self, order: &Order) -> bool {
        let held = || self.models.iter().flat_map(|m| &m.adapters);
        match order {
            Order::LoadModel(model) => self.models.iter().any(|m| m.name == *model),
            Order::LoadAdapter(key, version) => {
                held().any(|a| a.key == *key && version.is_none_or(|v| a.version >= v))
            }
            Order::EvictAdapter(key) => {
                !held().any(|a| a.key == *key) && !self.loading.contains(key)
            }
        }
    }
}

/// Gives orders to engines.
pub trait OrderClient: Clone + Send + Sync + 'static {
    /// Gives an order to the process that `upstream` describes.
    fn send(
        &self,
        upstream: &Registration,
        issuer: OrderIssuer<'_>,
        order: &Order,
    ) -> impl Future<Output = OrderResponse> + Send;

    /// Reads the engine's report; `None` where there was none that could be read.
    fn fetch_report(
        &self,
        upstream: &Registration,
    ) -> impl Future<Output = Option<EngineReport>> + Send;
}
