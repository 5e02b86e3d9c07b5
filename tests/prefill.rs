//! The schedule of prompts at an engine.

use carobfield::{
    clock::BootInstant,
    decide::prefill::{PrefillSchedule, prefill_time},
    ident::UpstreamId,
};
use std::time::Duration;

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_clump_of_prompts_never_stops_streams_for_long,
    a_prompt_joins_a_group_that_waits,
    a_quiet_engine_gets_prompts_at_once,
    a_slow_engine_gets_fewer_at_once,
}

/// Longest pause of a stream that its callers accept.
const PAUSE: Duration = Duration::from_millis(300);

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

mod case {
    use super::{BootInstant, Duration, PAUSE, PrefillSchedule, UpstreamId, at, prefill_time};

    /// Prompts as they came to one engine within 200 ms of a calm day, in (ms, tokens): as sent at once, every
    /// stream there paused for 503 ms.
    const CLUMP: [(u64, u32); 10] = [
        (148, 500),
        (266, 7_367),
        (360, 1_784),
        (440, 511),
        (606, 862),
        (647, 1_510),
        (648, 2_140),
        (818, 1_807),
        (873, 1_213),
        (977, 1_179),
    ];

    pub(super) fn a_clump_of_prompts_never_stops_streams_for_long() {
        let engine = UpstreamId::from("engine-1");
        let mut schedule = PrefillSchedule::default();
        let mut reads: Vec<(BootInstant, Duration)> = Vec::new();
        for (ms, tokens) in CLUMP {
            let (wait, _) = schedule.reserve(&engine, tokens, at(ms));
            reads.push((at(ms) + wait, prefill_time(tokens)));
        }
        // An engine reads in order; streams go on once it has read all that was sent.
        let mut busy_from = reads[0].0;
        let mut busy_to = busy_from;
        for (sent, time) in reads {
            if sent > busy_to {
                busy_from = sent;
                busy_to = sent;
            }
            busy_to = busy_to + time;
            let pause = busy_to.since(busy_from);
            assert!(pause < PAUSE, "streams pause for {pause:?}");
        }
    }

    /// It was sent at once, into the reading of the group before.
    pub(super) fn a_prompt_joins_a_group_that_waits() {
        let engine = UpstreamId::from("engine-1");
        let mut schedule = PrefillSchedule::default();
        schedule.reserve(&engine, 7_367, at(0));
        let (first, _) = schedule.reserve(&engine, 1_511, at(9));
        assert!(first > Duration::from_millis(200), "{first:?}");
        let (second, _) = schedule.reserve(&engine, 862, at(175));
        assert_eq!(at(175) + second, at(9) + first);
    }

    pub(super) fn a_quiet_engine_gets_prompts_at_once() {
        let engine = UpstreamId::from("engine-1");
        let mut schedule = PrefillSchedule::default();
        for n in 0..20 {
            let (wait, _) = schedule.reserve(&engine, 800, at(n * 100));
            assert_eq!(wait, Duration::ZERO);
        }
    }

    pub(super) fn a_slow_engine_gets_fewer_at_once() {
        let engine = UpstreamId::from("engine-1");
        let mut schedule = PrefillSchedule::default();
        for n in 0..50 {
            let (_, expected) = schedule.reserve(&engine, 3_000, at(n * 1_000));
            schedule.record_measurement(&engine, expected, prefill_time(3_000).mul_f64(1.5));
        }
        schedule.reserve(&engine, 4_000, at(60_000));
        assert!(schedule.wait(&engine, 4_000, at(60_001)) > Duration::from_millis(100));
    }
}
