//! What a gateway knows of the upstreams, from all dispatchers' updates.

use crate::{
    clock::BootInstant,
    holding::lock,
    ident::{DispatcherId, UpstreamId},
    sync_client::SILENCE,
    wire::{SyncUpdate, UpstreamStatus},
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use tokio::sync::Notify;

/// One dispatcher as last heard of.
#[derive(Debug)]
struct Seen {
    id: DispatcherId,
    at: BootInstant,
    upstreams: HashMap<UpstreamId, UpstreamStatus>,
}

/// An upstream and the dispatcher that holds it.
#[derive(Clone, Debug)]
pub struct LocatedUpstream {
    /// Dispatcher's link address.
    pub address: SocketAddr,
    /// Last report.
    pub status: UpstreamStatus,
    /// Requests that this gateway has there.
    pub own_in_flight: u32,
}

/// All upstreams as last heard of.
#[derive(Debug, Default)]
pub struct UpstreamView {
    seen: Mutex<HashMap<SocketAddr, Seen>>,
    own: Arc<Mutex<HashMap<UpstreamId, u32>>>,
    /// Told when something changed that may let a waiting request go on.
    pub changed: Notify,
}

impl UpstreamView {
    /// Takes in an update.
    pub fn update(&self, address: SocketAddr, update: &SyncUpdate, at: BootInstant) {
        let mut all = lock(&self.seen);
        let seen = all.entry(address).or_insert_with(|| Seen {
            id: Arc::clone(&update.from),
            at,
            upstreams: HashMap::new(),
        });
        if update.sequence == 0 {
            seen.upstreams.clear();
        }
        seen.id = Arc::clone(&update.from);
        seen.at = at;
        for (id, generation) in &update.released {
            if seen
                .upstreams
                .get(id)
                .is_some_and(|s| s.generation <= *generation)
            {
                seen.upstreams.remove(id);
            }
        }
        for status in &update.changed {
            seen.upstreams
                .insert(Arc::clone(&status.id), status.clone());
        }
        drop(all);
        self.changed.notify_waiters();
    }

    /// Forgets a dispatcher whose subscription broke.
    pub fn remove_dispatcher(&self, address: SocketAddr) {
        lock(&self.seen).remove(&address);
        self.changed.notify_waiters();
    }

    /// Upstreams of some pools, each at its latest holder.
    pub fn upstreams(&self, pools: &[String], now: BootInstant) -> Vec<LocatedUpstream> {
        let own = lock(&self.own).clone();
        let mut best = HashMap::<UpstreamId, LocatedUpstream>::new();
        for (address, seen) in lock(&self.seen).iter() {
            if now.since(seen.at) > SILENCE {
                continue;
            }
            let wanted = |s: &&UpstreamStatus| pools.iter().any(|p| **p == *s.pool);
            for status in seen.upstreams.values().filter(wanted) {
                let later = best
                    .get(&status.id)
                    .is_none_or(|l| l.status.generation < status.generation);
                if later {
                    let own_in_flight = own.get(&status.id).copied().unwrap_or(0);
                    let located = LocatedUpstream {
                        address: *address,
                        status: status.clone(),
                        own_in_flight,
                    };
                    best.insert(Arc::clone(&status.id), located);
                }
            }
        }
        best.into_values().collect()
    }

    /// Counts a request at an upstream until the guard is dropped.
    pub fn track_request(&self, upstream: &UpstreamId) -> InFlightGuard {
        *lock(&self.own).entry(Arc::clone(upstream)).or_insert(0) += 1;
        InFlightGuard {
            own: Arc::clone(&self.own),
            upstream: Arc::clone(upstream),
        }
    }

    /// Number of dispatchers heard of.
    pub fn dispatcher_count(&self) -> usize {
        lock(&self.seen).len()
    }
}

/// One of this gateway's requests at an upstream.
#[derive(Debug)]
pub struct InFlightGuard {
    own: Arc<Mutex<HashMap<UpstreamId, u32>>>,
    upstream: UpstreamId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut own = lock(&self.own);
        if let Some(count) = own.get_mut(&self.upstream) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                own.remove(&self.upstream);
            }
        }
    }
}
