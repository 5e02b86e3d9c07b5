//! What this entry knows of the others, from their updates.

use crate::{
    clock::BootInstant,
    edge::registration::AdapterKey,
    entry::messages::{HeldChange, PeerInfo, PeerUpdate},
    ident::{Generation, UpstreamId},
};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

/// Silence after which an entry is not named to callers any more; several updates are missing then.
pub const SILENCE: Duration = Duration::from_millis(1_200);

/// Silence after which an entry's requests are taken to have ended, or to be counted by others.
const FORGET_AFTER: Duration = Duration::from_secs(3);

/// An engine as its holder describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldEngine {
    /// Fencing number of the holder.
    pub generation: Generation,
    /// Whether the holder may give orders.
    pub active: bool,
    /// Adapters that requests may use, and their versions.
    pub adapters: HashMap<AdapterKey, u32>,
}

impl HeldEngine {
    /// Takes in a change.
    pub fn apply(&mut self, change: &HeldChange) {
        self.generation = change.generation;
        self.active = change.active;
        for key in &change.went {
            self.adapters.remove(key);
        }
        self.adapters.extend(change.came.iter().cloned());
    }
}

/// Another entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it last said of itself.
    pub info: PeerInfo,
    /// When it was last heard of.
    pub heard: BootInstant,
    known: Vec<SocketAddr>,
    loads: HashMap<UpstreamId, u32>,
    uses: HashMap<(UpstreamId, AdapterKey), u32>,
    held: HashMap<UpstreamId, HeldEngine>,
}

impl Peer {
    /// Whether it was heard of lately.
    pub fn is_live(&self, now: BootInstant) -> bool {
        now.since(self.heard) < SILENCE
    }
}

/// The other entries.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<Arc<str>, Peer>,
}

impl Peers {
    /// Takes in an update; whether it came from a process not heard of before.
    pub fn update(&mut self, update: &PeerUpdate, now: BootInstant) -> bool {
        let name = Arc::clone(&update.info.name);
        let known = self.peers.get(&name).map(|p| p.info.incarnation);
        if known.is_some_and(|i| i > update.info.incarnation) {
            return false;
        }
        let is_new = known != Some(update.info.incarnation);
        let peer = self.peers.entry(name).or_insert_with(|| Peer {
            info: update.info.clone(),
            heard: now,
            known: Vec::new(),
            loads: HashMap::new(),
            uses: HashMap::new(),
            held: HashMap::new(),
        });
        if is_new || update.sequence == 0 {
            peer.held.clear();
        }
        peer.info = update.info.clone();
        peer.heard = now;
        peer.known.clone_from(&update.known);
        peer.loads = update.loads.iter().cloned().collect();
        let uses = update.uses.iter();
        peer.uses = uses
            .map(|u| ((Arc::clone(&u.upstream), u.key.clone()), u.running))
            .collect();
        for change in &update.held {
            if change.released {
                peer.held.remove(&change.upstream);
            } else {
                let held = peer.held.entry(Arc::clone(&change.upstream)).or_default();
                held.apply(change);
            }
        }
        is_new
    }

    /// Entries heard of lately.
    pub fn live(&self, now: BootInstant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.is_live(now))
    }

    /// Link addresses of all entries that ever spoke, and of those that they know.
    pub fn links(&self) -> impl Iterator<Item = SocketAddr> {
        let known = self.peers.values().flat_map(|p| p.known.iter().copied());
        self.peers.values().map(|p| p.info.link).chain(known)
    }

    /// Link addresses of entries heard of lately.
    pub fn live_links(&self, now: BootInstant) -> Vec<SocketAddr> {
        self.live(now).map(|p| p.info.link).collect()
    }

    /// Engines held by the entry whose link address is `link`.
    pub fn held_by(&self, link: SocketAddr) -> Vec<UpstreamId> {
        let mut peers = self.peers.values().filter(|p| p.info.link == link);
        let held = peers.next().map(|p| p.held.keys().cloned());
        held.into_iter().flatten().collect()
    }

    /// Requests that other entries have at `upstream`.
    pub fn load(&self, upstream: &str, now: BootInstant) -> u32 {
        let counted = self
            .peers
            .values()
            .filter(|p| now.since(p.heard) < FORGET_AFTER);
        counted.filter_map(|p| p.loads.get(upstream)).sum()
    }

    /// Whether another entry uses `key` at `upstream`.
    pub fn uses(&self, upstream: &UpstreamId, key: &AdapterKey) -> bool {
        let name = (Arc::clone(upstream), key.clone());
        let counts = self.peers.values().filter_map(|p| p.uses.get(&name));
        counts.sum::<u32>() > 0
    }

    /// The engine `upstream` as its latest holder describes it, and that holder.
    pub fn held(&self, upstream: &str) -> Option<(&Peer, &HeldEngine)> {
        let holders = self
            .peers
            .values()
            .filter_map(|p| p.held.get(upstream).map(|h| (p, h)));
        holders.max_by_key(|(_, h)| h.generation)
    }
}
