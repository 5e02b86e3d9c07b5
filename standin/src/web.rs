//! Minimal HTTP server for the stand-ins that can drop all its connections at once.

use bytes::Bytes;
use carobfield::http_client::MAX_BODY_BYTES;
use futures_util::future::BoxFuture;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::{
    fmt::{Display, Formatter},
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// Listen backlog: connections that can wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Attempts to bind an address that a previous listener has not freed yet.
const MAX_BIND_ATTEMPTS: u32 = 50;

/// Delay between attempts to bind, and after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Body of a stand-in's response.
pub type WebBody = UnsyncBoxBody<Bytes, ConnectionDropped>;

/// Error that makes the server drop the connection instead of sending the rest of the response.
#[derive(Debug)]
pub struct ConnectionDropped;

impl Display for ConnectionDropped {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection dropped by the stand-in")
    }
}

impl std::error::Error for ConnectionDropped {}

/// Request with its complete body.
#[derive(Debug)]
pub struct WebRequest {
    /// Method.
    pub method: Method,
    /// Path of the URI, without the query.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// IP address of the caller.
    pub peer: IpAddr,
}

impl WebRequest {
    /// Returns the value of a query parameter.
    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == name).map(|(_, v)| v)
    }

    /// Returns the number in a query parameter, or 0 if it is absent or not a number.
    pub fn number(&self, name: &str) -> u64 {
        self.param(name).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Returns the number in a header.
    pub fn header_number(&self, name: &str) -> Option<u64> {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok())
    }

    /// Returns the text of a header, or an empty string if there is none.
    pub fn header_text(&self, name: &str) -> String {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("").to_owned()
    }
}

/// Response of a stand-in, or a dropped connection.
pub type WebResult = Result<Response<WebBody>, ConnectionDropped>;

/// Request handler of a stand-in.
pub type WebHandler = Arc<dyn Fn(WebRequest) -> BoxFuture<'static, WebResult> + Send + Sync>;

/// Builds a response with a body of the given content type.
pub fn text(
    status: StatusCode,
    content_type: &'static str,
    data: impl Into<Bytes>,
) -> Response<WebBody> {
    let body = Full::new(data.into())
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    response
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<WebBody> {
    text(
        status,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// Builds a response with an empty body.
pub fn empty(status: StatusCode) -> Response<WebBody> {
    text(status, "text/plain", Bytes::new())
}

/// Binds a listener, retrying while a previous one still holds the address.
///
/// # Errors
/// The address was still in use after the last attempt.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    bind_with(address, ListenOptions::default()).await
}

/// Options of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenOptions {
    /// Connections that can wait to be accepted.
    pub backlog: u32,
    /// Receive buffer of each connection, in bytes; `None` for that of the system.
    pub receive_buffer: Option<u32>,
    /// Send buffer of each connection, in bytes; `None` for that of the system.
    pub send_buffer: Option<u32>,
}

impl Default for ListenOptions {
    fn default() -> Self {
        Self {
            backlog: BACKLOG,
            receive_buffer: None,
            send_buffer: None,
        }
    }
}

/// Like [`bind`], with `options`.
///
/// # Errors
/// The address was still in use after the last attempt.
pub async fn bind_with(address: SocketAddr, options: ListenOptions) -> io::Result<TcpListener> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        if let Some(bytes) = options.receive_buffer {
            socket.set_recv_buffer_size(bytes)?;
        }
        if let Some(bytes) = options.send_buffer {
            socket.set_send_buffer_size(bytes)?;
        }
        let bound = socket.bind(address);
        match bound.and_then(|()| socket.listen(options.backlog)) {
            Ok(listener) => return Ok(listener),
            Err(e) if attempts >= MAX_BIND_ATTEMPTS => return Err(e),
            Err(_in_use) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Serves until `stop` is cancelled, then drops every connection at once.
pub async fn serve(listener: TcpListener, handler: WebHandler, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next(), if !connections.is_empty() => continue,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let _best_effort = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let service =
                service_fn(move |request| handle(Arc::clone(&handler), request, peer.ip()));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = connection.await {
                log::debug!("connection failed: {e}");
            }
        });
    }
    drop(listener);
    connections.shutdown().await;
}

async fn handle(handler: WebHandler, request: Request<Incoming>, peer: IpAddr) -> WebResult {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|_e| ConnectionDropped)?;
    let request = WebRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
        peer,
    };
    handler(request).await
}
