//! Limits the adapter loads that all engines have under way together.
//!
//! The weight store gives each load its full speed only up to a number of concurrent loads; beyond it, all take longer in
//! proportion, and none of them ends in time. That number is not known. It is learned from load times and the loads under
//! way meanwhile, as TCP Vegas learns a path's capacity from round-trip times (L. Brakmo, L. Peterson: "TCP Vegas: End to
//! End Congestion Avoidance on a Global Internet", 1995). Until loads are first seen to get slower together, the limit
//! doubles with each round of loads, as in slow start (V. Jacobson: "Congestion Avoidance and Control", 1988).
//!
//! | load pattern | response |
//! |---|---|
//! | popularity shifts, and every engine lacks adapters at once | loads beyond the limit wait, so that those under way end in time |
//! | more loads are asked for than the store can give | a load that would not end in time is refused at once, with the time after which it would |
//! | few loads are under way, and they are fast | the limit grows |
//! | a fleet starts, and every engine lacks every adapter | the limit begins at a part of the number of engines, and doubles with each round of fast loads at any holder |
//! | a holder starts beside others that have learned | it begins with their limit |
//! | a load is slow for a reason of its own | slow start goes on unless further loads are slow, too |
//! | entries can't hear each other | each holder may always have one load under way |
//! | an adapter was held recently | its load doesn't use the store, and is not limited |

use crate::clock::BootInstant;
use serde::{Deserialize, Serialize};
use std::{iter::Sum, time::Duration};

/// Limit before anything was learned, at least.
const FIRST_LIMIT: f64 = 16.0;

/// Engines for each load of the limit before anything was learned: a store that serves many engines bears more loads.
const ENGINES_PER_LOAD: f64 = 4.0;

/// Factor of the limit after a round of fast loads in slow start.
const SLOW_START_GROWTH: f64 = 2.0;

/// Part of the limit that must be in use for a fast load to raise it in slow start.
const SLOW_START_USE: f64 = 0.75;

/// Slow loads in a row that end slow start; a single load may be slow for a reason of its own.
const SLOW_LOADS: u32 = 3;

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
    /// Those of both that a request waits for than which none is more urgent.
    pub urgent: u32,
}

impl Sum for LoadCounts {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), |sum, counts| Self {
            running: sum.running + counts.running,
            waiting: sum.waiting + counts.waiting,
            urgent: sum.urgent + counts.urgent,
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

/// Phase of learning.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LearningPhase {
    /// The limit doubles with each round of fast loads.
    SlowStart,
    /// The limit follows what each load shows.
    Steady,
}

/// What a holder has learned, for its peers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitReport {
    /// Limit, in loads.
    pub limit: u32,
    /// Load time at full speed, in milliseconds.
    pub load_time_ms: u32,
    /// Phase of learning.
    pub phase: LearningPhase,
}

/// Learned limit of the loads under way.
#[derive(Clone, Copy, Debug)]
pub struct LoadLimit {
    limit: f64,
    phase: LearningPhase,
    /// Whether a load or a peer has taught something.
    has_learned: bool,
    /// Time of the last raise in slow start; loads that began earlier say nothing of the limit since.
    raised: BootInstant,
    /// Slow loads in a row in slow start.
    slow_loads: u32,
    /// Largest limit that one of these shows.
    slow_estimate: f64,
    /// Load time at full speed.
    load_time: Duration,
    /// Load time lately.
    recent_time: Duration,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            phase: LearningPhase::SlowStart,
            has_learned: false,
            raised: BootInstant::default(),
            slow_loads: 0,
            slow_estimate: 0.0,
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

    /// Begins with a limit that is in proportion to the number of engines, unless something was learned.
    pub fn expect_engines(&mut self, engines: usize) {
        if !self.has_learned {
            let limit = engines as f64 / ENGINES_PER_LOAD;
            self.limit = limit.clamp(FIRST_LIMIT, *LIMITS.end());
        }
    }

    /// Returns what peers may learn from; `None` if nothing was learned.
    pub fn report(&self) -> Option<LimitReport> {
        self.has_learned.then_some(LimitReport {
            limit: self.limit as u32,
            load_time_ms: self.load_time.as_millis() as u32,
            phase: self.phase,
        })
    }

    /// Learns from a peer's report: everything if nothing was learned here, and in slow start a higher limit that the peer
    /// reached by fast loads.
    pub fn learn_from_peer(&mut self, report: LimitReport, now: BootInstant) {
        let limit = f64::from(report.limit).clamp(*LIMITS.start(), *LIMITS.end());
        match (self.phase, report.phase) {
            (LearningPhase::SlowStart, LearningPhase::Steady) if !self.has_learned => {
                self.phase = LearningPhase::Steady;
                self.limit = limit;
                let load_time = Duration::from_millis(u64::from(report.load_time_ms));
                self.load_time = load_time.max(MIN_STORE_LOAD);
                self.recent_time = self.load_time;
                self.has_learned = true;
            }
            (LearningPhase::SlowStart, LearningPhase::SlowStart) if limit > self.limit => {
                self.limit = limit;
                self.raised = now;
                self.has_learned = true;
            }
            (LearningPhase::SlowStart | LearningPhase::Steady, _) => {}
        }
    }

    /// Learns from a load that ended, with `running` loads under way at its end.
    pub fn load_ended(&mut self, load: StartedLoad, running: u32, now: BootInstant) {
        let took = now.since(load.at);
        if took < MIN_STORE_LOAD {
            return;
        }
        self.has_learned = true;
        let running = f64::from(load.running + running) / 2.0;
        if took < self.load_time {
            self.load_time = took;
        } else if running <= UNCONGESTED {
            let slower = took.saturating_sub(self.load_time);
            self.load_time += slower.mul_f64(LOAD_TIME_SMOOTHING);
        }
        self.recent_time = self.recent_time.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
        let slowdown = took.as_secs_f64() / self.load_time.as_secs_f64();
        match self.phase {
            LearningPhase::SlowStart => self.adapt_fast(load, running, slowdown, now),
            LearningPhase::Steady => self.adapt(running, slowdown),
        }
        self.limit = self.limit.clamp(*LIMITS.start(), *LIMITS.end());
    }

    /// Doubles the limit at the first fast load of a round that used it, or ends slow start.
    fn adapt_fast(&mut self, load: StartedLoad, running: f64, slowdown: f64, now: BootInstant) {
        if slowdown > CONGESTED {
            self.slow_loads += 1;
            self.slow_estimate = self.slow_estimate.max(running / slowdown);
            if self.slow_loads >= SLOW_LOADS {
                self.phase = LearningPhase::Steady;
                self.limit = self.limit.min(self.slow_estimate);
            }
            return;
        }
        self.slow_loads = 0;
        self.slow_estimate = 0.0;
        if load.at >= self.raised && running + 1.0 >= self.limit * SLOW_START_USE {
            self.limit *= SLOW_START_GROWTH;
            self.raised = now;
        }
    }

    /// Moves the limit towards what a load shows.
    fn adapt(&mut self, running: f64, slowdown: f64) {
        let estimate = if slowdown > CONGESTED {
            running / slowdown
        } else if running + 1.0 >= self.limit {
            self.limit * GROWTH
        } else {
            self.limit
        };
        self.limit += SMOOTHING * (estimate - self.limit);
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
