//! Adapter slots of one engine: what is resident, what is loading, and what to evict.
//!
//! | load pattern | response |
//! |---|---|
//! | many requests arrive for a cold adapter at once | they share one load |
//! | a few adapters are hot and the rest come and go | the adapter with the lowest request rate is evicted, never one in use |
//! | a miss must not wait for an eviction first | some slots are kept free in advance |
//! | an order without a response may be executed later | its slot stays reserved for as long as that can happen; then the adapter is evicted again, because nothing tells whether the order was executed |
//! | versions follow each other while orders get no response | each version that the engine may hold or load takes a slot of its own |
//! | an engine replaces a version | the older one keeps its slot until the load ends, also if the load fails or its order got no response |
//! | a holder starts while loads of an earlier one are under way | they occupy slots that can't be freed before they end |
//! | an engine lacks an adapter that it should hold | its slot stays occupied until the adapter is evicted, as the report may be older than the last load |
//! | an engine's memory is smaller than its slots | it counts as an engine with as many slots as adapters fit beside the weights of its base models |
//! | an engine holds an adapter that this holder did not order, from an earlier holder's late order | the engine's own list shows it, and it occupies a slot like any other |

use crate::{
    clock::BootInstant,
    decide::reservations::{CopyVersion, LateExecution, Reservations},
    edge::{deployment::EngineSpec, registration::AdapterKey},
};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Concurrent loads that the platform allows on one engine.
pub const MAX_CONCURRENT_LOADS: usize = 4;

/// Most slots kept free in advance; about the misses within one load time on a busy engine.
const MAX_SPARE_SLOTS: usize = 2;

/// Slots for each slot kept free in advance; smaller engines keep none.
const SLOTS_PER_SPARE: usize = 8;

/// Minimum residency after a load, so that the requests that waited for the adapter find it: entries announce their
/// requests to each other within 200 ms.
const MIN_RESIDENCY: Duration = Duration::from_millis(250);

/// Time after an eviction for which the engine's own list, which lags behind, may still name the adapter.
const MAX_LIST_AGE: Duration = Duration::from_secs(4);

/// Half-life of an adapter's request rate.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Adapters that an engine still has in its host memory after their eviction, at least.
const HOST_ADAPTERS: usize = 24;

/// Version of an adapter that is evicted although it is not known which version the engine holds, if any; real ones are above.
const UNKNOWN_VERSION: u32 = 0;

/// State of an occupied slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotState {
    /// The adapter is being loaded.
    Loading,
    /// The adapter is ready.
    Resident,
    /// The adapter is being evicted.
    Evicting,
}

/// Slot occupied by an adapter.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    /// Version that is resident or loading; [`UNKNOWN_VERSION`] if an adapter is evicted of which any may be held.
    pub version: u32,
    /// State.
    pub state: SlotState,
    since: BootInstant,
    /// Older version that keeps a second slot until the load ends.
    replaces: Option<u32>,
    /// Whether the engine may hold another version in place of this one, as a late order has brought it.
    is_doubtful: bool,
}

impl Slot {
    fn new(version: u32, state: SlotState, since: BootInstant) -> Self {
        Self {
            version,
            state,
            since,
            replaces: None,
            is_doubtful: false,
        }
    }

    /// Returns whether the engine's copy of `version` is one that this slot stands for.
    fn has_copy(&self, version: CopyVersion) -> bool {
        version.is_some_and(|v| v == self.version || Some(v) == self.replaces)
    }

    /// Returns the number of copies at the engine.
    fn copies(&self) -> usize {
        1 + usize::from(self.replaces.is_some())
    }

    /// Returns the version, where it is known.
    fn known_version(&self) -> CopyVersion {
        let is_known = self.version != UNKNOWN_VERSION && !self.is_doubtful;
        is_known.then_some(self.version)
    }
}

/// Exponentially decayed count of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    count: f64,
    at: BootInstant,
}

impl Demand {
    fn at(self, now: BootInstant) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.count * (-halvings).exp2()
    }
}

/// Next step for a requested adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Plan {
    /// The adapter is resident.
    Ready,
    /// Wait for its load, or for another load or eviction.
    Wait,
    /// Order its load; a slot was reserved.
    Load,
    /// Order this eviction first.
    Evict(AdapterKey),
    /// All slots are in use.
    Full,
}

/// Returns how many adapters an engine can hold that has loaded the given base models: it crashes if it is ordered to load more
/// than its slots or its memory hold.
pub fn adapter_slots(spec: &EngineSpec, has_model: impl Fn(&str) -> bool) -> usize {
    let loaded = || spec.models.iter().filter(|m| has_model(&m.name));
    let weights: f64 = loaded().map(|m| m.weights_mb).sum();
    let largest = loaded().map(|m| m.adapter_mb).fold(0.0, f64::max);
    let slots = spec.adapter_slots as usize;
    if largest > 0.0 {
        slots.min(((spec.capacity_mb - weights) / largest) as usize)
    } else {
        slots
    }
}

/// Adapter slots of one engine process.
#[derive(Debug)]
pub struct Residency {
    slots: usize,
    occupied: HashMap<AdapterKey, Slot>,
    demand: HashMap<AdapterKey, Demand>,
    /// Orders that got no response.
    late: Reservations,
    /// Adapters that were loaded last, the latest first.
    recent: VecDeque<AdapterKey>,
    /// Time of recent evictions.
    evicted: HashMap<AdapterKey, BootInstant>,
}

impl Residency {
    /// Returns an engine with `slots` free slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            occupied: HashMap::new(),
            demand: HashMap::new(),
            late: Reservations::default(),
            recent: VecDeque::new(),
            evicted: HashMap::new(),
        }
    }

    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Adds an adapter that the engine reports as resident.
    pub fn add(&mut self, key: AdapterKey, version: u32, now: BootInstant) {
        let slot = Slot::new(version, SlotState::Resident, now);
        self.occupied.entry(key).or_insert(slot);
    }

    /// Adds an adapter that the engine reports as loading, beside any older version that it holds; returns whether the
    /// end of the load is to be observed.
    pub fn add_loading(&mut self, key: &AdapterKey, version: u32, now: BootInstant) -> bool {
        let before = self.occupied.get(key);
        if before.is_some_and(|slot| slot.has_copy(Some(version))) {
            return false;
        }
        if before.is_some_and(|slot| slot.state != SlotState::Resident || slot.version > version) {
            let copy = (Some(version), None);
            self.late.add(key, copy, LateExecution::UnderWay, now);
            return false;
        }
        self.begin_load(key, version, now);
        true
    }

    /// Merges the engine's own list, which may be seconds old: adapters not known here are added. Returns those
    /// adapters.
    pub fn merge_list<'a>(
        &mut self,
        adapters: impl Iterator<Item = (&'a AdapterKey, u32)>,
        now: BootInstant,
    ) -> Vec<AdapterKey> {
        self.evicted.retain(|_, at| now.since(*at) < MAX_LIST_AGE);
        let mut unknown = Vec::new();
        for (key, version) in adapters {
            let is_known = self.occupied.contains_key(key)
                || self.late.contains(key)
                || self.evicted.contains_key(key);
            if !is_known {
                self.add(key.clone(), version, now);
                unknown.push(key.clone());
            }
        }
        unknown
    }

    /// Adds an adapter that the engine's report names as held. The report shows what became of orders that this holder does
    /// not know of, so that it counts in any case: an adapter that was evicted a moment ago may have been loaded again.
    pub fn add_reported(&mut self, key: &AdapterKey, version: u32, now: BootInstant) {
        let is_evicted = self.evicted.get(key);
        let is_evicted = is_evicted.is_some_and(|at| now.since(*at) < MAX_LIST_AGE);
        match self.occupied.get_mut(key) {
            Some(slot) if slot.has_copy(Some(version)) => {}
            // The engine holds one version, beside those that are loading.
            Some(slot) if slot.state == SlotState::Loading => slot.replaces = Some(version),
            Some(slot) => slot.is_doubtful = true,
            None if self.late.versions(key).contains(&Some(version)) => {}
            None if is_evicted || self.late.contains(key) => {
                self.late.add_due(key, version, now);
            }
            None => self.add(key.clone(), version, now),
        }
    }

    /// Counts requests for an adapter.
    pub fn record_requests(&mut self, key: &AdapterKey, times: u32, now: BootInstant) {
        let demand = self.demand.entry(key.clone()).or_default();
        demand.count = demand.at(now) + f64::from(times);
        demand.at = now;
    }

    /// Plans for a request for `key` at `version` or newer; `in_use` tells whether running requests use an adapter.
    pub fn plan(
        &mut self,
        key: &AdapterKey,
        version: u32,
        now: BootInstant,
        in_use: impl Fn(&AdapterKey) -> bool,
    ) -> Plan {
        let taken = self.used_slots();
        let is_counted = self.late.versions(key).contains(&Some(version));
        match self.occupied.get(key) {
            Some(slot) if slot.state == SlotState::Resident && slot.version >= version => {
                Plan::Ready
            }
            Some(slot) if slot.state != SlotState::Resident => Plan::Wait,
            // An engine replaces a version only once the requests that use it have ended.
            Some(_) if in_use(key) => Plan::Full,
            _ if self.loading_count() >= MAX_CONCURRENT_LOADS => Plan::Wait,
            _ if is_counted || taken < self.slots => self.begin_load(key, version, now),
            _ => self.make_room(now, in_use),
        }
    }

    /// Returns the eviction that keeps spare slots free, if one is due, and marks it as started.
    pub fn plan_spare_slot(
        &mut self,
        now: BootInstant,
        in_use: impl Fn(&AdapterKey) -> bool,
    ) -> Option<AdapterKey> {
        let evicting = self.count(SlotState::Evicting);
        let spare = (self.slots / SLOTS_PER_SPARE).min(MAX_SPARE_SLOTS);
        if self.used_slots() + spare <= self.slots + evicting {
            return None;
        }
        self.begin_evict(now, in_use)
    }

    /// Returns adapters whose late orders can't be executed any more, to be evicted again; marks them as evicting.
    pub fn plan_late_evictions(&mut self, now: BootInstant) -> Vec<AdapterKey> {
        let mut absent = Vec::new();
        for key in self.late.due(now) {
            match self.occupied.get_mut(&key) {
                Some(slot) if slot.state == SlotState::Resident => {
                    let versions = self.late.remove(&key);
                    slot.is_doubtful |= versions.iter().any(|v| *v != Some(slot.version));
                }
                // Until its order ends, the engine may have a copy that a late order left, beside that of the slot.
                Some(_) => {}
                None => {
                    self.late.remove(&key);
                    let slot = Slot::new(UNKNOWN_VERSION, SlotState::Evicting, now);
                    self.occupied.insert(key.clone(), slot);
                    absent.push(key);
                }
            }
        }
        absent
    }

    fn begin_load(&mut self, key: &AdapterKey, version: u32, now: BootInstant) -> Plan {
        let slot = Slot {
            replaces: self.occupied.get(key).map(|slot| slot.version),
            ..Slot::new(version, SlotState::Loading, now)
        };
        self.occupied.insert(key.clone(), slot);
        Plan::Load
    }

    fn make_room(&mut self, now: BootInstant, in_use: impl Fn(&AdapterKey) -> bool) -> Plan {
        if self.count(SlotState::Evicting) > 0 {
            return Plan::Wait;
        }
        let soon = self.loading_count() > 0 || self.idle(&in_use).next().is_some();
        match self.begin_evict(now, in_use) {
            Some(victim) => Plan::Evict(victim),
            None if soon => Plan::Wait,
            None => Plan::Full,
        }
    }

    /// Returns the adapters whose eviction would free a slot.
    fn idle(
        &self,
        in_use: &impl Fn(&AdapterKey) -> bool,
    ) -> impl Iterator<Item = (&AdapterKey, &Slot)> {
        self.occupied.iter().filter(|(key, slot)| {
            // Evicting an adapter that a late order may load again would free no slot.
            slot.state == SlotState::Resident && !self.late.contains(key) && !in_use(key)
        })
    }

    /// Marks the idle adapter with the lowest request rate as being evicted.
    fn begin_evict(
        &mut self,
        now: BootInstant,
        in_use: impl Fn(&AdapterKey) -> bool,
    ) -> Option<AdapterKey> {
        let rate = |key: &AdapterKey| self.demand.get(key).map_or(0.0, |d| d.at(now));
        let idle = self.idle(&in_use);
        let evictable = idle.filter(|(_, slot)| now.since(slot.since) >= MIN_RESIDENCY);
        let victim = evictable.min_by(|a, b| {
            let by_rate = rate(a.0).total_cmp(&rate(b.0));
            by_rate
                .then_with(|| a.1.since.cmp(&b.1.since))
                .then_with(|| a.0.cmp(b.0))
        });
        let key = victim.map(|(key, _)| key.clone())?;
        if let Some(slot) = self.occupied.get_mut(&key) {
            slot.state = SlotState::Evicting;
        }
        Some(key)
    }

    /// Returns whether a load of `key` would use the weight store: it has no slot and is not in the engine's host memory.
    pub fn needs_store(&self, key: &AdapterKey) -> bool {
        !self.occupied.contains_key(key) && !self.recent.contains(key)
    }

    /// Returns the number of loads under way.
    pub fn loading_count(&self) -> usize {
        self.count(SlotState::Loading)
    }

    /// Returns whether `key` is being loaded.
    pub fn is_loading(&self, key: &AdapterKey) -> bool {
        let slot = self.occupied.get(key);
        slot.is_some_and(|slot| slot.state == SlotState::Loading)
    }

    /// Records that `key` was loaded.
    pub fn load_succeeded(&mut self, key: &AdapterKey, version: u32, now: BootInstant) {
        self.recent.retain(|recent| recent != key);
        self.recent.push_front(key.clone());
        self.recent.truncate(self.slots + HOST_ADAPTERS);
        let slot = Slot::new(version, SlotState::Resident, now);
        self.occupied.insert(key.clone(), slot);
        self.late.drop_older(key);
    }

    /// Records that the load of `key` was given up; `late` tells whether it may still be executed.
    pub fn load_failed(&mut self, key: &AdapterKey, late: LateExecution, now: BootInstant) {
        let Some(slot) = self.occupied.remove(key) else {
            return;
        };
        match slot.replaces {
            _ if late != LateExecution::Never => {
                let copies = (slot.known_version(), slot.replaces);
                self.late.add(key, copies, late, now);
            }
            Some(version) => self.add(key.clone(), version, now),
            None => {}
        }
    }

    /// Records that an order for `key` at `version` got no response, even if a later one did; the first may still be executed.
    pub fn mark_late_order(
        &mut self,
        key: &AdapterKey,
        version: CopyVersion,
        late: LateExecution,
        now: BootInstant,
    ) {
        self.late.add(key, (version, None), late, now);
    }

    /// Returns whether some late order is ruled out once the engine has accepted a later one.
    pub fn has_unsettled_orders(&self) -> bool {
        self.late.has_unsettled()
    }

    /// Records that the engine has accepted a later order than those that got no response. One of them may have been executed,
    /// so its adapter is evicted again unless it has a slot.
    pub fn settle_late_orders(&mut self, now: BootInstant) {
        self.late.settle(now);
    }

    /// Records that the eviction of `key` ended; `late` tells whether it may be executed only later.
    pub fn eviction_ended(&mut self, key: &AdapterKey, late: LateExecution, now: BootInstant) {
        let slot = self.occupied.remove(key);
        self.evicted.insert(key.clone(), now);
        let version = slot.and_then(|slot| slot.known_version());
        self.mark_late_order(key, version, late, now);
    }

    /// Records that the eviction of `key` was not ordered, because the adapter came into use. Without a known version it can't be
    /// offered to requests, and is evicted later.
    pub fn eviction_cancelled(&mut self, key: &AdapterKey, now: BootInstant) {
        let Some(slot) = self.occupied.get_mut(key) else {
            return;
        };
        if slot.version == UNKNOWN_VERSION {
            self.occupied.remove(key);
            self.mark_late_order(key, None, LateExecution::UnderWay, now);
        } else {
            slot.state = SlotState::Resident;
        }
    }

    /// Records that the engine lacks `key` at `version`; returns whether it must be evicted to be certain. This proves nothing about
    /// other versions: an entry that does not know of a newer version is told that the older one is missing.
    pub fn adapter_missing(&mut self, key: &AdapterKey, version: u32, now: BootInstant) -> bool {
        let slot = self.occupied.get_mut(key);
        let is_same_version =
            |slot: &&mut Slot| slot.state == SlotState::Resident && slot.version == version;
        let Some(slot) = slot.filter(is_same_version) else {
            return false;
        };
        *slot = Slot::new(version, SlotState::Evicting, now);
        true
    }

    /// Returns the copies that orders may still leave at the engine.
    pub fn late_copies(&self) -> impl Iterator<Item = (&AdapterKey, CopyVersion)> {
        let keys = self.late.adapters();
        keys.flat_map(|key| self.late.versions(key).into_iter().map(move |v| (key, v)))
    }

    /// Returns the resident adapters and their versions.
    pub fn residents(&self) -> impl Iterator<Item = (&AdapterKey, u32)> {
        let resident = self.occupied.iter();
        resident
            .filter(|(_, slot)| slot.state == SlotState::Resident)
            .map(|(key, slot)| (key, slot.version))
    }

    /// Returns the number of slots in use, one for each copy that the engine may have: of adapters in any state, of versions
    /// being replaced, and of those that late orders may leave.
    pub fn used_slots(&self) -> usize {
        let late = self.late_copies().filter(|(key, version)| {
            let slot = self.occupied.get(*key);
            !slot.is_some_and(|slot| slot.has_copy(*version))
        });
        let copies = self.occupied.values().map(Slot::copies);
        copies.sum::<usize>() + late.count()
    }

    fn count(&self, state: SlotState) -> usize {
        self.occupied
            .values()
            .filter(|slot| slot.state == state)
            .count()
    }
}
