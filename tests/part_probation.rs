//! Parts of prompts that crash all engines at so few moments that an outage of the engines looks the same.

use carobfield::{
    clock::{BootInstant, Moment},
    ident::UpstreamId,
    poison::{Suspects, TrialState},
    wire::{LostRun, Strike, StrikeEvent, Subject},
};
use std::time::Duration;

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_part_that_ends_all_engines_at_once_is_sent_at_every_entry,
    crashes_of_trials_lead_to_no_refusal,
    a_sound_part_stays_held_back_after_a_response,
    an_outage_of_engines_holds_back_a_part_in_some_requests,
    what_all_prompts_share_is_held_back_in_place_of_the_deeper_part,
    a_part_that_was_served_before_is_held_back_after_an_outage,
    a_trial_without_an_outcome_blocks_later_ones,
    an_outage_ends_probation,
}

const CALLER: Subject = Subject::Part(2);
const DEADLY: Subject = Subject::Part(3);

/// Engines, which end within one moment, and the time by which their crashes count.
const ENGINES: u64 = 12;
const START_MS: u64 = 1_000;
const COUNTED_MS: u64 = START_MS + 300;

fn at(ms: u64) -> Moment {
    Moment {
        boot: BootInstant(1_000_000_000 + ms * 1_000_000),
        unix_ms: ms,
    }
}

#[derive(Default)]
struct Table(Suspects);

impl Table {
    fn record(&mut self, subject: Subject, event: StrikeEvent, at_ms: u64) {
        let strike = Strike {
            subject,
            event,
            at_ms,
        };
        self.0.record(&strike, at(at_ms));
    }

    /// Records that process `n` crashed under a request with `subject`.
    fn crash(&mut self, subject: Subject, n: u64, at_ms: u64, proven: bool) {
        let (Subject::Part(id) | Subject::Request(id)) = subject;
        let run = LostRun {
            upstream: UpstreamId::from(format!("u{n}")),
            boot: 1,
            request: 100 + n,
            depth: id as u8,
            proven,
        };
        self.record(subject, StrikeEvent::Lost(run), at_ms);
    }

    /// Records that all engines ended at once, those in `under` while they ran requests with `subject`.
    fn outage(&mut self, subject: Subject, under: std::ops::Range<u64>, proven: bool) {
        for n in 0..ENGINES {
            let hit = if under.contains(&n) {
                subject
            } else {
                Subject::Part(1_000 + n)
            };
            self.crash(hit, n, START_MS + n * 4, proven);
        }
    }

    fn held_for(&mut self, subject: Subject, now_ms: u64) -> Option<Duration> {
        self.0.refresh(at(now_ms));
        self.0.held_for(subject, at(now_ms))
    }

    fn is_refused(&mut self, subject: Subject, now_ms: u64) -> bool {
        self.0.refresh(at(now_ms));
        self.0.refused_for(subject, at(now_ms)).is_some()
    }

    fn trial(&mut self, ticket: u64, rank: usize, now_ms: u64) -> TrialState {
        self.0.refresh(at(now_ms));
        self.0.begin_trial(DEADLY, ticket, rank, at(now_ms))
    }
}

mod case {
    use super::{
        CALLER, COUNTED_MS, DEADLY, Duration, ENGINES, START_MS, StrikeEvent, Table, TrialState,
    };

    pub(super) fn a_part_that_ends_all_engines_at_once_is_sent_at_every_entry() {
        let mut table = Table::default();
        table.outage(DEADLY, 0..ENGINES, false);
        let back_ms = START_MS + 3_200;
        assert!(
            !table.is_refused(DEADLY, back_ms),
            "an outage looks like it"
        );
        let held = table.held_for(DEADLY, back_ms);
        assert_eq!(held, Some(Duration::from_secs(1)));
        for rank in 1..9 {
            assert_eq!(table.trial(7, rank, back_ms), TrialState::NotDue);
        }
        assert_eq!(table.trial(7, 0, back_ms), TrialState::Begun);
        assert_eq!(table.trial(8, 0, back_ms + 10), TrialState::NotDue);
        assert_eq!(table.trial(7, 0, back_ms + 10), TrialState::Running);
    }

    /// Two crashes at later moments are enough, and none is sent before the one before it counts.
    pub(super) fn crashes_of_trials_lead_to_no_refusal() {
        let mut table = Table::default();
        table.outage(DEADLY, 0..ENGINES, false);
        for n in 0..2 {
            let now_ms = 5_000 + n * 1_000;
            assert_eq!(table.trial(n, 0, now_ms), TrialState::Begun);
            table.crash(DEADLY, 50 + n, now_ms + 100, false);
            assert_eq!(table.trial(10 + n, 0, now_ms + 400), TrialState::NotDue);
        }
        assert!(table.is_refused(DEADLY, 6_400));
        assert!(table.held_for(DEADLY, 6_400) > Some(Duration::from_secs(9)));
    }

    pub(super) fn a_sound_part_stays_held_back_after_a_response() {
        let mut table = Table::default();
        table.outage(DEADLY, 0..ENGINES, false);
        assert_eq!(table.trial(1, 0, 5_000), TrialState::Begun);
        table.record(DEADLY, StrikeEvent::Cleared, 5_150);
        assert_eq!(table.held_for(DEADLY, 5_150), None);
        table.crash(DEADLY, 50, 6_000, false);
        assert_eq!(table.held_for(DEADLY, 7_000), None);
    }

    pub(super) fn an_outage_of_engines_holds_back_a_part_in_some_requests() {
        let mut table = Table::default();
        table.outage(DEADLY, 0..ENGINES - 3, false);
        assert_eq!(table.held_for(DEADLY, COUNTED_MS), None);
        let mut table = Table::default();
        table.outage(DEADLY, 0..ENGINES, false);
        // Crashes at another time say nothing about these.
        for n in 0..ENGINES {
            table.crash(CALLER, 30 + n, 4_000 + n, true);
        }
        assert!(table.held_for(DEADLY, 5_000).is_some());
    }

    pub(super) fn what_all_prompts_share_is_held_back_in_place_of_the_deeper_part() {
        let mut table = Table::default();
        table.outage(DEADLY, 0..ENGINES, false);
        table.outage(CALLER, 0..ENGINES, false);
        assert!(table.held_for(DEADLY, COUNTED_MS).is_some());
        assert_eq!(table.held_for(CALLER, COUNTED_MS), None);
    }

    pub(super) fn a_part_that_was_served_before_is_held_back_after_an_outage() {
        let mut table = Table::default();
        table.outage(DEADLY, 0..ENGINES, true);
        assert_eq!(table.held_for(DEADLY, COUNTED_MS), None);
    }

    /// Its request may end without having reached an engine.
    pub(super) fn a_trial_without_an_outcome_blocks_later_ones() {
        let mut table = Table::default();
        table.outage(DEADLY, 0..ENGINES, false);
        assert_eq!(table.trial(1, 0, 2_000), TrialState::Begun);
        assert_eq!(table.trial(2, 0, 2_900), TrialState::NotDue);
        assert_eq!(table.trial(2, 0, 3_000), TrialState::Begun);
        // The entry next in order goes on where this one gets no requests.
        assert_eq!(table.trial(3, 1, 4_500), TrialState::NotDue);
        assert_eq!(table.trial(3, 1, 6_600), TrialState::Begun);
    }

    /// More engines end at the moment of a trial's crash.
    pub(super) fn an_outage_ends_probation() {
        let mut table = Table::default();
        table.outage(DEADLY, 0..ENGINES, false);
        assert_eq!(table.trial(1, 0, 5_000), TrialState::Begun);
        table.crash(DEADLY, 50, 5_100, false);
        for n in 0..ENGINES {
            table.crash(CALLER, 30 + n, 5_100, true);
        }
        assert!(!table.is_refused(DEADLY, 5_400));
        assert!(table.held_for(DEADLY, 5_400).is_some());
    }
}
