//! State of the other entries, from their updates.

use crate::{
    clock::BootInstant,
    decide::load_limit::LoadCounts,
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

/// Time without an update after which an entry is no longer listed to callers; several updates are missing by then.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without an update after which an entry's requests count as ended, or as counted by another entry, and the
/// entries that it relayed for are dropped: they find another relay by then.
const RETENTION: Duration = Duration::from_secs(3);

/// Time without an update after which an entry may have sent requests that this entry has not learned of; two updates
/// are missing by then.
pub const SILENCE: Duration = Duration::from_millis(400);

/// State of an engine, as its holder describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldEngine {
    /// Fencing number of the holder.
    pub generation: Generation,
    /// Whether the holder may send orders.
    pub active: bool,
    /// Adapters that requests may use, and their versions.
    pub adapters: HashMap<AdapterKey, u32>,
}

impl HeldEngine {
    /// Applies a change.
    pub fn apply(&mut self, change: &HeldChange) {
        self.generation = change.generation;
        self.active = change.active;
        for key in &change.went {
            self.adapters.remove(key);
        }
        self.adapters.extend(change.came.iter().cloned());
    }
}

/// State of an engine and the name of its holder.
#[derive(Clone, Debug)]
pub struct EngineWithHolder {
    /// Name of the holder.
    pub holder: Arc<str>,
    /// State of the engine; replaced at each change.
    pub engine: Arc<HeldEngine>,
}

/// View of an engine and its holder for requests of this entry.
#[derive(Clone, Copy, Debug)]
pub struct HeldView<'a> {
    /// State of the engine.
    pub engine: &'a HeldEngine,
    /// Holder, where it is known.
    pub holder: Option<&'a PeerInfo>,
    /// Whether the holder is live.
    pub is_live: bool,
}

/// Peer that sends updates to this entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Description from its last update.
    pub info: PeerInfo,
    /// Time of its last update.
    pub last_update: BootInstant,
    /// Whether this entry relays for it.
    pub is_relayed: bool,
    /// Requests in flight at each upstream, of it and the entries that it relays for.
    pub in_flight: HashMap<UpstreamId, u32>,
    /// Requests in flight that use an adapter, of the same entries.
    pub adapter_uses: HashMap<(UpstreamId, AdapterKey), u32>,
    /// Loads at the engines that it holds itself.
    pub loads: LoadCounts,
    /// Engines that the same entries hold.
    pub held: HashMap<UpstreamId, EngineWithHolder>,
    /// Entries that it relays for.
    pub others: HashMap<Arc<str>, PeerInfo>,
    known: HashSet<SocketAddr>,
}

impl Peer {
    fn new(info: PeerInfo, last_update: BootInstant) -> Self {
        Self {
            info,
            last_update,
            is_relayed: false,
            in_flight: HashMap::new(),
            adapter_uses: HashMap::new(),
            loads: LoadCounts::default(),
            held: HashMap::new(),
            others: HashMap::new(),
            known: HashSet::new(),
        }
    }

    /// Returns whether its last update is recent enough to list it to callers.
    pub fn is_live(&self, now: BootInstant) -> bool {
        now.since(self.last_update) < LIVENESS_TIMEOUT
    }

    fn is_retained(&self, now: BootInstant) -> bool {
        now.since(self.last_update) < RETENTION
    }

    /// Returns whether its updates are overdue, unless it was about to end.
    fn is_silent(&self, now: BootInstant) -> bool {
        now.since(self.last_update) >= SILENCE && !self.info.leaving
    }

    /// Returns the names of the entries whose requests its updates report.
    fn entries(&self) -> impl Iterator<Item = &Arc<str>> {
        std::iter::once(&self.info.name).chain(self.others.keys())
    }

    /// Clears the state from an earlier stream of updates.
    fn reset(&mut self) {
        *self = Self::new(self.info.clone(), self.last_update);
    }

    fn apply_update(&mut self, update: &PeerUpdate) {
        self.info = update.info.clone();
        self.is_relayed = update.homed;
        self.loads = update.own_loads;
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
                self.in_flight.remove(upstream);
            } else {
                self.in_flight.insert(Arc::clone(upstream), *running);
            }
        }
        let uses = update.uses.iter();
        self.adapter_uses = uses
            .map(|u| ((Arc::clone(&u.upstream), u.key.clone()), u.running))
            .collect();
        for change in &update.held {
            self.apply_held(change);
        }
    }

    fn apply_held(&mut self, change: &HeldChange) {
        if change.released {
            self.held.remove(&change.upstream);
            return;
        }
        let entry = self.held.entry(Arc::clone(&change.upstream));
        let held = entry.or_insert_with(|| EngineWithHolder {
            holder: Arc::clone(&change.holder),
            engine: Arc::default(),
        });
        held.holder = Arc::clone(&change.holder);
        Arc::make_mut(&mut held.engine).apply(change);
    }
}

/// Peers of this entry.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<Arc<str>, Peer>,
    /// Link addresses of the control set, from peers.
    control_links: HashSet<SocketAddr>,
}

impl Peers {
    /// Applies an update; returns whether it came from a new process.
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
            peer.reset();
        }
        peer.last_update = now;
        peer.apply_update(update);
        is_new
    }

    /// Adds link addresses of members of the control set.
    pub fn add_control_links(&mut self, addresses: &[SocketAddr]) {
        self.control_links.extend(addresses);
    }

    /// Returns live peers that send updates to this entry.
    pub fn direct(&self, now: BootInstant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.is_live(now))
    }

    /// Returns peers whose last update is not older than the retention time.
    pub fn retained(&self, now: BootInstant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.is_retained(now))
    }

    /// Returns the entries whose requests this entry learns of, from them or from their relay; some may be returned twice.
    pub fn reported(&self, now: BootInstant) -> impl Iterator<Item = &PeerInfo> {
        let recent = self.peers.values();
        let recent = recent.filter(move |p| now.since(p.last_update) < SILENCE);
        recent.flat_map(|p| std::iter::once(&p.info).chain(p.others.values()))
    }

    /// Returns the number of entries that may be sending requests of which this entry does not learn, from them or from
    /// their relay.
    pub fn unheard(&self, now: BootInstant) -> usize {
        let retained = self.retained(now);
        let (silent, heard): (Vec<&Peer>, Vec<&Peer>) = retained.partition(|p| p.is_silent(now));
        if silent.is_empty() {
            return 0;
        }
        let heard: HashSet<&Arc<str>> = heard.into_iter().flat_map(Peer::entries).collect();
        let unheard: HashSet<&Arc<str>> = silent.into_iter().flat_map(Peer::entries).collect();
        unheard.difference(&heard).count()
    }

    /// Returns all live entries, those with a relay included; the newest process of each.
    pub fn live(&self, now: BootInstant) -> Vec<&PeerInfo> {
        let mut all: HashMap<&str, &PeerInfo> = HashMap::new();
        let relayed = self.retained(now).flat_map(|p| p.others.values());
        let direct = self.direct(now).map(|p| &p.info);
        for info in direct.chain(relayed) {
            let known = all.entry(&info.name).or_insert(info);
            if known.incarnation < info.incarnation {
                *known = info;
            }
        }
        all.into_values().collect()
    }

    /// Returns the live entry named `name`.
    pub fn find_live(&self, name: &str, now: BootInstant) -> Option<&PeerInfo> {
        self.heard(now).find(|info| *info.name == *name)
    }

    /// Returns the entries as peers describe them whose last updates are recent.
    pub fn heard(&self, now: BootInstant) -> impl Iterator<Item = &PeerInfo> {
        let direct = self.direct(now);
        direct.flat_map(|p| std::iter::once(&p.info).chain(p.others.values()))
    }

    /// Returns whether some live entry meets `condition`.
    pub fn any_live(&self, now: BootInstant, condition: impl Fn(&PeerInfo) -> bool) -> bool {
        let relayed = self.retained(now).flat_map(|p| p.others.values());
        let direct = self.direct(now).map(|p| &p.info);
        direct.chain(relayed).any(condition)
    }

    /// Returns the link addresses of all peers, and of the entries that they know.
    pub fn links(&self) -> impl Iterator<Item = SocketAddr> {
        let known = self.peers.values().flat_map(|p| p.known.iter().copied());
        let own = self.peers.values().map(|p| p.info.link);
        own.chain(known).chain(self.control_links.iter().copied())
    }

    /// Returns the peer whose link address is `link`, if it has sent updates to this entry.
    pub fn by_link(&self, link: SocketAddr) -> Option<&Peer> {
        let mut peers = self.peers.values().filter(|p| p.info.link == link);
        peers.next()
    }

    /// Returns the peer named `name`, if it has sent updates to this entry.
    pub fn by_name(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns all peers that have sent updates to this entry and were not pruned.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the peers that this entry relays for.
    pub fn relayed(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| p.is_relayed)
    }

    /// Returns the number of requests that other entries have in flight at `upstream`.
    pub fn in_flight(&self, upstream: &str, now: BootInstant) -> u32 {
        let counted = self.retained(now);
        counted.filter_map(|p| p.in_flight.get(upstream)).sum()
    }

    /// Returns whether another entry uses `key` at `upstream`.
    pub fn uses_adapter(&self, upstream: &UpstreamId, key: &AdapterKey) -> bool {
        let use_key = (Arc::clone(upstream), key.clone());
        let counts = self
            .peers
            .values()
            .filter_map(|p| p.adapter_uses.get(&use_key));
        counts.sum::<u32>() > 0
    }

    /// Returns the loads at the engines that other entries hold. Holders send each other updates without a relay.
    pub fn loads(&self, now: BootInstant) -> LoadCounts {
        self.retained(now).map(|p| p.loads).sum()
    }

    /// Returns each peer's state of the engine `upstream`, and the time of that peer's last update.
    fn reports_of(&self, upstream: &str) -> impl Iterator<Item = (&EngineWithHolder, BootInstant)> {
        let peers = self.peers.values();
        peers.filter_map(move |p| Some((p.held.get(upstream)?, p.last_update)))
    }

    /// Drops peers past the retention time, unless the state of an engine is known from them alone: they are gone, or
    /// another entry relays for them.
    pub fn prune(&mut self, now: BootInstant) {
        let silent = self.peers.iter().filter(|(_, p)| !p.is_retained(now));
        let names: Vec<Arc<str>> = silent.map(|(name, _)| Arc::clone(name)).collect();
        for name in names {
            let Some(peer) = self.peers.remove(&name) else {
                continue;
            };
            if self.is_covered(&peer, now) {
                self.control_links.insert(peer.info.link);
            } else {
                self.peers.insert(name, peer);
            }
        }
    }

    /// Returns whether retained peers have equally new state of every engine of `peer`.
    fn is_covered(&self, peer: &Peer, now: BootInstant) -> bool {
        peer.held.iter().all(|(upstream, held)| {
            self.retained(now).any(|other| {
                let reported = other.held.get(upstream);
                reported.is_some_and(|r| r.engine.generation >= held.engine.generation)
            })
        })
    }

    /// Returns the state of the engine `upstream` from its latest holder, according to the newest update.
    pub fn held_engine(&self, upstream: &str, now: BootInstant) -> Option<HeldView<'_>> {
        let (held, _) = self.reports_of(upstream).max_by_key(|r| recency(*r))?;
        let direct = self.peers.get(&held.holder);
        let mut relays = self.retained(now);
        let relayed = relays.find_map(|p| p.others.get(&held.holder));
        let is_live = direct.is_some_and(|p| p.is_live(now)) || relayed.is_some();
        Some(HeldView {
            engine: &held.engine,
            holder: direct.map(|p| &p.info).or(relayed),
            is_live,
        })
    }
}

/// Returns the sort key of a report: the later holder wins, then the later update.
fn recency((report, updated): (&EngineWithHolder, BootInstant)) -> (Generation, BootInstant) {
    (report.engine.generation, updated)
}
