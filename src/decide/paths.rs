//! Decides whether a request goes to an upstream directly or through another entry.
//!
//! | load pattern | response |
//! |---|---|
//! | this entry's connections to an upstream hang or are refused, those of other entries don't | requests go through another entry until a probe reaches the upstream again |
//! | the upstream is down for all entries | the entries that were asked say so; no other one is asked until the next probe |
//! | callers pick entries that are cut off | these say so to the others, and directories name them only where few others are left |
//! | many entries are cut off at once | one that doesn't reach the upstream either says so at once, and is asked last for a while |
//! | the paths come back | each upstream is probed by itself, so that connections return one after the other |

use crate::{
    clock::BootInstant,
    ident::{UpstreamId, pair_hash},
};
use std::{cmp::Reverse, collections::HashMap, sync::Arc, time::Duration};

/// Interval between probes of an upstream that is not reached directly.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an entry that did not reach an upstream is asked last.
const PEER_REFUSAL: Duration = Duration::from_secs(1);

/// Upstreams reached only through other entries from which on an entry may be cut off.
const CUT_OFF_UPSTREAMS: usize = 2;

/// Time without a direct connection or response after which an entry counts as cut off.
const CUT_OFF_AFTER: Duration = Duration::from_secs(1);

/// Minimum time between two rounds of probes of the upstreams that idle connections lead to.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of entries that are asked to pass on one attempt.
const MAX_PEERS: usize = 3;

/// How an upstream is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// By connections of this entry.
    Direct,
    /// Through another entry.
    Detour,
    /// Not at all.
    Down,
}

/// Upstream that this entry does not reach directly.
#[derive(Clone, Copy, Debug)]
struct Unreached {
    next_probe: BootInstant,
    /// Until when it counts as down, as no other entry has reached it either.
    down_until: BootInstant,
    /// Whether another entry has reached it meanwhile.
    is_detoured: bool,
}

/// Paths to all upstreams.
#[derive(Debug, Default)]
pub struct Paths {
    unreached: HashMap<UpstreamId, Unreached>,
    /// Entries that did not reach an upstream for this one, and when they last said so.
    refusals: HashMap<Arc<str>, BootInstant>,
    /// When an upstream was last reached directly.
    last_reached: BootInstant,
    /// Start of the last round of probes.
    last_round: Option<BootInstant>,
}

impl Paths {
    /// Returns how `upstream` is reached.
    pub fn path(&self, upstream: &str, now: BootInstant) -> Path {
        match self.unreached.get(upstream) {
            None => Path::Direct,
            Some(state) if now < state.down_until => Path::Down,
            Some(_) => Path::Detour,
        }
    }

    /// Records that a connection to `upstream` could not be made; returns whether it was reached before.
    pub fn record_unreached(&mut self, upstream: &UpstreamId, now: BootInstant) -> bool {
        if self.unreached.contains_key(upstream) {
            return false;
        }
        let state = Unreached {
            next_probe: now + PROBE_INTERVAL,
            down_until: now,
            is_detoured: false,
        };
        self.unreached.insert(Arc::clone(upstream), state);
        true
    }

    /// Returns whether the upstreams that idle connections lead to are to be probed now, as one was not reached: where the
    /// cause is this entry's network, those connections are dead too.
    pub fn begin_round(&mut self, now: BootInstant) -> bool {
        let is_due = self
            .last_round
            .is_none_or(|at| now.since(at) >= ROUND_INTERVAL);
        if is_due {
            self.last_round = Some(now);
        }
        is_due
    }

    /// Records that `upstream` was reached directly; returns whether it was not reached before.
    pub fn record_reached(&mut self, upstream: &str, now: BootInstant) -> bool {
        self.last_reached = now;
        self.unreached.remove(upstream).is_some()
    }

    /// Records that another entry has reached `upstream`.
    pub fn record_detour(&mut self, upstream: &str) {
        if let Some(state) = self.unreached.get_mut(upstream) {
            state.is_detoured = true;
        }
    }

    /// Returns whether this entry reaches no upstream while other entries reach several of them.
    pub fn is_cut_off(&self, now: BootInstant) -> bool {
        let detoured = self.unreached.values().filter(|state| state.is_detoured);
        detoured.count() >= CUT_OFF_UPSTREAMS && now.since(self.last_reached) > CUT_OFF_AFTER
    }

    /// Records that no entry that was asked reaches `upstream`: it is down until the next probe.
    pub fn record_down(&mut self, upstream: &str) {
        if let Some(state) = self.unreached.get_mut(upstream) {
            state.down_until = state.next_probe;
        }
    }

    /// Returns the upstreams that are due for a probe. Each is due again after an interval, which `jitter` between 0 and 1
    /// spreads over the entries.
    pub fn due_probes(&mut self, now: BootInstant, jitter: f64) -> Vec<UpstreamId> {
        let mut due = Vec::new();
        for (upstream, state) in &mut self.unreached {
            if now >= state.next_probe {
                state.next_probe = now + PROBE_INTERVAL.mul_f64(0.5 + jitter);
                due.push(Arc::clone(upstream));
            }
        }
        due
    }

    /// Records that the entry `peer` did not reach an upstream.
    pub fn record_refusal(&mut self, peer: &Arc<str>, now: BootInstant) {
        self.refusals.retain(|_, at| now.since(*at) < PEER_REFUSAL);
        self.refusals.insert(Arc::clone(peer), now);
    }

    /// Returns the entries of `peers` that are asked to pass on an attempt of `request`, in order.
    pub fn rank_peers<'a, T>(
        &self,
        request: &str,
        mut peers: Vec<&'a T>,
        name: impl Fn(&T) -> &Arc<str>,
        now: BootInstant,
    ) -> Vec<&'a T> {
        let has_refused = |peer: &T| {
            let at = self.refusals.get(name(peer));
            at.is_some_and(|at| now.since(*at) < PEER_REFUSAL)
        };
        peers.sort_by_cached_key(|p| (has_refused(p), Reverse(pair_hash(request, name(p)))));
        peers.truncate(MAX_PEERS);
        peers
    }

    /// Forgets an upstream that is gone.
    pub fn forget(&mut self, upstream: &str) {
        self.unreached.remove(upstream);
    }
}
