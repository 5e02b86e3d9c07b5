//! The upstreams that may get work: registrations as they come, go, and come back after an outage.

use crate::{
    clock::BootInstant,
    edge::registration::{Phase, Registration},
    ident::UpstreamId,
};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

/// Time after the store's return in which a registration that lapsed meanwhile still counts: the platform has
/// living upstreams back within about two seconds.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// What a change of a registration meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// A new upstream, or a new process under an earlier name.
    Started,
    /// It began to leave.
    Leaving,
    /// It is gone.
    Removed,
    /// It lapsed while the store was away, and counts until it is missed for longer.
    InGracePeriod,
    /// Nothing that matters for routing.
    Unchanged,
}

/// One upstream.
#[derive(Clone, Debug)]
struct Member {
    registration: Arc<Registration>,
    /// When it is taken as gone, unless it comes back.
    lapses: Option<BootInstant>,
}

/// All registered upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    members: HashMap<UpstreamId, Member>,
    /// When the store was last known to have come back.
    returned: Option<BootInstant>,
    /// Whether the store tells every change.
    follows: bool,
    /// Changes so far that matter for routing.
    changes: u64,
}

impl Registry {
    /// Whether the store tells every change; otherwise other entries may know more.
    pub fn follows_store(&self) -> bool {
        self.follows
    }

    /// Counts the changes that matter for routing.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Takes in that the store does not answer.
    pub fn store_lost(&mut self) {
        self.follows = false;
    }

    /// Takes in that the store answers again after it was away.
    pub fn store_recovered(&mut self, now: BootInstant) {
        self.returned = Some(now);
    }

    /// Takes in a registration.
    pub fn register(&mut self, registration: Registration) -> RegistryChange {
        let id = Arc::clone(&registration.id);
        let before = self.members.get(&id).map(|m| Arc::clone(&m.registration));
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
        let member = Member {
            registration: Arc::new(registration),
            lapses: None,
        };
        self.members.insert(id, member);
        self.changes += u64::from(change != RegistryChange::Unchanged);
        change
    }

    /// Takes in that a registration was removed.
    pub fn unregister(&mut self, id: &str, now: BootInstant) -> RegistryChange {
        let Some(member) = self.members.get_mut(id) else {
            return RegistryChange::Unchanged;
        };
        let until = self.returned.map(|t| t + RETURN_GRACE);
        if let Some(until) = until.filter(|t| now < *t) {
            member.lapses = Some(until);
            return RegistryChange::InGracePeriod;
        }
        self.members.remove(id);
        self.changes += 1;
        RegistryChange::Removed
    }

    /// Drops an upstream whose entry can't be read; whether there was one.
    pub fn discard(&mut self, id: &str) -> bool {
        let was_known = self.members.remove(id).is_some();
        self.changes += u64::from(was_known);
        was_known
    }

    /// Takes in a whole listing: what it lacks was removed.
    pub fn apply_listing(&mut self, present: &HashSet<&str>, now: BootInstant) -> Vec<UpstreamId> {
        self.follows = true;
        self.remove_missing(present, now)
    }

    /// Takes in what another entry knows, unless the store tells this one itself. A teller that hears of every
    /// change also proves that what it lacks is gone.
    pub fn apply_peer_view(
        &mut self,
        registrations: Vec<Registration>,
        teller_follows: bool,
        now: BootInstant,
    ) -> Vec<UpstreamId> {
        if self.follows {
            return Vec::new();
        }
        let ids: Vec<UpstreamId> = registrations.iter().map(|r| Arc::clone(&r.id)).collect();
        for registration in registrations {
            self.told_one(registration, teller_follows);
        }
        if !teller_follows {
            return Vec::new();
        }
        let present = ids.iter().map(|id| &**id).collect();
        self.remove_missing(&present, now)
    }

    /// A teller that the store has left as well knows no better than this entry what it has known itself.
    fn told_one(&mut self, registration: Registration, teller_follows: bool) {
        if teller_follows || !self.members.contains_key(&registration.id) {
            self.register(registration);
        }
    }

    fn remove_missing(&mut self, present: &HashSet<&str>, now: BootInstant) -> Vec<UpstreamId> {
        let missing: Vec<UpstreamId> = self
            .members
            .keys()
            .filter(|id| !present.contains(&***id))
            .cloned()
            .collect();
        let gone = missing
            .into_iter()
            .filter(|id| self.unregister(id, now) == RegistryChange::Removed);
        gone.collect()
    }

    /// Removes what lapsed and did not come back; the names.
    pub fn expire(&mut self, now: BootInstant) -> Vec<UpstreamId> {
        let due = |m: &Member| m.lapses.is_some_and(|t| now >= t);
        let gone: Vec<UpstreamId> = self
            .members
            .iter()
            .filter(|(_, m)| due(m))
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &gone {
            self.members.remove(id);
        }
        self.changes += gone.len() as u64;
        gone
    }

    /// The registration of `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<Registration>> {
        self.members.get(id).map(|m| &m.registration)
    }

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Registration>> {
        self.members.values().map(|m| &m.registration)
    }

    /// Upstreams of `service` that take new work.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Registration>> {
        self.all()
            .filter(move |r| &*r.service == service && r.is_serving())
    }
}
