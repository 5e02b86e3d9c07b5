//! Decision logic of an entry, without I/O.

use carobfield::{
    clock::BootInstant,
    decide::{
        load_balancing::{self, Candidate, Choice},
        outliers::Outliers,
        registry::{Registry, RegistryChange},
        retry_budget::{RetryLimits, ServiceRetryBudget},
        routes::{self, RouteTable},
        takeover::{self, HolderRecord, HolderState, OwnProcess, RecordEra, TakeoverStep},
    },
    edge::{
        deployment::{Deployment, Route, RouteKind, Target},
        registration::{Phase, Registration},
    },
    ident::UpstreamId,
};
use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    the_longest_prefix_wins,
    services_are_picked_by_weight,
    an_adapter_stays_at_its_first_engine,
    a_hot_adapter_is_replicated_above_the_bound,
    a_cold_adapter_is_loaded_below_the_bound,
    a_limited_engine_gets_no_further_adapters,
    limited_engines_do_not_lower_the_bound,
    full_and_missing_upstreams_are_distinguished,
    a_delayed_prompt_goes_to_another_engine,
    retries_stay_within_the_budget,
    consecutive_failures_double_the_ejection_time,
    a_restart_under_the_same_name_is_detected,
    peer_registrations_are_used_during_a_store_outage,
    the_store_takes_precedence_over_peers,
    older_heartbeats_change_nothing,
    registrations_expired_in_an_outage_get_a_grace_period,
    an_engine_is_taken_over_by_one_entry,
    a_takeover_waits_for_the_earlier_holder,
}

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: Arc::from(prefix),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(300),
        priority: 1,
        targets: vec![
            Target {
                service: Arc::from("most"),
                weight: 90,
            },
            Target {
                service: Arc::from("few"),
                weight: 10,
            },
        ],
        public: false,
        attempts: 2,
    }
}

fn registration(id: &str, born: u64, beat: u64) -> Registration {
    Registration {
        id: Arc::from(id),
        service: Arc::from("engines"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: Arc::from("north"),
        slots: 32,
        phase: Phase::Serving,
        born: Some(born),
        beat,
        software: None,
        models: Vec::new(),
    }
}

fn ids(count: usize) -> Vec<UpstreamId> {
    (0..count)
        .map(|n| UpstreamId::from(format!("engine-{n}")))
        .collect()
}

fn candidates(ids: &[UpstreamId]) -> Vec<Candidate<'_>> {
    let all = ids.iter().map(|id| Candidate {
        id,
        slots: 32,
        in_flight: 0,
        wait: Duration::ZERO,
        saved: Duration::ZERO,
        resident: false,
        loadable: true,
        limited: false,
        speed: 1.0,
        max_wait: Duration::MAX,
    });
    all.collect()
}

mod case {
    use super::{
        Arc, Choice, Deployment, Duration, HashSet, HolderRecord, HolderState, Outliers,
        OwnProcess, Phase, RecordEra, Registry, RegistryChange, RetryLimits, RouteTable,
        ServiceRetryBudget, TakeoverStep, UpstreamId, at, candidates, ids, load_balancing,
        registration, route, routes, takeover,
    };

    pub(super) fn the_longest_prefix_wins() {
        let table = RouteTable::new(Deployment {
            revision: 1,
            routes: vec![
                route("a.example", "/x/"),
                route("a.example", "/x/y/"),
                route("b.example", "/"),
            ],
            ..Deployment::default()
        });
        let found = |host, path| table.find(host, path).map(|r| r.prefix.to_string());
        assert_eq!(found("a.example", "/x/y/z").as_deref(), Some("/x/y/"));
        assert_eq!(found("A.example:8080", "/x/yz").as_deref(), Some("/x/"));
        assert_eq!(found("a.example", "/x"), None);
        assert_eq!(found("a.example", "/other/"), None);
        assert_eq!(found("b.example", "/anything").as_deref(), Some("/"));
        assert_eq!(found("c.example", "/x/"), None);
    }

    pub(super) fn services_are_picked_by_weight() {
        let route = route("a", "/");
        let few = (0..1_000_u64).filter(|n| {
            let service = routes::pick_service(&route, n * 7_919);
            service.is_some_and(|s| &**s == "few")
        });
        assert_eq!(few.count(), 100);
    }

    pub(super) fn an_adapter_stays_at_its_first_engine() {
        let ids = ids(18);
        let mut all = candidates(&ids);
        let Choice::Load(first) = load_balancing::choose_for_adapter("a1", &all) else {
            panic!("a cold adapter is loaded");
        };
        all[first].resident = true;
        all[first].in_flight = 3;
        assert_eq!(
            load_balancing::choose_for_adapter("a1", &all),
            Choice::Send(first)
        );
        let Choice::Load(other) = load_balancing::choose_for_adapter("a2", &candidates(&ids))
        else {
            panic!("another adapter is cold");
        };
        assert_ne!(first, other);
    }

    pub(super) fn a_hot_adapter_is_replicated_above_the_bound() {
        let ids = ids(18);
        let mut all = candidates(&ids);
        let Choice::Load(first) = load_balancing::choose_for_adapter("a1", &all) else {
            panic!("a cold adapter is loaded");
        };
        all[first].resident = true;
        all[first].in_flight = 20;
        let chosen = load_balancing::choose_for_adapter("a1", &all);
        assert!(matches!(chosen, Choice::SendAndCopy(i, copy) if i == first && copy != first));
        all[first].in_flight = 32;
        assert!(
            matches!(load_balancing::choose_for_adapter("a1", &all), Choice::Load(i) if i != first)
        );
    }

    pub(super) fn a_cold_adapter_is_loaded_below_the_bound() {
        let ids = ids(18);
        let mut all = candidates(&ids);
        let Choice::Load(first) = load_balancing::choose_for_adapter("a1", &all) else {
            panic!("a cold adapter is loaded");
        };
        all[first].in_flight = 30;
        assert!(
            matches!(load_balancing::choose_for_adapter("a1", &all), Choice::Load(i) if i != first)
        );
    }

    pub(super) fn a_limited_engine_gets_no_further_adapters() {
        let ids = ids(6);
        let mut all = candidates(&ids);
        for c in &mut all[..3] {
            c.limited = true;
        }
        for n in 0..100 {
            let chosen = load_balancing::choose_for_adapter(&format!("a{n}"), &all);
            assert!(matches!(chosen, Choice::Load(3..)), "{chosen:?}");
        }
        all[1].resident = true;
        let chosen = load_balancing::choose_for_adapter("a1", &all);
        assert_eq!(chosen, Choice::Send(1), "it serves what it holds");
        for c in &mut all {
            c.limited = true;
            c.resident = false;
        }
        let chosen = load_balancing::choose_for_adapter("a1", &all);
        assert!(matches!(chosen, Choice::Load(_)), "no other engine is left");
    }

    /// Guards against copies of adapters that are no busier than before, while limited engines run little.
    pub(super) fn limited_engines_do_not_lower_the_bound() {
        let ids = ids(12);
        let mut all = candidates(&ids);
        for (n, c) in all.iter_mut().enumerate() {
            c.limited = n < 6;
            c.in_flight = if n < 6 { 0 } else { 20 };
            c.resident = n >= 6;
        }
        for n in 0..100 {
            let chosen = load_balancing::choose_for_adapter(&format!("a{n}"), &all);
            assert!(matches!(chosen, Choice::Send(_)), "{chosen:?}");
        }
    }

    pub(super) fn full_and_missing_upstreams_are_distinguished() {
        let ids = ids(3);
        let mut all = candidates(&ids);
        assert_eq!(
            load_balancing::choose_least_loaded("r", &all),
            Choice::NoUpstream
        );
        for c in &mut all {
            c.resident = true;
            c.in_flight = 32;
        }
        assert_eq!(load_balancing::choose_least_loaded("r", &all), Choice::Full);
        assert_eq!(load_balancing::choose_for_adapter("a1", &all), Choice::Full);
        all[2].in_flight = 31;
        assert_eq!(
            load_balancing::choose_least_loaded("r", &all),
            Choice::Send(2)
        );
        for c in &mut all {
            c.resident = false;
            c.loadable = false;
        }
        assert_eq!(
            load_balancing::choose_for_adapter("a1", &all),
            Choice::NoUpstream
        );
    }

    pub(super) fn a_delayed_prompt_goes_to_another_engine() {
        let ids = ids(2);
        let mut all = candidates(&ids);
        for c in &mut all {
            c.resident = true;
        }
        let Choice::Send(first) = load_balancing::choose_for_adapter("a1", &all) else {
            panic!("it is resident");
        };
        all[first].wait = Duration::from_millis(300);
        assert_eq!(
            load_balancing::choose_for_adapter("a1", &all),
            Choice::Send(1 - first)
        );
    }

    pub(super) fn retries_stay_within_the_budget() {
        let limits = RetryLimits {
            ratio: 0.2,
            slack: 52.0,
            window: Duration::from_secs(10),
        };
        let service = Arc::from("engines");
        let entries = 6;
        let mut taken = 0;
        for _entry in 0..entries {
            let mut budget = ServiceRetryBudget::new(limits);
            for n in 0..100 {
                budget.record_request(&service, at(n * 20));
                taken += u32::from(budget.take_retry(&service, entries, at(n * 20)));
                taken += u32::from(budget.take_retry(&service, entries, at(n * 20)));
            }
            assert!(!budget.take_retry(&service, entries, at(2_000)));
            assert!(budget.take_retry(&service, entries, at(12_100)));
        }
        let bound = 0.2 * 600.0 + 52.0;
        assert!(f64::from(taken) <= bound, "{taken} of {bound}");
    }

    pub(super) fn consecutive_failures_double_the_ejection_time() {
        let id = UpstreamId::from("engine-1");
        let mut outliers = Outliers::default();
        let first = outliers.record_failure(&id, at(0));
        // Requests that fail together count as one failure.
        outliers.record_failure(&id, at(1));
        assert!(outliers.is_ejected(&id, at(10)));
        assert!(!outliers.is_ejected(&id, at(0) + first));
        let second = outliers.record_failure(&id, at(0) + first);
        assert_eq!(second, first * 2);
        outliers.record_success(&id);
        assert!(!outliers.is_ejected(&id, at(0) + first));
    }

    pub(super) fn a_restart_under_the_same_name_is_detected() {
        let mut registry = Registry::default();
        assert_eq!(
            registry.register(registration("e", 5, 9)),
            RegistryChange::Started
        );
        assert_eq!(
            registry.register(registration("e", 5, 10)),
            RegistryChange::Unchanged
        );
        assert_eq!(
            registry.register(registration("e", 6, 1)),
            RegistryChange::Started
        );
    }

    pub(super) fn peer_registrations_are_used_during_a_store_outage() {
        let mut registry = Registry::default();
        // A peer that is cut off from the store as well adds unknown upstreams, and changes nothing else.
        let removed = registry.apply_peer_view(vec![registration("e", 5, 9)], false, at(0));
        assert_eq!((removed.len(), registry.serving("engines").count()), (0, 1));
        let mut leaving = registration("e", 5, 12);
        leaving.phase = Phase::Leaving { remaining: None };
        registry.apply_peer_view(vec![leaving.clone()], false, at(0));
        assert_eq!(registry.serving("engines").count(), 1);
        // A peer that receives every change is authoritative about upstreams that leave or are removed.
        registry.apply_peer_view(vec![leaving, registration("f", 1, 1)], true, at(0));
        assert_eq!(registry.serving("engines").count(), 1);
        let removed = registry.apply_peer_view(vec![registration("f", 1, 2)], true, at(0));
        assert_eq!(removed, [UpstreamId::from("e")]);
    }

    pub(super) fn the_store_takes_precedence_over_peers() {
        let mut registry = Registry::default();
        registry.register(registration("e", 5, 9));
        registry.apply_listing(&HashSet::from(["e"]), at(0));
        assert!(registry.follows_store());
        let removed = registry.apply_peer_view(vec![registration("f", 5, 9)], true, at(10));
        assert_eq!((removed.len(), registry.all().count()), (0, 1));
        registry.store_lost();
        assert!(!registry.follows_store());
    }

    pub(super) fn older_heartbeats_change_nothing() {
        let mut registry = Registry::default();
        let mut leaving = registration("e", 5, 10);
        leaving.phase = Phase::Leaving { remaining: None };
        registry.register(registration("e", 5, 9));
        assert_eq!(registry.register(leaving), RegistryChange::Leaving);
        registry.register(registration("e", 5, 8));
        assert_eq!(registry.serving("engines").count(), 0);
    }

    pub(super) fn registrations_expired_in_an_outage_get_a_grace_period() {
        let mut registry = Registry::default();
        registry.register(registration("kept", 1, 1));
        registry.register(registration("gone", 1, 1));
        registry.store_recovered(at(1_000));
        assert!(
            registry
                .apply_listing(&HashSet::new(), at(1_050))
                .is_empty()
        );
        assert_eq!(registry.serving("engines").count(), 2);
        registry.register(registration("kept", 1, 5));
        let expired = registry.expire(at(3_050));
        assert_eq!(expired, [UpstreamId::from("gone")]);
        assert_eq!(registry.serving("engines").count(), 1);
        // Without an outage, a removed registration takes effect at once.
        assert_eq!(
            registry.unregister("kept", at(9_000)),
            RegistryChange::Removed
        );
    }

    pub(super) fn an_engine_is_taken_over_by_one_entry() {
        let names: Vec<Arc<str>> = (0..6).map(|n| Arc::from(format!("entry-{n}"))).collect();
        for upstream in ids(40) {
            let record = HolderRecord {
                holder: Arc::clone(&names[2]),
                incarnation: 7,
                generation: 3,
            };
            let era = RecordEra {
                is_settled: true,
                ..RecordEra::default()
            };
            let steps = |record: Option<&HolderRecord>, state| {
                let all = names.iter().map(|name| {
                    let own = OwnProcess {
                        name,
                        incarnation: 9,
                    };
                    takeover::next_step(own, &upstream, record, state, era, &names)
                });
                all.collect::<Vec<TakeoverStep>>()
            };
            let creates = steps(None, HolderState::Live);
            assert_eq!(
                creates
                    .iter()
                    .filter(|s| **s == TakeoverStep::Create(1))
                    .count(),
                1
            );
            let ended = steps(Some(&record), HolderState::Ended);
            let others = ended.iter().enumerate().filter(|(n, _)| *n != 2);
            let taken = others.filter(|(_, s)| **s == TakeoverStep::Replace(4));
            assert_eq!(taken.count(), 1);
            let live = steps(Some(&record), HolderState::Live);
            assert_eq!(live.iter().filter(|s| **s == TakeoverStep::Skip).count(), 5);
            assert_eq!(
                live[2],
                TakeoverStep::Replace(4),
                "the VM takes its engine back after its own restart"
            );
        }
    }

    pub(super) fn a_takeover_waits_for_the_earlier_holder() {
        let record = HolderRecord {
            holder: Arc::from("entry-1"),
            incarnation: 1,
            generation: 1,
        };
        let era = RecordEra::default();
        let wait = |own, earlier| takeover::first_order_at(own, earlier, era, at(0)).since(at(0));
        assert_eq!(wait("entry-2", None), Duration::ZERO);
        assert!(wait("entry-2", Some(&record)) > Duration::from_secs(3));
        assert!(wait("entry-1", Some(&record)) < Duration::from_secs(1));
    }
}
