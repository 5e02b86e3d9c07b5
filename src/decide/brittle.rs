//! Keeps brittle upstreams from being overrun: one that rejects more than a few requests in a second crashes.
//!
//! | load pattern | response |
//! |---|---|
//! | several entries send at the same moment, before they know of each other | each entry keeps a part of the upstream's room for itself |
//! | the upstream lets fewer requests wait than its slots say | a rejection halves the room that is assumed; each second without one adds to it |
//! | a burst at all entries | a few rejections, of all entries together, close the upstream for a second |
//! | the upstream is no longer brittle | a response that doesn't say so lifts it; without any response it expires |

use crate::{clock::BootInstant, ident::UpstreamId};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Time after which a response expires that says that its upstream is brittle.
const BRITTLE_TTL: Duration = Duration::from_secs(10);

/// Window in which an upstream counts the requests that it rejects.
const WINDOW: Duration = Duration::from_secs(1);

/// Part of the tolerated rejections after which an upstream is closed; the rest is for requests that are on their way.
const CLOSING_SHARE: f64 = 0.25;

/// Room that is added in a second without a rejection, in requests.
const REGAINED_ROOM: f64 = 1.0;

/// Factor of the room after a rejection.
const ROOM_DECREASE: f64 = 0.5;

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Brittle {
    /// Rejections in a second that it tolerates.
    bound: u32,
    seen: BootInstant,
    /// Requests that it takes at once, as assumed at `assumed`.
    room: f64,
    assumed: BootInstant,
}

impl Brittle {
    fn is_fresh(&self, now: BootInstant) -> bool {
        now.since(self.seen) < BRITTLE_TTL
    }

    fn room(&self, now: BootInstant) -> f64 {
        self.room + now.since(self.assumed).as_secs_f64() * REGAINED_ROOM
    }
}

/// Number of requests that a brittle upstream may get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allowance {
    /// At once, from all entries.
    pub total: u32,
    /// At once, from this entry.
    pub own: u32,
}

/// Upstreams that are brittle, and their recent rejections.
#[derive(Debug, Default)]
pub struct BrittleUpstreams {
    upstreams: HashMap<UpstreamId, Brittle>,
    rejections: HashMap<UpstreamId, VecDeque<BootInstant>>,
}

impl BrittleUpstreams {
    /// Records that a response at `seen` named `bound`, or none; returns whether the upstream's state is a new one.
    pub fn observe(&mut self, id: &UpstreamId, bound: Option<u32>, seen: BootInstant) -> bool {
        let known = self.upstreams.get_mut(id).filter(|b| b.is_fresh(seen));
        match (known, bound) {
            (Some(known), _) if seen <= known.seen => false,
            (Some(known), Some(bound)) => {
                known.seen = seen;
                std::mem::replace(&mut known.bound, bound) != bound
            }
            (Some(_), None) => self.upstreams.remove(id).is_some(),
            (None, None) => false,
            (None, Some(bound)) => {
                let brittle = Brittle {
                    bound,
                    seen,
                    room: f64::from(u32::MAX),
                    assumed: seen,
                };
                self.upstreams.insert(UpstreamId::clone(id), brittle);
                true
            }
        }
    }

    /// Counts requests that `id` rejected while all entries had `in_flight` requests there.
    pub fn record_rejections(
        &mut self,
        id: &UpstreamId,
        count: u32,
        in_flight: u32,
        now: BootInstant,
    ) {
        let rejections = self.rejections.entry(UpstreamId::clone(id)).or_default();
        rejections.retain(|at| now.since(*at) < WINDOW);
        rejections.extend(std::iter::repeat_n(now, count as usize));
        if let Some(brittle) = self.upstreams.get_mut(id) {
            let room = brittle.room(now).min(f64::from(in_flight));
            brittle.room = (room * ROOM_DECREASE).max(1.0);
            brittle.assumed = now;
        }
    }

    /// Returns whether `id` is brittle.
    pub fn is_brittle(&self, id: &str, now: BootInstant) -> bool {
        self.upstreams.get(id).is_some_and(|b| b.is_fresh(now))
    }

    /// Returns how many requests `id`, with this number of slots, may get if `entries` entries send to it; `None` if it isn't
    /// brittle.
    pub fn allowance(
        &self,
        id: &str,
        slots: u32,
        entries: usize,
        now: BootInstant,
    ) -> Option<Allowance> {
        let brittle = self.upstreams.get(id).filter(|b| b.is_fresh(now))?;
        let total = brittle.room(now).min(f64::from(slots)).max(1.0) as u32;
        let own = (total / entries.max(1) as u32).max(1);
        Some(Allowance { total, own })
    }

    /// Returns the time for which `id` is closed after rejections; zero if it is not.
    pub fn wait(&self, id: &str, now: BootInstant) -> Duration {
        let Some(brittle) = self.upstreams.get(id).filter(|b| b.is_fresh(now)) else {
            return Duration::ZERO;
        };
        let tolerated = (f64::from(brittle.bound) * CLOSING_SHARE).max(1.0) as usize;
        let recent = self.rejections.get(id).into_iter().flatten();
        let recent: Vec<&BootInstant> = recent.filter(|at| now.since(**at) < WINDOW).collect();
        // Open again once fewer than `tolerated` are left in the window.
        let decisive = recent
            .len()
            .checked_sub(tolerated)
            .and_then(|n| recent.get(n));
        decisive.map_or(Duration::ZERO, |at| (**at + WINDOW).since(now))
    }

    /// Returns the upstreams that are brittle: their bounds, and when they last said so.
    pub fn observed(
        &self,
        now: BootInstant,
    ) -> impl Iterator<Item = (&UpstreamId, u32, BootInstant)> {
        let fresh = self.upstreams.iter().filter(move |(_, b)| b.is_fresh(now));
        fresh.map(|(id, b)| (id, b.bound, b.seen))
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, id: &str) {
        self.upstreams.remove(id);
        self.rejections.remove(id);
    }
}
