//! HTTP client for requests to the platform and to upstreams.

use crate::{
    bounded_body::{self, BodySize},
    byte_budget::ByteBudget,
    direct_stream::DirectStream,
};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, StatusCode, Uri};
use http_body_util::Full;
use hyper_util::{
    client::legacy::{
        Client,
        connect::{HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioIo},
};
use serde::{Deserialize, Serialize};
use std::{
    fmt::{Display, Formatter},
    io,
    net::{IpAddr, SocketAddr},
    task::{Context, Poll},
    time::Duration,
};
use tokio::net::TcpStream;
use tower_service::Service;

/// Timeout of a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// `TCP_USER_TIMEOUT`: longest time that sent bytes may stay unacknowledged; shorter than the takeover margin.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time after which TCP probes show whether a connection is still alive, and the pause between them; the connection
/// breaks when they stay unacknowledged for [`USER_TIMEOUT`].
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Timeout of the check whether something listens at an upstream's address.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest number of idle connections per address.
const IDLE_CONNECTIONS: usize = 64;

/// Largest response body that is buffered, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// Largest response head, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Receive buffer of a connection, in bytes. The kernel's own choice grows to megabytes for a peer that sends without end, and
/// counts as memory of the process.
const RECEIVE_BUFFER: u32 = 64 << 10;

/// Connector for TCP connections.
#[derive(Clone, Debug)]
pub struct Connector(HttpConnector);

impl Service<Uri> for Connector {
    type Response = TokioIo<DirectStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        let connecting = self.0.call(req);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(DirectStream::new(stream)))
        })
    }
}

/// Buffered body of a request.
pub type FullBody = Full<Bytes>;

/// A pooled HTTP/1.1 client.
pub type HttpClient = Client<Connector, FullBody>;

/// Builds a client whose connections fail fast when the network is down.
pub fn build() -> HttpClient {
    build_bound_to(None)
}

/// Builds such a client whose connections originate from the address `local`.
pub fn build_bound_to(local: Option<IpAddr>) -> HttpClient {
    let mut connector = connector(local, USER_TIMEOUT);
    connector.0.set_keepalive(Some(KEEPALIVE));
    connector.0.set_keepalive_interval(Some(KEEPALIVE));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build(connector)
}

/// Returns a connector whose connections originate from the address `local`, and fail when sent bytes stay unacknowledged for
/// `user_timeout`.
pub fn connector(local: Option<IpAddr>, user_timeout: Duration) -> Connector {
    let mut connector = HttpConnector::new();
    connector.set_local_address(local);
    connector.set_nodelay(true);
    connector.set_recv_buffer_size(Some(RECEIVE_BUFFER as usize));
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_tcp_user_timeout(Some(user_timeout));
    Connector(connector)
}

/// Connects to `address`.
///
/// # Errors
/// The connection could not be established.
pub async fn connect(
    connector: &Connector,
    address: SocketAddr,
) -> Result<TokioIo<DirectStream>, CallError> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query("/")
        .build()
        .map_err(|_e| CallError::NotSent)?;
    let connected = connector.clone().call(uri).await;
    connected.map_err(|_e| CallError::NotSent)
}

/// Whether something accepts connections at an address.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListenerState {
    /// A connection was accepted.
    Open,
    /// The host refused the connection: no process listens there.
    Closed,
    /// No answer: the host or the network may be down.
    Silent,
}

/// Connects to `address` for at most `limit`, and closes the connection at once.
pub async fn probe_listener(address: SocketAddr, limit: Duration) -> ListenerState {
    match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_connected)) => ListenerState::Open,
        Ok(Err(e)) if is_refusal(&e) => ListenerState::Closed,
        Ok(Err(_)) | Err(_) => ListenerState::Silent,
    }
}

fn is_refusal(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
    )
}

/// Error of a call without a complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No connection was made, so no byte of the request was sent.
    NotSent,
    /// The connection was lost; the request may have been processed.
    Unknown,
    /// No complete response arrived in time; the request may have been processed.
    Timeout,
}

impl CallError {
    /// Returns whether the request certainly did not reach the server.
    pub fn is_not_sent(self) -> bool {
        self == Self::NotSent
    }
}

impl Display for CallError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotSent => "no connection",
            Self::Unknown => "connection lost",
            Self::Timeout => "timed out",
        })
    }
}

impl std::error::Error for CallError {}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Returns whether a response with `status` is one: an informational status precedes the response, and the protocol has none from
/// 600 on.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sends a request and waits for the response head.
///
/// # Errors
/// See [`CallError`]; [`CallError::Unknown`] also if its status is none of a response.
pub async fn send(
    client: &HttpClient,
    request: http::Request<Full<Bytes>>,
) -> Result<http::Response<hyper::body::Incoming>, CallError> {
    let response = client.request(request).await.map_err(|e| {
        if e.is_connect() {
            CallError::NotSent
        } else {
            CallError::Unknown
        }
    })?;
    if is_final(response.status()) {
        Ok(response)
    } else {
        Err(CallError::Unknown)
    }
}

/// Limits of a call.
#[derive(Clone, Debug)]
pub struct CallLimits {
    /// Largest body of the response, in bytes.
    pub body_bytes: usize,
    /// Budget of the bodies of all calls that share it.
    pub budget: ByteBudget,
    /// Time from sending to the end of the response.
    pub time: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            body_bytes: MAX_BODY_BYTES,
            // A buffer may have twice the capacity of what was read.
            budget: ByteBudget::new(2 * MAX_BODY_BYTES),
            time: CONNECT_TIMEOUT,
        }
    }
}

/// Sends a request and reads the complete response within `limit`.
///
/// # Errors
/// See [`CallError`].
pub async fn call(
    client: &HttpClient,
    request: http::Request<Full<Bytes>>,
    limit: Duration,
) -> Result<BufferedResponse, CallError> {
    let limits = CallLimits {
        time: limit,
        ..CallLimits::default()
    };
    call_if(client, request, &limits, |_head| true).await
}

/// Like [`call`], for a request whose response can be told by its headers: `belongs` returns whether they are those of a
/// response to it. If not, the connection is not used again.
///
/// # Errors
/// See [`CallError`]; [`CallError::Unknown`] also if the response belongs to something else.
pub async fn call_if(
    client: &HttpClient,
    mut request: http::Request<Full<Bytes>>,
    limits: &CallLimits,
    belongs: impl FnOnce(&HeaderMap) -> bool,
) -> Result<BufferedResponse, CallError> {
    let connection = capture_connection(&mut request);
    let exchange = async {
        let response = send(client, request).await?;
        let (head, mut body) = response.into_parts();
        if !belongs(&head.headers) {
            if let Some(connected) = &*connection.connection_metadata() {
                connected.poison();
            }
            return Err(CallError::Unknown);
        }
        let mut account = limits.budget.account();
        let size = BodySize {
            limit: limits.body_bytes,
            ..BodySize::default()
        };
        let body = bounded_body::read(&mut body, size, &mut account).await;
        let body = body.map_err(|_e| CallError::Unknown)?;
        Ok(BufferedResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    };
    match tokio::time::timeout(limits.time, exchange).await {
        Ok(result) => result,
        Err(_elapsed) => Err(CallError::Timeout),
    }
}

/// Builds a request with a JSON body.
pub fn json_request(method: &http::Method, uri: &str, body: Bytes) -> http::Request<Full<Bytes>> {
    let mut request = http::Request::new(Full::new(body));
    *request.method_mut() = method.clone();
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let json = http::HeaderValue::from_static("application/json");
    request
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    request
}
