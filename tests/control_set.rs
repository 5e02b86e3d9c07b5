//! Selection of the control set, the entries that watch the store and hold engines.

use carobfield::decide::control_set::{self, Candidate};
use std::sync::Arc;

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    large_vms_are_members,
    small_vms_join_if_there_are_too_few_large_ones,
    all_entries_of_small_deployments_are_members,
    the_set_grows_with_a_small_fraction_of_the_entries,
    a_lost_member_is_replaced_by_one_other,
}

/// Returns `small` entries with an eighth of a processor, then `large` ones with half a processor.
fn entries(large: usize, small: usize) -> Vec<Candidate> {
    let candidate = |n: usize, processor| Candidate {
        name: Arc::from(format!("entry-{n}").as_str()),
        processor,
    };
    let all = (0..small).map(|n| candidate(n, 120));
    all.chain((small..small + large).map(|n| candidate(n, 500)))
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

    pub(super) fn small_vms_join_if_there_are_too_few_large_ones() {
        let members = control_set::members(entries(2, 52), 9);
        assert_eq!(members.len(), 4);
        assert!(
            ["entry-52", "entry-53"]
                .iter()
                .all(|n| members.iter().any(|m| **m == **n))
        );
    }

    pub(super) fn all_entries_of_small_deployments_are_members() {
        for n in 1..=9 {
            let members = control_set::members(entries(0, n), control_set::MIN_MEMBERS);
            assert_eq!(members.len(), n);
        }
    }

    pub(super) fn the_set_grows_with_a_small_fraction_of_the_entries() {
        let size = |n| control_set::members(entries(0, n), control_set::MIN_MEMBERS).len();
        assert_eq!([size(58), size(87), size(380)], [9, 9, 23]);
    }

    pub(super) fn a_lost_member_is_replaced_by_one_other() {
        let mut all = entries(12, 46);
        let before = control_set::members(all.clone(), 9);
        all.retain(|c| c.name != before[2]);
        let after = control_set::members(all, 9);
        let stayed = before.iter().filter(|n| after.contains(n)).count();
        assert_eq!((after.len(), stayed), (9, 8));
    }
}
