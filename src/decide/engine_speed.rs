//! Learns how fast engines generate, relative to the others of their service.
//!
//! | what happens | response |
//! |---|---|
//! | engines of one service differ in speed | each engine's mean time between events is compared with the mean speed of its service |
//! | prompts of other requests delay single events | the median of a few consecutive times counts for all of them |
//! | an engine is slow for a fraction of a second | a mean over some seconds, and a band around the mean speed within which engines count as equal |
//! | an engine turns much slower or faster | a mean over a short time replaces the long one if the two are far apart |
//! | too few events are known of an engine | it counts as the median of its service |
//! | another process starts under the same name | it begins without samples |

use crate::{clock::BootInstant, ident::UpstreamId};
use std::{collections::HashMap, ops::RangeInclusive, sync::Arc, time::Duration};

/// Consecutive times between events of which the median counts.
const GROUP: usize = 8;

/// Decay time of the mean that applies usually.
const LONG_MEMORY: Duration = Duration::from_secs(8);

/// Decay time of the mean that applies after a change of speed.
const SHORT_MEMORY: Duration = Duration::from_millis(1_500);

/// Ratio of the two means above which the speed has changed.
const CHANGE_RATIO: f64 = 1.6;

/// Events below which a mean says nothing.
const MIN_EVENTS: f64 = 24.0;

/// Speeds relative to the mean of a service that count as equal to it.
const EQUAL: RangeInclusive<f64> = 0.75..=1.34;

/// Limits of a relative speed.
const SPEEDS: RangeInclusive<f64> = 0.1..=4.0;

/// Interval at which relative speeds are computed anew.
const REFRESH: Duration = Duration::from_millis(250);

/// Part of the time between two events for which the entry must have waited for the engine; otherwise the caller was
/// the slower one, and the time says nothing of the engine.
const MIN_WAITED_SHARE: f64 = 0.5;

/// Events that an engine has generated, and the time that this took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EventTimes {
    /// Number of events.
    pub events: u32,
    /// Time from the event before the first of them to the last.
    pub time: Duration,
}

impl std::ops::AddAssign for EventTimes {
    fn add_assign(&mut self, rhs: Self) {
        self.events = self.events.saturating_add(rhs.events);
        self.time = self.time.saturating_add(rhs.time);
    }
}

/// Times between the events that one upstream sends of a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamTimes {
    times: Vec<Duration>,
    /// Time spent waiting for the upstream since the last event.
    waited: Duration,
}

impl StreamTimes {
    /// Adds time spent waiting for the upstream.
    pub fn wait(&mut self, time: Duration) {
        self.waited += time;
    }

    /// Adds the time `gap` after which the stream came from event `before` to event `after`; one event if they aren't known.
    /// Returns the sum of a full group.
    pub fn add(
        &mut self,
        gap: Duration,
        before: Option<u64>,
        after: Option<u64>,
    ) -> Option<EventTimes> {
        let waited = std::mem::take(&mut self.waited);
        if waited < gap.mul_f64(MIN_WAITED_SHARE) {
            return None;
        }
        let events = after.zip(before).map_or(1, |(a, b)| a.saturating_sub(b));
        let events = events.clamp(1, GROUP as u64) as u32;
        self.times.extend((0..events).map(|_| gap / events));
        if self.times.len() < GROUP {
            return None;
        }
        self.finish()
    }

    /// Returns the sum of the times that are left, if there are any.
    pub fn finish(&mut self) -> Option<EventTimes> {
        let mut times = std::mem::take(&mut self.times);
        times.sort_unstable();
        let median = *times.get(times.len().checked_sub(1)? / 2)?;
        let events = times.len() as u32;
        Some(EventTimes {
            events,
            time: median * events,
        })
    }
}

/// Process of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProcess<'a> {
    /// Engine.
    pub id: &'a UpstreamId,
    /// Service to which it belongs.
    pub service: &'a str,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
}

/// Sums that lose weight with age.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    events: f64,
    seconds: f64,
    at: BootInstant,
}

impl Fading {
    fn at(self, now: BootInstant, memory: Duration) -> Self {
        let age = now.since(self.at).as_secs_f64();
        let kept = (-age / memory.as_secs_f64()).exp();
        Self {
            events: self.events * kept,
            seconds: self.seconds * kept,
            at: self.at.max(now),
        }
    }

    fn add(&mut self, times: EventTimes, now: BootInstant, memory: Duration) {
        *self = self.at(now, memory);
        self.events += f64::from(times.events);
        self.seconds += times.time.as_secs_f64();
    }

    /// Returns the events a second; `None` if too few are known.
    fn rate(self, now: BootInstant, memory: Duration) -> Option<f64> {
        let faded = self.at(now, memory);
        let is_known = faded.events >= MIN_EVENTS && faded.seconds > 0.0;
        is_known.then(|| faded.events / faded.seconds)
    }
}

/// What is known of one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    born: Option<u64>,
    long: Fading,
    short: Fading,
}

impl Learned {
    /// Adds what was measured, and forgets what was before a change of speed.
    fn add(&mut self, times: EventTimes, now: BootInstant) {
        self.long.add(times, now, LONG_MEMORY);
        self.short.add(times, now, SHORT_MEMORY);
        let rates = self
            .long
            .rate(now, LONG_MEMORY)
            .zip(self.short.rate(now, SHORT_MEMORY));
        if rates.is_some_and(|(long, short)| short.max(long) > short.min(long) * CHANGE_RATIO) {
            self.long = self.short;
        }
    }

    /// Returns the events a second of one stream.
    fn rate(&self, now: BootInstant) -> Option<f64> {
        self.long.rate(now, LONG_MEMORY)
    }
}

/// Speeds of all engines.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    engines: HashMap<UpstreamId, Learned>,
    /// Speeds relative to the mean of the service, where they differ from it.
    relative: HashMap<UpstreamId, f64>,
    refreshed: Option<BootInstant>,
}

impl EngineSpeeds {
    /// Adds what any entry has measured at the process of `upstream` that started at `born`.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        born: Option<u64>,
        times: EventTimes,
        now: BootInstant,
    ) {
        let learned = self.engines.entry(Arc::clone(upstream)).or_default();
        if learned.born > born {
            return;
        }
        if learned.born < born {
            *learned = Learned {
                born,
                ..Learned::default()
            };
        }
        learned.add(times, now);
    }

    /// Returns whether the relative speeds are due to be computed anew.
    pub fn is_due(&self, now: BootInstant) -> bool {
        self.refreshed.is_none_or(|at| now.since(at) >= REFRESH)
    }

    /// Computes the relative speeds of `engines`, all that are registered.
    pub fn refresh(&mut self, engines: &[EngineProcess<'_>], now: BootInstant) {
        self.refreshed = Some(now);
        self.relative.clear();
        let mut services: HashMap<&str, Vec<&EngineProcess<'_>>> = HashMap::new();
        for engine in engines {
            services.entry(engine.service).or_default().push(engine);
        }
        for service in services.values() {
            self.compare(service, now);
        }
    }

    /// Compares the engines of one service.
    fn compare(&mut self, engines: &[&EngineProcess<'_>], now: BootInstant) {
        let rates: Vec<Option<f64>> = engines.iter().map(|e| self.rate(e, now)).collect();
        let mut known: Vec<f64> = rates.iter().copied().flatten().collect();
        known.sort_by(f64::total_cmp);
        let Some(median) = known.get(known.len() / 2).copied() else {
            return;
        };
        let all = rates.iter().map(|rate| rate.unwrap_or(median));
        let mean = all.clone().sum::<f64>() / rates.len() as f64;
        for (engine, rate) in engines.iter().zip(all) {
            let speed = rate / mean;
            if !EQUAL.contains(&speed) {
                let speed = speed.clamp(*SPEEDS.start(), *SPEEDS.end());
                self.relative.insert(Arc::clone(engine.id), speed);
            }
        }
    }

    fn rate(&self, engine: &EngineProcess<'_>, now: BootInstant) -> Option<f64> {
        let learned = self.engines.get(engine.id)?;
        (learned.born == engine.born).then(|| learned.rate(now))?
    }

    /// Returns the speed of an engine relative to the mean of its service; 1 if they count as equal.
    pub fn speed(&self, upstream: &str) -> f64 {
        self.relative.get(upstream).copied().unwrap_or(1.0)
    }

    /// Returns the engines that are slower or faster than the mean of their service, with their relative speeds.
    pub fn uneven(&self) -> impl Iterator<Item = (&UpstreamId, f64)> {
        self.relative.iter().map(|(id, speed)| (id, *speed))
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &str) {
        self.engines.remove(upstream);
        self.relative.remove(upstream);
    }
}
