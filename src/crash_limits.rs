//! Evidence that leads to a refusal, for requests and for parts of prompts.

use std::time::Duration;

/// Time after which a crash counts against a part: all entries have heard of it by then, and those that get responses to
/// the part have cleared it.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time between two crashes that shows that they have different causes: engines that end together, as with their rack, are
/// one piece of evidence against a part.
pub(crate) const CRASH_GAP_MS: u64 = 60;

/// Evidence that leads to a refusal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Crashes of different processes, at different moments.
    pub(crate) crashes: usize,
    /// Time between two crashes that makes them two moments, in milliseconds.
    pub(crate) gap_ms: u64,
    /// Different requests among them.
    pub(crate) requests: usize,
    /// Time from the first to the last of them, in milliseconds.
    pub(crate) spread_ms: u64,
    /// Age from which a crash counts.
    pub(crate) settle: Duration,
}

pub(crate) const REQUEST_LIMITS: Limits = Limits {
    crashes: 2,
    gap_ms: 0,
    requests: 1,
    spread_ms: 0,
    settle: Duration::ZERO,
};

pub(crate) const NEW_PART_LIMITS: Limits = Limits {
    crashes: 3,
    gap_ms: CRASH_GAP_MS,
    // One request that is resumed and sent again may crash three by itself.
    requests: 2,
    spread_ms: 0,
    settle: SETTLE_TIME,
};

/// Crashes at any moments. A part that was served before is not put on probation: what all prompts share is in all crashes
/// of an outage, too.
pub(crate) const PROBATION_LIMITS: Limits = Limits {
    gap_ms: 0,
    ..NEW_PART_LIMITS
};

pub(crate) const PROVEN_PART_LIMITS: Limits = Limits {
    crashes: 5,
    gap_ms: CRASH_GAP_MS,
    requests: 3,
    spread_ms: 800,
    settle: SETTLE_TIME,
};
