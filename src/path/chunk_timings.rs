//! Times at which the parts of a relayed response arrive.

use crate::clock::BootInstant;
use std::time::Duration;

/// Arrival times of the chunks of a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkTimings {
    /// Time of the first one.
    pub first: Option<BootInstant>,
    /// Time of the last one.
    pub last: BootInstant,
    /// Longest time between two.
    pub longest_gap: Duration,
    /// Time at which that ended.
    pub gap_end: BootInstant,
}

impl ChunkTimings {
    /// Records a chunk that was received at `now`.
    pub fn record(&mut self, now: BootInstant) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            let gap = now.since(self.last);
            if gap > self.longest_gap {
                self.longest_gap = gap;
                self.gap_end = now;
            }
        }
        self.last = now;
    }
}
