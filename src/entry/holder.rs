//! Takes over engines that have no holder, and drops those that another entry took over.

use crate::{
    clock::BootInstant,
    decide::{
        order_lease::TIMING,
        store_eras,
        takeover::{
            self, HolderRecord, HolderState, MemberRecord, OwnProcess, RecordEra, TakeoverStep,
        },
    },
    edge::{
        orders::OrderClient,
        registration::Registration,
        store::{Listing, Object, ObjectKind, Store, StoreError},
    },
    entry::{
        context::Entry,
        controller, store_return,
        unusable::{UnusableObjects, read_records},
    },
    holding::lock,
    ident::UpstreamId,
    lease::{LeaseObserver, Renewal},
    metrics,
    supervisor::ChildError,
};
use log::{debug, info, warn};
use serde_json::json;
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Interval between polls while an engine has no live holder; well under the observer's longest gap between reads.
const POLL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between polls while all engines have live holders; each call to the store costs money.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(8);

/// Interval between checks whether every engine has a live holder.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Delay before the first poll, in which entries that start together find each other.
const STARTUP_DELAY: Duration = Duration::from_secs(1);

/// Minimum time between two polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between checks whether a starting entry has its lease; a renewal is one round trip to the store.
const LEASE_POLL: Duration = Duration::from_millis(25);

/// Time for which engines are reserved for a VM that was stopped: the platform restarts it after half a second.
/// Another VM would have to wait longer before its first order (see `takeover`).
const RESTART_GRACE: Duration = Duration::from_secs(2);

/// Time for which a record must have been unreadable before another entry takes the engine over: a holder that lives
/// restores its record at its next poll, and the leases of others have ended by then.
const ABANDONED_AFTER: Duration = Duration::from_secs(30);

/// Holder of an engine whose record can't be read; no entry has this name.
const UNKNOWN_HOLDER: &str = "";

/// Engines that a poll covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// Engines that an earlier process of this VM held.
    Own,
    /// All engines.
    All,
}

/// Takes over and drops engines.
struct EngineHolder<S, O> {
    entry: Arc<Entry>,
    store: S,
    orders: O,
    observer: LeaseObserver,
    unusable_members: UnusableObjects,
    unusable_holders: UnusableObjects,
    /// Engines whose records can't be read, and since when.
    unreadable: HashMap<UpstreamId, BootInstant>,
    members: HashMap<Arc<str>, MemberRecord>,
    /// Processes that sent their last order, and when this entry first read so.
    stopped: HashMap<(Arc<str>, u64), BootInstant>,
    /// Records that this entry wrote, with the earliest time of its first order.
    claimed: HashMap<UpstreamId, (HolderRecord, BootInstant)>,
    /// Era of the store at the last poll.
    era: u64,
    /// Engines that this process held when that era began, and has not claimed again.
    held_before: HashSet<UpstreamId>,
}

/// Holder record and its store revision.
type StoredRecord = (HolderRecord, u64);

/// Takes over and drops engines until `stop`.
///
/// # Errors
/// None; calls to the store are retried.
pub async fn hold_engines<S: Store, O: OrderClient>(
    entry: Arc<Entry>,
    store: S,
    orders: O,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let mut holder = EngineHolder {
        entry,
        store,
        orders,
        observer: LeaseObserver::new(TIMING),
        unusable_members: UnusableObjects::new(ObjectKind::Members),
        unusable_holders: UnusableObjects::new(ObjectKind::Holders),
        unreadable: HashMap::new(),
        members: HashMap::new(),
        stopped: HashMap::new(),
        claimed: HashMap::new(),
        era: 0,
        held_before: HashSet::new(),
    };
    let (entry, store) = (Arc::clone(&holder.entry), holder.store.clone());
    tokio::select! {
        () = stop.cancelled() => {}
        () = holder.run() => {}
        () = store_return::follow_eras(&entry, &store) => {}
    }
    holder.entry.end_controllers();
    Ok(())
}

impl<S: Store, O: OrderClient> EngineHolder<S, O> {
    async fn run(&mut self) {
        let started = BootInstant::now();
        self.retake_own_engines().await;
        tokio::time::sleep(STARTUP_DELAY.saturating_sub(BootInstant::now().since(started))).await;
        loop {
            if self.entry.is_control_member()
                && let Err(e) = self.poll(Scope::All).await
            {
                debug!("reading the holders from the store failed: {e}");
            }
            metrics::upstreams_held(lock(&self.entry.controllers).len());
            self.wait_for_poll().await;
        }
    }

    /// Takes over engines of an earlier process of this VM, which other entries may not take yet, as soon as its
    /// lease is fresh and engines are registered.
    async fn retake_own_engines(&mut self) {
        let is_lease_fresh = || lock(&self.entry.order_lease).is_fresh(BootInstant::now());
        while !is_lease_fresh() || self.engines().is_empty() {
            tokio::time::sleep(LEASE_POLL).await;
        }
        if let Err(e) = self.poll(Scope::Own).await {
            debug!("retaking the engines of an earlier process failed: {e}");
        }
    }

    /// Waits until another poll is due.
    async fn wait_for_poll(&self) {
        let started = BootInstant::now();
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.entry.registry_changed.notified() => {
                    tokio::time::sleep(MIN_POLL_INTERVAL).await;
                    return;
                }
            }
            let waited = BootInstant::now().since(started);
            let order_lease = *lock(&self.entry.order_lease);
            let unconfirmed =
                order_lease.is_fresh(BootInstant::now()) && !order_lease.is_confirmed();
            let due = waited >= POLL_INTERVAL && self.has_unheld_engine();
            if unconfirmed || due || waited >= IDLE_POLL_INTERVAL {
                return;
            }
        }
    }

    /// Returns whether some engine has no live holder.
    fn has_unheld_engine(&self) -> bool {
        let now = BootInstant::now();
        let engines = self.engines();
        let peers = lock(&self.entry.peers);
        let controllers = lock(&self.entry.controllers);
        engines.iter().any(|engine| {
            let held = peers.held_engine(&engine.id, now);
            let live = held.is_some_and(|h| h.is_live);
            !live && !controllers.contains_key(&engine.id)
        })
    }

    async fn poll(&mut self, scope: Scope) -> Result<(), StoreError> {
        let sent = BootInstant::now();
        let members = self.store.list(ObjectKind::Members).await?;
        let holders_sent = BootInstant::now();
        let holders = self.store.list(ObjectKind::Holders).await?;
        let era = lock(&self.entry.store_eras).present();
        if members.at.era != era || holders.at.era != era {
            return Err(StoreError::Unknown);
        }
        self.enter_era(era);
        self.observe_members(&members, sent);
        let mut records: HashMap<UpstreamId, StoredRecord> = HashMap::new();
        let mut unreadable = Vec::new();
        for (object, record) in read_records(&mut self.unusable_holders, &holders) {
            match record {
                Some(record) => {
                    records.insert(Arc::from(object.name.as_str()), (record, object.revision));
                }
                None => unreadable.push(object),
            }
        }
        for object in &unreadable {
            let record = self.replace_unreadable(object).await;
            records.insert(Arc::from(object.name.as_str()), record);
        }
        let names: HashSet<&str> = unreadable.iter().map(|o| o.name.as_str()).collect();
        self.unreadable.retain(|id, _| names.contains(&**id));
        self.drop_lost_controllers(&records);
        lock(&self.entry.order_lease).confirmed(holders_sent);
        if self.entry.may_send_orders() && !self.entry.is_leaving() {
            for engine in self.engines() {
                let record = records.get(&engine.id);
                if scope == Scope::All || self.is_own(record) {
                    self.step(&engine, record).await;
                }
            }
        }
        Ok(())
    }

    /// Forgets what was concluded from the records of an earlier era.
    fn enter_era(&mut self, era: u64) {
        if era != self.era {
            self.era = era;
            self.observer = LeaseObserver::new(TIMING);
            self.claimed.clear();
            self.held_before = self.entry.end_earlier_controllers(era);
        }
    }

    /// Restores the record of an engine if this entry certainly still holds it. Otherwise returns a record of an unknown
    /// holder.
    async fn replace_unreadable(&mut self, object: &Object) -> StoredRecord {
        let id: UpstreamId = Arc::from(object.name.as_str());
        self.unreadable
            .entry(Arc::clone(&id))
            .or_insert_with(BootInstant::now);
        let unknown = HolderRecord {
            holder: Arc::from(UNKNOWN_HOLDER),
            incarnation: 0,
            generation: store_eras::unreadable_generation(object.revision, self.era),
        };
        let generation = lock(&self.entry.controllers).get(&id).map(|c| c.generation);
        // With a lease without gap since the last read, nobody else can have taken the engine over.
        let Some(generation) = generation.filter(|_| self.entry.may_send_orders()) else {
            return (unknown, object.revision);
        };
        let own = HolderRecord {
            holder: Arc::from(self.entry.config.id.as_str()),
            incarnation: self.entry.incarnation,
            generation,
        };
        let (revision, content) = (Some(object.revision), json!(own));
        let written = self
            .store
            .replace(ObjectKind::Holders, &id, revision, &content)
            .await;
        match written {
            Ok(restored) => {
                info!(upstream = &*id, generation = generation; "placement: unreadable holder record restored");
                (own, restored.revision)
            }
            Err(e) => {
                warn!(upstream = &*id, error:% = e; "placement: an unreadable holder record was not restored");
                (unknown, object.revision)
            }
        }
    }

    fn observe_members(&mut self, listing: &Listing, sent: BootInstant) {
        let records = read_records(&mut self.unusable_members, listing);
        let records = records
            .into_iter()
            .filter_map(|(object, record)| Some((Arc::<str>::from(object.name.as_str()), record?)));
        self.members = records.collect();
        for record in self.members.values() {
            self.entry.restore_refused(&record.refused);
            if let Some(era) = record.settled {
                lock(&self.entry.store_eras).learn_settled(era);
            }
        }
        let renewals = self.members.iter().map(|(name, record)| {
            let renewal = Renewal {
                incarnation: record.incarnation,
                counter: record.counter,
            };
            (name, renewal)
        });
        let now = BootInstant::now();
        self.observer.observe(sent, now, renewals);
        let stopped = self.members.iter().filter(|(_, record)| record.stopped);
        let stopped = stopped.map(|(name, record)| (Arc::clone(name), record.incarnation));
        let earlier = std::mem::take(&mut self.stopped);
        self.stopped = stopped
            .map(|process| {
                let since = earlier.get(&process).copied().unwrap_or(now);
                (process, since)
            })
            .collect();
        let mut known: Vec<_> = self.members.values().map(|r| r.link).collect();
        known.sort_unstable();
        *lock(&self.entry.member_links) = known;
    }

    /// Returns the registered engines that accept requests. One that is leaving is not taken over, but its controller
    /// stays until it is gone.
    fn engines(&self) -> Vec<Arc<Registration>> {
        let registry = lock(&self.entry.registry);
        let table = self.entry.routes.load();
        let is_engine = |r: &&Arc<Registration>| {
            let service = table.deployment.service(&r.service);
            r.is_serving() && service.is_some_and(|s| s.engine.is_some())
        };
        registry.all().filter(is_engine).cloned().collect()
    }

    /// Drops the controllers of engines that are gone, restarted, or held by another process.
    fn drop_lost_controllers(&mut self, records: &HashMap<UpstreamId, StoredRecord>) {
        let own = &self.entry.config.id;
        let incarnation = self.entry.incarnation;
        let mut controllers = lock(&self.entry.controllers);
        let registry = lock(&self.entry.registry);
        controllers.retain(|id, controller| {
            let is_same = registry
                .get(id)
                .is_some_and(|r| r.is_same_process(&controller.upstream));
            let is_own = records.get(id).is_some_and(|(r, _)| {
                *r.holder == **own && r.incarnation == incarnation && r.generation == controller.generation
            });
            if !is_same || !is_own {
                info!(upstream = &**id, generation = controller.generation, same_process = is_same, still_ours = is_own; "placement: engine dropped");
            }
            is_same && is_own
        });
    }

    fn is_own(&self, held: Option<&StoredRecord>) -> bool {
        held.is_some_and(|(record, _)| *record.holder == *self.entry.config.id)
    }

    async fn step(&mut self, engine: &Arc<Registration>, held: Option<&StoredRecord>) {
        let record = held.map(|(record, _)| record);
        let state = record.map_or(HolderState::Live, |r| self.state(&engine.id, r));
        let own = OwnProcess {
            name: &self.entry.config.id,
            incarnation: self.entry.incarnation,
        };
        let era = self.record_era(&engine.id);
        if era.wrote(record) {
            self.held_before.remove(&engine.id);
        }
        let members = &self.entry.control.load().members;
        match takeover::next_step(own, &engine.id, record, state, era, members) {
            TakeoverStep::Skip => {}
            TakeoverStep::Held => {
                if let Some(record) = record {
                    self.start_controller(engine, record);
                }
            }
            TakeoverStep::Create(generation) => self.take_over(engine, generation, None).await,
            TakeoverStep::Replace(generation) => self.take_over(engine, generation, held).await,
        }
    }

    fn record_era(&self, engine: &UpstreamId) -> RecordEra {
        RecordEra {
            present: self.era,
            is_settled: lock(&self.entry.store_eras).is_settled(BootInstant::now()),
            was_holder: self.held_before.contains(engine),
        }
    }

    fn state(&self, engine: &UpstreamId, record: &HolderRecord) -> HolderState {
        let now = BootInstant::now();
        if let Some(since) = self.unreadable.get(engine) {
            let is_held = lock(&self.entry.peers)
                .held_engine(engine, now)
                .is_some_and(|h| h.is_live);
            return if is_held || now.since(*since) < ABANDONED_AFTER {
                HolderState::Live
            } else {
                HolderState::Ended
            };
        }
        let process = (Arc::clone(&record.holder), record.incarnation);
        let since = self.stopped.get(&process);
        let stopped = since.is_some_and(|since| now.since(*since) >= RESTART_GRACE);
        let expired = self.observer.is_expired(&record.holder, record.incarnation);
        if stopped || expired {
            HolderState::Ended
        } else {
            HolderState::Live
        }
    }

    async fn take_over(
        &mut self,
        engine: &Arc<Registration>,
        generation: u64,
        held: Option<&StoredRecord>,
    ) {
        let record = HolderRecord {
            holder: Arc::from(self.entry.config.id.as_str()),
            incarnation: self.entry.incarnation,
            generation,
        };
        let content = json!(record);
        let written = match held {
            None => {
                self.store
                    .create(ObjectKind::Holders, &engine.id, &content)
                    .await
            }
            Some((_, revision)) => {
                let revision = Some(*revision);
                self.store
                    .replace(ObjectKind::Holders, &engine.id, revision, &content)
                    .await
            }
        };
        let earlier = held.map(|(r, _)| r);
        let (own, era) = (&self.entry.config.id, self.record_era(&engine.id));
        let first_order_at = takeover::first_order_at(own, earlier, era, BootInstant::now());
        match written {
            // The store may have returned with an older copy since the records were read: the next poll shows what was written.
            Ok(_object) if self.store.era().latest() != self.era => {
                info!(upstream = &*engine.id, generation = generation; "placement: the store returned during a takeover");
            }
            Ok(_object) => {
                info!(upstream = &*engine.id, generation = generation, earlier = earlier.map_or("", |r| &*r.holder); "placement: engine taken over");
                self.inherit_late_orders(earlier);
                self.claimed
                    .insert(Arc::clone(&engine.id), (record.clone(), first_order_at));
                self.start_controller(engine, &record);
            }
            Err(StoreError::Conflict(_)) => {
                debug!("another entry took over {} first", engine.id);
            }
            // The next poll shows whether the write took effect.
            Err(e) => {
                warn!(upstream = &*engine.id, error:% = e; "writing a takeover to the store failed; it may have taken effect");
                self.claimed
                    .insert(Arc::clone(&engine.id), (record, first_order_at));
            }
        }
    }

    /// Takes over the orders that the earlier holder's record lists as without a response; those of all entries if the
    /// earlier holder is unknown.
    fn inherit_late_orders(&self, earlier: Option<&HolderRecord>) {
        let Some(earlier) = earlier else {
            return;
        };
        let is_unknown = &*earlier.holder == UNKNOWN_HOLDER;
        for (name, member) in &self.members {
            if is_unknown || *name == earlier.holder {
                lock(&self.entry.late_orders).inherit(&member.late, BootInstant::now());
            }
        }
    }

    /// Starts the controller of an engine that this entry holds, if there is none.
    fn start_controller(&self, engine: &Arc<Registration>, record: &HolderRecord) {
        if lock(&self.entry.controllers).contains_key(&engine.id) {
            return;
        }
        let service = self.entry.service(&engine.service);
        let Some(spec) = service.and_then(|s| s.engine) else {
            return;
        };
        let claim = self.claimed.get(&engine.id).filter(|(r, _)| r == record);
        let first_order_at = claim.map_or_else(BootInstant::now, |(_, at)| *at);
        let handle = controller::start(
            &self.entry,
            &self.orders,
            engine,
            &spec,
            record.generation,
            first_order_at,
        );
        lock(&self.entry.controllers).insert(Arc::clone(&engine.id), handle);
    }
}
