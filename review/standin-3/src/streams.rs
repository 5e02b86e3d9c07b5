//! Client of resumable streams.

use bytes::Bytes;
use carobfield_platform_standin::deployment::{HOST, MODEL};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Events of each stream.
pub const EVENTS: u64 = 1_500;

/// What a client has received of a stream.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub status: u16,
    pub reason: String,
    pub first: Option<u64>,
    pub last: Option<u64>,
}

/// Returns the text of a stream's request with a body of `length` bytes.
pub fn request(
    id: &str,
    route: &str,
    path: usize,
    usage: &str,
    deadline: u64,
    headers: &str,
    length: usize,
) -> String {
    let body = "p".repeat(length);
    format!(
        "POST /{route}/{path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: {MODEL}\r\nX-Token-Usage: {usage}\r\n\
         X-Prompt-Prefix: 0a{path:02x}:100\r\nX-Deadline-Ms: {deadline}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends a stream's request and reads events until the connection ends, or up to `limit` events.
pub async fn stream(
    entry: SocketAddr,
    id: &str,
    path: usize,
    resumes: Option<(&str, u64)>,
    limit: u64,
) -> Received {
    let mut received = Received::default();
    let Ok(mut socket) = TcpStream::connect(entry).await else {
        received.reason = String::from("not connected");
        return received;
    };
    let resumed = resumes.map_or(String::new(), |(begun, last)| {
        format!("Resumes: {begun}\r\nLast-Event-Id: {last}\r\n")
    });
    let text = request(
        id,
        "long-draft",
        path,
        &format!("100,{EVENTS}"),
        20_000,
        &resumed,
        6,
    );
    if socket.write_all(text.as_bytes()).await.is_err() {
        received.reason = String::from("not sent");
        return received;
    }
    let mut text = String::new();
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = tokio::time::timeout(Duration::from_secs(15), socket.read(&mut buffer)).await;
        let Ok(Ok(n)) = read else { break };
        if n == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&Bytes::copy_from_slice(
            &buffer[..n],
        )));
        if received.status == 0
            && let Some((head, _)) = text.split_once("\r\n\r\n")
        {
            received.status = head
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .unwrap_or(0);
        }
        if received.status != 0 && received.status != 200 {
            if let Some((_, body)) = text.split_once("\r\n\r\n")
                && !body.is_empty()
            {
                received.reason = body.trim().to_owned();
                return received;
            }
            continue;
        }
        // Only complete lines count; the last one is kept.
        let end = text.rfind('\n').map_or(0, |at| at + 1);
        for line in text[..end].lines() {
            if let Some(event) = line.strip_prefix("id:").and_then(|t| t.trim().parse().ok()) {
                received.first.get_or_insert(event);
                received.last = Some(event);
            }
        }
        if received.status == 200 {
            text.drain(..end);
        }
        if received
            .last
            .zip(received.first)
            .is_some_and(|(l, f)| l - f + 1 >= limit)
        {
            break;
        }
    }
    received
}
