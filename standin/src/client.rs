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
pub struct Ask {
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

impl Default for Ask {
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
pub enum Told {
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
    pub told: Told,
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
            told: if error.is_not_sent() {
                Told::NotRun
            } else {
                Told::Broken
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

fn told(headers: &HeaderMap) -> Told {
    match headers
        .get("carobfield-outcome")
        .and_then(|v| v.to_str().ok())
    {
        Some("complete") => Told::Complete,
        Some("not-run") => Told::NotRun,
        Some("unknown") => Told::Unknown,
        _ => Told::Broken,
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
            told: told(&answer.headers),
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
pub async fn ask(client: &HttpClient, gateway: SocketAddr, ask: &Ask) -> Reply {
    let body = json!({
        "model": ask.model, "prompt": ask.prompt, "max_tokens": ask.tokens, "stream": ask.stream,
    });
    let timeout = ask.timeout.to_string();
    let mut headers = vec![("carobfield-timeout-ms", timeout.as_str())];
    if let Some(key) = &ask.key {
        headers.push(("idempotency-key", key));
        headers.push(("carobfield-repeatable", "false"));
    }
    let body = Bytes::from(body.to_string());
    if ask.stream {
        return stream(client, gateway, ask, &headers, body).await;
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
    if reply.told == Told::Complete && reply.header("carobfield-replayed").is_empty() {
        let value: Value = serde_json::from_str(&reply.text).unwrap_or(Value::Null);
        let text = value["choices"][0]["text"]
            .as_str()
            .unwrap_or("")
            .to_owned();
        let model = value["model"].as_str().unwrap_or("").to_owned();
        reply.text = text;
        reply.told = check(ask, &model, &reply.text);
    }
    reply
}

/// Whether a whole answer is exactly the one asked for.
fn check(ask: &Ask, model: &str, text: &str) -> Told {
    let exact = ask.model.contains('@');
    let asked = if exact { ask.model.as_str() } else { model };
    let right = asked == model && text == generate::full_text(model, &ask.prompt, ask.tokens);
    if right { Told::Complete } else { Told::Wrong }
}

async fn stream(
    client: &HttpClient,
    gateway: SocketAddr,
    ask: &Ask,
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
        told: told(&head.headers),
        headers: head.headers,
        text: String::new(),
        first_ms: 0.0,
        total_ms: 0.0,
    };
    if reply.status == 200 {
        read_stream(&mut reply, body, ask, started).await;
    } else if let Ok(whole) = body.collect().await {
        reply.text = String::from_utf8_lossy(&whole.to_bytes()).into_owned();
    }
    reply.total_ms = elapsed_ms(started);
    reply
}

async fn read_stream(
    reply: &mut Reply,
    mut body: hyper::body::Incoming,
    ask: &Ask,
    started: BootInstant,
) {
    reply.told = Told::Broken;
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
    reply.told = match outcome.as_str() {
        "complete" => check(ask, &model, &reply.text),
        "unknown" => Told::Unknown,
        _ => Told::Broken,
    };
}
