//! Scheduler of one held upstream, without I/O; [`crate::holding`] carries out what it decides.

use crate::{
    clock::BootInstant,
    ident::{ModelRef, RequestId},
    popularity::Popularity,
    queue::{QueuedRequest, RequestQueue},
    settings::EvictionPolicy,
    wire::{Refusal, Residency, Resident},
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Concurrent loads on one upstream, including those waiting for a permit.
const MAX_LOADING: usize = 4;

/// Longest queue, as a multiple of the batch size; further requests are refused.
const QUEUE_FACTOR: usize = 8;

const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// What the holder may do with the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Start all requests and send orders.
    Full,
    /// Start only requests for adapters of the stable set, and send no orders.
    Stable,
    /// Start nothing and send no orders.
    Lost,
}

/// State of an adapter on the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waits until a slot can be freed; takes no slot yet.
    Wanted,
    /// Has requested a load permit; takes no slot yet.
    Asked,
    /// Being loaded; takes a slot.
    Loading,
    /// Serves requests.
    Ready,
    /// Accepts no new requests, and is evicted when idle.
    Retiring,
    /// Being unloaded.
    Evicting,
}

/// Status of one adapter on the upstream.
#[derive(Clone, Copy, Debug)]
pub struct AdapterState {
    /// Phase of its load or eviction.
    pub phase: Phase,
    /// Whether no request of an earlier holder can still be using it.
    pub settled: bool,
    /// When the adapter became ready.
    pub ready: BootInstant,
}

impl AdapterState {
    fn wanted() -> Self {
        Self {
            phase: Phase::Wanted,
            settled: true,
            ready: BootInstant(0),
        }
    }
}

/// Action for [`crate::holding`] to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the upstream; the time is how long it waited for a load.
    Start(QueuedRequest, Duration),
    /// Call [`Scheduler::prepare_load`], get a permit, then call [`Scheduler::begin_load`].
    RequestLoad(ModelRef),
    /// Respond that the request was not run.
    Refuse(QueuedRequest, Refusal),
}

/// Whether a load may request its permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadPreparation {
    /// Request it now.
    RequestPermit,
    /// No slot can be freed yet.
    Wait,
    /// No request waits for the adapter any more.
    Cancel,
}

/// Next step for a load whose permit was granted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadPlan {
    /// Load now, after evicting the named adapter if there is one.
    Load(Option<ModelRef>),
    /// No slot can be freed yet.
    Wait,
    /// No request waits for the adapter any more.
    Cancel,
}

/// Capacity of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCapacity {
    /// Adapter slots; 0 for a plain service.
    pub slots: usize,
    /// Batch size: requests that run at once.
    pub batch: usize,
}

/// Scheduling state of one held upstream.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) capacity: UpstreamCapacity,
    pub(crate) policy: EvictionPolicy,
    pub(crate) adapters: BTreeMap<ModelRef, AdapterState>,
    /// Started requests by adapter, kept apart from `adapters` so that no state change loses one.
    in_flight: BTreeMap<ModelRef, u32>,
    pub(crate) stable: BTreeSet<ModelRef>,
    pub(crate) failed: BTreeMap<ModelRef, BootInstant>,
    pub(crate) queue: RequestQueue,
    running: usize,
    exclusive: bool,
    pub(crate) popularity: Popularity,
    mean_service: f64,
    pub(crate) mode: Mode,
    leaving: bool,
}

impl Scheduler {
    /// Returns the scheduler of an upstream whose adapters are not known yet.
    pub fn new(capacity: UpstreamCapacity, policy: EvictionPolicy) -> Self {
        Self {
            capacity,
            policy,
            adapters: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            stable: BTreeSet::new(),
            failed: BTreeMap::new(),
            queue: RequestQueue::default(),
            running: 0,
            exclusive: false,
            popularity: Popularity::default(),
            mean_service: 0.5,
            mode: Mode::Full,
            leaving: false,
        }
    }

    /// Returns what the holder may do at present.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Sets what the holder may do.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
    }

    /// Stops accepting new requests.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Accepts requests again.
    pub fn cancel_leaving(&mut self) {
        self.leaving = false;
    }

    /// Returns whether new requests are refused because the upstream is being handed over.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the stable set: adapters that must be removed from it before they are evicted.
    pub fn stable(&self) -> &BTreeSet<ModelRef> {
        &self.stable
    }

    /// Replaces the stable set, after it was written to the object API.
    pub fn set_stable(&mut self, stable: BTreeSet<ModelRef>) {
        self.stable = stable;
    }

    /// Returns whether `model` is loaded, so that a request queued now needs no load.
    pub fn is_ready(&self, model: &ModelRef) -> bool {
        self.adapters
            .get(model)
            .is_some_and(|s| s.phase == Phase::Ready)
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no request runs or waits and no order is under way.
    pub fn is_idle(&self) -> bool {
        let busy = |s: &AdapterState| matches!(s.phase, Phase::Loading | Phase::Evicting);
        self.running == 0 && self.queue.is_empty() && !self.adapters.values().any(busy)
    }

    /// Returns the state of an adapter.
    pub fn state(&self, model: &ModelRef) -> Option<AdapterState> {
        self.adapters.get(model).copied()
    }

    /// Returns the number of requests that this holder started for an adapter and that have not ended.
    pub fn in_flight(&self, model: &ModelRef) -> u32 {
        self.in_flight.get(model).copied().unwrap_or(0)
    }

    /// Returns the adapters that are ready or loading, as reported to gateways.
    pub fn residents(&self) -> Vec<Resident> {
        let visible = |(model, state): (&ModelRef, &AdapterState)| {
            let state = match state.phase {
                Phase::Wanted | Phase::Asked | Phase::Loading => Residency::Loading,
                Phase::Ready => Residency::Ready,
                Phase::Retiring | Phase::Evicting => return None,
            };
            if self.mode == Mode::Stable && !self.stable.contains(model) {
                return None;
            }
            Some(Resident {
                model: model.clone(),
                state,
            })
        };
        self.adapters.iter().filter_map(visible).collect()
    }

    /// Queues a request.
    /// # Errors
    /// Returns the refusal if the request was not queued.
    pub fn admit(
        &mut self,
        request: QueuedRequest,
        now: BootInstant,
        limit: u32,
    ) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.mode == Mode::Lost {
            return Err(Refusal::NotHolder);
        }
        if request.deadline <= now {
            return Err(Refusal::Deadline);
        }
        if self.queue.len() >= self.capacity.batch * QUEUE_FACTOR {
            return Err(Refusal::Overload);
        }
        if request.deadline.since(now) < self.expected_wait() {
            return Err(Refusal::Overload);
        }
        if let Some(model) = &request.model {
            self.check_model(model, now, limit)?;
            self.popularity.record(model, now);
        }
        self.queue.push(request);
        Ok(())
    }

    fn check_model(&self, model: &ModelRef, now: BootInstant, limit: u32) -> Result<(), Refusal> {
        let usable = match self.mode {
            Mode::Full => true,
            Mode::Stable => self.stable.contains(model) && self.adapters.contains_key(model),
            Mode::Lost => false,
        };
        if !usable {
            return Err(Refusal::Restricted);
        }
        if self.failed.get(model).is_some_and(|until| now < *until) {
            return Err(Refusal::LoadFailed);
        }
        let in_flight = self.in_flight(model);
        let waiting = self
            .queue
            .iter()
            .filter(|t| t.model.as_ref() == Some(model))
            .count();
        if limit > 0 && in_flight + waiting as u32 >= limit {
            return Err(Refusal::Limit);
        }
        Ok(())
    }

    /// Returns the time that a request queued now is expected to wait for room in the batch.
    pub fn expected_wait(&self) -> Duration {
        let ahead = (self.queue.len() + self.running + 1).saturating_sub(self.capacity.batch);
        Duration::from_secs_f64(self.mean_service * ahead as f64 / self.capacity.batch as f64)
    }

    /// Returns all actions that are due at `now`.
    pub fn plan(&mut self, now: BootInstant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.refuse_expired(now, &mut actions);
        self.start_ready(now, &mut actions);
        self.request_loads(&mut actions);
        actions
    }

    fn refuse_expired(&mut self, now: BootInstant, actions: &mut Vec<Action>) {
        if self.leaving || self.mode == Mode::Lost {
            let why = if self.leaving {
                Refusal::Leaving
            } else {
                Refusal::NotHolder
            };
            let all = self.queue.drain_where(|_| true);
            actions.extend(all.into_iter().map(|t| Action::Refuse(t, why)));
            return;
        }
        let due = self.queue.drain_where(|t| t.deadline <= now);
        actions.extend(
            due.into_iter()
                .map(|t| Action::Refuse(t, Refusal::Deadline)),
        );
        if self.mode == Mode::Stable {
            let (adapters, stable) = (&self.adapters, &self.stable);
            let cold = self.queue.drain_where(|t| match &t.model {
                Some(m) => !stable.contains(m) || !adapters.contains_key(m),
                None => false,
            });
            actions.extend(
                cold.into_iter()
                    .map(|t| Action::Refuse(t, Refusal::Restricted)),
            );
        }
    }

    fn start_ready(&mut self, now: BootInstant, actions: &mut Vec<Action>) {
        while self.running < self.capacity.batch && !self.exclusive {
            let (adapters, running) = (&self.adapters, self.running);
            let next = self.queue.pop(now, |t| {
                let ready = match &t.model {
                    Some(m) => adapters.get(m).is_some_and(|s| s.phase == Phase::Ready),
                    None => true,
                };
                ready && (!t.probation || running == 0)
            });
            let Some(request) = next else { return };
            let mut stall = Duration::ZERO;
            if let Some(model) = &request.model {
                *self.in_flight.entry(model.clone()).or_insert(0) += 1;
                let ready = self.adapters.get(model).map_or(request.queued, |s| s.ready);
                stall = ready.since(request.queued);
            }
            self.running += 1;
            self.exclusive = request.probation;
            actions.push(Action::Start(request, stall));
        }
    }

    fn request_loads(&mut self, actions: &mut Vec<Action>) {
        if self.mode != Mode::Full {
            return;
        }
        let under_way =
            |s: &&AdapterState| matches!(s.phase, Phase::Wanted | Phase::Asked | Phase::Loading);
        let mut free = MAX_LOADING.saturating_sub(self.adapters.values().filter(under_way).count());
        let missing: BTreeSet<&ModelRef> = self
            .queue
            .iter()
            .filter_map(|t| t.model.as_ref())
            .filter(|m| !self.adapters.contains_key(*m))
            .collect();
        let mut models: Vec<ModelRef> = missing.into_iter().cloned().collect();
        models.sort_by_key(|m| (Reverse(self.load_weight(m)), self.load_deadline(m)));
        for model in models {
            if free == 0 || self.adapters.contains_key(&model) {
                continue;
            }
            free -= 1;
            self.adapters.insert(model.clone(), AdapterState::wanted());
            actions.push(Action::RequestLoad(model));
        }
    }

    fn waiters(&self, model: &ModelRef) -> impl Iterator<Item = &QueuedRequest> {
        self.queue
            .iter()
            .filter(move |t| t.model.as_ref() == Some(model))
    }

    pub(crate) fn is_waited_for(&self, model: &ModelRef) -> bool {
        self.waiters(model).next().is_some()
    }

    /// Returns the total class weight of the requests that wait for `model`.
    pub fn load_weight(&self, model: &ModelRef) -> u32 {
        self.waiters(model).map(|t| t.class.weight()).sum()
    }

    /// Returns the time after which a load of `model` is too late for all waiting requests; `None` if there are none.
    pub fn load_deadline(&self, model: &ModelRef) -> Option<BootInstant> {
        let last = self.waiters(model).map(|t| t.deadline).max()?;
        let mean_service_ns = (self.mean_service * 1e9) as u64;
        Some(BootInstant(last.0.saturating_sub(mean_service_ns)))
    }

    /// Refuses all requests that wait for `model`, whose load would come too late.
    pub fn load_denied(&mut self, model: &ModelRef) -> Vec<Action> {
        if matches!(self.state(model), Some(s) if matches!(s.phase, Phase::Wanted | Phase::Asked)) {
            self.adapters.remove(model);
        }
        self.cancel_retiring();
        let waiting = self.queue.drain_where(|t| t.model.as_ref() == Some(model));
        let refuse = |t| Action::Refuse(t, Refusal::LoadQueue);
        waiting.into_iter().map(refuse).collect()
    }

    /// Records that a started request ended after `took`; `None` if the upstream refused it.
    pub fn request_finished(&mut self, model: Option<&ModelRef>, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if self.running == 0 {
            self.exclusive = false;
        }
        if let Some(model) = model
            && let Some(count) = self.in_flight.get_mut(model)
        {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(model);
            }
        }
        if let Some(took) = took {
            self.mean_service += SERVICE_TIME_SMOOTHING * (took.as_secs_f64() - self.mean_service);
        }
    }

    /// Removes a queued request whose caller disconnected.
    pub fn cancel(&mut self, id: RequestId, attempt: u32) -> bool {
        !self
            .queue
            .drain_where(|t| t.id == id && t.attempt == attempt)
            .is_empty()
    }

    /// Records that the upstream lacks an adapter that was considered ready.
    pub fn adapter_missing(&mut self, model: &ModelRef) {
        if self
            .adapters
            .get(model)
            .is_some_and(|s| matches!(s.phase, Phase::Ready | Phase::Retiring))
        {
            self.adapters.remove(model);
        }
    }

    /// Replaces the ready adapters by those that the upstream lists, on the first read or after its restart; adapters
    /// with an order under way stay. `settled` tells whether no request of an earlier holder can still run there.
    pub fn sync_adapters(&mut self, models: &[ModelRef], settled: bool) {
        self.adapters
            .retain(|_, s| !matches!(s.phase, Phase::Ready | Phase::Retiring));
        for model in models {
            let state = AdapterState {
                phase: Phase::Ready,
                settled,
                ..AdapterState::wanted()
            };
            self.adapters.entry(model.clone()).or_insert(state);
        }
    }

    /// Returns whether an earlier holder's request may still use some adapter.
    pub fn has_unsettled(&self) -> bool {
        self.adapters.values().any(|s| !s.settled)
    }

    /// Records that no earlier holder's request uses the adapters for which `idle` holds.
    pub fn settle_idle(&mut self, idle: impl Fn(&ModelRef) -> bool) {
        for (model, state) in &mut self.adapters {
            state.settled |= idle(model);
        }
    }

    pub(crate) fn set_phase(&mut self, model: &ModelRef, phase: Phase) {
        if let Some(state) = self.adapters.get_mut(model) {
            state.phase = phase;
        }
    }
}
