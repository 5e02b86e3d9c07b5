//! Passes attempts on to upstreams for entries that don't reach them.
//!
//! The entry that has the caller's request decides everything: the upstream, retries, resumes, limits and what an end means.
//! The one that passes it on only sends it and returns what comes back; it asks no further entry.

use crate::{
    byte_budget::ByteAccount,
    clock::BootInstant,
    decide::paths::Path,
    edge::{
        codec::{NamedRequest, RunState},
        registration::Registration,
    },
    entry::context::Entry,
    holding::lock,
    http_client::{self, ListenerState, PROBE_TIMEOUT},
    link::{IncomingStream, LinkError, Receiver, Sender},
    path::{
        attempt::Framing,
        pool::{self, SendError},
        transport::{BrokenBody, Exchange, UpstreamBody},
    },
};
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use log::{debug, info};
use serde::{Deserialize, Serialize};
use std::{borrow::Cow, net::SocketAddr, sync::Arc, time::Duration};

/// Path of requests to pass on an attempt.
pub const DETOUR_PATH: &str = "/detour";

/// Largest number of attempts that an entry passes on at once.
const MAX_DETOURS: usize = 512;

/// An attempt to be passed on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct DetourRequest<'a> {
    /// Request identifier, for logs.
    id: Arc<str>,
    /// Upstream that must run it.
    upstream: Arc<str>,
    method: String,
    /// Path and query.
    target: String,
    headers: Headers,
    body: Cow<'a, [u8]>,
    /// Time until the deadline, in milliseconds.
    left_ms: u64,
}

/// Names and values of headers.
type Headers = Vec<(String, Vec<u8>)>;

/// Part of the response to a [`DetourRequest`]: a head, data and an end, or one of the failures.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum DetourPart {
    /// Head of the upstream's response.
    Head {
        status: u16,
        headers: Headers,
        framing: Framing,
    },
    /// Bytes of its body.
    Data(Vec<u8>),
    /// Regular end of its body.
    End,
    /// The upstream was not reached, so that it got nothing.
    NotSent,
    /// The connection broke after the request was sent; whether something listens at the upstream's address.
    Broken(ListenerState),
}

fn encode_headers(headers: &HeaderMap) -> Headers {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

fn decode_headers(headers: &Headers) -> HeaderMap {
    let pairs = headers.iter().filter_map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    });
    pairs.collect()
}

/// Sends an attempt through the entry at `address`.
///
/// # Errors
/// See [`SendError`].
pub async fn send_through(
    entry: &Entry,
    address: SocketAddr,
    upstream: &Registration,
    request: &Request<Bytes>,
    id: &Arc<str>,
    left: Duration,
) -> Result<Exchange, SendError> {
    let message = DetourRequest {
        id: Arc::clone(id),
        upstream: Arc::clone(&upstream.id),
        method: request.method().to_string(),
        target: request.uri().to_string(),
        headers: encode_headers(request.headers()),
        body: Cow::Borrowed(request.body()),
        left_ms: left.as_millis() as u64,
    };
    // The encoded message is another copy of the body.
    let mut account = entry.upload_bytes.account();
    if !account.grow(message.body.len()) {
        info!(request = &**id, bytes = message.body.len(); "routing: no memory to pass a request on through another entry");
        return Err(SendError::NotSent);
    }
    let link = entry.relay_link(address);
    let opened = link.open(DETOUR_PATH, &message).await;
    drop(account);
    let mut receiver = match opened {
        Ok(receiver) => receiver,
        // A request that is too large for a message was not sent either.
        Err(e @ (LinkError::NotSent | LinkError::Malformed)) => {
            debug!("a request was not passed on through {address}: {e}");
            return Err(SendError::NotSent);
        }
        Err(e @ LinkError::Broken) => {
            debug!("passing a request on through {address} failed: {e}");
            return Err(SendError::Broken(Some(ListenerState::Silent)));
        }
    };
    match receiver.next::<DetourPart>().await {
        Ok(Some(DetourPart::Head {
            status,
            headers,
            framing,
        })) => {
            let mut response = Response::new(body_of(receiver));
            *response.status_mut() =
                StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = decode_headers(&headers);
            Ok(Exchange {
                response,
                framing,
                connection: None,
            })
        }
        Ok(Some(DetourPart::NotSent)) => Err(SendError::NotSent),
        Ok(Some(DetourPart::Broken(listener))) => Err(SendError::Broken(Some(listener))),
        Ok(_) | Err(_) => Err(SendError::Broken(Some(ListenerState::Silent))),
    }
}

/// Returns the body whose parts `receiver` gets.
fn body_of(receiver: Receiver) -> UpstreamBody {
    let frames = stream::unfold(Some(receiver), async |state| {
        let mut receiver = state?;
        match receiver.next::<DetourPart>().await {
            Ok(Some(DetourPart::Data(data))) => {
                Some((Ok(Frame::data(Bytes::from(data))), Some(receiver)))
            }
            Ok(Some(DetourPart::End)) => None,
            Ok(Some(DetourPart::Broken(listener))) => Some((Err(BrokenBody(Some(listener))), None)),
            // The entry that passes it on ended; that says nothing about the upstream.
            Ok(_) | Err(_) => Some((Err(BrokenBody(Some(ListenerState::Silent))), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Serves one attempt of an entry that doesn't reach the upstream.
///
/// # Errors
/// The stream to that entry broke, also if its caller has left.
pub async fn serve(entry: &Arc<Entry>, incoming: IncomingStream) -> Result<(), LinkError> {
    if entry.is_leaving() || entry.detours.len() >= MAX_DETOURS {
        incoming.refuse();
        return Ok(());
    }
    let _served = entry.detours.token();
    let (mut sender, mut receiver) = incoming.accept()?;
    let mut account = entry.upload_bytes.account();
    let received = receiver.only_within::<DetourRequest<'_>>(&mut account);
    let Some(request) = received.await? else {
        info!("routing: no memory to pass an attempt on for another entry");
        sender.send(&DetourPart::NotSent).await?;
        sender.finish();
        return Ok(());
    };
    // Its buffer holds the message as it was received.
    drop(receiver);
    account.resize(request.body.len());
    if entry.is_leaving() {
        sender.send(&DetourPart::NotSent).await?;
        return Ok(());
    }
    let left = Duration::from_millis(request.left_ms);
    let passed = pass_on(entry, &mut sender, request, account);
    let ended = tokio::time::timeout(left, passed).await;
    match ended {
        Ok(sent) => sent?,
        // The entry that has the request ends it at the same time.
        Err(_elapsed) => return Ok(()),
    }
    sender.finish();
    Ok(())
}

async fn pass_on(
    entry: &Arc<Entry>,
    sender: &mut Sender,
    request: DetourRequest<'_>,
    account: ByteAccount,
) -> Result<(), LinkError> {
    let upstream = lock(&entry.registry).get(&request.upstream).cloned();
    let path = lock(&entry.paths).path(&request.upstream, BootInstant::now());
    let id = Arc::clone(&request.id);
    let Some((upstream, forwarded)) = upstream
        .filter(|u| path == Path::Direct && u.is_serving() && !entry.is_held_off(u))
        .and_then(|u| Some((u, forwarded_request(request)?)))
    else {
        sender.send(&DetourPart::NotSent).await?;
        return Ok(());
    };
    let sent = tokio::select! {
        sent = entry.send_directly(&upstream, forwarded) => sent,
        () = sender.cancelled() => return Err(LinkError::Broken),
    };
    // The upstream has read the body.
    drop(account);
    info!(request = &*id, upstream = &*upstream.id, sent = sent.is_ok(); "routing: attempt passed on for another entry");
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(SendError::NotSent) => {
            sender.send(&DetourPart::NotSent).await?;
            return Ok(());
        }
        Err(SendError::Broken(_)) => return send_broken(sender, &upstream).await,
    };
    relay_parts(entry, sender, &upstream, &id, exchange).await
}

fn forwarded_request(request: DetourRequest<'_>) -> Option<Request<Full<Bytes>>> {
    let mut forwarded = Request::new(Full::new(Bytes::from(request.body.into_owned())));
    *forwarded.method_mut() = Method::from_bytes(request.method.as_bytes()).ok()?;
    *forwarded.uri_mut() = request.target.parse().ok()?;
    *forwarded.headers_mut() = decode_headers(&request.headers);
    Some(forwarded)
}

async fn send_broken(sender: &mut Sender, upstream: &Registration) -> Result<(), LinkError> {
    let listener = http_client::probe_listener(upstream.address, PROBE_TIMEOUT).await;
    sender.send(&DetourPart::Broken(listener)).await?;
    Ok(())
}

/// Sends an upstream's response, and keeps its connection if the response was read to its end.
async fn relay_parts(
    entry: &Entry,
    sender: &mut Sender,
    upstream: &Registration,
    id: &str,
    exchange: Exchange,
) -> Result<(), LinkError> {
    let (head, mut body) = exchange.response.into_parts();
    let keep_alive = pool::keep_alive_time(&head.headers);
    let read = entry.codec.response_head(id, head.status, &head.headers);
    if read.request == NamedRequest::This && read.run != RunState::Misdirected {
        if read.leaving {
            entry.record_leaving(upstream, id);
        }
        if let Some(pause) = read.retry_after {
            entry.record_hold_off(upstream, pause, id);
        }
    }
    let part = DetourPart::Head {
        status: head.status.as_u16(),
        headers: encode_headers(&head.headers),
        framing: exchange.framing,
    };
    sender.send(&part).await?;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.cancelled() => return Err(LinkError::Broken),
        };
        match frame {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    sender.send(&DetourPart::Data(data.to_vec())).await?;
                }
            }
            Some(Err(_)) => return send_broken(sender, upstream).await,
            None => break,
        }
    }
    if read.request == NamedRequest::This
        && read.run == RunState::Run
        && let Some(connection) = exchange.connection
    {
        entry.pool.release(connection, keep_alive);
    }
    sender.send(&DetourPart::End).await?;
    Ok(())
}
