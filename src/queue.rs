//! Request queue of one upstream: ordered by class, then urgent requests by deadline, then fair queueing by owner.

use crate::{
    catalogue::Class,
    clock::BootInstant,
    ident::{ModelRef, RequestId},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

/// Time to the deadline below which a request is ordered by deadline instead of fair share.
const URGENT_SLACK: Duration = Duration::from_secs(2);

/// Owners tracked for fair queueing.
const MAX_OWNERS: usize = 4_096;

/// A request that waits in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Requested model; `None` for a plain service.
    pub model: Option<ModelRef>,
    /// Owner, for fair queueing.
    pub owner: Arc<str>,
    /// Priority class.
    pub class: Class,
    /// Deadline of the complete response.
    pub deadline: BootInstant,
    /// Time at which it was queued.
    pub queued: BootInstant,
    /// Whether it must run alone on the upstream.
    pub probation: bool,
}

/// Position in the class: virtual finish time, then arrival order.
type FairTag = (u64, u64);

/// Key of a request in the queue.
type Key = (Class, FairTag);

/// Rank of a request: class, deadline if urgent, position.
type Rank = (Class, u64, FairTag);

/// Queue of the requests that wait for one upstream.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiting: BTreeMap<Key, QueuedRequest>,
    finish_times: HashMap<Arc<str>, u64>,
    virtual_time: u64,
    sequence: u64,
}

impl RequestQueue {
    /// Adds a request behind its owner's earlier requests.
    pub fn push(&mut self, request: QueuedRequest) {
        if self.finish_times.len() >= MAX_OWNERS {
            let floor = self.virtual_time;
            self.finish_times.retain(|_, t| *t > floor);
        }
        let last = self
            .finish_times
            .entry(Arc::clone(&request.owner))
            .or_insert(0);
        *last = (*last).max(self.virtual_time) + 1;
        self.sequence += 1;
        self.waiting
            .insert((request.class, (*last, self.sequence)), request);
    }

    /// Removes and returns the next request for which `may_start` holds.
    pub fn pop(
        &mut self,
        now: BootInstant,
        mut may_start: impl FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let mut best: Option<(Rank, Key)> = None;
        for (key, request) in &self.waiting {
            if best.as_ref().is_some_and(|(rank, _)| rank.0 < key.0) {
                break;
            }
            let rank = (key.0, urgency(request, now), key.1);
            if best.as_ref().is_none_or(|(b, _)| rank < *b) && may_start(request) {
                best = Some((rank, *key));
            }
        }
        let (_, key) = best?;
        self.virtual_time = self.virtual_time.max(key.1.0);
        self.waiting.remove(&key)
    }

    /// Removes and returns every request for which `should_remove` holds.
    pub fn drain_where(
        &mut self,
        mut should_remove: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let keys: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, t)| should_remove(t))
            .map(|(k, _)| *k)
            .collect();
        keys.iter().filter_map(|k| self.waiting.remove(k)).collect()
    }

    /// Returns the queued requests, ordered by class and fair share.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.values()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Returns the deadline of an urgent request, and the maximum value for all others.
fn urgency(request: &QueuedRequest, now: BootInstant) -> u64 {
    let slack = request.deadline.since(now);
    if slack <= URGENT_SLACK {
        request.deadline.0
    } else {
        u64::MAX
    }
}
