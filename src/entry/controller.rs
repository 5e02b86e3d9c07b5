//! Sends orders to one engine from a single task that owns the known state of the engine's adapters.

use crate::{
    clock::BootInstant,
    decide::{
        load_limit::{LoadCounts, StartedLoad},
        order_sequence::OrderSequence,
        reservations::{CopyVersion, LateExecution},
        residency::{self, Plan, Residency},
    },
    edge::{
        deployment::EngineSpec,
        orders::{EngineReport, Order, OrderClient},
        registration::{AdapterKey, Registration},
    },
    entry::{
        context::Entry,
        controller_handle::{COMMAND_QUEUE, Command, ControllerHandle},
        hold_offs,
        messages::{EnsureRequest, EnsureResult},
        order_run::{EndedOrder, OrderOutcome, OrderRun, Presence},
        peers::HeldEngine,
    },
    holding::lock,
    ident::Generation,
};
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use log::{info, warn};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::{mpsc, oneshot};

/// Interval at which a controller checks for due evictions and for waiters past their limit.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time beyond what a request accepts for which it still waits for a load that has not begun, as forecasts are rough.
const WAIT_SLACK: Duration = Duration::from_millis(200);

/// Longest wait for a load that is under way: another engine would have to begin it anew.
const LOAD_WAIT_LIMIT: Duration = Duration::from_millis(1_800);

/// Interval between attempts to read the engine's first report.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Request that waits for an adapter.
#[derive(Debug)]
struct Waiter {
    version: u32,
    since: BootInstant,
    max_wait: Duration,
    is_urgent: bool,
    reply: oneshot::Sender<EnsureResult>,
}

/// State of one engine and the work pending for it.
struct Controller<O> {
    entry: Arc<Entry>,
    orders: O,
    upstream: Arc<Registration>,
    spec: EngineSpec,
    generation: Generation,
    /// Earliest time of the first order.
    first_order_at: BootInstant,
    residency: Residency,
    waiting: HashMap<AdapterKey, Vec<Waiter>>,
    /// Loads under way.
    loads: HashMap<AdapterKey, StartedLoad>,
    engine: Arc<Mutex<Arc<HeldEngine>>>,
    load_counts: Arc<Mutex<LoadCounts>>,
    late_copies: Arc<Mutex<Vec<(AdapterKey, CopyVersion)>>>,
    sequence: Arc<tokio::sync::Mutex<OrderSequence>>,
    /// Orders that show what became of loads under way and of missing adapters.
    due: Vec<(Order, Presence)>,
}

/// Starts the controller of an engine; it ends when its handle is dropped.
pub fn start<O: OrderClient>(
    entry: &Arc<Entry>,
    orders: &O,
    upstream: &Arc<Registration>,
    spec: &EngineSpec,
    generation: Generation,
    first_order_at: BootInstant,
) -> ControllerHandle {
    let engines = lock(&entry.registry).serving(&upstream.service).count();
    lock(&entry.load_limit).expect_engines(engines);
    let (commands, incoming) = mpsc::channel(COMMAND_QUEUE);
    let engine = HeldEngine {
        generation,
        ..HeldEngine::default()
    };
    let engine = Arc::new(Mutex::new(Arc::new(engine)));
    let late_copies = Arc::default();
    let load_counts = Arc::default();
    let controller = Controller {
        entry: Arc::clone(entry),
        orders: orders.clone(),
        upstream: Arc::clone(upstream),
        spec: spec.clone(),
        generation,
        first_order_at,
        residency: Residency::new(spec.adapter_slots as usize),
        waiting: HashMap::new(),
        loads: HashMap::new(),
        engine: Arc::clone(&engine),
        load_counts: Arc::clone(&load_counts),
        late_copies: Arc::clone(&late_copies),
        sequence: Arc::default(),
        due: Vec::new(),
    };
    tokio::spawn(controller.run(incoming));
    ControllerHandle {
        upstream: Arc::clone(upstream),
        generation,
        commands,
        engine,
        loads: load_counts,
        late_copies,
    }
}

impl<O: OrderClient> Controller<O> {
    async fn run(mut self, mut incoming: mpsc::Receiver<Command>) {
        let prepared = tokio::select! {
            prepared = self.prepare() => prepared,
            () = wait_closed(&incoming) => false,
        };
        if !prepared {
            return;
        }
        self.publish();
        let mut running = FuturesUnordered::new();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = incoming.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(ended) = running.next() => self.order_ended(&ended),
                _ = tick.tick() => self.expire_waiters(),
            }
            for (order, presence) in self.plan() {
                running.push(self.execute(order, presence));
            }
        }
    }

    /// Waits until the first order is allowed, reads what the engine holds, and has it load its base model.
    async fn prepare(&mut self) -> bool {
        let now = BootInstant::now();
        tokio::time::sleep(self.first_order_at.since(now)).await;
        loop {
            let report = hold_offs::fetch_report(&self.entry, &self.orders, &self.upstream);
            if let Some(report) = report.await {
                let now = BootInstant::now();
                // What the engine holds and its count of orders must come from one report: an order executed in between
                // would be counted, but not its adapter.
                self.sequence.lock().await.set_count(report.accepted_orders);
                self.merge_report(&report, now);
                let inherited = lock(&self.entry.late_orders).copies_at(&self.upstream.id, now);
                for (key, version) in inherited {
                    let late = LateExecution::UnderWay;
                    self.residency.mark_late_order(&key, version, late, now);
                }
                let adapters = self.residency.residents().count();
                let missing = self
                    .spec
                    .models
                    .first()
                    .filter(|_| report.models.is_empty());
                let missing = missing.map(|m| Arc::clone(&m.name));
                let slots = residency::adapter_slots(&self.spec, |name| {
                    missing.as_deref() == Some(name)
                        || report.models.iter().any(|m| *m.name == *name)
                });
                self.residency.set_slots(slots);
                info!(upstream = &*self.upstream.id, generation = self.generation, models = report.models.len(), adapters = adapters, slots = slots; "placement: engine taken");
                return match missing {
                    Some(model) => self.load_model(&model).await,
                    None => true,
                };
            }
            tokio::time::sleep(REPORT_POLL_INTERVAL).await;
        }
    }

    async fn load_model(&self, model: &Arc<str>) -> bool {
        let order = Order::LoadModel(Arc::clone(model));
        let ended = self.execute(order, Presence::Loaded).await;
        ended.outcome == OrderOutcome::Done
    }

    /// Adds the adapters of the engine's report. Loads that are under way are ordered again, which shows when they end.
    fn merge_report(&mut self, report: &EngineReport, now: BootInstant) {
        for a in report.adapters() {
            self.residency.add_reported(&a.key, a.version, now);
        }
        for a in &report.loading {
            if self.residency.add_loading(&a.key, a.version, now) {
                let order = Order::LoadAdapter(a.key.clone(), Some(a.version));
                self.due.push((order, Presence::Loaded));
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = BootInstant::now();
        match command {
            Command::Ensure(request, reply) => self.add_waiter(request, reply, now),
            Command::Requested(key, times) => self.residency.record_requests(&key, times, now),
            Command::Reported(adapters) => {
                let listed = adapters.iter().map(|(key, version)| (key, *version));
                for key in self.residency.merge_list(listed, now) {
                    warn!(upstream = &*self.upstream.id, adapter:% = key; "the engine holds an adapter that nobody here ordered");
                }
            }
            Command::Missing(key, version) => {
                warn!(upstream = &*self.upstream.id, adapter:% = key, version = version; "the engine lacks an adapter that was recorded as loaded");
                if self.residency.adapter_missing(&key, version, now) {
                    let order = Order::EvictAdapter(key);
                    self.due.push((order, Presence::Missing));
                }
                self.publish();
            }
        }
    }

    /// Adds a request that waits for an adapter, or responds at once that the load would take too long.
    fn add_waiter(
        &mut self,
        request: EnsureRequest,
        reply: oneshot::Sender<EnsureResult>,
        now: BootInstant,
    ) {
        let mut max_wait = Duration::from_millis(u64::from(request.max_wait_ms));
        if self.residency.needs_store(&request.key) && !self.waiting.contains_key(&request.key) {
            match self.entry.admit_load(&request, now) {
                Ok(wait) => max_wait = wait,
                Err(expected) => {
                    // The waiting request may have ended already.
                    let _closed = reply.send(EnsureResult::Late(expected.as_millis() as u32));
                    return;
                }
            }
        }
        let waiter = Waiter {
            version: request.version,
            since: now,
            max_wait,
            is_urgent: request.is_urgent,
            reply,
        };
        self.waiting.entry(request.key).or_default().push(waiter);
    }

    /// Returns whether a load of `key` may begin now.
    fn may_load(&self, key: &AdapterKey) -> bool {
        if !self.residency.needs_store(key) {
            return true;
        }
        let (own, fleet) = (self.entry.own_loads(), self.entry.fleet_loads());
        lock(&self.entry.load_limit).may_begin(own.running, fleet)
    }

    /// Returns adapters that have waiters, with the lowest version that satisfies all of them; longest wait first.
    fn awaited_adapters(&self) -> Vec<(AdapterKey, u32)> {
        let mut awaited: Vec<(BootInstant, &AdapterKey, u32)> = self
            .waiting
            .iter()
            .filter_map(|(key, all)| {
                let since = all.iter().map(|w| w.since).min()?;
                let version = all.iter().map(|w| w.version).max()?;
                Some((since, key, version))
            })
            .collect();
        awaited.sort();
        let awaited = awaited.into_iter();
        awaited
            .map(|(_, key, version)| (key.clone(), version))
            .collect()
    }

    /// Returns the orders that are due, and whether evictions find their adapters.
    fn plan(&mut self) -> Vec<(Order, Presence)> {
        if !self.entry.may_order(&self.upstream.id, self.generation) {
            return Vec::new();
        }
        let now = BootInstant::now();
        let mut orders = Vec::new();
        let (entry, upstream) = (Arc::clone(&self.entry), Arc::clone(&self.upstream.id));
        let in_use = |k: &AdapterKey| entry.is_adapter_in_use(&upstream, k);
        for (key, version) in self.awaited_adapters() {
            if !self.may_load(&key) {
                continue;
            }
            match self.residency.plan(&key, version, now, in_use) {
                Plan::Ready => self.respond(&key, EnsureResult::Ready),
                Plan::Full => self.respond(&key, EnsureResult::Full),
                Plan::Wait => {}
                Plan::Load => {
                    let running = self.entry.fleet_loads().running + 1;
                    self.loads
                        .insert(key.clone(), StartedLoad::new(now, running));
                    *lock(&self.load_counts) = self.count_loads();
                    orders.push(Order::LoadAdapter(key, Some(version)));
                }
                Plan::Evict(victim) => orders.push(Order::EvictAdapter(victim)),
            }
        }
        let spare = self.residency.plan_spare_slot(now, in_use);
        orders.extend(spare.map(Order::EvictAdapter));
        let cleanup = self.residency.plan_late_evictions(now).into_iter();
        let cleanup = cleanup.map(|key| (Order::EvictAdapter(key), Presence::Uncertain));
        let planned = orders.into_iter().map(|order| (order, Presence::Loaded));
        let due = self.due.drain(..);
        let orders: Vec<(Order, Presence)> = due.chain(planned).chain(cleanup).collect();
        if !orders.is_empty() {
            self.publish();
        }
        orders
    }

    fn respond(&mut self, key: &AdapterKey, result: EnsureResult) {
        for waiter in self.waiting.remove(key).into_iter().flatten() {
            // The waiting request may have ended already.
            let _closed = waiter.reply.send(result);
        }
    }

    /// Responds `Full` to waiters that waited too long.
    fn expire_waiters(&mut self) {
        let now = BootInstant::now();
        let residency = &self.residency;
        for (key, waiters) in &mut self.waiting {
            let is_loading = residency.is_loading(key);
            let limit = |w: &Waiter| {
                let max_wait = w.max_wait + WAIT_SLACK;
                if is_loading {
                    max_wait.max(LOAD_WAIT_LIMIT)
                } else {
                    max_wait
                }
            };
            for waiter in waiters.extract_if(.., |w| now.since(w.since) > limit(w)) {
                // The waiting request may have ended already.
                let _closed = waiter.reply.send(EnsureResult::Full);
            }
        }
        self.waiting.retain(|_, waiters| !waiters.is_empty());
        self.settle_orders(now);
        self.publish();
    }

    fn order_ended(&mut self, ended: &EndedOrder) {
        let now = BootInstant::now();
        self.learn_load_time(ended, now);
        match (&ended.order, ended.outcome) {
            (Order::LoadAdapter(key, version), OrderOutcome::Done) => {
                self.residency
                    .load_succeeded(key, version.unwrap_or_default(), now);
                self.residency
                    .mark_late_order(key, *version, ended.late, now);
                self.respond(key, EnsureResult::Ready);
            }
            (Order::LoadAdapter(key, _), _) => {
                self.residency.load_failed(key, ended.late, now);
                // With a report, the load was not sent and is planned again.
                if ended.report.is_none() {
                    self.respond(key, EnsureResult::Failed);
                }
            }
            (Order::EvictAdapter(key), OrderOutcome::Kept) => {
                self.residency.eviction_cancelled(key, now);
            }
            // With a report, the eviction was not sent.
            (Order::EvictAdapter(key), _) if ended.report.is_some() => {
                self.residency.eviction_cancelled(key, now);
            }
            // The engine may still execute an eviction without a response: the adapter counts as evicted, its slot
            // as occupied.
            (Order::EvictAdapter(key), outcome) => {
                let late = match (outcome, ended.late) {
                    (OrderOutcome::Done, _) => LateExecution::Never,
                    (_, LateExecution::UntilNext) => LateExecution::UntilNext,
                    _ => LateExecution::UnderWay,
                };
                self.entry.forget_prompts(&self.upstream.id, key);
                self.residency.eviction_ended(key, late, now);
            }
            (Order::LoadModel(_), _) => {}
        }
        self.settle_orders(now);
        if let Some(report) = &ended.report {
            warn!(upstream = &*self.upstream.id, accepted = report.accepted_orders; "the engine's count of orders was unknown; its report was read again");
            self.merge_report(report, now);
        }
        self.publish();
    }

    /// Learns from a load that ended how many the weight store bears.
    fn learn_load_time(&mut self, ended: &EndedOrder, now: BootInstant) {
        let Order::LoadAdapter(key, _) = &ended.order else {
            return;
        };
        let Some(load) = self.loads.remove(key) else {
            return;
        };
        if ended.outcome == OrderOutcome::Done && ended.late == LateExecution::Never {
            let running = self.entry.fleet_loads().running;
            lock(&self.entry.load_limit).load_ended(load, running, now);
        }
    }

    /// Frees the slots of orders without a response once the engine has accepted a later order.
    fn settle_orders(&mut self, now: BootInstant) {
        if !self.residency.has_unsettled_orders() {
            return;
        }
        // If a running order holds the lock, this runs again when an order ends or at the next tick.
        let sequence = self.sequence.try_lock();
        if sequence.is_ok_and(|s| !s.has_pending()) {
            self.residency.settle_late_orders(now);
        }
    }

    /// Sends an order and repeats it until it has taken effect; orders are idempotent.
    fn execute(&self, order: Order, presence: Presence) -> BoxFuture<'static, EndedOrder> {
        let run = OrderRun {
            entry: Arc::clone(&self.entry),
            orders: self.orders.clone(),
            upstream: Arc::clone(&self.upstream),
            generation: self.generation,
            sequence: Arc::clone(&self.sequence),
        };
        Box::pin(async move { run.execute(order, presence).await })
    }

    fn count_loads(&self) -> LoadCounts {
        let unbegun = self.waiting.keys();
        let unbegun = unbegun.filter(|key| self.residency.needs_store(key));
        let urgent = self.waiting.iter().filter(|(key, all)| {
            let is_counted = self.loads.contains_key(*key) || self.residency.needs_store(key);
            is_counted && all.iter().any(|w| w.is_urgent)
        });
        LoadCounts {
            running: self.residency.loading_count() as u32,
            waiting: unbegun.count() as u32,
            urgent: urgent.count() as u32,
        }
    }

    /// Publishes to the rest of this entry, and to its peers, which adapters requests may use.
    fn publish(&self) {
        let held = HeldEngine {
            generation: self.generation,
            active: true,
            adapters: self
                .residency
                .residents()
                .map(|(key, version)| (key.clone(), version))
                .collect(),
        };
        *lock(&self.load_counts) = self.count_loads();
        let late = self.residency.late_copies();
        *lock(&self.late_copies) = late.map(|(key, v)| (key.clone(), v)).collect();
        let mut engine = lock(&self.engine);
        if **engine != held {
            *engine = Arc::new(held);
            drop(engine);
            self.entry.notify_peers();
        }
    }
}

/// Resolves once every handle is dropped.
async fn wait_closed(incoming: &mpsc::Receiver<Command>) {
    while !incoming.is_closed() {
        tokio::time::sleep(REPORT_POLL_INTERVAL).await;
    }
}
