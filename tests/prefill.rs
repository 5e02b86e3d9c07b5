//! Prefill schedule of an engine.

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
    a_burst_of_prompts_stalls_streams_only_briefly,
    a_prompt_joins_a_waiting_group,
    an_idle_engine_gets_prompts_at_once,
    a_slow_engine_gets_fewer_at_once,
}

/// Longest stall of a stream that its callers accept.
const MAX_STALL: Duration = Duration::from_millis(300);

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

mod case {
    use super::{BootInstant, Duration, MAX_STALL, PrefillSchedule, UpstreamId, at, prefill_time};

    /// Prompts that arrived at one engine within 200 ms, in (ms, tokens), recorded on a day without faults. When they were
    /// all sent on arrival, every stream there stalled for 503 ms.
    const BURST: [(u64, u32); 10] = [
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

    pub(super) fn a_burst_of_prompts_stalls_streams_only_briefly() {
        let engine = UpstreamId::from("engine-1");
        let mut schedule = PrefillSchedule::default();
        let mut prefills: Vec<(BootInstant, Duration)> = Vec::new();
        for (ms, tokens) in BURST {
            let (wait, _) = schedule.reserve(&engine, tokens, at(ms));
            prefills.push((at(ms) + wait, prefill_time(tokens)));
        }
        // An engine prefills in order; its streams continue once all sent prompts are done.
        let mut busy_from = prefills[0].0;
        let mut busy_to = busy_from;
        for (sent, time) in prefills {
            if sent > busy_to {
                busy_from = sent;
                busy_to = sent;
            }
            busy_to = busy_to + time;
            let stall = busy_to.since(busy_from);
            assert!(stall < MAX_STALL, "streams stall for {stall:?}");
        }
    }

    /// Guards against sending such a prompt at once, during the prefill of the group before.
    pub(super) fn a_prompt_joins_a_waiting_group() {
        let engine = UpstreamId::from("engine-1");
        let mut schedule = PrefillSchedule::default();
        schedule.reserve(&engine, 7_367, at(0));
        let (first, _) = schedule.reserve(&engine, 1_511, at(9));
        assert!(first > Duration::from_millis(200), "{first:?}");
        let (second, _) = schedule.reserve(&engine, 862, at(175));
        assert_eq!(at(175) + second, at(9) + first);
    }

    pub(super) fn an_idle_engine_gets_prompts_at_once() {
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
