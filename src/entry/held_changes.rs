//! Changes of the engines that an entry holds, as updates tell them.

use crate::{
    edge::registration::AdapterKey,
    entry::{
        messages::HeldChange,
        peers::{EngineWithHolder, HeldEngine},
    },
    ident::UpstreamId,
};
use std::sync::Arc;

/// State of an engine as last sent to the peer.
#[derive(Clone, Debug)]
pub struct SentEngine {
    /// State and holder.
    pub held: EngineWithHolder,
    /// Whether orders may be sent; for this entry's engines that also depends on the lease.
    pub active: bool,
}

impl SentEngine {
    /// Returns whether the peer has been told the same.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.held.engine, &other.held.engine)
            && self.held.holder == other.held.holder
            && self.active == other.active
    }
}

/// Returns the change of an engine that is no longer held.
pub fn released(upstream: &UpstreamId, holder: &Arc<str>) -> HeldChange {
    HeldChange {
        upstream: Arc::clone(upstream),
        holder: Arc::clone(holder),
        generation: 0,
        active: false,
        released: true,
        came: Vec::new(),
        went: Vec::new(),
    }
}

/// Returns the change from `before`, if it was sent at all, to `after`.
pub fn difference(
    upstream: &UpstreamId,
    before: Option<&HeldEngine>,
    after: &SentEngine,
) -> HeldChange {
    let engine = &after.held.engine;
    let known = |key: &AdapterKey| before.and_then(|b| b.adapters.get(key));
    let came = engine.adapters.iter();
    let came = came.filter(|(k, v)| known(k) != Some(*v));
    let went = before.into_iter().flat_map(|b| b.adapters.keys());
    let went = went.filter(|k| !engine.adapters.contains_key(*k));
    HeldChange {
        upstream: Arc::clone(upstream),
        holder: Arc::clone(&after.held.holder),
        generation: engine.generation,
        active: after.active,
        released: false,
        came: came.map(|(k, v)| (k.clone(), *v)).collect(),
        went: went.cloned().collect(),
    }
}
