//! What this entry knows of the others, from their updates.

use crate::{
    clock::BootInstant,
    edge::registration::AdapterKey,
    entry::messages::{HeldChange, PeerInfo, PeerUpdate},
    ident::{Generation, UpstreamId},
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Silence after which an entry is not named to callers any more; several updates are missing then.
pub const SILENCE: Duration = Duration::from_millis(1_200);

/// Silence after which an entry's requests are taken to have ended, or to be counted by others, and what it said of
/// the entries that it spoke for is dropped: they find somebody else to speak for them meanwhile.
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

/// An engine and the name of the entry that holds it.
#[derive(Clone, Debug)]
pub struct Held {
    /// Holder.
    pub holder: Arc<str>,
    /// Engine; replaced with each change.
    pub engine: Arc<HeldEngine>,
}

/// An engine as the requests of this entry may use it.
#[derive(Clone, Copy, Debug)]
pub struct HeldView<'a> {
    /// Engine.
    pub engine: &'a HeldEngine,
    /// Its holder, where it is known.
    pub holder: Option<&'a PeerInfo>,
    /// Whether the holder was heard of lately.
    pub is_live: bool,
}

/// Another entry that speaks to this one.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it last said of itself.
    pub info: PeerInfo,
    /// When it was last heard of.
    pub heard: BootInstant,
    /// Whether this entry speaks for it.
    pub homed: bool,
    /// Requests of it and those that it speaks for, at each upstream.
    pub loads: HashMap<UpstreamId, u32>,
    /// Their use of adapters.
    pub uses: HashMap<(UpstreamId, AdapterKey), u32>,
    /// Engines that they hold.
    pub held: HashMap<UpstreamId, Held>,
    /// Entries that it speaks for.
    pub others: HashMap<Arc<str>, PeerInfo>,
    known: HashSet<SocketAddr>,
}

impl Peer {
    fn new(info: PeerInfo, heard: BootInstant) -> Self {
        Self {
            info,
            heard,
            homed: false,
            loads: HashMap::new(),
            uses: HashMap::new(),
            held: HashMap::new(),
            others: HashMap::new(),
            known: HashSet::new(),
        }
    }

    /// Whether it was heard of lately.
    pub fn is_live(&self, now: BootInstant) -> bool {
        now.since(self.heard) < SILENCE
    }

    fn is_remembered(&self, now: BootInstant) -> bool {
        now.since(self.heard) < FORGET_AFTER
    }

    /// Forgets what an earlier stream of updates told.
    fn restart(&mut self) {
        *self = Self::new(self.info.clone(), self.heard);
    }

    fn take(&mut self, update: &PeerUpdate) {
        self.info = update.info.clone();
        self.homed = update.homed;
        self.known.extend(&update.known);
        for other in &update.others {
            let name = Arc::clone(&other.info.name);
            if other.gone {
                self.others.remove(&name);
            } else {
                self.others.insert(name, other.info.clone());
            }
        }
        for (upstream, running) in &update.loads {
            if *running == 0 {
                self.loads.remove(upstream);
            } else {
                self.loads.insert(Arc::clone(upstream), *running);
            }
        }
        let uses = update.uses.iter();
        self.uses = uses
            .map(|u| ((Arc::clone(&u.upstream), u.key.clone()), u.running))
            .collect();
        for change in &update.held {
            self.take_held(change);
        }
    }

    fn take_held(&mut self, change: &HeldChange) {
        if change.released {
            self.held.remove(&change.upstream);
            return;
        }
        let entry = self.held.entry(Arc::clone(&change.upstream));
        let held = entry.or_insert_with(|| Held {
            holder: Arc::clone(&change.holder),
            engine: Arc::default(),
        });
        held.holder = Arc::clone(&change.holder);
        Arc::make_mut(&mut held.engine).apply(change);
    }
}

/// The other entries.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<Arc<str>, Peer>,
    /// Link addresses of the control set, as others know it.
    hints: HashSet<SocketAddr>,
}

impl Peers {
    /// Takes in an update; whether it came from a process not heard of before.
    pub fn apply_update(&mut self, update: &PeerUpdate, now: BootInstant) -> bool {
        let name = Arc::clone(&update.info.name);
        let known = self.peers.get(&name).map(|p| p.info.incarnation);
        if known.is_some_and(|i| i > update.info.incarnation) {
            return false;
        }
        let is_new = known != Some(update.info.incarnation);
        let entry = self.peers.entry(name);
        let peer = entry.or_insert_with(|| Peer::new(update.info.clone(), now));
        if is_new || update.sequence == 0 {
            peer.restart();
        }
        peer.heard = now;
        peer.take(update);
        is_new
    }

    /// Takes in addresses at which members of the control set may be reached.
    pub fn hint(&mut self, addresses: &[SocketAddr]) {
        self.hints.extend(addresses);
    }

    /// Entries that speak to this one and were heard of lately.
    pub fn speaking(&self, now: BootInstant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.is_live(now))
    }

    /// Entries that speak to this one, or did so a moment ago.
    pub fn remembered(&self, now: BootInstant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.is_remembered(now))
    }

    /// All entries that are up as far as is known.
    pub fn live(&self, now: BootInstant) -> Vec<&PeerInfo> {
        let mut all: HashMap<&str, &PeerInfo> = HashMap::new();
        let told = self.remembered(now).flat_map(|p| p.others.values());
        let speaking = self.speaking(now).map(|p| &p.info);
        for info in speaking.chain(told) {
            let known = all.entry(&info.name).or_insert(info);
            if known.incarnation < info.incarnation {
                *known = info;
            }
        }
        all.into_values().collect()
    }

    /// Link addresses of all entries that ever spoke, and of those that they know.
    pub fn links(&self) -> impl Iterator<Item = SocketAddr> {
        let known = self.peers.values().flat_map(|p| p.known.iter().copied());
        let own = self.peers.values().map(|p| p.info.link);
        own.chain(known).chain(self.hints.iter().copied())
    }

    /// The entry whose link address is `link`, if it speaks to this one.
    pub fn at(&self, link: SocketAddr) -> Option<&Peer> {
        let mut peers = self.peers.values().filter(|p| p.info.link == link);
        peers.next()
    }

    /// The entry called `name`, if it speaks to this one.
    pub fn named(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// All entries that ever spoke to this one.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Entries for which this one speaks.
    pub fn homed(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| p.homed)
    }

    /// Requests that other entries have at `upstream`.
    pub fn in_flight(&self, upstream: &str, now: BootInstant) -> u32 {
        let counted = self.remembered(now);
        counted.filter_map(|p| p.loads.get(upstream)).sum()
    }

    /// Whether another entry uses `key` at `upstream`.
    pub fn uses(&self, upstream: &UpstreamId, key: &AdapterKey) -> bool {
        let name = (Arc::clone(upstream), key.clone());
        let counts = self.peers.values().filter_map(|p| p.uses.get(&name));
        counts.sum::<u32>() > 0
    }

    /// What each entry told of the engine `upstream`, and when that entry was last heard of.
    fn told(&self, upstream: &str) -> impl Iterator<Item = (&Held, BootInstant)> {
        let peers = self.peers.values();
        peers.filter_map(move |p| Some((p.held.get(upstream)?, p.heard)))
    }

    /// Drops entries that are not heard of any more, where nothing is known from them alone: they are gone, or others
    /// speak for them.
    pub fn prune(&mut self, now: BootInstant) {
        let silent = self.peers.iter().filter(|(_, p)| !p.is_remembered(now));
        let names: Vec<Arc<str>> = silent.map(|(name, _)| Arc::clone(name)).collect();
        for name in names {
            let Some(peer) = self.peers.remove(&name) else {
                continue;
            };
            if self.covers(&peer, now) {
                self.hints.insert(peer.info.link);
            } else {
                self.peers.insert(name, peer);
            }
        }
    }

    /// Whether entries that are heard of tell as much of the engines of `peer`.
    fn covers(&self, peer: &Peer, now: BootInstant) -> bool {
        peer.held.iter().all(|(upstream, held)| {
            self.remembered(now).any(|other| {
                let told = other.held.get(upstream);
                told.is_some_and(|t| t.engine.generation >= held.engine.generation)
            })
        })
    }

    /// The engine `upstream` as its latest holder describes it, from whoever was heard of last.
    pub fn held_engine(&self, upstream: &str, now: BootInstant) -> Option<HeldView<'_>> {
        let (held, _) = self.told(upstream).max_by_key(|t| order(*t))?;
        let speaking = self.peers.get(&held.holder);
        let mut tellers = self.remembered(now);
        let told = tellers.find_map(|p| p.others.get(&held.holder));
        let is_live = speaking.is_some_and(|p| p.is_live(now)) || told.is_some();
        Some(HeldView {
            engine: &held.engine,
            holder: speaking.map(|p| &p.info).or(told),
            is_live,
        })
    }
}

/// The later holder goes first, then the later news of it.
fn order((held, heard): (&Held, BootInstant)) -> (Generation, BootInstant) {
    (held.engine.generation, heard)
}
