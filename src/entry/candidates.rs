//! The upstreams that a request may be sent to, as this entry and its peers know them.

use crate::{
    clock::BootInstant,
    decide::{brittle::Allowance, load_balancing::Candidate},
    edge::{
        codec::InferenceWork,
        registration::{AdapterKey, Build, Registration},
    },
    entry::{context::Entry, peers::Peers},
    holding::lock,
    ident::UpstreamId,
};
use std::{sync::Arc, time::Duration};

/// Upstreams of a service, as seen by one request.
#[derive(Debug)]
pub struct ServingUpstreams {
    /// Those that take a request now.
    pub available: Vec<Arc<Registration>>,
    /// Number of those that have named a limit which is used up, or asked for a pause.
    pub limited_count: usize,
    /// Time until the first of these takes another request.
    pub limited_for: Option<Duration>,
}

impl Entry {
    /// Returns upstreams of `service` that take a request now, without `excluded`, and only those of `build` if there is one.
    /// Ejected outliers are left out unless all are ejected.
    pub fn serving_upstreams(
        &self,
        service: &str,
        build: Option<&Build>,
        excluded: &[UpstreamId],
    ) -> ServingUpstreams {
        let now = BootInstant::now();
        self.refresh_limits(now);
        self.refresh_speeds(now);
        let registry = lock(&self.registry);
        let outliers = lock(&self.outliers);
        let limits = lock(&self.rate_limits);
        let brittle = lock(&self.brittle);
        let hold_offs = lock(&self.hold_offs);
        let wait = |r: &Registration| {
            let limited = limits.wait(&r.id, now).max(brittle.wait(&r.id, now));
            limited.max(hold_offs.wait(r, now))
        };
        let wanted = registry
            .serving(service)
            .filter(|r| build.is_none_or(|b| r.build() == *b))
            .filter(|r| !excluded.contains(&r.id));
        let (mut available, limited): (Vec<_>, Vec<_>) =
            wanted.cloned().partition(|r| wait(r).is_zero());
        if available.iter().any(|r| !outliers.is_ejected(&r.id, now)) {
            available.retain(|r| !outliers.is_ejected(&r.id, now));
        }
        ServingUpstreams {
            available,
            limited_count: limited.len(),
            limited_for: limited.iter().map(|r| wait(r)).min(),
        }
    }

    /// Returns whether the process that `upstream` describes still accepts new requests.
    pub fn is_still_serving(&self, upstream: &Registration) -> bool {
        let registry = lock(&self.registry);
        let now = registry.get(&upstream.id);
        now.is_some_and(|r| r.is_serving() && r.is_same_process(upstream))
    }

    /// Returns how many requests `upstream` may get; `None` if it is not brittle.
    fn allowance(
        &self,
        upstream: &Registration,
        peers: &Peers,
        now: BootInstant,
    ) -> Option<Allowance> {
        let brittle = lock(&self.brittle);
        if !brittle.is_brittle(&upstream.id, now) {
            return None;
        }
        let entries = peers.live(now).len() + 1;
        brittle.allowance(&upstream.id, upstream.slots, entries, now)
    }

    /// Returns how many requests `upstream` takes at once from all entries; none if it is brittle and has this entry's part.
    fn usable_slots(&self, upstream: &Registration, peers: &Peers, now: BootInstant) -> u32 {
        match self.allowance(upstream, peers, now) {
            None => upstream.slots,
            Some(part) if self.usage.in_flight(&upstream.id) >= part.own => 0,
            Some(part) => part.total,
        }
    }

    /// Returns whether `upstream` takes another request now; always if it is not brittle and has not asked for a pause.
    pub fn is_within_allowance(&self, upstream: &Registration) -> bool {
        if self.is_held_off(upstream) {
            return false;
        }
        let now = BootInstant::now();
        let peers = lock(&self.peers);
        let Some(allowance) = self.allowance(upstream, &peers, now) else {
            return true;
        };
        let own = self.usage.in_flight(&upstream.id);
        let total = own + peers.in_flight(&upstream.id, now);
        let is_open = lock(&self.brittle).wait(&upstream.id, now).is_zero();
        is_open && own < allowance.own && total < allowance.total
    }

    /// Describes `upstream` as a candidate for a request with `work` that waits at most `max_wait` for earlier prompts.
    pub fn candidate<'a>(
        &self,
        upstream: &'a Registration,
        work: Option<&InferenceWork>,
        max_wait: Duration,
    ) -> Candidate<'a> {
        let key = work.and_then(|w| w.adapter.as_ref());
        let model = work.map(|w| &*w.model);
        let tokens = work.map_or(0, |w| w.prompt_tokens);
        let now = BootInstant::now();
        let peers = lock(&self.peers);
        let in_flight = self.usage.in_flight(&upstream.id) + peers.in_flight(&upstream.id, now);
        let holds_model = model.is_none_or(|m| upstream.models.iter().any(|h| &*h.name == m));
        let (resident, loadable) = match key {
            None => (holds_model, false),
            Some(key) => {
                let (version, active) = self.held_version(upstream, key, &peers, now);
                let wanted = self.newest_version(key);
                let resident = version.is_some_and(|v| v >= wanted);
                (resident && holds_model, active && holds_model)
            }
        };
        Candidate {
            id: &upstream.id,
            slots: self.usable_slots(upstream, &peers, now),
            in_flight,
            speed: lock(&self.speeds).speed(&upstream.id),
            wait: lock(&self.prefill).wait(&upstream.id, tokens, now),
            max_wait,
            saved: Duration::ZERO,
            resident,
            loadable,
            limited: lock(&self.rate_limits).is_limited(&upstream.id, now),
        }
    }

    /// Returns the newest version of `key`, or the one that `upstream` holds if that is newer still.
    pub fn usable_version(&self, upstream: &Registration, key: &AdapterKey) -> u32 {
        let wanted = self.newest_version(key);
        let peers = lock(&self.peers);
        let (held, _) = self.held_version(upstream, key, &peers, BootInstant::now());
        held.map_or(wanted, |v| v.max(wanted))
    }

    /// Returns the version of `key` at `upstream`, and whether its holder may send orders: from the holder's state, or
    /// from the registration where there is no holder.
    fn held_version(
        &self,
        upstream: &Registration,
        key: &AdapterKey,
        peers: &Peers,
        now: BootInstant,
    ) -> (Option<u32>, bool) {
        if let Some(controller) = lock(&self.controllers).get(&upstream.id) {
            let (version, active) = controller.lookup(key);
            let may_order = self.may_send_orders() && self.reaches(&upstream.id);
            return (version, active && may_order);
        }
        if let Some(held) = peers.held_engine(&upstream.id, now) {
            let active = held.engine.active && held.is_live;
            return (held.engine.adapters.get(key).copied(), active);
        }
        let listed = upstream.models.iter().flat_map(|m| &m.adapters);
        let mut matching = listed.filter(|a| a.key == *key);
        (matching.next().map(|a| a.version), false)
    }
}
