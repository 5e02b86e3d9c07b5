//! Brittle upstreams: how many requests they get, and when they get none.

use arbtest::arbtest;
use carobfield::{
    clock::BootInstant,
    decide::brittle::{Allowance, BrittleUpstreams},
    ident::UpstreamId,
};
use std::time::Duration;

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    an_upstream_that_is_not_brittle_is_not_held_back,
    entries_share_the_room_of_a_brittle_upstream,
    a_rejection_halves_the_room_and_time_gives_it_back,
    few_rejections_close_an_upstream_for_a_second,
    what_it_said_expires_and_is_lifted,
    any_series_of_rejections_keeps_an_upstream_closed_until_they_are_old,
}

const START: BootInstant = BootInstant(1_000_000_000_000);

fn at(ms: u64) -> BootInstant {
    START + Duration::from_millis(ms)
}

fn brittle(bound: u32) -> (BrittleUpstreams, UpstreamId) {
    let (mut upstreams, id) = (BrittleUpstreams::default(), UpstreamId::from("u"));
    assert!(upstreams.observe(&id, Some(bound), START));
    (upstreams, id)
}

mod case {
    use super::{Allowance, BrittleUpstreams, Duration, START, UpstreamId, arbtest, at, brittle};

    pub(super) fn an_upstream_that_is_not_brittle_is_not_held_back() {
        let (mut upstreams, id) = (BrittleUpstreams::default(), UpstreamId::from("u"));
        assert!(!upstreams.observe(&id, None, START));
        upstreams.record_rejections(&id, 100, 50, START);
        assert_eq!(upstreams.allowance(&id, 8, 3, START), None);
        assert_eq!(upstreams.wait(&id, START), Duration::ZERO);
    }

    pub(super) fn entries_share_the_room_of_a_brittle_upstream() {
        let (upstreams, id) = brittle(4);
        let allowance = |slots, entries| upstreams.allowance(&id, slots, entries, START);
        assert_eq!(allowance(64, 9), Some(Allowance { total: 64, own: 7 }));
        assert_eq!(allowance(6, 9), Some(Allowance { total: 6, own: 1 }));
    }

    pub(super) fn a_rejection_halves_the_room_and_time_gives_it_back() {
        let (mut upstreams, id) = brittle(100);
        upstreams.record_rejections(&id, 1, 6, at(0));
        let total = |now| upstreams.allowance(&id, 8, 1, now).map(|a| a.total);
        assert_eq!(total(at(0)), Some(3));
        assert_eq!(total(at(2_000)), Some(5));
        assert_eq!(total(at(9_000)), Some(8));
    }

    pub(super) fn few_rejections_close_an_upstream_for_a_second() {
        let (mut upstreams, id) = brittle(8);
        upstreams.record_rejections(&id, 1, 8, at(0));
        assert_eq!(upstreams.wait(&id, at(0)), Duration::ZERO);
        upstreams.record_rejections(&id, 1, 8, at(300));
        assert_eq!(upstreams.wait(&id, at(300)), Duration::from_millis(700));
        assert_eq!(upstreams.wait(&id, at(1_000)), Duration::ZERO);
    }

    pub(super) fn what_it_said_expires_and_is_lifted() {
        let (mut upstreams, id) = brittle(4);
        assert!(
            !upstreams.observe(&id, Some(4), at(5_000)),
            "the same again"
        );
        assert!(upstreams.allowance(&id, 8, 1, at(14_000)).is_some());
        assert!(upstreams.allowance(&id, 8, 1, at(15_000)).is_none());
        assert!(upstreams.observe(&id, Some(4), at(20_000)), "a new one");
        assert!(
            !upstreams.observe(&id, Some(7), at(19_000)),
            "an older word"
        );
        assert!(upstreams.observe(&id, None, at(21_000)));
        assert!(upstreams.allowance(&id, 8, 1, at(21_000)).is_none());
    }

    pub(super) fn any_series_of_rejections_keeps_an_upstream_closed_until_they_are_old() {
        arbtest(|u| {
            let bound = u.int_in_range(0..=20)?;
            let (mut upstreams, id) = brittle(bound);
            let (mut now, mut all) = (0, Vec::new());
            for _ in 0..u.int_in_range(1..=20)? {
                now += u.int_in_range(0..=400)?;
                let count = u.int_in_range(1..=3)?;
                upstreams.record_rejections(&id, count, 8, at(now));
                all.extend(std::iter::repeat_n(now, count as usize));
            }
            let borne = (f64::from(bound) * 0.25).max(1.0) as usize;
            let open = now + upstreams.wait(&id, at(now)).as_millis() as u64;
            let left = |at: u64| all.iter().filter(|r| at - **r < 1_000).count();
            assert!(left(open) < borne, "open with {} of {borne}", left(open));
            assert!(open == now || left(open - 1) >= borne, "closed too long");
            Ok(())
        });
    }
}
