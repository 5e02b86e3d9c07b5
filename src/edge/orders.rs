//! Orders to model engines, and the engines' reports.

use crate::{
    edge::registration::{AdapterKey, HeldAdapter, HeldModel, Registration},
    ident::Generation,
};
use std::{sync::Arc, time::Duration};

/// Load or eviction command to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load a base model.
    LoadModel(Arc<str>),
    /// Load an adapter, replacing any other version; the newest version if none is given.
    LoadAdapter(AdapterKey, Option<u32>),
    /// Evict an adapter once no request in flight uses it.
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

/// Issuer of an order and its fencing number.
#[derive(Clone, Copy, Debug)]
pub struct OrderIssuer<'a> {
    /// Name of the holder.
    pub holder: &'a str,
    /// Fencing number.
    pub generation: Generation,
    /// Number of orders that the engine must have accepted before this one; `None` if it is not checked.
    pub expected_orders: Option<u64>,
}

/// Engine's response to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// The order is being executed.
    Accepted,
    /// The engine is already in the ordered state.
    AlreadySatisfied,
    /// Another order is being executed, or the number of accepted orders differs from the expected one.
    Busy,
    /// The engine knows a higher fencing number.
    Fenced,
    /// Another process has the address.
    OtherProcess,
    /// The engine can't execute the order.
    Invalid,
    /// The order was not sent.
    NotSent,
    /// No response: the order may be executed now, or seconds later.
    Unknown,
    /// The engine wants nothing for this time; like no response otherwise.
    HoldOff(Duration),
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
            Self::HoldOff(_) => "hold-off",
        }
    }
}

/// State reported by an engine; a few hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Base models and adapters that are loaded.
    pub models: Vec<HeldModel>,
    /// Adapters that are being loaded; each has a slot beside that of an older version.
    pub loading: Vec<HeldAdapter>,
    /// Number of orders that the engine process has accepted.
    pub accepted_orders: u64,
}

impl EngineReport {
    /// Returns the adapters that are loaded.
    pub fn adapters(&self) -> impl Iterator<Item = &HeldAdapter> {
        self.models.iter().flat_map(|m| &m.adapters)
    }

    /// Returns whether any version of `key` is being loaded.
    pub fn is_loading(&self, key: &AdapterKey) -> bool {
        self.loading.iter().any(|a| a.key == *key)
    }

    /// Returns whether the engine is in the state that `order` asks for.
    pub fn satisfies(&self, order: &Order) -> bool {
        match order {
            Order::LoadModel(model) => self.models.iter().any(|m| m.name == *model),
            Order::LoadAdapter(key, version) => {
                let is_wanted = |a: &HeldAdapter| version.is_none_or(|v| a.version >= v);
                self.adapters().any(|a| a.key == *key && is_wanted(a))
            }
            Order::EvictAdapter(key) => {
                !self.adapters().any(|a| a.key == *key) && !self.is_loading(key)
            }
        }
    }
}

/// An engine did not send its report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NoReport {
    /// Time for which the engine wants nothing, if it says so.
    pub retry_after: Option<Duration>,
}

/// Client for orders to engines.
pub trait OrderClient: Clone + Send + Sync + 'static {
    /// Sends an order to the process that `upstream` describes.
    fn send(
        &self,
        upstream: &Registration,
        issuer: OrderIssuer<'_>,
        order: &Order,
    ) -> impl Future<Output = OrderResponse> + Send;

    /// Fetches the engine's report.
    ///
    /// # Errors
    /// There was no valid response.
    fn fetch_report(
        &self,
        upstream: &Registration,
    ) -> impl Future<Output = Result<EngineReport, NoReport>> + Send;
}
