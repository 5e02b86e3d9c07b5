//! Decides which upstreams this dispatcher claims, hands over and releases.

use crate::{
    authority::TakeoverKind,
    catalogue::Fencing,
    clock::BootInstant,
    dispatcher::Context,
    fleet::{Holder, UpstreamRecord, Versioned, upstream_key},
    holding::{Holding, UpstreamSpec, lock},
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

/// Interval between two polls of the fleet records.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive polls that find an upstream free before a dispatcher that is not preferred may claim it.
const FREE_POLLS: u32 = 3;

/// Consecutive polls that prefer another dispatcher before an upstream is handed over to it.
const HAND_OVER_POLLS: u32 = 5;

/// Minimum interval between two changes of a stable set.
const STABLE_INTERVAL: Duration = Duration::from_secs(5);

/// Divisor of the slot count that gives the size of the stable set; the other slots take cold adapters without a write.
const STABLE_SHARE: usize = 2;

/// Maximum time for the requests of a handed-over upstream to finish.
const DRAIN_LIMIT: Duration = Duration::from_secs(125);

/// Interval between checks of a draining upstream.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Earlier holder of an upstream and its generation.
pub type EarlierHolder = Option<(Holder, u64)>;

/// Counts of consecutive polls, by upstream.
#[derive(Debug, Default)]
struct PollCounts {
    free: HashMap<UpstreamId, u32>,
    preferred_elsewhere: HashMap<UpstreamId, u32>,
}

/// Polls the fleet and reconciles this dispatcher's upstreams with it until `stop`.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let mut counts = PollCounts::default();
    while !stop.is_cancelled() {
        let sent = BootInstant::now();
        match context.api.list(crate::fleet::FLEET_PREFIX).await {
            Ok(listing) => {
                lock(&context.fleet).update(&listing, sent, BootInstant::now());
                context.subscribe_to_peers();
                reconcile(&context, &mut counts).await;
            }
            Err(e) => {
                warn!("cannot read the fleet: {e}");
                outage::resume(&context).await;
            }
        }
        write_stable_sets(&context).await;
        tokio::select! {
            () = stop.cancelled() => {}
            () = context.poll_now.notified() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

async fn reconcile(context: &Arc<Context>, counts: &mut PollCounts) {
    drop_superseded(context);
    check_earlier_holders(context).await;
    let mut handing_over = false;
    for spec in context.live_specs() {
        let held = context.holding(&spec.id);
        let preferred = preferred(context, &spec);
        let is_preferred = preferred.as_deref() == Some(&*context.id());
        match held {
            Some(holding) if !is_preferred && !context.is_leaving() => {
                let count = counts
                    .preferred_elsewhere
                    .entry(Arc::clone(&spec.id))
                    .or_insert(0);
                *count += 1;
                if *count >= HAND_OVER_POLLS && !handing_over && !holding.scheduler().is_leaving() {
                    handing_over = true;
                    info!(upstream = &*spec.id, to:? = preferred; "placement: hand over");
                    tokio::spawn(hand_over(Arc::clone(context), holding));
                }
            }
            Some(holding) => {
                counts.preferred_elsewhere.remove(&spec.id);
                confirm(context, &holding).await;
            }
            None if !context.is_leaving() && context.is_registered() => {
                claim_if_free(context, &spec, is_preferred, &mut counts.free).await;
            }
            None => {}
        }
    }
}

/// Claims an upstream that is free if this dispatcher is preferred or no other one has claimed it for some polls.
async fn claim_if_free(
    context: &Arc<Context>,
    spec: &UpstreamSpec,
    is_preferred: bool,
    free: &mut HashMap<UpstreamId, u32>,
) {
    let known = lock(&context.fleet).upstreams.get(&spec.id).cloned();
    let Some(takeover) = takeover_kind(context, known.as_ref()) else {
        free.remove(&spec.id);
        return;
    };
    let count = free.entry(Arc::clone(&spec.id)).or_insert(0);
    *count += 1;
    if is_preferred || *count > FREE_POLLS {
        claim(context, spec, known, takeover).await;
    }
}

/// Writes the record of an upstream that was resumed without one during an outage.
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

/// Returns how the upstream can be claimed; `None` if its holder may still send orders.
fn takeover_kind(
    context: &Context,
    known: Option<&Versioned<UpstreamRecord>>,
) -> Option<TakeoverKind> {
    let Some(known) = known else {
        return Some(TakeoverKind::Clean);
    };
    let Some(holder) = &known.record.holder else {
        return Some(TakeoverKind::Clean);
    };
    let own = holder.id == context.id();
    if own && holder.incarnation == context.incarnation {
        // Claimed by a write whose response was lost, or dropped since.
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
    fleet.is_expired(holder).then_some(TakeoverKind::Forced)
}

async fn claim(
    context: &Arc<Context>,
    spec: &UpstreamSpec,
    known: Option<Versioned<UpstreamRecord>>,
    takeover: TakeoverKind,
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
            info!(upstream = &*spec.id; "placement: claim failed: {e}");
            return;
        }
    };
    let earlier_holder = before.and_then(|r| r.holder.clone().map(|h| (h, r.generation)));
    let (generation, id) = (record.generation, Arc::clone(&spec.id));
    info!(upstream = &*id, generation = generation, origin:? = takeover, earlier:? = earlier_holder; "placement: claim");
    lock(&context.fleet).upstreams.insert(
        id,
        Versioned {
            version,
            record: record.clone(),
        },
    );
    let stable = record.stable.into_iter().collect();
    context.start_holding(spec.clone(), generation, takeover, stable, earlier_holder);
}

/// Writes an upstream's record; reads it back if the response was lost.
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

/// Returns the dispatcher that should hold the upstream, by rendezvous hashing: in its data centre if there is one.
fn preferred(context: &Context, spec: &UpstreamSpec) -> Option<DispatcherId> {
    let fleet = lock(&context.fleet);
    let local: Vec<_> = fleet
        .eligible()
        .filter(|r| *r.data_centre == *spec.data_centre)
        .collect();
    let candidates = if local.is_empty() {
        fleet.eligible().collect()
    } else {
        local
    };
    rendezvous(&spec.id, &candidates, |r| &r.id)
        .first()
        .map(|r| Arc::clone(&r.id))
}

/// Drops upstreams that another dispatcher holds by now.
fn drop_superseded(context: &Context) {
    let fleet = lock(&context.fleet);
    for holding in context.holdings() {
        let known = fleet.upstreams.get(&holding.spec.id);
        let other = known.is_some_and(|k| k.record.generation > holding.generation);
        if other {
            holding.mark_lost("the record has a higher generation");
        }
        if holding.authority().is_lost() {
            context.drop_holding(&holding);
        }
    }
}

/// Checks which earlier holders are known to have stopped.
async fn check_earlier_holders(context: &Arc<Context>) {
    for holding in context.holdings() {
        if !holding.authority().awaits_earlier_holder() {
            continue;
        }
        let Some((earlier, _)) = context.earlier_holder(&holding.spec.id) else {
            continue;
        };
        let replaced = lock(&context.fleet).is_replaced(&earlier);
        if replaced || context.was_delisted(&earlier.id) {
            earlier_holder_stopped(&holding).await;
        }
    }
}

/// Allows full use of the upstream, now that the earlier holder can't send orders any more.
pub async fn earlier_holder_stopped(holding: &Arc<Holding>) {
    info!(upstream = &*holding.spec.id; "placement: the earlier holder has stopped");
    holding.authority().earlier_holder_stopped();
    holding.sync_engine().await;
}

/// Stops new requests, waits for those in flight, and releases the upstream.
///
/// Returns whether the record shows the release.
pub async fn hand_over(context: Arc<Context>, holding: Arc<Holding>) -> bool {
    holding.scheduler().leave();
    holding.schedule();
    context.changed.notify_waiters();
    let started = BootInstant::now();
    while !holding.scheduler().is_idle() && BootInstant::now().since(started) < DRAIN_LIMIT {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    if !holding.scheduler().is_idle() {
        warn!(upstream = &*holding.spec.id; "requests still in flight after the drain limit; not released");
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
        Err(e) => warn!(upstream = &**id; "cannot write the release: {e}"),
    }
    written.is_ok()
}

/// Writes the stable sets that have changed, of upstreams that ignore fencing numbers.
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
        let scheduler = holding.scheduler();
        (
            scheduler.stable().clone(),
            scheduler.select_stable(count, BootInstant::now()),
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
    // Neither the old nor the new adapters may be evicted while it is unknown which set is recorded.
    let both = old.union(&new).chain(&recorded).cloned().collect();
    holding.scheduler().set_stable(both);
    known.record.stable = new.iter().cloned().collect();
    known.record.write = rand::random();
    let condition = Condition::At(known.version);
    let written = write_record(context, &known.record, condition).await;
    match written {
        Ok(version) => {
            holding.scheduler().set_stable(new);
            let record = known.record;
            let id = Arc::clone(&holding.spec.id);
            lock(&context.fleet)
                .upstreams
                .insert(id, Versioned { version, record });
        }
        Err(e) => info!(upstream = &*holding.spec.id; "cannot write the stable set: {e}"),
    }
}

/// Returns the upstreams that the VM list and the catalogue together describe.
pub fn specs(context: &Context) -> Vec<(UpstreamSpec, VmState)> {
    let catalogue = context.catalogue.current();
    let listed = lock(&context.vms);
    let known = listed.vms.iter().filter_map(|vm| {
        let pool = catalogue.pools.get(&vm.pool)?;
        let spec = UpstreamSpec {
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
