//! Gives orders to one engine: a single task that owns what is known of the engine's adapters.

use crate::{
    clock::BootInstant,
    decide::{
        order_sequence::OrderSequence,
        residency::{Plan, Residency, SlotState},
        takeover::LateOrder,
    },
    edge::{
        deployment::EngineSpec,
        orders::{Order, OrderClient},
        registration::{AdapterKey, Registration},
    },
    entry::{
        context::Entry,
        messages::EnsureResult,
        order_run::{Ended, Late, OrderRun, Outcome},
        peers::HeldEngine,
    },
    holding::lock,
    ident::Generation,
};
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use log::{info, warn};
use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::{mpsc, oneshot};

/// Questions waiting for a controller.
const QUEUE: usize = 1_024;

/// Interval at which a controller looks for evictions that are due and for those who waited too long.
const TICK: Duration = Duration::from_millis(50);

/// Longest wait for a load; beyond it the request is better off elsewhere.
const WANT_LIMIT: Duration = Duration::from_millis(1_500);

/// Interval between tries to read the engine's first report.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// What a controller is asked.
#[derive(Debug)]
pub enum Command {
    /// Bring an adapter.
    Ensure(AdapterKey, u32, oneshot::Sender<EnsureResult>),
    /// Requests for an adapter were sent.
    Requested(AdapterKey, u32),
    /// The engine's entry lists these adapters, with their versions.
    Reported(Vec<(AdapterKey, u32)>),
    /// The engine said that it lacks an adapter at this version.
    Missing(AdapterKey, u32),
}

/// Reaches a controller.
#[derive(Clone, Debug)]
pub struct ControllerHandle {
    /// The engine's process.
    pub upstream: Arc<Registration>,
    /// Fencing number.
    pub generation: Generation,
    asks: mpsc::Sender<Command>,
    engine: Arc<Mutex<Arc<HeldEngine>>>,
    late: Arc<Mutex<Vec<AdapterKey>>>,
}

impl ControllerHandle {
    /// What is known of the engine; replaced with each change.
    pub fn engine(&self) -> Arc<HeldEngine> {
        Arc::clone(&lock(&self.engine))
    }

    /// Version of `key` that requests may use, and whether orders may be given.
    pub fn lookup(&self, key: &AdapterKey) -> (Option<u32>, bool) {
        let engine = lock(&self.engine);
        (engine.adapters.get(key).copied(), engine.active)
    }

    /// Orders that may still be carried out.
    pub fn late(&self) -> Vec<LateOrder> {
        let keys = lock(&self.late).clone();
        let orders = keys.into_iter().map(|key| LateOrder {
            upstream: Arc::clone(&self.upstream.id),
            key,
        });
        orders.collect()
    }

    /// Tells the controller something; dropped if the controller is behind.
    pub fn tell(&self, ask: Command) {
        if self.asks.try_send(ask).is_err() {
            warn!(upstream = &*self.upstream.id; "the engine's queue of questions is full");
        }
    }

    /// Brings an adapter and waits for it.
    pub async fn ensure_adapter(&self, key: AdapterKey, version: u32) -> EnsureResult {
        let (reply, answer) = oneshot::channel();
        if self
            .asks
            .try_send(Command::Ensure(key, version, reply))
            .is_err()
        {
            return EnsureResult::Full;
        }
        answer.await.unwrap_or(EnsureResult::NotHolder)
    }
}

/// A request that waits for an adapter.
#[derive(Debug)]
struct Waiter {
    version: u32,
    since: BootInstant,
    reply: oneshot::Sender<EnsureResult>,
}

/// One engine and what is to be done there.
struct Controller<O> {
    entry: Arc<Entry>,
    orders: O,
    upstream: Arc<Registration>,
    generation: Generation,
    /// When the first order may be given.
    from: BootInstant,
    residency: Residency,
    waiting: HashMap<AdapterKey, Vec<Waiter>>,
    engine: Arc<Mutex<Arc<HeldEngine>>>,
    late: Arc<Mutex<Vec<AdapterKey>>>,
    sequence: Arc<tokio::sync::Mutex<OrderSequence>>,
    /// Adapters with unanswered orders that the next accepted one ends.
    open: HashSet<AdapterKey>,
}

/// Takes over an engine: starts its controller, which ends when its handle is dropped.
pub fn open<O: OrderClient>(
    entry: &Arc<Entry>,
    orders: &O,
    upstream: &Arc<Registration>,
    spec: &EngineSpec,
    generation: Generation,
    from: BootInstant,
) -> ControllerHandle {
    let (asks, incoming) = mpsc::channel(QUEUE);
    let engine = HeldEngine {
        generation,
        ..HeldEngine::default()
    };
    let engine = Arc::new(Mutex::new(Arc::new(engine)));
    let late = Arc::default();
    let controller = Controller {
        entry: Arc::clone(entry),
        orders: orders.clone(),
        upstream: Arc::clone(upstream),
        generation,
        from,
        residency: Residency::new(spec.adapter_slots as usize),
        waiting: HashMap::new(),
        engine: Arc::clone(&engine),
        late: Arc::clone(&late),
        sequence: Arc::default(),
        open: HashSet::new(),
    };
    let models = spec.models.iter().map(|m| Arc::clone(&m.name)).collect();
    tokio::spawn(controller.run(incoming, models));
    ControllerHandle {
        upstream: Arc::clone(upstream),
        generation,
        asks,
        engine,
        late,
    }
}

impl<O: OrderClient> Controller<O> {
    async fn run(mut self, mut incoming: mpsc::Receiver<Command>, models: Vec<Arc<str>>) {
        let prepared = tokio::select! {
            prepared = self.prepare(&models) => prepared,
            () = closed(&incoming) => false,
        };
        if !prepared {
            return;
        }
        self.publish();
        let mut running = FuturesUnordered::new();
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                ask = incoming.recv() => match ask {
                    Some(ask) => self.take(ask),
                    None => return,
                },
                Some(ended) = running.next() => self.ended(&ended),
                _ = tick.tick() => self.expire(),
            }
            for order in self.plan() {
                running.push(self.carry_out(order));
            }
        }
    }

    /// Waits for the time of the first order, learns what the engine holds, and has it load its base model.
    async fn prepare(&mut self, models: &[Arc<str>]) -> bool {
        let now = BootInstant::now();
        tokio::time::sleep(self.from.since(now)).await;
        loop {
            if let Some(report) = self.orders.fetch_report(&self.upstream).await {
                let now = BootInstant::now();
                let held = report.models.iter().flat_map(|m| &m.adapters);
                for a in held {
                    self.residency
                        .add(a.key.clone(), a.version, SlotState::Resident, now);
                }
                for key in report.loading {
                    self.residency.add(key, 0, SlotState::Resident, now);
                }
                for key in lock(&self.entry.late_orders).adapters_at(&self.upstream.id, now) {
                    self.residency.mark_late_order(&key, now);
                }
                let adapters = self.residency.residents().count();
                info!(upstream = &*self.upstream.id, generation = self.generation, models = report.models.len(), adapters = adapters; "placement: engine taken");
                return match models.first() {
                    Some(model) if report.models.is_empty() => self.load_model(model).await,
                    _ => true,
                };
            }
            tokio::time::sleep(REPORT_DELAY).await;
        }
    }

    async fn load_model(&self, model: &Arc<str>) -> bool {
        let order = Order::LoadModel(Arc::clone(model));
        let ended = self.carry_out(order).await;
        ended.outcome == Outcome::Done
    }

    fn take(&mut self, ask: Command) {
        let now = BootInstant::now();
        match ask {
            Command::Ensure(key, version, reply) => {
                let waiter = Waiter {
                    version,
                    since: now,
                    reply,
                };
                self.waiting.entry(key).or_default().push(waiter);
            }
            Command::Requested(key, times) => self.residency.record_requests(&key, times, now),
            Command::Reported(adapters) => {
                let listed = adapters.iter().map(|(key, version)| (key, *version));
                for key in self.residency.merge_list(listed, now) {
                    warn!(upstream = &*self.upstream.id, adapter:% = key; "the engine holds an adapter that nobody here ordered");
                }
            }
            Command::Missing(key, version) => {
                warn!(upstream = &*self.upstream.id, adapter:% = key, version = version; "the engine lacks an adapter that was noted as loaded");
                self.residency.adapter_missing(&key, version, now);
                self.publish();
            }
        }
    }

    /// Adapters that are waited for, with the versions that will do; who has waited longest goes first.
    fn wanted(&self) -> Vec<(AdapterKey, u32)> {
        let mut wanted: Vec<(BootInstant, &AdapterKey, u32)> = self
            .waiting
            .iter()
            .filter_map(|(key, all)| {
                let since = all.iter().map(|w| w.since).min()?;
                let version = all.iter().map(|w| w.version).max()?;
                Some((since, key, version))
            })
            .collect();
        wanted.sort();
        let wanted = wanted.into_iter();
        wanted
            .map(|(_, key, version)| (key.clone(), version))
            .collect()
    }

    /// Orders that are due.
    fn plan(&mut self) -> Vec<Order> {
        if !self.entry.may_send_orders() {
            return Vec::new();
        }
        let now = BootInstant::now();
        let mut orders = Vec::new();
        let (entry, upstream) = (Arc::clone(&self.entry), Arc::clone(&self.upstream.id));
        let in_use = |k: &AdapterKey| entry.is_adapter_in_use(&upstream, k);
        for (key, version) in self.wanted() {
            match self.residency.plan(&key, version, now, in_use) {
                Plan::Ready => self.answer(&key, EnsureResult::Ready),
                Plan::Full => self.answer(&key, EnsureResult::Full),
                Plan::Wait => {}
                Plan::Load => orders.push(Order::LoadAdapter(key, Some(version))),
                Plan::Evict(victim) => orders.push(Order::EvictAdapter(victim)),
            }
        }
        let cleanup = self.residency.plan_late_evictions(now);
        orders.extend(cleanup.into_iter().map(Order::EvictAdapter));
        let spare = self.residency.plan_spare_slot(now, in_use);
        orders.extend(spare.map(Order::EvictAdapter));
        if !orders.is_empty() {
            self.publish();
        }
        orders
    }

    fn answer(&mut self, key: &AdapterKey, result: EnsureResult) {
        for waiter in self.waiting.remove(key).into_iter().flatten() {
            // The asking request may have ended meanwhile.
            let _gone = waiter.reply.send(result);
        }
    }

    /// Ends waits that took too long.
    fn expire(&mut self) {
        let now = BootInstant::now();
        let late = |w: &Waiter| now.since(w.since) > WANT_LIMIT;
        let due: Vec<AdapterKey> = self
            .waiting
            .iter()
            .filter(|(_, all)| all.iter().any(late))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.answer(&key, EnsureResult::Full);
        }
        self.settle(now);
        self.publish();
    }

    fn ended(&mut self, ended: &Ended) {
        let now = BootInstant::now();
        let is_late = ended.late != Late::Never;
        match (&ended.order, ended.outcome) {
            (Order::LoadAdapter(key, version), Outcome::Done) => {
                self.residency
                    .load_succeeded(key, version.unwrap_or_default(), now);
                if is_late {
                    self.residency.mark_late_order(key, now);
                }
                self.answer(key, EnsureResult::Ready);
            }
            (Order::LoadAdapter(key, _), _) => {
                self.residency.load_failed(key, is_late, now);
                self.answer(key, EnsureResult::Failed);
            }
            (Order::EvictAdapter(key), Outcome::Kept) => self.residency.eviction_cancelled(key),
            // An eviction without an answer may still come: the adapter counts as gone, its place as taken.
            (Order::EvictAdapter(key), outcome) => {
                let is_done = outcome == Outcome::Done;
                self.residency.eviction_ended(key, !is_done, now);
            }
            (Order::LoadModel(_), _) => {}
        }
        self.note_late(ended);
        self.settle(now);
        self.publish();
    }

    /// Remembers an order that the next accepted one will end.
    fn note_late(&mut self, ended: &Ended) {
        let key = match &ended.order {
            Order::LoadAdapter(key, _) | Order::EvictAdapter(key) => key,
            Order::LoadModel(_) => return,
        };
        if ended.late == Late::UntilNext {
            self.open.insert(key.clone());
        }
    }

    /// Frees the places of unanswered orders once the engine has accepted a later one.
    fn settle(&mut self, now: BootInstant) {
        if self.open.is_empty() {
            return;
        }
        // Where a running order has the lock, the next order that ends or the next tick looks again.
        let sequence = self.sequence.try_lock();
        if sequence.map_or(true, |s| s.has_pending()) {
            return;
        }
        for key in self.open.drain() {
            self.residency.end_late_orders(&key, now);
        }
    }

    /// Gives an order and repeats it until it holds; it is idempotent.
    fn carry_out(&self, order: Order) -> BoxFuture<'static, Ended> {
        let run = OrderRun {
            entry: Arc::clone(&self.entry),
            orders: self.orders.clone(),
            upstream: Arc::clone(&self.upstream),
            generation: self.generation,
            sequence: Arc::clone(&self.sequence),
        };
        Box::pin(async move { run.drive(order).await })
    }

    /// Shows other parts, and other entries, what requests may use.
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
        *lock(&self.late) = self.residency.late_orders().cloned().collect();
        let mut engine = lock(&self.engine);
        if **engine != held {
            *engine = Arc::new(held);
            drop(engine);
            self.entry.notify_peers();
        }
    }
}

/// Resolves once every handle is gone.
async fn closed(incoming: &mpsc::Receiver<Command>) {
    while !incoming.is_closed() {
        tokio::time::sleep(REPORT_DELAY).await;
    }
}
