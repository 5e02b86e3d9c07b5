//! Loads and evictions of a held engine: which adapter to load next, and which to evict for it.

use crate::{
    clock::BootInstant,
    ident::ModelRef,
    scheduler::{Action, AdapterState, LoadPlan, LoadPreparation, Mode, Phase, Scheduler},
    settings::EvictionPolicy,
    wire::Refusal,
};
use std::{collections::BTreeSet, time::Duration};

/// Time after a failed load in which the adapter is not loaded again.
const LOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Decides whether a permit may be requested, so that none is held while nothing can be evicted.
    pub fn prepare_load(&mut self, model: &ModelRef, now: BootInstant) -> LoadPreparation {
        if self.mode != Mode::Full || !self.is_waited_for(model) {
            self.adapters.remove(model);
            self.cancel_retiring();
            return LoadPreparation::Cancel;
        }
        let asked = |s: &&AdapterState| s.phase == Phase::Asked;
        let asked = self.adapters.values().filter(asked).count();
        if self.free_slots() + self.idle_victims() > asked {
            self.set_phase(model, Phase::Asked);
            return LoadPreparation::RequestPermit;
        }
        if let Some(victim) = self.victim(now)
            && self.in_flight(&victim) > 0
        {
            self.set_phase(&victim, Phase::Retiring);
        }
        LoadPreparation::Wait
    }

    fn free_slots(&self) -> usize {
        let takes = |s: &&AdapterState| !matches!(s.phase, Phase::Wanted | Phase::Asked);
        self.capacity
            .slots
            .saturating_sub(self.adapters.values().filter(takes).count())
    }

    fn idle_victims(&self) -> usize {
        let idle = |(model, state): &(&ModelRef, &AdapterState)| {
            matches!(state.phase, Phase::Ready | Phase::Retiring)
                && state.settled
                && self.in_flight(model) == 0
                && !self.stable.contains(*model)
        };
        self.adapters.iter().filter(idle).count()
    }

    /// Starts a load whose permit was granted, if a slot is free or can be freed.
    pub fn begin_load(&mut self, model: &ModelRef, now: BootInstant) -> LoadPlan {
        if self.mode != Mode::Full || !self.is_waited_for(model) {
            self.adapters.remove(model);
            self.cancel_retiring();
            return LoadPlan::Cancel;
        }
        if self.free_slots() > 0 {
            self.set_phase(model, Phase::Loading);
            self.cancel_retiring();
            return LoadPlan::Load(None);
        }
        let Some(victim) = self.victim(now) else {
            return LoadPlan::Wait;
        };
        if self.in_flight(&victim) > 0 {
            self.set_phase(&victim, Phase::Retiring);
            return LoadPlan::Wait;
        }
        self.set_phase(&victim, Phase::Evicting);
        self.set_phase(model, Phase::Loading);
        self.cancel_retiring();
        LoadPlan::Load(Some(victim))
    }

    /// Cancels pending evictions: retiring adapters serve again once the load has a slot or is dropped.
    pub(crate) fn cancel_retiring(&mut self) {
        for state in self.adapters.values_mut() {
            if state.phase == Phase::Retiring {
                state.phase = Phase::Ready;
            }
        }
    }

    /// Returns the adapter to evict: idle before busy, then the one of least value.
    fn victim(&self, now: BootInstant) -> Option<ModelRef> {
        let retiring = self
            .adapters
            .iter()
            .any(|(m, s)| s.phase == Phase::Retiring && self.in_flight(m) > 0);
        let candidates = self.adapters.iter().filter(|(model, state)| {
            let evictable = match state.phase {
                Phase::Retiring => self.in_flight(model) == 0,
                Phase::Ready => self.in_flight(model) == 0 || !retiring,
                Phase::Wanted | Phase::Asked | Phase::Loading | Phase::Evicting => false,
            };
            evictable && state.settled && !self.stable.contains(*model)
        });
        candidates
            .map(|(model, state)| {
                let waited_for = self.is_waited_for(model);
                let rank = (
                    waited_for,
                    self.in_flight(model) > 0,
                    state.phase != Phase::Retiring,
                );
                (rank, self.value(model, now), model)
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, model)| model.clone())
    }

    fn value(&self, model: &ModelRef, now: BootInstant) -> f64 {
        match self.policy {
            EvictionPolicy::Lru => self.popularity.last_used(model).0 as f64,
            EvictionPolicy::Value => self.popularity.rate(model, now),
        }
    }

    /// Returns the `count` most popular ready adapters, for the stable set.
    pub fn select_stable(&self, count: usize, now: BootInstant) -> BTreeSet<ModelRef> {
        let mut ready: Vec<(&ModelRef, f64)> = self
            .adapters
            .iter()
            .filter(|(_, s)| s.phase == Phase::Ready)
            .map(|(m, _)| (m, self.popularity.rate(m, now)))
            .collect();
        ready.sort_by(|a, b| b.1.total_cmp(&a.1));
        ready
            .into_iter()
            .take(count)
            .map(|(m, _)| m.clone())
            .collect()
    }

    /// Records that an eviction was carried out, or was never sent.
    pub fn eviction_ended(&mut self, model: &ModelRef, done: bool) {
        if done {
            self.adapters.remove(model);
        } else {
            self.set_phase(model, Phase::Ready);
        }
    }

    /// Records the end of a load; after a failure, all requests that wait for the adapter are refused.
    pub fn load_ended(&mut self, model: &ModelRef, ok: bool, now: BootInstant) -> Vec<Action> {
        if ok {
            self.failed.remove(model);
            self.set_phase(model, Phase::Ready);
            if let Some(state) = self.adapters.get_mut(model) {
                state.ready = now;
            }
            return Vec::new();
        }
        self.adapters.remove(model);
        self.failed.retain(|_, until| now < *until);
        self.failed.insert(model.clone(), now + LOAD_RETRY_DELAY);
        let waiting = self.queue.drain_where(|t| t.model.as_ref() == Some(model));
        waiting
            .into_iter()
            .map(|t| Action::Refuse(t, Refusal::LoadFailed))
            .collect()
    }
}
