//! Spreads prompts over time, so that no engine reads too many at once.
//!
//! Load pattern: an engine reads prompts in large pieces between the tokens of its running streams, and an event
//! of a stream takes several of its steps. When prompts of some ten thousand tokens arrive at one engine within a
//! third of a second, every stream there pauses for longer than its callers accept, although the engine has free
//! places. All entries keep the same schedule of each engine's reading: prompts go there in groups that are read
//! within the accepted pause, with time for one event between two groups.

use crate::{clock::BootInstant, ident::UpstreamId};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Prompt tokens that an engine reads in a second, as the deployments' sheets say.
const READ_RATE: f64 = 38_100.0;

/// Seconds beside that for each pair of tokens of one prompt, from the engines' description in the site files.
const PAIR_TIME: f64 = 0.37e-9;

/// Reading that is sent as one group: the 300 ms for which a stream may pause, less the steps of one event.
const GROUP: Duration = Duration::from_millis(240);

/// Pause between two groups: the steps of one event without any reading.
const GROUP_GAP: Duration = Duration::from_millis(40);

/// Weight of a new measurement of an engine's speed.
const SPEED_WEIGHT: f64 = 0.2;

/// Bounds of an engine's measured slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.8..=2.0;

/// Shortest reading from which an engine's speed is measured; below it, other delays count too much.
const MIN_MEASURED: Duration = Duration::from_millis(40);

/// Reading at one engine.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// When all that was reserved will have been read.
    done: BootInstant,
    /// When the last group may be sent.
    begins: BootInstant,
    /// Reading in that group.
    group: Duration,
    /// Measured time over expected time.
    slowness: f64,
}

/// Reading at all engines.
#[derive(Debug, Default)]
pub struct PrefillSchedule {
    engines: HashMap<UpstreamId, Reading>,
}

/// Time that an engine of usual speed takes to read a prompt of `tokens`.
pub fn prefill_time(tokens: u32) -> Duration {
    let tokens = f64::from(tokens);
    Duration::from_secs_f64(tokens / READ_RATE + tokens * tokens * PAIR_TIME)
}

impl Reading {
    /// How long a prompt that takes `time` must wait, and whether it begins a group.
    fn wait(&self, time: Duration, now: BootInstant) -> (Duration, bool) {
        let next = self.done + GROUP_GAP;
        if now >= next {
            return (Duration::ZERO, true);
        }
        if self.group + time <= GROUP {
            return (self.begins.since(now), false);
        }
        (next.since(now), true)
    }
}

impl PrefillSchedule {
    /// Time until a prompt of `tokens` may be sent to `upstream`.
    pub fn wait(&self, upstream: &str, tokens: u32, now: BootInstant) -> Duration {
        let Some(reading) = self.engines.get(upstream) else {
            return Duration::ZERO;
        };
        let time = prefill_time(tokens).mul_f64(reading.slowness);
        reading.wait(time, now).0
    }

    /// Reserves the reading of a prompt at `upstream`; the time until it may be sent, and until it will have
    /// been read.
    pub fn reserve(
        &mut self,
        upstream: &UpstreamId,
        tokens: u32,
        now: BootInstant,
    ) -> (Duration, Duration) {
        let entry = self.engines.entry(Arc::clone(upstream));
        let reading = entry.or_insert(Reading {
            done: now,
            begins: now,
            group: Duration::ZERO,
            slowness: 1.0,
        });
        let time = prefill_time(tokens).mul_f64(reading.slowness);
        let (wait, begins) = reading.wait(time, now);
        if begins {
            reading.begins = now + wait;
            reading.group = Duration::ZERO;
        }
        reading.group += time;
        reading.done = reading.done.max(now + wait) + time;
        (wait, reading.done.since(now + wait))
    }

    /// Takes in that a prompt that was expected to be read in `expected` was read in `measured`.
    pub fn record_measurement(&mut self, upstream: &str, expected: Duration, measured: Duration) {
        let Some(reading) = self.engines.get_mut(upstream) else {
            return;
        };
        if expected < MIN_MEASURED {
            return;
        }
        let ratio = measured.as_secs_f64() / expected.as_secs_f64() * reading.slowness;
        let slowness = reading.slowness + (ratio - reading.slowness) * SPEED_WEIGHT;
        reading.slowness = slowness.clamp(*SLOWNESS.start(), *SLOWNESS.end());
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &str) {
        self.engines.remove(upstream);
    }
}
