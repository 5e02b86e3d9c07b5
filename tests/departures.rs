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
    use super::{at, following, registration, serving};

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
}
