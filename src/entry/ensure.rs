//! Loads an adapter to an engine unless it is resident, through the local controller or the engine's holder.

use crate::{
    entry::{
        context::Entry,
        messages::{EnsureRequest, EnsureResult},
        peer_link,
    },
    holding::lock,
};
use std::sync::Arc;

/// Loads an adapter unless it is resident, through the local controller or the engine's holder.
pub async fn ensure_adapter(entry: &Arc<Entry>, request: EnsureRequest) -> EnsureResult {
    let controller = lock(&entry.controllers).get(&request.upstream).cloned();
    if let Some(controller) = controller {
        return controller.ensure_adapter(request).await;
    }
    let holder = entry.holder_link(&request.upstream);
    match holder {
        Some(address) => peer_link::request_adapter(entry, address, &request).await,
        None => EnsureResult::NotHolder,
    }
}
