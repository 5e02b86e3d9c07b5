//! Sends a request to one upstream and reads the head of its response.

use crate::{
    clock::BootInstant,
    edge::{
        codec::{ForwardParams, NamedRequest, ResponseHead, RunState, StreamBeginning},
        registration::Registration,
    },
    entry::{controller_handle::Command, peer_link, usage::UsageGuard},
    holding::lock,
    http_client::{self, ListenerState, PROBE_TIMEOUT},
    path::{
        job::{Placement, ProxyRequest},
        pool::{self, Connection, SendError},
        prefill_reservation::PrefillReservation,
        transport::{Exchange, UpstreamBody},
    },
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body::Body;
use hyper::body::Incoming;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};
use tokio::task::JoinHandle;

/// Engine priority of requests with priority 0; each further step adds one.
const HIGHEST_PRIORITY: u8 = 3;

/// Engine priority that is never exceeded; a higher number is served later.
const LOWEST_PRIORITY: u8 = 9;

/// Time from the first chunk of a response after which the parts of its prompt are not the cause of a crash: such a part
/// crashes the upstream when it begins to respond.
pub const PROVEN_AFTER: Duration = Duration::from_millis(100);

/// Hop-by-hop headers, which apply to a single connection and must not be forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Hop-by-hop headers that the `http` crate has no constants for.
const EXTRA_HOP_BY_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Background check whether an upstream's process has ended; it records a strike against the request if so.
pub type CrashCheck = JoinHandle<()>;

/// Outcome of one attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The upstream sent a response head.
    Response(Box<UpstreamResponse>),
    /// The request reached no upstream.
    NotSent,
    /// The upstream did not run the request.
    NotRun,
    /// The upstream may have run the request. If the connection broke, the check whether it crashed is under way.
    Uncertain(Option<CrashCheck>),
    /// The request's deadline passed.
    Timeout,
}

/// A request that was sent to an upstream.
#[derive(Debug)]
pub struct SentRequest {
    /// Time at which it was sent.
    pub at: BootInstant,
    /// Prefill of its prompt.
    pub prefill: PrefillReservation,
    /// Counts the request as in flight until dropped.
    _usage: UsageGuard,
}

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Framing {
    /// The number of bytes in `Content-Length`, or the head, if it allows no body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which also comes when the upstream breaks off.
    Close,
}

impl Framing {
    /// Returns the framing of a response whose body was not read yet.
    pub fn of(response: &Response<Incoming>) -> Self {
        let headers = response.headers();
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) || response.body().is_end_stream() {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

/// The upstream that responds, and the connection that carries the response body.
#[derive(Debug)]
pub struct ResponseSource {
    /// The upstream.
    pub upstream: Arc<Registration>,
    /// The connection; `None` if another entry has it.
    pub connection: Option<Connection>,
    /// Time for which the connection may be reused afterwards; `None` if it must be closed.
    pub keep_alive: Option<Duration>,
    /// The request.
    pub sent: SentRequest,
}

/// An upstream's response, with its body still to be read.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Head and body, without hop-by-hop headers.
    pub response: Response<UpstreamBody>,
    /// What ends the body.
    pub framing: Framing,
    /// Upstream and connection that it comes from.
    pub source: ResponseSource,
}

impl ProxyRequest {
    /// Sends the request to `placement`'s upstream; a resumed stream continues after `last_event`.
    pub async fn attempt(
        &self,
        placement: &Placement,
        last_event: Option<u64>,
        prefill: PrefillReservation,
    ) -> AttemptOutcome {
        let Some(hold) = &self.quota else {
            return self.send_once(placement, last_event, prefill).await;
        };
        hold.sending();
        let outcome = self.send_once(placement, last_event, prefill).await;
        if matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::NotRun) {
            hold.not_run();
        }
        outcome
    }

    async fn send_once(
        &self,
        placement: &Placement,
        last_event: Option<u64>,
        prefill: PrefillReservation,
    ) -> AttemptOutcome {
        let upstream = &placement.upstream;
        let usage = self.entry.usage.begin(&upstream.id, self.adapter());
        if let Some(key) = self.adapter() {
            // Other holders receive this through updates between peers.
            let command = Command::Requested(key.clone(), 1);
            self.entry.send_to_controller(&upstream.id, command);
        }
        let remaining = self.time_left();
        let Some(request) = self.build_request(placement, last_event, remaining) else {
            return AttemptOutcome::NotRun;
        };
        let sent = SentRequest {
            at: BootInstant::now(),
            prefill,
            _usage: usage,
        };
        if let StreamBeginning::Earlier(begun) = &self.head.beginning {
            info!(
                request = &*self.head.id, begun = &**begun, upstream = &*upstream.id, build:% = upstream.build(),
                last_event = last_event.unwrap_or(0);
                "routing: stream of an earlier request resumed"
            );
        }
        let entry = &self.entry;
        let response = entry.send_to_upstream(upstream, request, &self.head.id, remaining);
        let response = match tokio::time::timeout(remaining, response).await {
            Ok(response) => response,
            Err(_elapsed) => return AttemptOutcome::Timeout,
        };
        match response {
            Ok(exchange) => self.classify_response(placement, exchange, sent),
            Err(SendError::NotSent) => {
                self.record_failure(upstream, "no connection");
                AttemptOutcome::NotSent
            }
            Err(SendError::Broken(listener)) => {
                let check =
                    self.record_broken_connection(upstream, "connection broke", None, listener);
                AttemptOutcome::Uncertain(Some(check))
            }
        }
    }

    fn build_request(
        &self,
        placement: &Placement,
        last_event: Option<u64>,
        remaining: Duration,
    ) -> Option<Request<Bytes>> {
        let mut headers = self.headers.clone();
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(header::EXPECT);
        headers.remove(header::CONTENT_LENGTH);
        let forwarding = ForwardParams {
            remaining,
            process: &placement.upstream.id,
            version: placement.version,
            priority: self
                .head
                .work
                .as_ref()
                .map(|_| engine_priority(self.priority())),
            last_event,
            customer: self.customer_name(),
        };
        self.entry
            .codec
            .set_upstream_headers(&mut headers, &forwarding);
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path_and_query.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Classifies a response by its head.
    fn classify_response(
        &self,
        placement: &Placement,
        exchange: Exchange,
        sent: SentRequest,
    ) -> AttemptOutcome {
        let Exchange {
            mut response,
            framing,
            connection,
        } = exchange;
        let upstream = &placement.upstream;
        let status = response.status();
        let codec = &self.entry.codec;
        let head = codec.response_head(&self.head.id, status, response.headers());
        let reused = connection.as_ref().is_some_and(Connection::is_reused);
        if !belongs_to_request(&head, connection.as_ref()) {
            info!(
                request = &*self.head.id, upstream = &*upstream.id, status = status.as_u16(), named:? = head.request, run:? = head.run,
                reused = reused;
                "routing: response to another request"
            );
            return AttemptOutcome::Uncertain(None);
        }
        // A misdirected request may have reached another process at the address.
        if head.run != RunState::Misdirected {
            self.entry
                .observe_limit(&upstream.id, head.limit, &self.head.id);
            self.entry.observe_brittle(&upstream.id, head.brittle);
            if head.leaving {
                self.entry.record_leaving(upstream, &self.head.id);
            }
            if let Some(pause) = head.retry_after {
                self.entry.record_hold_off(upstream, pause, &self.head.id);
            }
        }
        if head.run == RunState::NotRun {
            self.entry.record_rejection(&upstream.id);
        }
        if head.run != RunState::Run {
            let misdirected = head.run == RunState::Misdirected;
            info!(
                request = &*self.head.id, upstream = &*upstream.id, status = status.as_u16(), misdirected = misdirected,
                named:? = head.request, reused = reused;
                "routing: not run by the upstream"
            );
            if misdirected {
                self.handle_misdirected(placement);
            }
            return AttemptOutcome::NotRun;
        }
        if status.is_success() && !codec.is_signed(response.headers()) {
            info!(
                request = &*self.head.id, upstream = &*upstream.id, status = status.as_u16(), reused = reused;
                "routing: success without a signature"
            );
            return AttemptOutcome::Uncertain(None);
        }
        lock(&self.entry.outliers).record_success(&upstream.id);
        let keep_alive = pool::keep_alive_time(response.headers());
        remove_hop_by_hop_headers(response.headers_mut());
        AttemptOutcome::Response(Box::new(UpstreamResponse {
            response,
            framing,
            source: ResponseSource {
                upstream: Arc::clone(upstream),
                connection,
                keep_alive,
                sent,
            },
        }))
    }

    /// Handles a misdirected request: the upstream lacks the adapter, or another process has its address.
    fn handle_misdirected(&self, placement: &Placement) {
        let upstream = &placement.upstream;
        match (self.adapter(), placement.version) {
            (Some(key), Some(version)) => {
                peer_link::report_missing_adapter(&self.entry, &upstream.id, key, version);
            }
            _ => self.record_failure(upstream, "another process has the address"),
        }
    }

    /// Records that the connection broke under the request, and checks in the background whether the upstream crashed.
    /// `ran` is the time since the first chunk of the response, if there was one; `listener` is what another entry has
    /// found, if the request went through it.
    pub fn record_broken_connection(
        &self,
        upstream: &Arc<Registration>,
        problem: &str,
        ran: Option<Duration>,
        listener: Option<ListenerState>,
    ) -> CrashCheck {
        self.record_failure(upstream, problem);
        let (entry, request) = (Arc::clone(&self.entry), Arc::clone(&self.head.id));
        let (method, target) = (self.method.clone(), self.path_and_query.clone());
        let (upstream, fingerprint) = (Arc::clone(upstream), self.fingerprint);
        let parts: Vec<u64> = self.prompt_parts().collect();
        tokio::spawn(async move {
            let logged: Vec<String> = parts.iter().map(|id| format!("{id:016x}")).collect();
            let listener = match listener {
                Some(listener) => listener,
                None => http_client::probe_listener(upstream.address, PROBE_TIMEOUT).await,
            };
            info!(
                request = &*request, fingerprint:% = format!("{fingerprint:016x}"), method:% = method, target = target,
                upstream = &*upstream.id, born = upstream.born.unwrap_or_default(), build:% = upstream.build(), listener:? = listener,
                started = ran.is_some(), ran_ms = ran.unwrap_or_default().as_millis() as u64, parts = logged.join(" ");
                "routing: connection broke under a request"
            );
            // A connection can also break without a crash, and a silent host may only be unreachable.
            if listener == ListenerState::Closed {
                let is_proven = ran.is_some_and(|ran| ran >= PROVEN_AFTER);
                let suspected = if is_proven { &[] } else { &*parts };
                entry.record_crash(fingerprint, suspected, &upstream);
            }
        })
    }

    /// Waits for a crash check, so that the next attempt is decided with its result.
    pub async fn finish_check(&self, check: Option<CrashCheck>) {
        if let Some(check) = check
            && let Err(e) = check.await
        {
            warn!(request = &*self.head.id, error:% = e; "routing: the check for a crash failed");
        }
    }

    /// Records a failure in the upstream's outlier statistics and closes its idle connections.
    pub fn record_failure(&self, upstream: &Registration, problem: &str) {
        let now = BootInstant::now();
        let ejection = lock(&self.entry.outliers).record_failure(&upstream.id, now);
        info!(
            request = &*self.head.id, upstream = &*upstream.id, problem = problem, pause_ms = ejection.as_millis() as u64;
            "routing: the upstream failed"
        );
        self.entry.pool.close_idle(&upstream.id);
    }
}

/// Returns whether a response is that to the request, so that anything else it says may be believed.
///
/// A refusal may lack an identifier. On a connection that carried an earlier request it could be a response to that one, and
/// whether another entry's connection did is not known.
fn belongs_to_request(head: &ResponseHead, connection: Option<&Connection>) -> bool {
    match head.request {
        NamedRequest::This => true,
        NamedRequest::Other => false,
        NamedRequest::Unnamed => {
            head.run != RunState::Run && connection.is_some_and(|c| !c.is_reused())
        }
    }
}

/// Returns the engine priority of requests with `priority`.
fn engine_priority(priority: u8) -> u8 {
    HIGHEST_PRIORITY
        .saturating_add(priority)
        .min(LOWEST_PRIORITY)
}

/// Removes hop-by-hop headers, including those that `Connection` names.
fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    for name in EXTRA_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
