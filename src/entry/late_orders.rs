//! Orders without an answer that an earlier holder of an engine gave, an earlier process of this VM included.

use crate::{
    clock::BootInstant,
    decide::{residency::LATE_ORDER_WINDOW, takeover::LateOrder},
    edge::registration::AdapterKey,
};
use std::collections::HashMap;

/// Inherited orders, and until when each may be carried out.
#[derive(Debug, Default)]
pub struct LateOrders {
    until: HashMap<LateOrder, BootInstant>,
}

impl LateOrders {
    /// Takes over what an earlier holder noted.
    pub fn inherit(&mut self, orders: &[LateOrder], now: BootInstant) {
        for order in orders {
            self.until.insert(order.clone(), now + LATE_ORDER_WINDOW);
        }
    }

    /// Adapters at `upstream` whose orders may still be carried out at `now`.
    pub fn adapters_at(&self, upstream: &str, now: BootInstant) -> Vec<AdapterKey> {
        let here = self.pending(now).filter(|o| *o.upstream == *upstream);
        here.map(|o| o.key.clone()).collect()
    }

    /// All orders that may still be carried out at `now`.
    pub fn pending(&self, now: BootInstant) -> impl Iterator<Item = &LateOrder> {
        let pending = self.until.iter().filter(move |(_, until)| now < **until);
        pending.map(|(order, _)| order)
    }
}
