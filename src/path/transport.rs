//! Sends a request to an upstream, directly or through another entry.

use crate::{
    clock::BootInstant,
    decide::paths::Path,
    edge::registration::Registration,
    entry::{context::Entry, detour, messages::PeerInfo},
    holding::lock,
    http_client::{self, ListenerState, PROBE_TIMEOUT},
    metrics,
    path::{
        attempt::Framing,
        pool::{Connection, IdleError, SendError},
    },
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use log::{info, warn};
use std::{
    fmt::{Display, Formatter},
    sync::Arc,
    time::Duration,
};

/// Time for a direct connection while another entry could pass the request on; connecting takes a few milliseconds.
const DETOUR_AFTER: Duration = Duration::from_millis(200);

/// Interval between checks for upstreams that are due for a probe.
const PROBE_TICK: Duration = Duration::from_millis(100);

/// Largest number of upstreams in a round of probes.
const MAX_ROUND: usize = 32;

/// The connection that carried a body broke; whether something listened at the upstream's address, where another entry has
/// checked that.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenBody(pub Option<ListenerState>);

impl Display for BrokenBody {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection to the upstream broke")
    }
}

impl std::error::Error for BrokenBody {}

/// Body of an upstream's response.
pub type UpstreamBody = UnsyncBoxBody<Bytes, BrokenBody>;

/// An upstream's response, and the connection that carries its body.
#[derive(Debug)]
pub struct Exchange {
    /// Head and body.
    pub response: Response<UpstreamBody>,
    /// What ends the body.
    pub framing: Framing,
    /// The connection; `None` if another entry has it.
    pub connection: Option<Connection>,
}

impl Entry {
    /// Sends `request` to `upstream`, through another entry if this one does not reach it; `id` names it and `left` is the
    /// time until its deadline.
    ///
    /// # Errors
    /// See [`SendError`].
    pub async fn send_to_upstream(
        self: &Arc<Self>,
        upstream: &Arc<Registration>,
        request: Request<Bytes>,
        id: &Arc<str>,
        left: Duration,
    ) -> Result<Exchange, SendError> {
        let started = BootInstant::now();
        if !self.may_detour() {
            return self.send_directly(upstream, request.map(Full::new)).await;
        }
        let path = lock(&self.paths).path(&upstream.id, started);
        match path {
            Path::Direct => {
                let direct = request.clone().map(Full::new);
                match self.send_directly(upstream, direct).await {
                    Err(SendError::NotSent) => {}
                    sent => return sent,
                }
            }
            Path::Detour => {}
            Path::Down => return Err(SendError::NotSent),
        }
        let left = left.saturating_sub(BootInstant::now().since(started));
        self.send_by_detour(upstream, &request, id, left).await
    }

    /// Sends `request` to `upstream` by a connection of this entry.
    ///
    /// # Errors
    /// See [`SendError`].
    pub async fn send_directly(
        self: &Arc<Self>,
        upstream: &Arc<Registration>,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let (response, connection) = match self.pool.send_on_idle(&upstream.id, request).await {
            Ok(sent) => sent,
            Err(IdleError::Broken) => return Err(SendError::Broken(None)),
            Err(IdleError::NoConnection(request)) => {
                let connection = self.connect(upstream).await?;
                connection.send(*request).await?
            }
        };
        self.record_reached(&upstream.id);
        let status = response.status();
        if !http_client::is_final(status) {
            warn!(upstream = &*upstream.id, status = status.as_u16(); "routing: the upstream's response has a status that is none");
            return Err(SendError::Broken(None));
        }
        let framing = Framing::of(&response);
        Ok(Exchange {
            response: response.map(|b| b.map_err(|_e| BrokenBody(None)).boxed_unsync()),
            framing,
            connection: Some(connection),
        })
    }

    /// Connects to `upstream` in a task of its own, so that the entry learns whether it is reached also if the caller leaves
    /// meanwhile.
    async fn connect(
        self: &Arc<Self>,
        upstream: &Arc<Registration>,
    ) -> Result<Connection, SendError> {
        let may_detour = self.may_detour();
        let (entry, upstream) = (Arc::clone(self), Arc::clone(upstream));
        let connecting = tokio::spawn(async move {
            let connecting = entry.pool.connect(&upstream);
            let connected = if may_detour {
                let limited = tokio::time::timeout(DETOUR_AFTER, connecting).await;
                limited.unwrap_or(Err(SendError::NotSent))
            } else {
                connecting.await
            };
            if connected.is_err() {
                entry.record_unreached(&upstream);
            }
            connected
        });
        connecting.await.unwrap_or(Err(SendError::NotSent))
    }

    async fn send_by_detour(
        &self,
        upstream: &Registration,
        request: &Request<Bytes>,
        id: &Arc<str>,
        left: Duration,
    ) -> Result<Exchange, SendError> {
        let peers = self.detour_peers();
        let ranked: Vec<&PeerInfo> = {
            let paths = lock(&self.paths);
            paths.rank_peers(id, peers.iter().collect(), |p| &p.name, BootInstant::now())
        };
        for peer in ranked {
            let sent = detour::send_through(self, peer.link, upstream, request, id, left).await;
            let outcome = match &sent {
                Ok(_) => "response",
                Err(SendError::NotSent) => "not-sent",
                Err(SendError::Broken(_)) => "broken",
            };
            metrics::detour(&upstream.service, outcome);
            info!(request = &**id, upstream = &*upstream.id, through = &*peer.name, outcome = outcome; "routing: sent through another entry");
            if sent.is_ok() {
                lock(&self.paths).record_detour(&upstream.id);
            }
            if !matches!(sent, Err(SendError::NotSent)) {
                return sent;
            }
            lock(&self.paths).record_refusal(&peer.name, BootInstant::now());
        }
        if !peers.is_empty() {
            lock(&self.paths).record_down(&upstream.id);
        }
        Err(SendError::NotSent)
    }

    /// Returns whether some other entry may pass requests on.
    fn may_detour(&self) -> bool {
        lock(&self.peers).any_live(BootInstant::now(), may_pass_on)
    }

    /// Returns the entries that may pass requests on.
    fn detour_peers(&self) -> Vec<PeerInfo> {
        let peers = lock(&self.peers);
        let live = peers.live(BootInstant::now()).into_iter();
        live.filter(|p| may_pass_on(p)).cloned().collect()
    }

    fn record_reached(&self, upstream: &str) {
        if lock(&self.paths).record_reached(upstream, BootInstant::now()) {
            info!(upstream = upstream; "routing: upstream reached directly again");
            self.notify_peers();
        }
    }

    /// Records that no connection to `upstream` could be made, and probes the others that idle connections lead to.
    fn record_unreached(self: &Arc<Self>, upstream: &Arc<Registration>) {
        let now = BootInstant::now();
        if !lock(&self.paths).record_unreached(&upstream.id, now) {
            return;
        }
        info!(upstream = &*upstream.id; "routing: upstream not reached directly");
        self.pool.close_idle(&upstream.id);
        self.notify_peers();
        if lock(&self.paths).begin_round(now) {
            for other in self.pool.idle_upstreams().into_iter().take(MAX_ROUND) {
                tokio::spawn(probe(Arc::clone(self), other));
            }
        }
    }
}

/// Returns whether an entry may pass attempts on.
fn may_pass_on(peer: &PeerInfo) -> bool {
    peer.ready && !peer.leaving
}

/// Probes the upstreams that are not reached directly, until the task is dropped.
pub async fn probe_unreached(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(PROBE_TICK).await;
        let due = {
            let mut paths = lock(&entry.paths);
            paths.due_probes(BootInstant::now(), rand::random_range(0.0..1.0))
        };
        for upstream in due {
            tokio::spawn(probe(Arc::clone(&entry), upstream));
        }
    }
}

/// Connects to an upstream and records whether it was reached.
async fn probe(entry: Arc<Entry>, upstream: Arc<str>) {
    let registered = lock(&entry.registry).get(&upstream).cloned();
    let Some(registered) = registered else {
        lock(&entry.paths).forget(&upstream);
        return;
    };
    match http_client::probe_listener(registered.address, PROBE_TIMEOUT).await {
        ListenerState::Open => entry.record_reached(&upstream),
        ListenerState::Closed | ListenerState::Silent => entry.record_unreached(&registered),
    }
}
