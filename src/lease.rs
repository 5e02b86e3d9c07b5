//! Leases of dispatchers: what a holder may assume of itself and an observer of others.

use crate::{clock::BootInstant, ident::DispatcherId};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Interval between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Time a renewal stays good, counted from before it was sent.
pub const LEASE: Duration = Duration::from_secs(4);

/// Time an observer must see a counter unchanged; longer than [`LEASE`] by more than the TCP user timeout.
pub const TAKEOVER_AFTER: Duration = Duration::from_secs(6);

/// Longest gap between two successful reads that still count as one observation.
pub const MAX_READ_GAP: Duration = Duration::from_secs(3);

/// How long a lease lasts, and how long others wait for its end.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// Time a renewal stays good, counted from before it was sent.
    pub lease: Duration,
    /// Time an observer must see a counter unchanged.
    pub takeover: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease: LEASE,
            takeover: TAKEOVER_AFTER,
        }
    }
}

/// A holder's view of its own lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct HolderLease {
    terms: LeaseTiming,
    until: Option<BootInstant>,
}

impl HolderLease {
    /// A lease under `terms` that was not renewed yet.
    pub fn new(terms: LeaseTiming) -> Self {
        Self { terms, until: None }
    }

    /// Records a renewal that took effect; `sent` was read before it was sent.
    pub fn renewed(&mut self, sent: BootInstant) {
        let until = sent + self.terms.lease;
        self.until = Some(self.until.map_or(until, |u| u.max(until)));
    }

    /// Gives the lease up for good.
    pub fn revoke(&mut self) {
        self.until = None;
    }

    /// Whether the lease is good at `now`.
    pub fn is_fresh(&self, now: BootInstant) -> bool {
        self.until.is_some_and(|u| now < u)
    }
}

/// One dispatcher's renewal as read from the object API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// Process that renewed.
    pub incarnation: u64,
    /// Renewals so far.
    pub counter: u64,
}

/// What an observer last saw of one dispatcher.
#[derive(Clone, Copy, Debug)]
struct Seen {
    renewal: Renewal,
    since: BootInstant,
    lapsed: bool,
    /// When this incarnation was first seen, without a gap since.
    born: BootInstant,
    /// Whether it has been seen for longer than an earlier one's lease can last.
    settled: bool,
}

impl Seen {
    fn next(
        before: Option<Self>,
        renewal: Renewal,
        (sent, done): (BootInstant, BootInstant),
        takeover: Duration,
    ) -> Self {
        let fresh = Self {
            renewal,
            since: done,
            lapsed: false,
            born: done,
            settled: false,
        };
        let Some(before) = before else { return fresh };
        if before.renewal.incarnation != renewal.incarnation {
            return fresh;
        }
        let settled = before.settled || sent.since(before.born) >= takeover;
        if before.renewal.counter != renewal.counter {
            return Self {
                born: before.born,
                settled,
                ..fresh
            };
        }
        let lapsed = before.lapsed || sent.since(before.since) >= takeover;
        Self {
            lapsed,
            settled,
            ..before
        }
    }
}

/// An observer's view of every dispatcher's lease.
#[derive(Debug, Default)]
pub struct LeaseObserver {
    terms: LeaseTiming,
    seen: HashMap<DispatcherId, Seen>,
    last_read: Option<BootInstant>,
}

impl LeaseObserver {
    /// An observer of leases under `terms` that has seen none.
    pub fn new(terms: LeaseTiming) -> Self {
        Self {
            terms,
            ..Self::default()
        }
    }

    /// Takes in a successful read that was sent at `sent` and answered at `done`.
    pub fn observe<'a>(
        &mut self,
        sent: BootInstant,
        done: BootInstant,
        records: impl Iterator<Item = (&'a DispatcherId, Renewal)>,
    ) {
        let gap = self
            .last_read
            .is_none_or(|last| done.since(last) > MAX_READ_GAP);
        self.last_read = Some(done);
        let mut next = HashMap::new();
        for (id, renewal) in records {
            let before = self.seen.get(id).filter(|_| !gap).copied();
            next.insert(
                Arc::clone(id),
                Seen::next(before, renewal, (sent, done), self.terms.takeover),
            );
        }
        self.seen = next;
    }

    /// Whether the lease of this incarnation of `id` has certainly ended.
    pub fn is_expired(&self, id: &str, incarnation: u64) -> bool {
        match self.seen.get(id) {
            Some(s) if s.renewal.incarnation == incarnation => s.lapsed,
            // The record was overwritten, so the earlier process can't have renewed since.
            Some(s) => s.renewal.incarnation > incarnation && s.settled,
            None => false,
        }
    }

    /// Whether `id` is known and its lease has not lapsed.
    pub fn is_live(&self, id: &str) -> bool {
        self.seen.get(id).is_some_and(|s| !s.lapsed)
    }
}
