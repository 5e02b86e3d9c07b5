//! Decides whether this entry may send orders: it needs a fresh lease, and must have read the holder records since it
//! last lost the lease.
//!
//! Guards against an entry that was partitioned from the store for longer than its lease: it renews the lease before
//! it has read that its engines were taken over meanwhile.

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
}

impl Default for OrderLease {
    fn default() -> Self {
        Self {
            lease: HolderLease::new(TIMING),
            since: BootInstant::default(),
            confirmed: None,
        }
    }
}

impl OrderLease {
    /// Records a renewal that was sent at `sent` and acknowledged by `now`.
    pub fn renewed(&mut self, sent: BootInstant, now: BootInstant) {
        if !self.lease.is_fresh(now) {
            self.since = now;
        }
        self.lease.renewed(sent);
    }

    /// Records a successful read of all holder records that was sent at `sent`.
    pub fn confirmed(&mut self, sent: BootInstant) {
        self.confirmed = Some(sent);
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
