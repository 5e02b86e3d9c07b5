//! Client of a gateway that checks every byte of a completion.

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

/// Request for a text completion.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Model name, with or without a version.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u64,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Idempotency key; set if the request must not be retried.
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

/// Outcome of a request as reported to the caller and checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyOutcome {
    /// The response is complete and its text is the expected one.
    Complete,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
    /// The connection was lost before an outcome was reported.
    Broken,
    /// The response was reported as complete, but its model or text is not the expected one.
    Wrong,
}

/// Response as the caller received it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status; 0 if no response arrived.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Outcome, after the check of the text.
    pub outcome: ReplyOutcome,
    /// Generated text; the body of any other response; the error if there was no response.
    pub text: String,
    /// Time to the first chunk, in milliseconds.
    pub first_ms: f64,
    /// Time to the end of the response, in milliseconds.
    pub total_ms: f64,
}

impl Reply {
    /// Returns a header as text, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    }

    /// Returns a header as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name).parse().ok()
    }

    /// Returns the error code of the body, or an empty text if it has none.
    pub fn error_code(&self) -> String {
        let value: Value = serde_json::from_str(&self.text).unwrap_or(Value::Null);
        value["error"]["code"].as_str().unwrap_or("").to_owned()
    }

    fn from_error(started: BootInstant, error: CallError) -> Self {
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

/// Sends any request to a gateway and reads the complete response.
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
        Ok(response) => Reply {
            status: response.status,
            outcome: outcome_header(&response.headers),
            headers: response.headers,
            text: String::from_utf8_lossy(&response.body).into_owned(),
            first_ms: elapsed_ms(started),
            total_ms: elapsed_ms(started),
        },
        Err(e) => Reply::from_error(started, e),
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

/// Requests a completion from a gateway and checks the response.
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
        return send_streaming(client, gateway, completion, &headers, body).await;
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
        reply.outcome = check_completion(completion, &model, &reply.text);
    }
    reply
}

/// Compares the model and text of a complete response with the expected ones.
fn check_completion(completion: &CompletionRequest, model: &str, text: &str) -> ReplyOutcome {
    let has_version = completion.model.contains('@');
    let expected = if has_version {
        completion.model.as_str()
    } else {
        model
    };
    let matches = expected == model
        && text == generate::full_text(model, &completion.prompt, completion.tokens);
    if matches {
        ReplyOutcome::Complete
    } else {
        ReplyOutcome::Wrong
    }
}

async fn send_streaming(
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
        Err(e) => return Reply::from_error(started, e),
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
    } else if let Ok(collected) = body.collect().await {
        reply.text = String::from_utf8_lossy(&collected.to_bytes()).into_owned();
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
            if let Some(reported) = value["carobfield_outcome"].as_str() {
                reported.clone_into(&mut outcome);
            }
        }
    }
    reply.outcome = match outcome.as_str() {
        "complete" => check_completion(completion, &model, &reply.text),
        "unknown" => ReplyOutcome::Unknown,
        _ => ReplyOutcome::Broken,
    };
}
