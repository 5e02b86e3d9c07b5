//! Serves a gotham router on our own accept loop, with a graceful shutdown.

use bytes::Bytes;
use gotham::{
    handler::NewHandler,
    helpers::http::Body,
    router::Router,
    service::call_handler,
    state::{FromState, State},
};
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use log::{debug, warn};
use serde::Serialize;
use std::{io, panic::AssertUnwindSafe, sync::Arc, time::Duration};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Longest time for a caller to send its request's head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct ServeOptions {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Longest time for a caller to send its request's head, from the end of the request before.
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

/// Serves `router` until `stop`, then lets open requests finish.
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

/// Serves `handler` until `stop`, then lets open requests finish.
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
                warn!("accept on {address}: {e}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            debug!("set_nodelay: {e}");
        }
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| {
            let state = State::from_request(request, peer);
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
                debug!("connection from {peer}: {e}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
    Ok(())
}

/// A request body was too large or broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// More bytes than allowed.
    TooLarge,
    /// The caller went away.
    Broken,
}

/// Reads the whole request body, at most `limit` bytes.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_body(state: &mut State, limit: usize) -> Result<Bytes, BodyError> {
    let body = Body::take_from(state);
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_broken) => Err(BodyError::Broken),
    }
}

/// A body held whole.
pub fn full_body(data: impl Into<Bytes>) -> Body {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Answer of a readiness page.
pub fn readiness_response(ready: bool) -> Response<Body> {
    if ready {
        response(StatusCode::OK, "text/plain", "ready\n")
    } else {
        response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
    }
}

/// An answer with a content type.
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

/// An answer with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let data = serde_json::to_vec(value).unwrap_or_default();
    response(status, "application/json", data)
}

/// Declares gotham state that carries a process's shared context to its handlers.
#[macro_export]
macro_rules! handler_state {
    ($name:ident, $context:ty) => {
        /// The shared context, as gotham hands it to handlers.
        #[derive(Clone, Debug)]
        pub struct $name(pub std::sync::Arc<$context>);

        impl gotham::state::StateData for $name {}
        impl std::panic::RefUnwindSafe for $name {}
        impl std::panic::UnwindSafe for $name {}
    };
}
