//! Streams between entries: each tells every other one about itself, and answers its questions.

use crate::{
    clock::BootInstant,
    edge::registration::AdapterKey,
    entry::{
        context::Entry,
        control,
        controller::Command,
        messages::{
            DEPLOYMENT_PATH, ENSURE_PATH, EnsureRequest, EnsureResult, MISSING_PATH, PEER_PATH,
            PeerAck, PeerUpdate, REGISTRATIONS_PATH,
        },
        prompt_log::PromptReservation,
        registrations,
        update::UpdateWriter,
    },
    holding::lock,
    ident::{Revision, UpstreamId},
    link::{IncomingStream, LinkError, Receiver, Sender},
    metrics,
    supervisor::ChildError,
};
use log::{debug, info, warn};
use serde::{Serialize, de::DeserializeOwned};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

/// Interval between updates when nothing presses.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Least time between two updates, so that changes at once go together.
const MIN_INTERVAL: Duration = Duration::from_millis(25);

/// Least time between two updates of an entry that speaks for others: what it passes on comes all the time.
const RELAY_INTERVAL: Duration = Duration::from_millis(50);

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

/// Talks to the entries that are to be told of this one, until `stop`.
///
/// # Errors
/// None.
pub async fn connect_peers(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut spoken: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    while !stop.is_cancelled() {
        control::refresh(&entry);
        spoken.retain(|_, task| !task.is_finished());
        for address in known(&entry) {
            let is_other = address != entry.config.link && !spoken.contains_key(&address);
            if is_other && tells(&entry, address) {
                let task = send_updates(Arc::clone(&entry), address, stop.clone());
                spoken.insert(address, tokio::spawn(task));
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

/// Tells the entry at `address` about this one, until `stop` or until it need not be told any more.
async fn send_updates(entry: Arc<Entry>, address: SocketAddr, stop: CancellationToken) {
    let mut pause = FIRST_RECONNECT;
    let mut connected = false;
    while !stop.is_cancelled() && tells(&entry, address) {
        let told = tokio::select! {
            () = stop.cancelled() => return,
            told = UpdateSender::new(&entry, address).run() => told,
        };
        let (updates, error) = told;
        let Some(error) = error else {
            continue;
        };
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
    writer: UpdateWriter,
    changes: watch::Receiver<u64>,
}

impl<'a> UpdateSender<'a> {
    fn new(entry: &'a Arc<Entry>, address: SocketAddr) -> Self {
        Self {
            entry,
            address,
            writer: UpdateWriter::new(entry, address),
            changes: entry.update_trigger.subscribe(),
        }
    }

    /// Sends until the stream breaks or the other entry need not be told any more; the updates that were received,
    /// and why the stream broke.
    async fn run(mut self) -> (u64, Option<LinkError>) {
        let link = self.entry.link(self.address);
        let first = self.writer.update();
        let (mut sender, mut receiver) = match link.open_duplex(PEER_PATH, &first).await {
            Ok(stream) => stream,
            Err(e) => return (0, Some(e)),
        };
        let mut received = 0;
        loop {
            if let Err(e) = self.receipt(&mut receiver).await {
                link.reset().await;
                return (received, Some(e));
            }
            received += 1;
            self.pause().await;
            if !tells(self.entry, self.address) {
                sender.finish();
                return (received, None);
            }
            self.changes.mark_unchanged();
            let update = self.writer.update();
            match sender.send(&update).await {
                Ok(bytes) => metrics::control_bytes("peer", bytes),
                Err(e) => return (received, Some(e)),
            }
        }
    }

    async fn receipt(&self, receiver: &mut Receiver) -> Result<(), LinkError> {
        match timeout(ACK_TIMEOUT, receiver.next::<PeerAck>()).await {
            Ok(Ok(Some(ack))) => {
                if !ack.control.is_empty() {
                    lock(&self.entry.peers).hint(&ack.control);
                }
                Ok(())
            }
            Ok(Ok(None)) | Err(_) => Err(LinkError::Broken),
            Ok(Err(e)) => Err(e),
        }
    }

    async fn pause(&mut self) {
        let least = if lock(&self.entry.peers).homed().next().is_some() {
            RELAY_INTERVAL
        } else {
            MIN_INTERVAL
        };
        tokio::time::sleep(least).await;
        let rest = UPDATE_INTERVAL.saturating_sub(least);
        let _elapsed = timeout(rest, self.changes.changed()).await;
    }
}

/// Whether this entry is to tell the one at `address` of itself.
fn tells(entry: &Entry, address: SocketAddr) -> bool {
    let speaks = || {
        let peers = lock(&entry.peers);
        let peer = peers.at(address);
        peer.is_some_and(|p| p.is_live(BootInstant::now()))
    };
    entry.control.load().tells(address, speaks)
}

/// Answers one stream of another entry.
pub async fn answer(entry: Arc<Entry>, incoming: IncomingStream) {
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
        take_update(entry, &update);
        let control = match update.sequence {
            0 => entry.control_links(),
            _ => Vec::new(),
        };
        let sequence = update.sequence;
        sender.send(&PeerAck { sequence, control }).await?;
    }
    Ok(())
}

fn take_update(entry: &Arc<Entry>, update: &PeerUpdate) {
    let now = BootInstant::now();
    let info = &update.info;
    let (is_new, passes_on) = {
        let mut peers = lock(&entry.peers);
        let is_new = peers.apply_update(update, now);
        (is_new, peers.homed().next().is_some())
    };
    if is_new {
        info!(peer = &*info.name, incarnation = info.incarnation, address:% = info.link; "dependency regained: entry");
    }
    for (upstream, tokens) in &update.prompts {
        lock(&entry.prefill).reserve(upstream, *tokens, now);
        lock(&entry.prompt_log).add(PromptReservation {
            source: Some(Arc::clone(&info.name)),
            upstream: Arc::clone(upstream),
            tokens: *tokens,
        });
    }
    for (key, version) in &update.versions {
        entry.update_version(key, *version);
    }
    for used in update.uses.iter().filter(|u| u.asked > 0) {
        let asked = Command::Requested(used.key.clone(), used.asked);
        if !entry.send_to_controller(&used.upstream, asked) && update.homed {
            entry
                .usage
                .relay_asked(&used.upstream, &used.key, used.asked);
        }
    }
    if info.revision > entry.revision() && entry.begin_fetch() {
        tokio::spawn(fetch_deployment(Arc::clone(entry), info.link));
    }
    let has_news =
        !update.prompts.is_empty() || !update.held.is_empty() || !update.others.is_empty();
    if passes_on && has_news {
        entry.notify_peers();
    }
}

async fn fetch_deployment(entry: Arc<Entry>, address: SocketAddr) {
    let known = entry.revision();
    let deployment = question(&entry, address, DEPLOYMENT_PATH, &known, DEPLOYMENT_TIMEOUT).await;
    if let Some(deployment) = deployment {
        entry.apply_deployment(deployment, "peer");
    }
    entry.end_fetch();
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
    let Some(ask) = receiver.next::<EnsureRequest>().await? else {
        return Ok(());
    };
    let controller = lock(&entry.controllers).get(&ask.upstream).cloned();
    let result = match controller {
        Some(controller) => controller.ensure_adapter(ask.key, ask.version).await,
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
    if let Some(ask) = receiver.next::<EnsureRequest>().await? {
        entry.send_to_controller(&ask.upstream, Command::Missing(ask.key, ask.version));
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
    let ask = EnsureRequest {
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
pub fn report_missing_adapter(
    entry: &Arc<Entry>,
    upstream: &UpstreamId,
    key: &AdapterKey,
    version: u32,
) {
    if entry.send_to_controller(upstream, Command::Missing(key.clone(), version)) {
        return;
    }
    let Some(address) = entry.holder_link(upstream) else {
        return;
    };
    let link = entry.link(address);
    let told = EnsureRequest {
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
