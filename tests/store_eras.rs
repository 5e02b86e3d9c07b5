//! Holders of engines across a return of the store with an older copy.

use carobfield::{
    clock::BootInstant,
    decide::{
        order_lease::{OrderLease, TIMING},
        store_eras::{self, StoreEras},
        takeover::{self, HolderRecord, HolderState, OwnProcess, RecordEra, TakeoverStep},
    },
    edge::era::StoreEra,
    ident::UpstreamId,
};
use futures_util::FutureExt;
use std::{sync::Arc, time::Duration};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_copy_that_names_an_earlier_process_gives_it_nothing_back,
    the_last_holder_claims_its_engine_whatever_the_copy_names,
    a_claimed_engine_is_left_to_its_claimant,
    an_engine_without_a_record_waits_for_leases_of_the_earlier_era,
    generations_of_an_era_are_above_all_earlier_ones,
    unreadable_records_stay_within_their_era,
    a_store_without_eras_is_settled,
    only_a_first_start_or_the_time_settles_an_era,
    the_first_return_of_a_store_counts_as_a_first_start,
    the_first_era_of_a_store_is_not_noticed,
    a_return_ends_the_right_to_send_orders,
    renewals_of_the_earlier_era_do_not_count,
    two_quick_returns_leave_the_last_holder_its_engines,
    a_lapsed_lease_claims_nothing,
}

const ERA: u64 = 7;

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

fn names() -> Vec<Arc<str>> {
    ["entry-a", "entry-b"].map(Arc::from).to_vec()
}

fn record(holder: &str, incarnation: u64, generation: u64) -> HolderRecord {
    HolderRecord {
        holder: Arc::from(holder),
        incarnation,
        generation,
    }
}

fn generation(era: u64, takeovers: u64) -> u64 {
    (0..takeovers).fold(0, |last, _| store_eras::next_generation(Some(last), era))
}

fn step(name: &str, held: Option<&HolderRecord>, era: RecordEra) -> TakeoverStep {
    let own = OwnProcess {
        name,
        incarnation: 2,
    };
    let engine = UpstreamId::from("engine-1");
    takeover::next_step(own, &engine, held, HolderState::Live, era, &names())
}

fn unsettled() -> RecordEra {
    RecordEra {
        present: ERA,
        ..RecordEra::default()
    }
}

fn ordering_lease() -> OrderLease {
    let mut lease = OrderLease::default();
    lease.renewed(at(0), at(4));
    lease.confirmed(at(10));
    lease
}

mod case {
    use super::{
        Duration, ERA, FutureExt, OrderLease, RecordEra, StoreEra, StoreEras, TIMING, TakeoverStep,
        at, generation, ordering_lease, record, step, store_eras, takeover, unsettled,
    };

    /// Guards against two holders with one generation: a VM that was stopped finds its earlier process in the copy, from
    /// before another VM took its engine over (review, case 1).
    pub(super) fn a_copy_that_names_an_earlier_process_gives_it_nothing_back() {
        let copied = record("entry-a", 1, generation(ERA - 1, 1));
        assert_eq!(
            step("entry-a", Some(&copied), unsettled()),
            TakeoverStep::Skip
        );
        // Nor does one that names this very process: it may have lost the engine after the copy was made.
        let copied = record("entry-a", 2, generation(ERA - 1, 1));
        assert_eq!(
            step("entry-a", Some(&copied), unsettled()),
            TakeoverStep::Skip
        );
        let settled = RecordEra {
            is_settled: true,
            ..unsettled()
        };
        assert_eq!(
            step("entry-a", Some(&copied), settled),
            TakeoverStep::Replace(generation(ERA, 1)),
            "its next generation is above any that was lost"
        );
    }

    pub(super) fn the_last_holder_claims_its_engine_whatever_the_copy_names() {
        let era = RecordEra {
            was_holder: true,
            ..unsettled()
        };
        let next = generation(ERA, 1);
        for holder in ["entry-a", "entry-b"] {
            let copied = record(holder, 1, generation(ERA - 1, 1));
            assert_eq!(
                step("entry-b", Some(&copied), era),
                TakeoverStep::Replace(next)
            );
            let first = takeover::first_order_at("entry-b", Some(&copied), era, at(0));
            assert!(first.since(at(0)) < Duration::from_secs(1));
        }
        assert_eq!(step("entry-b", None, era), TakeoverStep::Create(next));
    }

    pub(super) fn a_claimed_engine_is_left_to_its_claimant() {
        let claimed = record("entry-b", 2, generation(ERA, 1));
        let era = RecordEra {
            was_holder: true,
            ..unsettled()
        };
        assert_eq!(step("entry-a", Some(&claimed), era), TakeoverStep::Skip);
        assert_eq!(step("entry-b", Some(&claimed), era), TakeoverStep::Held);
    }

    pub(super) fn an_engine_without_a_record_waits_for_leases_of_the_earlier_era() {
        for name in ["entry-a", "entry-b"] {
            assert_eq!(step(name, None, unsettled()), TakeoverStep::Skip);
        }
        let settled = RecordEra {
            is_settled: true,
            ..unsettled()
        };
        let steps = ["entry-a", "entry-b"].map(|name| step(name, None, settled));
        let created = TakeoverStep::Create(generation(ERA, 1));
        assert_eq!(steps.iter().filter(|s| **s == created).count(), 1);
    }

    pub(super) fn generations_of_an_era_are_above_all_earlier_ones() {
        assert_eq!(store_eras::next_generation(None, 0), 1);
        assert_eq!(store_eras::next_generation(Some(5), 0), 6);
        let (early, late) = (generation(ERA, 100_000), generation(ERA + 1, 1));
        assert!(early < late);
        assert!(store_eras::is_of_era(early, ERA));
        assert!(!store_eras::is_of_era(early, ERA + 1));
        for era in [u64::MAX, 1 << 40, 1 << 33] {
            assert!(store_eras::next_generation(Some(3), era) < 1 << 53);
        }
    }

    pub(super) fn unreadable_records_stay_within_their_era() {
        for revision in [0, 17, 1 << 20, u64::MAX] {
            let read = store_eras::unreadable_generation(revision, ERA);
            let next = store_eras::next_generation(Some(read), ERA);
            assert!(store_eras::is_of_era(read, ERA));
            assert!(!store_eras::is_of_era(next, ERA + 1), "revision {revision}");
        }
    }

    pub(super) fn a_store_without_eras_is_settled() {
        assert!(StoreEras::default().is_settled(at(0)));
        assert_eq!(StoreEras::default().settled(at(0)), Some(0));
    }

    pub(super) fn only_a_first_start_or_the_time_settles_an_era() {
        let mut eras = StoreEras::default();
        eras.enter(ERA, true, at(0));
        assert!(eras.is_settled(at(1)), "nothing held an engine before");
        eras.enter(ERA + 1, true, at(1_000));
        assert!(!eras.is_settled(at(1_001)));
        eras.learn_settled(ERA);
        assert!(!eras.is_settled(at(1_001)), "another era was settled");
        let ended = at(1_000) + TIMING.takeover;
        assert!(!eras.is_settled(ended), "the holder's last order is recent");
        assert!(eras.is_settled(ended + takeover::DELAY_AFTER_OTHER_VM));
        let mut restarted = StoreEras::default();
        restarted.enter(ERA, false, at(0));
        assert!(!restarted.is_settled(at(1)));
        restarted.learn_settled(ERA);
        assert!(restarted.is_settled(at(1)));
    }

    /// Guards against a store that numbers its eras from 0, so that its first return seemed to be its first era (review, case 6).
    pub(super) fn the_first_return_of_a_store_counts_as_a_first_start() {
        for first in [0, 1, ERA] {
            for is_first_start in [false, true] {
                let mut eras = StoreEras::default();
                eras.enter(first, is_first_start, at(0));
                assert!(eras.is_settled(at(1)) || !is_first_start);
                eras.enter(first + 1, is_first_start, at(60_000));
                assert!(!eras.is_settled(at(60_001)), "era {first} was before");
                assert_eq!(eras.settled(at(60_001)), None);
                let ended = at(60_000) + TIMING.takeover + takeover::DELAY_AFTER_OTHER_VM;
                assert!(eras.is_settled(ended));
            }
        }
    }

    pub(super) fn the_first_era_of_a_store_is_not_noticed() {
        for first in [0, 1] {
            let era = StoreEra::default();
            let wait = || era.wait_for_first().now_or_never().is_some();
            assert!(!wait());
            assert_eq!(era.observe(None, 0), Ok(0));
            assert!(!wait(), "no response has named one");
            assert_eq!(era.observe(Some(first), 0), Ok(first));
            assert!(wait());
        }
    }

    pub(super) fn a_return_ends_the_right_to_send_orders() {
        let mut lease = ordering_lease();
        assert!(lease.enter_era(ERA, at(100)));
        assert!(!lease.enter_era(ERA, at(110)));
        assert!(lease.held_before());
        assert!(!lease.may_order(at(120)));
        lease.renewed(at(130), at(140));
        assert!(!lease.may_order(at(150)), "the records were not read");
        lease.confirmed(at(160));
        assert!(lease.may_order(at(170)));
    }

    pub(super) fn renewals_of_the_earlier_era_do_not_count() {
        let mut lease = ordering_lease();
        lease.enter_era(ERA, at(100));
        lease.renewed(at(95), at(105));
        lease.confirmed(at(96));
        assert!(!lease.is_fresh(at(110)));
        assert!(!lease.is_confirmed());
    }

    pub(super) fn two_quick_returns_leave_the_last_holder_its_engines() {
        let mut lease = ordering_lease();
        lease.enter_era(ERA, at(100));
        lease.enter_era(ERA + 1, at(900));
        assert!(lease.held_before(), "nobody can have taken over meanwhile");
        let late = at(0) + TIMING.lease + Duration::from_millis(1);
        lease.enter_era(ERA + 2, late);
        assert!(!lease.held_before());
    }

    pub(super) fn a_lapsed_lease_claims_nothing() {
        let mut lease = ordering_lease();
        lease.enter_era(ERA, at(0) + TIMING.lease + Duration::from_millis(1));
        assert!(!lease.held_before());
        let mut unconfirmed = OrderLease::default();
        unconfirmed.renewed(at(0), at(4));
        unconfirmed.enter_era(ERA, at(100));
        assert!(!unconfirmed.held_before());
    }
}
