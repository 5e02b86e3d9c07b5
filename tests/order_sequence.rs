//! Numbering of the orders to one engine.

use carobfield::{
    decide::order_sequence::OrderSequence,
    edge::{
        orders::{Order, OrderResponse},
        registration::AdapterKey,
    },
};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    the_next_accepted_order_invalidates_a_pending_one,
    a_lost_response_advances_the_count_by_one,
    a_count_that_stays_wrong_is_read_again,
    a_rejection_that_no_own_order_explains_is_not_guessed_around,
}

fn load() -> Order {
    Order::LoadAdapter(AdapterKey::new("base", "a"), Some(1))
}

mod case {
    use super::{AdapterKey, Order, OrderResponse, OrderSequence, load};

    pub(super) fn the_next_accepted_order_invalidates_a_pending_one() {
        let mut sequence = OrderSequence::default();
        assert_eq!(sequence.expected(), None);
        sequence.set_count(7);
        sequence.record_response(&load(), 7, OrderResponse::Unknown);
        assert!(sequence.is_pending(7));
        // An eviction of an absent adapter may not have been counted, so it proves nothing.
        let evict = Order::EvictAdapter(AdapterKey::new("base", "b"));
        sequence.record_response(&evict, 7, OrderResponse::AlreadySatisfied);
        assert!(sequence.is_pending(7));
        sequence.record_response(&load(), 8, OrderResponse::Accepted);
        assert!(!sequence.has_pending());
        assert_eq!(sequence.expected(), Some(9));
    }

    pub(super) fn a_lost_response_advances_the_count_by_one() {
        let mut sequence = OrderSequence::default();
        sequence.set_count(7);
        sequence.record_response(&load(), 7, OrderResponse::Unknown);
        sequence.record_response(&load(), 7, OrderResponse::Busy);
        assert_eq!(sequence.expected(), Some(8));
        // An order with a number above the count may be executed once the count has reached that number.
        sequence.record_response(&load(), 8, OrderResponse::Unknown);
        sequence.record_response(&load(), 7, OrderResponse::Accepted);
        assert!(sequence.is_pending(8));
        sequence.record_response(&load(), 8, OrderResponse::Accepted);
        assert!(!sequence.has_pending());
    }

    pub(super) fn a_count_that_stays_wrong_is_read_again() {
        let mut sequence = OrderSequence::default();
        sequence.set_count(7);
        sequence.record_response(&load(), 7, OrderResponse::Unknown);
        for expected in [7, 8, 9] {
            assert_eq!(sequence.expected(), Some(expected));
            sequence.record_response(&load(), expected, OrderResponse::Busy);
        }
        assert_eq!(sequence.expected(), None);
    }

    /// The engine has executed an order of an earlier holder, so it may hold more than this one knows of.
    pub(super) fn a_rejection_that_no_own_order_explains_is_not_guessed_around() {
        let mut sequence = OrderSequence::default();
        sequence.set_count(7);
        sequence.record_response(&load(), 7, OrderResponse::Busy);
        assert_eq!(sequence.expected(), None);
    }
}
