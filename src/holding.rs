//! One held upstream: executes the decisions of [`crate::scheduler`].

use crate::{
    authority::{Authority, TakeoverKind},
    catalogue::{Fencing, PoolKind},
    clock::BootInstant,
    holding_monitor::REPORT_INTERVAL,
    ident::{Generation, ModelRef, RequestId, UpstreamId},
    lease::HolderLease,
    metrics,
    permit_service::{Denied, Permit, PermitRequestSource},
    queue::QueuedRequest,
    scheduler::{Action, LoadPlan, LoadPreparation, Mode, Scheduler, UpstreamCapacity},
    settings::EvictionPolicy,
    upstream_client::{OrderResult, UpstreamClient},
    wire::{PermitRequest, Refusal, UpstreamStatus},
};
use log::info;
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::{Notify, oneshot};

/// Delay before an order with an unknown result is retried; longer than the TCP user timeout.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum wait before a load checks again whether a slot can be freed.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Description of an upstream from the VM list and the catalogue.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Name.
    pub id: UpstreamId,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Pool.
    pub pool: Arc<str>,
    /// Engine or plain service.
    pub kind: PoolKind,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Adapter slots and batch size.
    pub size: UpstreamCapacity,
}

/// Whether a queued request may be sent.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// It may be sent now, after waiting this long for a load.
    Start(Duration),
    /// It was not run, after waiting this long for a load.
    Refuse(Refusal, Duration),
}

/// Future of a permit or its denial.
type PermitFuture = Pin<Box<dyn Future<Output = Result<Permit, Denied>> + Send>>;

/// Source of load permits from the current coordinator.
pub type PermitSource = Arc<dyn Fn(PermitRequestSource) -> PermitFuture + Send + Sync>;

/// Services of the dispatcher that a held upstream uses.
#[derive(Clone)]
pub struct Surroundings {
    /// Lease of this process, kept up to date by the renewer.
    pub lease: Arc<Mutex<HolderLease>>,
    /// Source of load permits.
    pub permits: PermitSource,
    /// Notified when the status published to gateways has changed.
    pub changed: Arc<Notify>,
    /// Maximum time that a request may run.
    pub max_timeout: Duration,
}

impl std::fmt::Debug for Surroundings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Surroundings")
            .field("lease", &self.lease)
            .finish_non_exhaustive()
    }
}

/// Key of a queued request: its identifier and attempt.
type QueueKey = (RequestId, u32);

/// Identifier of the engine's process, and its clock when its adapters were read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineState {
    pub(crate) boot: u64,
    pub(crate) clock_ms: u64,
}

/// One held upstream.
#[derive(Debug)]
pub struct Holding {
    /// Description of the upstream.
    pub spec: UpstreamSpec,
    /// Fencing number of this holder.
    pub generation: Generation,
    /// Client of the upstream.
    pub client: UpstreamClient,
    pub(crate) surroundings: Surroundings,
    scheduler: Mutex<Scheduler>,
    authority: Mutex<Authority>,
    pub(crate) engine: Mutex<EngineState>,
    waiters: Mutex<HashMap<QueueKey, oneshot::Sender<Outcome>>>,
    wake: Notify,
}

/// Locks a mutex, ignoring poisoning by a thread that panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Holding {
    /// Creates the state of a newly claimed or resumed upstream; an engine serves nothing before [`Holding::sync_engine`].
    pub fn new(
        spec: UpstreamSpec,
        generation: Generation,
        takeover: TakeoverKind,
        policy: EvictionPolicy,
        stable: BTreeSet<ModelRef>,
        client: UpstreamClient,
        surroundings: Surroundings,
    ) -> Arc<Self> {
        let mut scheduler = Scheduler::new(spec.size, policy);
        scheduler.set_mode(Mode::Lost);
        scheduler.set_stable(stable);
        let authority = Authority::new(spec.fencing, takeover, BootInstant::now());
        Arc::new(Self {
            spec,
            generation,
            client,
            surroundings,
            scheduler: Mutex::new(scheduler),
            authority: Mutex::new(authority),
            engine: Mutex::default(),
            waiters: Mutex::default(),
            wake: Notify::new(),
        })
    }

    /// Locks the scheduling state.
    pub fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        lock(&self.scheduler)
    }

    /// Locks the authority over the upstream.
    pub fn authority(&self) -> MutexGuard<'_, Authority> {
        lock(&self.authority)
    }

    /// Returns the identifier of the engine's process as last read.
    pub fn boot(&self) -> u64 {
        lock(&self.engine).boot
    }

    /// Returns what may be sent to the upstream now.
    pub fn mode(&self) -> Mode {
        if self.spec.kind == PoolKind::Service {
            let lost = self.authority().is_lost();
            return if lost { Mode::Lost } else { Mode::Full };
        }
        if lock(&self.engine).clock_ms == 0 {
            return Mode::Lost;
        }
        let lease = *lock(&self.surroundings.lease);
        self.authority().mode(&lease, BootInstant::now())
    }

    /// Returns whether a request for `model` may be sent now.
    pub fn may_send(&self, model: Option<&ModelRef>) -> bool {
        match (self.mode(), model) {
            (Mode::Full, _) | (Mode::Stable, None) => true,
            (Mode::Stable, Some(m)) => self.scheduler().stable().contains(m),
            (Mode::Lost, _) => false,
        }
    }

    /// Queues a request; the outcome is sent when it may be sent or is refused.
    pub fn submit(self: &Arc<Self>, item: QueuedRequest, limit: u32) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        let key = (item.id, item.attempt);
        lock(&self.waiters).insert(key, sender);
        let admitted = self.scheduler().admit(item, BootInstant::now(), limit);
        if let Err(refusal) = admitted {
            self.resolve(key, Outcome::Refuse(refusal, Duration::ZERO));
        }
        self.schedule();
        receiver
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn withdraw(&self, id: RequestId, attempt: u32) {
        self.scheduler().cancel(id, attempt);
        lock(&self.waiters).remove(&(id, attempt));
    }

    fn resolve(&self, key: QueueKey, outcome: Outcome) -> bool {
        let sender = lock(&self.waiters).remove(&key);
        sender.is_some_and(|s| s.send(outcome).is_ok())
    }

    /// Executes all actions that can be taken now.
    pub fn schedule(self: &Arc<Self>) {
        let mode = self.mode();
        let now = BootInstant::now();
        let actions = {
            let mut scheduler = self.scheduler();
            scheduler.set_mode(mode);
            scheduler.plan(now)
        };
        for action in actions {
            self.execute(action, now);
        }
        self.wake.notify_waiters();
    }

    fn execute(self: &Arc<Self>, action: Action, now: BootInstant) {
        match action {
            Action::Start(item, stall) => {
                let key = (item.id, item.attempt);
                if !self.resolve(key, Outcome::Start(stall)) {
                    self.scheduler().request_finished(item.model.as_ref(), None);
                }
            }
            Action::Refuse(item, refusal) => {
                let waited = now.since(item.queued);
                let ready = item
                    .model
                    .as_ref()
                    .is_none_or(|m| self.scheduler().is_ready(m));
                let stall = if ready { Duration::ZERO } else { waited };
                self.resolve((item.id, item.attempt), Outcome::Refuse(refusal, stall));
            }
            Action::RequestLoad(model) => {
                self.surroundings.changed.notify_waiters();
                tokio::spawn(Arc::clone(self).load(model));
            }
        }
    }

    /// Gets a permit for an adapter, frees a slot and loads it.
    async fn load(self: Arc<Self>, model: ModelRef) {
        loop {
            let preparation = self.scheduler().prepare_load(&model, BootInstant::now());
            match preparation {
                LoadPreparation::RequestPermit => break,
                LoadPreparation::Cancel => return self.surroundings.changed.notify_waiters(),
                LoadPreparation::Wait => self.wait_for_slot().await,
            }
        }
        let (holding, wanted) = (Arc::clone(&self), model.clone());
        let source: PermitRequestSource = Arc::new(move || holding.permit_request(&wanted));
        let permit = match (self.surroundings.permits)(source).await {
            Ok(permit) => permit,
            Err(denied) => return self.deny_load(&model, denied),
        };
        let weight = self.scheduler().load_weight(&model);
        let victim = loop {
            let plan = self.scheduler().begin_load(&model, BootInstant::now());
            match plan {
                LoadPlan::Load(victim) => break victim,
                LoadPlan::Cancel => return self.surroundings.changed.notify_waiters(),
                LoadPlan::Wait => self.wait_for_slot().await,
            }
        };
        info!(
            upstream = &*self.spec.id, model:% = model, weight = weight,
            victim:% = victim.as_ref().map_or_else(String::new, ToString::to_string),
            generation = self.generation;
            "placement: load"
        );
        if let Some(victim) = victim
            && !self.evict(&victim).await
        {
            self.finish_load(&model, false);
            return;
        }
        let ok = self.order_load(&model).await;
        drop(permit);
        self.finish_load(&model, ok);
    }

    async fn wait_for_slot(&self) {
        let changed = self.wake.notified();
        let _elapsed = tokio::time::timeout(SLOT_RETRY_DELAY, changed).await;
    }

    fn permit_request(&self, model: &ModelRef) -> Option<PermitRequest> {
        let scheduler = self.scheduler();
        let until = scheduler.load_deadline(model)?;
        let left = until.since(BootInstant::now());
        Some(PermitRequest {
            model: model.clone(),
            upstream: Arc::clone(&self.spec.id),
            weight: scheduler.load_weight(model),
            left_ms: left.as_millis() as u64,
        })
    }

    /// Refuses all requests that wait for an adapter whose load permit was denied.
    fn deny_load(self: &Arc<Self>, model: &ModelRef, denied: Denied) {
        let retry_ms = denied.retry_ms;
        info!(upstream = &*self.spec.id, model:% = model, retry_ms = retry_ms; "placement: load denied");
        let now = BootInstant::now();
        let actions = self.scheduler().load_denied(model);
        for action in actions {
            self.execute(action, now);
        }
        self.surroundings.changed.notify_waiters();
        self.schedule();
    }

    fn finish_load(self: &Arc<Self>, model: &ModelRef, ok: bool) {
        let now = BootInstant::now();
        let actions = self.scheduler().load_ended(model, ok, now);
        for action in actions {
            self.execute(action, now);
        }
        self.surroundings.changed.notify_waiters();
        self.schedule();
    }

    /// Evicts an adapter, retrying until the eviction is confirmed; returns false if the upstream was lost first.
    async fn evict(self: &Arc<Self>, victim: &ModelRef) -> bool {
        loop {
            if self.mode() != Mode::Full {
                if self.authority().is_lost() {
                    return false;
                }
                tokio::time::sleep(REPORT_INTERVAL).await;
                continue;
            }
            let sent = BootInstant::now();
            let result = self.client.unload(victim, self.generation).await;
            metrics::order("unload", result.as_str());
            match result {
                OrderResult::Done => {
                    self.authority().engine_confirmed(sent);
                    self.scheduler().eviction_ended(victim, true);
                    return true;
                }
                OrderResult::Fenced => {
                    self.mark_lost("the upstream rejected an order as stale");
                    return false;
                }
                OrderResult::Failed | OrderResult::NotSent | OrderResult::Unknown => {
                    tokio::time::sleep(ORDER_RETRY_DELAY).await;
                    if self.is_unloaded(victim).await {
                        self.scheduler().eviction_ended(victim, true);
                        return true;
                    }
                }
            }
        }
    }

    async fn is_unloaded(&self, victim: &ModelRef) -> bool {
        let listed = self.client.models().await;
        listed.is_ok_and(|list| !list.adapters().contains(victim))
    }

    async fn order_load(&self, model: &ModelRef) -> bool {
        if self.mode() != Mode::Full {
            return false;
        }
        let sent = BootInstant::now();
        let result = self.client.load(model, self.generation).await;
        metrics::order("load", result.as_str());
        match result {
            OrderResult::Done => {
                self.authority().engine_confirmed(sent);
                true
            }
            OrderResult::Fenced => {
                self.mark_lost("the upstream rejected an order as stale");
                false
            }
            OrderResult::Failed | OrderResult::NotSent => false,
            OrderResult::Unknown => {
                tokio::time::sleep(ORDER_RETRY_DELAY).await;
                let listed = self.client.models().await;
                listed.is_ok_and(|list| list.adapters().contains(model))
            }
        }
    }

    /// Notes that a started request has ended at the upstream.
    pub fn request_finished(self: &Arc<Self>, model: Option<&ModelRef>, elapsed: Option<Duration>) {
        self.scheduler().request_finished(model, elapsed);
        self.schedule();
    }

    /// Notes that the upstream does not have the adapter.
    pub fn adapter_missing(&self, model: &ModelRef) {
        self.scheduler().adapter_missing(model);
        self.surroundings.changed.notify_waiters();
    }

    /// Returns the status published to gateways.
    pub fn status(&self) -> UpstreamStatus {
        let mode = self.mode();
        let scheduler = self.scheduler();
        UpstreamStatus {
            id: Arc::clone(&self.spec.id),
            pool: Arc::clone(&self.spec.pool),
            data_centre: Arc::clone(&self.spec.data_centre),
            generation: self.generation,
            accepting: mode != Mode::Lost && !scheduler.is_leaving(),
            loads: mode == Mode::Full,
            running: scheduler.running() as u32,
            waiting: scheduler.waiting() as u32,
            batch: self.spec.size.batch as u32,
            residents: scheduler.residents(),
        }
    }
}
