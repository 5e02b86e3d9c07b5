//! Runs one request at the upstream and forwards its response, complete and in order.

use crate::{
    clock::BootInstant,
    digest::ResponseDigest,
    holding::Holding,
    http_client::CallError,
    ident::{ModelRef, RequestId},
    sse::EventParser,
    wire::{DispatchRequest, DispatchResponse, Failure, Refusal, Work},
};
use bytes::Bytes;
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::{info, warn};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::sync::mpsc;

/// Maximum attempts to resume a broken response.
const MAX_RESUMES: u32 = 8;

/// Maximum events buffered until an earlier chunk of the response has arrived.
const MAX_OUT_OF_ORDER: usize = 64;

/// Maximum time for an upstream to respond after a connection broke before it counts as crashed.
const CRASH_PROBE: Duration = Duration::from_millis(1_500);

/// Interval between probes after a connection broke.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Delay between attempts to cancel a request at the engine.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after which a refused caller should retry when no estimate is available, in milliseconds.
pub const DEFAULT_RETRY_MS: u64 = 1_000;

/// How the run of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The complete response was forwarded.
    Complete,
    /// The upstream refused before running.
    Refused(Refusal),
    /// It failed and may have run, completely or in part.
    Failed(Failure),
    /// The gateway closed the stream.
    Abandoned,
}

/// An engine's streamed event.
#[derive(Debug, Deserialize)]
struct EngineEvent {
    id: String,
    model: String,
    offset: u64,
    choices: Vec<EngineChoice>,
    usage: Option<EngineUsage>,
}

#[derive(Debug, Deserialize)]
struct EngineChoice {
    text: Option<String>,
    delta: Option<EngineDelta>,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct EngineDelta {
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct EngineUsage {
    completion_tokens: u64,
}

impl EngineChoice {
    fn text(&self) -> &str {
        let delta = self.delta.as_ref().and_then(|d| d.content.as_deref());
        self.text.as_deref().or(delta).unwrap_or("")
    }
}

/// One attempt of a request at an upstream.
#[derive(Debug)]
pub struct UpstreamRun<'a> {
    /// Upstream that runs the request.
    pub holding: &'a Arc<Holding>,
    /// Request.
    pub dispatch: &'a DispatchRequest,
    /// Deadline on this VM's clock.
    pub deadline: BootInstant,
    /// Time that the request waited for a load.
    pub stall: Duration,
    /// Channel of messages to the gateway.
    pub messages: &'a mpsc::Sender<DispatchResponse>,
}

/// Progress of a response.
#[derive(Debug, Default)]
struct Progress {
    started: bool,
    offset: u64,
    digest: ResponseDigest,
    tokens: u64,
    /// Events that arrived before an earlier chunk of the response, by their offset.
    out_of_order: BTreeMap<u64, EngineEvent>,
}

impl Progress {
    /// Removes a buffered event that starts at or before the current offset.
    fn pop_ready(&mut self) -> Option<EngineEvent> {
        let first = self.out_of_order.first_entry()?;
        if *first.key() > self.offset {
            return None;
        }
        Some(first.remove())
    }
}

/// Why reading a response ended.
#[derive(Debug)]
enum ReadEnd {
    End(RunEnd),
    Broken,
}

impl UpstreamRun<'_> {
    /// Runs the request and returns how it ended; sends every message except a final refusal or failure.
    pub async fn execute(&self) -> RunEnd {
        let remaining = self.deadline.since(BootInstant::now());
        let work = async {
            match &self.dispatch.work {
                Work::Generate { model, body, chat } => self.generate(model, body, *chat).await,
                Work::Call {
                    method,
                    path,
                    content,
                    body,
                } => self.call_service(method, path, content, body).await,
            }
        };
        tokio::select! {
            end = work => end,
            () = tokio::time::sleep(remaining) => RunEnd::Failed(Failure::Deadline),
            () = self.messages.closed() => RunEnd::Abandoned,
        }
    }

    /// Returns the request identifier that the upstream sees for this attempt.
    pub fn attempt_id(&self) -> String {
        attempt_id(self.dispatch.id, self.dispatch.attempt)
    }

    async fn generate(&self, model: &ModelRef, body: &str, chat: bool) -> RunEnd {
        let Some(body) = engine_body(model, body) else {
            return RunEnd::Refused(Refusal::Upstream);
        };
        let path = if chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let mut progress = Progress::default();
        let mut resumes = 0;
        loop {
            if resumes == 0 && !self.holding.may_send(Some(model)) {
                return RunEnd::Refused(Refusal::NotHolder);
            }
            let resume = (resumes > 0).then_some(progress.offset);
            let opened = self
                .holding
                .client
                .generate(path, &self.attempt_id(), body.clone(), resume)
                .await;
            progress.out_of_order.clear();
            let end = match opened {
                Ok(response) => match response.status().as_u16() {
                    200 => {
                        self.read_events(response.into_body(), model, &mut progress)
                            .await
                    }
                    status if resumes == 0 => return self.end_for_status(status, model),
                    _ => return RunEnd::Failed(Failure::Truncated),
                },
                Err(CallError::NotSent) if resumes == 0 => {
                    return RunEnd::Refused(Refusal::Upstream);
                }
                Err(_broken) => ReadEnd::Broken,
            };
            match end {
                ReadEnd::End(end) => return end,
                ReadEnd::Broken if self.has_crashed().await => {
                    return RunEnd::Failed(Failure::Crashed);
                }
                ReadEnd::Broken if resumes >= MAX_RESUMES => {
                    return RunEnd::Failed(Failure::Truncated);
                }
                ReadEnd::Broken => {
                    resumes += 1;
                    let (id, offset) = (self.dispatch.id, progress.offset);
                    info!(request:% = id, offset = offset; "resuming a broken response");
                }
            }
        }
    }

    fn end_for_status(&self, status: u16, model: &ModelRef) -> RunEnd {
        match status {
            404 => {
                self.holding.adapter_missing(model);
                RunEnd::Refused(Refusal::Upstream)
            }
            400 | 429 | 503 => RunEnd::Refused(Refusal::Upstream),
            _ => RunEnd::Failed(Failure::Upstream),
        }
    }

    async fn read_events(
        &self,
        mut body: Incoming,
        model: &ModelRef,
        progress: &mut Progress,
    ) -> ReadEnd {
        let mut events = EventParser::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return ReadEnd::Broken;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if events.push(&data).is_err() {
                return ReadEnd::End(RunEnd::Failed(Failure::Upstream));
            }
            while let Some(event) = events.next_event() {
                if let Some(end) = self.handle_event(&event, model, progress).await {
                    return end;
                }
            }
        }
        ReadEnd::Broken
    }

    async fn handle_event(
        &self,
        event: &str,
        model: &ModelRef,
        progress: &mut Progress,
    ) -> Option<ReadEnd> {
        let Ok(event) = serde_json::from_str::<EngineEvent>(event) else {
            return Some(ReadEnd::Broken);
        };
        if event.id != self.attempt_id() {
            warn!(request:% = self.dispatch.id, got = event.id; "the engine sent an event of another request");
            return None;
        }
        if event.model != model.to_string() {
            warn!(request:% = self.dispatch.id, asked:% = model, got = event.model; "the engine responded with another model");
            return Some(ReadEnd::End(RunEnd::Failed(Failure::WrongModel)));
        }
        if event.offset > progress.offset {
            if progress.out_of_order.len() >= MAX_OUT_OF_ORDER {
                return Some(ReadEnd::Broken);
            }
            progress.out_of_order.insert(event.offset, event);
            return None;
        }
        let mut next = Some(event);
        while let Some(event) = next {
            if let Some(end) = self.apply_event(&event, model, progress).await {
                return Some(end);
            }
            next = progress.pop_ready();
        }
        None
    }

    /// Forwards the text of an event that lies after the current offset; the event must not start beyond it.
    async fn apply_event(
        &self,
        event: &EngineEvent,
        model: &ModelRef,
        progress: &mut Progress,
    ) -> Option<ReadEnd> {
        let choice = event.choices.first()?;
        let text = choice.text();
        let end = event.offset + text.len() as u64;
        let skip = (progress.offset - event.offset) as usize;
        if end > progress.offset
            && let Some(unsent) = text.as_bytes().get(skip..)
            && !self.forward_text(model, unsent, progress).await
        {
            return Some(ReadEnd::End(RunEnd::Abandoned));
        }
        let finish = choice.finish_reason.clone()?;
        if end < progress.offset {
            return None;
        }
        progress.tokens = event.usage.as_ref().map_or(0, |u| u.completion_tokens);
        let sent = self.send_started(Some(model), progress, 200, "").await
            && self.send_end(progress, finish).await;
        Some(ReadEnd::End(if sent {
            RunEnd::Complete
        } else {
            RunEnd::Abandoned
        }))
    }

    async fn forward_text(&self, model: &ModelRef, data: &[u8], progress: &mut Progress) -> bool {
        self.send_started(Some(model), progress, 200, "").await
            && self.send_chunk(data, progress).await
    }

    async fn send_started(
        &self,
        model: Option<&ModelRef>,
        progress: &mut Progress,
        status: u16,
        content: &str,
    ) -> bool {
        if progress.started {
            return true;
        }
        progress.started = true;
        let message = DispatchResponse::Started {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            upstream: Arc::clone(&self.holding.spec.id),
            model: model.cloned(),
            stall_ms: self.stall.as_millis() as u64,
            status,
            content: content.to_owned(),
        };
        self.messages.send(message).await.is_ok()
    }

    async fn send_chunk(&self, data: &[u8], progress: &mut Progress) -> bool {
        let message = DispatchResponse::Chunk {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            offset: progress.offset,
            data: data.to_vec(),
        };
        progress.offset += data.len() as u64;
        progress.digest.update(data);
        self.messages.send(message).await.is_ok()
    }

    async fn send_end(&self, progress: &Progress, finish: String) -> bool {
        let message = DispatchResponse::End {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            length: progress.offset,
            digest: progress.digest.value(),
            finish,
            tokens: progress.tokens,
        };
        self.messages.send(message).await.is_ok()
    }

    /// Returns whether the upstream's process ended since the request was sent.
    async fn has_crashed(&self) -> bool {
        let boot = self.holding.boot();
        let started = BootInstant::now();
        loop {
            match self.holding.client.models().await {
                Ok(list) => return list.boot != boot,
                Err(_e) if BootInstant::now().since(started) > CRASH_PROBE => return true,
                Err(_e) => tokio::time::sleep(PROBE_INTERVAL).await,
            }
        }
    }

    async fn call_service(&self, method: &str, path: &str, content: &str, body: &[u8]) -> RunEnd {
        let Ok(method) = Method::from_bytes(method.as_bytes()) else {
            return RunEnd::Refused(Refusal::Upstream);
        };
        if !self.holding.may_send(None) {
            return RunEnd::Refused(Refusal::NotHolder);
        }
        let body = Bytes::copy_from_slice(body);
        let attempt_id = self.attempt_id();
        let opened = self
            .holding
            .client
            .call(&method, path, &attempt_id, content, body)
            .await;
        let response = match opened {
            Ok(response) => response,
            Err(CallError::NotSent) => return RunEnd::Refused(Refusal::Upstream),
            Err(_unknown) => return RunEnd::Failed(self.service_failure().await),
        };
        let status = response.status().as_u16();
        if matches!(status, 429 | 503) {
            return RunEnd::Refused(Refusal::Upstream);
        }
        let content_type = response.headers().get(http::header::CONTENT_TYPE);
        let content_type = content_type
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_owned();
        self.forward_body(response.into_body(), status, &content_type)
            .await
    }

    /// Returns the failure of a call without a response: a crash, or only a lost response.
    async fn service_failure(&self) -> Failure {
        if self.holding.client.is_listening().await {
            Failure::Upstream
        } else {
            Failure::Crashed
        }
    }

    async fn forward_body(&self, mut body: Incoming, status: u16, content_type: &str) -> RunEnd {
        let mut progress = Progress::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return RunEnd::Failed(Failure::Truncated);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let sent = self
                .send_started(None, &mut progress, status, content_type)
                .await
                && self.send_chunk(&data, &mut progress).await;
            if !sent {
                return RunEnd::Abandoned;
            }
        }
        let sent = self
            .send_started(None, &mut progress, status, content_type)
            .await
            && self.send_end(&progress, String::new()).await;
        if sent {
            RunEnd::Complete
        } else {
            RunEnd::Abandoned
        }
    }

    /// Retries cancelling a request that ended early until the engine no longer runs it, for at most two minutes.
    pub async fn confirm_ended(&self) {
        let started = BootInstant::now();
        let boot = self.holding.boot();
        while BootInstant::now().since(started) < Duration::from_mins(2) {
            if self.holding.client.cancel(&self.attempt_id()).await || self.holding.boot() != boot {
                return;
            }
            tokio::time::sleep(CANCEL_RETRY_DELAY).await;
        }
    }
}

/// Returns the identifier of one attempt of a request, as the upstream sees it.
pub fn attempt_id(id: RequestId, attempt: u32) -> String {
    format!("{id}-{attempt}")
}

/// Returns the request body for the engine: the caller's, with the exact model and streaming.
fn engine_body(model: &ModelRef, body: &str) -> Option<Bytes> {
    let mut value: Value = serde_json::from_str(body).ok()?;
    let object = value.as_object_mut()?;
    object.insert("model".to_owned(), json!(model.to_string()));
    object.insert("stream".to_owned(), json!(true));
    Some(Bytes::from(value.to_string()))
}
