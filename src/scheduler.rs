//! Decisions of the holder of one upstream: what to start, load, evict and refuse.
//!
//! The state is plain and has no I/O; [`crate::holding`] carries the decisions out.

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

/// Loads under way on one upstream at once, permits waited for included.
const MAX_LOADING: usize = 4;

/// Wait before an adapter whose load failed is tried again on this upstream.
const LOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Requests queued for each place in the batch before more are refused.
const QUEUE_FACTOR: usize = 8;

/// Weight of a new sample in the mean service time.
const SERVICE_GAIN: f64 = 0.1;

/// What the holder may do with the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Everything.
    Full,
    /// Only requests for adapters of the stable set, and no orders.
    Stable,
    /// Nothing.
    Lost,
}

/// State of an adapter on the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waits until room can be made for it; takes no slot yet.
    Wanted,
    /// Waits for a load permit; takes no slot yet.
    Asked,
    /// Being loaded; takes a slot.
    Loading,
    /// Serves requests.
    Ready,
    /// Takes no new requests and is evicted when idle.
    Retiring,
    /// Being unloaded.
    Evicting,
}

/// One adapter on the upstream.
#[derive(Clone, Copy, Debug)]
pub struct AdapterStatus {
    /// State.
    pub phase: Phase,
    /// Whether no request of an earlier holder can still run on it.
    pub settled: bool,
    /// When the adapter became ready.
    pub ready: BootInstant,
}

impl AdapterStatus {
    fn wanted() -> Self {
        Self {
            phase: Phase::Wanted,
            settled: true,
            ready: BootInstant(0),
        }
    }
}

/// Something for the driver to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the upstream, after it waited this long for a load.
    Start(QueuedRequest, Duration),
    /// Call [`Scheduler::prepare_load`], get a permit, then call [`Scheduler::begin_load`].
    RequestLoad(ModelRef),
    /// Answer that the request was not run.
    Refuse(QueuedRequest, Refusal),
}

/// Whether a load may ask for its permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadPreparation {
    /// Ask now.
    RequestPermit,
    /// No room can be made yet.
    Wait,
    /// Nobody waits for the adapter any more.
    Cancel,
}

/// What to do with a granted load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadPlan {
    /// Load now, after evicting the named adapter if there is one.
    Load(Option<ModelRef>),
    /// No slot can be freed yet.
    Wait,
    /// Nobody waits for the adapter any more.
    Cancel,
}

/// Sizes of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCapacity {
    /// Adapter slots; 0 for a plain service.
    pub slots: usize,
    /// Requests that run at once.
    pub batch: usize,
}

/// State of one held upstream.
#[derive(Debug)]
pub struct Scheduler {
    size: UpstreamCapacity,
    rule: EvictionPolicy,
    slots: BTreeMap<ModelRef, AdapterStatus>,
    /// Started requests by adapter, kept apart from the slots so that no change of a slot forgets one.
    in_flight: BTreeMap<ModelRef, u32>,
    stable: BTreeSet<ModelRef>,
    failed: BTreeMap<ModelRef, BootInstant>,
    queue: RequestQueue,
    running: usize,
    alone: bool,
    popularity: Popularity,
    service: f64,
    mode: Mode,
    leaving: bool,
}

impl Scheduler {
    /// An upstream about which nothing is known yet.
    pub fn new(size: UpstreamCapacity, rule: EvictionPolicy) -> Self {
        Self {
            size,
            rule,
            slots: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            stable: BTreeSet::new(),
            failed: BTreeMap::new(),
            queue: RequestQueue::default(),
            running: 0,
            alone: false,
            popularity: Popularity::default(),
            service: 0.5,
            mode: Mode::Full,
            leaving: false,
        }
    }

    /// What the holder may do at present.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Changes what the holder may do.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
    }

    /// Stops taking new requests.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes requests again.
    pub fn cancel_leaving(&mut self) {
        self.leaving = false;
    }

    /// Whether new requests are refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Adapters that are not evicted without being taken out first.
    pub fn stable(&self) -> &BTreeSet<ModelRef> {
        &self.stable
    }

    /// Replaces the stable set, after it was written to the object API.
    pub fn set_stable(&mut self, stable: BTreeSet<ModelRef>) {
        self.stable = stable;
    }

    /// Whether a request for `model` queued now would wait for a load.
    pub fn is_ready(&self, model: &ModelRef) -> bool {
        self.slots
            .get(model)
            .is_some_and(|s| s.phase == Phase::Ready)
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing runs or waits and no order is under way.
    pub fn is_idle(&self) -> bool {
        let busy = |s: &AdapterStatus| matches!(s.phase, Phase::Loading | Phase::Evicting);
        self.running == 0 && self.queue.is_empty() && !self.slots.values().any(busy)
    }

    /// State of an adapter.
    pub fn adapter(&self, model: &ModelRef) -> Option<AdapterStatus> {
        self.slots.get(model).copied()
    }

    /// Requests of this holder that were started for an adapter and have not ended.
    pub fn in_flight(&self, model: &ModelRef) -> u32 {
        self.in_flight.get(model).copied().unwrap_or(0)
    }

    /// Adapters that serve or soon will, as gateways are told.
    pub fn residents(&self) -> Vec<Resident> {
        let visible = |(model, slot): (&ModelRef, &AdapterStatus)| {
            let state = match slot.phase {
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
        self.slots.iter().filter_map(visible).collect()
    }

    /// Queues a request, or says why it is not taken.
    ///
    /// # Errors
    /// The refusal; the request was not queued.
    pub fn admit(
        &mut self,
        ticket: QueuedRequest,
        now: BootInstant,
        limit: u32,
    ) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.mode == Mode::Lost {
            return Err(Refusal::NotHolder);
        }
        if ticket.deadline <= now {
            return Err(Refusal::Deadline);
        }
        if self.queue.len() >= self.size.batch * QUEUE_FACTOR {
            return Err(Refusal::Overload);
        }
        if ticket.deadline.since(now) < self.expected_wait() {
            return Err(Refusal::Overload);
        }
        if let Some(model) = &ticket.model {
            self.check_model(model, now, limit)?;
            self.popularity.record(model, now);
        }
        self.queue.push(ticket);
        Ok(())
    }

    fn check_model(&self, model: &ModelRef, now: BootInstant, limit: u32) -> Result<(), Refusal> {
        let usable = match self.mode {
            Mode::Full => true,
            Mode::Stable => self.stable.contains(model) && self.slots.contains_key(model),
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

    /// Time a request queued now is expected to wait for a place in the batch.
    pub fn expected_wait(&self) -> Duration {
        let ahead = (self.queue.len() + self.running + 1).saturating_sub(self.size.batch);
        Duration::from_secs_f64(self.service * ahead as f64 / self.size.batch as f64)
    }

    /// Decides everything that can be decided at `now`.
    pub fn plan(&mut self, now: BootInstant) -> Vec<Action> {
        let mut steps = Vec::new();
        self.refuse_expired(now, &mut steps);
        self.start_ready(now, &mut steps);
        self.want_loads(&mut steps);
        steps
    }

    fn refuse_expired(&mut self, now: BootInstant, steps: &mut Vec<Action>) {
        if self.leaving || self.mode == Mode::Lost {
            let why = if self.leaving {
                Refusal::Leaving
            } else {
                Refusal::NotHolder
            };
            let all = self.queue.drain_where(|_| true);
            steps.extend(all.into_iter().map(|t| Action::Refuse(t, why)));
            return;
        }
        let late = self.queue.drain_where(|t| t.deadline <= now);
        steps.extend(
            late.into_iter()
                .map(|t| Action::Refuse(t, Refusal::Deadline)),
        );
        if self.mode == Mode::Stable {
            let (slots, stable) = (&self.slots, &self.stable);
            let stuck = self.queue.drain_where(|t| match &t.model {
                Some(m) => !stable.contains(m) || !slots.contains_key(m),
                None => false,
            });
            steps.extend(
                stuck
                    .into_iter()
                    .map(|t| Action::Refuse(t, Refusal::Restricted)),
            );
        }
    }

    fn start_ready(&mut self, now: BootInstant, steps: &mut Vec<Action>) {
        while self.running < self.size.batch && !self.alone {
            let (slots, running) = (&self.slots, self.running);
            let next = self.queue.pop(now, |t| {
                let ready = match &t.model {
                    Some(m) => slots.get(m).is_some_and(|s| s.phase == Phase::Ready),
                    None => true,
                };
                ready && (!t.probation || running == 0)
            });
            let Some(ticket) = next else { return };
            let mut stall = Duration::ZERO;
            if let Some(model) = &ticket.model {
                *self.in_flight.entry(model.clone()).or_insert(0) += 1;
                let ready = self.slots.get(model).map_or(ticket.queued, |s| s.ready);
                stall = ready.since(ticket.queued);
            }
            self.running += 1;
            self.alone = ticket.probation;
            steps.push(Action::Start(ticket, stall));
        }
    }

    fn want_loads(&mut self, steps: &mut Vec<Action>) {
        if self.mode != Mode::Full {
            return;
        }
        let under_way =
            |s: &&AdapterStatus| matches!(s.phase, Phase::Wanted | Phase::Asked | Phase::Loading);
        let mut room = MAX_LOADING.saturating_sub(self.slots.values().filter(under_way).count());
        let missing: BTreeSet<&ModelRef> = self
            .queue
            .iter()
            .filter_map(|t| t.model.as_ref())
            .filter(|m| !self.slots.contains_key(*m))
            .collect();
        let mut models: Vec<ModelRef> = missing.into_iter().cloned().collect();
        models.sort_by_key(|m| (Reverse(self.load_weight(m)), self.load_until(m)));
        for model in models {
            if room == 0 || self.slots.contains_key(&model) {
                continue;
            }
            room -= 1;
            self.slots.insert(model.clone(), AdapterStatus::wanted());
            steps.push(Action::RequestLoad(model));
        }
    }

    fn waiters(&self, model: &ModelRef) -> impl Iterator<Item = &QueuedRequest> {
        self.queue
            .iter()
            .filter(move |t| t.model.as_ref() == Some(model))
    }

    fn is_waited_for(&self, model: &ModelRef) -> bool {
        self.waiters(model).next().is_some()
    }

    /// Requests that wait for `model`, each counted by the weight of its class.
    pub fn load_weight(&self, model: &ModelRef) -> u32 {
        self.waiters(model).map(|t| t.class.weight()).sum()
    }

    /// When a load of `model` would come too late for the last of those who wait; `None` if nobody does.
    pub fn load_until(&self, model: &ModelRef) -> Option<BootInstant> {
        let last = self.waiters(model).map(|t| t.deadline).max()?;
        let service = (self.service * 1e9) as u64;
        Some(BootInstant(last.0.saturating_sub(service)))
    }

    /// A load will not come in time: refuses everyone who waits for it.
    pub fn load_denied(&mut self, model: &ModelRef) -> Vec<Action> {
        if matches!(self.adapter(model), Some(s) if matches!(s.phase, Phase::Wanted | Phase::Asked))
        {
            self.slots.remove(model);
        }
        self.revive();
        let waiting = self.queue.drain_where(|t| t.model.as_ref() == Some(model));
        let refuse = |t| Action::Refuse(t, Refusal::LoadQueue);
        waiting.into_iter().map(refuse).collect()
    }

    /// Decides whether a permit may be asked for, so that none is held while nothing can be evicted.
    pub fn prepare_load(&mut self, model: &ModelRef, now: BootInstant) -> LoadPreparation {
        if self.mode != Mode::Full || !self.is_waited_for(model) {
            self.slots.remove(model);
            self.revive();
            return LoadPreparation::Cancel;
        }
        let asked = |s: &&AdapterStatus| s.phase == Phase::Asked;
        let asked = self.slots.values().filter(asked).count();
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
        let takes = |s: &&AdapterStatus| !matches!(s.phase, Phase::Wanted | Phase::Asked);
        self.size
            .slots
            .saturating_sub(self.slots.values().filter(takes).count())
    }

    fn idle_victims(&self) -> usize {
        let idle = |(model, slot): &(&ModelRef, &AdapterStatus)| {
            matches!(slot.phase, Phase::Ready | Phase::Retiring)
                && slot.settled
                && self.in_flight(model) == 0
                && !self.stable.contains(*model)
        };
        self.slots.iter().filter(idle).count()
    }

    /// Decides on a load whose permit was granted.
    pub fn begin_load(&mut self, model: &ModelRef, now: BootInstant) -> LoadPlan {
        if self.mode != Mode::Full || !self.is_waited_for(model) {
            self.slots.remove(model);
            self.revive();
            return LoadPlan::Cancel;
        }
        if self.free_slots() > 0 {
            self.set_phase(model, Phase::Loading);
            self.revive();
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
        self.revive();
        LoadPlan::Load(Some(victim))
    }

    /// Lets adapters serve again that were to make room for a load which has found its room.
    fn revive(&mut self) {
        for slot in self.slots.values_mut() {
            if slot.phase == Phase::Retiring {
                slot.phase = Phase::Ready;
            }
        }
    }

    /// The adapter to evict: an idle one before a busy one, then the one of least value.
    fn victim(&self, now: BootInstant) -> Option<ModelRef> {
        let retiring = self
            .slots
            .iter()
            .any(|(m, s)| s.phase == Phase::Retiring && self.in_flight(m) > 0);
        let candidates = self.slots.iter().filter(|(model, slot)| {
            let evictable = match slot.phase {
                Phase::Retiring => self.in_flight(model) == 0,
                Phase::Ready => self.in_flight(model) == 0 || !retiring,
                Phase::Wanted | Phase::Asked | Phase::Loading | Phase::Evicting => false,
            };
            evictable && slot.settled && !self.stable.contains(*model)
        });
        candidates
            .map(|(model, slot)| {
                let waited_for = self.is_waited_for(model);
                let rank = (
                    waited_for,
                    self.in_flight(model) > 0,
                    slot.phase != Phase::Retiring,
                );
                (rank, self.value(model, now), model)
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, model)| model.clone())
    }

    fn value(&self, model: &ModelRef, now: BootInstant) -> f64 {
        match self.rule {
            EvictionPolicy::Lru => self.popularity.last_used(model).0 as f64,
            EvictionPolicy::Value => self.popularity.rate(model, now),
        }
    }

    /// The adapters worth keeping out of evictions, at most `count`.
    pub fn select_stable(&self, count: usize, now: BootInstant) -> BTreeSet<ModelRef> {
        let mut ready: Vec<(&ModelRef, f64)> = self
            .slots
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

    /// An eviction was carried out, or was never sent.
    pub fn eviction_ended(&mut self, model: &ModelRef, done: bool) {
        if done {
            self.slots.remove(model);
        } else {
            self.set_phase(model, Phase::Ready);
        }
    }

    /// A load ended; on a failure everyone who waits for the adapter is refused.
    pub fn load_ended(&mut self, model: &ModelRef, ok: bool, now: BootInstant) -> Vec<Action> {
        if ok {
            self.failed.remove(model);
            self.set_phase(model, Phase::Ready);
            if let Some(slot) = self.slots.get_mut(model) {
                slot.ready = now;
            }
            return Vec::new();
        }
        self.slots.remove(model);
        self.failed.retain(|_, until| now < *until);
        self.failed.insert(model.clone(), now + LOAD_RETRY_DELAY);
        let waiting = self.queue.drain_where(|t| t.model.as_ref() == Some(model));
        waiting
            .into_iter()
            .map(|t| Action::Refuse(t, Refusal::LoadFailed))
            .collect()
    }

    /// A started request ended after `took`; `None` if the upstream refused it.
    pub fn request_finished(&mut self, model: Option<&ModelRef>, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if self.running == 0 {
            self.alone = false;
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
            self.service += SERVICE_GAIN * (took.as_secs_f64() - self.service);
        }
    }

    /// Forgets a waiting request whose caller went away.
    pub fn cancel(&mut self, id: RequestId, attempt: u32) -> bool {
        !self
            .queue
            .drain_where(|t| t.id == id && t.attempt == attempt)
            .is_empty()
    }

    /// The upstream said that it doesn't have an adapter that was thought ready.
    pub fn adapter_missing(&mut self, model: &ModelRef) {
        if self
            .slots
            .get(model)
            .is_some_and(|s| matches!(s.phase, Phase::Ready | Phase::Retiring))
        {
            self.slots.remove(model);
        }
    }

    /// Takes in what the upstream has, when nothing was known before or it restarted.
    ///
    /// `settled` tells whether no request of an earlier holder can still run there.
    pub fn sync_adapters(&mut self, models: &[ModelRef], settled: bool) {
        // Orders under way end by themselves.
        self.slots
            .retain(|_, s| !matches!(s.phase, Phase::Ready | Phase::Retiring));
        for model in models {
            let slot = AdapterStatus {
                phase: Phase::Ready,
                settled,
                ..AdapterStatus::wanted()
            };
            self.slots.entry(model.clone()).or_insert(slot);
        }
    }

    /// Whether some adapter may still serve an earlier holder's request.
    pub fn has_unsettled(&self) -> bool {
        self.slots.values().any(|s| !s.settled)
    }

    /// Notes that no earlier holder's request runs on the adapters for which `idle` holds.
    pub fn settle_idle(&mut self, idle: impl Fn(&ModelRef) -> bool) {
        for (model, slot) in &mut self.slots {
            slot.settled |= idle(model);
        }
    }

    fn set_phase(&mut self, model: &ModelRef, phase: Phase) {
        if let Some(slot) = self.slots.get_mut(model) {
            slot.phase = phase;
        }
    }
}
