//! HTTP server for gotham handlers, with its own accept loop and graceful shutdown.

use crate::clock::BootInstant;
use bytes::Bytes;
use gotham::{
    handler::NewHandler,
    helpers::http::Body,
    router::Router,
    service::call_handler,
    state::{State, StateData},
};
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use log::{debug, warn};
use serde::Serialize;
use std::{
    io,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::net::{TcpListener, TcpSocket};
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Timeout for receiving a request head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Send buffer of a connection, in bytes. The kernel's own choice grows to megabytes for a caller that reads slowly, and counts
/// as memory of the process.
const SEND_BUFFER: u32 = 64 << 10;

/// Receive buffer of a connection, in bytes. What waits there to be read counts as memory of the process too.
const RECEIVE_BUFFER: u32 = 64 << 10;

/// Connections that can wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at `address` for callers that may read slowly, or upload at the same time.
///
/// # Errors
/// The address could not be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct ServeOptions {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Timeout for receiving a request head, counted from the end of the previous request.
    pub head_timeout: Duration,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            max_head_bytes: MAX_HEAD_BYTES,
            head_timeout: HEADER_TIMEOUT,
        }
    }
}

/// The connection that a request came on.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionUse {
    /// Number of requests that came on it before.
    pub earlier: u32,
    /// Time at which it was accepted.
    pub opened: BootInstant,
}

impl StateData for ConnectionUse {}

/// Serves `router` until `stop` is cancelled, then lets requests in flight finish.
///
/// # Errors
/// The listener's address could not be read.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    stop: CancellationToken,
) -> io::Result<()> {
    serve_with(listener, router, ServeOptions::default(), stop).await
}

/// Serves `handler` until `stop` is cancelled, then lets requests in flight finish.
///
/// # Errors
/// The listener's address could not be read.
pub async fn serve_with<H>(
    listener: TcpListener,
    handler: H,
    options: ServeOptions,
    stop: CancellationToken,
) -> io::Result<()>
where
    H: NewHandler + 'static,
{
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, peer) = match accepted {
            Ok(pair) => pair,
            Err(e) => {
                warn!("cannot accept a connection on {address}: {e}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            debug!("cannot set TCP_NODELAY: {e}");
        }
        let handler = Arc::clone(&handler);
        let (opened, earlier) = (BootInstant::now(), AtomicU32::new(0));
        let service = service_fn(move |request| {
            let mut state = State::from_request(request, peer);
            state.put(ConnectionUse {
                earlier: earlier.fetch_add(1, Ordering::Relaxed),
                opened,
            });
            call_handler(Arc::clone(&handler), AssertUnwindSafe(state))
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(options.head_timeout)
            .max_buf_size(options.max_head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = watched.await {
                debug!("connection from {peer} failed: {e}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
    Ok(())
}

/// Returns a body with the given data.
pub fn full_body(data: impl Into<Bytes>) -> Body {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns the response of a readiness check.
pub fn readiness_response(ready: bool) -> Response<Body> {
    if ready {
        response(StatusCode::OK, "text/plain", "ready\n")
    } else {
        response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
    }
}

/// Returns a response with the given content type and body.
pub fn response(
    status: StatusCode,
    content: &'static str,
    data: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full_body(data));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content));
    response
}

/// Returns a response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let data = serde_json::to_vec(value).unwrap_or_default();
    response(status, "application/json", data)
}

/// Declares a gotham state type that carries a process's shared context to its handlers.
#[macro_export]
macro_rules! handler_state {
    ($name:ident, $context:ty) => {
        /// The shared context of the process, as gotham state.
        #[derive(Clone, Debug)]
        pub struct $name(pub std::sync::Arc<$context>);

        impl gotham::state::StateData for $name {}
        impl std::panic::RefUnwindSafe for $name {}
        impl std::panic::UnwindSafe for $name {}
    };
}
