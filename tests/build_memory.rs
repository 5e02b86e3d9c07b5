//! Memory of the builds that began streams: which one goes on with a stream, and when an unknown beginning is certain.

use arbtest::arbtest;
use carobfield::{
    clock::BootInstant,
    decide::{
        begun_streams::{AddResult, BegunStreams, CAPACITY, RETENTION},
        build_history::{BuildHistory, BuildReport, SeenBuild},
        stream_origin::{OriginSource, Question, Recording, find_origin},
    },
    edge::registration::{Build, BuildVersion},
    entry::messages::BegunBatch,
    ident::StreamId,
    wire,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_stream_keeps_the_build_that_began_it,
    the_oldest_streams_make_room_beyond_the_capacity,
    a_single_build_is_certain_only_where_nothing_is_missing,
    a_release_forth_and_back_is_uncertain_until_streams_have_ended,
    a_view_that_is_not_confirmed_is_uncertain,
    what_was_read_before_a_request_proves_its_beginning,
    builds_of_any_peer_make_a_beginning_uncertain,
    builds_that_came_and_went_unseen_make_a_beginning_uncertain,
    a_reply_that_was_read_late_makes_a_beginning_certain,
    a_late_first_view_makes_a_beginning_certain,
    an_update_that_was_read_late_makes_a_beginning_certain,
    a_conclusion_goes_before_a_record,
    a_single_certain_build_leaves_no_stream_unrecorded,
    a_lookup_takes_less_than_a_microsecond,
    a_begun_stream_takes_few_bytes_between_entries,
}

const START: BootInstant = BootInstant(1_000_000_000_000);

fn build(version: &str) -> Build {
    Build {
        service: Arc::from("engines"),
        version: BuildVersion::Named(Arc::from(version)),
    }
}

fn engines() -> Arc<str> {
    Arc::from("engines")
}

/// Returns a history that misses nothing, with `versions` registered and confirmed at [`START`].
fn history(versions: &[&str]) -> BuildHistory {
    let mut history = BuildHistory::of_first_start(START);
    history.observe(versions.iter().map(|v| build(v)), START);
    history.confirm(START);
    history
}

fn only(history: &BuildHistory, now: BootInstant) -> Option<Build> {
    history.only_build(&[&engines()], now).cloned()
}

fn is_shared(history: &BuildHistory, now: BootInstant) -> bool {
    Recording::choose(history, now).is_for_all()
}

mod case {
    use super::{
        AddResult, BegunBatch, BegunStreams, BuildHistory, BuildReport, CAPACITY, Duration,
        Instant, OriginSource, Question, RETENTION, Recording, START, SeenBuild, StreamId, arbtest,
        build, engines, find_origin, history, is_shared, only, wire,
    };

    pub(super) fn a_stream_keeps_the_build_that_began_it() {
        let mut begun = BegunStreams::default();
        let (id, now) = (StreamId::of("a"), START);
        assert_eq!(begun.add(id, &build("v1"), None, now), AddResult::Added);
        assert_eq!(begun.add(id, &build("v2"), None, now), AddResult::Known);
        assert_eq!(begun.build_of(id).map(|b| (**b).clone()), Some(build("v1")));
        assert_eq!(begun.since(0).count(), 1);
        assert_eq!(begun.since(begun.next()).count(), 0);
        let later = now + RETENTION + Duration::from_secs(1);
        begun.add(StreamId::of("b"), &build("v2"), None, later);
        assert_eq!(begun.build_of(id), None);
        assert_eq!(begun.since(1).count(), 1, "numbers stay");
    }

    pub(super) fn the_oldest_streams_make_room_beyond_the_capacity() {
        let mut begun = BegunStreams::default();
        for n in 0..CAPACITY as u64 {
            assert_eq!(
                begun.add(StreamId(n), &build("v1"), None, START),
                AddResult::Added
            );
        }
        let result = begun.add(StreamId(u64::MAX), &build("v2"), None, START);
        assert_eq!(result, AddResult::Displaced);
        assert_eq!(begun.build_of(StreamId(0)), None);
        assert!(begun.build_of(StreamId(1)).is_some());
    }

    pub(super) fn a_single_build_is_certain_only_where_nothing_is_missing() {
        assert_eq!(only(&history(&["v1"]), START), Some(build("v1")));
        assert_eq!(only(&history(&[]), START), None);
        assert_eq!(only(&history(&["v1", "v1.1"]), START), None);
        let mut started = BuildHistory::default();
        started.observe([build("v1")].into_iter(), START);
        started.confirm(START);
        assert_eq!(only(&started, START), None, "a build may have left before");
        let later = START + Duration::from_secs(6);
        let stale = history(&["v1"]).report(later);
        started.confirm(START + Duration::from_secs(3));
        started.merge_reply(&stale, START, later);
        assert_eq!(only(&started, later), None, "the peer does not know either");
        let asked = START - Duration::from_millis(10);
        started.merge_reply(&history(&["v1"]).report(START), asked, START);
        assert_eq!(only(&started, START), Some(build("v1")), "a peer knows");
    }

    pub(super) fn a_release_forth_and_back_is_uncertain_until_streams_have_ended() {
        let mut history = history(&["v1"]);
        let second = |n| START + Duration::from_secs(n);
        let last = RETENTION.as_secs() + 12;
        for n in 0..=last {
            let versions = if (2..10).contains(&n) {
                &["v1", "v1.1"][..]
            } else {
                &["v1"]
            };
            history.observe(versions.iter().map(|v| build(v)), second(n));
            history.confirm(second(n));
            let is_certain = n < 2 || n > 9 + RETENTION.as_secs();
            assert_eq!(only(&history, second(n)).is_some(), is_certain, "at {n} s");
            assert_eq!(is_shared(&history, second(n)), !is_certain, "at {n} s");
        }
    }

    pub(super) fn a_view_that_is_not_confirmed_is_uncertain() {
        let history = history(&["v1"]);
        assert!(only(&history, START + Duration::from_secs(4)).is_some());
        assert!(only(&history, START + Duration::from_secs(6)).is_none());
    }

    /// Guards against an entry that stood still while another build joined, and goes on with a stream of that build.
    pub(super) fn what_was_read_before_a_request_proves_its_beginning() {
        let mut history = history(&["v1"]);
        let asked = START + Duration::from_secs(3);
        assert!(only(&history, asked).is_some());
        assert!(!history.is_read_since(asked), "never read");
        history.confirm_read(START + Duration::from_secs(2), asked);
        assert!(!history.is_read_since(asked), "the read began before");
        history.confirm_read(asked, asked + Duration::from_millis(5));
        assert!(history.is_read_since(asked));
        history.confirm_read(START, asked + Duration::from_millis(6));
        assert!(history.is_read_since(asked), "a slow earlier read");
    }

    pub(super) fn builds_that_came_and_went_unseen_make_a_beginning_uncertain() {
        let mut history = history(&["v1"]);
        let after = START + Duration::from_secs(10);
        assert!(is_shared(&history, after), "not confirmed");
        history.observe([build("v1")].into_iter(), after);
        history.confirm(after);
        assert_eq!(only(&history, after), None);
        assert!(is_shared(&history, after));
        let mut later = after;
        for _ in 0..RETENTION.as_secs() {
            later = later + Duration::from_secs(1);
            history.observe([build("v1")].into_iter(), later);
            history.confirm(later);
        }
        assert_eq!(only(&history, later), Some(build("v1")));
        assert!(!is_shared(&history, later));
    }

    /// Guards against an entry that stood still for a while and then read a reply from before that: the builds that came and
    /// went meanwhile are missing (review, case 7).
    pub(super) fn a_reply_that_was_read_late_makes_a_beginning_certain() {
        arbtest(|u| {
            let before = history(&[]).report(START);
            let stood_still = Duration::from_millis(u.int_in_range(0..=90_000)?);
            let now = START + stood_still;
            let mut own = BuildHistory::default();
            let (asked, is_confirmed_first) = (START, u.arbitrary()?);
            own.observe([build("v2")].into_iter(), now);
            if is_confirmed_first {
                own.confirm(now);
            }
            own.merge_reply(&before, asked, now);
            own.confirm(now);
            let is_read_at_once = stood_still <= Duration::from_secs(5);
            assert_eq!(
                only(&own, now).is_some(),
                is_read_at_once,
                "{stood_still:?}"
            );
            Ok(())
        });
    }

    /// Guards against an entry that stands still right after the first start of all, while builds come and go.
    pub(super) fn a_late_first_view_makes_a_beginning_certain() {
        for (delay, is_certain) in [(1, true), (5, true), (6, false), (50, false)] {
            let mut history = BuildHistory::of_first_start(START);
            let now = START + Duration::from_secs(delay);
            history.observe([build("v2")].into_iter(), now);
            history.confirm(now);
            assert_eq!(only(&history, now).is_some(), is_certain, "after {delay} s");
        }
    }

    /// Guards against an entry that stood still and then read an update of a peer from before that, whose age nobody knows.
    pub(super) fn an_update_that_was_read_late_makes_a_beginning_certain() {
        let mut own = BuildHistory::default();
        let later = START + Duration::from_secs(10);
        own.observe([build("v2")].into_iter(), later);
        own.confirm(later);
        own.merge(&history(&[]).report(START), later);
        assert_eq!(only(&own, later), None);
    }

    pub(super) fn builds_of_any_peer_make_a_beginning_uncertain() {
        arbtest(|u| {
            let mut own = history(&["v1"]);
            let age_ms = u.int_in_range(0..=2 * RETENTION.as_millis() as u64)?;
            let builds = vec![SeenBuild {
                build: build("v1.1"),
                age_ms,
            }];
            let report = BuildReport {
                builds,
                complete_ms: 0,
            };
            own.merge_reply(&report, START, START);
            let is_recent = u128::from(age_ms) <= RETENTION.as_millis();
            assert_eq!(only(&own, START).is_none(), is_recent, "{age_ms}");
            Ok(())
        });
    }

    pub(super) fn a_conclusion_goes_before_a_record() {
        let mut history = BuildHistory::of_first_start(START);
        history.observe([build("v2")].into_iter(), START);
        history.confirm_read(START, START);
        let services = &[&engines()];
        let question = Question {
            services,
            asked: START,
        };
        let found = |stored| find_origin(question, stored, &history, START);
        let origin = found(Some(build("v1"))).expect("a record");
        assert_eq!(
            (origin.build, origin.source),
            (build("v1"), OriginSource::Store)
        );
        let origin = found(None).expect("a conclusion");
        assert_eq!(
            (origin.build, origin.source),
            (build("v2"), OriginSource::OnlyBuild)
        );
    }

    /// Guards against records that are left out because the build could be concluded while the stream began.
    pub(super) fn a_single_certain_build_leaves_no_stream_unrecorded() {
        let mut history = BuildHistory::of_first_start(START);
        history.observe([build("v1")].into_iter(), START);
        history.confirm(START);
        assert_eq!(Recording::choose(&history, START), Recording::Deferred);
        history.observe([build("v2")].into_iter(), START);
        assert_eq!(Recording::choose(&history, START), Recording::Durable);
        let unconfirmed = BuildHistory::default();
        let recording = Recording::choose(&unconfirmed, START);
        assert_eq!(recording, Recording::Shared);
    }

    pub(super) fn a_lookup_takes_less_than_a_microsecond() {
        let mut begun = BegunStreams::default();
        for n in 0..CAPACITY {
            begun.add(StreamId::of(&n.to_string()), &build("v1"), None, START);
        }
        let started = Instant::now();
        let found = (0..100_000).filter(|n| begun.build_of(StreamId(n * 7_919)).is_some());
        let found = found.count();
        let each = started.elapsed() / 100_000;
        println!("{found} found, {} ns each", each.as_nanos());
        assert!(each < Duration::from_micros(1), "{each:?}");
    }

    pub(super) fn a_begun_stream_takes_few_bytes_between_entries() {
        let batch = |streams| {
            let streams = (0..streams).map(|n: u64| StreamId::of(&n.to_string()));
            let batch = BegunBatch {
                build: build("v1.1"),
                streams: streams.collect(),
            };
            wire::encode(&vec![batch]).expect("a message").len()
        };
        let each = (batch(1_001) - batch(1)) / 1_000;
        println!("{} bytes for one, {each} for each further", batch(1));
        assert!(each <= 10, "{each}");
        assert!(batch(CAPACITY as u64) < wire::MAX_MESSAGE_BYTES / 8);
    }
}
