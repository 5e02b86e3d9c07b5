//! Requests, and parts of prompts, under which upstreams crash: evidence, refusal, trials and records.

use arbtest::arbtest;
use carobfield::{
    clock::{BootInstant, Moment},
    ident::UpstreamId,
    poison::{Suspects, TrialState, Verdict},
    refused_subject::RefusedSubject,
    wire::{LostRun, Strike, StrikeEvent, Subject},
};
use std::time::{Duration, Instant};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    two_lost_upstreams_lead_to_refusal_in_any_order,
    expired_strikes_count_with_a_new_one,
    completing_clears_a_suspect,
    a_refusal_says_when_the_strikes_expire,
    a_slow_clock_hides_strikes_and_completions,
    refusals_survive_in_a_record,
    a_part_is_refused_after_three_crashes_under_two_requests,
    a_repeated_request_puts_its_parts_away,
    a_response_between_crashes_clears_a_part,
    a_part_that_was_served_before_needs_more_crashes,
    engines_that_crash_at_once_put_a_part_away,
    requests_beside_a_refused_part_are_refused_too,
    a_part_that_all_prompts_share_is_refused_instead_of_the_deeper_one,
    one_request_tries_a_refused_part,
    crashes_that_are_not_kept_bring_trials_forward,
    a_part_waits_for_an_entry_without_requests,
    a_refused_request_is_tried_before_its_strikes_expire,
    a_refused_part_survives_in_a_record,
    strikes_in_any_order_lead_to_the_same_refusals,
    the_verdict_of_a_request_is_slow,
}

/// Request whose strikes the tests of whole requests record.
const REQUEST: Subject = Subject::Request(7);

/// Parts of prompts: one in all of them, one of a caller's, and one that crashes engines.
const BASE: Subject = Subject::Part(1);
const CALLER: Subject = Subject::Part(2);
const DEADLY: Subject = Subject::Part(3);

/// Requests in one measurement of the cost of a verdict.
const BATCH: u64 = 1_000;
/// Time of the first crash, and time by which it counts against a part.
const START_MS: u64 = 1_000;
const SETTLED_MS: u64 = 250;

fn at(ms: u64) -> Moment {
    Moment {
        boot: BootInstant(1_000_000_000 + ms * 1_000_000),
        unix_ms: ms,
    }
}

/// A strike of one run, as entries exchange it.
fn strike(subject: Subject, process: u64, request: u64, at_ms: u64) -> Strike {
    strike_at(subject, &format!("u{process}"), request, at_ms)
}

/// A strike against [`REQUEST`].
fn lost(upstream: &str, at_ms: u64) -> Strike {
    strike_at(REQUEST, upstream, 7, at_ms)
}

fn strike_at(subject: Subject, upstream: &str, request: u64, at_ms: u64) -> Strike {
    let (Subject::Part(id) | Subject::Request(id)) = subject;
    let run = LostRun {
        upstream: UpstreamId::from(upstream),
        boot: 1,
        request,
        depth: id as u8,
        proven: false,
    };
    Strike {
        subject,
        event: StrikeEvent::Lost(run),
        at_ms,
    }
}

fn proven(mut strike: Strike) -> Strike {
    if let StrikeEvent::Lost(run) = &mut strike.event {
        run.proven = true;
    }
    strike
}

fn cleared(subject: Subject, at_ms: u64) -> Strike {
    Strike {
        subject,
        event: StrikeEvent::Cleared,
        at_ms,
    }
}

/// Suspects that record each strike when it happens.
#[derive(Default)]
struct Table(Suspects);

impl Table {
    fn record(&mut self, strike: &Strike) -> bool {
        self.0.record(strike, at(strike.at_ms))
    }

    /// Records that process `n` crashed under a request with `subjects`.
    fn crash(&mut self, subjects: &[Subject], n: u64, at_ms: u64) {
        for subject in subjects {
            self.record(&strike(*subject, n, 100 + n, at_ms));
        }
    }

    fn verdict(&mut self, fingerprint: u64, now_ms: u64) -> Verdict {
        self.0.refresh(at(now_ms));
        self.0.verdict(fingerprint, at(now_ms))
    }

    fn refused_for(&mut self, subject: Subject, now_ms: u64) -> Option<Duration> {
        self.0.refresh(at(now_ms));
        self.0.refused_for(subject, at(now_ms))
    }

    fn refused(&mut self, now_ms: u64) -> Vec<Subject> {
        let all = [BASE, CALLER, DEADLY, REQUEST];
        let refused = all.into_iter();
        refused
            .filter(|s| self.refused_for(*s, now_ms).is_some())
            .collect()
    }
}

mod case {
    use super::{
        BASE, BATCH, CALLER, DEADLY, Duration, Instant, REQUEST, RefusedSubject, SETTLED_MS,
        START_MS, Strike, Subject, Suspects, Table, TrialState, Verdict, arbtest, at, cleared,
        lost, proven, strike,
    };

    pub(super) fn two_lost_upstreams_lead_to_refusal_in_any_order() {
        let mut table = Table::default();
        assert_eq!(table.verdict(7, 10), Verdict::Allow);
        assert!(table.record(&lost("a", 10)));
        assert!(
            !table.record(&lost("a", 10)),
            "a repeated strike is not new"
        );
        assert_eq!(table.verdict(7, 11), Verdict::Probation);
        assert!(table.record(&lost("b", 20)));
        assert_eq!(table.verdict(7, 21), Verdict::Refuse);
        assert_eq!(
            table.verdict(7, 700_000),
            Verdict::Allow,
            "the strikes expire"
        );
    }

    /// A request that is in flight beside a crash once in a while is no poison request.
    pub(super) fn expired_strikes_count_with_a_new_one() {
        let mut table = Table::default();
        table.record(&lost("a", 10));
        assert!(table.record(&lost("b", 700_000)));
        assert_eq!(table.verdict(7, 700_001), Verdict::Probation);
        assert!(!table.record(&lost("a", 10)), "an old strike is ignored");
        assert_eq!(table.verdict(7, 700_001), Verdict::Probation);
        assert!(table.record(&lost("c", 1_200_000)));
        assert_eq!(table.verdict(7, 1_200_001), Verdict::Refuse);
    }

    pub(super) fn completing_clears_a_suspect() {
        let mut table = Table::default();
        table.record(&lost("a", 10));
        assert!(table.record(&cleared(REQUEST, 30)));
        assert_eq!(table.verdict(7, 31), Verdict::Allow);
        assert!(
            !table.record(&lost("a", 10)),
            "a strike older than the clearing is ignored"
        );
    }

    pub(super) fn a_refusal_says_when_the_strikes_expire() {
        let mut table = Table::default();
        table.record(&lost("a", 10));
        assert_eq!(
            table.refused_for(REQUEST, 20),
            None,
            "one crash is no refusal"
        );
        table.record(&lost("b", 1_000));
        let left = table.refused_for(REQUEST, 31_000);
        assert_eq!(left, Some(Duration::from_secs(570)));
        assert_eq!(table.refused_for(REQUEST, 602_000), None);
        let other = Subject::Request(8);
        assert_eq!(table.refused_for(other, 31_000), None, "another request");
    }

    /// VMs' clocks differ by seconds: what a process observes counts after all that it knows already.
    pub(super) fn a_slow_clock_hides_strikes_and_completions() {
        let mut table = Table::default();
        let now = at(15_000);
        table.0.record(&lost("a", 20_000), now);
        let after = table.0.event_time(REQUEST, 15_000);
        assert!(
            table.0.record(&cleared(REQUEST, after), now),
            "it completed after its crash"
        );
        assert_eq!(table.verdict(7, 15_000), Verdict::Allow);
        for upstream in ["b", "c"] {
            let at_ms = table.0.event_time(REQUEST, 15_000);
            assert!(table.0.record(&lost(upstream, at_ms), now));
        }
        assert_eq!(table.verdict(7, 15_000), Verdict::Refuse);
        assert_eq!(table.0.event_time(REQUEST, 30_000), 30_000);
        let other = Subject::Request(8);
        assert_eq!(table.0.event_time(other, 15_000), 15_000, "another request");
    }

    /// What a record in the store has of a refused request leads to the same refusal, and there is room for it.
    pub(super) fn refusals_survive_in_a_record() {
        let mut table = Table::default();
        for n in 0..10_000 {
            for upstream in ["a", "b"] {
                table.record(&Strike {
                    subject: Subject::Request(u64::MAX - n),
                    ..lost(upstream, 1_000 + n)
                });
            }
        }
        table.record(&lost("a", 20_000));
        table.0.refresh(at(20_000));
        let stored = table.0.refused(at(20_000));
        let json = serde_json::to_string(&stored).expect("a record");
        assert!(json.len() < 100_000, "{}", json.len());
        let read: Vec<RefusedSubject> = serde_json::from_str(&json).expect("the record");
        let mut restored = Table::default();
        for strike in read.iter().flat_map(RefusedSubject::strikes) {
            restored.record(&strike);
        }
        let latest = u64::MAX - 9_999;
        assert_eq!(restored.verdict(latest, 20_000), Verdict::Refuse);
        let subject = Subject::Request(latest);
        assert_eq!(
            restored.refused_for(subject, 20_000),
            table.refused_for(subject, 20_000)
        );
        assert_eq!(restored.verdict(7, 20_000), Verdict::Allow, "one crash");
        assert!(table.0.refused(at(700_000)).is_empty(), "expired");
    }

    pub(super) fn a_part_is_refused_after_three_crashes_under_two_requests() {
        let mut table = Table::default();
        for (n, request) in [(0, 100), (1, 100), (2, 101)] {
            assert_eq!(table.refused(START_MS + n * 500), []);
            table.record(&strike(DEADLY, n, request, START_MS + n * 500));
        }
        let early = table.refused(START_MS + 1_000 + SETTLED_MS / 2);
        assert_eq!(early, [], "others may have served it");
        assert_eq!(table.refused(START_MS + 1_000 + SETTLED_MS), [DEADLY]);
        assert_eq!(table.refused(START_MS + 602_000), [], "the strikes expire");
    }

    /// Its whole request is the cause, and its parts are in sound ones as well.
    pub(super) fn a_repeated_request_puts_its_parts_away() {
        let mut table = Table::default();
        for n in 0..4 {
            for subject in [REQUEST, BASE, CALLER] {
                table.record(&strike(subject, n, 7, START_MS + n * 500));
            }
        }
        assert_eq!(table.refused(START_MS + 1_500 + SETTLED_MS), [REQUEST]);
    }

    pub(super) fn a_response_between_crashes_clears_a_part() {
        let mut table = Table::default();
        for n in 0..20 {
            let now_ms = START_MS + n * 400;
            table.crash(&[BASE, CALLER, DEADLY], n, now_ms);
            table.record(&cleared(BASE, now_ms + 50));
            if n % 2 == 1 {
                table.record(&cleared(CALLER, now_ms + 60));
            }
            let refused = table.refused(now_ms + 399);
            let expected: &[Subject] = if n < 2 { &[] } else { &[DEADLY] };
            assert_eq!(refused, expected, "crash {n}");
        }
    }

    pub(super) fn a_part_that_was_served_before_needs_more_crashes() {
        let mut table = Table::default();
        for n in 0..5 {
            let now_ms = START_MS + n * 400;
            assert_eq!(table.refused(now_ms), []);
            table.record(&proven(strike(CALLER, n, 100 + n, now_ms)));
        }
        assert_eq!(table.refused(START_MS + 1_600 + SETTLED_MS), [CALLER]);
    }

    /// All engines end in the same second, and none can respond until they are back.
    pub(super) fn engines_that_crash_at_once_put_a_part_away() {
        let mut table = Table::default();
        for n in 0..12 {
            table.crash(&[BASE], n, START_MS + 8 * n);
        }
        assert_eq!(table.refused(5_000), [], "not known to be sound");
        let mut table = Table::default();
        for n in 0..12 {
            table.record(&proven(strike(BASE, n, 100 + n, START_MS + 70 * n)));
        }
        assert_eq!(table.refused(5_000), []);
        table.record(&cleared(BASE, 5_100));
        table.record(&proven(strike(BASE, 20, 120, 9_000)));
        assert_eq!(table.refused(10_000), []);
    }

    pub(super) fn requests_beside_a_refused_part_are_refused_too() {
        let mut table = Table::default();
        for n in 0..4 {
            let now_ms = START_MS + n * 300;
            table.crash(&[DEADLY], n, now_ms);
            table.record(&strike(REQUEST, n, 7, now_ms + 1));
            table.record(&strike(CALLER, n, 200 + n, now_ms + 2));
            if n < 2 {
                table.record(&cleared(CALLER, now_ms + 3));
            }
        }
        assert_eq!(table.refused(START_MS + 900 + SETTLED_MS), [DEADLY]);
        table.record(&strike(REQUEST, 20, 7, 5_000));
        table.record(&strike(REQUEST, 21, 7, 5_100));
        let both = table.refused(5_000 + SETTLED_MS);
        assert_eq!(both, [DEADLY, REQUEST], "crashes of its own");
    }

    /// No engine is left to clear what all prompts share.
    pub(super) fn a_part_that_all_prompts_share_is_refused_instead_of_the_deeper_one() {
        for is_proven in [false, true] {
            let mut table = Table::default();
            for n in 0..12 {
                for subject in [BASE, CALLER, DEADLY] {
                    let strike = strike(subject, n, 100 + n, START_MS + n * 100);
                    table.record(&if is_proven { proven(strike) } else { strike });
                }
            }
            assert_eq!(table.refused(START_MS + 1_100 + SETTLED_MS), [DEADLY]);
        }
    }

    /// A part that was refused though it is sound is cleared by one request; another is tried ever less often.
    pub(super) fn one_request_tries_a_refused_part() {
        let mut table = Table::default();
        for n in 0..3 {
            table.crash(&[DEADLY], n, START_MS + n * 500);
        }
        let left = table.refused_for(DEADLY, START_MS + 2_000);
        assert_eq!(left, Some(Duration::from_secs(9)));
        let try_at = |table: &mut Table, ms: u64, ticket: u64| {
            let now = at(START_MS + ms);
            table.0.begin_trial(DEADLY, ticket, 0, now)
        };
        assert_eq!(try_at(&mut table, 10_999, 1), TrialState::NotDue);
        assert_eq!(try_at(&mut table, 11_000, 1), TrialState::Begun);
        assert_eq!(try_at(&mut table, 11_010, 1), TrialState::Running);
        assert_eq!(try_at(&mut table, 11_010, 2), TrialState::NotDue);
        table.crash(&[DEADLY], 3, START_MS + 11_100);
        assert_eq!(try_at(&mut table, 11_110, 1), TrialState::NotDue);
        // The next wait is four times as long.
        assert_eq!(try_at(&mut table, 51_000, 2), TrialState::NotDue);
        assert_eq!(try_at(&mut table, 51_100, 2), TrialState::Begun);
        // A trial without an outcome is followed by another one.
        assert_eq!(try_at(&mut table, 56_000, 3), TrialState::NotDue);
        assert_eq!(try_at(&mut table, 56_200, 3), TrialState::Begun);
        table.record(&cleared(DEADLY, START_MS + 56_300));
        assert_eq!(table.refused(START_MS + 56_300), []);
    }

    /// A part that has crashed more engines than are kept is still tried ever less often.
    pub(super) fn crashes_that_are_not_kept_bring_trials_forward() {
        let mut table = Table::default();
        for n in 0..100 {
            table.crash(&[DEADLY], n, START_MS + n * 100);
        }
        assert_eq!(
            table.refused_for(DEADLY, START_MS + 9_900),
            Some(Duration::from_secs(10))
        );
        table.crash(&[DEADLY], 200, START_MS + 20_000);
        let left = table.refused_for(DEADLY, START_MS + 20_000);
        assert_eq!(left, Some(Duration::from_secs(40)));
        assert!(
            !table.record(&strike(DEADLY, 0, 100, START_MS)),
            "an old one is not new"
        );
    }

    /// The entry that is to try it gets no request with the part.
    pub(super) fn a_part_waits_for_an_entry_without_requests() {
        let mut table = Table::default();
        for n in 0..3 {
            table.crash(&[DEADLY], n, START_MS + n * 500);
        }
        table.refused(START_MS + 2_000);
        let mut try_at = |ms| table.0.begin_trial(DEADLY, 1, 2, at(START_MS + ms));
        assert_eq!(try_at(20_999), TrialState::NotDue);
        assert_eq!(try_at(21_000), TrialState::Begun);
    }

    pub(super) fn a_refused_request_is_tried_before_its_strikes_expire() {
        let mut table = Table::default();
        table.record(&lost("a", START_MS));
        table.record(&lost("b", START_MS));
        let now = at(START_MS + 599_000);
        assert_eq!(table.0.begin_trial(REQUEST, 1, 0, now), TrialState::NotDue);
    }

    pub(super) fn a_refused_part_survives_in_a_record() {
        for is_proven in [false, true] {
            let mut table = Table::default();
            for n in 0..40 {
                let strike = strike(DEADLY, n, 100 + n, START_MS + n * 100);
                table.record(&if is_proven { proven(strike) } else { strike });
            }
            assert_eq!(table.refused(5_000), [DEADLY]);
            let stored = table.0.refused(at(5_000));
            let json = serde_json::to_string(&stored).expect("a record");
            assert!(json.len() < 2_000, "{}", json.len());
            let read: Vec<RefusedSubject> = serde_json::from_str(&json).expect("the record");
            let mut restored = Suspects::default();
            for strike in read.iter().flat_map(RefusedSubject::strikes) {
                restored.record(&strike, at(5_000));
            }
            restored.refresh(at(5_000));
            let left = restored.refused_for(DEADLY, at(5_000));
            assert_eq!(left, table.refused_for(DEADLY, 5_000));
        }
    }

    /// Entries learn of strikes in different orders and agree once they have the same ones.
    pub(super) fn strikes_in_any_order_lead_to_the_same_refusals() {
        for seed in 0..200_u64 {
            arbtest(|u| {
                let mut strikes = Vec::new();
                for n in 0..12 {
                    let subjects = [BASE, CALLER, DEADLY];
                    for subject in subjects {
                        if u.ratio(2, 3)? {
                            strikes.push(strike(subject, n, 100 + n, START_MS + n * 120));
                        }
                    }
                }
                let mut first = Table::default();
                for strike in &strikes {
                    first.record(strike);
                }
                for i in (1..strikes.len()).rev() {
                    strikes.swap(i, u.int_in_range(0..=i)?);
                }
                let mut second = Table::default();
                for strike in &strikes {
                    second.record(strike);
                    second.refused(strike.at_ms);
                }
                assert_eq!(first.refused(5_000), second.refused(5_000));
                Ok(())
            })
            .seed(seed << 32 | 512);
        }
    }

    /// A request is judged by ten parts and by itself, beside as many suspects as are kept, in less than a microsecond.
    pub(super) fn the_verdict_of_a_request_is_slow() {
        let mut suspects = Suspects::default();
        for id in 0..16_384 {
            suspects.record(&strike(Subject::Part(id), id, id, 1_000), at(1_000));
        }
        for n in 0..3 {
            let at_ms = 1_000 + n * 100;
            suspects.record(&strike(DEADLY, 50_000 + n, n, at_ms), at(at_ms));
        }
        suspects.refresh(at(2_000));
        assert!(suspects.refused_for(DEADLY, at(2_000)).is_some());
        // The fastest of many batches, as other processes interrupt some of them.
        let mut fastest = Duration::MAX;
        for batch in 0..200 {
            let started = Instant::now();
            for n in batch * BATCH..(batch + 1) * BATCH {
                suspects.refresh(at(2_000));
                let parts = (0..10).map(|i| Subject::Part(100 + n * 7 % 10_000 + i));
                let mut subjects = parts.chain([Subject::Request(n)]);
                assert!(subjects.all(|s| suspects.held_for(s, at(2_000)).is_none()));
            }
            fastest = fastest.min(started.elapsed() / BATCH as u32);
        }
        assert!(fastest < Duration::from_micros(1), "{fastest:?}");
    }
}
