//! Tests of which requests are taken while an entry shuts down, on generated load patterns.

use carobfield::{
    clock::BootInstant,
    decide::{
        run_time::{RunTime, RunTimes},
        shutdown::Shutdown,
    },
};
use std::{sync::Arc, time::Duration};

macro_rules! cases {
    ($($name:ident),* $(,)?) => { $(#[test] fn $name() { case::$name(); })* };
}

cases! {
    a_long_answer_is_taken_early_in_a_stop_and_not_late,
    a_request_that_ends_by_its_deadline_is_taken,
    a_forecast_takes_a_request_that_others_could_serve,
    nothing_is_forecast_without_comparable_requests,
    rare_slow_requests_do_not_refuse_all_others,
    old_requests_are_forgotten,
    a_request_must_be_surer_the_later_it_comes,
    a_shutdown_whose_time_passed_in_one_step_takes_nothing,
    nearly_every_request_taken_in_recorded_stops_ends_in_time,
}

const ROUTE: &str = "drafts";

/// Stop of an entry with a grace period of 8 s.
fn shutdown() -> Shutdown {
    Shutdown {
        requested: BootInstant::default(),
        cached: Duration::from_secs(3),
        limit: after(7_300),
    }
}

fn after(ms: u64) -> BootInstant {
    BootInstant::default() + Duration::from_millis(ms)
}

/// Answer of `size` at `pace_us` microseconds a token.
fn run(size: u32, pace_us: u64) -> RunTime {
    RunTime {
        size,
        first: Duration::from_millis(300),
        rest: Duration::from_micros(u64::from(size) * pace_us),
    }
}

fn recorded(runs: &[RunTime]) -> RunTimes {
    let (route, mut times) = (Arc::from(ROUTE), RunTimes::default());
    for run in runs {
        times.record(&route, *run);
    }
    times
}

mod case {
    use super::{Duration, ROUTE, RunTime, RunTimes, Shutdown, after, recorded, run, shutdown};

    const DEADLINE: Duration = Duration::from_secs(12);

    /// The users' incident: answers of up to 700 tokens at 5 ms each, sent at once and after 3.1 s.
    pub(super) fn a_long_answer_is_taken_early_in_a_stop_and_not_late() {
        let times = recorded(&[run(250, 5_000); 120]);
        let is_taken = |ms, tokens| {
            let sure = shutdown().confidence(after(ms));
            let forecast = times.forecast(ROUTE, tokens, sure);
            let wait = shutdown().max_wait(after(ms), after(ms), DEADLINE, forecast);
            wait.is_some()
        };
        assert!(is_taken(100, 700));
        assert!(!is_taken(3_100, 700));
        assert!(is_taken(2_900, 250));
        assert!(is_taken(2_900, 100));
        assert!(!is_taken(3_100, 100));
        assert!(!is_taken(7_200, 100));
    }

    pub(super) fn a_request_that_ends_by_its_deadline_is_taken() {
        let (stop, deadline) = (shutdown(), Duration::from_millis(1_500));
        let max_wait = |ms| stop.max_wait(after(ms), after(ms), deadline, None);
        assert_eq!(max_wait(5_800), Some(deadline));
        assert_eq!(max_wait(5_801), None);
    }

    /// Requests that came late in a grace period in calm, and were cut at its end.
    pub(super) fn a_forecast_takes_a_request_that_others_could_serve() {
        let (stop, run_time) = (shutdown(), Some(Duration::from_millis(100)));
        let is_taken = |ms| {
            let wait = stop.max_wait(after(ms), after(ms), DEADLINE, run_time);
            wait.is_some()
        };
        assert!(is_taken(2_999));
        assert!(!is_taken(3_000));
        // A request that came before may still be sent.
        let wait = stop.max_wait(after(4_000), after(2_000), DEADLINE, run_time);
        assert_eq!(wait, Some(Duration::from_millis(3_200)));
    }

    pub(super) fn nothing_is_forecast_without_comparable_requests() {
        let times = recorded(&[run(20, 5_000); 200]);
        assert_eq!(times.forecast(ROUTE, 61, 0.98), None);
        assert_eq!(times.forecast(ROUTE, 6, 0.98), None);
        assert!(times.forecast(ROUTE, 60, 0.98).is_some());
        assert_eq!(times.forecast("another", 60, 0.98), None);
        assert_eq!(
            recorded(&[run(100, 5_000); 7]).forecast(ROUTE, 100, 0.98),
            None
        );
        assert_eq!(RunTimes::default().forecast(ROUTE, 0, 0.98), None);
        assert!(recorded(&[run(0, 0); 8]).forecast(ROUTE, 0, 0.8).is_some());
    }

    pub(super) fn rare_slow_requests_do_not_refuse_all_others() {
        let usual = Duration::from_millis(300 + 200 * 4).mul_f64(1.25);
        let slow = Duration::from_millis(300 + 200 * 45).mul_f64(1.25);
        let forecast = |slow_runs| {
            let mut runs = vec![run(200, 4_000); 100 - slow_runs];
            runs.extend(vec![run(100, 45_000); slow_runs]);
            recorded(&runs).forecast(ROUTE, 200, 0.98)
        };
        assert_eq!(forecast(1), Some(usual));
        assert_eq!(forecast(2), Some(slow));
    }

    pub(super) fn old_requests_are_forgotten() {
        let mut runs = vec![run(200, 50_000)];
        runs.extend([run(200, 4_000); 256]);
        let bound = recorded(&runs).forecast(ROUTE, 200, 0.98);
        assert!(bound < Some(Duration::from_secs(2)), "{bound:?}");
    }

    pub(super) fn a_request_must_be_surer_the_later_it_comes() {
        let stop = shutdown();
        assert!((stop.confidence(after(0)) - 0.9).abs() < 1e-9);
        assert!(stop.confidence(after(1_000)) < stop.confidence(after(2_000)));
        assert!((stop.confidence(after(3_000)) - 0.99).abs() < 1e-9);
        assert!((stop.confidence(after(9_000)) - 0.99).abs() < 1e-9);
        let uncached = Shutdown {
            cached: Duration::ZERO,
            ..stop
        };
        assert!((uncached.confidence(after(1)) - 0.99).abs() < 1e-9);
    }

    /// A process that was frozen from just after the stop signal until past its limit.
    pub(super) fn a_shutdown_whose_time_passed_in_one_step_takes_nothing() {
        let times = recorded(&[run(0, 0); 99]);
        let (stop, forecast) = (shutdown(), times.forecast(ROUTE, 0, 0.98));
        assert!(forecast.is_some());
        let soon = Duration::from_millis(100);
        assert_eq!(stop.max_wait(after(9_000), after(0), soon, forecast), None);
        assert_eq!(stop.time_left(after(9_000)), Duration::ZERO);
    }

    /// A roll beside a burst: engines slow from 4 to 7 ms a token over ten seconds while entries stop. Callers' estimates are
    /// spread around the true size, up to three times too low or too high.
    pub(super) fn nearly_every_request_taken_in_recorded_stops_ends_in_time() {
        let estimate = |n: u64| 30 + (n * n * 7 % 470) as u32;
        let spread =
            |n: u64| [1.0, 0.6, 1.6, 0.9, 1.1, 0.5, 2.0, 0.75, 1.3, 1.0][(n % 10) as usize];
        let timed = |n: u64, pace_us: u64| {
            let size = estimate(n);
            let generated = (f64::from(size) * spread(n / 3)) as u32;
            RunTime {
                size,
                ..run(generated, pace_us)
            }
        };
        let (mut taken, mut late, mut fitting) = (0, 0, 0);
        let mut last_taken = 0;
        for stopped in 0..50 {
            let pace = |at_ms: u64| 4_000 + 3_000 * at_ms / 10_000;
            let start = stopped * 100;
            let runs: Vec<_> = (0..250)
                .map(|n| timed(n + stopped, pace(start * n / 250)))
                .collect();
            let times = recorded(&runs);
            for n in 0..80_u64 {
                let since = n * 90;
                let run = timed(n * 31 + stopped, pace(start + since));
                let in_time = after(since) + run.first + run.rest <= shutdown().limit;
                let sure = shutdown().confidence(after(since));
                let forecast = times.forecast(ROUTE, run.size, sure);
                let now = after(since);
                let wait = shutdown().max_wait(now, now, DEADLINE, forecast);
                taken += u32::from(wait.is_some());
                late += u32::from(wait.is_some() && !in_time);
                last_taken += u32::from(since >= 3_000 && wait.is_some());
                fitting += u32::from(since < 3_000 && in_time);
            }
        }
        assert!(late * 200 <= taken, "{late} of {taken} taken end late");
        assert_eq!(last_taken, 0, "taken from 3 s on by a forecast");
        assert!(taken * 3 >= fitting * 2, "{taken} of {fitting} that fit");
    }
}
