//! Budget of the bytes that are buffered from upstreams.

use bytes::Bytes;
use carobfield::{
    byte_budget::{ByteBudget, FREE_BYTES, TOTAL_BYTES},
    path::event_buffer::{Buffering, EventBuffer, EventFault},
    sse::MAX_EVENT_BYTES,
};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    buffers_share_the_budget,
    a_dropped_account_returns_its_bytes,
    unended_events_of_many_streams_stay_within_the_budget,
    sound_streams_go_on_while_the_budget_is_used_up,
}

mod case {
    use super::{
        Buffering, ByteBudget, Bytes, EventBuffer, EventFault, FREE_BYTES, MAX_EVENT_BYTES,
        TOTAL_BYTES,
    };

    fn buffer(budget: &ByteBudget) -> EventBuffer {
        EventBuffer::new(Buffering::CompleteEvents, None, budget.account())
    }

    /// Fills `buffer` with an event that does not end, up to `limit` bytes; returns the fault, if any.
    fn fill(buffer: &mut EventBuffer, limit: usize) -> Option<EventFault> {
        let piece = Bytes::from(vec![b'x'; 8 << 10]);
        let mut pieces = (0..limit).step_by(piece.len());
        pieces.find_map(|_| buffer.push(piece.clone()).err())
    }

    pub(super) fn buffers_share_the_budget() {
        let budget = ByteBudget::default();
        let (mut first, mut second) = (budget.account(), budget.account());
        assert!(first.resize(TOTAL_BYTES / 2 + FREE_BYTES));
        assert!(!second.resize(TOTAL_BYTES));
        assert!(second.resize(TOTAL_BYTES / 2 + FREE_BYTES));
        assert_eq!(budget.left(), 0);
        assert!(first.resize(FREE_BYTES));
        assert!(second.resize(TOTAL_BYTES));
    }

    pub(super) fn a_dropped_account_returns_its_bytes() {
        let budget = ByteBudget::default();
        let mut account = budget.account();
        assert!(account.resize(1 << 20));
        assert!(account.resize(2 << 20));
        assert!(budget.left() < TOTAL_BYTES);
        drop(account);
        assert_eq!(budget.left(), TOTAL_BYTES);
    }

    pub(super) fn unended_events_of_many_streams_stay_within_the_budget() {
        let budget = ByteBudget::default();
        let mut all: Vec<EventBuffer> = (0..200).map(|_| buffer(&budget)).collect();
        let faults: Vec<_> = all
            .iter_mut()
            .map(|b| fill(b, MAX_EVENT_BYTES / 2))
            .collect();
        assert_eq!(faults[0], None);
        assert_eq!(faults[199], Some(EventFault::NoRoom));
        drop(all);
        assert_eq!(budget.left(), TOTAL_BYTES);
    }

    pub(super) fn sound_streams_go_on_while_the_budget_is_used_up() {
        let budget = ByteBudget::default();
        let mut account = budget.account();
        assert!(account.resize(TOTAL_BYTES + FREE_BYTES));
        let mut sound = buffer(&budget);
        for n in 1..2_000 {
            let event = format!("id: {n}\ndata: {}\n\n", "word ".repeat(80));
            let (start, rest) = event.split_at(200);
            assert_eq!(
                sound.push(Bytes::copy_from_slice(start.as_bytes())),
                Ok(None)
            );
            let passed = sound.push(Bytes::copy_from_slice(rest.as_bytes()));
            assert_eq!(passed, Ok(Some(Bytes::from(event))));
        }
    }
}
