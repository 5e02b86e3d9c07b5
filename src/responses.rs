//! Writes responses to callers, complete or streamed, each with its outcome.

use crate::{
    admission::{AdmittedRequest, Rejection, ResponseFormat},
    claims::{ClaimRefusal, ClaimState, OwnedClaim, StoredResponse},
    gateway::{Context, OpenRequestGuard},
    http_server, metrics,
    openai::{self, ResponseMetadata},
    routing::{self, ResponseEvent, ResponseHead},
    sse,
    wire::{Failure, Refusal},
};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use gotham::helpers::http::Body;
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde_json::{Value, json};
use std::{convert::Infallible, sync::Arc};
use tokio::sync::mpsc;

/// Header with the outcome.
pub const OUTCOME_HEADER: &str = "carobfield-outcome";

/// Header with the upstream that ran the request.
const UPSTREAM_HEADER: &str = "carobfield-upstream";

/// Header with the model that produced the text.
const MODEL_HEADER: &str = "carobfield-model";

/// Header with the milliseconds spent waiting for adapter loads.
const STALL_HEADER: &str = "carobfield-stall-ms";

/// Header with the catalogue revision in force.
const REVISION_HEADER: &str = "carobfield-revision";

/// Header with the request's identifier, as used in the logs.
const REQUEST_ID_HEADER: &str = "carobfield-request-id";

/// Header that marks the replay of an earlier response to the same idempotency key.
const REPLAYED_HEADER: &str = "carobfield-replayed";

/// Capacity of a request's event channel.
const EVENT_BUFFER: usize = 64;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Run, with a complete response.
    Complete,
    /// Certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Sets the outcome header.
pub fn set_outcome(response: &mut Response<Body>, outcome: Outcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, value);
}

/// Sets the header with the catalogue revision in force.
pub fn set_revision(response: &mut Response<Body>, revision: u64) {
    response
        .headers_mut()
        .insert(REVISION_HEADER, HeaderValue::from(revision));
}

fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn error(status: StatusCode, code: &str, message: &str, outcome: Outcome) -> Response<Body> {
    let kind = if status.is_client_error() {
        "invalid_request_error"
    } else {
        "server_error"
    };
    let mut response = http_server::json_response(status, &openai::error_body(kind, code, message));
    set_outcome(&mut response, outcome);
    metrics::outcome(outcome.as_str());
    response
}

/// Builds the response to a request that was rejected at admission.
pub fn reject(rejection: &Rejection) -> Response<Body> {
    metrics::refusal(rejection.code);
    let Rejection {
        status,
        code,
        message,
        retry_after,
    } = rejection;
    let mut response = error(*status, code, message, Outcome::NotRun);
    if let Some(seconds) = retry_after {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(*seconds));
    }
    response
}

fn refusal_response(reason: Refusal, retry_ms: u64, stall_ms: u64) -> Response<Body> {
    metrics::refusal(reason.as_str());
    let status = match reason {
        Refusal::Overload | Refusal::Limit => StatusCode::TOO_MANY_REQUESTS,
        Refusal::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Refusal::Poison => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = error(
        status,
        reason.as_str(),
        "the request was not run",
        Outcome::NotRun,
    );
    if reason != Refusal::Poison {
        let seconds = retry_ms.div_ceil(1_000).max(1);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
        .headers_mut()
        .insert(STALL_HEADER, HeaderValue::from(stall_ms));
    response
}

fn failure_response(reason: Failure, stall_ms: u64) -> Response<Body> {
    let status = match reason {
        Failure::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let message = "the request may have been run";
    let mut response = error(status, reason.as_str(), message, Outcome::Unknown);
    response
        .headers_mut()
        .insert(STALL_HEADER, HeaderValue::from(stall_ms));
    response
}

/// Claims the request if it may not be repeated, runs it, and writes the response.
pub async fn respond(
    context: Arc<Context>,
    admitted: AdmittedRequest,
    open: OpenRequestGuard,
) -> Response<Body> {
    let revision = admitted.job.revision;
    let claimed = match claim(&context, &admitted).await {
        Ok(claimed) => claimed,
        Err(refusal) => {
            let mut response = refused_claim_response(refusal, &admitted.format);
            set_revision(&mut response, revision);
            return response;
        }
    };
    let (events, mut incoming) = mpsc::channel(EVENT_BUFFER);
    let format = admitted.format.clone();
    let id = admitted.job.id.to_string();
    let streams = admitted.job.stream;
    tokio::spawn(run(context, admitted, claimed, events, open));
    let mut response = match incoming.recv().await {
        Some(ResponseEvent::Head(head)) if streams => streamed_response(&head, &format, incoming),
        Some(ResponseEvent::Head(head)) => complete_response(head, &format, incoming).await,
        Some(ResponseEvent::Refused {
            reason,
            retry_ms,
            stall_ms,
        }) => refusal_response(reason, retry_ms, stall_ms),
        Some(ResponseEvent::Failed { reason, stall_ms }) => failure_response(reason, stall_ms),
        Some(ResponseEvent::Chunk(_) | ResponseEvent::End { .. }) | None => {
            failure_response(Failure::LinkLost, 0)
        }
    };
    set_revision(&mut response, revision);
    set_header(&mut response, REQUEST_ID_HEADER, &id);
    response
}

async fn claim(
    context: &Context,
    admitted: &AdmittedRequest,
) -> Result<Option<OwnedClaim>, ClaimRefusal> {
    let Some(key) = &admitted.key else {
        return Ok(None);
    };
    let job = &admitted.job;
    let owned = context
        .claims
        .acquire(&admitted.caller, key, job.id, job.fingerprint)
        .await?;
    Ok(Some(owned))
}

/// Routes the request; for a claimed one, stores the outcome before forwarding the last event.
async fn run(
    context: Arc<Context>,
    admitted: AdmittedRequest,
    claimed: Option<OwnedClaim>,
    events: mpsc::Sender<ResponseEvent>,
    _open: OpenRequestGuard,
) {
    let Some(owned) = claimed else {
        return routing::route(&context, &admitted.job, &events).await;
    };
    let (inner, mut routed) = mpsc::channel(EVENT_BUFFER);
    let (router, job) = (Arc::clone(&context), admitted.job.clone());
    let task = tokio::spawn(async move { routing::route(&router, &job, &inner).await });
    let mut stored = StoredResponse {
        status: 200,
        ..StoredResponse::default()
    };
    stored.model = admitted.job.model.as_ref().map(ToString::to_string);
    let mut data = BytesMut::new();
    let mut state = ClaimState::Unknown;
    let mut last = None;
    // Continues after the caller disconnects, so that the outcome is recorded.
    while let Some(event) = routed.recv().await {
        match &event {
            ResponseEvent::Head(head) => {
                stored.status = head.status;
                stored.content.clone_from(&head.content);
            }
            ResponseEvent::Chunk(chunk) => data.extend_from_slice(chunk),
            ResponseEvent::End { finish, tokens } => {
                stored.finish.clone_from(finish);
                stored.tokens = *tokens;
                state = ClaimState::Done(stored.clone().with_body(&data));
                last = Some(event);
                break;
            }
            ResponseEvent::Refused { .. } => {
                state = ClaimState::NotRun;
                last = Some(event);
                break;
            }
            ResponseEvent::Failed { .. } => {
                last = Some(event);
                break;
            }
        }
        let _caller_gone = events.send(event).await;
    }
    context.claims.finish(owned, state).await;
    if let Some(event) = last {
        let _caller_gone = events.send(event).await;
    }
    let _ended = task.await;
}

fn refused_claim_response(refusal: ClaimRefusal, format: &ResponseFormat) -> Response<Body> {
    match refusal {
        ClaimRefusal::Unavailable => refusal_response(Refusal::NoClaim, 1_000, 0),
        ClaimRefusal::Mismatch => error(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            "the key was used for another request",
            Outcome::NotRun,
        ),
        ClaimRefusal::Running => {
            let message = "a request with this key is running, or its outcome is not known";
            let mut response = error(
                StatusCode::CONFLICT,
                "in_progress",
                message,
                Outcome::Unknown,
            );
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(1));
            response
        }
        ClaimRefusal::Unknown => error(
            StatusCode::BAD_GATEWAY,
            "unknown",
            "a request with this key may have been run",
            Outcome::Unknown,
        ),
        ClaimRefusal::Done(stored) => replay(&stored, format),
    }
}

/// Returns the stored response, or its digest where it was too large to store.
fn replay(stored: &StoredResponse, format: &ResponseFormat) -> Response<Body> {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let mut response = match (&stored.text, format) {
        (Some(text), ResponseFormat::Text(metadata)) => http_server::json_response(
            status,
            &metadata.full_response(text, &stored.finish, stored.tokens),
        ),
        (Some(text), ResponseFormat::Service) => {
            let mut response = http_server::response(status, "", text.clone());
            set_header(&mut response, "content-type", &stored.content);
            response
        }
        (None, _) => {
            let digest = json!({ "length": stored.length, "sha256": stored.digest });
            http_server::json_response(status, &digest)
        }
    };
    set_header(&mut response, REPLAYED_HEADER, "true");
    set_complete_headers(&mut response, format);
    response
}

fn set_complete_headers(response: &mut Response<Body>, format: &ResponseFormat) {
    set_outcome(response, Outcome::Complete);
    metrics::outcome(Outcome::Complete.as_str());
    if let ResponseFormat::Text(metadata) = format {
        set_header(response, MODEL_HEADER, &metadata.model);
    }
}

async fn complete_response(
    head: ResponseHead,
    format: &ResponseFormat,
    mut incoming: mpsc::Receiver<ResponseEvent>,
) -> Response<Body> {
    let mut data = BytesMut::new();
    let (finish, tokens) = loop {
        match incoming.recv().await {
            Some(ResponseEvent::Chunk(chunk)) => data.extend_from_slice(&chunk),
            Some(ResponseEvent::End { finish, tokens }) => break (finish, tokens),
            Some(ResponseEvent::Failed { reason, stall_ms }) => {
                return failure_response(reason, stall_ms);
            }
            Some(ResponseEvent::Refused { .. } | ResponseEvent::Head(_)) | None => {
                return failure_response(Failure::LinkLost, head.stall_ms);
            }
        }
    };
    let mut response = match format {
        ResponseFormat::Text(metadata) => {
            let text = String::from_utf8_lossy(&data);
            http_server::json_response(
                StatusCode::OK,
                &metadata.full_response(&text, &finish, tokens),
            )
        }
        ResponseFormat::Service => {
            let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::OK);
            let mut response = http_server::response(status, "", data.freeze());
            set_header(&mut response, "content-type", &head.content);
            response
        }
    };
    set_header(&mut response, UPSTREAM_HEADER, &head.upstream);
    response
        .headers_mut()
        .insert(STALL_HEADER, HeaderValue::from(head.stall_ms));
    set_complete_headers(&mut response, format);
    response
}

/// State of a streamed response.
struct ResponseStream {
    incoming: mpsc::Receiver<ResponseEvent>,
    metadata: ResponseMetadata,
    text: Utf8ChunkDecoder,
    ended: bool,
}

fn streamed_response(
    head: &ResponseHead,
    format: &ResponseFormat,
    incoming: mpsc::Receiver<ResponseEvent>,
) -> Response<Body> {
    let ResponseFormat::Text(metadata) = format else {
        return failure_response(Failure::Upstream, head.stall_ms);
    };
    let state = ResponseStream {
        incoming,
        metadata: metadata.clone(),
        text: Utf8ChunkDecoder::default(),
        ended: false,
    };
    let chunks = stream::unfold(state, |mut state| async move {
        if state.ended {
            return None;
        }
        let bytes = state.next_bytes().await;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), state))
    });
    let body = StreamBody::new(chunks.boxed());
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    set_header(&mut response, UPSTREAM_HEADER, &head.upstream);
    set_header(&mut response, MODEL_HEADER, &metadata.model);
    response
        .headers_mut()
        .insert(STALL_HEADER, HeaderValue::from(head.stall_ms));
    response
}

impl ResponseStream {
    /// Returns the next bytes to write; sets `ended` with the last ones.
    async fn next_bytes(&mut self) -> Bytes {
        let event = self.incoming.recv().await;
        self.ended = !matches!(event, Some(ResponseEvent::Chunk(_)));
        let text = match event {
            Some(ResponseEvent::Chunk(data)) => {
                let text = self.text.push(&data);
                sse::format_event(&self.metadata.chunk(&text, None).to_string())
            }
            Some(ResponseEvent::End { finish, .. }) => {
                metrics::outcome(Outcome::Complete.as_str());
                let mut last = self.metadata.chunk("", Some(&finish));
                last["carobfield_outcome"] = Value::from(Outcome::Complete.as_str());
                sse::format_event(&last.to_string()) + &sse::format_event("[DONE]")
            }
            Some(ResponseEvent::Failed { reason, .. }) => truncated_event(reason),
            Some(ResponseEvent::Refused { .. } | ResponseEvent::Head(_)) | None => {
                truncated_event(Failure::LinkLost)
            }
        };
        Bytes::from(text)
    }
}

/// Builds the error event that ends an incomplete stream.
fn truncated_event(reason: Failure) -> String {
    metrics::outcome(Outcome::Unknown.as_str());
    let mut error = openai::error_body("server_error", reason.as_str(), "the answer broke off");
    error["carobfield_outcome"] = Value::from(Outcome::Unknown.as_str());
    sse::format_event(&error.to_string())
}

/// Decoder of UTF-8 chunks that may be split within a character.
#[derive(Debug, Default)]
struct Utf8ChunkDecoder(Vec<u8>);

impl Utf8ChunkDecoder {
    fn push(&mut self, data: &[u8]) -> String {
        self.0.extend_from_slice(data);
        let valid = match std::str::from_utf8(&self.0) {
            Ok(text) => text.len(),
            Err(e) if e.error_len().is_none() => e.valid_up_to(),
            Err(_invalid) => self.0.len(),
        };
        let rest = self.0.split_off(valid);
        let complete = std::mem::replace(&mut self.0, rest);
        String::from_utf8_lossy(&complete).into_owned()
    }
}
