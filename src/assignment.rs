//! Decides which upstreams this dispatcher takes, hands over and releases.

use crate::{
    authority::TakeoverKind,
    catalogue::Fencing,
    clock::BootInstant,
    dispatcher::Context,
    fleet::{Holder, UpstreamRecord, Versioned, upstream_key},
    holding::{Holding, Spec, lock},
    ident::{DispatcherId, ModelRef, UpstreamId, rendezvous},
    object_api::{Condition, ObjectError, Version},
    outage,
    scheduler::{Mode, UpstreamCapacity},
    vm_list::VmState,
};
use log::{info, warn};
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Interval between two looks at the fleet.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Looks that an upstream stays free before any dispatcher may take it.
const FREE_LOOKS: u32 = 3;

/// Looks that another dispatcher must be preferred before an upstream is handed over to it.
const MOVE_LOOKS: u32 = 5;

/// Interval between two changes of a stable set.
const STABLE_INTERVAL: Duration = Duration::from_secs(5);

/// One slot in this many may be in the stable set; the others take cold adapters without a write.
const STABLE_SHARE: usize = 2;

/// Longest wait for a handed-over upstream to finish.
const DRAIN_LIMIT: Duration = Duration::from_secs(125);

/// Interval between looks at a draining upstream.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Who an upstream is taken from, with their generation.
pub type PreviousHolder = Option<(Holder, u64)>;

/// Counts of consecutive looks, by upstream.
#[derive(Debug, Default)]
struct Looks {
    free: HashMap<UpstreamId, u32>,
    elsewhere: HashMap<UpstreamId, u32>,
}

/// Looks at the fleet at intervals until `stop`.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let mut looks = Looks::default();
    while !stop.is_cancelled() {
        let sent = BootInstant::now();
        match context.api.list(crate::fleet::FLEET_PREFIX).await {
            Ok(listing) => {
                lock(&context.fleet).update(&listing, sent, BootInstant::now());
                context.subscribe_to_peers();
                look(&context, &mut looks).await;
            }
            Err(e) => {
                warn!("reading the fleet: {e}");
                outage::resume(&context).await;
            }
        }
        write_stable_sets(&context).await;
        tokio::select! {
            () = stop.cancelled() => {}
            () = context.poll_now.notified() => {}
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
        }
    }
}

async fn look(context: &Arc<Context>, looks: &mut Looks) {
    drop_lost(context);
    mark_stopped(context).await;
    let mut moved = false;
    for spec in context.specs() {
        let held = context.holding(&spec.id);
        let preferred = preferred(context, &spec);
        let mine = preferred.as_deref() == Some(&*context.id());
        match held {
            Some(holding) if !mine && !context.is_leaving() => {
                let count = looks.elsewhere.entry(Arc::clone(&spec.id)).or_insert(0);
                *count += 1;
                if *count >= MOVE_LOOKS && !moved && !holding.core().is_leaving() {
                    moved = true;
                    info!(upstream = &*spec.id, to:? = preferred; "placement: hand over");
                    tokio::spawn(hand_over(Arc::clone(context), holding));
                }
            }
            Some(holding) => {
                looks.elsewhere.remove(&spec.id);
                confirm(context, &holding).await;
            }
            None if !context.is_leaving() && context.is_registered() => {
                consider(context, &spec, mine, &mut looks.free).await;
            }
            None => {}
        }
    }
}

/// Takes an upstream that nobody holds, if it is this dispatcher's turn.
async fn consider(
    context: &Arc<Context>,
    spec: &Spec,
    mine: bool,
    free: &mut HashMap<UpstreamId, u32>,
) {
    let known = lock(&context.fleet).upstreams.get(&spec.id).cloned();
    let Some(origin) = claimable(context, known.as_ref()) else {
        free.remove(&spec.id);
        return;
    };
    let count = free.entry(Arc::clone(&spec.id)).or_insert(0);
    *count += 1;
    if mine || *count > FREE_LOOKS {
        claim(context, spec, known, origin).await;
    }
}

/// Writes the record of an upstream that was taken up without one during an outage.
async fn confirm(context: &Context, holding: &Holding) {
    let known = lock(&context.fleet)
        .upstreams
        .get(&holding.spec.id)
        .cloned();
    let behind = |k: &Versioned<UpstreamRecord>| k.record.generation < holding.generation;
    let Some(mut known) = known.filter(behind) else {
        return;
    };
    known.record.holder = Some(context.as_holder());
    known.record.generation = holding.generation;
    known.record.write = rand::random();
    let condition = Condition::At(known.version);
    let written = write_record(context, &known.record, condition).await;
    info!(upstream = &*holding.spec.id, generation = holding.generation, written:? = written; "placement: confirm");
    if let Ok(version) = written {
        known.version = version;
        let id = Arc::clone(&holding.spec.id);
        lock(&context.fleet).upstreams.insert(id, known);
    }
}

/// How the upstream can be taken; `None` if its holder may still act.
fn claimable(context: &Context, known: Option<&Versioned<UpstreamRecord>>) -> Option<TakeoverKind> {
    let Some(known) = known else {
        return Some(TakeoverKind::Clean);
    };
    let Some(holder) = &known.record.holder else {
        return Some(TakeoverKind::Clean);
    };
    let own = holder.id == context.id();
    if own && holder.incarnation == context.incarnation {
        // Taken by a write whose answer was lost, or dropped since.
        return Some(TakeoverKind::Replaced);
    }
    if own && holder.link == context.config.link {
        return Some(TakeoverKind::Replaced);
    }
    let gone = context.was_delisted(&holder.id);
    let fleet = lock(&context.fleet);
    if fleet.is_replaced(holder) || gone {
        return Some(TakeoverKind::Replaced);
    }
    fleet.is_lapsed(holder).then_some(TakeoverKind::Forced)
}

async fn claim(
    context: &Arc<Context>,
    spec: &Spec,
    known: Option<Versioned<UpstreamRecord>>,
    origin: TakeoverKind,
) {
    let before = known.as_ref().map(|k| &k.record);
    let record = UpstreamRecord {
        id: Arc::clone(&spec.id),
        holder: Some(context.as_holder()),
        generation: outage::next_generation(before.map_or(0, |r| r.generation)),
        fencing: spec.fencing,
        stable: before.map(|r| r.stable.clone()).unwrap_or_default(),
        write: rand::random(),
    };
    let condition = known
        .as_ref()
        .map_or(Condition::Absent, |k| Condition::At(k.version));
    let version = match write_record(context, &record, condition).await {
        Ok(version) => version,
        Err(e) => {
            info!(upstream = &*spec.id; "placement: claim not made: {e}");
            return;
        }
    };
    let earlier = before.and_then(|r| r.holder.clone().map(|h| (h, r.generation)));
    let (generation, id) = (record.generation, Arc::clone(&spec.id));
    info!(upstream = &*id, generation = generation, origin:? = origin, earlier:? = earlier; "placement: claim");
    lock(&context.fleet).upstreams.insert(
        id,
        Versioned {
            version,
            record: record.clone(),
        },
    );
    let stable = record.stable.into_iter().collect();
    context.take(spec.clone(), generation, origin, stable, earlier);
}

/// Writes an upstream's record; a lost answer is settled by reading back.
async fn write_record(
    context: &Context,
    record: &UpstreamRecord,
    condition: Condition,
) -> Result<Version, ObjectError> {
    let key = upstream_key(&record.id);
    match context.api.put(&key, record, condition).await {
        Err(ObjectError::Unknown) => read_back(context, &key, record.write).await,
        result => result,
    }
}

async fn read_back(context: &Context, key: &str, write: u64) -> Result<Version, ObjectError> {
    let stored = context.api.get(key).await?.ok_or(ObjectError::Conflict)?;
    let record: UpstreamRecord = stored.parse()?;
    if record.write == write {
        Ok(stored.version)
    } else {
        Err(ObjectError::Conflict)
    }
}

/// The dispatcher that should hold the upstream: in its data centre if there is one, by rendezvous.
fn preferred(context: &Context, spec: &Spec) -> Option<DispatcherId> {
    let fleet = lock(&context.fleet);
    let near: Vec<_> = fleet
        .eligible()
        .filter(|r| *r.data_centre == *spec.data_centre)
        .collect();
    let pool = if near.is_empty() {
        fleet.eligible().collect()
    } else {
        near
    };
    rendezvous(&spec.id, &pool, |r| &r.id)
        .first()
        .map(|r| Arc::clone(&r.id))
}

/// Drops what others hold by now.
fn drop_lost(context: &Context) {
    let fleet = lock(&context.fleet);
    for holding in context.holdings() {
        let known = fleet.upstreams.get(&holding.spec.id);
        let other = known.is_some_and(|k| k.record.generation > holding.generation);
        if other {
            holding.mark_lost("the record has a later generation");
        }
        if holding.authority().is_lost() {
            context.drop_holding(&holding);
        }
    }
}

/// Notes which earlier holders are known to have stopped.
async fn mark_stopped(context: &Arc<Context>) {
    for holding in context.holdings() {
        if !holding.authority().awaits_earlier_holder() {
            continue;
        }
        let Some((earlier, _)) = context.previous_holder(&holding.spec.id) else {
            continue;
        };
        let replaced = lock(&context.fleet).is_replaced(&earlier);
        if replaced || context.was_delisted(&earlier.id) {
            previous_holder_stopped(&holding).await;
        }
    }
}

/// Gives the holding full use, now that the earlier holder can't act any more.
pub async fn previous_holder_stopped(holding: &Arc<Holding>) {
    info!(upstream = &*holding.spec.id; "placement: the earlier holder has stopped");
    holding.authority().earlier_holder_stopped();
    holding.adopt().await;
}

/// Stops new requests, lets the rest finish, and releases the upstream.
///
/// Returns whether the record shows the release.
pub async fn hand_over(context: Arc<Context>, holding: Arc<Holding>) -> bool {
    holding.core().leave();
    holding.pump();
    context.changed.notify_waiters();
    let started = BootInstant::now();
    while !holding.core().is_idle() && BootInstant::now().since(started) < DRAIN_LIMIT {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    if !holding.core().is_idle() {
        warn!(upstream = &*holding.spec.id; "not idle within the limit");
        return false;
    }
    holding.mark_lost("released");
    let released = release(&context, &holding).await;
    context.drop_holding(&holding);
    released
}

async fn release(context: &Context, holding: &Holding) -> bool {
    let id = &holding.spec.id;
    let known = lock(&context.fleet).upstreams.get(id).cloned();
    let Some(mut known) = known.filter(|k| k.record.generation == holding.generation) else {
        return true;
    };
    known.record.holder = None;
    known.record.write = rand::random();
    let condition = Condition::At(known.version);
    let written = write_record(context, &known.record, condition).await;
    match written {
        Ok(_) => info!(upstream = &**id, generation = holding.generation; "placement: release"),
        Err(e) => warn!(upstream = &**id; "release: {e}"),
    }
    written.is_ok()
}

/// Writes the stable sets of upstreams that ignore fencing numbers, where they should change.
async fn write_stable_sets(context: &Context) {
    for holding in context.holdings() {
        let due = context.stable_due(&holding.spec.id, STABLE_INTERVAL);
        if holding.spec.fencing == Fencing::Ignored && due && holding.mode() == Mode::Full {
            write_stable_set(context, &holding).await;
        }
    }
}

async fn write_stable_set(context: &Context, holding: &Holding) {
    let count = holding.spec.size.slots / STABLE_SHARE;
    let (old, new) = {
        let core = holding.core();
        (
            core.stable().clone(),
            core.select_stable(count, BootInstant::now()),
        )
    };
    let known = lock(&context.fleet)
        .upstreams
        .get(&holding.spec.id)
        .cloned();
    let Some(mut known) = known.filter(|k| k.record.generation == holding.generation) else {
        return;
    };
    let recorded: BTreeSet<ModelRef> = known.record.stable.iter().cloned().collect();
    if old == new && recorded == new {
        return;
    }
    // Neither the old nor the new adapters may be evicted while it is unclear which set is recorded.
    let both = old.union(&new).chain(&recorded).cloned().collect();
    holding.core().set_stable(both);
    known.record.stable = new.iter().cloned().collect();
    known.record.write = rand::random();
    let condition = Condition::At(known.version);
    let written = write_record(context, &known.record, condition).await;
    match written {
        Ok(version) => {
            holding.core().set_stable(new);
            let record = known.record;
            let id = Arc::clone(&holding.spec.id);
            lock(&context.fleet)
                .upstreams
                .insert(id, Versioned { version, record });
        }
        Err(e) => info!(upstream = &*holding.spec.id; "stable set not written: {e}"),
    }
}

/// The upstreams that the VM list and the catalogue together describe.
pub fn specs(context: &Context) -> Vec<(Spec, VmState)> {
    let catalogue = context.catalogue.current();
    let listed = lock(&context.vms);
    let known = listed.vms.iter().filter_map(|vm| {
        let pool = catalogue.pools.get(&vm.pool)?;
        let spec = Spec {
            id: UpstreamId::from(vm.id.as_str()),
            address: vm.address,
            data_centre: Arc::from(vm.data_centre.as_str()),
            pool: Arc::from(vm.pool.as_str()),
            kind: pool.kind,
            fencing: pool.fencing,
            size: UpstreamCapacity {
                slots: pool.slots as usize,
                batch: pool.batch as usize,
            },
        };
        Some((spec, vm.state))
    });
    known.collect()
}
