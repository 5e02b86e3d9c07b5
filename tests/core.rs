//! Scheduler of a held upstream, over random schedules.

use arbtest::{arbitrary::Unstructured, arbtest};
use carobfield::{
    catalogue::Class,
    clock::BootInstant,
    ident::{ModelRef, RequestId},
    queue::QueuedRequest,
    scheduler::{Action, LoadPlan, LoadPreparation, Mode, Phase, Scheduler, UpstreamCapacity},
    settings::EvictionPolicy,
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

const SLOTS: usize = 2;
const BATCH: usize = 3;
const MODELS: u32 = 5;

/// Number of random schedules. The high half of each seed is the schedule number, the low half the size that arbtest
/// reads from it.
const SEEDS: u64 = 2_000;
const SCHEDULE_BYTES: u64 = 4_096;

/// Minimal model of the upstream and of the code that carries out the actions.
struct Simulation {
    scheduler: Scheduler,
    now: BootInstant,
    running: Vec<QueuedRequest>,
    wanted: Vec<ModelRef>,
    loading: Vec<(ModelRef, Option<ModelRef>)>,
    resident: BTreeSet<ModelRef>,
    started: usize,
    admitted: usize,
    next: u128,
}

impl Simulation {
    fn new() -> Self {
        let size = UpstreamCapacity {
            slots: SLOTS,
            batch: BATCH,
        };
        Self {
            scheduler: Scheduler::new(size, EvictionPolicy::Value),
            now: BootInstant(1_000_000_000),
            running: Vec::new(),
            wanted: Vec::new(),
            loading: Vec::new(),
            resident: BTreeSet::new(),
            started: 0,
            admitted: 0,
            next: 0,
        }
    }

    fn admit(&mut self, model: u32, class: Class) {
        self.next += 1;
        let request = QueuedRequest {
            id: RequestId(self.next),
            attempt: 1,
            model: Some(ModelRef::new(&format!("m{model}"), 1)),
            owner: Arc::from(format!("o{}", model % 2)),
            class,
            deadline: self.now + Duration::from_secs(100_000),
            queued: self.now,
            probation: self.next.is_multiple_of(11),
        };
        self.admitted += usize::from(self.scheduler.admit(request, self.now, 0).is_ok());
        self.plan();
    }

    fn plan(&mut self) {
        for action in self.scheduler.plan(self.now) {
            match action {
                Action::Start(request, _) => {
                    let model = request.model.clone().expect("every request has a model");
                    assert!(
                        self.resident.contains(&model),
                        "a request for {model} starts, but it is not loaded"
                    );
                    let exclusive = request.probation || self.running.iter().any(|r| r.probation);
                    assert!(
                        !exclusive || self.running.is_empty(),
                        "a request on probation runs alone"
                    );
                    self.running.push(request);
                    self.started += 1;
                }
                Action::RequestLoad(model) => self.wanted.push(model),
                Action::Refuse(request, refusal) => panic!("{request:?} refused: {refusal}"),
            }
        }
        assert!(self.running.len() <= BATCH, "the batch is not exceeded");
    }

    /// Grants a waiting load its permit if the scheduler requests it, and starts the load if a slot is free.
    fn grant(&mut self, at: usize) {
        if self.wanted.is_empty() {
            return;
        }
        let model = self.wanted.swap_remove(at % self.wanted.len());
        match self.scheduler.prepare_load(&model, self.now) {
            LoadPreparation::RequestPermit => {}
            LoadPreparation::Wait => {
                self.wanted.push(model);
                return self.plan();
            }
            LoadPreparation::Cancel => return self.plan(),
        }
        match self.scheduler.begin_load(&model, self.now) {
            LoadPlan::Load(victim) => {
                if let Some(victim) = &victim {
                    let in_use = self
                        .running
                        .iter()
                        .any(|r| r.model.as_ref() == Some(victim));
                    assert!(!in_use, "{victim} is evicted while requests use it");
                    assert!(
                        self.resident.remove(victim),
                        "{victim} is evicted, but it is not loaded"
                    );
                }
                self.loading.push((model, victim));
                let used = self.resident.len() + self.loading.len();
                assert!(used <= SLOTS, "{used} of {SLOTS} slots");
            }
            LoadPlan::Wait => self.wanted.push(model),
            LoadPlan::Cancel => {}
        }
        self.plan();
    }

    fn end_load(&mut self, at: usize) {
        if self.loading.is_empty() {
            return;
        }
        let (model, victim) = self.loading.swap_remove(at % self.loading.len());
        if let Some(victim) = victim {
            self.scheduler.eviction_ended(&victim, true);
        }
        self.resident.insert(model.clone());
        assert!(self.scheduler.load_ended(&model, true, self.now).is_empty());
        self.plan();
    }

    fn finish(&mut self, at: usize) {
        if self.running.is_empty() {
            return;
        }
        let request = self.running.swap_remove(at % self.running.len());
        self.scheduler
            .request_finished(request.model.as_ref(), Some(Duration::from_millis(10)));
        self.plan();
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
        self.now = self.now + Duration::from_millis(u.int_in_range(0..=50)?);
        let at = u.int_in_range(0..=7)?;
        match u.int_in_range(0..=6)? {
            0 | 1 => {
                let class = *u.choose(&Class::ALL)?;
                self.admit(u.int_in_range(0..=MODELS - 1)?, class);
            }
            2 | 3 => self.grant(at),
            4 => self.end_load(at),
            _ => self.finish(at),
        }
        Ok(())
    }
}

/// No adapter is evicted while requests use it, no limit is exceeded, and every request is started eventually.
#[test]
fn every_schedule_is_safe_and_serves_all() {
    for seed in 0..SEEDS {
        run_schedule(seed << 32 | SCHEDULE_BYTES);
    }
}

fn run_schedule(seed: u64) {
    arbtest(|u| {
        let mut simulation = Simulation::new();
        for _ in 0..u.int_in_range(1..=200)? {
            simulation.step(u)?;
        }
        for round in 0..400 {
            simulation.grant(round);
            simulation.end_load(round);
            simulation.finish(round);
        }
        assert_eq!(
            simulation.started, simulation.admitted,
            "{:?}",
            simulation.scheduler
        );
        Ok(())
    })
    .seed(seed);
}

/// A holder limited to the stable set neither loads adapters nor starts requests for others.
#[test]
fn stable_mode_sends_no_orders() {
    let mut simulation = Simulation::new();
    let stable = ModelRef::new("m0", 1);
    let other = ModelRef::new("m1", 1);
    simulation
        .scheduler
        .sync_adapters(&[stable.clone(), other], true);
    simulation
        .scheduler
        .set_stable(BTreeSet::from([stable.clone()]));
    simulation.scheduler.set_mode(Mode::Stable);
    simulation.resident.insert(stable);
    simulation.admit(1, Class::Standard);
    simulation.admit(3, Class::Standard);
    assert_eq!(simulation.admitted, 0);
    simulation.admit(0, Class::Standard);
    assert_eq!((simulation.admitted, simulation.started), (1, 1));
    assert!(simulation.wanted.is_empty());
}

/// An adapter that an earlier holder's request may still use is not evicted until a report shows it idle.
#[test]
fn adapters_of_earlier_requests_are_not_evicted() {
    let mut simulation = Simulation::new();
    let models = [ModelRef::new("m0", 1), ModelRef::new("m1", 1)];
    simulation.scheduler.sync_adapters(&models, false);
    simulation.resident.extend(models.clone());
    simulation.admit(3, Class::Standard);
    simulation.grant(0);
    assert!(
        simulation.loading.is_empty(),
        "no adapter may be evicted yet"
    );
    simulation.scheduler.settle_idle(|m| *m == models[1]);
    simulation.grant(0);
    assert_eq!(
        simulation.loading,
        [(ModelRef::new("m3", 1), Some(models[1].clone()))]
    );
    assert_eq!(
        simulation.scheduler.state(&models[0]).map(|s| s.phase),
        Some(Phase::Ready)
    );
}
