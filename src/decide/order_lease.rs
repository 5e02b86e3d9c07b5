//! Whether this entry may give orders: a fresh lease, and a look at who holds what since the lease was last lost.
//!
//! Load pattern: an entry that is cut from the store for longer than its lease comes back, and renews its lease
//! before it reads that its engines were taken over meanwhile.

use crate::{
    clock::BootInstant,
    lease::{HolderLease, LeaseTiming},
};
use std::time::Duration;

/// Terms of an entry's lease on its engines. Outages of the store of up to eight seconds are usual, and an entry
/// gives orders through them; an engine whose holder is gone for good takes no loads for that much longer.
pub const TIMING: LeaseTiming = LeaseTiming {
    lease: Duration::from_secs(11),
    takeover: Duration::from_secs(13),
};

/// A lease, and what was confirmed under it.
#[derive(Clone, Copy, Debug)]
pub struct OrderLease {
    lease: HolderLease,
    /// Since when the lease has been fresh without a gap.
    since: BootInstant,
    /// When the records of all holders were last asked for with success.
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
    /// Takes in a renewal that was sent at `sent` and has taken effect by `now`.
    pub fn renewed(&mut self, sent: BootInstant, now: BootInstant) {
        if !self.lease.is_fresh(now) {
            self.since = now;
        }
        self.lease.renewed(sent);
    }

    /// Takes in that the records of all holders were read, asked for at `sent`.
    pub fn confirmed(&mut self, sent: BootInstant) {
        self.confirmed = Some(sent);
    }

    /// Whether the lease is fresh at `now`.
    pub fn is_fresh(&self, now: BootInstant) -> bool {
        self.lease.is_fresh(now)
    }

    /// Whether the records were read under the present lease.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.is_some_and(|t| t >= self.since)
    }

    /// Whether orders may be given at `now`.
    pub fn may_order(&self, now: BootInstant) -> bool {
        self.is_fresh(now) && self.is_confirmed()
    }
}
