//! Orders of earlier holders of an engine that got no response, including those of earlier processes of this VM.

use crate::{
    clock::BootInstant,
    decide::{residency::LATE_ORDER_WINDOW, takeover::LateOrder},
    edge::registration::AdapterKey,
};
use std::collections::HashMap;

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

    /// Returns adapters at `upstream` whose orders may still be executed at `now`.
    pub fn adapters_at(&self, upstream: &str, now: BootInstant) -> Vec<AdapterKey> {
        let here = self.pending(now).filter(|o| *o.upstream == *upstream);
        here.map(|o| o.key.clone()).collect()
    }

    /// Returns all orders that may still be executed at `now`.
    pub fn pending(&self, now: BootInstant) -> impl Iterator<Item = &LateOrder> {
        let pending = self.until.iter().filter(move |(_, until)| now < **until);
        pending.map(|(order, _)| order)
    }
}
