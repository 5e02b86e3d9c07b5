//! Limits that upstreams name: observes them in responses, shares them with the other entries, and counts requests.

use crate::{
    clock::BootInstant,
    decide::rate_limit::LimitChange,
    edge::codec::NamedLimit,
    entry::{
        context::Entry,
        messages::{BrittleUpdate, LimitUpdate, PeerUpdate},
        send_log::SendRecord,
    },
    holding::lock,
    ident::UpstreamId,
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};

impl Entry {
    /// Records what the response to `request` says of its upstream's limit.
    pub fn observe_limit(&self, upstream: &UpstreamId, limit: NamedLimit, request: &str) {
        let per_second = match limit {
            NamedLimit::None => None,
            NamedLimit::PerSecond(rate) => Some(rate),
            NamedLimit::Invalid => {
                if lock(&self.rate_limits).observe_invalid(upstream) {
                    warn!(request = request, upstream = &**upstream; "an upstream's limit can't be parsed; the last one stays");
                }
                return;
            }
        };
        self.apply_limit(upstream, per_second, Duration::ZERO, request);
    }

    /// Applies the limits and requests in a peer's update.
    pub fn apply_peer_limits(&self, update: &PeerUpdate) {
        for limit in &update.limits {
            let age = Duration::from_millis(limit.age_ms);
            self.apply_limit(&limit.upstream, limit.per_second, age, &update.info.name);
        }
        let now = BootInstant::now();
        for (upstream, requests) in &update.limited_sends {
            lock(&self.rate_limits).record_sends(upstream, *requests, now);
            lock(&self.send_log).add(SendRecord {
                at: now,
                source: Some(Arc::clone(&update.info.name)),
                upstream: Arc::clone(upstream),
                limited_sends: *requests,
                ..SendRecord::default()
            });
        }
    }

    /// Applies an observation that is `age` old; `source` is the request or the peer that it comes from.
    fn apply_limit(
        &self,
        upstream: &UpstreamId,
        per_second: Option<f64>,
        age: Duration,
        source: &str,
    ) {
        let seen = BootInstant::now() - age;
        let change = lock(&self.rate_limits).observe(upstream, per_second, seen);
        let age_ms = age.as_millis() as u64;
        match change {
            LimitChange::Unchanged => return,
            LimitChange::Named(before) => {
                info!(
                    upstream = &**upstream, per_second = per_second.unwrap_or_default(), before = before.unwrap_or_default(),
                    source = source, age_ms = age_ms;
                    "routing: upstream named a limit"
                );
            }
            LimitChange::Lifted => {
                info!(upstream = &**upstream, source = source, age_ms = age_ms; "routing: upstream lifted its limit");
            }
        }
        self.notify_peers();
    }

    /// Adapts the part of the limits that this entry keeps to the entries that it hears.
    pub fn refresh_limits(&self, now: BootInstant) {
        let unheard = lock(&self.peers).unheard(now);
        let mut limits = lock(&self.rate_limits);
        if limits.set_unheard(unheard, now) && limits.observed(now).next().is_some() {
            info!(unheard = unheard; "routing: the entries that are not heard may use a part of the upstreams' limits");
        }
    }

    /// Counts a request that is about to be sent to `upstream`, unless its limit is used up; returns whether it may be
    /// sent.
    pub fn reserve_send(&self, upstream: &UpstreamId) -> bool {
        let now = BootInstant::now();
        self.refresh_limits(now);
        {
            let mut limits = lock(&self.rate_limits);
            if !limits.wait(upstream, now).is_zero() {
                return false;
            }
            if !limits.record_sends(upstream, 1, now) {
                return true;
            }
        }
        lock(&self.send_log).add(SendRecord {
            at: now,
            source: None,
            upstream: Arc::clone(upstream),
            limited_sends: 1,
            ..SendRecord::default()
        });
        self.notify_peers();
        true
    }

    /// Records what a response said of its upstream's brittleness.
    pub fn observe_brittle(&self, upstream: &UpstreamId, bound: Option<u32>) {
        self.apply_brittle(upstream, bound, BootInstant::now());
    }

    fn apply_brittle(&self, upstream: &UpstreamId, bound: Option<u32>, seen: BootInstant) {
        if lock(&self.brittle).observe(upstream, bound, seen) {
            info!(upstream = &**upstream, brittle = bound.is_some(), bound = bound.unwrap_or_default(); "routing: upstream said whether it is brittle");
            self.notify_peers();
        }
    }

    /// Counts a request that `upstream` rejected, if it is brittle.
    pub fn record_rejection(&self, upstream: &UpstreamId) {
        if lock(&self.brittle).is_brittle(upstream, BootInstant::now()) {
            self.count_rejections(upstream, 1, None);
            self.notify_peers();
        }
    }

    fn count_rejections(&self, upstream: &UpstreamId, count: u32, source: Option<Arc<str>>) {
        let now = BootInstant::now();
        let in_flight = self.usage.in_flight(upstream) + lock(&self.peers).in_flight(upstream, now);
        lock(&self.brittle).record_rejections(upstream, count, in_flight, now);
        lock(&self.send_log).add(SendRecord {
            at: now,
            source,
            upstream: Arc::clone(upstream),
            rejections: count,
            ..SendRecord::default()
        });
    }

    /// Applies what a peer's update says of brittle upstreams.
    pub fn apply_peer_brittle(&self, update: &PeerUpdate) {
        let now = BootInstant::now();
        for brittle in &update.brittle {
            let seen = now - Duration::from_millis(brittle.age_ms);
            self.apply_brittle(&brittle.upstream, Some(brittle.bound), seen);
        }
        for (upstream, count) in &update.rejections {
            self.count_rejections(upstream, *count, Some(Arc::clone(&update.info.name)));
        }
    }

    /// Returns the upstreams that are brittle, for an update to a peer.
    pub fn brittle_updates(&self) -> Vec<BrittleUpdate> {
        let now = BootInstant::now();
        let brittle = lock(&self.brittle);
        let all = brittle
            .observed(now)
            .map(|(id, bound, seen)| BrittleUpdate {
                upstream: Arc::clone(id),
                bound,
                age_ms: now.since(seen).as_millis() as u64,
            });
        all.collect()
    }

    /// Returns the limits for an update to a peer.
    pub fn limit_updates(&self) -> Vec<(BootInstant, LimitUpdate)> {
        let now = BootInstant::now();
        let limits = lock(&self.rate_limits);
        let all = limits.observed(now).map(|(id, limit)| {
            let update = LimitUpdate {
                upstream: Arc::clone(id),
                per_second: limit.per_second,
                age_ms: now.since(limit.seen).as_millis() as u64,
            };
            (limit.seen, update)
        });
        all.collect()
    }
}
