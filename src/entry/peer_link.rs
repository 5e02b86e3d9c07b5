//! Streams between entries: each tells every other one about itself, and answers its questions.

use crate::{
    clock::BootInstant,
    edge::registration::AdapterKey,
    entry::{
        context::Entry,
        controller::Command,
        messages::{
            AdapterUse, DEPLOYMENT_PATH, ENSURE_PATH, EnsureAsk, EnsureResult, HeldChange,
            MISSING_PATH, PEER_PATH, PeerAck, PeerUpdate, REGISTRATIONS_PATH,
        },
        peers::HeldEngine,
        registrations,
    },
    holding::lock,
    ident::{Revision, UpstreamId},
    link::{Incoming, LinkError, Receiver, Sender},
    metrics,
    supervisor::ChildError,
};
use log::{debug, info, warn};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::watch, time::timeout};
use tokio_util::sync::CancellationToken;

/// Interval between updates when nothing presses.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Least time between two updates, so that changes at once go together.
const MIN_INTERVAL: Duration = Duration::from_millis(25);

/// Wait for the receipt of an update; beyond it the connection counts as lost.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// First pause before a lost connection is made again; doubled up to [`MAX_RECONNECT`].
const FIRST_RECONNECT: Duration = Duration::from_millis(200);

/// Longest such pause; a VM that is gone for good is asked this often.
const MAX_RECONNECT: Duration = Duration::from_secs(2);

/// Interval between looks for entries that are not spoken to yet.
const FIND_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for a holder to bring an adapter.
const ENSURE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a configuration.
const DEPLOYMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Talks to every entry that becomes known, until `stop`.
///
/// # Errors
/// None.
pub async fn connect_peers(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut spoken: HashSet<SocketAddr> = HashSet::from([entry.config.link]);
    while !stop.is_cancelled() {
        for address in known(&entry) {
            if spoken.insert(address) {
                tokio::spawn(send_updates(Arc::clone(&entry), address, stop.clone()));
            }
        }
        tokio::select! {
            () = stop.cancelled() => {}
            () = tokio::time::sleep(FIND_INTERVAL) => {}
        }
    }
    Ok(())
}

/// Link addresses of entries, from the settings, the store and the others.
fn known(entry: &Entry) -> Vec<SocketAddr> {
    let mut all = lock(&entry.seeds).clone();
    all.extend(lock(&entry.listed_links).iter());
    all.extend(lock(&entry.peers).links());
    all
}

/// Tells the entry at `address` about this one, until `stop`.
async fn send_updates(entry: Arc<Entry>, address: SocketAddr, stop: CancellationToken) {
    let mut pause = FIRST_RECONNECT;
    let mut connected = false;
    while !stop.is_cancelled() {
        let told = tokio::select! {
            () = stop.cancelled() => return,
            told = UpdateSender::new(&entry, address).run() => told,
        };
        let (updates, error) = told;
        if updates > 0 {
            pause = FIRST_RECONNECT;
            info!(peer:% = address, error:% = error, updates = updates; "dependency lost: entry");
        } else if connected {
            debug!("connecting to entry {address}: {error}");
        }
        connected = updates > 0;
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RECONNECT);
    }
}

/// Sends one stream of updates.
struct UpdateSender<'a> {
    entry: &'a Arc<Entry>,
    address: SocketAddr,
    sequence: u64,
    /// Engines as the other side knows them.
    held: HashMap<UpstreamId, HeldEngine>,
    versions: HashMap<AdapterKey, u32>,
    asked: HashMap<(UpstreamId, AdapterKey), u64>,
    reserved: HashMap<UpstreamId, u64>,
    changes: watch::Receiver<u64>,
}

impl<'a> UpdateSender<'a> {
    fn new(entry: &'a Arc<Entry>, address: SocketAddr) -> Self {
        Self {
            entry,
            address,
            sequence: 0,
            held: HashMap::new(),
            versions: HashMap::new(),
            asked: HashMap::new(),
            reserved: HashMap::new(),
            changes: entry.changed.subscribe(),
        }
    }

    /// Sends until the stream breaks; the updates that were received, and why it broke.
    async fn run(mut self) -> (u64, LinkError) {
        let link = self.entry.link(self.address);
        let first = self.update();
        let (mut sender, mut receiver) = match link.open_duplex(PEER_PATH, &first).await {
            Ok(stream) => stream,
            Err(e) => return (0, e),
        };
        let mut received = 0;
        loop {
            if let Err(e) = self.receipt(&mut receiver).await {
                link.reset().await;
                return (received, e);
            }
            received += 1;
            self.pause().await;
            let update = self.update();
            match sender.send(&update).await {
                Ok(bytes) => metrics::control_bytes("peer", bytes),
                Err(e) => return (received, e),
            }
        }
    }

    async fn receipt(&self, receiver: &mut Receiver) -> Result<(), LinkError> {
        match timeout(ACK_TIMEOUT, receiver.next::<PeerAck>()).await {
            Ok(Ok(Some(_ack))) => Ok(()),
            Ok(Ok(None)) | Err(_) => Err(LinkError::Broken),
            Ok(Err(e)) => Err(e),
        }
    }

    async fn pause(&mut self) {
        tokio::time::sleep(MIN_INTERVAL).await;
        let rest = UPDATE_INTERVAL.saturating_sub(MIN_INTERVAL);
        let _elapsed = timeout(rest, self.changes.changed()).await;
    }

    /// The next update.
    fn update(&mut self) -> PeerUpdate {
        let sequence = self.sequence;
        self.sequence += 1;
        self.changes.mark_unchanged();
        let known = lock(&self.entry.peers).live_links(BootInstant::now());
        PeerUpdate {
            sequence,
            info: self.entry.info(),
            known,
            loads: self.entry.usage.loads(),
            prompts: self.prompts(),
            uses: self.uses(),
            held: self.held_changes(),
            versions: self.new_versions(),
        }
    }

    /// Prompt tokens reserved since the last update.
    fn prompts(&mut self) -> Vec<(UpstreamId, u32)> {
        let mut prompts = Vec::new();
        for (upstream, tokens) in self.entry.usage.reserved() {
            let before = self.reserved.insert(Arc::clone(&upstream), tokens);
            let fresh = tokens.saturating_sub(before.unwrap_or(0)) as u32;
            if fresh > 0 && self.sequence > 1 {
                prompts.push((upstream, fresh));
            }
        }
        prompts
    }

    /// Use of adapters at the engines that the other side holds.
    fn uses(&mut self) -> Vec<AdapterUse> {
        let engines = {
            let peers = lock(&self.entry.peers);
            peers.held_by(self.address)
        };
        let mut uses = Vec::new();
        for upstream in engines {
            for (key, count) in self.entry.usage.adapters(&upstream) {
                let name = (Arc::clone(&upstream), key.clone());
                let before = self.asked.insert(name, count.asked).unwrap_or(0);
                let asked = count.asked.saturating_sub(before) as u32;
                if count.running > 0 || asked > 0 {
                    uses.push(AdapterUse {
                        upstream: Arc::clone(&upstream),
                        key,
                        running: count.running,
                        asked,
                    });
                }
            }
        }
        uses
    }

    fn held_changes(&mut self) -> Vec<HeldChange> {
        let controllers = lock(&self.entry.controllers).clone();
        let may_order = self.entry.may_order();
        let mut changes = Vec::new();
        for (upstream, controller) in &controllers {
            let mut engine = controller.engine();
            engine.active &= may_order;
            let known = self.held.get(upstream);
            if known != Some(&engine) {
                changes.push(difference(upstream, known, &engine));
                self.held.insert(Arc::clone(upstream), engine);
            }
        }
        let released: Vec<UpstreamId> = self
            .held
            .keys()
            .filter(|id| !controllers.contains_key(*id))
            .cloned()
            .collect();
        for upstream in released {
            self.held.remove(&upstream);
            changes.push(HeldChange {
                upstream,
                released: true,
                ..HeldChange::default()
            });
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

/// What changed from `before`, where the other side knows it, to `after`.
fn difference(
    upstream: &UpstreamId,
    before: Option<&HeldEngine>,
    after: &HeldEngine,
) -> HeldChange {
    let known = |key: &AdapterKey| before.and_then(|b| b.adapters.get(key));
    let came = after.adapters.iter().filter(|(k, v)| known(k) != Some(*v));
    let went = before.into_iter().flat_map(|b| b.adapters.keys());
    let went = went.filter(|k| !after.adapters.contains_key(*k));
    HeldChange {
        upstream: Arc::clone(upstream),
        generation: after.generation,
        active: after.active,
        released: false,
        came: came.map(|(k, v)| (k.clone(), *v)).collect(),
        went: went.cloned().collect(),
    }
}

/// Answers one stream of another entry.
pub async fn answer(entry: Arc<Entry>, incoming: Incoming) {
    let path = incoming.path.clone();
    let accepted = match path.as_str() {
        PEER_PATH | ENSURE_PATH | MISSING_PATH | DEPLOYMENT_PATH | REGISTRATIONS_PATH => {
            incoming.accept()
        }
        _ => return incoming.refuse(),
    };
    let Ok((sender, receiver)) = accepted else {
        return;
    };
    let ended = match path.as_str() {
        PEER_PATH => receive_updates(&entry, sender, receiver).await,
        ENSURE_PATH => answer_ensure(&entry, sender, receiver).await,
        MISSING_PATH => take_missing(&entry, sender, receiver).await,
        REGISTRATIONS_PATH => registrations::answer(&entry, sender, receiver).await,
        _ => answer_deployment(&entry, sender, receiver).await,
    };
    if let Err(e) = ended {
        debug!("stream {path} of an entry: {e}");
    }
}

/// Takes in the updates of another entry.
async fn receive_updates(
    entry: &Arc<Entry>,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    while let Some(update) = receiver.next::<PeerUpdate>().await? {
        let is_new = lock(&entry.peers).update(&update, BootInstant::now());
        if is_new {
            info!(peer = &*update.info.name, incarnation = update.info.incarnation, address:% = update.info.link; "dependency regained: entry");
        }
        let now = BootInstant::now();
        for (upstream, tokens) in &update.prompts {
            lock(&entry.prefill).reserve(upstream, *tokens, now);
        }
        for (key, version) in &update.versions {
            entry.announce(key, *version);
        }
        for used in update.uses.iter().filter(|u| u.asked > 0) {
            entry.tell_controller(&used.upstream, Command::Asked(used.key.clone(), used.asked));
        }
        if update.info.revision > entry.revision() {
            tokio::spawn(fetch_deployment(Arc::clone(entry), update.info.link));
        }
        let sequence = update.sequence;
        sender.send(&PeerAck { sequence }).await?;
    }
    Ok(())
}

async fn fetch_deployment(entry: Arc<Entry>, address: SocketAddr) {
    let known = entry.revision();
    let deployment = question(&entry, address, DEPLOYMENT_PATH, &known, DEPLOYMENT_TIMEOUT).await;
    if let Some(deployment) = deployment {
        entry.adopt(deployment, "peer");
    }
}

/// Puts a question to the entry at `address`; `None` where no answer came within `limit`.
pub async fn question<Q: Serialize + Sync, A: DeserializeOwned>(
    entry: &Entry,
    address: SocketAddr,
    path: &str,
    question: &Q,
    limit: Duration,
) -> Option<A> {
    let asked = timeout(limit, async {
        let link = entry.link(address);
        let mut receiver = link.open(path, question).await?;
        receiver.next::<A>().await
    });
    match asked.await {
        Ok(Ok(answer)) => {
            if answer.is_none() {
                debug!("no answer to {path} from {address}");
            }
            answer
        }
        Ok(Err(e)) => {
            debug!("question {path} to {address}: {e}");
            None
        }
        Err(elapsed) => {
            debug!("question {path} to {address}: {elapsed}");
            None
        }
    }
}

async fn answer_deployment(
    entry: &Arc<Entry>,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    let known = receiver.next::<Revision>().await?.unwrap_or(0);
    let table = entry.routes.load_full();
    if table.deployment.revision > known {
        sender.send(&table.deployment).await?;
    }
    sender.finish();
    Ok(())
}

async fn answer_ensure(
    entry: &Arc<Entry>,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    let Some(ask) = receiver.next::<EnsureAsk>().await? else {
        return Ok(());
    };
    let controller = lock(&entry.controllers).get(&ask.upstream).cloned();
    let result = match controller {
        Some(controller) => controller.ensure(ask.key, ask.version).await,
        None => EnsureResult::NotHolder,
    };
    sender.send(&result).await?;
    sender.finish();
    Ok(())
}

async fn take_missing(
    entry: &Arc<Entry>,
    sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    if let Some(ask) = receiver.next::<EnsureAsk>().await? {
        entry.tell_controller(&ask.upstream, Command::Missing(ask.key, ask.version));
    }
    sender.finish();
    Ok(())
}

/// Asks the holder at `address` to bring an adapter.
pub async fn ask(
    entry: &Arc<Entry>,
    address: SocketAddr,
    upstream: &UpstreamId,
    key: &AdapterKey,
    version: u32,
) -> EnsureResult {
    let ask = EnsureAsk {
        upstream: Arc::clone(upstream),
        key: key.clone(),
        version,
    };
    let asked = timeout(ENSURE_TIMEOUT, async {
        let link = entry.link(address);
        let mut receiver = link.open(ENSURE_PATH, &ask).await?;
        receiver.next::<EnsureResult>().await
    });
    match asked.await {
        Ok(Ok(Some(result))) => result,
        Ok(Ok(None)) | Err(_) => EnsureResult::Failed,
        Ok(Err(e)) => {
            warn!(peer:% = address, upstream = &**upstream, error:% = e; "the holder could not be asked");
            EnsureResult::NotHolder
        }
    }
}

/// Tells the holder of an engine that it lacks an adapter that was noted as loaded at `version`.
pub fn tell_missing(entry: &Arc<Entry>, upstream: &UpstreamId, key: &AdapterKey, version: u32) {
    if entry.tell_controller(upstream, Command::Missing(key.clone(), version)) {
        return;
    }
    let holder = lock(&entry.peers).held(upstream).map(|(p, _)| p.info.link);
    let Some(address) = holder else {
        return;
    };
    let link = entry.link(address);
    let told = EnsureAsk {
        upstream: Arc::clone(upstream),
        key: key.clone(),
        version,
    };
    tokio::spawn(async move {
        if let Err(e) = link.open(MISSING_PATH, &told).await {
            debug!("telling {address} of a missing adapter: {e}");
        }
    });
}
