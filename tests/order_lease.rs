//! Order lease: when an entry may send orders.

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
    a_regained_lease_requires_reading_the_records_again,
    a_renewed_lease_stays_usable,
    a_renewal_acknowledged_after_expiry_counts_as_regained,
    orders_continue_through_an_outage_of_eight_seconds,
    a_takeover_waits_for_the_end_of_the_lease,
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

    /// Guards against orders after a partition: a VM cut off from the store for 12 s renewed its lease and sent an
    /// order 100 ms before it read that another VM held the engine (Amman, scale-2 --seed 239631080035).
    pub(super) fn a_regained_lease_requires_reading_the_records_again() {
        let mut lease = order_lease();
        assert!(lease.may_order(at(100)));
        assert!(!lease.may_order(at(12_500)));
        lease.renewed(at(13_600), at(13_695));
        assert!(lease.is_fresh(at(13_700)));
        assert!(!lease.may_order(at(13_732)));
        lease.confirmed(at(13_800));
        assert!(lease.may_order(at(13_810)));
    }

    pub(super) fn a_renewed_lease_stays_usable() {
        let mut lease = order_lease();
        let step = RENEW_INTERVAL.as_millis() as u64;
        for n in 1..20 {
            lease.renewed(at(n * step), at(n * step + 5));
            assert!(lease.may_order(at(n * step + 10)));
        }
    }

    /// Guards against a lease that is too short: a third of the requests was refused from four seconds into a store
    /// outage (Amman, trouble-3).
    pub(super) fn orders_continue_through_an_outage_of_eight_seconds() {
        let lease = order_lease();
        assert!(lease.may_order(at(8_000) + RENEW_INTERVAL * 2));
    }

    pub(super) fn a_takeover_waits_for_the_end_of_the_lease() {
        assert!(TIMING.takeover >= TIMING.lease + Duration::from_secs(2));
    }

    pub(super) fn a_renewal_acknowledged_after_expiry_counts_as_regained() {
        let mut lease = order_lease();
        let late = at(0) + TIMING.lease + Duration::from_millis(1);
        lease.renewed(at(3_000), late);
        assert!(lease.is_fresh(late));
        assert!(!lease.may_order(late));
    }
}
