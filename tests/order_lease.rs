//! When an entry may give orders.

use carobfield::{
    clock::BootInstant,
    decide::order_lease::{OrderLease, TIMING},
    lease::RENEW_INTERVAL,
};
use std::time::Duration;

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_regained_lease_wants_a_new_look_at_the_records,
    a_renewed_lease_goes_on,
    an_answer_after_the_lease_ended_counts_as_regained,
    orders_go_on_through_an_outage_of_eight_seconds,
    a_takeover_comes_after_the_lease,
}

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

fn order_lease() -> OrderLease {
    let mut order_lease = OrderLease::default();
    order_lease.renewed(at(0), at(4));
    order_lease.confirmed(at(10));
    order_lease
}

mod case {
    use super::{Duration, RENEW_INTERVAL, TIMING, at, order_lease};

    /// Hunt at Amman, scale-2 --seed 239631080035: a VM cut from the store for 12 s renewed its lease and gave an
    /// order 100 ms before it read that the engine was another's.
    pub(super) fn a_regained_lease_wants_a_new_look_at_the_records() {
        let mut m = order_lease();
        assert!(m.may_order(at(100)));
        assert!(!m.may_order(at(12_500)));
        m.renewed(at(13_600), at(13_695));
        assert!(m.is_fresh(at(13_700)));
        assert!(!m.may_order(at(13_732)));
        m.confirmed(at(13_800));
        assert!(m.may_order(at(13_810)));
    }

    pub(super) fn a_renewed_lease_goes_on() {
        let mut m = order_lease();
        let step = RENEW_INTERVAL.as_millis() as u64;
        for n in 1..20 {
            m.renewed(at(n * step), at(n * step + 5));
            assert!(m.may_order(at(n * step + 10)));
        }
    }

    /// At Amman trouble-3, a third of the requests was refused from four seconds into an outage on.
    pub(super) fn orders_go_on_through_an_outage_of_eight_seconds() {
        let m = order_lease();
        assert!(m.may_order(at(8_000) + RENEW_INTERVAL * 2));
    }

    pub(super) fn a_takeover_comes_after_the_lease() {
        assert!(TIMING.takeover >= TIMING.lease + Duration::from_secs(2));
    }

    pub(super) fn an_answer_after_the_lease_ended_counts_as_regained() {
        let mut m = order_lease();
        let late = at(0) + TIMING.lease + Duration::from_millis(1);
        m.renewed(at(3_000), late);
        assert!(m.is_fresh(late));
        assert!(!m.may_order(late));
    }
}
