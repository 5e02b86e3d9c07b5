//! Numbers the orders to one engine process, so that an order without an answer can't be carried out after a newer one.
//!
//! | load pattern | answer |
//! |---|---|
//! | an engine leaves orders without an answer and carries them out seconds later | each order names how many were accepted before it; the engine checks that when it carries the order out, so the next one that it accepts ends all earlier ones |
//! | an answer is lost, or the count in a report is older than the last order | after a refusal the next number is tried, then the report is read again |

use crate::edge::orders::{Order, OrderResponse};

/// Numbers tried one after the other before the engine's report is read again; an order whose answer was lost moves
/// the count by one.
const MAX_GUESSES: u32 = 2;

/// What is known of an engine's count of accepted orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderSequence {
    /// Its value, as far as known.
    next: Option<u64>,
    /// Highest number under which an order got no answer, until the count is past it.
    open: Option<u64>,
    /// Refusals since the last success.
    refusals: u32,
}

impl OrderSequence {
    /// Number for the next order; `None` if the engine's report must be read first.
    pub fn expected(&self) -> Option<u64> {
        self.next
    }

    /// Takes in the count of a report, which may be older than the last order.
    pub fn set_count(&mut self, count: u64) {
        self.next = Some(count);
    }

    /// Takes in the answer to `order`, given under the number `expected` and not accepted before.
    pub fn record_response(&mut self, order: &Order, expected: u64, answer: OrderResponse) {
        match answer {
            OrderResponse::Accepted => {
                self.advance(expected + 1);
                self.open = self.open.filter(|open| *open > expected);
            }
            // An eviction is carried out at once, and counts; one of an adapter that was absent may not.
            OrderResponse::AlreadySatisfied if matches!(order, Order::EvictAdapter(_)) => {
                self.advance(expected + 1);
            }
            OrderResponse::AlreadySatisfied => self.refusals = 0,
            OrderResponse::Unknown => self.record_no_response(expected),
            OrderResponse::Busy => self.refused(expected),
            OrderResponse::Fenced
            | OrderResponse::OtherProcess
            | OrderResponse::Invalid
            | OrderResponse::NotSent => {}
        }
    }

    /// Takes in that an order under the number `expected` got no answer.
    pub fn record_no_response(&mut self, expected: u64) {
        self.open = self.open.max(Some(expected));
    }

    /// Whether an order under the number `expected` that got no answer may still be carried out.
    pub fn is_pending(&self, expected: u64) -> bool {
        self.open.is_some_and(|open| open >= expected)
    }

    /// Whether any order may still be carried out.
    pub fn has_pending(&self) -> bool {
        self.open.is_some()
    }

    fn advance(&mut self, next: u64) {
        self.next = Some(next);
        self.refusals = 0;
    }

    fn refused(&mut self, expected: u64) {
        self.refusals += 1;
        let is_guess = !self.refusals.is_multiple_of(MAX_GUESSES + 1);
        self.next = is_guess.then_some(expected + 1);
    }
}
