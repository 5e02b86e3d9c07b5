//! A gateway's view of the upstreams, merged from the updates of all dispatchers.

use crate::{
    clock::BootInstant,
    holding::lock,
    ident::{DispatcherId, UpstreamId},
    sync_client::SILENCE_TIMEOUT,
    wire::{SyncUpdate, UpstreamStatus},
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use tokio::sync::Notify;

/// Last known state of one dispatcher.
#[derive(Debug)]
struct DispatcherState {
    id: DispatcherId,
    at: BootInstant,
    upstreams: HashMap<UpstreamId, UpstreamStatus>,
}

/// An upstream and the dispatcher that holds it.
#[derive(Clone, Debug)]
pub struct LocatedUpstream {
    /// Dispatcher's link address.
    pub address: SocketAddr,
    /// Last known status.
    pub status: UpstreamStatus,
    /// Requests of this gateway in flight there.
    pub own_in_flight: u32,
}

/// Last known state of all upstreams.
#[derive(Debug, Default)]
pub struct UpstreamView {
    dispatchers: Mutex<HashMap<SocketAddr, DispatcherState>>,
    own_in_flight: Arc<Mutex<HashMap<UpstreamId, u32>>>,
    /// Notified of every change, as it may let a waiting request proceed.
    pub changed: Notify,
}

impl UpstreamView {
    /// Applies an update.
    pub fn update(&self, address: SocketAddr, update: &SyncUpdate, at: BootInstant) {
        let mut dispatchers = lock(&self.dispatchers);
        let dispatcher = dispatchers
            .entry(address)
            .or_insert_with(|| DispatcherState {
                id: Arc::clone(&update.from),
                at,
                upstreams: HashMap::new(),
            });
        if update.sequence == 0 {
            dispatcher.upstreams.clear();
        }
        dispatcher.id = Arc::clone(&update.from);
        dispatcher.at = at;
        for (id, generation) in &update.released {
            if dispatcher
                .upstreams
                .get(id)
                .is_some_and(|s| s.generation <= *generation)
            {
                dispatcher.upstreams.remove(id);
            }
        }
        for status in &update.changed {
            dispatcher
                .upstreams
                .insert(Arc::clone(&status.id), status.clone());
        }
        drop(dispatchers);
        self.changed.notify_waiters();
    }

    /// Removes a dispatcher whose subscription broke.
    pub fn remove_dispatcher(&self, address: SocketAddr) {
        lock(&self.dispatchers).remove(&address);
        self.changed.notify_waiters();
    }

    /// Returns the upstreams of `pools`, each at the holder with the highest generation.
    pub fn upstreams(&self, pools: &[String], now: BootInstant) -> Vec<LocatedUpstream> {
        let own = lock(&self.own_in_flight).clone();
        let mut latest = HashMap::<UpstreamId, LocatedUpstream>::new();
        for (address, dispatcher) in lock(&self.dispatchers).iter() {
            if now.since(dispatcher.at) > SILENCE_TIMEOUT {
                continue;
            }
            let in_pools = |s: &&UpstreamStatus| pools.iter().any(|p| **p == *s.pool);
            for status in dispatcher.upstreams.values().filter(in_pools) {
                let is_newer = latest
                    .get(&status.id)
                    .is_none_or(|l| l.status.generation < status.generation);
                if is_newer {
                    let own_in_flight = own.get(&status.id).copied().unwrap_or(0);
                    let located = LocatedUpstream {
                        address: *address,
                        status: status.clone(),
                        own_in_flight,
                    };
                    latest.insert(Arc::clone(&status.id), located);
                }
            }
        }
        latest.into_values().collect()
    }

    /// Counts a request as in flight at an upstream until the guard is dropped.
    pub fn track_request(&self, upstream: &UpstreamId) -> InFlightGuard {
        *lock(&self.own_in_flight)
            .entry(Arc::clone(upstream))
            .or_insert(0) += 1;
        InFlightGuard {
            own_in_flight: Arc::clone(&self.own_in_flight),
            upstream: Arc::clone(upstream),
        }
    }

    /// Returns the number of known dispatchers.
    pub fn dispatcher_count(&self) -> usize {
        lock(&self.dispatchers).len()
    }
}

/// A request of this gateway in flight at an upstream; counted until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    own_in_flight: Arc<Mutex<HashMap<UpstreamId, u32>>>,
    upstream: UpstreamId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut own = lock(&self.own_in_flight);
        if let Some(count) = own.get_mut(&self.upstream) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                own.remove(&self.upstream);
            }
        }
    }
}
