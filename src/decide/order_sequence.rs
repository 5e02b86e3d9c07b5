//! Numbers the orders to one engine process, so that an order without a response can't be executed after a newer one.
//!
//! | load pattern | response |
//! |---|---|
//! | an engine does not respond to an order and executes it seconds later | each order carries the number of orders accepted before it; the engine checks it at execution, so the next accepted order invalidates all earlier ones |
//! | a response is lost | after a rejection the next number is tried, then the report is read again |
//! | the engine has executed an order of an earlier holder | after a rejection that no order of this holder explains, the report is read again, as that order has changed what the engine holds |

use crate::edge::orders::{Order, OrderResponse};

/// Consecutive numbers tried before the engine's report is read again; an order whose response was lost advances the
/// count by one.
const MAX_GUESSES: u32 = 2;

/// Tracks an engine's count of accepted orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderSequence {
    /// Count as last known.
    next: Option<u64>,
    /// Highest number of an order that got no response, until the count is past it.
    pending: Option<u64>,
    /// Rejections since the last success.
    rejections: u32,
}

impl OrderSequence {
    /// Returns the number for the next order; `None` if the engine's report must be read first.
    pub fn expected(&self) -> Option<u64> {
        self.next
    }

    /// Sets the count from a report, which may be older than the last order.
    pub fn set_count(&mut self, count: u64) {
        self.next = Some(count);
    }

    /// Records the response to `order`, which was sent with the number `expected` and not accepted before.
    pub fn record_response(&mut self, order: &Order, expected: u64, response: OrderResponse) {
        match response {
            OrderResponse::Accepted => {
                self.advance(expected + 1);
                self.pending = self.pending.filter(|pending| *pending > expected);
            }
            // An eviction is executed at once and counted; one of an adapter that was absent may not be counted.
            OrderResponse::AlreadySatisfied if matches!(order, Order::EvictAdapter(_)) => {
                self.advance(expected + 1);
            }
            OrderResponse::AlreadySatisfied => self.rejections = 0,
            OrderResponse::Unknown | OrderResponse::HoldOff(_) => self.record_no_response(expected),
            OrderResponse::Busy => self.record_rejection(expected),
            OrderResponse::Fenced
            | OrderResponse::OtherProcess
            | OrderResponse::Invalid
            | OrderResponse::NotSent => {}
        }
    }

    /// Records that an order with the number `expected` got no response.
    pub fn record_no_response(&mut self, expected: u64) {
        self.pending = self.pending.max(Some(expected));
    }

    /// Returns whether an order with the number `expected` that got no response may still be executed.
    pub fn is_pending(&self, expected: u64) -> bool {
        self.pending.is_some_and(|pending| pending >= expected)
    }

    /// Returns whether any order without a response may still be executed.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    fn advance(&mut self, next: u64) {
        self.next = Some(next);
        self.rejections = 0;
    }

    fn record_rejection(&mut self, expected: u64) {
        self.rejections += 1;
        let is_explained = self.pending.is_some();
        let is_guess = is_explained && !self.rejections.is_multiple_of(MAX_GUESSES + 1);
        self.next = is_guess.then_some(expected + 1);
    }
}
