//! Leases: whether a holder may consider its own lease fresh, and whether an observer may consider it expired.

use crate::{clock::BootInstant, ident::DispatcherId};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Interval between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Duration of a lease, counted from before its renewal was sent.
pub const LEASE: Duration = Duration::from_secs(4);

/// Time for which an observer must see a counter unchanged before a takeover; exceeds [`LEASE`] by more than the TCP
/// user timeout.
pub const TAKEOVER_AFTER: Duration = Duration::from_secs(6);

/// Longest gap between two successful reads for which an observation continues.
pub const MAX_READ_GAP: Duration = Duration::from_secs(3);

/// Duration of a lease, and of the wait before a takeover.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// Duration of a lease, counted from before its renewal was sent.
    pub lease: Duration,
    /// Time for which an observer must see a counter unchanged.
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
    timing: LeaseTiming,
    fresh_until: Option<BootInstant>,
}

impl HolderLease {
    /// Returns a lease with `timing` that was not renewed yet.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            fresh_until: None,
        }
    }

    /// Records a successful renewal; `sent` is a time before it was sent.
    pub fn renewed(&mut self, sent: BootInstant) {
        let fresh_until = sent + self.timing.lease;
        self.fresh_until = Some(self.fresh_until.map_or(fresh_until, |u| u.max(fresh_until)));
    }

    /// Revokes the lease.
    pub fn revoke(&mut self) {
        self.fresh_until = None;
    }

    /// Returns whether the lease is fresh at `now`.
    pub fn is_fresh(&self, now: BootInstant) -> bool {
        self.fresh_until.is_some_and(|u| now < u)
    }
}

/// Renewal of a lease, as read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// Incarnation of the process that renewed.
    pub incarnation: u64,
    /// Number of renewals so far.
    pub counter: u64,
}

/// Last observation of one lease.
#[derive(Clone, Copy, Debug)]
struct Observation {
    renewal: Renewal,
    since: BootInstant,
    expired: bool,
    /// Time at which this incarnation was first seen, without a gap since.
    first_seen: BootInstant,
    /// Whether it has been seen for longer than the lease of an earlier incarnation can last.
    settled: bool,
}

impl Observation {
    fn next(
        before: Option<Self>,
        renewal: Renewal,
        (sent, done): (BootInstant, BootInstant),
        takeover: Duration,
    ) -> Self {
        let fresh = Self {
            renewal,
            since: done,
            expired: false,
            first_seen: done,
            settled: false,
        };
        let Some(before) = before else { return fresh };
        if before.renewal.incarnation != renewal.incarnation {
            return fresh;
        }
        let settled = before.settled || sent.since(before.first_seen) >= takeover;
        if before.renewal.counter != renewal.counter {
            return Self {
                first_seen: before.first_seen,
                settled,
                ..fresh
            };
        }
        let expired = before.expired || sent.since(before.since) >= takeover;
        Self {
            expired,
            settled,
            ..before
        }
    }
}

/// Observes the leases of all holders.
#[derive(Debug, Default)]
pub struct LeaseObserver {
    timing: LeaseTiming,
    observations: HashMap<DispatcherId, Observation>,
    last_read: Option<BootInstant>,
}

impl LeaseObserver {
    /// Returns an observer of leases with `timing` that has seen none.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Records a successful read that was sent at `sent` and completed at `done`.
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
            let before = self.observations.get(id).filter(|_| !gap).copied();
            next.insert(
                Arc::clone(id),
                Observation::next(before, renewal, (sent, done), self.timing.takeover),
            );
        }
        self.observations = next;
    }

    /// Returns whether the lease of this incarnation of `id` has certainly expired.
    pub fn is_expired(&self, id: &str, incarnation: u64) -> bool {
        match self.observations.get(id) {
            Some(s) if s.renewal.incarnation == incarnation => s.expired,
            // A later process has overwritten the record, so the earlier one can't have renewed since.
            Some(s) => s.renewal.incarnation > incarnation && s.settled,
            None => false,
        }
    }

    /// Returns whether `id` is known and its lease has not expired.
    pub fn is_live(&self, id: &str) -> bool {
        self.observations.get(id).is_some_and(|s| !s.expired)
    }
}
