//! What an entry believes of the store, by the era and the age of its responses.

use carobfield::edge::{
    era::StoreEra,
    store::{Position, StoreError},
};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_late_answer_of_an_earlier_era_counts,
    an_era_named_by_mistake_holds_for_ever,
    revisions_of_different_eras_are_compared,
}

mod case {
    use super::{Position, StoreEra, StoreError};

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
