//! Adapter slots of one engine: what is resident, what is loading, and what to evict.
//!
//! | load pattern | response |
//! |---|---|
//! | many requests arrive for a cold adapter at once | they share one load |
//! | a few adapters are hot and the rest come and go | the adapter with the lowest request rate is evicted, never one in use |
//! | a miss must not wait for an eviction first | some slots are kept free in advance |
//! | an order without a response may be executed later | its slot stays reserved for as long as that can happen; then the adapter is evicted again, because nothing tells whether the order was executed |
//! | an engine replaces a version | the older one keeps its slot until the load ends, also if the load fails or its order got no response |
//! | a holder starts while loads of an earlier one are under way | they occupy slots that can't be freed before they end |
//! | an engine lacks an adapter that it should hold | its slot stays occupied until the adapter is evicted, as the report may be older than the last load |
//! | an engine's memory is smaller than its slots | it counts as an engine with as many slots as adapters fit beside the weights of its base models |
//! | an engine holds an adapter that this holder did not order, from an earlier holder's late order | the engine's own list shows it, and it occupies a slot like any other |

use crate::{
    clock::BootInstant,
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

/// Time for which an order without a response may still be executed; the platform states at most 12 s.
pub const LATE_ORDER_WINDOW: Duration = Duration::from_secs(15);

/// Minimum residency after a load, so that the requests that waited for the adapter find it: entries announce their
/// requests to each other within 200 ms.
const MIN_RESIDENCY: Duration = Duration::from_millis(250);

/// Time after an eviction for which the engine's own list, which lags behind, may still name the adapter.
const MAX_LIST_AGE: Duration = Duration::from_secs(4);

/// Half-life of an adapter's request rate.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Adapters that an engine still has in its host memory after their eviction, at least.
const HOST_ADAPTERS: usize = 24;

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
    /// Version that is resident or loading.
    pub version: u32,
    /// State.
    pub state: SlotState,
    since: BootInstant,
    /// Older version that keeps a second slot until the load ends.
    replaces: Option<u32>,
}

impl Slot {
    fn new(version: u32, state: SlotState, since: BootInstant) -> Self {
        Self {
            version,
            state,
            since,
            replaces: None,
        }
    }
}

/// Reservation for orders without a response.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    /// Time until which they may be executed.
    until: BootInstant,
    /// Number of slots that versions of the adapter may occupy.
    slots: usize,
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
    /// Adapters with orders that got no response.
    late: HashMap<AdapterKey, Reservation>,
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
            late: HashMap::new(),
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
    /// load was not known.
    pub fn add_loading(&mut self, key: &AdapterKey, version: u32, now: BootInstant) -> bool {
        let before = self.occupied.get(key);
        if before.is_some_and(|slot| slot.state != SlotState::Resident || slot.version >= version) {
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
                || self.late.contains_key(key)
                || self.evicted.contains_key(key);
            if !is_known {
                self.add(key.clone(), version, now);
                unknown.push(key.clone());
            }
        }
        unknown
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
        let reserved = self.late.contains_key(key) && !self.occupied.contains_key(key);
        match self.occupied.get(key) {
            Some(slot) if slot.state == SlotState::Resident && slot.version >= version => {
                Plan::Ready
            }
            Some(slot) if slot.state != SlotState::Resident => Plan::Wait,
            // An engine replaces a version only once the requests that use it have ended.
            Some(_) if in_use(key) => Plan::Full,
            _ if self.loading_count() >= MAX_CONCURRENT_LOADS => Plan::Wait,
            _ if reserved || taken < self.slots => self.begin_load(key, version, now),
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
        let due = self.late.iter().filter(|(_, late)| now >= late.until);
        let due: Vec<AdapterKey> = due.map(|(key, _)| key.clone()).collect();
        let mut absent = Vec::new();
        for key in due {
            self.late.remove(&key);
            if self.occupied.contains_key(&key) {
                continue;
            }
            let slot = Slot::new(0, SlotState::Evicting, now);
            self.occupied.insert(key.clone(), slot);
            absent.push(key);
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
            slot.state == SlotState::Resident && !self.late.contains_key(*key) && !in_use(key)
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
    }

    /// Records that the load of `key` was given up; `uncertain` if it may still be executed.
    pub fn load_failed(&mut self, key: &AdapterKey, uncertain: bool, now: BootInstant) {
        let slot = self.occupied.remove(key);
        let older = slot.and_then(|slot| slot.replaces);
        match older {
            _ if uncertain => self.reserve(key, 1 + usize::from(older.is_some()), now),
            Some(version) => self.add(key.clone(), version, now),
            None => {}
        }
    }

    /// Records that an order for `key` got no response, even if a later one did; the first may still be executed.
    pub fn mark_late_order(&mut self, key: &AdapterKey, now: BootInstant) {
        self.reserve(key, 1, now);
    }

    fn reserve(&mut self, key: &AdapterKey, slots: usize, now: BootInstant) {
        let reserved = self.late.get(key).map_or(0, |late| late.slots);
        let reservation = Reservation {
            until: now + LATE_ORDER_WINDOW,
            slots: slots.max(reserved),
        };
        self.late.insert(key.clone(), reservation);
    }

    /// Records that late orders for `key` can't be executed any more. One may have been, so the adapter is evicted
    /// again unless it has a slot.
    pub fn end_late_orders(&mut self, key: &AdapterKey, now: BootInstant) {
        if let Some(late) = self.late.get_mut(key) {
            late.until = now;
        }
    }

    /// Records that the eviction of `key` ended; `uncertain` if it may be executed only later.
    pub fn eviction_ended(&mut self, key: &AdapterKey, uncertain: bool, now: BootInstant) {
        self.occupied.remove(key);
        self.evicted.insert(key.clone(), now);
        if uncertain {
            self.mark_late_order(key, now);
        }
    }

    /// Records that the eviction of `key` was not ordered, because the adapter came into use.
    pub fn eviction_cancelled(&mut self, key: &AdapterKey) {
        if let Some(slot) = self.occupied.get_mut(key) {
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

    /// Returns the adapters with orders that may still be executed.
    pub fn late_orders(&self) -> impl Iterator<Item = &AdapterKey> {
        self.late.keys()
    }

    /// Returns the resident adapters and their versions.
    pub fn residents(&self) -> impl Iterator<Item = (&AdapterKey, u32)> {
        let resident = self.occupied.iter();
        resident
            .filter(|(_, slot)| slot.state == SlotState::Resident)
            .map(|(key, slot)| (key, slot.version))
    }

    /// Returns the number of slots in use: by adapters in any state, by versions being replaced, and reserved for late
    /// orders.
    pub fn used_slots(&self) -> usize {
        let late = self.late.iter().map(|(key, late)| {
            let counted = usize::from(self.occupied.contains_key(key));
            late.slots - counted
        });
        let replaced = self.occupied.values().filter(|s| s.replaces.is_some());
        self.occupied.len() + late.sum::<usize>() + replaced.count()
    }

    fn count(&self, state: SlotState) -> usize {
        self.occupied
            .values()
            .filter(|slot| slot.state == state)
            .count()
    }
}
