//! The adapters of one engine: which are there, which come, and which one makes room.
//!
//! | load pattern | answer |
//! |---|---|
//! | a cold adapter is asked for by many at once | one load, which all of them join |
//! | a few adapters are hot and the rest come and go | the adapter with the lowest request rate makes room, never one in use |
//! | a miss must not wait for an eviction first | some places are kept free ahead of need |
//! | an order without an answer may be carried out later | its place stays reserved for as long as that may happen; then it is evicted once more, because nothing says whether it came |
//! | an engine holds what nobody here ordered, from an earlier holder's late order | its own list shows it, and it takes a place like any other |

use crate::{clock::BootInstant, edge::registration::AdapterKey};
use std::{collections::HashMap, time::Duration};

/// Adapters that may be on their way to one engine at once, as the platform allows.
pub const MAX_CONCURRENT_LOADS: usize = 4;

/// Most places kept free ahead of need; about what arrives within one load time on a busy engine.
const MAX_SPARE: usize = 2;

/// Places of which one is kept free ahead of need; small engines keep none.
const PLACES_FOR_SPARE: usize = 8;

/// Time for which an order without an answer may still be carried out; the platform tells of 12 s at most.
pub const LATE_ORDER_WINDOW: Duration = Duration::from_secs(15);

/// Time that an adapter is kept after its load, so that those who waited for it find it: entries tell each other
/// of their requests within 200 ms.
const MIN_STAY: Duration = Duration::from_millis(250);

/// Time after an eviction for which the engine's own list, which is older, may still name the adapter.
const LIST_AGE: Duration = Duration::from_secs(4);

/// Half-life of an adapter's request rate.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// State of a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotState {
    /// On its way.
    Loading,
    /// Ready.
    Resident,
    /// Being evicted.
    Evicting,
}

/// An adapter's place.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    /// Version that is held or comes.
    pub version: u32,
    /// State.
    pub state: SlotState,
    since: BootInstant,
    /// Whether an older version stays there until the load ends.
    replaces: bool,
}

impl Slot {
    fn new(version: u32, state: SlotState, since: BootInstant) -> Self {
        Self {
            version,
            state,
            since,
            replaces: false,
        }
    }
}

/// A decayed count of requests.
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

/// What to do for a wanted adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Plan {
    /// It is there.
    Ready,
    /// It comes, or must wait for another load or eviction.
    Wait,
    /// Order its load; the place was taken.
    Load,
    /// Order this eviction first.
    Evict(AdapterKey),
    /// Every place is in use.
    Full,
}

/// Adapters of one engine process.
#[derive(Debug)]
pub struct Residency {
    slots: usize,
    places: HashMap<AdapterKey, Slot>,
    demand: HashMap<AdapterKey, Demand>,
    /// Ends of the times in which an unanswered order for an adapter may still be carried out.
    late: HashMap<AdapterKey, BootInstant>,
    /// When adapters were evicted.
    evicted: HashMap<AdapterKey, BootInstant>,
}

impl Residency {
    /// An engine with `slots` places, all free.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            places: HashMap::new(),
            demand: HashMap::new(),
            late: HashMap::new(),
            evicted: HashMap::new(),
        }
    }

    /// Takes in an adapter that the engine says it holds or that comes to it.
    pub fn add(&mut self, key: AdapterKey, version: u32, state: SlotState, now: BootInstant) {
        let place = Slot::new(version, state, now);
        self.places.entry(key).or_insert(place);
    }

    /// Takes in the engine's own list, which may be seconds old: what it names and is not known here takes a
    /// place; the adapters that were not known.
    pub fn merge_list<'a>(
        &mut self,
        adapters: impl Iterator<Item = (&'a AdapterKey, u32)>,
        now: BootInstant,
    ) -> Vec<AdapterKey> {
        self.evicted.retain(|_, at| now.since(*at) < LIST_AGE);
        let mut unknown = Vec::new();
        for (key, version) in adapters {
            let is_known = self.places.contains_key(key)
                || self.late.contains_key(key)
                || self.evicted.contains_key(key);
            if !is_known {
                self.add(key.clone(), version, SlotState::Resident, now);
                unknown.push(key.clone());
            }
        }
        unknown
    }

    /// Counts a request for an adapter.
    pub fn record_requests(&mut self, key: &AdapterKey, times: u32, now: BootInstant) {
        let demand = self.demand.entry(key.clone()).or_default();
        demand.count = demand.at(now) + f64::from(times);
        demand.at = now;
    }

    /// Plans for a request for `key` at `version` or newer; `in_use` says whether runs use an adapter.
    pub fn plan(
        &mut self,
        key: &AdapterKey,
        version: u32,
        now: BootInstant,
        in_use: impl Fn(&AdapterKey) -> bool,
    ) -> Plan {
        let taken = self.used_slots();
        let reserved = self.late.contains_key(key) && !self.places.contains_key(key);
        match self.places.get(key) {
            Some(p) if p.state == SlotState::Resident && p.version >= version => Plan::Ready,
            Some(p) if p.state != SlotState::Resident => Plan::Wait,
            // An engine replaces a version only once its runs have ended.
            Some(_) if in_use(key) => Plan::Full,
            _ if self.in_transit() >= MAX_CONCURRENT_LOADS => Plan::Wait,
            _ if reserved || taken < self.slots => self.begin_load(key, version, now),
            _ => self.make_room(now, in_use),
        }
    }

    /// The eviction that keeps places free ahead of need, if one is due; marked as begun.
    pub fn plan_spare_slot(
        &mut self,
        now: BootInstant,
        in_use: impl Fn(&AdapterKey) -> bool,
    ) -> Option<AdapterKey> {
        let evicting = self.count(SlotState::Evicting);
        let spare = (self.slots / PLACES_FOR_SPARE).min(MAX_SPARE);
        if self.used_slots() + spare <= self.slots + evicting {
            return None;
        }
        self.begin_evict(now, in_use)
    }

    /// Adapters whose unanswered orders can't come any more, to be evicted once more; marked as begun.
    pub fn plan_late_evictions(&mut self, now: BootInstant) -> Vec<AdapterKey> {
        let due = self.late.iter().filter(|(_, until)| now >= **until);
        let due: Vec<AdapterKey> = due.map(|(key, _)| key.clone()).collect();
        let mut absent = Vec::new();
        for key in due {
            self.late.remove(&key);
            if self.places.contains_key(&key) {
                continue;
            }
            let place = Slot::new(0, SlotState::Evicting, now);
            self.places.insert(key.clone(), place);
            absent.push(key);
        }
        absent
    }

    fn begin_load(&mut self, key: &AdapterKey, version: u32, now: BootInstant) -> Plan {
        let place = Slot {
            replaces: self.places.contains_key(key),
            ..Slot::new(version, SlotState::Loading, now)
        };
        self.places.insert(key.clone(), place);
        Plan::Load
    }

    fn make_room(&mut self, now: BootInstant, in_use: impl Fn(&AdapterKey) -> bool) -> Plan {
        if self.count(SlotState::Evicting) > 0 {
            return Plan::Wait;
        }
        let soon = self.in_transit() > 0 || self.idle(&in_use).next().is_some();
        match self.begin_evict(now, in_use) {
            Some(victim) => Plan::Evict(victim),
            None if soon => Plan::Wait,
            None => Plan::Full,
        }
    }

    /// Adapters that would free their places.
    fn idle(
        &self,
        in_use: &impl Fn(&AdapterKey) -> bool,
    ) -> impl Iterator<Item = (&AdapterKey, &Slot)> {
        self.places.iter().filter(|(key, p)| {
            // Evicting what a late order may bring back would free no place.
            p.state == SlotState::Resident && !self.late.contains_key(*key) && !in_use(key)
        })
    }

    /// Marks the unused adapter with the least demand.
    fn begin_evict(
        &mut self,
        now: BootInstant,
        in_use: impl Fn(&AdapterKey) -> bool,
    ) -> Option<AdapterKey> {
        let rate = |key: &AdapterKey| self.demand.get(key).map_or(0.0, |d| d.at(now));
        let idle = self.idle(&in_use);
        let stayed = idle.filter(|(_, p)| now.since(p.since) >= MIN_STAY);
        let victim = stayed.min_by(|a, b| {
            let by_rate = rate(a.0).total_cmp(&rate(b.0));
            by_rate
                .then_with(|| a.1.since.cmp(&b.1.since))
                .then_with(|| a.0.cmp(b.0))
        });
        let key = victim.map(|(key, _)| key.clone())?;
        if let Some(place) = self.places.get_mut(&key) {
            place.state = SlotState::Evicting;
        }
        Some(key)
    }

    /// The load of `key` was carried out.
    pub fn load_succeeded(&mut self, key: &AdapterKey, version: u32, now: BootInstant) {
        let place = Slot::new(version, SlotState::Resident, now);
        self.places.insert(key.clone(), place);
    }

    /// The load of `key` was given up; `uncertain` if it may still be carried out.
    pub fn load_failed(&mut self, key: &AdapterKey, uncertain: bool, now: BootInstant) {
        self.places.remove(key);
        if uncertain {
            self.mark_late_order(key, now);
        }
    }

    /// An order for `key` got no answer, and a later one did; the first may still be carried out.
    pub fn mark_late_order(&mut self, key: &AdapterKey, now: BootInstant) {
        self.late.insert(key.clone(), now + LATE_ORDER_WINDOW);
    }

    /// The unanswered orders for `key` can't be carried out any more; one may have been, so it is evicted once more
    /// unless it has a place.
    pub fn end_late_orders(&mut self, key: &AdapterKey, now: BootInstant) {
        if let Some(until) = self.late.get_mut(key) {
            *until = now;
        }
    }

    /// The eviction of `key` ended; `uncertain` if it may be carried out only later.
    pub fn eviction_ended(&mut self, key: &AdapterKey, uncertain: bool, now: BootInstant) {
        self.places.remove(key);
        self.evicted.insert(key.clone(), now);
        if uncertain {
            self.mark_late_order(key, now);
        }
    }

    /// The eviction of `key` was not begun, because it came into use.
    pub fn eviction_cancelled(&mut self, key: &AdapterKey) {
        if let Some(place) = self.places.get_mut(key) {
            place.state = SlotState::Resident;
        }
    }

    /// The engine does not have `key` at `version`, whatever is noted here. Of another version this says nothing: an
    /// entry that has not heard of a newer one is told the same of the older.
    pub fn adapter_missing(&mut self, key: &AdapterKey, version: u32, now: BootInstant) {
        let is_meant = |p: &Slot| p.state == SlotState::Resident && p.version == version;
        if self.places.get(key).is_some_and(is_meant) {
            self.places.remove(key);
            self.evicted.insert(key.clone(), now);
        }
    }

    /// Adapters with orders that may still be carried out.
    pub fn late_orders(&self) -> impl Iterator<Item = &AdapterKey> {
        self.late.keys()
    }

    /// Adapters that requests may use now, and their versions.
    pub fn residents(&self) -> impl Iterator<Item = (&AdapterKey, u32)> {
        let resident = self.places.iter();
        resident
            .filter(|(_, p)| p.state == SlotState::Resident)
            .map(|(key, p)| (key, p.version))
    }

    /// Adapters held or on their way, older versions that are being replaced, and places that unanswered loads may still take.
    pub fn used_slots(&self) -> usize {
        let late = self.late.keys().filter(|k| !self.places.contains_key(*k));
        let replaced = self.places.values().filter(|p| p.replaces);
        self.places.len() + late.count() + replaced.count()
    }

    fn in_transit(&self) -> usize {
        self.count(SlotState::Loading)
    }

    fn count(&self, state: SlotState) -> usize {
        self.places.values().filter(|p| p.state == state).count()
    }
}
