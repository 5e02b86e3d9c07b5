//! Times of a graceful shutdown.

use crate::clock::BootInstant;
use std::time::Duration;

/// A graceful shutdown under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// Time at which it was requested.
    pub requested: BootInstant,
    /// Time at which requests still in flight are dropped.
    pub limit: BootInstant,
}

impl Shutdown {
    /// Returns the time since it was requested.
    pub fn elapsed(&self, now: BootInstant) -> Duration {
        now.since(self.requested)
    }

    /// Returns the time until requests in flight are dropped.
    pub fn time_left(&self, now: BootInstant) -> Duration {
        self.limit.since(now)
    }
}
