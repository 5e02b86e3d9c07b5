//! Sends a request to one upstream and reads the head of its answer.

use crate::{
    clock::BootInstant,
    edge::{
        codec::{ForwardParams, RunState},
        deployment::Route,
        registration::Registration,
    },
    entry::{controller::Command, peer_link, usage::UsageGuard},
    holding::lock,
    path::{
        job::{Job, Placement},
        pool::{self, Connection, SendError},
    },
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;
use std::{sync::Arc, time::Duration};

/// Urgency at the engine of routes with the highest rank; one step less for each rank below.
const FIRST_URGENCY: u8 = 3;

/// Least urgent.
const LAST_URGENCY: u8 = 9;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Further such headers, which the library has no names for.
const OTHER_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// How one try ended.
#[derive(Debug)]
pub enum Attempt {
    /// An answer began.
    Answered(Box<Answered>),
    /// It was not run.
    NotRun,
    /// It may have run.
    Uncertain,
    /// Time ran out.
    Timeout,
}

/// A request on its way.
#[derive(Debug)]
pub struct Sent {
    /// When it was sent.
    pub at: BootInstant,
    /// Time in which the first part of the answer was expected.
    pub expected: Duration,
    /// Counts the request while it runs.
    _usage: UsageGuard,
}

/// The upstream that answers, and the connection on which the body comes.
#[derive(Debug)]
pub struct Source {
    /// The upstream.
    pub upstream: Arc<Registration>,
    /// The connection.
    pub connection: Connection,
    /// How long the connection may be kept afterwards.
    pub keep: Option<Duration>,
    /// The request.
    pub sent: Sent,
}

/// An answer whose body is still to come.
#[derive(Debug)]
pub struct Answered {
    /// Head and body; headers of the upstream's connection are removed.
    pub response: Response<Incoming>,
    /// Where it comes from.
    pub source: Source,
}

impl Job {
    /// Sends the request to `placement`, after `last_event` where a stream goes on; the first part of its answer is
    /// `expected` after that time.
    pub async fn attempt(
        &self,
        placement: &Placement,
        last_event: Option<u64>,
        expected: Duration,
    ) -> Attempt {
        let upstream = &placement.upstream;
        let usage = self.entry.usage.begin(&upstream.id, self.adapter());
        if let Some(key) = self.adapter() {
            // Other holders learn of it by updates.
            let asked = Command::Requested(key.clone(), 1);
            self.entry.send_to_controller(&upstream.id, asked);
        }
        let left = self.left();
        let Some(request) = self.request(placement, last_event, left) else {
            return Attempt::NotRun;
        };
        let sent = Sent {
            at: BootInstant::now(),
            expected,
            _usage: usage,
        };
        let answer = self.entry.pool.send(upstream, request);
        let answer = match tokio::time::timeout(left, answer).await {
            Ok(answer) => answer,
            Err(_elapsed) => return Attempt::Timeout,
        };
        match answer {
            Ok((response, connection)) => self.judge(placement, response, connection, sent),
            Err(SendError::NotSent) => {
                self.failed(upstream, "no connection");
                Attempt::NotRun
            }
            Err(SendError::Broken) => {
                self.failed(upstream, "connection broke");
                Attempt::Uncertain
            }
        }
    }

    fn request(
        &self,
        placement: &Placement,
        last_event: Option<u64>,
        left: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let mut headers = self.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::EXPECT);
        headers.remove(header::CONTENT_LENGTH);
        let forwarding = ForwardParams {
            remaining: left,
            process: &placement.upstream.id,
            version: placement.version,
            priority: self.call.work.as_ref().map(|_| urgency(&self.route)),
            last_event,
        };
        self.entry
            .codec
            .set_upstream_headers(&mut headers, &forwarding);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Decides from its head what an answer is worth.
    fn judge(
        &self,
        placement: &Placement,
        mut response: Response<Incoming>,
        connection: Connection,
        sent: Sent,
    ) -> Attempt {
        let upstream = &placement.upstream;
        let status = response.status();
        let codec = &self.entry.codec;
        let head = codec.response_head(&self.call.id, status, response.headers());
        if head.run != RunState::Run {
            let misdirected = head.run == RunState::Misdirected;
            info!(
                request = &*self.call.id, upstream = &*upstream.id, status = status.as_u16(), misdirected = misdirected;
                "routing: not run by the upstream"
            );
            if misdirected {
                self.misdirected(placement);
            }
            return Attempt::NotRun;
        }
        if !head.id_matches {
            let reused = connection.is_reused();
            info!(request = &*self.call.id, upstream = &*upstream.id, reused = reused; "routing: an answer to another request");
            return Attempt::Uncertain;
        }
        lock(&self.entry.outliers).record_success(&upstream.id);
        let keep = pool::keep_time(response.headers());
        strip_hop_headers(response.headers_mut());
        Attempt::Answered(Box::new(Answered {
            response,
            source: Source {
                upstream: Arc::clone(upstream),
                connection,
                keep,
                sent,
            },
        }))
    }

    /// The upstream lacks the adapter, or another process has its address.
    fn misdirected(&self, placement: &Placement) {
        let upstream = &placement.upstream;
        match (self.adapter(), placement.version) {
            (Some(key), Some(version)) => {
                peer_link::report_missing_adapter(&self.entry, &upstream.id, key, version);
            }
            _ => self.failed(upstream, "another process has the address"),
        }
    }

    /// Notes a failure that speaks against the upstream.
    pub fn failed(&self, upstream: &Registration, problem: &str) {
        let now = BootInstant::now();
        let pause = lock(&self.entry.outliers).record_failure(&upstream.id, now);
        info!(
            request = &*self.call.id, upstream = &*upstream.id, problem = problem, pause_ms = pause.as_millis() as u64;
            "routing: the upstream failed"
        );
        self.entry.pool.forget(&upstream.id);
    }
}

/// Urgency of a route's requests at the engine.
fn urgency(route: &Route) -> u8 {
    FIRST_URGENCY
        .saturating_add(route.priority)
        .min(LAST_URGENCY)
}

/// Removes headers that concern one connection, those that `Connection` names included.
fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    for name in OTHER_HOP_HEADERS {
        headers.remove(name);
    }
}
