//! Handles callers' requests: finds the route, reads the body, and attempts upstreams until one responds.

use crate::{
    bounded_body::{self, BodyError, BodySize},
    byte_budget::ByteAccount,
    clock::BootInstant,
    decide::{customers::Sender, routes, shutdown::Shutdown},
    edge::{
        codec::{InferenceWork, RequestHead},
        deployment::{Limits, Route},
    },
    entry::context::Entry,
    holding::lock,
    http_server::ConnectionUse,
    ident::{Revision, UpstreamId, pair_hash},
    metrics,
    path::{
        attempt::AttemptOutcome,
        job::ProxyRequest,
        refusal::{self, RefusalReason},
        relay,
    },
    poison,
};
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::{
    anyhow,
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, HeaderValue, Method, Response, Uri, header};
use http_body::Body as _;
use log::info;
use std::{
    panic::{RefUnwindSafe, UnwindSafe},
    pin::Pin,
    sync::Arc,
    time::Duration,
};

/// Attempts allowed beyond the route's limit while upstreams refuse the request without running it.
const MAX_EXTRA_ATTEMPTS: u32 = 2;

/// Gotham handler for callers' requests of any method and path.
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
            let response = handle_request(self.0, &mut state).await;
            Ok((state, response))
        }
        .boxed()
    }
}

/// Handles one request of a caller and returns the response.
async fn handle_request(entry: Arc<Entry>, state: &mut State) -> Response<Body> {
    let has_body = !Body::borrow_from(state).is_end_stream();
    let mut is_body_read = true;
    let mut response = match admit(&entry, state).await {
        Ok(request) => match request.max_wait_before_exit() {
            Ok(_wait) => proxy_request(request).await,
            Err(reason) => request.refuse(reason),
        },
        Err((id, reason)) => {
            is_body_read = !(has_body && reason.leaves_body());
            refuse(&id, "unknown", reason)
        }
    };
    // The server closes a connection on which the rest of a body is to come; the caller must not use it again.
    if entry.is_leaving() || !is_body_read {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn refuse(id: &str, kind: &'static str, reason: RefusalReason) -> Response<Body> {
    metrics::request(kind, reason.as_str());
    info!(request = id, reason = reason.as_str(); "admission: answered by the entry");
    refusal::response(reason)
}

impl ProxyRequest {
    /// Builds the error response, and counts it by the request's priority.
    fn refuse(&self, reason: RefusalReason) -> Response<Body> {
        let priority = self.priority();
        metrics::request(self.route.kind.as_str(), reason.as_str());
        metrics::refused(priority, reason.as_str());
        if let Some(name) = self.customer_name() {
            metrics::customer_request(name, "refused");
        }
        let urgent_target = self.standing.urgent_target.unwrap_or_default();
        info!(
            request = &*self.head.id, reason = reason.as_str(), route = &*self.route.name, priority = priority,
            urgent_target_ms = urgent_target.as_millis() as u64;
            "admission: answered by the entry"
        );
        refusal::response(reason)
    }
}

/// Reads a request, enforces the size limits and finds its route.
async fn admit(
    entry: &Arc<Entry>,
    state: &mut State,
) -> Result<ProxyRequest, (Arc<str>, RefusalReason)> {
    let arrived = BootInstant::now();
    let in_flight = entry.requests.token();
    let connection = *ConnectionUse::borrow_from(state);
    let mut headers = HeaderMap::take_from(state);
    let method = Method::take_from(state);
    let uri = Uri::take_from(state);
    let head = entry.codec.request_head(&headers);
    let refused = |reason| (Arc::clone(&head.id), reason);
    let table = entry.routes.load_full();
    if table.deployment.revision == 0 {
        return Err(refused(RefusalReason::Starting));
    }
    let limits = table.deployment.limits;
    if head_bytes(&headers, &uri) > limits.head_bytes {
        return Err(refused(RefusalReason::LargeHead));
    }
    let host = headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or(uri.host()).unwrap_or_default().to_owned();
    let revision = table.deployment.revision;
    let Some(route) = table.find(&host, uri.path()) else {
        return Err(refused(no_route(entry, &head, revision)));
    };
    let customer = match table.customers.sender(head.key, route.public) {
        Sender::Open | Sender::Anonymous => None,
        Sender::Customer(customer) => Some(customer),
        Sender::Unknown => {
            let body = Body::take_from(state);
            discard_body(
                body,
                head.timeout.unwrap_or(route.timeout).min(route.timeout),
            );
            return Err(refused(unknown_key(entry, &head, revision)));
        }
    };
    let draw = pair_hash(&head.id, &route.name);
    let service =
        routes::pick_service(route, draw).ok_or_else(|| refused(RefusalReason::NoUpstream))?;
    let timeout = head.timeout.unwrap_or(route.timeout);
    let deadline = arrived + timeout.min(route.timeout);
    if let Some(shutdown) = entry.shutdown() {
        log_late_arrival(&head, route, arrived, deadline, connection, shutdown);
    }
    let quota = customer.as_ref().map(|c| entry.take_quota(&c.name, &head));
    let quota = match quota.transpose() {
        Ok(hold) => hold.flatten(),
        Err(wait) => {
            discard_body(Body::take_from(state), deadline.since(arrived));
            return Err(refused(RefusalReason::QuotaExceeded(wait)));
        }
    };
    let (body, account) = tokio::select! {
        body = read_body(entry, state, &headers, limits, deadline) => body.map_err(refused)?,
        () = wait_until_exit(entry) => return Err(refused(RefusalReason::Stopping)),
    };
    if table.customers.needs_keys() {
        entry.codec.remove_identity(&mut headers);
    }
    if let Some(customer) = &customer {
        metrics::customer_request(&customer.name, "admitted");
    }
    let path_and_query = uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let fingerprint = poison::fingerprint(&[
        host.as_bytes(),
        method.as_str().as_bytes(),
        path_and_query.as_bytes(),
        &body,
    ]);
    let priority = route.priority_of(customer.as_deref());
    let standing = table.standings.standing(service, priority);
    let standing = lock(&entry.standing)
        .kept
        .apply(service, priority, standing);
    Ok(ProxyRequest {
        standing,
        entry: Arc::clone(entry),
        route: route.clone(),
        customer,
        quota,
        service: Arc::clone(service),
        method,
        path_and_query,
        headers,
        body,
        account,
        arrived,
        deadline,
        fingerprint,
        build: None,
        in_flight,
        head,
    })
}

/// Returns why a request is refused for which the configuration with `revision` has no route.
fn no_route(entry: &Entry, head: &RequestHead, revision: Revision) -> RefusalReason {
    let view = entry.judge_configuration(revision);
    info!(
        request = &*head.id, revision = revision, certain = view.is_current, newest = view.newest, source:? = view.source,
        contact_age:? = view.contact_age;
        "admission: no route matches"
    );
    if view.is_current {
        RefusalReason::NoRoute
    } else {
        RefusalReason::UncertainRoute
    }
}

/// Returns why a request is refused whose key no customer has in the configuration with `revision`.
fn unknown_key(entry: &Entry, head: &RequestHead, revision: Revision) -> RefusalReason {
    let view = entry.judge_configuration(revision);
    info!(
        request = &*head.id, key = head.key.as_str(), revision = revision, certain = view.is_current, newest = view.newest,
        source:? = view.source, contact_age:? = view.contact_age;
        "admission: no customer has the key"
    );
    if view.is_current {
        RefusalReason::UnknownKey
    } else {
        RefusalReason::UncertainKey
    }
}

/// Reads and discards the rest of a refused request's body in the background, for at most `limit`.
fn discard_body(body: Body, limit: Duration) {
    tokio::spawn(tokio::time::timeout(limit, bounded_body::discard(body)));
}

/// Logs a request that came after the shutdown began, with what tells how its caller came to send it here.
fn log_late_arrival(
    head: &RequestHead,
    route: &Route,
    arrived: BootInstant,
    deadline: BootInstant,
    connection: ConnectionUse,
    shutdown: Shutdown,
) {
    let opened_late = connection.opened.since(shutdown.requested);
    info!(
        request = &*head.id, route = &*route.name, since_stop_ms = shutdown.elapsed(arrived).as_millis() as u64,
        left_ms = shutdown.time_left(arrived).as_millis() as u64, deadline_ms = deadline.since(arrived).as_millis() as u64,
        size = head.work.as_ref().map_or(0, InferenceWork::size), earlier = connection.earlier,
        connection_ms = arrived.since(connection.opened).as_millis() as u64, connected_after_ms = opened_late.as_millis() as u64;
        "admission: request arrived during the shutdown"
    );
}

/// Waits until a shutdown has no time left for requests.
async fn wait_until_exit(entry: &Entry) {
    entry.wait_for_shutdown().await;
    if let Some(shutdown) = entry.shutdown() {
        tokio::time::sleep(shutdown.time_left(BootInstant::now())).await;
    }
}

/// Returns the approximate size of a request's head on the wire, in bytes.
fn head_bytes(headers: &HeaderMap, uri: &Uri) -> usize {
    let fields = headers.iter().map(|(k, v)| k.as_str().len() + v.len() + 4);
    fields.sum::<usize>() + uri.path().len() + uri.query().map_or(0, str::len)
}

/// Reads a body into the memory that all of them may take up together.
async fn read_body(
    entry: &Entry,
    state: &mut State,
    headers: &HeaderMap,
    limits: Limits,
    deadline: BootInstant,
) -> Result<(Bytes, ByteAccount), RefusalReason> {
    let length = headers.get(header::CONTENT_LENGTH);
    let declared = length.and_then(|v| v.to_str().ok()?.parse().ok());
    let size = BodySize {
        declared: declared.unwrap_or_default(),
        limit: limits.body_bytes,
    };
    let left = deadline.since(BootInstant::now());
    let mut account = entry.upload_bytes.account();
    let mut body = Body::take_from(state);
    let read = bounded_body::read(&mut body, size, &mut account);
    match tokio::time::timeout(left, read).await {
        Ok(Ok(data)) => Ok((data, account)),
        Ok(Err(BodyError::NoMemory)) => {
            discard_body(body, left);
            Err(RefusalReason::NoMemory)
        }
        Ok(Err(BodyError::TooLarge)) => Err(RefusalReason::LargeBody),
        Ok(Err(BodyError::Broken)) => Err(RefusalReason::BrokenBody),
        Err(_elapsed) => Err(RefusalReason::SlowBody),
    }
}

/// Attempts upstreams until one responds or no further attempt is allowed.
async fn proxy_request(mut request: ProxyRequest) -> Response<Body> {
    if let Err(reason) = request.find_build().await {
        return request.refuse(reason);
    }
    lock(&request.entry.retry_budget).record_request(&request.service, BootInstant::now());
    if !request.fits_engine() {
        return request.refuse(RefusalReason::LargePrompt);
    }
    let mut excluded: Vec<UpstreamId> = Vec::new();
    let mut attempts = 0;
    let mut may_have_run = false;
    // Whether the last attempt reached an upstream, so that a further one is a retry there.
    let mut has_arrived = false;
    // Response of a failed run, for the caller if no other attempt follows it.
    let mut failed = None;
    let reason = loop {
        let (placement, prefill) = match request
            .select_ready_upstream(&excluded, request.max_wait(may_have_run))
            .await
        {
            Ok(ready) => ready,
            Err(reason) => break reason,
        };
        if has_arrived && !request.take_retry() {
            break RefusalReason::Refused;
        }
        attempts += 1;
        has_arrived = true;
        match request
            .attempt(&placement, request.head.last_event, prefill)
            .await
        {
            AttemptOutcome::Response(received) => {
                let server_error = received.response.status().is_server_error();
                let may_retry =
                    request.route.kind.is_repeatable() && attempts < request.route.attempts;
                if !(server_error && may_retry && request.has_retry()) {
                    return relay::relay(request, *received, attempts);
                }
                info!(request = &*request.head.id, status = received.response.status().as_u16(); "routing: retrying a failed request at another upstream");
                may_have_run = true;
                failed = Some(received);
            }
            outcome @ (AttemptOutcome::NotSent | AttemptOutcome::NotRun)
                if attempts < request.route.attempts + MAX_EXTRA_ATTEMPTS =>
            {
                has_arrived &= !matches!(outcome, AttemptOutcome::NotSent);
            }
            AttemptOutcome::NotSent | AttemptOutcome::NotRun => break RefusalReason::Refused,
            AttemptOutcome::Uncertain(check) => {
                may_have_run = true;
                if !request.route.kind.is_repeatable() || attempts >= request.route.attempts {
                    break RefusalReason::ResponseLost;
                }
                request.finish_check(check).await;
            }
            AttemptOutcome::Timeout => {
                may_have_run = true;
                break RefusalReason::Timeout;
            }
        }
        if may_have_run {
            request.go_first();
        }
        excluded.push(Arc::clone(&placement.upstream.id));
    };
    if let Some(received) = failed.filter(|_| !request.time_left().is_zero()) {
        info!(request = &*request.head.id, reason = reason.as_str(); "routing: no retry, the failed response is forwarded");
        return relay::relay(request, *received, attempts);
    }
    request.refuse(final_reason(reason, may_have_run, request.time_left()))
}

/// Returns the reason given to the caller. A refusal promises that the request was not run, so after an attempt that
/// may have run it becomes a timeout or a lost response.
fn final_reason(reason: RefusalReason, may_have_run: bool, left: Duration) -> RefusalReason {
    match reason {
        RefusalReason::Timeout | RefusalReason::ResponseLost => reason,
        _ if !may_have_run => reason,
        _ if left.is_zero() => RefusalReason::Timeout,
        _ => RefusalReason::ResponseLost,
    }
}
