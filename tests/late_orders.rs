//! Orders of a holder that the engine may still execute, as the next holder learns of them.

use carobfield::{
    clock::BootInstant,
    decide::{
        reservations::LateExecution,
        residency::{Plan, Residency},
        takeover::{LateOrder, MemberRecord},
    },
    edge::registration::AdapterKey,
    entry::late_orders::LateOrders,
    ident::UpstreamId,
};
use std::{net::SocketAddr, time::Duration};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    late_orders_pass_to_the_next_holder,
    late_orders_of_earlier_builds_name_no_version,
}

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

mod case {
    use super::{
        AdapterKey, LateExecution, LateOrder, LateOrders, MemberRecord, Plan, Residency,
        SocketAddr, UpstreamId, at,
    };

    /// Guards against loads of a killed holder that the engine executes after the next process has evicted their
    /// adapters (deploy/days/late-orders.toml).
    pub(super) fn late_orders_pass_to_the_next_holder() {
        let order = LateOrder {
            upstream: UpstreamId::from("engine-1"),
            key: AdapterKey::new("base", "a1"),
            version: Some(1),
        };
        let record = MemberRecord {
            settled: None,
            incarnation: 1,
            counter: 4,
            link: SocketAddr::from(([10, 0, 0, 1], 80)),
            stopped: false,
            late: vec![order.clone()],
            refused: Vec::new(),
        };
        let written = serde_json::to_string(&record).expect("a record");
        let read: MemberRecord = serde_json::from_str(&written).expect("the record");
        let mut orders = LateOrders::default();
        orders.inherit(&read.late, at(0));
        let pending = orders.copies_at("engine-1", at(12_000));
        assert_eq!(pending, [(order.key.clone(), order.version)]);
        assert!(orders.copies_at("engine-2", at(0)).is_empty());
        assert!(orders.copies_at("engine-1", at(16_000)).is_empty());
        // The next holder finds the adapter resident, but does not expect its eviction to free the slot.
        let mut next = Residency::new(2);
        next.add(order.key.clone(), 1, at(0));
        next.add(AdapterKey::new("base", "a2"), 1, at(0));
        for (key, version) in orders.copies_at("engine-1", at(0)) {
            next.mark_late_order(&key, version, LateExecution::UnderWay, at(0));
        }
        let cold = AdapterKey::new("base", "a9");
        let plan = next.plan(&cold, 1, at(5_000), |_| false);
        assert_eq!(plan, Plan::Evict(AdapterKey::new("base", "a2")));
    }

    /// A holder of an earlier build records the adapter only, whose version may be another than that at the engine.
    pub(super) fn late_orders_of_earlier_builds_name_no_version() {
        let written = r#"{"upstream":"engine-1","key":{"model":"base","adapter":"a1"}}"#;
        let order: LateOrder = serde_json::from_str(written).expect("a late order");
        assert_eq!(order.version, None);
        let mut next = Residency::new(2);
        next.add(order.key.clone(), 1, at(0));
        next.mark_late_order(&order.key, order.version, LateExecution::UnderWay, at(0));
        assert_eq!(next.used_slots(), 2);
    }
}
