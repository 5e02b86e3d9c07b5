//! Client of model engines and plain services.

use crate::{
    http_client::{self, CallError, HttpClient, ListenerState},
    ident::{Generation, ModelRef},
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Header of orders that carries the fencing number.
pub const FENCING_HEADER: &str = "fencing-token";

/// Header with the identifier of a request.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header that requests the rest of a response from a byte offset.
pub const RESUME_HEADER: &str = "x-resume-offset";

/// Timeout of a load order.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of any other order or read.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// It was carried out.
    Done,
    /// The upstream knows a higher fencing number.
    Fenced,
    /// The upstream could not carry it out.
    Failed,
    /// It was not sent.
    NotSent,
    /// It may have been carried out.
    Unknown,
}

impl OrderResult {
    /// Returns the name used in logs and metrics.
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
    /// `adapter@version`, or the name of a base model.
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
    /// Identifier of the engine's process.
    #[serde(default)]
    pub boot: u64,
    /// Engine's clock, in milliseconds.
    #[serde(default)]
    pub now_ms: u64,
}

impl ModelList {
    /// Returns the adapters that are loaded.
    pub fn adapters(&self) -> Vec<ModelRef> {
        let adapters = self.data.iter().filter(|m| m.parent.is_some());
        adapters.filter_map(|m| m.id.parse().ok()).collect()
    }
}

/// An engine's report of its requests in flight, possibly stale.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InFlightReport {
    /// Identifier of the engine's process.
    pub boot: u64,
    /// Time of the report on the engine's clock, in milliseconds.
    pub made_ms: u64,
    /// Requests in flight, by model.
    pub in_flight: BTreeMap<String, u32>,
    /// Requests in flight.
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
    /// Creates a client of the upstream at `address`.
    pub fn new(address: SocketAddr, client: HttpClient) -> Self {
        Self {
            address,
            base: format!("http://{address}"),
            client,
        }
    }

    /// Orders the engine to load an adapter.
    pub async fn load(&self, model: &ModelRef, generation: Generation) -> OrderResult {
        let path = format!("{}/{}", model.adapter, model.version);
        let body = json!({ "lora_name": model.to_string(), "lora_path": path });
        self.order("/v1/load_lora_adapter", &body, generation, LOAD_TIMEOUT)
            .await
    }

    /// Orders the engine to evict an adapter.
    pub async fn unload(&self, model: &ModelRef, generation: Generation) -> OrderResult {
        let body = json!({ "lora_name": model.to_string() });
        self.order("/v1/unload_lora_adapter", &body, generation, ORDER_TIMEOUT)
            .await
    }

    /// Raises the upstream's fencing number, or confirms the current one.
    pub async fn fence(&self, generation: Generation) -> OrderResult {
        self.order("/v1/fence", &json!({}), generation, ORDER_TIMEOUT)
            .await
    }

    async fn order(
        &self,
        path: &str,
        body: &serde_json::Value,
        generation: Generation,
        timeout: Duration,
    ) -> OrderResult {
        let uri = format!("{}{path}", self.base);
        let body = Bytes::from(body.to_string());
        let mut request = http_client::json_request(&Method::POST, &uri, body);
        request
            .headers_mut()
            .insert(FENCING_HEADER, HeaderValue::from(generation));
        match http_client::call(&self.client, request, timeout).await {
            Ok(response) if response.status == 200 => OrderResult::Done,
            Ok(response) if response.status == 409 => OrderResult::Fenced,
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

    /// Reads the report of requests in flight.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn report(&self) -> Result<InFlightReport, CallError> {
        self.read("/load").await
    }

    async fn read<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let uri = format!("{}{path}", self.base);
        let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
        let response = http_client::call(&self.client, request, ORDER_TIMEOUT).await?;
        if response.status != 200 {
            return Err(CallError::Unknown);
        }
        serde_json::from_slice(&response.body).map_err(|_e| CallError::Unknown)
    }

    /// Returns whether the upstream accepts connections.
    pub async fn is_listening(&self) -> bool {
        http_client::probe_listener(self.address, ORDER_TIMEOUT).await == ListenerState::Open
    }

    /// Cancels a request at the engine; returns true once it certainly no longer runs.
    pub async fn cancel(&self, request: &str) -> bool {
        let uri = format!("{}/v1/cancel/{request}", self.base);
        let request = http_client::json_request(&Method::POST, &uri, Bytes::new());
        let response = http_client::call(&self.client, request, ORDER_TIMEOUT).await;
        response.is_ok_and(|r| r.status == 200)
    }

    /// Sends a generation request and waits for the response head.
    ///
    /// With `resume`, requests the rest of a broken response from that offset, without running the request again.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn generate(
        &self,
        path: &str,
        request_id: &str,
        body: Bytes,
        resume: Option<u64>,
    ) -> Result<Response<Incoming>, CallError> {
        let uri = format!("{}{path}", self.base);
        let mut request = http_client::json_request(&Method::POST, &uri, body);
        set_request_id(&mut request, request_id);
        if let Some(offset) = resume {
            request
                .headers_mut()
                .insert(RESUME_HEADER, HeaderValue::from(offset));
        }
        http_client::send(&self.client, request).await
    }

    /// Sends a request to a plain service and waits for the response head.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn call(
        &self,
        method: &Method,
        path: &str,
        request_id: &str,
        content: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallError> {
        let uri = format!("{}{path}", self.base);
        let mut request = http_client::json_request(method, &uri, body);
        set_request_id(&mut request, request_id);
        if let Ok(value) = HeaderValue::from_str(content) {
            request
                .headers_mut()
                .insert(http::header::CONTENT_TYPE, value);
        }
        http_client::send(&self.client, request).await
    }
}

fn set_request_id(request: &mut Request<Full<Bytes>>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        request.headers_mut().insert(REQUEST_HEADER, value);
    }
}
