//! A small HTTP server for stand-ins, whose connections can be cut at once.

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

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Tries to bind an address that an earlier listener has not freed yet.
const BIND_TRIES: u32 = 50;

/// Wait between them.
const BIND_DELAY: Duration = Duration::from_millis(100);

/// Body of a stand-in's answer.
pub type WebBody = UnsyncBoxBody<Bytes, ConnectionDropped>;

/// The connection is cut instead of an answer.
#[derive(Debug)]
pub struct ConnectionDropped;

impl Display for ConnectionDropped {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is lost on purpose")
    }
}

impl std::error::Error for ConnectionDropped {}

/// A request with its whole body.
#[derive(Debug)]
pub struct WebRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Who asks.
    pub peer: IpAddr,
}

impl WebRequest {
    /// Value of a query parameter.
    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == name).map(|(_, v)| v)
    }

    /// Number in a query parameter, or 0.
    pub fn number(&self, name: &str) -> u64 {
        self.param(name).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Number in a header.
    pub fn header_number(&self, name: &str) -> Option<u64> {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok())
    }

    /// Text of a header, empty if there is none.
    pub fn header_text(&self, name: &str) -> String {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("").to_owned()
    }
}

/// A stand-in's answer.
pub type WebResult = Result<Response<WebBody>, ConnectionDropped>;

/// What a stand-in does with requests.
pub type WebHandler = Arc<dyn Fn(WebRequest) -> BoxFuture<'static, WebResult> + Send + Sync>;

/// An answer with text.
pub fn text(
    status: StatusCode,
    content: &'static str,
    data: impl Into<Bytes>,
) -> Response<WebBody> {
    let body = Full::new(data.into())
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, http::HeaderValue::from_static(content));
    response
}

/// An answer with JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<WebBody> {
    text(
        status,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<WebBody> {
    text(status, "text/plain", Bytes::new())
}

/// Binds a listener, waiting for an earlier one to end.
///
/// # Errors
/// The address stayed taken.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        tries += 1;
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        match socket.bind(address).and_then(|()| socket.listen(BACKLOG)) {
            Ok(listener) => return Ok(listener),
            Err(e) if tries >= BIND_TRIES => return Err(e),
            Err(_taken) => tokio::time::sleep(BIND_DELAY).await,
        }
    }
}

/// Serves until `cut`, then drops every connection at once.
pub async fn serve(listener: TcpListener, handler: WebHandler, cut: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = cut.cancelled() => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next(), if !connections.is_empty() => continue,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(BIND_DELAY).await;
            continue;
        };
        let _best_effort = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let service =
                service_fn(move |request| answer(Arc::clone(&handler), request, peer.ip()));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = connection.await {
                log::debug!("connection: {e}");
            }
        });
    }
    drop(listener);
    connections.shutdown().await;
}

async fn answer(handler: WebHandler, request: Request<Incoming>, peer: IpAddr) -> WebResult {
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
