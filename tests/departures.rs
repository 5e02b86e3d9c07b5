//! Upstream processes that leave or have left, whatever older knowledge says of them.

use carobfield::{
    clock::BootInstant,
    decide::registry::Registry,
    edge::registration::{Phase, Registration},
};
use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    an_announced_shutdown_is_revoked_by_a_heartbeat,
    an_announcement_by_mistake_holds_for_ever,
    a_new_process_inherits_an_announcement,
    an_outdated_copy_brings_a_removed_process_back,
    an_outdated_copy_replaces_a_newer_process,
    a_removed_process_that_registers_again_is_ignored,
    what_a_peer_lacks_counts_as_removed,
}

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000_000) + Duration::from_millis(ms)
}

fn registration(born: u64, beat: u64) -> Registration {
    Registration {
        id: Arc::from("e"),
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

/// Returns a registry that follows the store and knows one upstream.
fn following() -> Registry {
    let mut registry = Registry::default();
    registry.apply_listing(&HashSet::new(), at(0));
    registry.register(registration(5, 9));
    registry
}

fn serving(registry: &Registry) -> usize {
    registry.serving("engines").count()
}

mod case {
    use super::{HashSet, Registry, at, following, registration, serving};

    pub(super) fn an_announced_shutdown_is_revoked_by_a_heartbeat() {
        let mut registry = following();
        let before = registry.change_count();
        assert!(registry.announce_leaving(&registration(5, 9), at(0)));
        assert!(!registry.announce_leaving(&registration(5, 9), at(5)));
        assert_eq!(
            (serving(&registry), registry.change_count()),
            (0, before + 1)
        );
        registry.register(registration(5, 10));
        registry.apply_peer_view(vec![registration(5, 11)], true, at(10));
        assert_eq!(serving(&registry), 0);
    }

    pub(super) fn an_announcement_by_mistake_holds_for_ever() {
        let mut registry = following();
        registry.announce_leaving(&registration(5, 9), at(0));
        registry.expire(at(59_000));
        registry.register(registration(5, 10));
        assert_eq!(serving(&registry), 0);
        registry.expire(at(60_000));
        registry.register(registration(5, 11));
        assert_eq!(serving(&registry), 1);
    }

    pub(super) fn a_new_process_inherits_an_announcement() {
        let mut registry = following();
        registry.announce_leaving(&registration(5, 9), at(0));
        registry.register(registration(6, 1));
        assert_eq!(serving(&registry), 1);
        // An answer of the earlier process that comes late.
        assert!(!registry.announce_leaving(&registration(5, 9), at(5)));
        assert_eq!(serving(&registry), 1);
    }

    pub(super) fn an_outdated_copy_brings_a_removed_process_back() {
        let mut registry = following();
        registry.unregister("e", at(0));
        registry.register_copy(registration(5, 8));
        registry.register_copy(registration(5, 9));
        assert_eq!(serving(&registry), 0);
        registry.store_lost();
        for follows in [false, true] {
            registry.apply_peer_view(vec![registration(5, 9)], follows, at(10));
            assert_eq!(serving(&registry), 0);
        }
        registry.register_copy(registration(5, 10));
        assert_eq!(serving(&registry), 1);
    }

    pub(super) fn an_outdated_copy_replaces_a_newer_process() {
        let mut registry = following();
        registry.register_copy(registration(4, 90));
        let known = registry.get("e").map(|r| r.born);
        assert_eq!(known, Some(Some(5)));
        registry.register_copy(registration(6, 1));
        assert_eq!(registry.get("e").map(|r| r.born), Some(Some(6)));
    }

    pub(super) fn a_removed_process_that_registers_again_is_ignored() {
        let mut registry = following();
        registry.unregister("e", at(0));
        // A write that the store reports by itself is new, whatever its heartbeat.
        registry.register(registration(5, 9));
        assert_eq!(serving(&registry), 1);
        registry.unregister("e", at(10));
        registry.expire(at(30_010));
        registry.register_copy(registration(5, 9));
        assert_eq!(serving(&registry), 1);
    }

    pub(super) fn what_a_peer_lacks_counts_as_removed() {
        let mut registry = Registry::default();
        registry.apply_peer_view(vec![registration(5, 9)], true, at(0));
        let gone = registry.apply_peer_view(Vec::new(), true, at(10));
        assert_eq!(gone.len(), 1);
        registry.apply_peer_view(vec![registration(5, 9)], true, at(20));
        assert_eq!(serving(&registry), 1);
        registry.apply_listing(&HashSet::from(["e"]), at(30));
        assert_eq!(serving(&registry), 1);
    }
}
