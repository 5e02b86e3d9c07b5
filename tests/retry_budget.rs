//! The retry budget of a whole fleet whose processes end again and again while upstreams reject requests.

use arbtest::arbitrary::{Result, Unstructured};
use carobfield::{
    clock::BootInstant,
    decide::retry_budget::{RetryLimits, ServiceRetryBudget},
};
use std::{sync::Arc, time::Duration};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    processes_killed_in_series_stay_within_the_budget,
    fleets_stay_within_the_budget_whatever_ends,
    entries_that_do_not_hear_each_other_keep_their_parts,
    a_restarted_process_gets_its_whole_part_after_a_window,
    a_process_that_hears_nobody_takes_its_part_only,
}

/// Slack, ratio and window of the users' sites.
const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};

/// Step of a simulation, in milliseconds.
const STEP_MS: u64 = 20;

/// Time until an entry hears its peers, in milliseconds.
const DISCOVERY_MS: u64 = 400;

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

/// Requests and retries of a simulated fleet, by time in milliseconds.
#[derive(Debug, Default)]
struct Load {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Load {
    fn count(times: &[u64], from: u64, until: u64) -> f64 {
        let (from, until) = [from, until]
            .map(|t| times.partition_point(|at| *at <= t))
            .into();
        (until - from) as f64
    }

    /// Returns by how much the worst window exceeds the budget; not positive if all are within it.
    fn worst_excess(&self) -> f64 {
        let window = LIMITS.window.as_millis() as u64;
        let excess = self.retries.iter().map(|end| {
            let starts = [0, window / 2, window].map(|back| {
                let until = end.saturating_sub(back);
                Self::count(&self.requests, until.saturating_sub(window), until)
            });
            let requests = starts.into_iter().fold(0.0, f64::max);
            let retries = Self::count(&self.retries, end.saturating_sub(window), *end);
            retries - requests * LIMITS.ratio - LIMITS.slack
        });
        excess.fold(f64::MIN, f64::max)
    }
}

/// Entry VM of a simulated fleet.
struct Vm {
    budget: ServiceRetryBudget,
    started: u64,
}

/// Fleet whose upstreams reject everything, so that each request is retried as often as the budget allows, at most thrice.
struct Fleet {
    vms: Vec<Vm>,
    service: Arc<str>,
    load: Load,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let vm = || Vm {
            budget: ServiceRetryBudget::new(LIMITS),
            started: 0,
        };
        Self {
            vms: (0..size).map(|_| vm()).collect(),
            service: Arc::from("plain"),
            load: Load::default(),
        }
    }

    fn restart(&mut self, vm: usize, now: u64) {
        self.vms[vm] = Vm {
            budget: ServiceRetryBudget::after_restart(LIMITS, 3, at(now)),
            started: now,
        };
    }

    fn request(&mut self, vm: usize, now: u64) {
        let size = self.vms.len();
        let vm = &mut self.vms[vm];
        let hears = now > vm.started + DISCOVERY_MS || vm.started == 0;
        let entries = if hears { size } else { 1 };
        vm.budget.record_request(&self.service, at(now));
        self.load.requests.push(now);
        for _ in 0..3 {
            if vm.budget.take_retry(&self.service, entries, at(now)) {
                self.load.retries.push(now);
            }
        }
    }
}

mod case {
    use super::{
        Arc, Duration, Fleet, LIMITS, Result, STEP_MS, ServiceRetryBudget, Unstructured, at,
    };

    /// Guards against repeats beyond the fleet's allowance: each new process had a whole part of the slack (the day
    /// kills-beside-rejections: 186 repeats of ledger-api in 10 s, 174 allowed).
    pub(super) fn processes_killed_in_series_stay_within_the_budget() {
        for rate in [5, 20, 60, 150] {
            let mut fleet = Fleet::new(9);
            for now in (1_000..30_000).step_by(STEP_MS as usize) {
                if [9_000, 11_500, 14_000].contains(&now) {
                    (0..9).for_each(|vm| fleet.restart(vm, now));
                }
                let due = |t: u64| t * rate / 1_000;
                for n in due(now)..due(now + STEP_MS) {
                    fleet.request(n as usize % 9, now);
                }
            }
            let excess = fleet.load.worst_excess();
            assert!(excess <= 0.0, "{rate} requests a second: {excess} too many");
        }
    }

    pub(super) fn fleets_stay_within_the_budget_whatever_ends() {
        arbtest::arbtest(|u: &mut Unstructured<'_>| -> Result<()> {
            let size = u.int_in_range(1..=12_usize)?;
            let mut fleet = Fleet::new(size);
            let mut now = 1_000;
            while now < 40_000 && !u.is_empty() {
                now += u.int_in_range(1..=STEP_MS * 2)?;
                if u.ratio(1, 40)? {
                    let share = u.int_in_range(1..=size)?;
                    (0..share).for_each(|vm| fleet.restart(vm, now));
                }
                for _ in 0..u.int_in_range(0..=4)? {
                    let vm = u.choose_index(size)?;
                    fleet.request(vm, now);
                }
            }
            let excess = fleet.load.worst_excess();
            assert!(excess <= 0.0, "{size} VMs: {excess} too many");
            Ok(())
        })
        .size_min(10_000)
        .budget_ms(4_000);
    }

    /// Guards against entries that are cut off from each other and take the whole slack each.
    pub(super) fn entries_that_do_not_hear_each_other_keep_their_parts() {
        let service = Arc::from("plain");
        let mut budget = ServiceRetryBudget::new(LIMITS);
        budget.has_retry(&service, 9, at(0));
        let mut taken = 0;
        while budget.take_retry(&service, 1, at(8_000)) {
            taken += 1;
        }
        assert!(f64::from(taken) <= LIMITS.slack / 9.0, "{taken}");
        assert!(taken > 2, "{taken}");
    }

    pub(super) fn a_restarted_process_gets_its_whole_part_after_a_window() {
        let service = Arc::from("plain");
        let taken_at = |ms| {
            let mut restarted = ServiceRetryBudget::after_restart(LIMITS, 9, at(0));
            let mut taken = 0;
            while restarted.take_retry(&service, 9, at(ms)) {
                taken += 1;
            }
            taken
        };
        assert_eq!(taken_at(0), 0);
        assert!(taken_at(9_000) >= 1);
        let mut untouched = ServiceRetryBudget::new(LIMITS);
        let mut whole = 0;
        while untouched.take_retry(&service, 9, at(0)) {
            whole += 1;
        }
        assert_eq!(taken_at(10_000), whole);
    }

    pub(super) fn a_process_that_hears_nobody_takes_its_part_only() {
        let service = Arc::from("plain");
        let mut budget = ServiceRetryBudget::after_restart(LIMITS, 3, at(0));
        let mut taken = 0;
        let late = Duration::from_secs(20).as_millis() as u64;
        while budget.take_retry(&service, 1, at(late)) {
            taken += 1;
        }
        assert!(f64::from(taken) <= LIMITS.slack / 3.0, "{taken}");
    }
}
