//! Requests waiting at one upstream: by class, then urgent ones by deadline, then fairly by owner.

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

/// Slack below which a request is served by deadline rather than by fair share.
const URGENT_SLACK: Duration = Duration::from_secs(2);

/// Owners remembered for fair sharing.
const MAX_OWNERS: usize = 4_096;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Request identifier.
    pub id: RequestId,
    /// Try of the request.
    pub attempt: u32,
    /// Model asked for; `None` for a plain service.
    pub model: Option<ModelRef>,
    /// Owner, for fairness.
    pub owner: Arc<str>,
    /// Urgency.
    pub class: Class,
    /// When the answer must be whole.
    pub deadline: BootInstant,
    /// When it was queued.
    pub queued: BootInstant,
    /// Whether it must run alone.
    pub probation: bool,
}

/// Place of a ticket in its class.
type Tag = (u64, u64);

/// Key of a ticket in the queue.
type Key = (Class, Tag);

/// Rank of a ticket: class, deadline if urgent, place.
type Rank = (Class, u64, Tag);

/// The waiting requests of one upstream.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiting: BTreeMap<Key, QueuedRequest>,
    owners: HashMap<Arc<str>, u64>,
    virtual_time: u64,
    sequence: u64,
}

impl RequestQueue {
    /// Adds a request behind its owner's earlier ones.
    pub fn push(&mut self, ticket: QueuedRequest) {
        if self.owners.len() >= MAX_OWNERS {
            let floor = self.virtual_time;
            self.owners.retain(|_, t| *t > floor);
        }
        let last = self.owners.entry(Arc::clone(&ticket.owner)).or_insert(0);
        *last = (*last).max(self.virtual_time) + 1;
        self.sequence += 1;
        self.waiting
            .insert((ticket.class, (*last, self.sequence)), ticket);
    }

    /// Takes the next request that `may_start`.
    pub fn pop(
        &mut self,
        now: BootInstant,
        mut may_start: impl FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let mut best: Option<(Rank, Key)> = None;
        for (key, ticket) in &self.waiting {
            if best.as_ref().is_some_and(|(rank, _)| rank.0 < key.0) {
                break;
            }
            let rank = (key.0, urgency(ticket, now), key.1);
            if best.as_ref().is_none_or(|(b, _)| rank < *b) && may_start(ticket) {
                best = Some((rank, *key));
            }
        }
        let (_, key) = best?;
        self.virtual_time = self.virtual_time.max(key.1.0);
        self.waiting.remove(&key)
    }

    /// Takes every request for which `gone` holds.
    pub fn drain_where(
        &mut self,
        mut gone: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let keys: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, t)| gone(t))
            .map(|(k, _)| *k)
            .collect();
        keys.iter().filter_map(|k| self.waiting.remove(k)).collect()
    }

    /// Requests waiting, in order of class and fair share.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.values()
    }

    /// Number of requests waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Deadline of an urgent request; the same high value for all others.
fn urgency(ticket: &QueuedRequest, now: BootInstant) -> u64 {
    let slack = ticket.deadline.since(now);
    if slack <= URGENT_SLACK {
        ticket.deadline.0
    } else {
        u64::MAX
    }
}
