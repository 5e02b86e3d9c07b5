//! Decides whether this entry may send orders: it needs a fresh lease, and must have read the holder records since it
//! last lost the lease.
//!
//! Guards against an entry that was partitioned from the store for longer than its lease: it renews the lease before
//! it has read that its engines were taken over meanwhile. When the store returns with an older copy, a lease and what was
//! read under it end.

use crate::{
    clock::BootInstant,
    lease::{HolderLease, LeaseTiming},
};
use std::time::Duration;

/// Timing of an entry's lease on its engines. Store outages of up to eight seconds are common, and an entry keeps
/// sending orders through them; the price is that an engine whose holder died takes no loads for that much longer.
pub const TIMING: LeaseTiming = LeaseTiming {
    lease: Duration::from_secs(11),
    takeover: Duration::from_secs(13),
};

/// A lease, and whether the holder records were read under it.
#[derive(Clone, Copy, Debug)]
pub struct OrderLease {
    lease: HolderLease,
    /// Start of the time for which the lease has been fresh without a gap.
    since: BootInstant,
    /// Send time of the last successful read of all holder records.
    confirmed: Option<BootInstant>,
    /// Era of the store in which the lease holds, and the time at which it was entered.
    era: (u64, BootInstant),
    /// Last lease of an earlier era under which orders might be sent at the end of that era.
    earlier: Option<HolderLease>,
}

impl Default for OrderLease {
    fn default() -> Self {
        Self {
            lease: HolderLease::new(TIMING),
            since: BootInstant::default(),
            confirmed: None,
            era: (0, BootInstant::default()),
            earlier: None,
        }
    }
}

impl OrderLease {
    /// Ends the lease if `era` is another era of the store; returns whether it is.
    pub fn enter_era(&mut self, era: u64, now: BootInstant) -> bool {
        if era == self.era.0 {
            return false;
        }
        let ended = self.may_order(now).then_some(self.lease);
        *self = Self {
            era: (era, now),
            earlier: ended.or(self.earlier).filter(|lease| lease.is_fresh(now)),
            ..Self::default()
        };
        true
    }

    /// Returns whether this entry might send orders up to the end of the earlier era: nobody else holds its engines by what
    /// was written then.
    pub fn held_before(&self) -> bool {
        self.earlier.is_some()
    }

    /// Records a renewal that was sent at `sent` and acknowledged by `now`.
    pub fn renewed(&mut self, sent: BootInstant, now: BootInstant) {
        // The acknowledgement of an earlier era may be recorded after this one was entered.
        if sent < self.era.1 {
            return;
        }
        if !self.lease.is_fresh(now) {
            self.since = now;
        }
        self.lease.renewed(sent);
    }

    /// Records a successful read of all holder records that was sent at `sent`.
    pub fn confirmed(&mut self, sent: BootInstant) {
        if sent >= self.era.1 {
            self.confirmed = Some(sent);
        }
    }

    /// Returns whether the lease is fresh at `now`.
    pub fn is_fresh(&self, now: BootInstant) -> bool {
        self.lease.is_fresh(now)
    }

    /// Returns whether the holder records were read under the present lease.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.is_some_and(|t| t >= self.since)
    }

    /// Returns whether orders may be sent at `now`.
    pub fn may_order(&self, now: BootInstant) -> bool {
        self.is_fresh(now) && self.is_confirmed()
    }
}
