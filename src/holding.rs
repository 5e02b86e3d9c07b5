//! One held upstream: carries out what [`crate::scheduler`] decides.

use crate::{
    authority::{Authority, TakeoverKind},
    catalogue::{Fencing, PoolKind},
    clock::BootInstant,
    ident::{Generation, ModelRef, RequestId, UpstreamId},
    lease::{HolderLease, RENEW_INTERVAL},
    metrics,
    permit_service::{Denied, Permit, WishSource},
    queue::QueuedRequest,
    scheduler::{Action, LoadPlan, LoadPreparation, Mode, Scheduler, UpstreamCapacity},
    settings::EvictionPolicy,
    upstream_client::{InFlightReport, OrderResult, UpstreamClient},
    wire::{PermitRequest, Refusal, UpstreamStatus},
};
use log::{info, warn};
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::{Notify, oneshot};

/// Wait before an order without a clear answer is given again; longer than the TCP user timeout.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Wait before a granted load looks again for a slot to free.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between reads of the load report.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// What is known of an upstream before it is met.
#[derive(Clone, Debug)]
pub struct Spec {
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
    /// Slots and batch.
    pub size: UpstreamCapacity,
}

/// Whether a queued request goes ahead.
#[derive(Clone, Copy, Debug)]
pub enum Turn {
    /// It may be sent now, after waiting this long for a load.
    Start(Duration),
    /// It was not run, after waiting this long for a load.
    Refuse(Refusal, Duration),
}

/// A permit, or why there is none.
type Permission = Pin<Box<dyn Future<Output = Result<Permit, Denied>> + Send>>;

/// Gets permits from whoever coordinates loads at present.
pub type PermitSource = Arc<dyn Fn(WishSource) -> Permission + Send + Sync>;

/// Outside parts that a held upstream works with.
#[derive(Clone)]
pub struct Surroundings {
    /// Lease of this process, as the renewer keeps it.
    pub lease: Arc<Mutex<HolderLease>>,
    /// Where load permits come from.
    pub permits: PermitSource,
    /// Told when the status that gateways see has changed.
    pub changed: Arc<Notify>,
    /// Longest time that a request may run.
    pub max_timeout: Duration,
}

impl std::fmt::Debug for Surroundings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Surroundings")
            .field("lease", &self.lease)
            .finish_non_exhaustive()
    }
}

/// Key of a queued request: its identifier and try.
type TicketKey = (RequestId, u32);

/// Start of the engine's process, and its clock when its adapters were read.
#[derive(Clone, Copy, Debug, Default)]
struct Adoption {
    boot: u64,
    engine_ms: u64,
}

/// One held upstream.
#[derive(Debug)]
pub struct Holding {
    /// What is known of the upstream.
    pub spec: Spec,
    /// Fencing number of this holder.
    pub generation: Generation,
    /// Client of the upstream.
    pub client: UpstreamClient,
    around: Surroundings,
    core: Mutex<Scheduler>,
    authority: Mutex<Authority>,
    adoption: Mutex<Adoption>,
    turns: Mutex<HashMap<TicketKey, oneshot::Sender<Turn>>>,
    wake: Notify,
}

/// Locks a mutex, also after another thread panicked while it held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Holding {
    /// An upstream taken just now; it serves nothing before [`Holding::adopt`].
    pub fn new(
        spec: Spec,
        generation: Generation,
        origin: TakeoverKind,
        rule: EvictionPolicy,
        stable: BTreeSet<ModelRef>,
        client: UpstreamClient,
        around: Surroundings,
    ) -> Arc<Self> {
        let mut core = Scheduler::new(spec.size, rule);
        core.set_mode(Mode::Lost);
        core.set_stable(stable);
        let authority = Authority::new(spec.fencing, origin, BootInstant::now());
        Arc::new(Self {
            spec,
            generation,
            client,
            around,
            core: Mutex::new(core),
            authority: Mutex::new(authority),
            adoption: Mutex::default(),
            turns: Mutex::default(),
            wake: Notify::new(),
        })
    }

    /// The decision state.
    pub fn core(&self) -> MutexGuard<'_, Scheduler> {
        lock(&self.core)
    }

    /// The authority over the upstream.
    pub fn authority(&self) -> MutexGuard<'_, Authority> {
        lock(&self.authority)
    }

    /// Start of the engine's process that is known.
    pub fn boot(&self) -> u64 {
        lock(&self.adoption).boot
    }

    /// What may be done at this moment.
    pub fn mode(&self) -> Mode {
        if self.spec.kind == PoolKind::Service {
            let lost = self.authority().is_lost();
            return if lost { Mode::Lost } else { Mode::Full };
        }
        if lock(&self.adoption).engine_ms == 0 {
            return Mode::Lost;
        }
        let lease = *lock(&self.around.lease);
        self.authority().mode(&lease, BootInstant::now())
    }

    /// Whether a request for `model` may be sent at this moment.
    pub fn may_send(&self, model: Option<&ModelRef>) -> bool {
        match (self.mode(), model) {
            (Mode::Full, _) | (Mode::Stable, None) => true,
            (Mode::Stable, Some(m)) => self.core().stable().contains(m),
            (Mode::Lost, _) => false,
        }
    }

    /// Queues a request; the answer comes when it may be sent or is refused.
    pub fn submit(self: &Arc<Self>, ticket: QueuedRequest, limit: u32) -> oneshot::Receiver<Turn> {
        let (sender, receiver) = oneshot::channel();
        let key = (ticket.id, ticket.attempt);
        lock(&self.turns).insert(key, sender);
        let admitted = self.core().admit(ticket, BootInstant::now(), limit);
        if let Err(refusal) = admitted {
            self.answer(key, Turn::Refuse(refusal, Duration::ZERO));
        }
        self.pump();
        receiver
    }

    /// Forgets a request whose caller went away while it waited.
    pub fn withdraw(&self, id: RequestId, attempt: u32) {
        self.core().cancel(id, attempt);
        lock(&self.turns).remove(&(id, attempt));
    }

    fn answer(&self, key: TicketKey, turn: Turn) -> bool {
        let sender = lock(&self.turns).remove(&key);
        sender.is_some_and(|s| s.send(turn).is_ok())
    }

    /// Carries out everything that can be decided now.
    pub fn pump(self: &Arc<Self>) {
        let mode = self.mode();
        let now = BootInstant::now();
        let steps = {
            let mut core = self.core();
            core.set_mode(mode);
            core.plan(now)
        };
        for step in steps {
            self.carry_out(step, now);
        }
        self.wake.notify_waiters();
    }

    fn carry_out(self: &Arc<Self>, step: Action, now: BootInstant) {
        match step {
            Action::Start(ticket, stall) => {
                let key = (ticket.id, ticket.attempt);
                if !self.answer(key, Turn::Start(stall)) {
                    self.core().request_finished(ticket.model.as_ref(), None);
                }
            }
            Action::Refuse(ticket, refusal) => {
                let waited = now.since(ticket.queued);
                let ready = ticket
                    .model
                    .as_ref()
                    .is_none_or(|m| self.core().is_ready(m));
                let stall = if ready { Duration::ZERO } else { waited };
                self.answer((ticket.id, ticket.attempt), Turn::Refuse(refusal, stall));
            }
            Action::RequestLoad(model) => {
                self.around.changed.notify_waiters();
                tokio::spawn(Arc::clone(self).load(model));
            }
        }
    }

    /// Gets a permit for an adapter, makes room and loads it.
    async fn load(self: Arc<Self>, model: ModelRef) {
        loop {
            let preparation = self.core().prepare_load(&model, BootInstant::now());
            match preparation {
                LoadPreparation::RequestPermit => break,
                LoadPreparation::Cancel => return self.around.changed.notify_waiters(),
                LoadPreparation::Wait => self.wait_for_room().await,
            }
        }
        let (holding, wished) = (Arc::clone(&self), model.clone());
        let source: WishSource = Arc::new(move || holding.permit_ask(&wished));
        let permit = match (self.around.permits)(source).await {
            Ok(permit) => permit,
            Err(denied) => return self.give_up_load(&model, denied),
        };
        let weight = self.core().load_weight(&model);
        let victim = loop {
            let plan = self.core().begin_load(&model, BootInstant::now());
            match plan {
                LoadPlan::Load(victim) => break victim,
                LoadPlan::Cancel => return self.around.changed.notify_waiters(),
                LoadPlan::Wait => self.wait_for_room().await,
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
            self.end_load(&model, false);
            return;
        }
        let ok = self.order_load(&model).await;
        drop(permit);
        self.end_load(&model, ok);
    }

    async fn wait_for_room(&self) {
        let changed = self.wake.notified();
        let _elapsed = tokio::time::timeout(SLOT_RETRY_DELAY, changed).await;
    }

    fn permit_ask(&self, model: &ModelRef) -> Option<PermitRequest> {
        let core = self.core();
        let until = core.load_until(model)?;
        let left = until.since(BootInstant::now());
        Some(PermitRequest {
            model: model.clone(),
            upstream: Arc::clone(&self.spec.id),
            weight: core.load_weight(model),
            left_ms: left.as_millis() as u64,
        })
    }

    /// Refuses everyone who waits for an adapter whose load would come too late.
    fn give_up_load(self: &Arc<Self>, model: &ModelRef, denied: Denied) {
        let retry_ms = denied.retry_ms;
        info!(upstream = &*self.spec.id, model:% = model, retry_ms = retry_ms; "placement: load denied");
        let now = BootInstant::now();
        let steps = self.core().load_denied(model);
        for step in steps {
            self.carry_out(step, now);
        }
        self.around.changed.notify_waiters();
        self.pump();
    }

    fn end_load(self: &Arc<Self>, model: &ModelRef, ok: bool) {
        let now = BootInstant::now();
        let steps = self.core().load_ended(model, ok, now);
        for step in steps {
            self.carry_out(step, now);
        }
        self.around.changed.notify_waiters();
        self.pump();
    }

    /// Orders an eviction until it is certain that it was carried out; false if it was given up unsent.
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
                    self.core().eviction_ended(victim, true);
                    return true;
                }
                OrderResult::Fenced => {
                    self.mark_lost("an order was fenced off");
                    return false;
                }
                OrderResult::Failed | OrderResult::NotSent | OrderResult::Unknown => {
                    tokio::time::sleep(ORDER_RETRY_DELAY).await;
                    if self.has_gone(victim).await {
                        self.core().eviction_ended(victim, true);
                        return true;
                    }
                }
            }
        }
    }

    async fn has_gone(&self, victim: &ModelRef) -> bool {
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
                self.mark_lost("an order was fenced off");
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

    /// Stops using the upstream because somebody else holds it.
    pub fn mark_lost(&self, why: &str) {
        let mut authority = self.authority();
        if !authority.is_lost() {
            warn!(upstream = &*self.spec.id, generation = self.generation; "holding lost: {why}");
            authority.lose();
        }
    }

    /// Raises the fencing number where it is checked, and reads what is loaded.
    ///
    /// Returns whether the upstream can be used now.
    pub async fn adopt(self: &Arc<Self>) -> bool {
        if self.spec.kind == PoolKind::Service {
            self.pump();
            return true;
        }
        if self.spec.fencing == Fencing::Checked && !self.heartbeat().await {
            return false;
        }
        let Ok(list) = self.client.models().await else {
            return false;
        };
        let settled = self.authority().may_trust_report(Duration::ZERO) && list.boot == self.boot();
        self.core().sync_adapters(&list.adapters(), settled);
        *lock(&self.adoption) = Adoption {
            boot: list.boot,
            engine_ms: list.now_ms,
        };
        self.around.changed.notify_waiters();
        self.pump();
        true
    }

    /// Repeats a harmless order, by which the upstream confirms this holder.
    pub async fn heartbeat(&self) -> bool {
        let sent = BootInstant::now();
        match self.client.fence(self.generation).await {
            OrderResult::Done => {
                self.authority().engine_confirmed(sent);
                true
            }
            OrderResult::Fenced => {
                self.mark_lost("the upstream knows a higher fencing number");
                false
            }
            OrderResult::Failed | OrderResult::NotSent | OrderResult::Unknown => false,
        }
    }

    /// Keeps the upstream's state current until it is lost or the future is dropped.
    pub async fn tend(self: &Arc<Self>) {
        let mut beat = BootInstant::now();
        while !self.authority().is_lost() {
            tokio::time::sleep(REPORT_INTERVAL).await;
            if self.spec.kind == PoolKind::Service {
                self.pump();
                continue;
            }
            let now = BootInstant::now();
            if self.spec.fencing == Fencing::Checked && now.since(beat) >= RENEW_INTERVAL {
                beat = now;
                self.heartbeat().await;
            }
            if lock(&self.adoption).engine_ms == 0 {
                self.adopt().await;
            } else if let Ok(report) = self.client.report().await {
                self.take_report(&report).await;
            }
            self.pump();
        }
        self.pump();
        self.around.changed.notify_waiters();
    }

    async fn take_report(self: &Arc<Self>, report: &InFlightReport) {
        if report.boot != self.boot() {
            self.check_restart().await;
            return;
        }
        let adopted = lock(&self.adoption).engine_ms;
        let mut core = self.core();
        if !core.has_unsettled() {
            return;
        }
        let authority = self.authority();
        if authority.earlier_requests_expired(BootInstant::now(), self.around.max_timeout) {
            core.settle_idle(|_| true);
        } else if report.made_ms > adopted
            && authority.may_trust_report(Duration::from_millis(report.made_ms - adopted))
        {
            core.settle_idle(|m| report.in_flight.get(&m.to_string()).is_none_or(|n| *n == 0));
        }
    }

    /// Reads the model list, and starts afresh if the engine's process has changed.
    pub async fn check_restart(self: &Arc<Self>) -> bool {
        if self.spec.kind == PoolKind::Service {
            return false;
        }
        let Ok(list) = self.client.models().await else {
            return false;
        };
        if list.boot == self.boot() {
            return false;
        }
        info!(upstream = &*self.spec.id, boot = list.boot; "the engine restarted");
        // A new process runs no request of an earlier holder that it did not get since.
        let settled = !self.authority().awaits_earlier_holder();
        self.core().sync_adapters(&list.adapters(), settled);
        *lock(&self.adoption) = Adoption {
            boot: list.boot,
            engine_ms: list.now_ms,
        };
        self.around.changed.notify_waiters();
        self.pump();
        true
    }

    /// A request that was started has ended at the upstream.
    pub fn finished(self: &Arc<Self>, model: Option<&ModelRef>, took: Option<Duration>) {
        self.core().request_finished(model, took);
        self.pump();
    }

    /// The upstream said that it doesn't have the adapter.
    pub fn missing(&self, model: &ModelRef) {
        self.core().adapter_missing(model);
        self.around.changed.notify_waiters();
    }

    /// What gateways are told.
    pub fn status(&self) -> UpstreamStatus {
        let mode = self.mode();
        let core = self.core();
        UpstreamStatus {
            id: Arc::clone(&self.spec.id),
            pool: Arc::clone(&self.spec.pool),
            data_centre: Arc::clone(&self.spec.data_centre),
            generation: self.generation,
            accepting: mode != Mode::Lost && !core.is_leaving(),
            loads: mode == Mode::Full,
            running: core.running() as u32,
            waiting: core.waiting() as u32,
            batch: self.spec.size.batch as u32,
            residents: core.residents(),
        }
    }
}
