//! Stand-in for a model engine: adapter slots, continuous batching, resumable streams, faults.

use crate::{
    engine_state::{AdmitError, EngineState, LoadOutcome, Run, RunState},
    engine_stream::StreamWriter,
    run_log::{LogKind, RunLog},
    web::{self, ConnectionDropped, WebBody, WebRequest, WebResult},
};
use bytes::Bytes;
use carobfield::{
    clock,
    http_client::{self, HttpClient},
    upstream_client::{FENCING_HEADER, ListedModel, ModelList, REQUEST_HEADER, RESUME_HEADER},
};
use futures_util::{StreamExt, stream};
use http::{Method, Response, StatusCode, header::CONTENT_TYPE};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Tokens generated for a request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Timeout for fetching an adapter's weights.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Name in the run log.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name of the base model.
    pub base: String,
    /// Number of adapter slots.
    pub slots: usize,
    /// Largest number of requests that run at once.
    pub batch: usize,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Time of a decoding step without running requests, in microseconds.
    pub step_us: u64,
    /// Time that each running request adds to a step, in microseconds.
    pub share_us: u64,
    /// Prefill time per byte of the prompt that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Capacity of the prefix cache.
    pub prefixes: usize,
    /// Address of the weight store; without one, loads take no time.
    pub weights: Option<SocketAddr>,
    /// Age of the reported requests in flight, in milliseconds.
    pub report_lag: u64,
    /// Time that a run stays resumable after its last reader left or it ended, in milliseconds.
    pub grace: u64,
    /// Time that a crashed engine stays down, in milliseconds.
    pub down: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            name: String::from("engine"),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            base: String::from("base"),
            slots: 4,
            batch: 8,
            fencing: true,
            step_us: 5_000,
            share_us: 100,
            prefill_us: 20,
            prefixes: 64,
            weights: None,
            report_lag: 300,
            grace: 2_000,
            down: 500,
        }
    }
}

/// Faults that can be switched on; each counter decreases whenever its fault is injected.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Number of requests to refuse before running them.
    pub refuse: u32,
    /// Number of responses that name another model.
    pub wrong_model: u32,
    /// Number of responses to end halfway without a finish reason; resumed ones are unaffected.
    pub truncate: u32,
    /// Number of responses whose connection is dropped halfway; resumed ones are unaffected.
    pub cut: u32,
    /// Number of responses that send every chunk twice.
    pub duplicate: u32,
    /// Number of responses with two chunks swapped.
    pub reorder: u32,
    /// Number of responses that contain a chunk of another request.
    pub foreign: u32,
    /// Delay before each chunk, in milliseconds.
    pub late_ms: u64,
    /// Number of loads to fail.
    pub load_fail: u32,
    /// Adapters whose loads always fail.
    pub fail_models: Vec<String>,
    /// Delay before each order is executed, in milliseconds.
    pub order_ms: u64,
    /// Text that crashes the engine if a prompt contains it; empty for none.
    pub crash_on: String,
}

/// Running engine.
#[derive(Debug)]
pub struct Engine {
    /// Settings.
    pub config: EngineConfig,
    /// State of the current process, lost in a crash.
    pub state: EngineState,
    /// Log of requests and orders; survives a crash.
    pub log: Arc<RunLog>,
    client: HttpClient,
    crash: CancellationToken,
}

/// Serves until `stop` is cancelled, restarting after a crash with the same log and faults.
///
/// # Errors
/// The address could not be bound.
pub async fn run(config: EngineConfig, stop: CancellationToken) -> std::io::Result<()> {
    let log = Arc::new(RunLog::default());
    let mut faults = EngineFaults::default();
    while !stop.is_cancelled() {
        let listener = web::bind(config.listen).await?;
        let crash = stop.child_token();
        log.push(LogKind::Boot, &config.name, "", "", 0);
        let engine = Engine::start(&config, faults, Arc::clone(&log), crash.clone());
        let snapshots = tokio::spawn(Arc::clone(&engine).record_snapshots());
        let handler_engine = Arc::clone(&engine);
        let handler = Arc::new(move |request| {
            let engine = Arc::clone(&handler_engine);
            Box::pin(async move { engine.handle(request).await }) as _
        });
        web::serve(listener, handler, crash).await;
        snapshots.abort();
        engine.state.abort_all();
        faults = engine.state.faults();
        if !stop.is_cancelled() {
            tokio::time::sleep(Duration::from_millis(config.down)).await;
        }
    }
    Ok(())
}

impl Engine {
    /// Creates an engine process without adapters; a crash cancels `crash`.
    pub fn start(
        config: &EngineConfig,
        faults: EngineFaults,
        log: Arc<RunLog>,
        crash: CancellationToken,
    ) -> Arc<Self> {
        Arc::new(Self {
            state: EngineState::new(config, faults),
            config: config.clone(),
            log,
            client: http_client::build(),
            crash,
        })
    }

    async fn record_snapshots(self: Arc<Self>) {
        loop {
            self.state.snapshot();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn handle(self: Arc<Self>, request: WebRequest) -> WebResult {
        let path = request.path.clone();
        match (&request.method, path.as_str()) {
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::GET, "/load") => Ok(web::json(StatusCode::OK, &self.state.report())),
            (&Method::GET, "/log") => Ok(web::json(StatusCode::OK, &self.log.all())),
            (&Method::GET, "/stats") => Ok(web::json(StatusCode::OK, &self.state.stats())),
            (&Method::GET, "/cache_events") => Ok(web::json(
                StatusCode::OK,
                &self.state.cache_events(request.number("after")),
            )),
            (&Method::POST, "/v1/fence") => Ok(self.fence(&request)),
            (&Method::POST, "/v1/load_lora_adapter") => Ok(self.load(&request).await),
            (&Method::POST, "/v1/unload_lora_adapter") => Ok(self.unload(&request).await),
            (&Method::POST, "/v1/completions") => self.generate(&request, false),
            (&Method::POST, "/v1/chat/completions") => self.generate(&request, true),
            (&Method::POST, "/fault") => Ok(self.set_faults(&request)),
            (&Method::POST, "/restart") => {
                self.crash.cancel();
                Err(ConnectionDropped)
            }
            (&Method::POST, p) if p.starts_with("/v1/cancel/") => {
                self.state.cancel(p.trim_start_matches("/v1/cancel/"));
                Ok(web::empty(StatusCode::OK))
            }
            _ => Ok(web::empty(StatusCode::NOT_FOUND)),
        }
    }

    fn set_faults(&self, request: &WebRequest) -> Response<WebBody> {
        match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                self.state.set_faults(faults);
                web::empty(StatusCode::OK)
            }
            Err(e) => web::text(StatusCode::BAD_REQUEST, "text/plain", e.to_string()),
        }
    }

    fn models(&self) -> Response<WebBody> {
        let base = ListedModel {
            id: self.config.base.clone(),
            parent: None,
        };
        let loaded = self.state.adapters().into_iter().map(|id| {
            let parent = Some(self.config.base.clone());
            ListedModel { id, parent }
        });
        let data = std::iter::once(base).chain(loaded).collect();
        let (boot, now_ms) = (self.state.boot, clock::unix_ms());
        web::json(StatusCode::OK, &ModelList { data, boot, now_ms })
    }

    /// Returns whether an order's fencing number is accepted (always without fencing); logs refusals.
    fn check_fence(&self, request: &WebRequest) -> bool {
        let number = request.header_number(FENCING_HEADER).unwrap_or(0);
        let accepted = !self.config.fencing || self.state.raise_fencing_number(number);
        if !accepted {
            self.log.push(
                LogKind::Fenced,
                &self.config.name,
                &number.to_string(),
                "",
                0,
            );
        }
        accepted
    }

    fn fence(&self, request: &WebRequest) -> Response<WebBody> {
        let accepted = self.check_fence(request);
        web::empty(if accepted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        })
    }

    async fn load(&self, request: &WebRequest) -> Response<WebBody> {
        let Some(model) = adapter_of_order(request) else {
            return web::empty(StatusCode::BAD_REQUEST);
        };
        tokio::time::sleep(Duration::from_millis(self.state.faults().order_ms)).await;
        if !self.check_fence(request) {
            return web::empty(StatusCode::CONFLICT);
        }
        match self.state.begin_load(&model, self.config.slots) {
            LoadOutcome::Present => return web::empty(StatusCode::OK),
            LoadOutcome::Full => return web::empty(StatusCode::INSUFFICIENT_STORAGE),
            LoadOutcome::Fault => return web::empty(StatusCode::INTERNAL_SERVER_ERROR),
            LoadOutcome::SlotReserved => {}
        }
        let fetched = self.fetch_weights(&model).await;
        self.state.end_load(&model, fetched);
        if !fetched {
            return web::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        self.log
            .push(LogKind::Load, &self.config.name, "", &model, 0);
        web::empty(StatusCode::OK)
    }

    async fn fetch_weights(&self, model: &str) -> bool {
        let Some(store) = self.config.weights else {
            return true;
        };
        let uri = format!("http://{store}/weights/{model}");
        let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
        let response = http_client::call(&self.client, request, WEIGHTS_TIMEOUT).await;
        response.is_ok_and(|r| r.status == 200)
    }

    async fn unload(&self, request: &WebRequest) -> Response<WebBody> {
        let Some(model) = adapter_of_order(request) else {
            return web::empty(StatusCode::BAD_REQUEST);
        };
        tokio::time::sleep(Duration::from_millis(self.state.faults().order_ms)).await;
        if !self.check_fence(request) {
            return web::empty(StatusCode::CONFLICT);
        }
        if let Some(in_flight) = self.state.unload(&model) {
            self.log
                .push(LogKind::Evict, &self.config.name, "", &model, in_flight);
        }
        web::empty(StatusCode::OK)
    }

    fn generate(self: Arc<Self>, request: &WebRequest, chat: bool) -> WebResult {
        let name = request.header_text(REQUEST_HEADER);
        if let Some(offset) = request.header_number(RESUME_HEADER) {
            return Ok(match self.state.run(&name) {
                Some(run) => {
                    let model = run.model.clone();
                    self.log
                        .push(LogKind::Resume, &self.config.name, &name, &model, 0);
                    self.stream(run, chat, Some(offset))
                }
                None => web::empty(StatusCode::GONE),
            });
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Ok(web::empty(StatusCode::BAD_REQUEST));
        };
        let model = body["model"].as_str().unwrap_or("").to_owned();
        let prompt = match body["prompt"].as_str() {
            Some(prompt) => prompt.to_owned(),
            None => body["messages"].to_string(),
        };
        let faults = self.state.faults();
        if !faults.crash_on.is_empty() && prompt.contains(&faults.crash_on) {
            self.log
                .push_with_body_hash(LogKind::Start, &self.config.name, &name, &model, "", 0);
            self.log
                .push(LogKind::Crash, &self.config.name, &name, &model, 0);
            self.crash.cancel();
            return Err(ConnectionDropped);
        }
        if self.state.take_fault(|f| &mut f.refuse) {
            return Ok(web::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        let priority = body["priority"].as_i64().unwrap_or(0);
        let run = Run::new(&name, &model, &prompt, tokens, priority);
        match self.state.admit(&run) {
            Ok(()) => {}
            Err(AdmitError::NotLoaded) => return Ok(web::empty(StatusCode::NOT_FOUND)),
        }
        tokio::spawn(Arc::clone(&self).produce(Arc::clone(&run)));
        Ok(self.stream(run, chat, None))
    }

    /// Runs a request: waits until it joins the batch, then decodes one token per step.
    pub async fn produce(self: Arc<Self>, run: Arc<Run>) {
        self.state.join_batch(&run).await;
        if self.state.is_aborted(&run) {
            self.state.leave_batch(&run);
            return;
        }
        let in_flight = self.state.in_flight(&run);
        let (name, model) = (&self.config.name, &run.model);
        self.log.push_with_body_hash(
            LogKind::Start,
            name,
            &run.name,
            model,
            &run.body_hash(),
            in_flight,
        );
        let cached = self.state.cache_prompt(&run.prompt, self.config.prefixes);
        let uncached = run.prompt.len().saturating_sub(cached) as u64;
        tokio::time::sleep(Duration::from_micros(uncached * self.config.prefill_us)).await;
        for _ in 0..run.tokens {
            let running = self.state.running() as u64;
            let step = self.config.step_us + self.config.share_us * running;
            tokio::time::sleep(Duration::from_micros(step)).await;
            if self.state.is_aborted(&run) {
                break;
            }
            run.progress.send_modify(|p| p.tokens += 1);
        }
        self.state.leave_batch(&run);
        run.progress.send_modify(|p| {
            if p.state == RunState::Running {
                p.state = RunState::Done;
            }
        });
        self.log.push(LogKind::End, name, &run.name, model, 0);
        let (engine, grace) = (Arc::clone(&self), Duration::from_millis(self.config.grace));
        tokio::time::sleep(grace).await;
        engine.state.forget(&run.name);
    }

    fn stream(
        self: &Arc<Self>,
        run: Arc<Run>,
        chat: bool,
        resume: Option<u64>,
    ) -> Response<WebBody> {
        let writer = StreamWriter::new(Arc::clone(self), run, chat, resume);
        let chunks = stream::unfold(writer, |mut writer| async move {
            let chunk = writer.next_chunk().await?;
            Some((chunk.map(Frame::data), writer))
        });
        let body = BodyExt::boxed_unsync(StreamBody::new(chunks.boxed()));
        let mut response = Response::new(body);
        let content_type = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }
}

fn adapter_of_order(request: &WebRequest) -> Option<String> {
    let body: Value = serde_json::from_slice(&request.body).ok()?;
    body["lora_name"].as_str().map(ToOwned::to_owned)
}
