//! Runs one request at the upstream and passes its answer on, whole and in order.

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

/// Tries to resume a broken answer before it fails.
const MAX_RESUMES: u32 = 8;

/// Events held back until an earlier part of the answer has come.
const MAX_EARLY: usize = 64;

/// Time an upstream gets to answer after a break before it counts as crashed.
const CRASH_PROBE: Duration = Duration::from_millis(1_500);

/// Interval between probes after a break.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Wait between tries to end a request at the engine.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Milliseconds after which a refused caller should come back when nothing better is known.
pub const DEFAULT_RETRY_MS: u64 = 1_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The answer was passed on whole.
    Complete,
    /// The upstream refused before running.
    Refused(Refusal),
    /// It may have run, wholly or in part.
    Failed(Failure),
    /// The gateway went away.
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

/// One request on its way through the upstream.
#[derive(Debug)]
pub struct Run<'a> {
    /// The upstream.
    pub holding: &'a Arc<Holding>,
    /// The request.
    pub dispatch: &'a DispatchRequest,
    /// Deadline on this machine's clock.
    pub deadline: BootInstant,
    /// Time waited for a load.
    pub stall: Duration,
    /// Where replies go.
    pub replies: &'a mpsc::Sender<DispatchResponse>,
}

/// Progress of an answer.
#[derive(Debug, Default)]
struct Progress {
    started: bool,
    offset: u64,
    digest: ResponseDigest,
    tokens: u64,
    /// Events that came before an earlier part of the answer, by their offset.
    early: BTreeMap<u64, EngineEvent>,
}

impl Progress {
    /// Takes an event that has become the next one, or an old one.
    fn next_early(&mut self) -> Option<EngineEvent> {
        let first = self.early.first_entry()?;
        if *first.key() > self.offset {
            return None;
        }
        Some(first.remove())
    }
}

/// Why reading an answer stopped.
#[derive(Debug)]
enum Stop {
    End(RunEnd),
    Broken,
}

impl Run<'_> {
    /// Runs the request and returns how it ended; every reply but the last refusal or failure was sent.
    pub async fn drive(&self) -> RunEnd {
        let left = self.deadline.since(BootInstant::now());
        let work = async {
            match &self.dispatch.work {
                Work::Generate { model, body, chat } => self.generate(model, body, *chat).await,
                Work::Call {
                    method,
                    path,
                    content,
                    body,
                } => self.call(method, path, content, body).await,
            }
        };
        tokio::select! {
            end = work => end,
            () = tokio::time::sleep(left) => RunEnd::Failed(Failure::Deadline),
            () = self.replies.closed() => RunEnd::Abandoned,
        }
    }

    /// Name of this try at the upstream.
    pub fn name(&self) -> String {
        run_name(self.dispatch.id, self.dispatch.attempt)
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
                .generate(path, &self.name(), body.clone(), resume)
                .await;
            progress.early.clear();
            let stop = match opened {
                Ok(response) => match response.status().as_u16() {
                    200 => {
                        self.read_events(response.into_body(), model, &mut progress)
                            .await
                    }
                    status if resumes == 0 => return self.refused_by_engine(status, model),
                    _ => return RunEnd::Failed(Failure::Truncated),
                },
                Err(CallError::NotSent) if resumes == 0 => {
                    return RunEnd::Refused(Refusal::Upstream);
                }
                Err(_broken) => Stop::Broken,
            };
            match stop {
                Stop::End(end) => return end,
                Stop::Broken if self.has_crashed().await => {
                    return RunEnd::Failed(Failure::Crashed);
                }
                Stop::Broken if resumes >= MAX_RESUMES => {
                    return RunEnd::Failed(Failure::Truncated);
                }
                Stop::Broken => {
                    resumes += 1;
                    let (id, offset) = (self.dispatch.id, progress.offset);
                    info!(request:% = id, offset = offset; "resuming a broken answer");
                }
            }
        }
    }

    fn refused_by_engine(&self, status: u16, model: &ModelRef) -> RunEnd {
        match status {
            404 => {
                self.holding.missing(model);
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
    ) -> Stop {
        let mut events = EventParser::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Stop::Broken;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if events.push(&data).is_err() {
                return Stop::End(RunEnd::Failed(Failure::Upstream));
            }
            while let Some(event) = events.next_event() {
                if let Some(stop) = self.take_event(&event, model, progress).await {
                    return stop;
                }
            }
        }
        Stop::Broken
    }

    async fn take_event(
        &self,
        event: &str,
        model: &ModelRef,
        progress: &mut Progress,
    ) -> Option<Stop> {
        let Ok(event) = serde_json::from_str::<EngineEvent>(event) else {
            return Some(Stop::Broken);
        };
        if event.id != self.name() {
            warn!(request:% = self.dispatch.id, got = event.id; "an event of another request");
            return None;
        }
        if event.model != model.to_string() {
            warn!(request:% = self.dispatch.id, asked:% = model, got = event.model; "wrong model");
            return Some(Stop::End(RunEnd::Failed(Failure::WrongModel)));
        }
        if event.offset > progress.offset {
            if progress.early.len() >= MAX_EARLY {
                return Some(Stop::Broken);
            }
            progress.early.insert(event.offset, event);
            return None;
        }
        let mut next = Some(event);
        while let Some(event) = next {
            if let Some(stop) = self.apply_event(&event, model, progress).await {
                return Some(stop);
            }
            next = progress.next_early();
        }
        None
    }

    /// Passes on what is new of an event that does not come too early.
    async fn apply_event(
        &self,
        event: &EngineEvent,
        model: &ModelRef,
        progress: &mut Progress,
    ) -> Option<Stop> {
        let choice = event.choices.first()?;
        let text = choice.text();
        let end = event.offset + text.len() as u64;
        let known = (progress.offset - event.offset) as usize;
        if end > progress.offset
            && let Some(fresh) = text.as_bytes().get(known..)
            && !self.pass_on(model, fresh, progress).await
        {
            return Some(Stop::End(RunEnd::Abandoned));
        }
        let finish = choice.finish_reason.clone()?;
        if end < progress.offset {
            return None;
        }
        progress.tokens = event.usage.as_ref().map_or(0, |u| u.completion_tokens);
        let sent =
            self.start(Some(model), progress, 200, "").await && self.end(progress, finish).await;
        Some(Stop::End(if sent {
            RunEnd::Complete
        } else {
            RunEnd::Abandoned
        }))
    }

    async fn pass_on(&self, model: &ModelRef, data: &[u8], progress: &mut Progress) -> bool {
        self.start(Some(model), progress, 200, "").await && self.chunk(data, progress).await
    }

    async fn start(
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
        let reply = DispatchResponse::Started {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            upstream: Arc::clone(&self.holding.spec.id),
            model: model.cloned(),
            stall_ms: self.stall.as_millis() as u64,
            status,
            content: content.to_owned(),
        };
        self.replies.send(reply).await.is_ok()
    }

    async fn chunk(&self, data: &[u8], progress: &mut Progress) -> bool {
        let reply = DispatchResponse::Chunk {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            offset: progress.offset,
            data: data.to_vec(),
        };
        progress.offset += data.len() as u64;
        progress.digest.update(data);
        self.replies.send(reply).await.is_ok()
    }

    async fn end(&self, progress: &Progress, finish: String) -> bool {
        let reply = DispatchResponse::End {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            length: progress.offset,
            digest: progress.digest.value(),
            finish,
            tokens: progress.tokens,
        };
        self.replies.send(reply).await.is_ok()
    }

    /// Whether the upstream's process went away since the request was sent.
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

    async fn call(&self, method: &str, path: &str, content: &str, body: &[u8]) -> RunEnd {
        let Ok(method) = Method::from_bytes(method.as_bytes()) else {
            return RunEnd::Refused(Refusal::Upstream);
        };
        if !self.holding.may_send(None) {
            return RunEnd::Refused(Refusal::NotHolder);
        }
        let body = Bytes::copy_from_slice(body);
        let name = self.name();
        let opened = self
            .holding
            .client
            .call(&method, path, &name, content, body)
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
        let kind = response.headers().get(http::header::CONTENT_TYPE);
        let kind = kind.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
        self.pass_body(response.into_body(), status, &kind).await
    }

    /// Whether a service that gave no answer went away, or only its answer did.
    async fn service_failure(&self) -> Failure {
        if self.holding.client.is_listening().await {
            Failure::Upstream
        } else {
            Failure::Crashed
        }
    }

    async fn pass_body(&self, mut body: Incoming, status: u16, kind: &str) -> RunEnd {
        let mut progress = Progress::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return RunEnd::Failed(Failure::Truncated);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let sent = self.start(None, &mut progress, status, kind).await
                && self.chunk(&data, &mut progress).await;
            if !sent {
                return RunEnd::Abandoned;
            }
        }
        let sent = self.start(None, &mut progress, status, kind).await
            && self.end(&progress, String::new()).await;
        if sent {
            RunEnd::Complete
        } else {
            RunEnd::Abandoned
        }
    }

    /// Makes certain that an engine no longer runs a request that ended early.
    pub async fn confirm_ended(&self) {
        let started = BootInstant::now();
        let boot = self.holding.boot();
        while BootInstant::now().since(started) < Duration::from_mins(2) {
            if self.holding.client.cancel(&self.name()).await || self.holding.boot() != boot {
                return;
            }
            tokio::time::sleep(CANCEL_RETRY_DELAY).await;
        }
    }
}

/// Name of one try of a request at an upstream.
pub fn run_name(id: RequestId, attempt: u32) -> String {
    format!("{id}-{attempt}")
}

/// The engine's request: the caller's, with the exact model and streaming.
fn engine_body(model: &ModelRef, body: &str) -> Option<Bytes> {
    let mut value: Value = serde_json::from_str(body).ok()?;
    let object = value.as_object_mut()?;
    object.insert("model".to_owned(), json!(model.to_string()));
    object.insert("stream".to_owned(), json!(true));
    Some(Bytes::from(value.to_string()))
}
