//! Loads an adapter to an engine unless it is resident, through the local controller or the engine's holder.

use crate::{
    edge::registration::AdapterKey,
    entry::{context::Entry, messages::EnsureResult, peer_link},
    holding::lock,
    ident::UpstreamId,
};
use std::sync::Arc;

/// Loads `key` to `upstream` unless it is resident, through the local controller or the engine's holder.
pub async fn ensure_adapter(
    entry: &Arc<Entry>,
    upstream: &UpstreamId,
    key: &AdapterKey,
    version: u32,
) -> EnsureResult {
    let controller = lock(&entry.controllers).get(upstream).cloned();
    if let Some(controller) = controller {
        return controller.ensure_adapter(key.clone(), version).await;
    }
    let holder = entry.holder_link(upstream);
    match holder {
        Some(address) => peer_link::request_adapter(entry, address, upstream, key, version).await,
        None => EnsureResult::NotHolder,
    }
}
