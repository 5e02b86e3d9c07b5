//! Takes engines that nobody gives orders to, and drops those that somebody else took.

use crate::{
    clock::BootInstant,
    decide::{
        order_lease::TIMING,
        takeover::{self, HolderRecord, HolderState, MemberRecord, OwnProcess, TakeoverStep},
    },
    edge::{
        orders::OrderClient,
        registration::Registration,
        store::{Listing, Object, ObjectKind, Store, StoreError},
    },
    entry::{context::Entry, controller},
    holding::lock,
    ident::UpstreamId,
    lease::{LeaseObserver, Renewal},
    metrics,
    supervisor::ChildError,
};
use log::{debug, info, warn};
use serde_json::json;
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Interval between two looks while something is amiss; well under the observer's longest gap between reads.
const LOOK_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between looks while all engines have holders that are heard of; each look is paid for.
const CALM_INTERVAL: Duration = Duration::from_secs(8);

/// Interval between checks whether something is amiss.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time after the start in which entries that start together find each other.
const FIRST_LOOK: Duration = Duration::from_secs(1);

/// Least time between two looks.
const MIN_LOOK: Duration = Duration::from_millis(200);

/// Interval between looks whether a starting entry has its lease; a renewal is one round trip to the store.
const LEASE_POLL: Duration = Duration::from_millis(25);

/// Time in which a VM that was stopped may come back and go on with its engines: the platform starts it again after
/// half a second. Another VM would have to wait longer before its first order (see `takeover`).
const RETURN_WAIT: Duration = Duration::from_secs(2);

/// Engines that a look is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// Those that an earlier process of this VM held.
    Own,
    /// All.
    All,
}

/// Takes and drops engines.
struct Holder<S, O> {
    entry: Arc<Entry>,
    store: S,
    orders: O,
    observer: LeaseObserver,
    members: HashMap<Arc<str>, MemberRecord>,
    /// Processes that gave their last order, and when that was first read.
    stopped: HashMap<(Arc<str>, u64), BootInstant>,
    /// Records that this entry wrote, with the time of its first order.
    taken: HashMap<UpstreamId, (HolderRecord, BootInstant)>,
}

/// A record and its store revision.
type Held = (HolderRecord, u64);

/// Looks after the engines until `stop`.
///
/// # Errors
/// None; failures of the store are waited out.
pub async fn hold<S: Store, O: OrderClient>(
    entry: Arc<Entry>,
    store: S,
    orders: O,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let mut holder = Holder {
        entry,
        store,
        orders,
        observer: LeaseObserver::new(TIMING),
        members: HashMap::new(),
        stopped: HashMap::new(),
        taken: HashMap::new(),
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = holder.run() => {}
    }
    lock(&holder.entry.controllers).clear();
    Ok(())
}

impl<S: Store, O: OrderClient> Holder<S, O> {
    async fn run(&mut self) {
        let begun = BootInstant::now();
        self.take_own_again().await;
        tokio::time::sleep(FIRST_LOOK.saturating_sub(BootInstant::now().since(begun))).await;
        loop {
            if self.entry.is_control_member()
                && let Err(e) = self.look(Scope::All).await
            {
                debug!("reading who holds what: {e}");
            }
            metrics::upstreams_held(lock(&self.entry.controllers).len());
            self.wait().await;
        }
    }

    /// Takes what an earlier process of this VM held, which nobody else may take yet, as soon as its lease is
    /// good and the engines are known.
    async fn take_own_again(&mut self) {
        let has_lease = || lock(&self.entry.order_lease).is_fresh(BootInstant::now());
        while !has_lease() || self.engines().is_empty() {
            tokio::time::sleep(LEASE_POLL).await;
        }
        if let Err(e) = self.look(Scope::Own).await {
            debug!("reading what an earlier process held: {e}");
        }
    }

    /// Waits until another look is due.
    async fn wait(&self) {
        let begun = BootInstant::now();
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.entry.registry_changed.notified() => {
                    tokio::time::sleep(MIN_LOOK).await;
                    return;
                }
            }
            let waited = BootInstant::now().since(begun);
            let order_lease = *lock(&self.entry.order_lease);
            let unconfirmed =
                order_lease.is_fresh(BootInstant::now()) && !order_lease.is_confirmed();
            let due = waited >= LOOK_INTERVAL && self.is_amiss();
            if unconfirmed || due || waited >= CALM_INTERVAL {
                return;
            }
        }
    }

    /// Whether some engine has no holder that is heard of.
    fn is_amiss(&self) -> bool {
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

    async fn look(&mut self, scope: Scope) -> Result<(), StoreError> {
        let sent = BootInstant::now();
        let members = self.store.list(ObjectKind::Members).await?;
        self.observe(&members, sent);
        let asked = BootInstant::now();
        let holders = self.store.list(ObjectKind::Holders).await?;
        let mut records: HashMap<UpstreamId, Held> = HashMap::new();
        for object in &holders.objects {
            if let Some(record) = read::<HolderRecord>(ObjectKind::Holders, object) {
                records.insert(Arc::from(object.name.as_str()), (record, object.revision));
            }
        }
        self.drop_lost(&records);
        lock(&self.entry.order_lease).confirmed(asked);
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

    fn observe(&mut self, listing: &Listing, sent: BootInstant) {
        let records = listing.objects.iter().filter_map(|object| {
            let record = read::<MemberRecord>(ObjectKind::Members, object)?;
            Some((Arc::<str>::from(object.name.as_str()), record))
        });
        self.members = records.collect();
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
        *lock(&self.entry.listed_links) = known;
    }

    /// Engines that are registered, those that are leaving included: they may need no orders, but have a holder.
    fn engines(&self) -> Vec<Arc<Registration>> {
        let registry = lock(&self.entry.registry);
        let table = self.entry.routes.load();
        let is_engine = |r: &&Arc<Registration>| {
            let service = table.deployment.service(&r.service);
            r.is_serving() && service.is_some_and(|s| s.engine.is_some())
        };
        registry.all().filter(is_engine).cloned().collect()
    }

    /// Closes controllers of engines that are gone, restarted, or held by somebody else.
    fn drop_lost(&mut self, records: &HashMap<UpstreamId, Held>) {
        let own = &self.entry.config.id;
        let incarnation = self.entry.incarnation;
        let mut controllers = lock(&self.entry.controllers);
        let registry = lock(&self.entry.registry);
        controllers.retain(|id, controller| {
            let same = registry
                .get(id)
                .is_some_and(|r| r.is_same_process(&controller.upstream));
            let ours = records.get(id).is_some_and(|(r, _)| {
                *r.holder == **own && r.incarnation == incarnation && r.generation == controller.generation
            });
            if !same || !ours {
                info!(upstream = &**id, generation = controller.generation, same_process = same, still_ours = ours; "placement: engine dropped");
            }
            same && ours
        });
    }

    fn is_own(&self, held: Option<&Held>) -> bool {
        held.is_some_and(|(record, _)| *record.holder == *self.entry.config.id)
    }

    async fn step(&mut self, engine: &Arc<Registration>, held: Option<&Held>) {
        let record = held.map(|(record, _)| record);
        let state = record.map_or(HolderState::Live, |r| self.state(r));
        let own = OwnProcess {
            name: &self.entry.config.id,
            incarnation: self.entry.incarnation,
        };
        match takeover::next_step(
            own,
            &engine.id,
            record,
            state,
            &self.entry.control.load().members,
        ) {
            TakeoverStep::Leave => {}
            TakeoverStep::Held => {
                if let Some(record) = record {
                    self.open(engine, record);
                }
            }
            TakeoverStep::Create => self.take(engine, 1, None).await,
            TakeoverStep::Replace(generation) => self.take(engine, generation, held).await,
        }
    }

    fn state(&self, record: &HolderRecord) -> HolderState {
        let process = (Arc::clone(&record.holder), record.incarnation);
        let since = self.stopped.get(&process);
        let now = BootInstant::now();
        let stopped = since.is_some_and(|since| now.since(*since) >= RETURN_WAIT);
        let lapsed = self.observer.is_expired(&record.holder, record.incarnation);
        if stopped || lapsed {
            HolderState::Ended
        } else {
            HolderState::Live
        }
    }

    async fn take(&mut self, engine: &Arc<Registration>, generation: u64, held: Option<&Held>) {
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
        let from = takeover::first_order_at(&self.entry.config.id, earlier, BootInstant::now());
        match written {
            Ok(_object) => {
                info!(upstream = &*engine.id, generation = generation, earlier = earlier.map_or("", |r| &*r.holder); "placement: engine taken over");
                self.inherit(earlier);
                self.taken
                    .insert(Arc::clone(&engine.id), (record.clone(), from));
                self.open(engine, &record);
            }
            Err(StoreError::Conflict(_)) => {
                debug!("{} was taken by somebody else", engine.id);
            }
            // The next look shows whether the write took effect.
            Err(e) => {
                warn!(upstream = &*engine.id, error:% = e; "taking an engine got no clear answer");
                self.taken.insert(Arc::clone(&engine.id), (record, from));
            }
        }
    }

    /// Takes over what the earlier holder left unanswered, as its record tells.
    fn inherit(&self, earlier: Option<&HolderRecord>) {
        if let Some(member) = earlier.and_then(|r| self.members.get(&r.holder)) {
            lock(&self.entry.late_orders).inherit(&member.late, BootInstant::now());
        }
    }

    /// Opens a controller for an engine that is ours, if there is none.
    fn open(&self, engine: &Arc<Registration>, record: &HolderRecord) {
        if lock(&self.entry.controllers).contains_key(&engine.id) {
            return;
        }
        let service = self.entry.service(&engine.service);
        let Some(spec) = service.and_then(|s| s.engine) else {
            return;
        };
        let noted = self.taken.get(&engine.id).filter(|(r, _)| r == record);
        let from = noted.map_or_else(BootInstant::now, |(_, from)| *from);
        let handle = controller::open(
            &self.entry,
            &self.orders,
            engine,
            &spec,
            record.generation,
            from,
        );
        lock(&self.entry.controllers).insert(Arc::clone(&engine.id), handle);
    }
}

/// Reads one of our own records.
fn read<T: serde::de::DeserializeOwned>(kind: ObjectKind, object: &Object) -> Option<T> {
    match T::deserialize(&object.content) {
        Ok(record) => Some(record),
        Err(e) => {
            warn!(kind:? = kind, name = object.name, error:% = e; "a record can't be read");
            None
        }
    }
}
