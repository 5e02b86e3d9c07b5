//! Determines what a dispatcher may do with a held upstream, from its leases and the state of the earlier holder.

use crate::{
    catalogue::Fencing,
    clock::BootInstant,
    lease::{HolderLease, LEASE},
    scheduler::Mode,
};
use std::time::Duration;

/// Margin after the longest timeout and the lease, by which every request of an earlier holder has ended.
const SETTLE_MARGIN: Duration = Duration::from_secs(5);

/// How the upstream was taken over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeoverKind {
    /// The earlier holder released the upstream, or there was none.
    Clean,
    /// The earlier holder's process has ended, but its requests may still run.
    Replaced,
    /// The earlier holder's lease expired; it may still send requests or orders late.
    Forced,
}

/// Authority of this dispatcher over one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Authority {
    fencing: Fencing,
    takeover: TakeoverKind,
    taken_at: BootInstant,
    engine_lease: HolderLease,
    earlier_stopped: bool,
    lost: bool,
}

impl Authority {
    /// Returns the authority over an upstream taken over at `taken_at`.
    pub fn new(fencing: Fencing, takeover: TakeoverKind, taken_at: BootInstant) -> Self {
        let engine_lease = HolderLease::default();
        let earlier_stopped = takeover != TakeoverKind::Forced;
        Self {
            fencing,
            takeover,
            taken_at,
            engine_lease,
            earlier_stopped,
            lost: false,
        }
    }

    /// Records that the engine accepted the fencing number of an order sent at `sent`.
    pub fn engine_confirmed(&mut self, sent: BootInstant) {
        self.engine_lease.renewed(sent);
    }

    /// Records that the earlier holder has stopped.
    pub fn earlier_holder_stopped(&mut self) {
        self.earlier_stopped = true;
        self.takeover = TakeoverKind::Replaced;
    }

    /// Returns whether the earlier holder may still act.
    pub fn awaits_earlier_holder(&self) -> bool {
        !self.earlier_stopped
    }

    /// Records that another process holds the upstream.
    pub fn lose(&mut self) {
        self.lost = true;
        self.engine_lease.revoke();
    }

    /// Returns whether another process holds the upstream.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns what may be done at `now`, given the dispatcher's own lease.
    pub fn mode(&self, lease: &HolderLease, now: BootInstant) -> Mode {
        if self.lost {
            return Mode::Lost;
        }
        match self.fencing {
            Fencing::Checked if self.engine_lease.is_fresh(now) => Mode::Full,
            Fencing::Checked => Mode::Lost,
            Fencing::Ignored if lease.is_fresh(now) && self.earlier_stopped => Mode::Full,
            Fencing::Ignored => Mode::Stable,
        }
    }

    /// Returns whether a report made `age` after the takeover can prove that earlier requests have ended.
    ///
    /// An earlier holder that was not seen to stop may send requests until its engine lease has expired.
    pub fn may_trust_report(&self, age: Duration) -> bool {
        match self.takeover {
            TakeoverKind::Clean | TakeoverKind::Replaced => true,
            TakeoverKind::Forced => age > LEASE + LEASE / 2,
        }
    }

    /// Returns whether every request of an earlier holder has passed its deadline.
    pub fn earlier_requests_expired(&self, now: BootInstant, max_timeout: Duration) -> bool {
        now.since(self.taken_at) > max_timeout + LEASE + SETTLE_MARGIN
    }
}
