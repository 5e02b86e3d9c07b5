//! Streams of bincode messages over HTTP/2 between the system's processes.

use crate::{
    byte_budget::ByteAccount,
    wire::{self, CodecError, LENGTH_BYTES},
};
use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream, client::SendRequest, server::SendResponse};
use http::{Request, Response, StatusCode};
use log::{debug, warn};
use rustix::net::sockopt;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fmt::{Display, Formatter},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Mutex,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Header that carries the key shared by the system's processes.
const KEY_HEADER: &str = "carobfield-key";

/// Timeout of a TCP connect and its HTTP/2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the peer to accept a stream.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `TCP_USER_TIMEOUT`: time without an acknowledgement after which a connection breaks. One that has gone silent looks alive
/// otherwise, while new ones would work.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time after which TCP probes show whether a connection is still alive, and the pause between them.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Largest number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 4_096;

/// Receive window of a stream, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;

/// Receive window of a stream that carries a response of an upstream, in bytes. With hundreds of callers that read slowly, as
/// many windows are full.
const RELAY_WINDOW: u32 = 64 << 10;

/// Receive window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 16 << 20;

/// Largest header list, in bytes.
const MAX_HEADER_BYTES: u32 = 8 << 10;

/// Error of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// No connection, or the peer refused the stream without handling it.
    NotSent,
    /// The stream broke after it was opened; its messages may have been handled.
    Broken,
    /// A message is malformed or too large.
    Malformed,
}

impl Display for LinkError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotSent => "not sent",
            Self::Broken => "stream broken",
            Self::Malformed => "malformed message",
        })
    }
}

impl std::error::Error for LinkError {}

impl From<CodecError> for LinkError {
    fn from(_: CodecError) -> Self {
        Self::Malformed
    }
}

/// Receiving half of a stream.
#[derive(Debug)]
pub struct Receiver {
    stream: RecvStream,
    buffer: BytesMut,
}

impl Receiver {
    fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Receives the next message; `None` if the stream ended between messages.
    ///
    /// # Errors
    /// The stream broke, or a message is malformed.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, LinkError> {
        loop {
            if let Some(message) = wire::decode(&mut self.buffer)? {
                return Ok(Some(message));
            }
            let Some(data) = self.data().await? else {
                return self.end();
            };
            self.buffer.extend_from_slice(&data);
        }
    }

    /// Receives the only message of a stream; `None` also if `account` has no room for it and a copy while it is decoded. Such a
    /// message is discarded as it comes.
    ///
    /// # Errors
    /// Like [`Self::next`].
    pub async fn only_within<T: DeserializeOwned>(
        &mut self,
        account: &mut ByteAccount,
    ) -> Result<Option<T>, LinkError> {
        let mut is_sized = false;
        loop {
            if let Some(message) = wire::decode(&mut self.buffer)? {
                return Ok(Some(message));
            }
            let Some(data) = self.data().await? else {
                return self.end();
            };
            self.buffer.extend_from_slice(&data);
            if let Some(size) = wire::message_size(&self.buffer).filter(|_| !is_sized) {
                is_sized = true;
                if !account.grow(size.saturating_mul(2)) {
                    self.buffer = BytesMut::new();
                    while self.data().await?.is_some() {}
                    return Ok(None);
                }
                let left = (LENGTH_BYTES + size).saturating_sub(self.buffer.len());
                self.buffer.reserve(left);
            }
        }
    }

    /// Receives the next bytes; `None` at the end of the stream.
    async fn data(&mut self) -> Result<Option<Bytes>, LinkError> {
        let Some(data) = self.stream.data().await else {
            return Ok(None);
        };
        let data = data.map_err(|_e| LinkError::Broken)?;
        let flow = self.stream.flow_control();
        flow.release_capacity(data.len())
            .map_err(|_e| LinkError::Broken)?;
        Ok(Some(data))
    }

    fn end<T>(&self) -> Result<Option<T>, LinkError> {
        let is_between = self.buffer.is_empty();
        is_between.then_some(None).ok_or(LinkError::Broken)
    }
}

/// Sending half of a stream.
#[derive(Debug)]
pub struct Sender {
    stream: SendStream<Bytes>,
}

impl Sender {
    /// Sends a message, waiting for flow control, and returns the number of bytes sent.
    ///
    /// # Errors
    /// The stream broke, or the message is too large.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<usize, LinkError> {
        self.send_message(message, false).await
    }

    async fn send_message<T: Serialize>(
        &mut self,
        message: &T,
        last: bool,
    ) -> Result<usize, LinkError> {
        let mut rest = Bytes::from(wire::encode(message)?);
        let bytes = rest.len();
        while !rest.is_empty() {
            self.stream.reserve_capacity(rest.len());
            let capacity = std::future::poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            let capacity = capacity
                .ok_or(LinkError::Broken)?
                .map_err(|_e| LinkError::Broken)?;
            let chunk = rest.split_to(capacity.min(rest.len()));
            self.stream
                .send_data(chunk, last && rest.is_empty())
                .map_err(|_e| LinkError::Broken)?;
        }
        Ok(bytes)
    }

    /// Ends the stream cleanly.
    pub fn finish(mut self) {
        if let Err(e) = self.stream.send_data(Bytes::new(), true) {
            debug!("stream already closed: {e}");
        }
    }

    /// Resolves when the peer resets the stream or the connection closes.
    pub async fn cancelled(&mut self) {
        if let Err(e) = std::future::poll_fn(|cx| self.stream.poll_reset(cx)).await {
            debug!("connection closed: {e}");
        }
    }
}

/// Client connection to one process, established on demand.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    local: IpAddr,
    key: Arc<str>,
    stream_window: u32,
    sender: Mutex<Option<SendRequest<Bytes>>>,
}

impl Link {
    /// Creates a link from the address `local` to `address` without connecting.
    pub fn new(address: SocketAddr, local: IpAddr, key: Arc<str>) -> Self {
        Self {
            address,
            local,
            key,
            stream_window: STREAM_WINDOW,
            sender: Mutex::new(None),
        }
    }

    /// Creates a link for responses of upstreams, of which little is received ahead of the callers.
    pub fn for_relays(address: SocketAddr, local: IpAddr, key: Arc<str>) -> Self {
        Self {
            stream_window: RELAY_WINDOW,
            ..Self::new(address, local, key)
        }
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a stream at `path` and sends `first` as the only message to the server.
    ///
    /// # Errors
    /// [`LinkError::NotSent`] only if the server can't have handled `first`.
    pub async fn open<T: Serialize>(&self, path: &str, first: &T) -> Result<Receiver, LinkError> {
        let (_sender, receiver) = self.open_stream(path, first, true).await?;
        Ok(receiver)
    }

    /// Opens a stream at `path`, sends `first`, and keeps the sending half open.
    ///
    /// # Errors
    /// See [`Link::open`].
    pub async fn open_duplex<T: Serialize>(
        &self,
        path: &str,
        first: &T,
    ) -> Result<(Sender, Receiver), LinkError> {
        self.open_stream(path, first, false).await
    }

    /// Drops the connection, so that the next stream opens a new one. Streams that are open go on.
    pub fn reset(&self) {
        // Whoever has locked it is connecting anew.
        if let Ok(mut cached) = self.sender.try_lock() {
            *cached = None;
        }
    }

    async fn open_stream<T: Serialize>(
        &self,
        path: &str,
        first: &T,
        last: bool,
    ) -> Result<(Sender, Receiver), LinkError> {
        let mut ready = self.ready_connection().await?;
        let request = Request::post(format!("http://{}{path}", self.address))
            .header(KEY_HEADER, &*self.key)
            .body(())
            .map_err(|_e| LinkError::NotSent)?;
        let (response, stream) = ready
            .send_request(request, false)
            .map_err(|_e| LinkError::NotSent)?;
        let mut sender = Sender { stream };
        sender.send_message(first, last).await?;
        let Ok(response) = timeout(ACCEPT_TIMEOUT, response).await else {
            self.reset();
            return Err(LinkError::Broken);
        };
        let response = match response {
            Ok(response) => response,
            Err(e) if e.reason() == Some(h2::Reason::REFUSED_STREAM) => {
                return Err(LinkError::NotSent);
            }
            Err(_broken) => return Err(LinkError::Broken),
        };
        if response.status() != StatusCode::OK {
            return Err(LinkError::NotSent);
        }
        Ok((sender, Receiver::new(response.into_body())))
    }

    async fn ready_connection(&self) -> Result<SendRequest<Bytes>, LinkError> {
        let mut cached = self.sender.lock().await;
        if let Some(sender) = cached.clone()
            && let Ok(ready) = sender.ready().await
        {
            return Ok(ready);
        }
        *cached = None;
        let connected = timeout(CONNECT_TIMEOUT, self.connect()).await;
        let sender = connected.map_err(|_e| LinkError::NotSent)??;
        let ready = sender.ready().await.map_err(|_e| LinkError::NotSent)?;
        *cached = Some(ready.clone());
        Ok(ready)
    }

    async fn connect(&self) -> Result<SendRequest<Bytes>, LinkError> {
        let address = self.address;
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.map_err(|_e| LinkError::NotSent)?;
        socket
            .bind(SocketAddr::new(self.local, 0))
            .map_err(|_e| LinkError::NotSent)?;
        let stream = socket
            .connect(address)
            .await
            .map_err(|_e| LinkError::NotSent)?;
        set_options(&stream).map_err(|_e| LinkError::NotSent)?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(self.stream_window)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .handshake(stream)
            .await
            .map_err(|_e| LinkError::NotSent)?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                debug!("connection to {address} closed: {e}");
            }
        });
        Ok(sender)
    }
}

/// Sets the options of a connection on either side.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT.as_millis() as u32)?;
    Ok(())
}

/// A stream that a client opened.
#[derive(Debug)]
pub struct IncomingStream {
    /// Path that the client requested.
    pub path: String,
    /// Messages from the client.
    pub receiver: Receiver,
    respond: SendResponse<Bytes>,
}

impl IncomingStream {
    /// Accepts the stream.
    ///
    /// # Errors
    /// The client closed the stream.
    pub fn accept(mut self) -> Result<(Sender, Receiver), LinkError> {
        let response = Response::new(());
        let stream = self
            .respond
            .send_response(response, false)
            .map_err(|_e| LinkError::Broken)?;
        Ok((Sender { stream }, self.receiver))
    }

    /// Refuses the stream; the client can rely on it not having been handled.
    pub fn refuse(mut self) {
        self.respond.send_reset(h2::Reason::REFUSED_STREAM);
    }
}

/// Serves streams until `stop` is cancelled, then lets open streams finish.
///
/// # Errors
/// The listener's address could not be read.
pub async fn serve<H, F>(
    listener: TcpListener,
    key: Arc<str>,
    stop: CancellationToken,
    handler: H,
) -> std::io::Result<()>
where
    H: Clone + Fn(IncomingStream) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let address = listener.local_addr()?;
    let tracker = tokio_util::task::TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let (key, stop, handler) = (Arc::clone(&key), stop.clone(), handler.clone());
                tracker.spawn(serve_connection(stream, key, stop, handler));
            }
            Err(e) => {
                warn!("cannot accept a connection on {address}: {e}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    // Closing the listener makes new connections fail at once instead of waiting in the accept queue.
    drop(listener);
    tracker.close();
    tracker.wait().await;
    Ok(())
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    key: Arc<str>,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(IncomingStream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    if let Err(e) = set_options(&stream) {
        debug!("cannot set the options of a connection: {e}");
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake::<_, Bytes>(stream);
    let Ok(Ok(mut connection)) = timeout(CONNECT_TIMEOUT, handshake).await else {
        return;
    };
    let mut stopping = false;
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled(), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
                continue;
            }
            accepted = connection.accept() => accepted,
        };
        let Some(Ok((request, mut respond))) = accepted else {
            return;
        };
        if !has_key(&request, &key) {
            warn!("refused a stream without the shared key");
            respond.send_reset(h2::Reason::REFUSED_STREAM);
            continue;
        }
        let path = request.uri().path().to_owned();
        let receiver = Receiver::new(request.into_body());
        tokio::spawn(handler(IncomingStream {
            path,
            receiver,
            respond,
        }));
    }
}

/// Compares the shared key without stopping at the first difference, so that timing does not reveal it.
fn has_key(request: &Request<RecvStream>, key: &str) -> bool {
    let given = request
        .headers()
        .get(KEY_HEADER)
        .map_or(&b""[..], |v| v.as_bytes());
    let differing = given
        .iter()
        .zip(key.as_bytes())
        .fold(0, |d, (a, b)| d | (a ^ b));
    given.len() == key.len() && differing == 0
}
