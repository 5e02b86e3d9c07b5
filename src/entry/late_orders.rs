//! Orders of earlier holders of an engine that got no response, including those of earlier processes of this VM.

use crate::{
    clock::BootInstant,
    decide::{
        reservations::{CopyVersion, LATE_ORDER_WINDOW},
        takeover::LateOrder,
    },
    edge::registration::AdapterKey,
    entry::{context::Entry, controller_handle::ControllerHandle},
    holding::lock,
};
use std::collections::{HashMap, HashSet};

/// Inherited orders, and until when the engine may execute each.
#[derive(Debug, Default)]
pub struct LateOrders {
    until: HashMap<LateOrder, BootInstant>,
}

impl LateOrders {
    /// Adds the orders that an earlier holder recorded.
    pub fn inherit(&mut self, orders: &[LateOrder], now: BootInstant) {
        for order in orders {
            self.until.insert(order.clone(), now + LATE_ORDER_WINDOW);
        }
    }

    /// Returns the copies that orders may still leave at `upstream`, as of `now`.
    pub fn copies_at(&self, upstream: &str, now: BootInstant) -> Vec<(AdapterKey, CopyVersion)> {
        let here = self.pending(now).filter(|o| *o.upstream == *upstream);
        here.map(|o| (o.key.clone(), o.version)).collect()
    }

    /// Returns all orders that may still be executed at `now`.
    pub fn pending(&self, now: BootInstant) -> impl Iterator<Item = &LateOrder> {
        let pending = self.until.iter().filter(move |(_, until)| now < **until);
        pending.map(|(order, _)| order)
    }
}

impl Entry {
    /// Ends all controllers. Their orders without a response stay in this entry's record in the store, for the next holders.
    pub fn end_controllers(&self) {
        let mut controllers = lock(&self.controllers);
        for controller in controllers.values() {
            self.keep_late_orders(controller);
        }
        controllers.clear();
    }

    /// Keeps the orders without a response of a controller that ends.
    pub fn keep_late_orders(&self, controller: &ControllerHandle) {
        let late = controller.late_orders();
        lock(&self.late_orders).inherit(&late, BootInstant::now());
    }

    /// Returns orders that may still be executed, of this entry and of earlier holders of its engines.
    pub fn late_orders(&self) -> Vec<LateOrder> {
        let controllers = lock(&self.controllers);
        let own = controllers.values().flat_map(ControllerHandle::late_orders);
        let mut all: HashSet<LateOrder> = own.collect();
        drop(controllers);
        let inherited = lock(&self.late_orders);
        all.extend(inherited.pending(BootInstant::now()).cloned());
        all.into_iter().collect()
    }
}
