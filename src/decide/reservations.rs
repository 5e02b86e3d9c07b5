//! Slots of one engine that are reserved for orders that it may still execute.
//!
//! An engine counts copies: each version of an adapter that it holds or loads takes a slot. So a reservation names the
//! versions that an order may leave behind, not only its adapter.

use crate::{clock::BootInstant, edge::registration::AdapterKey};
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Time for which an order without a response may still be executed; the platform states at most 12 s.
pub const LATE_ORDER_WINDOW: Duration = Duration::from_secs(15);

/// Version of an adapter; `None` if it is not known, so that it may be any other than the known ones.
pub type CopyVersion = Option<u32>;

/// Whether the engine may still execute an order after it ended here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LateExecution {
    /// Execution is ruled out.
    Never,
    /// Possible until the engine accepts another order.
    UntilNext,
    /// Possible for some seconds: the order was accepted and its end was not observed.
    UnderWay,
}

/// An order that the engine may still execute.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    /// Version that it loads, or that it evicts.
    version: CopyVersion,
    /// Version that the engine may hold until then.
    older: Option<u32>,
    execution: LateExecution,
    until: BootInstant,
}

impl Reservation {
    fn versions(self) -> impl Iterator<Item = CopyVersion> {
        [Some(self.version), self.older.map(Some)]
            .into_iter()
            .flatten()
    }
}

/// Orders that the engine may still execute, by adapter.
#[derive(Debug, Default)]
pub struct Reservations {
    orders: HashMap<AdapterKey, Vec<Reservation>>,
}

impl Reservations {
    /// Reserves slots for an order that ended at `now`. It may leave a copy at `version`, beside one of `older` that the engine
    /// held before.
    pub fn add(
        &mut self,
        key: &AdapterKey,
        (version, older): (CopyVersion, Option<u32>),
        execution: LateExecution,
        now: BootInstant,
    ) {
        if execution == LateExecution::Never {
            return;
        }
        let order = Reservation {
            version,
            older,
            execution,
            until: now + LATE_ORDER_WINDOW,
        };
        insert(self.orders.entry(key.clone()).or_default(), order);
    }

    /// Reserves a slot for a copy at `version` until the adapter is evicted, which is due at once.
    pub fn add_due(&mut self, key: &AdapterKey, version: u32, now: BootInstant) {
        let order = Reservation {
            version: Some(version),
            older: None,
            execution: LateExecution::UnderWay,
            until: now,
        };
        insert(self.orders.entry(key.clone()).or_default(), order);
    }

    /// Records that a load of `key` has ended, so that the engine holds no version that it held before.
    pub fn drop_older(&mut self, key: &AdapterKey) {
        for order in self.orders.get_mut(key).into_iter().flatten() {
            order.older = None;
        }
    }

    /// Returns whether any order for `key` may still be executed.
    pub fn contains(&self, key: &AdapterKey) -> bool {
        self.orders.contains_key(key)
    }

    /// Returns the versions of `key` that the engine may have a copy of.
    pub fn versions(&self, key: &AdapterKey) -> BTreeSet<CopyVersion> {
        let orders = self.orders.get(key).into_iter().flatten();
        orders.flat_map(|o| o.versions()).collect()
    }

    /// Returns the adapters.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterKey> {
        self.orders.keys()
    }

    /// Returns whether some order is ruled out once the engine has accepted a later one.
    pub fn has_unsettled(&self) -> bool {
        let mut orders = self.orders.values().flatten();
        orders.any(|o| o.execution == LateExecution::UntilNext)
    }

    /// Records that the engine has accepted a later order, which rules out those before it.
    pub fn settle(&mut self, now: BootInstant) {
        for orders in self.orders.values_mut() {
            let is_settled = |order: &mut Reservation| order.execution == LateExecution::UntilNext;
            let settled: Vec<Reservation> = orders.extract_if(.., is_settled).collect();
            for order in settled {
                let due = Reservation {
                    execution: LateExecution::UnderWay,
                    until: now,
                    ..order
                };
                insert(orders, due);
            }
        }
    }

    /// Returns the adapters of which no order can be executed any more.
    pub fn due(&self, now: BootInstant) -> Vec<AdapterKey> {
        let is_due = |orders: &[Reservation]| orders.iter().all(|o| now >= o.until);
        let due = self.orders.iter().filter(|(_, orders)| is_due(orders));
        due.map(|(key, _)| key.clone()).collect()
    }

    /// Frees the slots that are reserved for `key`; returns the versions that they were reserved for.
    pub fn remove(&mut self, key: &AdapterKey) -> BTreeSet<CopyVersion> {
        let versions = self.versions(key);
        self.orders.remove(key);
        versions
    }
}

/// Adds an order, or extends the reservation for the same copies. One that was accepted outlasts a repeat that the next order
/// rules out, so both are kept.
fn insert(orders: &mut Vec<Reservation>, order: Reservation) {
    let copies = |o: &Reservation| (o.version, o.older, o.execution);
    match orders.iter_mut().find(|o| copies(o) == copies(&order)) {
        Some(known) => known.until = known.until.max(order.until),
        None => orders.push(order),
    }
}
