//! What a dispatcher may do with an upstream that it holds, from its leases and what it knows of earlier holders.

use crate::{
    catalogue::Fencing,
    clock::BootInstant,
    lease::{HolderLease, LEASE},
    scheduler::Mode,
};
use std::time::Duration;

/// Time after which every request of an earlier holder has ended, beyond the longest timeout.
const SETTLE_MARGIN: Duration = Duration::from_secs(5);

/// How the upstream was taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeoverKind {
    /// The earlier holder released it, or there was none.
    Clean,
    /// The earlier holder's process is known to have ended; its requests may still run.
    Replaced,
    /// The earlier holder's lease lapsed; it may act late.
    Forced,
}

/// Authority over one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Authority {
    fencing: Fencing,
    origin: TakeoverKind,
    taken: BootInstant,
    engine: HolderLease,
    stopped: bool,
    lost: bool,
}

impl Authority {
    /// Authority as of taking the upstream at `taken`.
    pub fn new(fencing: Fencing, origin: TakeoverKind, taken: BootInstant) -> Self {
        let engine = HolderLease::default();
        let stopped = origin != TakeoverKind::Forced;
        Self {
            fencing,
            origin,
            taken,
            engine,
            stopped,
            lost: false,
        }
    }

    /// The engine accepted our fencing number in an order sent at `sent`.
    pub fn engine_confirmed(&mut self, sent: BootInstant) {
        self.engine.renewed(sent);
    }

    /// The earlier holder is known to have stopped.
    pub fn earlier_holder_stopped(&mut self) {
        self.stopped = true;
        self.origin = TakeoverKind::Replaced;
    }

    /// Whether it is still unknown if the earlier holder may act.
    pub fn awaits_earlier_holder(&self) -> bool {
        !self.stopped
    }

    /// The upstream is held by somebody else.
    pub fn lose(&mut self) {
        self.lost = true;
        self.engine.revoke();
    }

    /// Whether the upstream was lost.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// What may be done at `now`, given the dispatcher's own lease.
    pub fn mode(&self, lease: &HolderLease, now: BootInstant) -> Mode {
        if self.lost {
            return Mode::Lost;
        }
        match self.fencing {
            Fencing::Checked if self.engine.is_fresh(now) => Mode::Full,
            Fencing::Checked => Mode::Lost,
            Fencing::Ignored if lease.is_fresh(now) && self.stopped => Mode::Full,
            Fencing::Ignored => Mode::Stable,
        }
    }

    /// Whether a report made `age` after the take-over began may show earlier requests as ended.
    ///
    /// An earlier holder that was not seen to stop may send requests until its engine lease has ended.
    pub fn may_trust_report(&self, age: Duration) -> bool {
        match self.origin {
            TakeoverKind::Clean | TakeoverKind::Replaced => true,
            TakeoverKind::Forced => age > LEASE + LEASE / 2,
        }
    }

    /// Whether every request of an earlier holder has reached its deadline.
    pub fn earlier_requests_expired(&self, now: BootInstant, max_timeout: Duration) -> bool {
        now.since(self.taken) > max_timeout + LEASE + SETTLE_MARGIN
    }
}
