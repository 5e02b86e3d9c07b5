//! A caller: asks a gateway and checks every byte of the answer.

use crate::generate;
use bytes::Bytes;
use carobfield::{
    clock::BootInstant,
    http_client::{self, CallError, HttpClient},
    sse::EventParser,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

/// What to ask for.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Model, as the caller writes it.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Idempotency key, of a request that may not be repeated.
    pub key: Option<String>,
    /// Timeout, in milliseconds.
    pub timeout: u64,
}

impl Default for CompletionRequest {
    fn default() -> Self {
        Self {
            model: String::from("adapter-0"),
            prompt: String::from("hello"),
            tokens: 16,
            stream: false,
            key: None,
            timeout: 20_000,
        }
    }
}

/// What a caller was told of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyOutcome {
    /// The answer is whole, as it says and as was checked.
    Complete,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The connection broke, so nothing was told.
    Broken,
    /// The answer said that it is whole, and is not what was asked for.
    Wrong,
}

/// An answer as the caller saw it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status; 0 if there was none.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// What was told, and checked.
    pub outcome: ReplyOutcome,
    /// Text, or the body.
    pub text: String,
    /// Time to the first part, in milliseconds.
    pub first_ms: f64,
    /// Time to the end, in milliseconds.
    pub total_ms: f64,
}

impl Reply {
    /// A header as text, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    }

    /// A header as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name).parse().ok()
    }

    /// Identifier that the system gave the request, if the answer shows it.
    pub fn error_code(&self) -> String {
        let value: Value = serde_json::from_str(&self.text).unwrap_or(Value::Null);
        value["error"]["code"].as_str().unwrap_or("").to_owned()
    }

    fn broken(started: BootInstant, error: CallError) -> Self {
        let total_ms = elapsed_ms(started);
        Self {
            status: 0,
            headers: HeaderMap::new(),
            outcome: if error.is_not_sent() {
                ReplyOutcome::NotRun
            } else {
                ReplyOutcome::Broken
            },
            text: error.to_string(),
            first_ms: total_ms,
            total_ms,
        }
    }
}

fn elapsed_ms(started: BootInstant) -> f64 {
    BootInstant::now().since(started).as_secs_f64() * 1_000.0
}

fn outcome_header(headers: &HeaderMap) -> ReplyOutcome {
    match headers
        .get("carobfield-outcome")
        .and_then(|v| v.to_str().ok())
    {
        Some("complete") => ReplyOutcome::Complete,
        Some("not-run") => ReplyOutcome::NotRun,
        Some("unknown") => ReplyOutcome::Unknown,
        _ => ReplyOutcome::Broken,
    }
}

/// Sends any request to a gateway and reads the whole answer.
pub async fn send(
    client: &HttpClient,
    gateway: SocketAddr,
    method: &Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: Bytes,
) -> Reply {
    let started = BootInstant::now();
    let uri = format!("http://{gateway}{path}");
    let mut request = http_client::json_request(method, &uri, body);
    add_headers(&mut request, headers);
    match http_client::call(client, request, Duration::from_secs(130)).await {
        Ok(answer) => Reply {
            status: answer.status,
            outcome: outcome_header(&answer.headers),
            headers: answer.headers,
            text: String::from_utf8_lossy(&answer.body).into_owned(),
            first_ms: elapsed_ms(started),
            total_ms: elapsed_ms(started),
        },
        Err(e) => Reply::broken(started, e),
    }
}

fn add_headers(request: &mut Request<Full<Bytes>>, headers: &[(&'static str, &str)]) {
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            request
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
}

/// Asks a gateway for text.
pub async fn complete(
    client: &HttpClient,
    gateway: SocketAddr,
    completion: &CompletionRequest,
) -> Reply {
    let body = json!({
        "model": completion.model, "prompt": completion.prompt, "max_tokens": completion.tokens, "stream": completion.stream,
    });
    let timeout = completion.timeout.to_string();
    let mut headers = vec![("carobfield-timeout-ms", timeout.as_str())];
    if let Some(key) = &completion.key {
        headers.push(("idempotency-key", key));
        headers.push(("carobfield-repeatable", "false"));
    }
    let body = Bytes::from(body.to_string());
    if completion.stream {
        return stream(client, gateway, completion, &headers, body).await;
    }
    let mut reply = send(
        client,
        gateway,
        &Method::POST,
        "/v1/completions",
        &headers,
        body,
    )
    .await;
    if reply.outcome == ReplyOutcome::Complete && reply.header("carobfield-replayed").is_empty() {
        let value: Value = serde_json::from_str(&reply.text).unwrap_or(Value::Null);
        let text = value["choices"][0]["text"]
            .as_str()
            .unwrap_or("")
            .to_owned();
        let model = value["model"].as_str().unwrap_or("").to_owned();
        reply.text = text;
        reply.outcome = check(completion, &model, &reply.text);
    }
    reply
}

/// Whether a whole answer is exactly the one asked for.
fn check(completion: &CompletionRequest, model: &str, text: &str) -> ReplyOutcome {
    let exact = completion.model.contains('@');
    let asked = if exact {
        completion.model.as_str()
    } else {
        model
    };
    let right =
        asked == model && text == generate::whole(model, &completion.prompt, completion.tokens);
    if right {
        ReplyOutcome::Complete
    } else {
        ReplyOutcome::Wrong
    }
}

async fn stream(
    client: &HttpClient,
    gateway: SocketAddr,
    completion: &CompletionRequest,
    headers: &[(&'static str, &str)],
    body: Bytes,
) -> Reply {
    let started = BootInstant::now();
    let uri = format!("http://{gateway}/v1/completions");
    let mut request = http_client::json_request(&Method::POST, &uri, body);
    add_headers(&mut request, headers);
    let response = match http_client::send(client, request).await {
        Ok(response) => response,
        Err(e) => return Reply::broken(started, e),
    };
    let (head, body) = response.into_parts();
    let mut reply = Reply {
        status: head.status.as_u16(),
        outcome: outcome_header(&head.headers),
        headers: head.headers,
        text: String::new(),
        first_ms: 0.0,
        total_ms: 0.0,
    };
    if reply.status == 200 {
        read_stream(&mut reply, body, completion, started).await;
    } else if let Ok(whole) = body.collect().await {
        reply.text = String::from_utf8_lossy(&whole.to_bytes()).into_owned();
    }
    reply.total_ms = elapsed_ms(started);
    reply
}

async fn read_stream(
    reply: &mut Reply,
    mut body: hyper::body::Incoming,
    completion: &CompletionRequest,
    started: BootInstant,
) {
    reply.outcome = ReplyOutcome::Broken;
    let mut events = EventParser::default();
    let mut outcome = String::new();
    let mut model = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if reply.first_ms == 0.0 {
            reply.first_ms = elapsed_ms(started);
        }
        if events.push(&data).is_err() {
            return;
        }
        while let Some(event) = events.next_event() {
            let value: Value = serde_json::from_str(&event).unwrap_or(Value::Null);
            if let Some(text) = value["choices"][0]["text"].as_str() {
                reply.text.push_str(text);
                value["model"].as_str().unwrap_or("").clone_into(&mut model);
            }
            if let Some(seen) = value["carobfield_outcome"].as_str() {
                seen.clone_into(&mut outcome);
            }
        }
    }
    reply.outcome = match outcome.as_str() {
        "complete" => check(completion, &model, &reply.text),
        "unknown" => ReplyOutcome::Unknown,
        _ => ReplyOutcome::Broken,
    };
}
