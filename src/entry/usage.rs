//! Counts of this entry's requests in flight at the upstreams.

use crate::{edge::registration::AdapterKey, holding::lock, ident::UpstreamId};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

/// Counts of one adapter at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdapterCounts {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests since the start of the process, including those of entries that this one relays for.
    pub requests: u64,
}

/// Counts of one upstream.
#[derive(Debug, Default)]
struct Counts {
    in_flight: u32,
    adapters: HashMap<AdapterKey, AdapterCounts>,
}

/// Counts of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Usage(Arc<Mutex<HashMap<UpstreamId, Counts>>>);

/// Guard of one counted request; dropping it ends the count.
#[derive(Debug)]
pub struct UsageGuard {
    usage: Usage,
    upstream: UpstreamId,
    key: Option<AdapterKey>,
}

impl Usage {
    /// Counts a request until the guard is dropped.
    pub fn begin(&self, upstream: &UpstreamId, key: Option<&AdapterKey>) -> UsageGuard {
        let mut all = lock(&self.0);
        let counts = all.entry(Arc::clone(upstream)).or_default();
        counts.in_flight += 1;
        if let Some(key) = key {
            let count = counts.adapters.entry(key.clone()).or_default();
            count.in_flight += 1;
            count.requests += 1;
        }
        UsageGuard {
            usage: self.clone(),
            upstream: Arc::clone(upstream),
            key: key.cloned(),
        }
    }

    /// Adds requests of an entry that this one relays for.
    pub fn add_relayed_requests(&self, upstream: &UpstreamId, key: &AdapterKey, requests: u32) {
        let mut all = lock(&self.0);
        let counts = all.entry(Arc::clone(upstream)).or_default();
        let count = counts.adapters.entry(key.clone()).or_default();
        count.requests += u64::from(requests);
    }

    /// Returns the number of requests in flight at `upstream`.
    pub fn in_flight(&self, upstream: &str) -> u32 {
        lock(&self.0).get(upstream).map_or(0, |c| c.in_flight)
    }

    /// Returns whether a request in flight uses `key` at `upstream`.
    pub fn uses_adapter(&self, upstream: &str, key: &AdapterKey) -> bool {
        let all = lock(&self.0);
        let count = all.get(upstream).and_then(|c| c.adapters.get(key));
        count.is_some_and(|c| c.in_flight > 0)
    }

    /// Returns the number of requests in flight at every upstream that has any.
    pub fn in_flight_by_upstream(&self) -> Vec<(UpstreamId, u32)> {
        let all = lock(&self.0);
        let busy = all.iter().filter(|(_, c)| c.in_flight > 0);
        busy.map(|(id, c)| (Arc::clone(id), c.in_flight)).collect()
    }

    /// Returns the upstreams that have counts, those without requests in flight included.
    pub fn upstreams(&self) -> Vec<UpstreamId> {
        lock(&self.0).keys().cloned().collect()
    }

    /// Returns the counts of the adapters at `upstream`.
    pub fn adapters(&self, upstream: &str) -> Vec<(AdapterKey, AdapterCounts)> {
        let all = lock(&self.0);
        let adapters = all.get(upstream).map(|c| c.adapters.iter());
        let adapters = adapters.into_iter().flatten();
        adapters.map(|(key, count)| (key.clone(), *count)).collect()
    }

    /// Drops the counts of an upstream unless it has requests in flight.
    pub fn forget(&self, upstream: &str) {
        let mut all = lock(&self.0);
        if all.get(upstream).is_some_and(|c| c.in_flight == 0) {
            all.remove(upstream);
        }
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        let mut all = lock(&self.usage.0);
        let Some(counts) = all.get_mut(&self.upstream) else {
            return;
        };
        counts.in_flight = counts.in_flight.saturating_sub(1);
        if let Some(key) = &self.key
            && let Some(count) = counts.adapters.get_mut(key)
        {
            count.in_flight = count.in_flight.saturating_sub(1);
        }
    }
}
