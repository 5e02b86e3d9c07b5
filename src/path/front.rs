//! Callers' requests: finds the route, reads the body, and tries upstreams until one answers.

use crate::{
    clock::BootInstant,
    decide::routes,
    edge::deployment::Limits,
    entry::context::Entry,
    holding::lock,
    http_server::{self, BodyError},
    ident::{UpstreamId, pair_hash},
    metrics,
    path::{
        attempt::Attempt,
        job::Job,
        refusal::{self, Reason},
        relay,
    },
};
use futures_util::FutureExt;
use gotham::{
    anyhow,
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, HeaderValue, Method, Response, Uri, header};
use log::info;
use std::{
    panic::{RefUnwindSafe, UnwindSafe},
    pin::Pin,
    sync::Arc,
    time::Duration,
};

/// Upstreams beside the route's bound that may refuse a request before it is given up.
const MAX_REFUSALS: u32 = 2;

/// Handles callers' requests, whatever their method and path.
#[derive(Clone, Debug)]
pub struct ProxyHandler(pub Arc<Entry>);

impl RefUnwindSafe for ProxyHandler {}
impl UnwindSafe for ProxyHandler {}

impl NewHandler for ProxyHandler {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for ProxyHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let response = answer(self.0, &mut state).await;
            Ok((state, response))
        }
        .boxed()
    }
}

/// Answers one request of a caller.
async fn answer(entry: Arc<Entry>, state: &mut State) -> Response<Body> {
    let leaving = entry.is_leaving();
    let mut response = match admit(&entry, state).await {
        Ok(job) => serve(job).await,
        Err((id, reason)) => refuse(&id, "unknown", reason),
    };
    if leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn refuse(id: &str, kind: &'static str, reason: Reason) -> Response<Body> {
    metrics::request(kind, reason.as_str());
    info!(request = id, reason = reason.as_str(); "admission: answered by the entry");
    refusal::answer(reason)
}

/// Reads a request and finds its route.
async fn admit(entry: &Arc<Entry>, state: &mut State) -> Result<Job, (Arc<str>, Reason)> {
    let arrived = BootInstant::now();
    let headers = HeaderMap::take_from(state);
    let method = Method::take_from(state);
    let uri = Uri::take_from(state);
    let call = entry.codec.request_head(&headers);
    let refused = |reason| (Arc::clone(&call.id), reason);
    let table = entry.routes.load_full();
    if table.deployment.revision == 0 {
        return Err(refused(Reason::Starting));
    }
    let limits = table.deployment.limits;
    if head_bytes(&headers, &uri) > limits.head_bytes {
        return Err(refused(Reason::LargeHead));
    }
    let host = headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or(uri.host()).unwrap_or_default();
    let route = table
        .find(host, uri.path())
        .ok_or_else(|| refused(Reason::NoRoute))?;
    let draw = pair_hash(&call.id, &route.name);
    let service = routes::pick_service(route, draw).ok_or_else(|| refused(Reason::NoUpstream))?;
    let patience = call.timeout.unwrap_or(route.timeout);
    let deadline = arrived + patience.min(route.timeout);
    let body = read_body(state, &headers, limits, deadline)
        .await
        .map_err(refused)?;
    let target = uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    Ok(Job {
        entry: Arc::clone(entry),
        route: route.clone(),
        service: Arc::clone(service),
        method,
        target,
        headers,
        body,
        arrived,
        deadline,
        call,
    })
}

/// Size of a request's head as sent, nearly.
fn head_bytes(headers: &HeaderMap, uri: &Uri) -> usize {
    let fields = headers.iter().map(|(k, v)| k.as_str().len() + v.len() + 4);
    fields.sum::<usize>() + uri.path().len() + uri.query().map_or(0, str::len)
}

async fn read_body(
    state: &mut State,
    headers: &HeaderMap,
    limits: Limits,
    deadline: BootInstant,
) -> Result<bytes::Bytes, Reason> {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|n| n > limits.body_bytes) {
        return Err(Reason::LargeBody);
    }
    let left = deadline.since(BootInstant::now());
    let read = http_server::read_body(state, limits.body_bytes);
    match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Reason::LargeBody),
        Ok(Err(BodyError::Broken)) => Err(Reason::BrokenBody),
        Err(_elapsed) => Err(Reason::SlowBody),
    }
}

/// Tries upstreams until one answers or none may be tried any more.
async fn serve(job: Job) -> Response<Body> {
    lock(&job.entry.retry_budget).record_request(&job.service, BootInstant::now());
    let mut excluded: Vec<UpstreamId> = Vec::new();
    let mut tries = 0;
    let mut uncertain = false;
    let reason = loop {
        let (placement, read) = match job.place_ready(&excluded).await {
            Ok(ready) => ready,
            Err(reason) => break reason,
        };
        if tries > 0 && !job.take_repeat() {
            break Reason::Refused;
        }
        tries += 1;
        match job.attempt(&placement, job.call.last_event, read).await {
            Attempt::Answered(answered) => {
                let failed = answered.response.status().is_server_error();
                let again = job.route.kind.is_repeatable() && tries < job.route.attempts;
                if !(failed && again && job.has_repeat()) {
                    return relay::relay(job, *answered, tries);
                }
                info!(request = &*job.call.id, status = answered.response.status().as_u16(); "routing: a failure is repeated elsewhere");
            }
            Attempt::NotRun if tries < job.route.attempts + MAX_REFUSALS => {}
            Attempt::NotRun => break Reason::Refused,
            Attempt::Uncertain => {
                uncertain = true;
                if !job.route.kind.is_repeatable() || tries >= job.route.attempts {
                    break Reason::Lost;
                }
            }
            Attempt::Timeout => {
                uncertain = true;
                break Reason::Timeout;
            }
        }
        excluded.push(Arc::clone(&placement.upstream.id));
    };
    refuse(
        &job.call.id,
        job.route.kind.as_str(),
        without_false_refusal(reason, uncertain, job.left()),
    )
}

/// A refusal says that the request was not run; after an uncertain try it may have been.
fn without_false_refusal(reason: Reason, uncertain: bool, left: Duration) -> Reason {
    match reason {
        Reason::Timeout | Reason::Lost => reason,
        _ if !uncertain => reason,
        _ if left.is_zero() => Reason::Timeout,
        _ => Reason::Lost,
    }
}
