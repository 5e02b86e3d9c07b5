//! Registry of upstreams: tracks registrations as they are added, removed, and restored after a store outage.

use crate::{
    clock::BootInstant,
    decide::departures::Departures,
    edge::registration::{Phase, Registration},
    ident::UpstreamId,
};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

/// Grace period after the store recovers in which a registration that expired during the outage still counts: live
/// upstreams register again within about two seconds.
const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Effect of a change to a registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// A new upstream, or a new process under a known name.
    Started,
    /// The upstream started to shut down.
    Leaving,
    /// The upstream was removed.
    Removed,
    /// The registration expired during a store outage, and counts until the grace period ends.
    InGracePeriod,
    /// Nothing changed that matters for routing.
    Unchanged,
}

/// A registered upstream.
#[derive(Clone, Debug)]
struct RegisteredUpstream {
    registration: Arc<Registration>,
    /// End of its grace period, unless it registers again.
    grace_until: Option<BootInstant>,
}

/// All registered upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: HashMap<UpstreamId, RegisteredUpstream>,
    /// When the store last recovered from an outage.
    recovered_at: Option<BootInstant>,
    /// Whether this registry receives every change from the store.
    follows_store: bool,
    /// Number of changes so far that matter for routing.
    change_count: u64,
    departures: Departures,
}

impl Registry {
    /// Returns whether every change is received from the store; if not, peers may know more.
    pub fn follows_store(&self) -> bool {
        self.follows_store
    }

    /// Returns the number of changes so far that matter for routing.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Records that the store does not respond.
    pub fn store_lost(&mut self) {
        self.follows_store = false;
    }

    /// Records that the store responds again after an outage.
    pub fn store_recovered(&mut self, now: BootInstant) {
        self.recovered_at = Some(now);
    }

    /// Records that the process of `upstream` announced its shutdown in a response. Returns whether that is new.
    pub fn announce_leaving(&mut self, upstream: &Registration, now: BootInstant) -> bool {
        let is_new = self.departures.announce(upstream, now);
        let Some(known) = self.upstreams.get_mut(&upstream.id) else {
            return is_new;
        };
        if known.registration.is_same_process(upstream) && known.registration.is_serving() {
            let registration = Arc::make_mut(&mut known.registration);
            registration.phase = Phase::Leaving { remaining: None };
            self.change_count += 1;
        }
        is_new
    }

    /// Adds or updates a registration from a source that may be behind: a peer, or an older copy of the store. It brings
    /// back neither a process that was removed nor one that another has replaced.
    pub fn register_copy(&mut self, registration: Registration) -> RegistryChange {
        let known = self.upstreams.get(&registration.id);
        let born = known.and_then(|k| k.registration.born.zip(registration.born));
        let is_replaced = born.is_some_and(|(known, copied)| copied < known);
        if is_replaced || self.departures.is_outdated(&registration) {
            return RegistryChange::Unchanged;
        }
        self.register(registration)
    }

    /// Adds or updates a registration; an older heartbeat of the same process is ignored.
    pub fn register(&mut self, mut registration: Registration) -> RegistryChange {
        self.departures.restore(&registration);
        if registration.is_serving() && self.departures.is_announced(&registration) {
            registration.phase = Phase::Leaving { remaining: None };
        }
        let id = Arc::clone(&registration.id);
        let before = self.upstreams.get(&id).map(|m| Arc::clone(&m.registration));
        let change = match &before {
            Some(known) if known.is_same_process(&registration) => {
                if registration.beat < known.beat {
                    return RegistryChange::Unchanged;
                }
                match (known.phase, registration.phase) {
                    (Phase::Serving, Phase::Leaving { .. }) => RegistryChange::Leaving,
                    _ => RegistryChange::Unchanged,
                }
            }
            _ => RegistryChange::Started,
        };
        let upstream = RegisteredUpstream {
            registration: Arc::new(registration),
            grace_until: None,
        };
        self.upstreams.insert(id, upstream);
        self.change_count += u64::from(change != RegistryChange::Unchanged);
        change
    }

    /// Removes a registration, or starts its grace period right after an outage.
    pub fn unregister(&mut self, id: &str, now: BootInstant) -> RegistryChange {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return RegistryChange::Unchanged;
        };
        let until = self.recovered_at.map(|t| t + RECOVERY_GRACE);
        if let Some(until) = until.filter(|t| now < *t) {
            upstream.grace_until = Some(until);
            return RegistryChange::InGracePeriod;
        }
        if let Some(removed) = self.upstreams.remove(id)
            && self.follows_store
        {
            self.departures.remove(&removed.registration, now);
        }
        self.change_count += 1;
        RegistryChange::Removed
    }

    /// Drops an upstream whose registration can't be parsed; returns whether it was known.
    pub fn discard(&mut self, id: &str) -> bool {
        let was_known = self.upstreams.remove(id).is_some();
        self.change_count += u64::from(was_known);
        was_known
    }

    /// Applies a full listing: upstreams missing from it were removed. Returns those that are gone.
    pub fn apply_listing(&mut self, present: &HashSet<&str>, now: BootInstant) -> Vec<UpstreamId> {
        self.follows_store = true;
        self.remove_missing(present, now)
    }

    /// Applies the registrations of a peer, unless this entry receives them from the store itself. If the peer
    /// receives every change, upstreams that it lacks are removed. Returns those that are gone.
    pub fn apply_peer_view(
        &mut self,
        registrations: Vec<Registration>,
        peer_follows_store: bool,
        now: BootInstant,
    ) -> Vec<UpstreamId> {
        if self.follows_store {
            return Vec::new();
        }
        let ids: Vec<UpstreamId> = registrations.iter().map(|r| Arc::clone(&r.id)).collect();
        for registration in registrations {
            self.apply_peer_registration(registration, peer_follows_store);
        }
        if !peer_follows_store {
            return Vec::new();
        }
        let present = ids.iter().map(|id| &**id).collect();
        self.remove_missing(&present, now)
    }

    /// Applies a peer's registration; a peer that is cut off from the store as well adds only unknown upstreams.
    fn apply_peer_registration(&mut self, registration: Registration, peer_follows_store: bool) {
        if peer_follows_store || !self.upstreams.contains_key(&registration.id) {
            self.register_copy(registration);
        }
    }

    fn remove_missing(&mut self, present: &HashSet<&str>, now: BootInstant) -> Vec<UpstreamId> {
        let missing: Vec<UpstreamId> = self
            .upstreams
            .keys()
            .filter(|id| !present.contains(&***id))
            .cloned()
            .collect();
        let gone = missing
            .into_iter()
            .filter(|id| self.unregister(id, now) == RegistryChange::Removed);
        gone.collect()
    }

    /// Removes upstreams whose grace period has ended, and returns their names.
    pub fn expire(&mut self, now: BootInstant) -> Vec<UpstreamId> {
        self.departures.expire(now);
        let due = |m: &RegisteredUpstream| m.grace_until.is_some_and(|t| now >= t);
        let gone: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, m)| due(m))
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &gone {
            if let Some(removed) = self.upstreams.remove(id) {
                self.departures.remove(&removed.registration, now);
            }
        }
        self.change_count += gone.len() as u64;
        gone
    }

    /// Returns the registration of `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<Registration>> {
        self.upstreams.get(id).map(|m| &m.registration)
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Registration>> {
        self.upstreams.values().map(|m| &m.registration)
    }

    /// Returns the upstreams of `service` that accept new requests.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Registration>> {
        self.all()
            .filter(move |r| &*r.service == service && r.is_serving())
    }
}
