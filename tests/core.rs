//! Decisions of an upstream's holder, over random schedules.

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

/// Schedules tried; the seed of each is its number, above the size that arbtest keeps in the low half.
const SEEDS: u64 = 2_000;
const SCHEDULE_BYTES: u64 = 4_096;

/// The upstream and the driver, in as little as the decisions need.
struct World {
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

impl World {
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
        let ticket = QueuedRequest {
            id: RequestId(self.next),
            attempt: 1,
            model: Some(ModelRef::new(&format!("m{model}"), 1)),
            owner: Arc::from(format!("o{}", model % 2)),
            class,
            deadline: self.now + Duration::from_secs(100_000),
            queued: self.now,
            probation: self.next.is_multiple_of(11),
        };
        self.admitted += usize::from(self.scheduler.admit(ticket, self.now, 0).is_ok());
        self.plan();
    }

    fn plan(&mut self) {
        for step in self.scheduler.plan(self.now) {
            match step {
                Action::Start(ticket, _) => {
                    let model = ticket.model.clone().expect("every ticket has a model");
                    assert!(
                        self.resident.contains(&model),
                        "{model} starts and is not there"
                    );
                    let alone = ticket.probation || self.running.iter().any(|t| t.probation);
                    assert!(!alone || self.running.is_empty(), "a suspect runs alone");
                    self.running.push(ticket);
                    self.started += 1;
                }
                Action::RequestLoad(model) => self.wanted.push(model),
                Action::Refuse(ticket, why) => panic!("{ticket:?} refused: {why}"),
            }
        }
        assert!(self.running.len() <= BATCH, "the batch is not exceeded");
    }

    /// Gives a waiting load its permit, or another look.
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
                    let served = self
                        .running
                        .iter()
                        .any(|t| t.model.as_ref() == Some(victim));
                    assert!(!served, "{victim} is evicted while it serves");
                    assert!(
                        self.resident.remove(victim),
                        "{victim} is evicted and is not there"
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
        let ticket = self.running.swap_remove(at % self.running.len());
        self.scheduler
            .request_finished(ticket.model.as_ref(), Some(Duration::from_millis(10)));
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

/// Nothing is evicted while it serves, no limit is exceeded, and every request is started in the end.
#[test]
fn every_schedule_is_safe_and_serves_all() {
    for seed in 0..SEEDS {
        one_schedule(seed << 32 | SCHEDULE_BYTES);
    }
}

fn one_schedule(seed: u64) {
    arbtest(|u| {
        let mut world = World::new();
        for _ in 0..u.int_in_range(1..=200)? {
            world.step(u)?;
        }
        for round in 0..400 {
            world.grant(round);
            world.end_load(round);
            world.finish(round);
        }
        assert_eq!(world.started, world.admitted, "{:?}", world.scheduler);
        Ok(())
    })
    .seed(seed);
}

/// A holder that may only use the stable set neither loads nor starts anything else.
#[test]
fn stable_mode_gives_no_orders() {
    let mut world = World::new();
    let stable = ModelRef::new("m0", 1);
    let other = ModelRef::new("m1", 1);
    world
        .scheduler
        .sync_adapters(&[stable.clone(), other], true);
    world.scheduler.set_stable(BTreeSet::from([stable.clone()]));
    world.scheduler.set_mode(Mode::Stable);
    world.resident.insert(stable);
    world.admit(1, Class::Standard);
    world.admit(3, Class::Standard);
    assert_eq!(world.admitted, 0);
    world.admit(0, Class::Standard);
    assert_eq!((world.admitted, world.started), (1, 1));
    assert!(world.wanted.is_empty());
}

/// An adapter that an earlier holder's request may still use is not evicted before a report shows it idle.
#[test]
fn unsettled_adapters_stay() {
    let mut world = World::new();
    let models = [ModelRef::new("m0", 1), ModelRef::new("m1", 1)];
    world.scheduler.sync_adapters(&models, false);
    world.resident.extend(models.clone());
    world.admit(3, Class::Standard);
    world.grant(0);
    assert!(world.loading.is_empty(), "nothing may be evicted yet");
    world.scheduler.settle_idle(|m| *m == models[1]);
    world.grant(0);
    assert_eq!(
        world.loading,
        [(ModelRef::new("m3", 1), Some(models[1].clone()))]
    );
    assert_eq!(
        world.scheduler.adapter(&models[0]).map(|s| s.phase),
        Some(Phase::Ready)
    );
}
