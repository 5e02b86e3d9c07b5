//! Builds the updates that an entry sends to a peer: its own state, and that of the entries that it relays for.
//!
//! Members of the control set send updates to each other, each for itself and for the entries that chose it as their
//! relay. Any other entry sends updates only to its relay, and receives the state of all others from it. So the number
//! of streams grows linearly with the number of entries, not with its square.

use crate::{
    clock::BootInstant,
    decide::{build_history::BuildReport, rate_limit},
    edge::registration::{AdapterKey, Build},
    entry::{
        begun_streams::{self, PeerPlace},
        context::Entry,
        held_changes::{self, SentEngine},
        messages::{
            AdapterUse, BegunBatch, BrittleUpdate, EntryChange, HeldChange, LimitUpdate, PeerInfo,
            PeerUpdate, PromptUpdate,
        },
        peers::{EngineWithHolder, Peer, Peers},
        quotas::UseFeed,
        speeds::SpeedFeed,
    },
    holding::lock,
    ident::UpstreamId,
    quarantine::StrikeFeed,
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Counts by upstream.
type Counts = Vec<(UpstreamId, u32)>;

/// Interval at which a limit that is named again and again is sent; well below the time after which it expires.
const LIMIT_REFRESH: Duration = Duration::from_secs(1);

/// Builder of the updates of one stream: the first one has the full state, later ones the changes.
#[derive(Debug)]
pub struct UpdateBuilder {
    entry: Arc<Entry>,
    address: SocketAddr,
    sequence: u64,
    known: HashSet<SocketAddr>,
    others: HashMap<Arc<str>, PeerInfo>,
    in_flight: HashMap<UpstreamId, u32>,
    held: HashMap<UpstreamId, SentEngine>,
    versions: HashMap<AdapterKey, u32>,
    /// Request counts of adapters that were already sent.
    sent_requests: HashMap<(UpstreamId, AdapterKey), u64>,
    /// Number of the next record of the send log to send.
    next_send: u64,
    /// Number of the first record whose prompt is sent; earlier ones were prefilled before this stream began.
    first_prompt: u64,
    /// Limits as last sent, with the times at which they were observed.
    limits: HashMap<UpstreamId, (Option<f64>, BootInstant)>,
    /// Number of brittle upstreams as last sent, and when.
    sent_brittle: (usize, BootInstant),
    speeds: SpeedFeed,
    strikes: StrikeFeed,
    /// Number of the next begun stream to send.
    next_begun: u64,
    /// Builds as last sent.
    sent_builds: Option<HashSet<Build>>,
    quotas: UseFeed,
}

/// What was sent to upstreams since the last update.
#[derive(Debug)]
struct NewSends {
    /// Prompt tokens.
    prompts: Counts,
    /// Beginnings of prompts.
    beginnings: Vec<PromptUpdate>,
    /// Requests to limited upstreams.
    limited: Counts,
    /// Requests that brittle upstreams rejected.
    rejections: Counts,
}

/// Scope of the updates to a peer.
#[derive(Clone, Debug)]
struct Scope {
    receiver: Option<Arc<str>>,
    /// Whether this entry relays for the receiver, which then gets the state of all entries.
    relays_for_receiver: bool,
}

impl Scope {
    /// Returns whether the state of `peer` is passed on.
    fn includes(&self, peer: &Peer) -> bool {
        let is_receiver = self.receiver.as_ref() == Some(&peer.info.name);
        !is_receiver && (self.relays_for_receiver || peer.is_relayed)
    }

    /// Returns whether what `source`, a peer or this entry, reported is passed on.
    fn includes_source(&self, peers: &Peers, source: Option<&Arc<str>>) -> bool {
        source.is_none_or(|name| peers.by_name(name).is_some_and(|p| self.includes(p)))
    }
}

impl UpdateBuilder {
    /// Creates a builder of updates to the entry at `address`.
    pub fn new(entry: &Arc<Entry>, address: SocketAddr) -> Self {
        let (next_send, first_prompt) = {
            let log = lock(&entry.send_log);
            let recent = log.number_at(BootInstant::now() - rate_limit::BURST);
            (recent, log.next())
        };
        Self {
            entry: Arc::clone(entry),
            address,
            sequence: 0,
            known: HashSet::new(),
            others: HashMap::new(),
            in_flight: HashMap::new(),
            held: HashMap::new(),
            versions: HashMap::new(),
            sent_requests: HashMap::new(),
            next_send,
            first_prompt,
            limits: HashMap::new(),
            sent_brittle: (0, BootInstant::default()),
            speeds: SpeedFeed::new(entry),
            strikes: entry.quarantine.feed(),
            next_begun: 0,
            sent_builds: None,
            quotas: UseFeed::default(),
        }
    }

    /// Builds the next update.
    pub fn next_update(&mut self) -> PeerUpdate {
        let sequence = self.sequence;
        self.sequence += 1;
        let now = BootInstant::now();
        let entry = Arc::clone(&self.entry);
        let homed = entry.control.load().relay == Some(self.address);
        let own_engines = self.own_engines();
        entry.refresh_quotas(now);
        let peers = lock(&entry.peers);
        let receiver = peers.by_link(self.address);
        let scope = Scope {
            receiver: receiver.map(|p| Arc::clone(&p.info.name)),
            relays_for_receiver: receiver.is_some_and(|p| p.is_relayed),
        };
        let sends = self.new_sends(&peers, &scope);
        PeerUpdate {
            sequence,
            info: entry.peer_info(),
            homed,
            known: self.new_links(&peers, now),
            others: self.other_changes(&peers, &scope, now),
            loads: self.in_flight_changes(&peers, &scope, now),
            prompts: sends.prompts,
            beginnings: sends.beginnings,
            speeds: (self.speeds).take(&entry, &peers, |p| scope.includes(p), now),
            uses: self.adapter_uses(&peers, &scope, homed),
            own_loads: self.entry.own_loads(),
            load_limit: lock(&entry.load_limit).report(),
            held: self.held_changes(own_engines, &peers, &scope),
            versions: self.new_versions(),
            strikes: self.strikes.take(&entry.quarantine),
            limits: self.limit_changes(),
            limited_sends: sends.limited,
            brittle: self.brittle_changes(now),
            rejections: sends.rejections,
            begun: self.new_begun(&peers, &scope),
            builds: self.new_builds(now),
            quotas: self.quotas.take(
                &mut lock(&entry.quotas),
                |source| scope.includes_source(&peers, source.as_ref()),
                now,
            ),
        }
    }

    /// Returns the streams that have begun since the last update; the first one has all, as the peer may have missed them.
    /// They wait while the receiver can ask this entry for them.
    fn new_begun(&mut self, peers: &Peers, scope: &Scope) -> Vec<BegunBatch> {
        let receiver = PeerPlace::of(scope.relays_for_receiver);
        if !self.entry.tells_beginnings_to(receiver) {
            return Vec::new();
        }
        let begun = lock(&self.entry.begun);
        let is_first = self.next_begun == 0;
        let is_included =
            |source: &Option<Arc<str>>| is_first || scope.includes_source(peers, source.as_ref());
        let new = begun.since(self.next_begun);
        let batches = begun_streams::batches(new.filter(|s| is_included(&s.source)));
        self.next_begun = begun.next();
        batches
    }

    fn new_builds(&mut self, now: BootInstant) -> Option<BuildReport> {
        let report = lock(&self.entry.builds).report(now);
        let is_sent = self.sent_builds.as_ref().is_some_and(|sent| {
            let mut builds = report.builds.iter();
            sent.len() == builds.len() && builds.all(|b| sent.contains(&b.build))
        });
        if is_sent {
            return None;
        }
        let builds = report.builds.iter().map(|b| b.build.clone());
        self.sent_builds = Some(builds.collect());
        Some(report)
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
        let others: Vec<&PeerInfo> = if scope.relays_for_receiver {
            peers.live(now)
        } else {
            let relayed = peers.direct(now).filter(|p| scope.includes(p));
            relayed.map(|p| &p.info).collect()
        };
        let others = others
            .into_iter()
            .filter(|info| scope.receiver.as_ref() != Some(&info.name));
        let others: HashMap<&str, &PeerInfo> = others.map(|info| (&*info.name, info)).collect();
        let mut changes = Vec::new();
        self.others.retain(|name, info| {
            let is_kept = others.contains_key(&**name);
            if !is_kept {
                changes.push(EntryChange {
                    info: info.clone(),
                    gone: true,
                });
            }
            is_kept
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

    fn in_flight_changes(
        &mut self,
        peers: &Peers,
        scope: &Scope,
        now: BootInstant,
    ) -> Vec<(UpstreamId, u32)> {
        let mut in_flight: HashMap<UpstreamId, u32> = self
            .entry
            .usage
            .in_flight_by_upstream()
            .into_iter()
            .collect();
        for peer in peers.retained(now).filter(|p| scope.includes(p)) {
            for (upstream, running) in &peer.in_flight {
                *in_flight.entry(Arc::clone(upstream)).or_default() += running;
            }
        }
        let ended = self
            .in_flight
            .keys()
            .filter(|id| !in_flight.contains_key(*id));
        let mut changes: Vec<(UpstreamId, u32)> = ended.map(|id| (Arc::clone(id), 0)).collect();
        let changed = in_flight
            .iter()
            .filter(|(id, n)| self.in_flight.get(*id) != Some(*n));
        changes.extend(changed.map(|(id, n)| (Arc::clone(id), *n)));
        self.in_flight = in_flight;
        changes
    }

    /// Returns the brittle upstreams at intervals, and at once if their number changes.
    fn brittle_changes(&mut self, now: BootInstant) -> Vec<BrittleUpdate> {
        let updates = self.entry.brittle_updates();
        let (count, sent_at) = self.sent_brittle;
        if updates.len() == count && now < sent_at + LIMIT_REFRESH {
            return Vec::new();
        }
        self.sent_brittle = (updates.len(), now);
        updates
    }

    /// Returns the prompt tokens reserved, the requests to limited upstreams and the rejections since the last update, by
    /// upstream. The first update has the latest requests as well: the peer may have missed them while no stream was open.
    fn new_sends(&mut self, peers: &Peers, scope: &Scope) -> NewSends {
        let log = lock(&self.entry.send_log);
        let (mut prompts, mut sends) = (HashMap::new(), HashMap::new());
        let mut rejections = HashMap::new();
        let mut beginnings = Vec::new();
        for (number, record) in log.since(self.next_send) {
            if scope.includes_source(peers, record.source.as_ref()) {
                if number >= self.first_prompt {
                    *prompts.entry(&record.upstream).or_default() += record.prompt_tokens;
                    beginnings.extend_from_slice(&record.beginnings);
                }
                *sends.entry(&record.upstream).or_default() += record.limited_sends;
                *rejections.entry(&record.upstream).or_default() += record.rejections;
            }
        }
        self.next_send = log.next();
        NewSends {
            prompts: nonzero_counts(prompts),
            beginnings,
            limited: nonzero_counts(sends),
            rejections: nonzero_counts(rejections),
        }
    }

    /// Returns limits that changed, or that were observed again long enough after the last time they were sent.
    fn limit_changes(&mut self) -> Vec<LimitUpdate> {
        let mut changes = Vec::new();
        let observed = self.entry.limit_updates();
        self.limits
            .retain(|id, _| observed.iter().any(|(_, update)| update.upstream == *id));
        for (seen, update) in observed {
            let sent = self.limits.get(&update.upstream);
            let is_known = sent.is_some_and(|(per_second, sent_seen)| {
                *per_second == update.per_second && seen < *sent_seen + LIMIT_REFRESH
            });
            if !is_known {
                let key = Arc::clone(&update.upstream);
                self.limits.insert(key, (update.per_second, seen));
                changes.push(update);
            }
        }
        changes
    }

    /// Returns the use of adapters at the receiver's engines, or at all engines if it is this entry's relay.
    fn adapter_uses(&mut self, peers: &Peers, scope: &Scope, is_to_relay: bool) -> Vec<AdapterUse> {
        let engines: HashSet<UpstreamId> = if is_to_relay {
            self.entry.usage.upstreams().into_iter().collect()
        } else {
            let receiver = scope.receiver.as_ref();
            let peer = receiver.and_then(|name| peers.by_name(name));
            let held = peer.into_iter().flat_map(|p| &p.held);
            let own = held.filter(|(_, h)| receiver == Some(&h.holder));
            own.map(|(upstream, _)| Arc::clone(upstream)).collect()
        };
        let mut running: HashMap<(UpstreamId, AdapterKey), u32> = HashMap::new();
        for peer in peers.relayed().filter(|p| scope.includes(p)) {
            for (use_key, count) in &peer.adapter_uses {
                if engines.contains(&use_key.0) {
                    *running.entry(use_key.clone()).or_default() += count;
                }
            }
        }
        let mut uses = Vec::new();
        for upstream in &engines {
            for (key, count) in self.entry.usage.adapters(upstream) {
                let use_key = (Arc::clone(upstream), key);
                let relayed = running.remove(&use_key).unwrap_or(0);
                let before = self.sent_requests.get(&use_key).copied().unwrap_or(0);
                let asked = count.requests.saturating_sub(before) as u32;
                if asked > 0 {
                    self.sent_requests.insert(use_key.clone(), count.requests);
                }
                if count.in_flight + relayed > 0 || asked > 0 {
                    uses.push(AdapterUse {
                        upstream: use_key.0,
                        key: use_key.1,
                        running: count.in_flight + relayed,
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

    /// Returns the engines that this entry holds.
    fn own_engines(&self) -> HashMap<UpstreamId, SentEngine> {
        let may_order = self.entry.may_send_orders();
        let holder: Arc<str> = Arc::from(self.entry.config.id.as_str());
        let controllers = lock(&self.entry.controllers);
        let held = controllers.iter().map(|(upstream, controller)| {
            let engine = controller.engine();
            let sent = SentEngine {
                active: engine.active && may_order && self.entry.reaches(upstream),
                held: EngineWithHolder {
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
        own: HashMap<UpstreamId, SentEngine>,
        peers: &Peers,
        scope: &Scope,
    ) -> Vec<HeldChange> {
        let mut all = own;
        for peer in peers.all().filter(|p| scope.includes(p)) {
            for (upstream, held) in &peer.held {
                let known = all.get(upstream);
                let known = known.map(|sent| sent.held.engine.generation);
                if known < Some(held.engine.generation) {
                    let sent = SentEngine {
                        active: held.engine.active,
                        held: held.clone(),
                    };
                    all.insert(Arc::clone(upstream), sent);
                }
            }
        }
        let mut changes = Vec::new();
        self.held.retain(|upstream, sent| {
            let is_kept = all.contains_key(upstream);
            if !is_kept {
                changes.push(held_changes::released(upstream, &sent.held.holder));
            }
            is_kept
        });
        for (upstream, now) in all {
            let before = self.held.get(&upstream);
            if before.is_some_and(|before| before.is_same(&now)) {
                continue;
            }
            let known = before.map(|b| &*b.held.engine);
            changes.push(held_changes::difference(&upstream, known, &now));
            self.held.insert(upstream, now);
        }
        changes
    }

    fn new_versions(&mut self) -> Vec<(AdapterKey, u32)> {
        let versions = lock(&self.entry.versions);
        let unsent = versions
            .iter()
            .filter(|(key, version)| self.versions.get(*key) != Some(*version));
        let unsent: Vec<(AdapterKey, u32)> = unsent.map(|(k, v)| (k.clone(), *v)).collect();
        self.versions.extend(unsent.iter().cloned());
        unsent
    }
}

fn nonzero_counts(counts: HashMap<&UpstreamId, u32>) -> Counts {
    let counts = counts.into_iter().filter(|(_, count)| *count > 0);
    counts.map(|(id, count)| (Arc::clone(id), count)).collect()
}
