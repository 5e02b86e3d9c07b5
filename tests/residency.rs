//! Adapter slots of one engine: shared loads, evictions, and orders whose responses were lost.

use carobfield::{
    clock::BootInstant,
    decide::{
        reservations::LateExecution::{Never, UnderWay},
        residency::{self, Plan, Residency},
    },
    edge::{
        deployment::{BaseModel, EngineSpec},
        registration::AdapterKey,
    },
};
use std::time::Duration;

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    concurrent_requests_share_one_load,
    an_adapter_in_use_is_never_evicted,
    the_least_requested_adapter_is_evicted,
    a_recently_loaded_adapter_is_not_evicted_yet,
    at_most_four_loads_run_at_once,
    a_newer_version_waits_for_requests_on_the_older,
    a_replacement_takes_a_second_slot_until_it_ends,
    a_late_load_keeps_its_slot_until_it_is_evicted_again,
    adapters_with_late_orders_are_not_evicted_for_room,
    a_reserved_adapter_may_be_loaded_again,
    a_resident_adapter_with_a_late_order_has_no_second_slot,
    an_unknown_adapter_of_the_engines_list_takes_a_slot,
    an_outdated_list_does_not_restore_an_evicted_adapter,
    an_outdated_list_does_not_restore_a_missing_adapter,
    a_missing_adapter_keeps_its_slot_until_it_is_evicted,
    a_failed_replacement_leaves_the_older_version,
    a_late_replacement_keeps_both_slots,
    loads_of_an_earlier_holder_are_not_evicted,
    a_newer_version_has_no_room_beside_a_load_under_way,
    a_late_replacement_is_handed_over_as_one_copy,
    a_report_hides_a_load_that_follows_an_eviction,
    a_version_that_is_none_is_offered_after_a_cancelled_eviction,
    a_contradicted_version_is_reserved_by_its_late_eviction,
    a_version_held_beside_a_load_takes_no_slot,
    slots_are_never_exceeded,
    memory_runs_out_before_the_slots,
    memory_of_several_models_is_shared,
    models_without_adapter_sizes_leave_the_slots,
    a_model_larger_than_the_memory_leaves_no_slot,
}

/// Start time, well after the origin of the clock.
const START: BootInstant = BootInstant(1_000_000_000_000);

fn key(n: u32) -> AdapterKey {
    AdapterKey::new("base", &format!("a{n}"))
}

fn at(ms: u64) -> BootInstant {
    START + Duration::from_millis(ms)
}

fn none_in_use(_: &AdapterKey) -> bool {
    false
}

/// Returns an engine with the adapters below `held` loaded at the start.
fn engine(slots: usize, held: u32) -> Residency {
    let mut residency = Residency::new(slots);
    for n in 0..held {
        assert_eq!(residency.plan(&key(n), 1, START, none_in_use), Plan::Load);
        residency.load_succeeded(&key(n), 1, START);
    }
    residency
}

/// Returns an engine with 27 slots and 76,000 MB; `models` gives the sizes of each model's weights and of one adapter.
fn spec(models: &[(&str, f64, f64)]) -> EngineSpec {
    let models = models
        .iter()
        .map(|(name, weights_mb, adapter_mb)| BaseModel {
            name: (*name).into(),
            weights_mb: *weights_mb,
            adapter_mb: *adapter_mb,
            load: Duration::from_secs(2),
        });
    EngineSpec {
        batch: 64,
        cache_tokens: 157_002,
        adapter_slots: 27,
        capacity_mb: 76_000.0,
        load_rate: 4.2,
        models: models.collect(),
    }
}

mod case {
    use super::{
        AdapterKey, Never, Plan, Residency, UnderWay, at, engine, key, none_in_use, residency, spec,
    };
    use arbtest::arbtest;

    pub(super) fn concurrent_requests_share_one_load() {
        let mut r = Residency::new(4);
        assert_eq!(r.plan(&key(1), 1, at(0), none_in_use), Plan::Load);
        assert_eq!(r.plan(&key(1), 1, at(1), none_in_use), Plan::Wait);
        r.load_succeeded(&key(1), 1, at(2));
        assert_eq!(r.plan(&key(1), 1, at(3), none_in_use), Plan::Ready);
    }

    pub(super) fn an_adapter_in_use_is_never_evicted() {
        let mut r = engine(2, 2);
        let all_in_use = |_: &AdapterKey| true;
        assert_eq!(r.plan(&key(9), 1, at(5_000), all_in_use), Plan::Full);
        let first_in_use = |k: &AdapterKey| *k == key(0);
        let plan = r.plan(&key(9), 1, at(5_000), first_in_use);
        assert_eq!(plan, Plan::Evict(key(1)));
    }

    pub(super) fn the_least_requested_adapter_is_evicted() {
        let mut r = engine(3, 3);
        r.record_requests(&key(0), 5, at(100));
        r.record_requests(&key(1), 1, at(100));
        r.record_requests(&key(2), 9, at(100));
        assert_eq!(
            r.plan(&key(9), 1, at(5_000), none_in_use),
            Plan::Evict(key(1))
        );
    }

    /// Guards against refusing requests for cold adapters while small engines hold idle ones.
    pub(super) fn a_recently_loaded_adapter_is_not_evicted_yet() {
        let mut r = engine(2, 2);
        assert_eq!(r.plan(&key(9), 1, at(100), none_in_use), Plan::Wait);
        let all_in_use = |_: &AdapterKey| true;
        assert_eq!(r.plan(&key(9), 1, at(100), all_in_use), Plan::Full);
        assert!(matches!(
            r.plan(&key(9), 1, at(600), none_in_use),
            Plan::Evict(_)
        ));
    }

    pub(super) fn at_most_four_loads_run_at_once() {
        let mut r = Residency::new(19);
        for n in 0..4 {
            assert_eq!(r.plan(&key(n), 1, at(0), none_in_use), Plan::Load);
        }
        assert_eq!(r.plan(&key(4), 1, at(0), none_in_use), Plan::Wait);
        r.load_succeeded(&key(0), 1, at(1));
        assert_eq!(r.plan(&key(4), 1, at(1), none_in_use), Plan::Load);
    }

    pub(super) fn a_newer_version_waits_for_requests_on_the_older() {
        let mut r = engine(4, 1);
        let in_use = |_: &AdapterKey| true;
        assert_eq!(r.plan(&key(0), 2, at(10), in_use), Plan::Full);
        assert_eq!(r.plan(&key(0), 2, at(10), none_in_use), Plan::Load);
        assert_eq!(r.residents().count(), 0);
    }

    /// The engine holds the older version while the newer one loads, so both count.
    pub(super) fn a_replacement_takes_a_second_slot_until_it_ends() {
        let mut r = engine(3, 2);
        assert_eq!(r.plan(&key(0), 2, at(5_000), none_in_use), Plan::Load);
        assert_eq!(r.used_slots(), 3);
        assert_ne!(r.plan(&key(9), 1, at(5_000), none_in_use), Plan::Load);
        r.load_succeeded(&key(0), 2, at(5_300));
        assert_eq!(r.used_slots(), 2);
        let mut full = engine(2, 2);
        let other_in_use = |k: &AdapterKey| *k == key(1);
        let plan = full.plan(&key(0), 2, at(5_000), other_in_use);
        assert_eq!(plan, Plan::Evict(key(0)));
    }

    /// Guards against a load without a response that is executed 12 s later and takes a slot that counted as free.
    pub(super) fn a_late_load_keeps_its_slot_until_it_is_evicted_again() {
        let mut r = engine(2, 1);
        assert_eq!(r.plan(&key(7), 1, at(0), none_in_use), Plan::Load);
        r.load_failed(&key(7), UnderWay, at(1_000));
        assert_eq!(r.used_slots(), 2);
        assert!(r.plan_late_evictions(at(12_000)).is_empty());
        assert_eq!(r.plan_late_evictions(at(20_000)), [key(7)]);
        assert_eq!(r.used_slots(), 2);
        r.eviction_ended(&key(7), Never, at(20_050));
        assert_eq!(r.used_slots(), 1);
    }

    /// Guards against emptying an engine: with one lost response per adapter, every eviction left its slot reserved.
    pub(super) fn adapters_with_late_orders_are_not_evicted_for_room() {
        let mut r = engine(3, 3);
        r.mark_late_order(&key(0), Some(1), UnderWay, at(0));
        r.mark_late_order(&key(1), Some(1), UnderWay, at(0));
        assert_eq!(
            r.plan(&key(9), 1, at(5_000), none_in_use),
            Plan::Evict(key(2))
        );
        r.eviction_ended(&key(2), Never, at(5_050));
        assert_eq!(r.plan(&key(9), 1, at(5_050), none_in_use), Plan::Load);
    }

    /// The reserved slot is available to the adapter itself.
    pub(super) fn a_reserved_adapter_may_be_loaded_again() {
        let mut r = engine(2, 1);
        assert_eq!(r.plan(&key(7), 1, at(0), none_in_use), Plan::Load);
        r.load_failed(&key(7), UnderWay, at(1_000));
        let in_use = |_: &AdapterKey| true;
        assert_eq!(r.plan(&key(8), 1, at(2_000), in_use), Plan::Full);
        assert_eq!(r.plan(&key(7), 1, at(2_000), in_use), Plan::Load);
    }

    /// A newer version needs its own slot while the older one is resident.
    pub(super) fn a_resident_adapter_with_a_late_order_has_no_second_slot() {
        let mut r = engine(2, 2);
        r.mark_late_order(&key(0), Some(1), UnderWay, at(0));
        let other_in_use = |k: &AdapterKey| *k == key(1);
        assert_ne!(r.plan(&key(0), 2, at(5_000), other_in_use), Plan::Load);
    }

    pub(super) fn an_unknown_adapter_of_the_engines_list_takes_a_slot() {
        let mut r = engine(3, 1);
        let (known, unknown) = (key(0), key(5));
        let found = r.merge_list([(&known, 1), (&unknown, 2)].into_iter(), at(100));
        assert_eq!(found, [key(5)]);
        assert_eq!(r.used_slots(), 2);
        assert_eq!(r.plan(&key(5), 2, at(200), none_in_use), Plan::Ready);
    }

    pub(super) fn an_outdated_list_does_not_restore_an_evicted_adapter() {
        let mut r = engine(2, 2);
        assert_eq!(
            r.plan(&key(9), 1, at(5_000), none_in_use),
            Plan::Evict(key(0))
        );
        r.eviction_ended(&key(0), Never, at(5_050));
        let evicted = key(0);
        assert!(
            r.merge_list([(&evicted, 1)].into_iter(), at(6_000))
                .is_empty()
        );
        assert_eq!(r.used_slots(), 1);
    }

    /// Guards against an outdated list, from before the engine lost an adapter, that attracts requests again.
    pub(super) fn an_outdated_list_does_not_restore_a_missing_adapter() {
        let mut r = engine(2, 1);
        let lost = key(0);
        assert!(r.adapter_missing(&lost, 1, at(5_000)));
        r.eviction_ended(&lost, Never, at(5_030));
        assert!(r.merge_list([(&lost, 1)].into_iter(), at(5_400)).is_empty());
        assert_eq!(r.merge_list([(&lost, 1)].into_iter(), at(10_000)), [key(0)]);
    }

    /// Guards against one load too many: an entry that did not know of version 2 was refused version 1, and the holder
    /// then counted the slot as free. A refusal may also be older than the last load of the adapter.
    pub(super) fn a_missing_adapter_keeps_its_slot_until_it_is_evicted() {
        let mut r = engine(2, 1);
        assert_eq!(r.plan(&key(0), 2, at(5_000), none_in_use), Plan::Load);
        r.load_succeeded(&key(0), 2, at(5_300));
        assert!(!r.adapter_missing(&key(0), 1, at(5_400)));
        assert_eq!(r.residents().count(), 1);
        assert!(r.adapter_missing(&key(0), 2, at(5_500)));
        assert_eq!((r.used_slots(), r.residents().count()), (1, 0));
        assert_eq!(r.plan(&key(0), 2, at(5_500), none_in_use), Plan::Wait);
        r.eviction_ended(&key(0), Never, at(5_600));
        assert_eq!(r.used_slots(), 0);
    }

    pub(super) fn a_failed_replacement_leaves_the_older_version() {
        let mut r = engine(2, 1);
        assert_eq!(r.plan(&key(0), 2, at(5_000), none_in_use), Plan::Load);
        r.load_failed(&key(0), Never, at(5_100));
        assert_eq!(r.used_slots(), 1);
        assert_eq!(r.residents().next(), Some((&key(0), 1)));
    }

    pub(super) fn a_late_replacement_keeps_both_slots() {
        let mut r = engine(3, 1);
        assert_eq!(r.plan(&key(0), 2, at(5_000), none_in_use), Plan::Load);
        r.load_failed(&key(0), UnderWay, at(5_100));
        assert_eq!(r.used_slots(), 2);
        assert_eq!(r.plan(&key(0), 2, at(5_200), none_in_use), Plan::Load);
        assert_eq!(r.used_slots(), 2);
        r.load_failed(&key(0), UnderWay, at(5_300));
        assert_eq!(r.plan_late_evictions(at(25_000)), [key(0)]);
        r.eviction_ended(&key(0), Never, at(25_050));
        assert_eq!(r.used_slots(), 0);
    }

    /// An engine answers the eviction of an adapter that is loading as if it were absent.
    pub(super) fn loads_of_an_earlier_holder_are_not_evicted() {
        let mut r = Residency::new(3);
        r.add(key(0), 1, at(0));
        assert!(r.add_loading(&key(0), 2, at(0)));
        assert!(r.add_loading(&key(1), 1, at(0)));
        assert!(!r.add_loading(&key(1), 1, at(0)));
        assert_eq!(r.used_slots(), 3);
        assert_eq!(r.plan(&key(9), 1, at(5_000), none_in_use), Plan::Wait);
        r.load_succeeded(&key(0), 2, at(5_100));
        assert_eq!(r.plan(&key(9), 1, at(5_200), none_in_use), Plan::Load);
    }

    /// The engine may still be loading version 1 as version 2 is ordered.
    pub(super) fn a_newer_version_has_no_room_beside_a_load_under_way() {
        let mut r = engine(2, 1);
        assert_eq!(r.plan(&key(7), 1, at(0), none_in_use), Plan::Load);
        r.load_failed(&key(7), UnderWay, at(6_000));
        let plan = r.plan(&key(7), 2, at(6_500), none_in_use);
        assert_eq!(plan, Plan::Evict(key(0)));
    }

    /// The next holder finds version 1 at the engine, and inherits the order for version 2.
    pub(super) fn a_late_replacement_is_handed_over_as_one_copy() {
        let mut r = Residency::new(3);
        r.add(key(0), 1, at(0));
        r.add(key(1), 1, at(0));
        r.mark_late_order(&key(0), Some(2), UnderWay, at(0));
        let in_use = |_: &AdapterKey| true;
        assert_eq!(r.plan(&key(9), 1, at(100), in_use), Plan::Full);
    }

    /// The engine executed a load that this holder does not know of, of an adapter that it has just evicted.
    pub(super) fn a_report_hides_a_load_that_follows_an_eviction() {
        let mut r = engine(2, 2);
        let evicted = key(0);
        assert_eq!(
            r.plan(&key(9), 1, at(5_000), none_in_use),
            Plan::Evict(key(0))
        );
        r.eviction_ended(&evicted, Never, at(5_050));
        r.add_reported(&evicted, 1, at(5_400));
        // The report may also be older than the eviction.
        assert_eq!(r.residents().count(), 1);
        assert_eq!(r.plan_late_evictions(at(5_450)), [key(0)]);
        assert_ne!(r.plan(&key(9), 1, at(5_450), none_in_use), Plan::Load);
    }

    /// An adapter that a late order may have loaded came into use before its eviction was ordered.
    pub(super) fn a_version_that_is_none_is_offered_after_a_cancelled_eviction() {
        let mut r = Residency::new(2);
        assert_eq!(r.plan(&key(7), 1, at(0), none_in_use), Plan::Load);
        r.load_failed(&key(7), UnderWay, at(6_000));
        assert_eq!(r.plan_late_evictions(at(22_000)), [key(7)]);
        r.eviction_cancelled(&key(7), at(22_400));
        assert_eq!(r.residents().next(), None);
        assert_eq!(r.used_slots(), 1);
    }

    /// The report names version 2 in place of version 1, whose eviction then gets no response.
    pub(super) fn a_contradicted_version_is_reserved_by_its_late_eviction() {
        let mut r = engine(2, 2);
        assert_eq!(
            r.plan(&key(9), 1, at(5_000), none_in_use),
            Plan::Evict(key(0))
        );
        r.add_reported(&key(0), 2, at(5_010));
        r.eviction_ended(&key(0), UnderWay, at(5_050));
        let other_in_use = |k: &AdapterKey| *k == key(1);
        assert_ne!(r.plan(&key(0), 1, at(5_100), other_in_use), Plan::Load);
    }

    /// The report names version 1, which this holder does not know of, while version 2 loads.
    pub(super) fn a_version_held_beside_a_load_takes_no_slot() {
        let mut r = Residency::new(2);
        assert_eq!(r.plan(&key(0), 2, at(0), none_in_use), Plan::Load);
        r.add_reported(&key(0), 1, at(100));
        assert_ne!(r.plan(&key(9), 1, at(100), none_in_use), Plan::Load);
    }

    /// An engine that executes late orders never holds more adapters than it has slots.
    pub(super) fn slots_are_never_exceeded() {
        for seed in 0..200 {
            arbtest(|u| {
                let slots = u.int_in_range(1..=6)?;
                let mut r = Residency::new(slots);
                let mut late: Vec<(AdapterKey, u64)> = Vec::new();
                let mut held: Vec<AdapterKey> = Vec::new();
                let mut now = 0;
                for _ in 0..60 {
                    now += u.int_in_range(1..=900)?;
                    let (due, rest) = late.into_iter().partition(|(_, t)| *t <= now);
                    late = rest;
                    for (k, _) in due {
                        if !held.contains(&k) {
                            held.push(k);
                        }
                    }
                    assert!(held.len() <= slots, "{} held of {slots}", held.len());
                    for k in r.plan_late_evictions(at(now)) {
                        held.retain(|h| *h != k);
                        r.eviction_ended(&k, Never, at(now));
                    }
                    let k = key(u.int_in_range(0..=9)?);
                    match r.plan(&k, 1, at(now), none_in_use) {
                        Plan::Load if u.ratio(1, 3)? => {
                            late.push((k.clone(), now + u.int_in_range(2_000..=12_000)?));
                            r.load_failed(&k, UnderWay, at(now));
                        }
                        Plan::Load => {
                            if !held.contains(&k) {
                                held.push(k.clone());
                            }
                            r.load_succeeded(&k, 1, at(now));
                        }
                        Plan::Evict(victim) => {
                            held.retain(|h| *h != victim);
                            r.eviction_ended(&victim, Never, at(now));
                        }
                        Plan::Ready | Plan::Wait | Plan::Full => {}
                    }
                }
                Ok(())
            })
            .seed(seed << 32 | 0x2000);
        }
    }

    /// Guards against orders to load more than the memory of an engine holds, at which it crashes (review, case 2).
    pub(super) fn memory_runs_out_before_the_slots() {
        let spec = spec(&[("base", 72_700.0, 165.0)]);
        assert_eq!(residency::adapter_slots(&spec, |_| true), 20);
    }

    pub(super) fn memory_of_several_models_is_shared() {
        let spec = spec(&[("a", 40_000.0, 100.0), ("b", 35_000.0, 300.0)]);
        assert_eq!(residency::adapter_slots(&spec, |_| true), 3);
        assert_eq!(residency::adapter_slots(&spec, |name| name == "a"), 27);
    }

    pub(super) fn models_without_adapter_sizes_leave_the_slots() {
        let spec = spec(&[("base", 72_700.0, 0.0)]);
        assert_eq!(residency::adapter_slots(&spec, |_| true), 27);
    }

    pub(super) fn a_model_larger_than_the_memory_leaves_no_slot() {
        let spec = spec(&[("base", 77_000.0, 165.0)]);
        assert_eq!(residency::adapter_slots(&spec, |_| true), 0);
    }
}
