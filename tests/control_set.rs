//! Which entries follow the store and hold engines.

use carobfield::decide::control_set::{self, Candidate};
use std::sync::Arc;

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    large_vms_are_members,
    small_vms_fill_up_where_there_are_too_few_large_ones,
    small_deployments_have_them_all,
    the_set_grows_with_a_small_part_of_the_entries,
    another_takes_the_place_of_one_that_is_gone,
}

/// `large` entries with half a processor and `small` ones with an eighth, in another order.
fn entries(large: usize, small: usize) -> Vec<Candidate> {
    let one = |n: usize, processor| Candidate {
        name: Arc::from(format!("entry-{n}").as_str()),
        processor,
    };
    let all = (0..small).map(|n| one(n, 120));
    all.chain((small..small + large).map(|n| one(n, 500)))
        .collect()
}

mod case {
    use super::{control_set, entries};

    pub(super) fn large_vms_are_members() {
        let all = entries(6, 52);
        let members = control_set::members(all.clone(), 9);
        let mut large = all.iter().filter(|c| c.processor == 500);
        assert_eq!(members.len(), 6);
        assert!(large.all(|c| members.contains(&c.name)));
    }

    pub(super) fn small_vms_fill_up_where_there_are_too_few_large_ones() {
        let members = control_set::members(entries(2, 52), 9);
        assert_eq!(members.len(), 4);
        assert!(
            ["entry-52", "entry-53"]
                .iter()
                .all(|n| members.iter().any(|m| **m == **n))
        );
    }

    pub(super) fn small_deployments_have_them_all() {
        for n in 1..=9 {
            let members = control_set::members(entries(0, n), control_set::MIN_MEMBERS);
            assert_eq!(members.len(), n);
        }
    }

    pub(super) fn the_set_grows_with_a_small_part_of_the_entries() {
        let size = |n| control_set::members(entries(0, n), control_set::MIN_MEMBERS).len();
        assert_eq!([size(58), size(87), size(380)], [9, 9, 23]);
    }

    pub(super) fn another_takes_the_place_of_one_that_is_gone() {
        let mut all = entries(12, 46);
        let before = control_set::members(all.clone(), 9);
        all.retain(|c| c.name != before[2]);
        let after = control_set::members(all, 9);
        let stayed = before.iter().filter(|n| after.contains(n)).count();
        assert_eq!((after.len(), stayed), (9, 8));
    }
}
