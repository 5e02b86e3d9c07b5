//! Prefill schedule of an engine.

use arbtest::arbtest;
use carobfield::{
    clock::BootInstant,
    decide::{
        load_balancing::{self, Candidate, Choice},
        prefill::{PIECE_TOKENS, PrefillSchedule, max_wait, prefill_time},
    },
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
    a_slowdown_that_all_entries_learn_counts_once,
    overload_makes_every_response_late,
    prompts_that_are_not_prefilled_keep_an_engine_busy,
    prompts_of_later_groups_are_sent_together,
    rejected_prompts_add_up_at_other_entries,
    rejected_prompts_keep_engines_busy_at_random,
}

/// Longest stall of a stream that its callers accept.
const MAX_STALL: Duration = Duration::from_millis(300);

/// Time in which a response is on time.
const TARGET: Duration = Duration::from_millis(800);

/// Tokens of a usual prompt.
const PROMPT_TOKENS: u32 = 826;

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

/// Returns idle engines that hold the adapter, with the wait for a first attempt.
fn candidates<'a>(
    engines: &'a [UpstreamId],
    schedule: &PrefillSchedule,
    now: BootInstant,
) -> Vec<Candidate<'a>> {
    let all = engines.iter().map(|id| Candidate {
        id,
        slots: 1_000,
        in_flight: 0,
        wait: schedule.wait(id, PROMPT_TOKENS, now),
        max_wait: max_wait(TARGET),
        saved: Duration::ZERO,
        resident: true,
        loadable: true,
        limited: false,
        speed: 1.0,
    });
    all.collect()
}

mod case {
    use super::{
        BootInstant, Choice, Duration, MAX_STALL, PIECE_TOKENS, PROMPT_TOKENS, PrefillSchedule,
        TARGET, UpstreamId, arbtest, at, candidates, load_balancing, max_wait, prefill_time,
    };

    pub(super) fn prompts_that_are_not_prefilled_keep_an_engine_busy() {
        let engine = UpstreamId::from("engine-1");
        let mut schedule = PrefillSchedule::default();
        schedule.reserve(&engine, 800, at(0));
        for ms in 500..520 {
            let reserved = schedule.begin(&engine, 100_000, at(ms));
            assert_eq!(reserved.wait, Duration::ZERO);
            schedule.release(&engine, reserved, 100_000, at(ms));
        }
        assert_eq!(schedule.wait(&engine, 800, at(520)), Duration::ZERO);
        // One that ends long after its time takes nothing from those that came later.
        let old = schedule.begin(&engine, 4_000, at(1_000));
        let new = schedule.begin(&engine, 100_000, at(9_000));
        schedule.release(&engine, old, 4_000, at(9_001));
        assert!(schedule.wait(&engine, 800, at(9_002)) > new.expected.mul_f64(0.9));
    }

    pub(super) fn prompts_of_later_groups_are_sent_together() {
        let engine = UpstreamId::from("engine-1");
        let mut schedule = PrefillSchedule::default();
        let first = schedule.begin(&engine, 9_000, at(0));
        let second = schedule.begin(&engine, 7_000, at(0));
        // The second one is sent when the first should have ended, and a third must not stall its streams.
        schedule.release(&engine, first, 9_000, at(10));
        let wait = schedule.wait(&engine, 7_000, at(10));
        assert!(at(10) + wait >= at(0) + second.wait + second.expected);
    }

    pub(super) fn rejected_prompts_add_up_at_other_entries() {
        let engine = UpstreamId::from("engine-1");
        let (mut own, mut other) = (PrefillSchedule::default(), PrefillSchedule::default());
        for n in 0..20 {
            let reserved = own.begin(&engine, 100_000, at(n));
            let told = own.tell(&engine, reserved, 100_000, at(n));
            other.reserve(&engine, told, at(n));
            own.release(&engine, reserved, 100_000, at(n));
        }
        assert!(other.wait(&engine, PROMPT_TOKENS, at(20)) <= max_wait(TARGET));
        // What is prefilled after that is told again.
        let reserved = own.begin(&engine, 3_000, at(1_000));
        assert_eq!(own.tell(&engine, reserved, 3_000, at(1_000)), 3_000);
    }

    pub(super) fn rejected_prompts_keep_engines_busy_at_random() {
        arbtest(|u| {
            let engine = UpstreamId::from("engine-1");
            let (mut own, mut other) = (PrefillSchedule::default(), PrefillSchedule::default());
            let mut now = at(0);
            // End of all prompts that are prefilled.
            let mut busy_until = now;
            while !u.is_empty() {
                now = now + Duration::from_millis(u.int_in_range(0..=400)?);
                let tokens = u.int_in_range(1..=150_000)?;
                if own.wait(&engine, tokens, now) > max_wait(TARGET) {
                    continue;
                }
                let reserved = own.begin(&engine, tokens, now);
                let told = own.tell(&engine, reserved, tokens, now);
                other.reserve(&engine, told, now);
                if u.ratio(2, 3)? {
                    own.release(&engine, reserved, tokens, now);
                } else {
                    busy_until = now + reserved.wait + reserved.expected;
                }
                // Rejected prompts leave nothing here, and a group at others.
                let left = busy_until.since(now) + max_wait(TARGET);
                assert!(own.wait(&engine, PROMPT_TOKENS, now) <= left);
                let piece = prefill_time(PIECE_TOKENS) + Duration::from_millis(40);
                assert!(other.wait(&engine, PROMPT_TOKENS, now) <= left + piece);
            }
            Ok(())
        });
    }

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

    /// Twice as many prompts as the engines prefill, as when most engines limit their requests. When all of them waited,
    /// each caller gave up, and prompts that nobody waited for any more delayed the rest.
    pub(super) fn overload_makes_every_response_late() {
        let engines: Vec<UpstreamId> = (0..4).map(|n| format!("engine-{n}").into()).collect();
        let mut schedule = PrefillSchedule::default();
        let time = prefill_time(PROMPT_TOKENS);
        let interval = time.div_f64(2.0 * engines.len() as f64);
        let (mut on_time, mut late, mut refused) = (0, 0, 0);
        let mut now = at(0);
        while now < at(20_000) {
            now = now + interval;
            let candidates = candidates(&engines, &schedule, now);
            let chosen = load_balancing::choose_for_adapter("a1", &candidates);
            let Choice::Send(i) = chosen else {
                refused += 1;
                continue;
            };
            let (wait, prefill) = schedule.reserve(&engines[i], PROMPT_TOKENS, now);
            if wait + prefill <= TARGET {
                on_time += 1;
            } else {
                late += 1;
            }
        }
        let all = on_time + late + refused;
        assert_eq!(late, 0, "of {all}");
        assert!(on_time * 5 >= all * 2, "{on_time} of {all}");
    }
    /// An engine at half its speed is first measured here, and then known to all entries.
    pub(super) fn a_slowdown_that_all_entries_learn_counts_once() {
        let id = UpstreamId::from("engine-1");
        let mut schedule = PrefillSchedule::default();
        let nominal = prefill_time(4_000);
        for n in 0..60 {
            schedule.reserve(&id, 4_000, at(n * 1_000));
            let expected = schedule.reserve(&id, 4_000, at(n * 1_000 + 500)).1;
            schedule.record_measurement(&id, expected, nominal * 2);
        }
        let before = schedule.reserve(&id, 4_000, at(100_000)).1;
        assert!(before > nominal.mul_f64(1.8), "{before:?} of {nominal:?}");
        schedule.set_speeds([(&id, 0.5)].into_iter());
        let after = schedule.reserve(&id, 4_000, at(200_000)).1;
        assert!(after < nominal.mul_f64(2.2), "{after:?} of {nominal:?}");
    }
}
