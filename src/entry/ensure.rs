//! Brings an adapter to an engine, here or through its holder.

use crate::{
    edge::registration::AdapterKey,
    entry::{context::Entry, messages::EnsureResult, peer_link},
    holding::lock,
    ident::UpstreamId,
};
use std::sync::Arc;

/// Brings `key` to `upstream`, here or through its holder.
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
        Some(address) => peer_link::ask(entry, address, upstream, key, version).await,
        None => EnsureResult::NotHolder,
    }
}
