//! This entry's own requests at the upstreams, counted while they run.

use crate::{edge::registration::AdapterKey, holding::lock, ident::UpstreamId};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

/// Use of one adapter at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdapterCount {
    /// Requests in flight.
    pub running: u32,
    /// Requests since the start of the process, those of entries for which this one speaks included.
    pub asked: u64,
}

/// Counts of one upstream.
#[derive(Debug, Default)]
struct Counts {
    running: u32,
    adapters: HashMap<AdapterKey, AdapterCount>,
}

/// Counts of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Usage(Arc<Mutex<HashMap<UpstreamId, Counts>>>);

/// One counted request; it ends when this is dropped.
#[derive(Debug)]
pub struct UsageGuard {
    usage: Usage,
    upstream: UpstreamId,
    key: Option<AdapterKey>,
}

impl Usage {
    /// Counts a request.
    pub fn begin(&self, upstream: &UpstreamId, key: Option<&AdapterKey>) -> UsageGuard {
        let mut all = lock(&self.0);
        let counts = all.entry(Arc::clone(upstream)).or_default();
        counts.running += 1;
        if let Some(key) = key {
            let count = counts.adapters.entry(key.clone()).or_default();
            count.running += 1;
            count.asked += 1;
        }
        UsageGuard {
            usage: self.clone(),
            upstream: Arc::clone(upstream),
            key: key.cloned(),
        }
    }

    /// Counts requests of an entry for which this one speaks.
    pub fn relay_asked(&self, upstream: &UpstreamId, key: &AdapterKey, times: u32) {
        let mut all = lock(&self.0);
        let counts = all.entry(Arc::clone(upstream)).or_default();
        let count = counts.adapters.entry(key.clone()).or_default();
        count.asked += u64::from(times);
    }

    /// Requests in flight at `upstream`.
    pub fn running(&self, upstream: &str) -> u32 {
        lock(&self.0).get(upstream).map_or(0, |c| c.running)
    }

    /// Whether `key` is in use at `upstream`.
    pub fn uses(&self, upstream: &str, key: &AdapterKey) -> bool {
        let all = lock(&self.0);
        let count = all.get(upstream).and_then(|c| c.adapters.get(key));
        count.is_some_and(|c| c.running > 0)
    }

    /// Requests in flight at every upstream that has any.
    pub fn loads(&self) -> Vec<(UpstreamId, u32)> {
        let all = lock(&self.0);
        let busy = all.iter().filter(|(_, c)| c.running > 0);
        busy.map(|(id, c)| (Arc::clone(id), c.running)).collect()
    }

    /// Upstreams that were ever used.
    pub fn upstreams(&self) -> Vec<UpstreamId> {
        lock(&self.0).keys().cloned().collect()
    }

    /// Use of adapters at `upstream`.
    pub fn adapters(&self, upstream: &str) -> Vec<(AdapterKey, AdapterCount)> {
        let all = lock(&self.0);
        let adapters = all.get(upstream).map(|c| c.adapters.iter());
        let adapters = adapters.into_iter().flatten();
        adapters.map(|(key, count)| (key.clone(), *count)).collect()
    }

    /// Forgets an upstream on which nothing runs.
    pub fn forget(&self, upstream: &str) {
        let mut all = lock(&self.0);
        if all.get(upstream).is_some_and(|c| c.running == 0) {
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
        counts.running = counts.running.saturating_sub(1);
        if let Some(key) = &self.key
            && let Some(count) = counts.adapters.get_mut(key)
        {
            count.running = count.running.saturating_sub(1);
        }
    }
}
