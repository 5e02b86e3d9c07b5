//! Connections to upstreams, kept for the next request where the last answer ended whole.

use crate::{
    clock::BootInstant,
    edge::registration::Registration,
    holding::lock,
    http_client::{self, Connector},
    ident::UpstreamId,
    metrics,
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use log::debug;
use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Time for which a connection is kept where the upstream does not say how long it keeps it.
const DEFAULT_KEEP: Duration = Duration::from_millis(900);

/// Part of the upstream's own time for which a connection is kept, so that none is used as it is closed.
const KEEP_SHARE: f64 = 0.7;

/// Idle connections kept for one upstream; it takes a limited number from all entries together.
const MAX_IDLE: usize = 24;

/// A connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    until: BootInstant,
}

/// A connection in use; dropped, it is closed.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    upstream: UpstreamId,
    /// Whether it carried a request before.
    reused: bool,
}

/// Why a request got no answer's head.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be made, or none took the request.
    NotSent,
    /// It may have run.
    Broken,
}

/// Idle connections by upstream.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<UpstreamId, Vec<Idle>>>,
    connector: Connector,
}

impl Pool {
    /// A pool whose connections come from the address `local`.
    pub fn new(local: IpAddr) -> Self {
        Self {
            idle: Mutex::default(),
            connector: http_client::connector(Some(local)),
        }
    }

    /// Sends `request` to `upstream` on a kept connection, or on a new one.
    ///
    /// # Errors
    /// See [`SendError`].
    pub async fn send(
        &self,
        upstream: &Registration,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        while let Some(mut connection) = self.take(&upstream.id) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut e) => match e.take_message() {
                    // The upstream closed the connection before it was used.
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Broken),
                },
            }
        }
        let mut connection = self.connect(upstream).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                debug!("request to {}: {}", upstream.id, e.into_error());
                Err(if unsent {
                    SendError::NotSent
                } else {
                    SendError::Broken
                })
            }
        }
    }

    fn take(&self, upstream: &UpstreamId) -> Option<Connection> {
        let now = BootInstant::now();
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(upstream)?;
        kept.retain(|c| now < c.until && !c.sender.is_closed());
        let position = kept.iter().rposition(|c| c.sender.is_ready())?;
        let sender = kept.remove(position).sender;
        Some(Connection {
            sender,
            upstream: Arc::clone(upstream),
            reused: true,
        })
    }

    async fn connect(&self, upstream: &Registration) -> Result<Connection, SendError> {
        let stream = http_client::connect(&self.connector, upstream.address).await;
        let Ok(stream) = stream else {
            return Err(SendError::NotSent);
        };
        let handshake = hyper::client::conn::http1::Builder::new()
            .handshake(stream)
            .await;
        let Ok((sender, driver)) = handshake else {
            return Err(SendError::NotSent);
        };
        metrics::upstream_connection(&upstream.service);
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                debug!("connection to an upstream: {e}");
            }
        });
        Ok(Connection {
            sender,
            upstream: Arc::clone(&upstream.id),
            reused: false,
        })
    }

    /// Keeps a connection whose last answer ended whole.
    pub fn give_back(&self, connection: Connection, keep: Option<Duration>) {
        let Some(keep) = keep else {
            return;
        };
        let mut idle = lock(&self.idle);
        let kept = idle.entry(connection.upstream).or_default();
        if kept.len() >= MAX_IDLE {
            return;
        }
        kept.push(Idle {
            sender: connection.sender,
            until: BootInstant::now() + keep,
        });
    }

    /// Closes the idle connections of an upstream that is gone.
    pub fn forget(&self, upstream: &str) {
        lock(&self.idle).remove(upstream);
    }
}

impl Connection {
    /// Whether it carried a request before this one.
    pub fn is_reused(&self) -> bool {
        self.reused
    }
}

/// How long a connection may be kept after an answer with these headers; `None` if not at all.
pub fn keep_time(headers: &HeaderMap) -> Option<Duration> {
    let connection = headers.get(http::header::CONNECTION);
    let closes = connection.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if closes {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = stated.and_then(|text| {
        let mut parts = text.split(',').map(str::trim);
        parts.find_map(|p| p.strip_prefix("timeout=")?.parse::<f64>().ok())
    });
    let keep = seconds.and_then(|s| Duration::try_from_secs_f64(s * KEEP_SHARE).ok());
    Some(keep.unwrap_or(DEFAULT_KEEP))
}
