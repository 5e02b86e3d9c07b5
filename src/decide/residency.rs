//! The adapters of one engine: which are there, which come, and which one makes room.
//!
//! | load pattern | answer |
//! |---|---|
//! | a cold adapter is asked for by many at once | one load, which all of them join |
//! | a few adapters are hot and the rest come and go | the adapter with the lowest request rate makes room, never one in use |
//! | a miss must not wait for an eviction first | some places are kept free ahead of need |
//! | an order without an answer may be carried out later | its place stays reserved for as long as that may happen |

use crate::{clock::BootInstant, edge::registration::AdapterKey};
use std::{collections::HashMap, time::Duration};

/// Adapters that may be on their way to one engine at once, as the platform allows.
pub const MAX_TRANSIT: usize = 4;

/// Places kept free ahead of need; about what arrives within one load time on a busy engine.
const SPARE_PLACES: usize = 2;

/// Time for which an order without an answer may still be carried out; the platform tells of 12 s at most.
const LATE_ORDER: Duration = Duration::from_secs(15);

/// Time that an adapter is kept after its load, so that those who waited for it find it.
const MIN_STAY: Duration = Duration::from_millis(500);

/// Half-life of an adapter's request rate.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// State of a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceState {
    /// On its way.
    Loading,
    /// Ready.
    Resident,
    /// Being evicted.
    Evicting,
}

/// An adapter's place.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Version that is held or comes.
    pub version: u32,
    /// State.
    pub state: PlaceState,
    since: BootInstant,
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
    places: HashMap<AdapterKey, Place>,
    demand: HashMap<AdapterKey, Demand>,
    /// Ends of the times in which an unanswered load may still take a place.
    late: Vec<(AdapterKey, BootInstant)>,
}

impl Residency {
    /// An engine with `slots` places, all free.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            places: HashMap::new(),
            demand: HashMap::new(),
            late: Vec::new(),
        }
    }

    /// Takes in an adapter that the engine says it holds or that comes to it.
    pub fn found(&mut self, key: AdapterKey, version: u32, state: PlaceState, now: BootInstant) {
        let place = Place {
            version,
            state,
            since: now,
        };
        self.places.entry(key).or_insert(place);
    }

    /// Counts a request for an adapter.
    pub fn asked(&mut self, key: &AdapterKey, times: u32, now: BootInstant) {
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
        let taken = self.taken(now);
        match self.places.get(key) {
            Some(p) if p.state == PlaceState::Resident && p.version >= version => Plan::Ready,
            Some(p) if p.state != PlaceState::Resident => Plan::Wait,
            // An engine replaces a version only once its runs have ended.
            Some(_) if in_use(key) => Plan::Full,
            Some(_) if self.in_transit() >= MAX_TRANSIT => Plan::Wait,
            Some(_) => self.begin_load(key, version, now),
            None if self.in_transit() >= MAX_TRANSIT => Plan::Wait,
            None if taken < self.slots => self.begin_load(key, version, now),
            None => self.make_room(now, in_use),
        }
    }

    /// The eviction that keeps places free ahead of need, if one is due; marked as begun.
    pub fn plan_spare(
        &mut self,
        now: BootInstant,
        in_use: impl Fn(&AdapterKey) -> bool,
    ) -> Option<AdapterKey> {
        let evicting = self.count(PlaceState::Evicting);
        if self.taken(now) + SPARE_PLACES <= self.slots + evicting {
            return None;
        }
        self.begin_evict(now, in_use)
    }

    fn begin_load(&mut self, key: &AdapterKey, version: u32, now: BootInstant) -> Plan {
        let place = Place {
            version,
            state: PlaceState::Loading,
            since: now,
        };
        self.places.insert(key.clone(), place);
        Plan::Load
    }

    fn make_room(&mut self, now: BootInstant, in_use: impl Fn(&AdapterKey) -> bool) -> Plan {
        if self.count(PlaceState::Evicting) > 0 {
            return Plan::Wait;
        }
        match self.begin_evict(now, in_use) {
            Some(victim) => Plan::Evict(victim),
            None if self.in_transit() > 0 => Plan::Wait,
            None => Plan::Full,
        }
    }

    /// Marks the unused adapter with the least demand.
    fn begin_evict(
        &mut self,
        now: BootInstant,
        in_use: impl Fn(&AdapterKey) -> bool,
    ) -> Option<AdapterKey> {
        let rate = |key: &AdapterKey| self.demand.get(key).map_or(0.0, |d| d.at(now));
        let idle = self.places.iter().filter(|(key, p)| {
            p.state == PlaceState::Resident && now.since(p.since) >= MIN_STAY && !in_use(key)
        });
        let victim = idle.min_by(|a, b| {
            let by_rate = rate(a.0).total_cmp(&rate(b.0));
            by_rate.then_with(|| a.1.since.cmp(&b.1.since))
        });
        let key = victim.map(|(key, _)| key.clone())?;
        if let Some(place) = self.places.get_mut(&key) {
            place.state = PlaceState::Evicting;
        }
        Some(key)
    }

    /// The load of `key` was carried out.
    pub fn loaded(&mut self, key: &AdapterKey, version: u32, now: BootInstant) {
        let place = Place {
            version,
            state: PlaceState::Resident,
            since: now,
        };
        self.places.insert(key.clone(), place);
    }

    /// The load of `key` was given up; `uncertain` if it may still be carried out.
    pub fn load_failed(&mut self, key: &AdapterKey, uncertain: bool, now: BootInstant) {
        self.places.remove(key);
        if uncertain {
            self.late.push((key.clone(), now + LATE_ORDER));
        }
    }

    /// An order for `key` got no answer, and a later one did; the first may still be carried out.
    pub fn order_uncertain(&mut self, key: &AdapterKey, now: BootInstant) {
        self.late.push((key.clone(), now + LATE_ORDER));
    }

    /// The eviction of `key` ended; `uncertain` if it may be carried out only later.
    pub fn evicted(&mut self, key: &AdapterKey, uncertain: bool, now: BootInstant) {
        self.places.remove(key);
        if uncertain {
            self.late.push((key.clone(), now + LATE_ORDER));
        }
    }

    /// The eviction of `key` was not begun, because it came into use.
    pub fn keep(&mut self, key: &AdapterKey) {
        if let Some(place) = self.places.get_mut(key) {
            place.state = PlaceState::Resident;
        }
    }

    /// The engine does not have `key`, whatever is noted here.
    pub fn missing(&mut self, key: &AdapterKey) {
        let is_resident = |p: &Place| p.state == PlaceState::Resident;
        if self.places.get(key).is_some_and(is_resident) {
            self.places.remove(key);
        }
    }

    /// Adapters that requests may use now, and their versions.
    pub fn residents(&self) -> impl Iterator<Item = (&AdapterKey, u32)> {
        let resident = self.places.iter();
        resident
            .filter(|(_, p)| p.state == PlaceState::Resident)
            .map(|(key, p)| (key, p.version))
    }

    /// Adapters held or on their way, and places that unanswered loads may still take.
    pub fn taken(&mut self, now: BootInstant) -> usize {
        self.late.retain(|(_, until)| now < *until);
        let late = self
            .late
            .iter()
            .filter(|(k, _)| !self.places.contains_key(k));
        self.places.len() + late.count()
    }

    fn in_transit(&self) -> usize {
        self.count(PlaceState::Loading)
    }

    fn count(&self, state: PlaceState) -> usize {
        self.places.values().filter(|p| p.state == state).count()
    }
}
