//! Order of admission among the requests of one service, by priority.
//!
//! Each entry decides alone on arrival, from what all entries know: the routes and customers of the configuration, the
//! prompts that wait at an engine, the forecast of an adapter load. A request may join a queue only while the queue is
//! so short that a more urgent request which comes next is still served in time. So a queue never grows, by less urgent
//! requests, beyond what the more urgent ones accept, and under overload the least urgent are refused first.
//!
//! The threshold over priority is DAGOR's (H. Zhou et al.: "Overload Control for Scaling `WeChat` Microservices", 2018);
//! it is compared with a forecast of the wait at the engine that is asked, in place of a mean queueing time, as entries
//! share what these forecasts are made of.
//!
//! | load pattern | response |
//! |---|---|
//! | more prompts or loads are asked for than the engines can give | requests with the lowest priority are refused first, and at once |
//! | a burst of the lowest priority | it uses what the others leave: loads under way beyond those that the most urgent requests had lately, and waits of half of theirs |
//! | more urgent requests alone fill the engines | one in [`KEPT_ONE_IN`] of the less urgent requests waits as if no request was more urgent, so that none starve |
//! | all routes and customers have one priority, or there are no customers | every request waits as long as its own target allows |

use crate::{clock::BootInstant, decide::load_limit::LoadCounts, edge::deployment::Deployment};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

/// Part of the wait of the more urgent requests that less urgent ones may fill; the rest is for what the urgent ones
/// that come meanwhile need.
const FILLED_SHARE: f64 = 0.5;

/// Part of its target that a request may spend on waiting for its adapter; the rest is for its prompt.
const LOAD_SHARE: f64 = 0.8;

/// Part of the time left that a request may wait for its adapter even if its response comes late, as a late one is worth
/// more than none.
const LATE_LOAD_SHARE: f64 = 0.2;

/// Time over which the loads for the most urgent requests are averaged, and after which a refused one weighs 0.37.
pub const AVERAGED: Duration = Duration::from_secs(1);

/// Loads kept free in addition for each refused load of an urgent request.
const KEPT_FOR_REFUSED: f64 = 2.0;

/// Number of less urgent requests of which one waits as if no request was more urgent.
const KEPT_ONE_IN: u32 = 8;

/// Standing of a request among the others of its service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Standing {
    /// Shortest target of the more urgent requests of the service; `None` if no request is more urgent.
    pub urgent_target: Option<Duration>,
    /// Whether the requests of the service have different priorities.
    pub is_ordered: bool,
    /// Whether it is one of the less urgent requests that wait as if no request was more urgent.
    pub is_kept: bool,
}

impl Standing {
    /// Returns whether no request goes before it.
    pub fn is_urgent(self) -> bool {
        self.urgent_target.is_none() || self.is_kept
    }

    /// Returns the longest wait that a request accepts which may wait for `own` by its own target; `wait_of` returns how
    /// long a request with a given target may wait.
    pub fn max_wait(self, own: Duration, wait_of: impl Fn(Duration) -> Duration) -> Duration {
        let urgent = self.urgent_target.filter(|_| !self.is_kept);
        let bound = urgent.map(|t| wait_of(t).mul_f64(FILLED_SHARE));
        bound.map_or(own, |bound| own.min(bound))
    }

    /// Returns how long a request may wait for its adapter that has waited for `elapsed` and has `left` until its deadline.
    ///
    /// Where requests have different priorities, none waits behind other loads that can only be late: it would keep those
    /// behind it from being in time.
    pub fn load_waits(self, target: Duration, elapsed: Duration, left: Duration) -> LoadWaits {
        let in_time = load_wait(target).saturating_sub(elapsed);
        let late = left.mul_f64(LATE_LOAD_SHARE);
        let queued = if self.is_ordered {
            self.max_wait(in_time, load_wait)
        } else {
            in_time.max(late)
        };
        LoadWaits {
            queued,
            idle: queued.max(late),
        }
    }
}

/// How long a request may wait for its adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadWaits {
    /// If other loads wait before its own.
    pub queued: Duration,
    /// If its load begins at once.
    pub idle: Duration,
}

/// Returns how long a request may wait for its adapter if its response is in time within `target`.
fn load_wait(target: Duration) -> Duration {
    target.mul_f64(LOAD_SHARE)
}

/// Targets of the requests of each service, by priority.
#[derive(Clone, Debug, Default)]
pub struct Standings {
    services: HashMap<Arc<str>, BTreeMap<u8, Duration>>,
}

impl Standings {
    /// Collects the priorities of the routes and customers of `deployment`. There is no order where it has no customers: the
    /// less urgent routes of one customer would lose more than the urgent ones gain.
    pub fn new(deployment: &Deployment) -> Self {
        let Some(customers) = &deployment.customers else {
            return Self::default();
        };
        let ranked: Vec<u8> = customers.iter().filter_map(|c| c.priority).collect();
        let mut services: HashMap<Arc<str>, BTreeMap<u8, Duration>> = HashMap::new();
        for route in &deployment.routes {
            for target in route.targets.iter().filter(|t| t.weight > 0) {
                let targets = services.entry(Arc::clone(&target.service)).or_default();
                for priority in ranked.iter().chain([&route.priority]) {
                    let shortest = targets.entry(*priority).or_insert(route.target);
                    *shortest = route.target.min(*shortest);
                }
            }
        }
        Self { services }
    }

    /// Returns the standing of a request for `service` with `priority`; 0 is the highest.
    pub fn standing(&self, service: &str, priority: u8) -> Standing {
        let targets = self.services.get(service);
        let urgent = targets.and_then(|t| t.range(..priority).map(|(_, target)| *target).min());
        Standing {
            urgent_target: urgent,
            is_ordered: targets.is_some_and(|t| t.len() > 1),
            is_kept: false,
        }
    }
}

/// Picks the less urgent requests that wait as if no request was more urgent: one in [`KEPT_ONE_IN`], but no more than
/// one for as many urgent requests, so that a burst of less urgent ones gets no larger share.
#[derive(Clone, Debug, Default)]
pub struct KeptShare {
    services: HashMap<Arc<str>, BTreeMap<u8, KeptCounts>>,
}

/// Requests since the last one that was picked, up to [`KEPT_ONE_IN`].
#[derive(Clone, Copy, Debug, Default)]
struct KeptCounts {
    own: u32,
    urgent: u32,
}

impl KeptShare {
    /// Counts a request for `service`; returns the standing by which it is admitted.
    pub fn apply(&mut self, service: &Arc<str>, priority: u8, standing: Standing) -> Standing {
        if !standing.is_ordered {
            return standing;
        }
        let counts = self.services.entry(Arc::clone(service)).or_default();
        if standing.urgent_target.is_none() {
            for lower in counts.values_mut() {
                lower.urgent = (lower.urgent + 1).min(KEPT_ONE_IN);
            }
            return standing;
        }
        let counts = counts.entry(priority).or_default();
        counts.own = (counts.own + 1).min(KEPT_ONE_IN);
        let is_kept = counts.own.min(counts.urgent) == KEPT_ONE_IN;
        if is_kept {
            *counts = KeptCounts::default();
        }
        Standing {
            is_kept,
            ..standing
        }
    }
}

/// Loads that the most urgent requests asked for lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct UrgentLoads {
    /// Mean number under way and waiting.
    mean: f64,
    /// Number kept free since some were refused, which are in no count.
    refused: f64,
    /// Time of the last observation.
    at: BootInstant,
}

impl UrgentLoads {
    /// Records the loads at all engines.
    pub fn observe(&mut self, fleet: LoadCounts, now: BootInstant) {
        let age = now.since(self.at).as_secs_f64() / AVERAGED.as_secs_f64();
        let weight = 1.0 - (-age).exp();
        self.mean += (f64::from(fleet.urgent) - self.mean) * weight;
        self.refused -= self.refused * weight;
        self.at = now;
    }

    /// Records that a load of an urgent request was refused.
    pub fn record_refused(&mut self, limit: f64) {
        self.refused = (self.refused + KEPT_FOR_REFUSED).min(limit);
    }

    /// Returns whether a load for a less urgent request leaves room, within `limit` loads, for as many urgent ones as there
    /// are and were lately.
    pub fn leave_room(&self, fleet: LoadCounts, limit: f64) -> bool {
        let all = fleet.running + fleet.waiting;
        let others = all.saturating_sub(fleet.urgent);
        let urgent = self.mean.max(f64::from(fleet.urgent)) + self.refused;
        f64::from(others + 1) + urgent <= limit
    }
}

/// State of an entry by which it orders requests.
#[derive(Clone, Debug, Default)]
pub struct StandingState {
    /// Less urgent requests that wait as if no request was more urgent.
    pub kept: KeptShare,
    /// Loads for the most urgent requests.
    pub urgent_loads: UrgentLoads,
}
