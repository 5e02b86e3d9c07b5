//! Commands to the controller of an engine, and what the rest of the entry sees of it.

use crate::{
    decide::{load_limit::LoadCounts, reservations::CopyVersion, takeover::LateOrder},
    edge::registration::{AdapterKey, Registration},
    entry::{
        messages::{EnsureRequest, EnsureResult},
        peers::HeldEngine,
    },
    holding::lock,
    ident::Generation,
};
use log::warn;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, oneshot};

/// Capacity of a controller's command channel.
pub const COMMAND_QUEUE: usize = 1_024;

/// Command to a controller.
#[derive(Debug)]
pub enum Command {
    /// Load an adapter unless it is resident, and respond with the result.
    Ensure(EnsureRequest, oneshot::Sender<EnsureResult>),
    /// This many requests for an adapter were sent.
    Requested(AdapterKey, u32),
    /// The engine's registration lists these adapters, with their versions.
    Reported(Vec<(AdapterKey, u32)>),
    /// The engine reported that it lacks an adapter at this version.
    Missing(AdapterKey, u32),
}

/// Handle to a running controller.
#[derive(Clone, Debug)]
pub struct ControllerHandle {
    /// The engine's process.
    pub upstream: Arc<Registration>,
    /// Fencing number.
    pub generation: Generation,
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) engine: Arc<Mutex<Arc<HeldEngine>>>,
    pub(super) loads: Arc<Mutex<LoadCounts>>,
    pub(super) late_copies: Arc<Mutex<Vec<(AdapterKey, CopyVersion)>>>,
}

impl ControllerHandle {
    /// Returns the known state of the engine; the value is replaced at each change.
    pub fn engine(&self) -> Arc<HeldEngine> {
        Arc::clone(&lock(&self.engine))
    }

    /// Returns the engine's loads under way and waiting.
    pub fn loads(&self) -> LoadCounts {
        *lock(&self.loads)
    }

    /// Returns the version of `key` that requests may use, and whether orders may be sent.
    pub fn lookup(&self, key: &AdapterKey) -> (Option<u32>, bool) {
        let engine = lock(&self.engine);
        (engine.adapters.get(key).copied(), engine.active)
    }

    /// Returns orders that the engine may still execute.
    pub fn late_orders(&self) -> Vec<LateOrder> {
        let copies = lock(&self.late_copies).clone();
        let orders = copies.into_iter().map(|(key, version)| LateOrder {
            upstream: Arc::clone(&self.upstream.id),
            key,
            version,
        });
        orders.collect()
    }

    /// Sends a command; it is dropped if the controller's queue is full.
    pub fn send(&self, command: Command) {
        if self.commands.try_send(command).is_err() {
            warn!(upstream = &*self.upstream.id; "the controller's command queue is full; a command was dropped");
        }
    }

    /// Loads an adapter unless it is resident, and waits for the result.
    pub async fn ensure_adapter(&self, request: EnsureRequest) -> EnsureResult {
        let (reply, response) = oneshot::channel();
        let command = Command::Ensure(request, reply);
        if self.commands.try_send(command).is_err() {
            return EnsureResult::Full;
        }
        response.await.unwrap_or(EnsureResult::NotHolder)
    }
}
