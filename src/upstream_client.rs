//! Talks to model engines and plain services by their own protocols.

use crate::{
    http_client::{self, CallError, HttpClient},
    ident::{Generation, ModelRef},
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::net::TcpStream;

/// Header of orders that carries the fencing number.
pub const FENCING_HEADER: &str = "fencing-token";

/// Header that names a request to the upstream.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header that asks for the rest of an answer from a byte position.
pub const RESUME_HEADER: &str = "x-resume-offset";

/// Longest wait for an answer to a load order.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for an answer to any other order or question.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// Carried out.
    Done,
    /// The upstream knows a higher fencing number.
    Fenced,
    /// The upstream could not carry it out.
    Failed,
    /// The order was not sent.
    NotSent,
    /// It may have been carried out.
    Unknown,
}

impl OrderResult {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Fenced => "fenced",
            Self::Failed => "failed",
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
        }
    }
}

/// One entry of an engine's model list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedModel {
    /// `adapter@version`, or the base model's name.
    pub id: String,
    /// Base model of an adapter.
    #[serde(default)]
    pub parent: Option<String>,
}

/// An engine's model list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ModelList {
    /// Models, adapters among them.
    pub data: Vec<ListedModel>,
    /// Identifies the engine's process.
    #[serde(default)]
    pub boot: u64,
    /// The engine's clock, in milliseconds.
    #[serde(default)]
    pub now_ms: u64,
}

impl ModelList {
    /// The adapters that are loaded.
    pub fn adapters(&self) -> Vec<ModelRef> {
        let adapters = self.data.iter().filter(|m| m.parent.is_some());
        adapters.filter_map(|m| m.id.parse().ok()).collect()
    }
}

/// An engine's load report, possibly old.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InFlightReport {
    /// Identifies the engine's process.
    pub boot: u64,
    /// When the report was made, on the engine's clock, in milliseconds.
    pub made_ms: u64,
    /// Requests running, by model.
    pub in_flight: BTreeMap<String, u32>,
    /// Requests running.
    pub running: u32,
}

/// Client of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    address: SocketAddr,
    base: String,
    client: HttpClient,
}

impl UpstreamClient {
    /// A client of the upstream at `address`.
    pub fn new(address: SocketAddr, client: HttpClient) -> Self {
        Self {
            address,
            base: format!("http://{address}"),
            client,
        }
    }

    /// Orders an adapter to be loaded.
    pub async fn load(&self, model: &ModelRef, generation: Generation) -> OrderResult {
        let path = format!("{}/{}", model.adapter, model.version);
        let body = json!({ "lora_name": model.to_string(), "lora_path": path });
        self.order("/v1/load_lora_adapter", &body, generation, LOAD_TIMEOUT)
            .await
    }

    /// Orders an adapter to be evicted.
    pub async fn unload(&self, model: &ModelRef, generation: Generation) -> OrderResult {
        let body = json!({ "lora_name": model.to_string() });
        self.order("/v1/unload_lora_adapter", &body, generation, ORDER_TIMEOUT)
            .await
    }

    /// Raises the upstream's fencing number, or confirms it.
    pub async fn fence(&self, generation: Generation) -> OrderResult {
        self.order("/v1/fence", &json!({}), generation, ORDER_TIMEOUT)
            .await
    }

    async fn order(
        &self,
        path: &str,
        body: &serde_json::Value,
        generation: Generation,
        limit: Duration,
    ) -> OrderResult {
        let uri = format!("{}{path}", self.base);
        let body = Bytes::from(body.to_string());
        let mut request = http_client::json_request(&Method::POST, &uri, body);
        request
            .headers_mut()
            .insert(FENCING_HEADER, HeaderValue::from(generation));
        match http_client::call(&self.client, request, limit).await {
            Ok(answer) if answer.status == 200 => OrderResult::Done,
            Ok(answer) if answer.status == 409 => OrderResult::Fenced,
            Ok(_failed) => OrderResult::Failed,
            Err(e) if e.is_not_sent() => OrderResult::NotSent,
            Err(_unknown) => OrderResult::Unknown,
        }
    }

    /// Reads which adapters are loaded.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn models(&self) -> Result<ModelList, CallError> {
        self.read("/v1/models").await
    }

    /// Reads the load report.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn report(&self) -> Result<InFlightReport, CallError> {
        self.read("/load").await
    }

    async fn read<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let uri = format!("{}{path}", self.base);
        let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
        let answer = http_client::call(&self.client, request, ORDER_TIMEOUT).await?;
        if answer.status != 200 {
            return Err(CallError::Unknown);
        }
        serde_json::from_slice(&answer.body).map_err(|_e| CallError::Unknown)
    }

    /// Whether the upstream takes connections.
    pub async fn is_listening(&self) -> bool {
        let connected = TcpStream::connect(self.address);
        let connected = tokio::time::timeout(ORDER_TIMEOUT, connected).await;
        connected.is_ok_and(|c| c.is_ok())
    }

    /// Ends a request at the engine; true once it certainly runs no more.
    pub async fn cancel(&self, request: &str) -> bool {
        let uri = format!("{}/v1/cancel/{request}", self.base);
        let request = http_client::json_request(&Method::POST, &uri, Bytes::new());
        let answer = http_client::call(&self.client, request, ORDER_TIMEOUT).await;
        answer.is_ok_and(|a| a.status == 200)
    }

    /// Sends a request for text and waits for the answer's head.
    ///
    /// With `resume`, asks for the rest of an answer that broke off, which starts no new run.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn generate(
        &self,
        path: &str,
        name: &str,
        body: Bytes,
        resume: Option<u64>,
    ) -> Result<Response<Incoming>, CallError> {
        let uri = format!("{}{path}", self.base);
        let mut request = http_client::json_request(&Method::POST, &uri, body);
        name_request(&mut request, name);
        if let Some(offset) = resume {
            request
                .headers_mut()
                .insert(RESUME_HEADER, HeaderValue::from(offset));
        }
        http_client::send(&self.client, request).await
    }

    /// Sends a call to a plain service and waits for the answer's head.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn call(
        &self,
        method: &Method,
        path: &str,
        name: &str,
        content: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallError> {
        let uri = format!("{}{path}", self.base);
        let mut request = http_client::json_request(method, &uri, body);
        name_request(&mut request, name);
        if let Ok(value) = HeaderValue::from_str(content) {
            request
                .headers_mut()
                .insert(http::header::CONTENT_TYPE, value);
        }
        http_client::send(&self.client, request).await
    }
}

fn name_request(request: &mut Request<Full<Bytes>>, name: &str) {
    if let Ok(value) = HeaderValue::from_str(name) {
        request.headers_mut().insert(REQUEST_HEADER, value);
    }
}
