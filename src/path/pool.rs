//! Pool of connections to upstreams. A connection is reused only after its last response was read to the end.

use crate::{
    clock::BootInstant,
    edge::registration::Registration,
    holding::lock,
    http_client::{self, Connector, ListenerState, MAX_HEAD_BYTES},
    ident::UpstreamId,
    metrics,
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body::Body;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use log::debug;
use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Idle time of a connection when the upstream sends no `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(900);

/// Fraction of the upstream's keep-alive timeout for which a connection is kept, so that none is reused while the
/// upstream closes it.
const KEEP_ALIVE_FACTOR: f64 = 0.7;

/// `TCP_USER_TIMEOUT` of connections to upstreams. A sound upstream may be silent for 1.5 s; the retransmission that follows
/// may come up to 3 s after the first transmission, as the intervals double.
const USER_TIMEOUT: Duration = Duration::from_millis(3_200);

/// Largest number of idle connections per upstream; an upstream limits its connections across all entries.
const MAX_IDLE: usize = 24;

/// Largest body after which a connection is kept, in bytes; an upstream takes as much while it is silent. What it has no
/// room for waits in the kernel, whose `TCP_USER_TIMEOUT` counts over all such waits of one connection, sound ones too.
const MAX_KEPT_BODY: u64 = 64 << 10;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    expires: BootInstant,
}

/// A connection in use; closed on drop.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    upstream: UpstreamId,
    /// Whether it carried a request before.
    reused: bool,
    /// Whether it carried a body after which it isn't kept.
    large: bool,
}

/// Reason why no response head was received.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be made, or none accepted the request.
    NotSent,
    /// The connection broke after the request was sent; it may have run. Whether something listens at the upstream's
    /// address, where another entry has checked that.
    Broken(Option<ListenerState>),
}

/// Reason why no response head was received on an idle connection.
#[derive(Debug)]
pub enum IdleError {
    /// There is none that accepted the request.
    NoConnection(Box<Request<Full<Bytes>>>),
    /// The connection broke after the request was sent; it may have run.
    Broken,
}

/// Idle connections, keyed by upstream.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<UpstreamId, Vec<IdleConnection>>>,
    connector: Connector,
}

impl Pool {
    /// Creates a pool whose connections originate from the address `local`.
    pub fn new(local: IpAddr) -> Self {
        Self {
            idle: Mutex::default(),
            connector: http_client::connector(Some(local), USER_TIMEOUT),
        }
    }

    /// Sends `request` to `upstream` on an idle connection.
    ///
    /// # Errors
    /// The connection broke, or there is none; the request is returned then.
    pub async fn send_on_idle(
        &self,
        upstream: &UpstreamId,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), IdleError> {
        while let Some(mut connection) = self.take_idle(upstream) {
            connection.large = is_large(&request);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut e) => match e.take_message() {
                    // The upstream closed the connection before the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(IdleError::Broken),
                },
            }
        }
        Err(IdleError::NoConnection(Box::new(request)))
    }

    fn take_idle(&self, upstream: &UpstreamId) -> Option<Connection> {
        let now = BootInstant::now();
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(upstream)?;
        kept.retain(|c| now < c.expires && !c.sender.is_closed());
        let position = kept.iter().rposition(|c| c.sender.is_ready())?;
        let sender = kept.remove(position).sender;
        Some(Connection {
            sender,
            upstream: Arc::clone(upstream),
            reused: true,
            large: false,
        })
    }

    /// Makes a new connection to `upstream`.
    ///
    /// # Errors
    /// [`SendError::NotSent`].
    pub async fn connect(&self, upstream: &Registration) -> Result<Connection, SendError> {
        let stream = http_client::connect(&self.connector, upstream.address).await;
        let Ok(stream) = stream else {
            return Err(SendError::NotSent);
        };
        let handshake = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(stream)
            .await;
        let Ok((sender, driver)) = handshake else {
            return Err(SendError::NotSent);
        };
        metrics::upstream_connection(&upstream.service);
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                debug!("connection to an upstream failed: {e}");
            }
        });
        Ok(Connection {
            sender,
            upstream: Arc::clone(&upstream.id),
            reused: false,
            large: false,
        })
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn release(&self, connection: Connection, keep_alive: Option<Duration>) {
        let Some(keep_alive) = keep_alive.filter(|_| !connection.large) else {
            return;
        };
        let mut idle = lock(&self.idle);
        let kept = idle.entry(connection.upstream).or_default();
        if kept.len() >= MAX_IDLE {
            return;
        }
        kept.push(IdleConnection {
            sender: connection.sender,
            expires: BootInstant::now() + keep_alive,
        });
    }

    /// Returns the upstreams that idle connections lead to.
    pub fn idle_upstreams(&self) -> Vec<UpstreamId> {
        let idle = lock(&self.idle);
        let used = idle.iter().filter(|(_, kept)| !kept.is_empty());
        used.map(|(id, _)| Arc::clone(id)).collect()
    }

    /// Closes the idle connections of an upstream.
    pub fn close_idle(&self, upstream: &str) {
        lock(&self.idle).remove(upstream);
    }
}

impl Connection {
    /// Sends `request`.
    ///
    /// # Errors
    /// See [`SendError`].
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Self), SendError> {
        self.large = is_large(&request);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self)),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                debug!("request to {} failed: {}", self.upstream, e.into_error());
                Err(if unsent {
                    SendError::NotSent
                } else {
                    SendError::Broken(None)
                })
            }
        }
    }

    /// Returns whether it carried a request before this one.
    pub fn is_reused(&self) -> bool {
        self.reused
    }
}

fn is_large(request: &Request<Full<Bytes>>) -> bool {
    request.body().size_hint().lower() > MAX_KEPT_BODY
}

/// Returns how long a connection may stay idle after a response with these headers; `None` if it must be closed.
pub fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let connection = headers.get(http::header::CONNECTION);
    let closes = connection.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if closes {
        return None;
    }
    let header = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = header.and_then(|text| {
        let mut parts = text.split(',').map(str::trim);
        parts.find_map(|p| p.strip_prefix("timeout=")?.parse::<f64>().ok())
    });
    let keep_alive = seconds.and_then(|s| Duration::try_from_secs_f64(s * KEEP_ALIVE_FACTOR).ok());
    Some(keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE))
}
