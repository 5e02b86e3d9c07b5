//! What an entry believes of the store, by the era and the age of its responses.

use carobfield::{
    clock::BootInstant,
    decide::contact::{Contact, FRESH},
    edge::{
        era::StoreEra,
        store::{Position, StoreError},
    },
};
use std::time::Duration;

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_silent_store_is_believed_for_long,
    an_interrupted_contact_goes_on_as_if_nothing_was_missed,
    a_late_answer_of_an_earlier_era_counts,
    an_era_named_by_mistake_holds_for_ever,
    revisions_of_different_eras_are_compared,
}

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

mod case {
    use super::{Contact, Duration, FRESH, Position, StoreEra, StoreError, at};

    pub(super) fn a_silent_store_is_believed_for_long() {
        let mut contact = Contact::default();
        assert!(!contact.is_fresh(at(0)));
        contact.record_answer(at(0));
        assert!(contact.is_fresh(at(0) + FRESH));
        assert!(!contact.is_fresh(at(1) + FRESH));
    }

    pub(super) fn an_interrupted_contact_goes_on_as_if_nothing_was_missed() {
        let mut contact = Contact::default();
        assert!(!contact.record_answer(at(0)));
        assert!(!contact.record_answer(at(900)));
        // The answer to a watch that was sent earlier.
        assert!(!contact.record_answer(at(100)));
        assert_eq!(contact.age(at(1_000)), Some(Duration::from_millis(100)));
        assert!(contact.record_answer(at(3_000)));
        assert!(!contact.record_answer(at(3_300)));
    }

    pub(super) fn a_late_answer_of_an_earlier_era_counts() {
        let era = StoreEra::default();
        assert_eq!(era.observe(None, 0), Ok(0));
        assert_eq!(era.observe(Some(3), 0), Ok(3));
        assert_eq!(era.observe(Some(2), 0), Err(StoreError::Unknown));
        assert_eq!(era.observe(Some(2), 2), Err(StoreError::Unknown));
        assert_eq!(era.latest(), 3);
        // Two clients that see the same return.
        assert_eq!(era.observe(Some(4), 3), Ok(4));
        assert_eq!(era.observe(Some(4), 3), Ok(4));
    }

    pub(super) fn an_era_named_by_mistake_holds_for_ever() {
        let era = StoreEra::default();
        assert_eq!(era.observe(Some(u64::MAX), 1), Ok(u64::MAX));
        assert_eq!(era.observe(Some(1), u64::MAX), Ok(1));
        assert_eq!(era.latest(), 1);
    }

    pub(super) fn revisions_of_different_eras_are_compared() {
        let position = |era, revision| Position { era, revision };
        let known = position(2, 10);
        assert!(known.is_continued_by(position(2, 10)));
        assert!(known.is_continued_by(position(2, 11)));
        assert!(!known.is_continued_by(position(2, 9)));
        assert!(!known.is_continued_by(position(3, 11)));
        assert!(!known.is_continued_by(position(1, 11)));
    }
}
