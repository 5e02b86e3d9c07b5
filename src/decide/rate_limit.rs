//! Rate limits that overloaded upstreams name in their responses, kept by all entries together.
//!
//! | load pattern | response |
//! |---|---|
//! | an overloaded upstream takes fewer requests than the entries send it | one leaky bucket per upstream, which counts the requests of all entries; what it does not take goes to the other upstreams |
//! | several entries send at the same moment, before they know of each other | each request counts when it becomes known, so that an excess delays the next ones |
//! | the network between entries fails, or one of them freezes | an entry keeps the part of the limit that is its own if each entry that it does not hear sends as much as it does |
//! | all upstreams of a service are limited | the request is refused at once with the time until one takes the next |
//! | the overload ends | a response that names no limit lifts it; without any response it expires |

use crate::{clock::BootInstant, ident::UpstreamId};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// Time after which a limit expires that no response has named again.
const LIMIT_TTL: Duration = Duration::from_secs(10);

/// Lowest rate that is kept, in requests a second: below it, responses would be too rare to show the end of the
/// overload.
const MIN_RATE: f64 = 0.25;

/// Time whose requests may be sent at once after a pause.
pub const BURST: Duration = Duration::from_secs(1);

/// Lowest capacity of a bucket, in requests.
const MIN_CAPACITY: f64 = 1.0;

/// Effect of an observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The limit is a new one; the earlier one, if any, is given.
    Named(Option<f64>),
    /// The upstream no longer limits its requests.
    Lifted,
    /// Nothing changed, or a newer observation is known.
    Unchanged,
}

/// Limit of one upstream, as last observed by any entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedLimit {
    /// Requests a second from all entries together; `None` if the upstream no longer names a limit.
    pub per_second: Option<f64>,
    /// When a response last said so.
    pub seen: BootInstant,
}

impl ObservedLimit {
    /// Returns the rate to keep, in requests a second of all entries together, unless the limit was lifted or has expired.
    fn rate(&self, now: BootInstant) -> Option<f64> {
        let is_fresh = now.since(self.seen) < LIMIT_TTL;
        let rate = self.per_second.filter(|_| is_fresh)?;
        Some(rate.max(MIN_RATE))
    }
}

/// Requests to one upstream that have not yet drained at its rate.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Level in requests at `updated`.
    level: f64,
    updated: BootInstant,
}

impl Bucket {
    fn level(&self, rate: f64, now: BootInstant) -> f64 {
        let drained = now.since(self.updated).as_secs_f64() * rate;
        (self.level - drained).max(0.0)
    }

    fn add(&mut self, requests: u32, rate: f64, now: BootInstant) {
        self.level = self.level(rate, now) + f64::from(requests);
        self.updated = now;
    }

    /// Returns the time until the bucket has room for one request.
    fn wait(&self, rate: f64, now: BootInstant) -> Duration {
        let capacity = (rate * BURST.as_secs_f64()).max(MIN_CAPACITY);
        let excess = self.level(rate, now) + 1.0 - capacity;
        Duration::from_secs_f64((excess / rate).max(0.0))
    }
}

#[derive(Clone, Copy, Debug)]
struct LimitedUpstream {
    limit: ObservedLimit,
    bucket: Bucket,
}

/// Limits of all upstreams that named one.
#[derive(Debug, Default)]
pub struct RateLimits {
    upstreams: HashMap<UpstreamId, LimitedUpstream>,
    /// Upstreams whose last response named a limit that can't be parsed.
    unparsable: HashSet<UpstreamId>,
    /// Entries that may send requests of which this entry does not learn.
    unheard: usize,
}

impl RateLimits {
    /// Records that a response named a limit that can't be parsed, which leaves the last one in force; returns whether
    /// the response before it was a valid one.
    pub fn observe_invalid(&mut self, id: &UpstreamId) -> bool {
        self.unparsable.insert(UpstreamId::clone(id))
    }

    /// Records what a response said of its upstream's limit, in requests a second.
    pub fn observe(
        &mut self,
        id: &UpstreamId,
        per_second: Option<f64>,
        seen: BootInstant,
    ) -> LimitChange {
        self.unparsable.remove(id);
        // Drops what has expired, so that a limit that is named again is a new one.
        self.upstreams
            .retain(|_, upstream| seen.since(upstream.limit.seen) < LIMIT_TTL);
        let limit = ObservedLimit { per_second, seen };
        let Some(known) = self.upstreams.get_mut(id) else {
            if per_second.is_none() {
                return LimitChange::Unchanged;
            }
            let bucket = Bucket::default();
            let upstream = LimitedUpstream { limit, bucket };
            self.upstreams.insert(UpstreamId::clone(id), upstream);
            return LimitChange::Named(None);
        };
        if seen <= known.limit.seen {
            return LimitChange::Unchanged;
        }
        let before = std::mem::replace(&mut known.limit, limit).per_second;
        match per_second {
            Some(_) if per_second != before => LimitChange::Named(before),
            None if before.is_some() => LimitChange::Lifted,
            _ => LimitChange::Unchanged,
        }
    }

    /// Sets the number of entries that may send requests of which this entry does not learn; returns whether it changed.
    pub fn set_unheard(&mut self, unheard: usize, now: BootInstant) -> bool {
        if unheard == self.unheard {
            return false;
        }
        for upstream in self.upstreams.values_mut() {
            if let Some(rate) = own_rate(upstream.limit, self.unheard, now) {
                // What has drained until now did so at the earlier rate.
                upstream.bucket.add(0, rate, now);
            }
        }
        self.unheard = unheard;
        true
    }

    /// Returns whether `id` limits its requests.
    pub fn is_limited(&self, id: &str, now: BootInstant) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|u| u.limit.rate(now).is_some())
    }

    /// Returns the time until `id` takes another request; zero if it takes one now.
    pub fn wait(&self, id: &str, now: BootInstant) -> Duration {
        let Some(upstream) = self.upstreams.get(id) else {
            return Duration::ZERO;
        };
        let rate = own_rate(upstream.limit, self.unheard, now);
        rate.map_or(Duration::ZERO, |rate| upstream.bucket.wait(rate, now))
    }

    /// Counts requests sent to `id` by any entry; returns whether it is limited.
    pub fn record_sends(&mut self, id: &str, requests: u32, now: BootInstant) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        let Some(rate) = own_rate(upstream.limit, self.unheard, now) else {
            return false;
        };
        upstream.bucket.add(requests, rate, now);
        true
    }

    /// Returns the observations that have not expired, those that lifted a limit included.
    pub fn observed(
        &self,
        now: BootInstant,
    ) -> impl Iterator<Item = (&UpstreamId, &ObservedLimit)> {
        let all = self.upstreams.iter().map(|(id, u)| (id, &u.limit));
        all.filter(move |(_, limit)| now.since(limit.seen) < LIMIT_TTL)
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, id: &str) {
        self.upstreams.remove(id);
        self.unparsable.remove(id);
    }
}

/// Returns the rate, in requests a second, of this entry and those that it hears, unless there is no limit.
fn own_rate(limit: ObservedLimit, unheard: usize, now: BootInstant) -> Option<f64> {
    let rate = limit.rate(now)?;
    Some(rate / (1 + unheard) as f64)
}
