//! What an entry tells another one: its own state, and that of the entries for which it speaks.
//!
//! Members of the control set tell each other, each for itself and for the entries that chose it. Any other entry
//! tells only the member that it chose, and hears all the rest from there. So the streams grow with the entries, not
//! with their square.

use crate::{
    clock::BootInstant,
    edge::registration::AdapterKey,
    entry::{
        context::Entry,
        messages::{AdapterUse, EntryChange, HeldChange, PeerInfo, PeerUpdate},
        peers::{Held, HeldEngine, Peer, Peers},
    },
    holding::lock,
    ident::UpstreamId,
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

/// Writes the updates of one stream: the first one has everything, later ones what changed.
#[derive(Debug)]
pub struct UpdateWriter {
    entry: Arc<Entry>,
    address: SocketAddr,
    sequence: u64,
    known: HashSet<SocketAddr>,
    others: HashMap<Arc<str>, PeerInfo>,
    loads: HashMap<UpstreamId, u32>,
    held: HashMap<UpstreamId, Sent>,
    versions: HashMap<AdapterKey, u32>,
    asked: HashMap<(UpstreamId, AdapterKey), u64>,
    /// Number of the next reservation of a prompt.
    prompts: u64,
}

/// An engine as the other side knows it.
#[derive(Clone, Debug)]
struct Sent {
    held: Held,
    /// Whether orders may be given, which for own engines also depends on the lease.
    active: bool,
}

/// What the other side is to be told of.
#[derive(Clone, Debug)]
struct Scope {
    receiver: Option<Arc<str>>,
    /// Whether this entry speaks for the receiver, which then hears of everything here.
    homed: bool,
}

impl Scope {
    /// Whether what `peer` told is passed on.
    fn includes(&self, peer: &Peer) -> bool {
        let is_receiver = self.receiver.as_ref() == Some(&peer.info.name);
        !is_receiver && (self.homed || peer.homed)
    }
}

impl UpdateWriter {
    /// Updates for the entry at `address`.
    pub fn new(entry: &Arc<Entry>, address: SocketAddr) -> Self {
        Self {
            entry: Arc::clone(entry),
            address,
            sequence: 0,
            known: HashSet::new(),
            others: HashMap::new(),
            loads: HashMap::new(),
            held: HashMap::new(),
            versions: HashMap::new(),
            asked: HashMap::new(),
            prompts: lock(&entry.prompt_log).next(),
        }
    }

    /// The next update.
    pub fn update(&mut self) -> PeerUpdate {
        let sequence = self.sequence;
        self.sequence += 1;
        let now = BootInstant::now();
        let entry = Arc::clone(&self.entry);
        let homed = entry.control.load().relay == Some(self.address);
        let own_held = self.own_held();
        let peers = lock(&entry.peers);
        let receiver = peers.at(self.address);
        let scope = Scope {
            receiver: receiver.map(|p| Arc::clone(&p.info.name)),
            homed: receiver.is_some_and(|p| p.homed),
        };
        PeerUpdate {
            sequence,
            info: entry.peer_info(),
            homed,
            known: self.new_links(&peers, now),
            others: self.other_changes(&peers, &scope, now),
            loads: self.load_changes(&peers, &scope, now),
            prompts: self.new_prompts(&peers, &scope),
            uses: self.uses(&peers, &scope, homed),
            held: self.held_changes(own_held, &peers, &scope),
            versions: self.new_versions(),
        }
    }

    fn new_links(&mut self, peers: &Peers, now: BootInstant) -> Vec<SocketAddr> {
        let live = peers.live(now).into_iter().map(|info| info.link);
        live.filter(|link| self.known.insert(*link)).collect()
    }

    fn other_changes(
        &mut self,
        peers: &Peers,
        scope: &Scope,
        now: BootInstant,
    ) -> Vec<EntryChange> {
        let others: Vec<&PeerInfo> = if scope.homed {
            peers.live(now)
        } else {
            let homed = peers.speaking(now).filter(|p| scope.includes(p));
            homed.map(|p| &p.info).collect()
        };
        let others = others
            .into_iter()
            .filter(|info| scope.receiver.as_ref() != Some(&info.name));
        let others: HashMap<&str, &PeerInfo> = others.map(|info| (&*info.name, info)).collect();
        let mut changes = Vec::new();
        self.others.retain(|name, info| {
            let stays = others.contains_key(&**name);
            if !stays {
                changes.push(EntryChange {
                    info: info.clone(),
                    gone: true,
                });
            }
            stays
        });
        for info in others.into_values() {
            if self.others.get(&info.name) != Some(info) {
                self.others.insert(Arc::clone(&info.name), info.clone());
                changes.push(EntryChange {
                    info: info.clone(),
                    gone: false,
                });
            }
        }
        changes
    }

    fn load_changes(
        &mut self,
        peers: &Peers,
        scope: &Scope,
        now: BootInstant,
    ) -> Vec<(UpstreamId, u32)> {
        let mut loads: HashMap<UpstreamId, u32> = self.entry.usage.loads().into_iter().collect();
        for peer in peers.remembered(now).filter(|p| scope.includes(p)) {
            for (upstream, running) in &peer.loads {
                *loads.entry(Arc::clone(upstream)).or_default() += running;
            }
        }
        let ended = self.loads.keys().filter(|id| !loads.contains_key(*id));
        let mut changes: Vec<(UpstreamId, u32)> = ended.map(|id| (Arc::clone(id), 0)).collect();
        let changed = loads
            .iter()
            .filter(|(id, n)| self.loads.get(*id) != Some(*n));
        changes.extend(changed.map(|(id, n)| (Arc::clone(id), *n)));
        self.loads = loads;
        changes
    }

    /// Prompt tokens reserved since the last update, by upstream.
    fn new_prompts(&mut self, peers: &Peers, scope: &Scope) -> Vec<(UpstreamId, u32)> {
        let log = lock(&self.entry.prompt_log);
        let mut prompts: HashMap<&UpstreamId, u32> = HashMap::new();
        for prompt in log.since(self.prompts) {
            let source = prompt.source.as_ref().map(|name| peers.named(name));
            let is_told = source.is_none_or(|peer| peer.is_some_and(|p| scope.includes(p)));
            if is_told {
                *prompts.entry(&prompt.upstream).or_default() += prompt.tokens;
            }
        }
        self.prompts = log.next();
        let prompts = prompts.into_iter();
        prompts
            .map(|(id, tokens)| (Arc::clone(id), tokens))
            .collect()
    }

    /// Use of adapters at the engines that the other side holds, or at all of them if it speaks for this entry.
    fn uses(&mut self, peers: &Peers, scope: &Scope, homed: bool) -> Vec<AdapterUse> {
        let engines: HashSet<UpstreamId> = if homed {
            self.entry.usage.upstreams().into_iter().collect()
        } else {
            let receiver = scope.receiver.as_ref();
            let told = receiver.and_then(|name| peers.named(name));
            let told = told.into_iter().flat_map(|p| &p.held);
            let theirs = told.filter(|(_, h)| receiver == Some(&h.holder));
            theirs.map(|(upstream, _)| Arc::clone(upstream)).collect()
        };
        let mut running: HashMap<(UpstreamId, AdapterKey), u32> = HashMap::new();
        for peer in peers.homed().filter(|p| scope.includes(p)) {
            for (name, count) in &peer.uses {
                if engines.contains(&name.0) {
                    *running.entry(name.clone()).or_default() += count;
                }
            }
        }
        let mut uses = Vec::new();
        for upstream in &engines {
            for (key, count) in self.entry.usage.adapters(upstream) {
                let name = (Arc::clone(upstream), key);
                let relayed = running.remove(&name).unwrap_or(0);
                let before = self.asked.get(&name).copied().unwrap_or(0);
                let asked = count.asked.saturating_sub(before) as u32;
                if asked > 0 {
                    self.asked.insert(name.clone(), count.asked);
                }
                if count.running + relayed > 0 || asked > 0 {
                    uses.push(AdapterUse {
                        upstream: name.0,
                        key: name.1,
                        running: count.running + relayed,
                        asked,
                    });
                }
            }
        }
        uses.extend(
            running
                .into_iter()
                .map(|((upstream, key), running)| AdapterUse {
                    upstream,
                    key,
                    running,
                    asked: 0,
                }),
        );
        uses
    }

    /// Engines that this entry holds.
    fn own_held(&self) -> HashMap<UpstreamId, Sent> {
        let may_order = self.entry.may_send_orders();
        let holder: Arc<str> = Arc::from(self.entry.config.id.as_str());
        let controllers = lock(&self.entry.controllers);
        let held = controllers.iter().map(|(upstream, controller)| {
            let engine = controller.engine();
            let sent = Sent {
                active: engine.active && may_order,
                held: Held {
                    holder: Arc::clone(&holder),
                    engine,
                },
            };
            (Arc::clone(upstream), sent)
        });
        held.collect()
    }

    fn held_changes(
        &mut self,
        own: HashMap<UpstreamId, Sent>,
        peers: &Peers,
        scope: &Scope,
    ) -> Vec<HeldChange> {
        let mut all = own;
        for peer in peers.all().filter(|p| scope.includes(p)) {
            for (upstream, held) in &peer.held {
                let known = all.get(upstream);
                let known = known.map(|sent| sent.held.engine.generation);
                if known < Some(held.engine.generation) {
                    let sent = Sent {
                        active: held.engine.active,
                        held: held.clone(),
                    };
                    all.insert(Arc::clone(upstream), sent);
                }
            }
        }
        let mut changes = Vec::new();
        self.held.retain(|upstream, sent| {
            let stays = all.contains_key(upstream);
            if !stays {
                changes.push(released(upstream, &sent.held.holder));
            }
            stays
        });
        for (upstream, now) in all {
            let before = self.held.get(&upstream);
            if before.is_some_and(|before| before.is_same(&now)) {
                continue;
            }
            let known = before.map(|b| &*b.held.engine);
            changes.push(difference(&upstream, known, &now));
            self.held.insert(upstream, now);
        }
        changes
    }

    fn new_versions(&mut self) -> Vec<(AdapterKey, u32)> {
        let versions = lock(&self.entry.versions);
        let news = versions
            .iter()
            .filter(|(key, version)| self.versions.get(*key) != Some(*version));
        let news: Vec<(AdapterKey, u32)> = news.map(|(k, v)| (k.clone(), *v)).collect();
        self.versions.extend(news.iter().cloned());
        news
    }
}

impl Sent {
    fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.held.engine, &other.held.engine)
            && self.held.holder == other.held.holder
            && self.active == other.active
    }
}

fn released(upstream: &UpstreamId, holder: &Arc<str>) -> HeldChange {
    HeldChange {
        upstream: Arc::clone(upstream),
        holder: Arc::clone(holder),
        generation: 0,
        active: false,
        released: true,
        came: Vec::new(),
        went: Vec::new(),
    }
}

/// What changed from `before`, where the other side knows it, to `after`.
fn difference(upstream: &UpstreamId, before: Option<&HeldEngine>, after: &Sent) -> HeldChange {
    let engine = &after.held.engine;
    let known = |key: &AdapterKey| before.and_then(|b| b.adapters.get(key));
    let came = engine.adapters.iter();
    let came = came.filter(|(k, v)| known(k) != Some(*v));
    let went = before.into_iter().flat_map(|b| b.adapters.keys());
    let went = went.filter(|k| !engine.adapters.contains_key(*k));
    HeldChange {
        upstream: Arc::clone(upstream),
        holder: Arc::clone(&after.held.holder),
        generation: engine.generation,
        active: after.active,
        released: false,
        came: came.map(|(k, v)| (k.clone(), *v)).collect(),
        went: went.cloned().collect(),
    }
}
