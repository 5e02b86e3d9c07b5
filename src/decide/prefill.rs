//! Paces the prefill of prompts, so that no engine processes too many prompt tokens at once.
//!
//! An engine interleaves large prefill chunks with the decode steps of its running streams, and one stream event takes
//! several steps. When some ten thousand prompt tokens arrive at one engine within a third of a second, every stream
//! there stalls for longer than its callers accept, although the engine's batch has room. All entries keep the same
//! schedule for each engine: prompts are sent in groups whose prefill fits within the accepted stall, with time for
//! one event between two groups.
//!
//! | load pattern | response |
//! |---|---|
//! | an engine rejects a prompt, or is never sent it | its time is free again at once, unless later prompts wait for its end already |
//! | the same at other entries, which can't take back what they were told | they know of one piece of the prompt, which takes as long as a group; it stands for the next prompts of the same entry |

use crate::{clock::BootInstant, ident::UpstreamId};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Prompt tokens that an engine prefills per second, from the deployment data sheets.
const PREFILL_RATE: f64 = 38_100.0;

/// Extra seconds for each pair of tokens of one prompt, from the engine specifications of the sites.
const TOKEN_PAIR_TIME: f64 = 0.37e-9;

/// Prefill time of one group: the 300 ms for which a stream may stall, less the steps of one event.
const GROUP_PREFILL: Duration = Duration::from_millis(240);

/// Gap between two groups: the steps of one event without any prefill.
const GROUP_GAP: Duration = Duration::from_millis(40);

/// Tokens of a prompt of which other entries are told at a time; their prefill takes about as long as a group.
pub const PIECE_TOKENS: u32 = 8_192;

/// Smoothing factor for new measurements of an engine's speed.
const SLOWDOWN_SMOOTHING: f64 = 0.2;

/// Limits of an engine's measured slowdown.
const SLOWDOWN: std::ops::RangeInclusive<f64> = 0.8..=2.0;

/// Longest wait for the prompts before a request's own, as a share of the time in which its response is on time; the
/// rest is for its own prompt.
const MAX_WAIT_SHARE: f64 = 0.6;

/// Shortest prefill that is used as a measurement; below it, other delays dominate.
const MIN_MEASURED_PREFILL: Duration = Duration::from_millis(40);

/// Prefill schedule of one engine.
#[derive(Clone, Copy, Debug)]
struct EngineSchedule {
    /// Expected end of all reserved prefill.
    ends: BootInstant,
    /// Send time of the last group.
    group_start: BootInstant,
    /// Prefill time of that group.
    group: Duration,
    /// Measured time over the time expected by the engine's relative speed.
    slowdown: f64,
    /// Time until which other entries reserve what they were last told by this one.
    told_until: BootInstant,
    /// Tokens of which they were told though they are not prefilled.
    told_in_vain: u32,
}

/// Prefill of one prompt, as reserved.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// Time until the prompt may be sent.
    pub wait: Duration,
    /// Time from then until its prefill ends.
    pub expected: Duration,
    /// Part of that which is its own.
    time: Duration,
    /// Send time of its group.
    group_start: BootInstant,
}

/// Prefill schedules of all engines.
#[derive(Debug, Default)]
pub struct PrefillSchedule {
    engines: HashMap<UpstreamId, EngineSchedule>,
    /// Speeds of engines relative to the mean of their service, where they differ from it.
    speeds: HashMap<UpstreamId, f64>,
}

/// Returns the time that an engine of nominal speed takes to prefill a prompt of `tokens`.
pub fn prefill_time(tokens: u32) -> Duration {
    let tokens = f64::from(tokens);
    Duration::from_secs_f64(tokens / PREFILL_RATE + tokens * tokens * TOKEN_PAIR_TIME)
}

/// Returns the time between the ends of two pieces of a prompt in the schedules of other entries.
pub fn piece_interval() -> Duration {
    prefill_time(PIECE_TOKENS) + GROUP_GAP
}

/// Returns how long a request may wait for the prompts before its own if its response is on time within `target`.
pub fn max_wait(target: Duration) -> Duration {
    target.mul_f64(MAX_WAIT_SHARE)
}

impl EngineSchedule {
    /// Returns how long a prompt with the prefill time `time` must wait, and whether it starts a new group.
    fn wait(&self, time: Duration, now: BootInstant) -> (Duration, bool) {
        let next = self.ends + GROUP_GAP;
        if now >= next {
            return (Duration::ZERO, true);
        }
        if self.group + time <= GROUP_PREFILL {
            return (self.group_start.since(now), false);
        }
        (next.since(now), true)
    }
}

impl PrefillSchedule {
    /// Returns the time until a prompt of `tokens` may be sent to `upstream`.
    pub fn wait(&self, upstream: &str, tokens: u32, now: BootInstant) -> Duration {
        let Some(engine) = self.engines.get(upstream) else {
            return Duration::ZERO;
        };
        let time = self.time(upstream, tokens).mul_f64(engine.slowdown);
        engine.wait(time, now).0
    }

    /// Replaces the relative speeds of the engines; those not named have that of their service. A slowdown that was measured
    /// here is taken relative to the new speed, so that it doesn't count twice.
    pub fn set_speeds<'a>(&mut self, speeds: impl Iterator<Item = (&'a UpstreamId, f64)>) {
        let new: HashMap<UpstreamId, f64> =
            speeds.map(|(id, speed)| (Arc::clone(id), speed)).collect();
        let speed_in = |all: &HashMap<UpstreamId, f64>, id| all.get(id).copied().unwrap_or(1.0);
        for (id, engine) in &mut self.engines {
            let change = speed_in(&new, id) / speed_in(&self.speeds, id);
            if (change - 1.0).abs() > f64::EPSILON {
                let slowdown = engine.slowdown * change;
                engine.slowdown = slowdown.clamp(*SLOWDOWN.start(), *SLOWDOWN.end());
            }
        }
        self.speeds = new;
    }

    /// Returns the time that `upstream` takes to prefill a prompt by its relative speed.
    fn time(&self, upstream: &str, tokens: u32) -> Duration {
        let speed = self.speeds.get(upstream).copied().unwrap_or(1.0);
        prefill_time(tokens).div_f64(speed)
    }

    /// Reserves the prefill of a prompt at `upstream` for good; returns the time until it may be sent, and the time from then
    /// until its prefill ends.
    pub fn reserve(
        &mut self,
        upstream: &UpstreamId,
        tokens: u32,
        now: BootInstant,
    ) -> (Duration, Duration) {
        let reserved = self.begin(upstream, tokens, now);
        (reserved.wait, reserved.expected)
    }

    /// Reserves the prefill of a prompt at `upstream` until it is released.
    pub fn begin(&mut self, upstream: &UpstreamId, tokens: u32, now: BootInstant) -> Reservation {
        let time = self.time(upstream, tokens);
        let entry = self.engines.entry(Arc::clone(upstream));
        let engine = entry.or_insert(EngineSchedule {
            ends: now,
            group_start: now,
            group: Duration::ZERO,
            slowdown: 1.0,
            told_until: now,
            told_in_vain: 0,
        });
        let time = time.mul_f64(engine.slowdown);
        let (wait, starts_group) = engine.wait(time, now);
        if starts_group {
            engine.group_start = now + wait;
            engine.group = Duration::ZERO;
        }
        engine.group += time;
        engine.ends = engine.ends.max(now + wait) + time;
        Reservation {
            wait,
            expected: engine.ends.since(now + wait),
            time,
            group_start: engine.group_start,
        }
    }

    /// Returns the tokens of which other entries are told at first, of a prompt of `tokens` that is `reserved`.
    pub fn tell(
        &mut self,
        upstream: &str,
        reserved: Reservation,
        tokens: u32,
        now: BootInstant,
    ) -> u32 {
        let piece = tokens.min(PIECE_TOKENS);
        let Some(engine) = self.engines.get_mut(upstream) else {
            return piece;
        };
        if now >= engine.told_until {
            engine.told_in_vain = 0;
        }
        let known = piece.min(engine.told_in_vain);
        engine.told_in_vain -= known;
        let told = piece - known;
        if told > 0 {
            let until = now + reserved.wait + prefill_time(told);
            engine.told_until = engine.told_until.max(until);
        }
        told
    }

    /// Takes back a reservation whose prompt of `tokens` is not prefilled, or no longer.
    pub fn release(
        &mut self,
        upstream: &str,
        reserved: Reservation,
        tokens: u32,
        now: BootInstant,
    ) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let piece = tokens.min(PIECE_TOKENS);
        engine.told_in_vain = engine.told_in_vain.saturating_add(piece);
        // Prompts of later groups wait for the end of this one already.
        if engine.group_start == reserved.group_start && now < engine.ends {
            engine.group = engine.group.saturating_sub(reserved.time);
            engine.ends = if engine.group.is_zero() {
                // The group before it has ended by then.
                engine.group_start - GROUP_GAP
            } else {
                now.max(engine.ends - reserved.time)
            };
        }
    }

    /// Records that a prefill expected to take `expected` took `measured`.
    pub fn record_measurement(&mut self, upstream: &str, expected: Duration, measured: Duration) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if expected < MIN_MEASURED_PREFILL {
            return;
        }
        let ratio = measured.as_secs_f64() / expected.as_secs_f64() * engine.slowdown;
        let slowdown = engine.slowdown + (ratio - engine.slowdown) * SLOWDOWN_SMOOTHING;
        engine.slowdown = slowdown.clamp(*SLOWDOWN.start(), *SLOWDOWN.end());
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &str) {
        self.engines.remove(upstream);
        self.speeds.remove(upstream);
    }
}
