//! Limits the adapter loads that all engines have under way together.
//!
//! The weight store gives each load its full speed only up to a number of concurrent loads; beyond it, all take longer in
//! proportion, and none of them ends in time. That number is not known. It is learned from load times and the loads under
//! way meanwhile, as TCP Vegas learns a path's capacity from round-trip times (L. Brakmo, L. Peterson: "TCP Vegas: End to
//! End Congestion Avoidance on a Global Internet", 1995).
//!
//! | load pattern | response |
//! |---|---|
//! | popularity shifts, and every engine lacks adapters at once | loads beyond the limit wait, so that those under way end in time |
//! | more loads are asked for than the store can give | a load that would not end in time is refused at once, with the time after which it would |
//! | few loads are under way, and they are fast | the limit grows |
//! | entries can't hear each other | each holder may always have one load under way |
//! | an adapter was held recently | its load doesn't use the store, and is not limited |

use crate::clock::BootInstant;
use serde::{Deserialize, Serialize};
use std::{iter::Sum, time::Duration};

/// Limit before anything was learned.
const FIRST_LIMIT: f64 = 16.0;

/// Bounds of the limit.
const LIMITS: std::ops::RangeInclusive<f64> = 4.0..=4_096.0;

/// Time below which a load did not use the store: an adapter that was held recently takes about 25 ms.
const MIN_STORE_LOAD: Duration = Duration::from_millis(120);

/// Load time at full speed before anything was learned.
const FIRST_LOAD_TIME: Duration = Duration::from_millis(300);

/// Loads under way up to which slower loads are not put down to congestion.
const UNCONGESTED: f64 = 8.0;

/// Weight of a slower load in the learned load time at full speed, if so few loads are under way that the store isn't
/// congested.
const LOAD_TIME_SMOOTHING: f64 = 0.1;

/// Load time over that at full speed from which the store counts as congested.
const CONGESTED: f64 = 1.25;

/// Factor of the limit that is aimed at while it binds and loads are fast.
const GROWTH: f64 = 1.15;

/// Allowance for loads that begin while the counts of the other holders are on their way.
const FORECAST_MARGIN: f64 = 1.2;

/// Weight of a new estimate of the limit.
const SMOOTHING: f64 = 0.15;

/// Loads under way and waiting, at one engine or over all.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadCounts {
    /// Loads under way.
    pub running: u32,
    /// Loads that wait for others.
    pub waiting: u32,
}

impl Sum for LoadCounts {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), |sum, counts| Self {
            running: sum.running + counts.running,
            waiting: sum.waiting + counts.waiting,
        })
    }
}

/// A load that has begun.
#[derive(Clone, Copy, Debug)]
pub struct StartedLoad {
    at: BootInstant,
    running: u32,
}

impl StartedLoad {
    /// Returns a load that begins at `at`, with `running` loads under way.
    pub fn new(at: BootInstant, running: u32) -> Self {
        Self { at, running }
    }
}

/// Learned limit of the loads under way.
#[derive(Clone, Copy, Debug)]
pub struct LoadLimit {
    limit: f64,
    /// Load time at full speed.
    load_time: Duration,
    /// Load time lately.
    recent_time: Duration,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            load_time: FIRST_LOAD_TIME,
            recent_time: FIRST_LOAD_TIME,
        }
    }
}

impl LoadLimit {
    /// Returns the limit, in loads.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Learns from a load that ended, with `running` loads under way at its end.
    pub fn load_ended(&mut self, load: StartedLoad, running: u32, now: BootInstant) {
        let took = now.since(load.at);
        if took < MIN_STORE_LOAD {
            return;
        }
        let running = f64::from(load.running + running) / 2.0;
        if took < self.load_time {
            self.load_time = took;
        } else if running <= UNCONGESTED {
            let slower = took.saturating_sub(self.load_time);
            self.load_time += slower.mul_f64(LOAD_TIME_SMOOTHING);
        }
        self.recent_time = self.recent_time.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
        let slowdown = took.as_secs_f64() / self.load_time.as_secs_f64();
        let estimate = if slowdown > CONGESTED {
            running / slowdown
        } else if running + 1.0 >= self.limit {
            self.limit * GROWTH
        } else {
            self.limit
        };
        self.limit += SMOOTHING * (estimate - self.limit);
        self.limit = self.limit.clamp(*LIMITS.start(), *LIMITS.end());
    }

    /// Returns whether a holder that has `own` loads under way may begin another.
    pub fn may_begin(&self, own: u32, fleet: LoadCounts) -> bool {
        own == 0 || f64::from(fleet.running) < self.limit
    }

    /// Returns how long a load that is asked for now will take, its wait included.
    pub fn expected_time(&self, fleet: LoadCounts) -> Duration {
        let ahead = f64::from(fleet.running + fleet.waiting + 1);
        if ahead <= self.limit {
            self.load_time
        } else {
            self.recent_time
                .mul_f64(ahead / self.limit * FORECAST_MARGIN)
        }
    }
}
