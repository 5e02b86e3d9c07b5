//! Notices that this process did not run for a while, so that what it knows may be older than its clocks of it say.

use crate::clock::BootInstant;
use std::time::Duration;

/// Longest time between two ticks of a process that runs; the ticks come every 300 ms.
const LONGEST_TICK: Duration = Duration::from_secs(1);

/// Time after a pause in which messages that waited for this process may still be taken for new ones.
const SETTLING: Duration = Duration::from_secs(1);

/// Pauses of this process.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    ticked: BootInstant,
    resumed: BootInstant,
}

impl Pauses {
    /// Starts to observe at `now`; the start counts as the end of a pause.
    pub fn new(now: BootInstant) -> Self {
        Self {
            ticked: now,
            resumed: now,
        }
    }

    /// Records that this process runs at `now`.
    pub fn tick(&mut self, now: BootInstant) {
        if now.since(self.ticked) > LONGEST_TICK {
            self.resumed = now;
        }
        self.ticked = now;
    }

    /// Returns whether a pause ended a moment ago, or may have.
    pub fn is_recent(&self, now: BootInstant) -> bool {
        now.since(self.ticked) > LONGEST_TICK || now.since(self.resumed) < SETTLING
    }
}
