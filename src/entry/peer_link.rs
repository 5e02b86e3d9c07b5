//! Streams between entries: updates of an entry's state, and requests to a peer.

use crate::{
    clock::BootInstant,
    edge::registration::AdapterKey,
    entry::{
        begun_streams::{self, PeerPlace},
        context::Entry,
        control,
        controller_handle::Command,
        detour::{self, DETOUR_PATH},
        durable_beginnings,
        messages::{
            BEGUN_PATH, DEPLOYMENT_PATH, ENSURE_PATH, EnsureRequest, EnsureResult, MISSING_PATH,
            PEER_PATH, PeerAck, PeerUpdate, REGISTRATIONS_PATH, STORE_BEGUN_PATH,
        },
        registrations,
        send_log::SendRecord,
        update::UpdateBuilder,
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

/// Interval between updates when no change is pending.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two updates, so that simultaneous changes share one.
const MIN_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum time between two updates of an entry that relays for others, as it has changes to pass on all the time.
const RELAY_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of the acknowledgement of an update; after it the connection counts as lost.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// First delay before reconnecting; doubled up to [`MAX_RECONNECT_DELAY`].
const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Longest delay before reconnecting; a VM that is gone for good is retried at this interval.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);

/// Interval between checks for peers that have no update stream yet.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a request to a holder to load an adapter.
const ENSURE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a response after which a connection may have gone silent for good: the next request opens a new one.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Timeout of a request for a configuration.
const DEPLOYMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps an update stream to every peer that needs one, until `stop`.
///
/// # Errors
/// None.
pub async fn connect_peers(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut streams: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    while !stop.is_cancelled() {
        control::refresh(&entry);
        streams.retain(|_, task| !task.is_finished());
        for address in known_links(&entry) {
            let is_other = address != entry.config.link && !streams.contains_key(&address);
            if is_other && needs_updates(&entry, address) {
                let task = send_updates(Arc::clone(&entry), address, stop.clone());
                streams.insert(address, tokio::spawn(task));
            }
        }
        tokio::select! {
            () = stop.cancelled() => {}
            () = tokio::time::sleep(DISCOVERY_INTERVAL) => {}
        }
    }
    Ok(())
}

/// Returns the link addresses of entries, from the settings, the store and the peers.
fn known_links(entry: &Entry) -> Vec<SocketAddr> {
    let mut all = lock(&entry.seeds).clone();
    all.extend(lock(&entry.member_links).iter());
    all.extend(lock(&entry.peers).links());
    all
}

/// Sends updates to the entry at `address`, until `stop` or until it needs none any more.
async fn send_updates(entry: Arc<Entry>, address: SocketAddr, stop: CancellationToken) {
    let mut delay = FIRST_RECONNECT_DELAY;
    let mut connected = false;
    while !stop.is_cancelled() && needs_updates(&entry, address) {
        let ended = tokio::select! {
            () = stop.cancelled() => return,
            ended = UpdateSender::new(&entry, address).run() => ended,
        };
        let (updates, error) = ended;
        let Some(error) = error else {
            continue;
        };
        if updates > 0 {
            delay = FIRST_RECONNECT_DELAY;
            info!(peer:% = address, error:% = error, updates = updates; "dependency lost: entry");
        } else if connected {
            debug!("connecting to entry {address}: {error}");
        }
        connected = updates > 0;
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Sender of one stream of updates.
struct UpdateSender<'a> {
    entry: &'a Arc<Entry>,
    address: SocketAddr,
    builder: UpdateBuilder,
    changes: watch::Receiver<u64>,
    /// Time before the first update was sent.
    started: BootInstant,
}

impl<'a> UpdateSender<'a> {
    fn new(entry: &'a Arc<Entry>, address: SocketAddr) -> Self {
        Self {
            entry,
            address,
            builder: UpdateBuilder::new(entry, address),
            changes: entry.update_trigger.subscribe(),
            started: BootInstant::now(),
        }
    }

    /// Sends until the stream breaks or the peer needs no more updates; returns the number of acknowledged updates, and
    /// why the stream broke.
    async fn run(mut self) -> (u64, Option<LinkError>) {
        let link = self.entry.link(self.address);
        let first = self.builder.next_update();
        let (mut sender, mut receiver) = match link.open_duplex(PEER_PATH, &first).await {
            Ok(stream) => stream,
            Err(e) => return (0, Some(e)),
        };
        let mut received = 0;
        loop {
            if let Err(e) = self.receive_ack(&mut receiver).await {
                link.reset();
                return (received, Some(e));
            }
            received += 1;
            self.wait_for_changes().await;
            if !needs_updates(self.entry, self.address) {
                sender.finish();
                return (received, None);
            }
            self.changes.mark_unchanged();
            let update = self.builder.next_update();
            match sender.send(&update).await {
                Ok(bytes) => metrics::control_bytes("peer", bytes),
                Err(e) => return (received, Some(e)),
            }
        }
    }

    async fn receive_ack(&self, receiver: &mut Receiver) -> Result<(), LinkError> {
        match timeout(ACK_TIMEOUT, receiver.next::<PeerAck>()).await {
            Ok(Ok(Some(ack))) => {
                if !ack.control.is_empty() {
                    lock(&self.entry.peers).add_control_links(&ack.control);
                }
                for strike in &ack.strikes {
                    self.entry.record_strike(strike);
                }
                let name = lock(&self.entry.peers)
                    .by_link(self.address)
                    .map(|p| Arc::clone(&p.info.name));
                self.entry.apply_begun(name.as_ref(), &ack.begun);
                if let Some(report) = &ack.builds {
                    let now = BootInstant::now();
                    lock(&self.entry.builds).merge_reply(report, self.started, now);
                }
                Ok(())
            }
            Ok(Ok(None)) | Err(_) => Err(LinkError::Broken),
            Ok(Err(e)) => Err(e),
        }
    }

    async fn wait_for_changes(&mut self) {
        let interval = if lock(&self.entry.peers).relayed().next().is_some() {
            RELAY_INTERVAL
        } else {
            MIN_INTERVAL
        };
        tokio::time::sleep(interval).await;
        let rest = UPDATE_INTERVAL.saturating_sub(interval);
        let _elapsed = timeout(rest, self.changes.changed()).await;
    }
}

/// Returns whether this entry sends updates to the one at `address`.
fn needs_updates(entry: &Entry, address: SocketAddr) -> bool {
    let receives = || {
        let peers = lock(&entry.peers);
        let peer = peers.by_link(address);
        peer.is_some_and(|p| p.is_live(BootInstant::now()))
    };
    entry.control.load().sends_updates_to(address, receives)
}

/// Serves one stream of a peer; one of an unknown kind is refused.
pub async fn serve_stream(entry: Arc<Entry>, incoming: IncomingStream) {
    let entry = &entry;
    let path = incoming.path.clone();
    let ended = match path.as_str() {
        DETOUR_PATH => detour::serve(entry, incoming).await,
        PEER_PATH => accept(incoming, |tx, rx| receive_updates(entry, tx, rx)).await,
        ENSURE_PATH => accept(incoming, |tx, rx| serve_ensure(entry, tx, rx)).await,
        MISSING_PATH => accept(incoming, |tx, rx| receive_missing(entry, tx, rx)).await,
        DEPLOYMENT_PATH => accept(incoming, |tx, rx| serve_deployment(entry, tx, rx)).await,
        REGISTRATIONS_PATH => accept(incoming, |tx, rx| registrations::serve(entry, tx, rx)).await,
        BEGUN_PATH => accept(incoming, |tx, rx| begun_streams::serve(entry, tx, rx)).await,
        STORE_BEGUN_PATH => {
            accept(incoming, |tx, rx| durable_beginnings::serve(entry, tx, rx)).await
        }
        _ => {
            warn!(path = &*path; "refused a peer's stream of an unknown kind");
            incoming.refuse();
            return;
        }
    };
    if let Err(e) = ended {
        debug!("stream {path} from a peer failed: {e}");
    }
}

/// Accepts a stream and serves it to its end.
async fn accept<F: Future<Output = Result<(), LinkError>>>(
    incoming: IncomingStream,
    serve: impl FnOnce(Sender, Receiver) -> F,
) -> Result<(), LinkError> {
    let (sender, receiver) = incoming.accept()?;
    serve(sender, receiver).await
}

/// Receives and acknowledges the updates of a peer.
async fn receive_updates(
    entry: &Arc<Entry>,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    while let Some(update) = receiver.next::<PeerUpdate>().await? {
        apply_update(entry, &update);
        let ack = if update.sequence == 0 {
            first_ack(entry, PeerPlace::of(update.homed))
        } else {
            PeerAck {
                sequence: update.sequence,
                ..PeerAck::default()
            }
        };
        sender.send(&ack).await?;
    }
    Ok(())
}

/// Returns the acknowledgement of a first update, with what a peer that has just started needs to know at once.
fn first_ack(entry: &Entry, sender: PeerPlace) -> PeerAck {
    PeerAck {
        sequence: 0,
        control: entry.control_links(),
        strikes: entry.quarantine.known(),
        begun: entry.known_begun(sender),
        builds: Some(lock(&entry.builds).report(BootInstant::now())),
    }
}

fn apply_update(entry: &Arc<Entry>, update: &PeerUpdate) {
    let now = BootInstant::now();
    let info = &update.info;
    let (is_new, is_relay) = {
        let mut peers = lock(&entry.peers);
        let is_new = peers.apply_update(update, now);
        (is_new, peers.relayed().next().is_some())
    };
    if is_new {
        info!(peer = &*info.name, incarnation = info.incarnation, address:% = info.link; "dependency regained: entry");
    }
    for (upstream, tokens) in &update.prompts {
        lock(&entry.prefill).reserve(upstream, *tokens, now);
        lock(&entry.prompt_caches).add_tokens(upstream, *tokens);
        lock(&entry.send_log).add(SendRecord {
            at: now,
            source: Some(Arc::clone(&info.name)),
            upstream: Arc::clone(upstream),
            prompt_tokens: *tokens,
            ..SendRecord::default()
        });
    }
    if let Some(report) = update.load_limit {
        lock(&entry.load_limit).learn_from_peer(report, now);
    }
    entry.apply_peer_prompts(update);
    entry.apply_peer_speeds(update);
    entry.apply_peer_limits(update);
    entry.apply_peer_brittle(update);
    entry.apply_peer_quotas(update);
    for (key, version) in &update.versions {
        entry.update_version(key, *version);
    }
    for strike in &update.strikes {
        entry.record_strike(strike);
    }
    entry.apply_begun(Some(&info.name), &update.begun);
    if let Some(report) = &update.builds {
        lock(&entry.builds).merge(report, now);
    }
    for used in update.uses.iter().filter(|u| u.asked > 0) {
        let command = Command::Requested(used.key.clone(), used.asked);
        if !entry.send_to_controller(&used.upstream, command) && update.homed {
            entry
                .usage
                .add_relayed_requests(&used.upstream, &used.key, used.asked);
        }
    }
    if info.revision > entry.revision() && entry.begin_fetch(info.link) {
        tokio::spawn(fetch_deployment(Arc::clone(entry), info.link));
    }
    let has_changes = !update.prompts.is_empty()
        || !update.limited_sends.is_empty()
        || !update.rejections.is_empty()
        || !update.held.is_empty()
        || (!update.begun.is_empty() && entry.recording().is_for_all())
        || update.quotas.is_some()
        || !update.others.is_empty();
    if is_relay && has_changes {
        entry.notify_peers();
    }
}

async fn fetch_deployment(entry: Arc<Entry>, address: SocketAddr) {
    let known = entry.revision();
    let deployment = request(&entry, address, DEPLOYMENT_PATH, &known, DEPLOYMENT_TIMEOUT).await;
    if let Some(deployment) = deployment {
        entry.apply_deployment(deployment, "peer");
    }
    entry.end_fetch(address);
}

/// Sends a request to the entry at `address`; returns `None` if no response came within `limit`.
pub async fn request<Q: Serialize + Sync, R: DeserializeOwned>(
    entry: &Entry,
    address: SocketAddr,
    path: &str,
    body: &Q,
    limit: Duration,
) -> Option<R> {
    let outcome = timeout(limit, async {
        let link = entry.link(address);
        let mut receiver = link.open(path, body).await?;
        receiver.next::<R>().await
    });
    match outcome.await {
        Ok(Ok(response)) => {
            if response.is_none() {
                debug!("no response to {path} from {address}");
            }
            response
        }
        Ok(Err(e)) => {
            debug!("request {path} to {address} failed: {e}");
            None
        }
        Err(elapsed) => {
            debug!("request {path} to {address} timed out: {elapsed}");
            if limit >= SILENT_AFTER {
                entry.link(address).reset();
            }
            None
        }
    }
}

async fn serve_deployment(
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

async fn serve_ensure(
    entry: &Arc<Entry>,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    let Some(request) = receiver.next::<EnsureRequest>().await? else {
        return Ok(());
    };
    let controller = lock(&entry.controllers).get(&request.upstream).cloned();
    let result = match controller {
        Some(controller) => controller.ensure_adapter(request).await,
        None => EnsureResult::NotHolder,
    };
    sender.send(&result).await?;
    sender.finish();
    Ok(())
}

async fn receive_missing(
    entry: &Arc<Entry>,
    sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    if let Some(request) = receiver.next::<EnsureRequest>().await? {
        entry.send_to_controller(
            &request.upstream,
            Command::Missing(request.key, request.version),
        );
    }
    sender.finish();
    Ok(())
}

/// Requests from the holder at `address` to load an adapter unless it is resident.
pub async fn request_adapter(
    entry: &Arc<Entry>,
    address: SocketAddr,
    request: &EnsureRequest,
) -> EnsureResult {
    let outcome = timeout(ENSURE_TIMEOUT, async {
        let link = entry.link(address);
        let mut receiver = link.open(ENSURE_PATH, request).await?;
        receiver.next::<EnsureResult>().await
    });
    match outcome.await {
        Ok(Ok(Some(result))) => result,
        Ok(Ok(None)) | Err(_) => EnsureResult::Failed,
        Ok(Err(e)) => {
            warn!(peer:% = address, upstream = &*request.upstream, error:% = e; "the request to the holder to load an adapter failed");
            EnsureResult::NotHolder
        }
    }
}

/// Reports to an engine's holder that the engine lacks an adapter that was recorded as loaded at `version`.
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
    let report = EnsureRequest {
        upstream: Arc::clone(upstream),
        key: key.clone(),
        version,
        max_wait_ms: 0,
        idle_wait_ms: 0,
        is_urgent: true,
    };
    tokio::spawn(async move {
        if let Err(e) = link.open(MISSING_PATH, &report).await {
            debug!("reporting a missing adapter to {address} failed: {e}");
        }
    });
}
