//! Limits that upstreams name, kept by all entries together.

use carobfield::{
    clock::BootInstant,
    decide::rate_limit::{LimitChange, RateLimits},
    entry::peers::SILENCE,
    ident::UpstreamId,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    an_upstream_without_a_limit_takes_every_request,
    requests_are_spread_over_time,
    requests_of_other_entries_count,
    a_response_without_a_limit_lifts_it,
    a_limit_that_cannot_be_parsed_is_reported_once,
    an_older_observation_changes_nothing,
    an_expired_limit_is_news_when_it_is_named_again,
    a_limit_expires_unless_it_is_named_again,
    an_upstream_that_takes_nothing_is_still_asked_now_and_then,
    entries_that_know_of_each_other_late_keep_the_limit,
    entries_that_lose_each_other_go_past_the_limit,
    the_limit_is_shared_with_entries_that_are_not_heard,
}

/// Window over which the users count requests, and what they allow in it beyond one and a half times the limit.
const COUNT_WINDOW_MS: u64 = 4_000;
const COUNT_SLACK: f64 = 5.0;

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

fn upstream() -> UpstreamId {
    UpstreamId::from("e")
}

/// Returns limits with one upstream that named `per_second` at 0 ms.
fn limited(per_second: f64) -> RateLimits {
    let mut limits = RateLimits::default();
    limits.observe(&upstream(), Some(per_second), at(0));
    limits
}

/// Sends if the limit allows it, and returns whether it does.
fn send(limits: &mut RateLimits, ms: u64) -> bool {
    let may_send = limits.wait("e", at(ms)).is_zero();
    if may_send {
        limits.record_sends("e", 1, at(ms));
    }
    may_send
}

/// Requests that a fleet of entries sends to one limited upstream; each learns of the others' after a delay.
struct Fleet {
    entries: Vec<RateLimits>,
    /// Time of delivery in milliseconds, sender.
    reports: Vec<(u64, usize)>,
    sent_ms: Vec<u64>,
}

impl Fleet {
    fn new(entries: usize, per_second: f64) -> Self {
        Self {
            entries: (0..entries).map(|_| limited(per_second)).collect(),
            reports: Vec::new(),
            sent_ms: Vec::new(),
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let due = self.reports.iter().filter(|(at_ms, _)| *at_ms <= now_ms);
        for (at_ms, sender) in due {
            for (n, entry) in self.entries.iter_mut().enumerate() {
                if n != *sender {
                    entry.record_sends("e", 1, at(*at_ms));
                }
            }
        }
        self.reports.retain(|(at_ms, _)| *at_ms > now_ms);
    }

    /// Loses what the entries would tell each other from now on, and what is under way.
    fn lose_reports(&mut self) {
        self.reports.clear();
    }

    fn set_unheard(&mut self, unheard: usize, now_ms: u64) {
        for entry in &mut self.entries {
            entry.set_unheard(unheard, at(now_ms));
        }
    }

    fn request(&mut self, entry: usize, now_ms: u64, delay_ms: u64) {
        if send(&mut self.entries[entry], now_ms) {
            self.sent_ms.push(now_ms);
            self.reports.push((now_ms + delay_ms, entry));
        }
    }

    /// Checks that the upstream got no more than its limit allows in any window.
    fn assert_limit_was_kept(&self, seed: u64, rate: f64) {
        let window = COUNT_WINDOW_MS as f64 / 1_000.0;
        let most = self.most_in_a_window() as f64;
        assert!(
            most <= rate * window * 1.5 + COUNT_SLACK,
            "seed {seed}: {most} at {rate:.2} a second, {} entries",
            self.entries.len()
        );
    }

    /// Returns the largest number of requests in one window.
    fn most_in_a_window(&self) -> usize {
        let sent = &self.sent_ms;
        let counts = sent.iter().enumerate().map(|(n, from)| {
            let window = sent[n..].iter();
            window
                .take_while(|ms| **ms < from + COUNT_WINDOW_MS)
                .count()
        });
        counts.max().unwrap_or(0)
    }
}

mod case {
    use super::{
        Duration, Fleet, LimitChange, RateLimits, RngExt, SILENCE, SeedableRng, SmallRng, at,
        limited, send, upstream,
    };

    pub(super) fn an_upstream_without_a_limit_takes_every_request() {
        let mut limits = RateLimits::default();
        assert!((0..1_000).all(|ms| send(&mut limits, ms)));
        assert_eq!(
            limits.observe(&upstream(), None, at(0)),
            LimitChange::Unchanged
        );
        assert_eq!(limits.observed(at(0)).count(), 0);
    }

    pub(super) fn requests_are_spread_over_time() {
        let mut limits = limited(2.0);
        let sent: Vec<u64> = (0..4_000).filter(|ms| send(&mut limits, *ms)).collect();
        assert_eq!(sent.len(), 9, "two at once, then two a second: {sent:?}");
        assert_eq!(limits.wait("e", at(4_000)), Duration::from_millis(0));
        assert!(send(&mut limits, 4_000));
        assert_eq!(limits.wait("e", at(4_100)), Duration::from_millis(400));
    }

    pub(super) fn requests_of_other_entries_count() {
        let mut limits = limited(2.0);
        limits.record_sends("e", 6, at(0));
        assert_eq!(limits.wait("e", at(0)), Duration::from_millis(2_500));
        assert!(!send(&mut limits, 2_400));
        assert!(send(&mut limits, 2_500));
    }

    pub(super) fn a_response_without_a_limit_lifts_it() {
        let mut limits = limited(2.0);
        limits.record_sends("e", 6, at(0));
        let change = limits.observe(&upstream(), None, at(100));
        assert_eq!(change, LimitChange::Lifted);
        assert_eq!(limits.wait("e", at(100)), Duration::ZERO);
        let change = limits.observe(&upstream(), Some(3.0), at(200));
        assert_eq!(change, LimitChange::Named(None));
        let change = limits.observe(&upstream(), Some(1.0), at(300));
        assert_eq!(change, LimitChange::Named(Some(3.0)));
    }

    pub(super) fn a_limit_that_cannot_be_parsed_is_reported_once() {
        let mut limits = limited(2.0);
        assert!(limits.observe_invalid(&upstream()));
        assert!(!limits.observe_invalid(&upstream()));
        limits.record_sends("e", 6, at(0));
        assert_ne!(limits.wait("e", at(0)), Duration::ZERO, "still in force");
        limits.observe(&upstream(), Some(2.0), at(100));
        assert!(limits.observe_invalid(&upstream()));
    }

    /// Guards against a peer's older report that brings a lifted limit back.
    pub(super) fn an_older_observation_changes_nothing() {
        let mut limits = limited(2.0);
        limits.observe(&upstream(), None, at(100));
        let change = limits.observe(&upstream(), Some(2.0), at(50));
        assert_eq!(change, LimitChange::Unchanged);
        limits.record_sends("e", 6, at(100));
        assert_eq!(limits.wait("e", at(100)), Duration::ZERO);
        let lifted: Vec<_> = limits.observed(at(100)).collect();
        assert_eq!(lifted[0].1.per_second, None, "peers learn of it");
    }

    pub(super) fn an_expired_limit_is_news_when_it_is_named_again() {
        let mut limits = limited(2.0);
        let change = limits.observe(&upstream(), Some(2.0), at(20_000));
        assert_eq!(change, LimitChange::Named(None));
    }

    pub(super) fn a_limit_expires_unless_it_is_named_again() {
        let mut limits = limited(2.0);
        limits.observe(&upstream(), Some(2.0), at(8_000));
        limits.record_sends("e", 100, at(8_000));
        assert_ne!(limits.wait("e", at(17_000)), Duration::ZERO);
        assert_eq!(limits.wait("e", at(18_000)), Duration::ZERO);
        assert_eq!(limits.observed(at(18_000)).count(), 0);
    }

    pub(super) fn an_upstream_that_takes_nothing_is_still_asked_now_and_then() {
        let mut limits = limited(0.0);
        let sent = (0..9_000).filter(|ms| send(&mut limits, *ms)).count();
        assert_eq!(sent, 3, "one in four seconds");
    }

    /// Entries send at the same moment, before they know of each other's requests.
    pub(super) fn entries_that_know_of_each_other_late_keep_the_limit() {
        for seed in 0..60 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let entries = [3, 9, 24, 87][seed as usize % 4];
            let rate = rng.random_range(0.5..8.0);
            let interval_ms = rng.random_range(40..200);
            let mut fleet = Fleet::new(entries, rate);
            for now_ms in 0..9_500 {
                fleet.deliver(now_ms);
                if now_ms % interval_ms == 0 {
                    let delay_ms = rng.random_range(30..250);
                    fleet.request(rng.random_range(0..entries), now_ms, delay_ms);
                }
            }
            fleet.assert_limit_was_kept(seed, rate);
            let demand = 9_500.0 / interval_ms as f64;
            let used = fleet.sent_ms.len() as f64;
            assert!(
                used >= 0.9 * demand.min(rate * 9.0),
                "seed {seed}: only {used} at {rate:.2} a second"
            );
        }
    }

    /// All connections between the entries go silent for a time, while each of them reaches the upstream.
    pub(super) fn entries_that_lose_each_other_go_past_the_limit() {
        const BREAK_MS: std::ops::Range<u64> = 4_000..6_500;
        let noticed_ms = BREAK_MS.start + SILENCE.as_millis() as u64;
        for seed in 0..60 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let entries = [3, 6, 9][seed as usize % 3];
            let rate = rng.random_range(0.5..8.0);
            let mut fleet = Fleet::new(entries, rate);
            for now_ms in 0..9_500 {
                if BREAK_MS.contains(&now_ms) {
                    fleet.lose_reports();
                }
                if now_ms == noticed_ms {
                    fleet.set_unheard(entries - 1, now_ms);
                }
                if now_ms == BREAK_MS.end {
                    fleet.set_unheard(0, now_ms);
                }
                fleet.deliver(now_ms);
                if now_ms % 40 == 0 {
                    let delay_ms = rng.random_range(30..250);
                    fleet.request(rng.random_range(0..entries), now_ms, delay_ms);
                }
            }
            fleet.assert_limit_was_kept(seed, rate);
        }
    }

    pub(super) fn the_limit_is_shared_with_entries_that_are_not_heard() {
        let mut limits = limited(2.0);
        limits.record_sends("e", 4, at(0));
        assert!(limits.set_unheard(1, at(500)));
        assert!(!limits.set_unheard(1, at(600)), "no change");
        assert_eq!(limits.wait("e", at(500)), Duration::from_secs(3));
        assert!(limits.set_unheard(0, at(1_500)));
        assert_eq!(limits.wait("e", at(1_500)), Duration::from_millis(500));
    }
}
