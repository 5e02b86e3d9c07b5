//! Pauses that upstreams ask for.

use carobfield::{
    clock::BootInstant,
    decide::hold_offs::HoldOffs,
    edge::registration::{Phase, Registration},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    an_upstream_is_left_alone_until_the_end_of_its_pause,
    the_latest_end_counts,
    a_pause_is_that_of_a_process,
    huge_pauses_do_not_overflow,
}

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

fn upstream(id: &str, born: u64) -> Registration {
    Registration {
        id: Arc::from(id),
        service: Arc::from("plain"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: Arc::from("north"),
        slots: 6,
        phase: Phase::Serving,
        born: Some(born),
        beat: 0,
        software: None,
        models: Vec::new(),
    }
}

mod case {
    use super::{Duration, HoldOffs, at, upstream};

    const PAUSE: Duration = Duration::from_secs(3);

    pub(super) fn an_upstream_is_left_alone_until_the_end_of_its_pause() {
        let mut held = HoldOffs::default();
        let (busy, other) = (upstream("busy", 1), upstream("other", 1));
        assert!(held.record(&busy, PAUSE, at(0)));
        assert_eq!(held.wait(&busy, at(1_000)), Duration::from_secs(2));
        assert_eq!(held.wait(&other, at(1_000)), Duration::ZERO);
        assert_eq!(held.wait(&busy, at(3_000)), Duration::ZERO);
        assert!(held.record(&busy, PAUSE, at(3_000)), "a new pause");
        held.forget("busy");
        assert_eq!(held.wait(&busy, at(3_100)), Duration::ZERO);
    }

    pub(super) fn the_latest_end_counts() {
        let mut held = HoldOffs::default();
        let busy = upstream("busy", 1);
        held.record(&busy, PAUSE, at(0));
        assert!(!held.record(&busy, Duration::from_secs(1), at(500)));
        assert_eq!(held.wait(&busy, at(2_000)), Duration::from_secs(1));
        assert!(!held.record(&busy, PAUSE, at(2_000)));
        assert_eq!(held.wait(&busy, at(4_000)), Duration::from_secs(1));
    }

    pub(super) fn a_pause_is_that_of_a_process() {
        let mut held = HoldOffs::default();
        held.record(&upstream("busy", 1), PAUSE, at(0));
        assert_eq!(held.wait(&upstream("busy", 2), at(10)), Duration::ZERO);
    }

    pub(super) fn huge_pauses_do_not_overflow() {
        let mut held = HoldOffs::default();
        let busy = upstream("busy", 1);
        held.record(&busy, Duration::MAX, at(0));
        assert!(held.wait(&busy, at(1_000)) > Duration::from_hours(1));
        assert!(!held.record(&upstream("idle", 1), Duration::ZERO, at(0)));
    }
}
