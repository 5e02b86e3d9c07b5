//! A small HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query.
    pub query: String,
    /// Headers; names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
    /// Address of the caller.
    pub peer: Option<IpAddr>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers
        .iter()
        .find(|(n, _)| n == name)
        .map_or("", |(_, v)| v)
}

impl Request {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query, or an empty text.
    pub fn param(&self, name: &str) -> &str {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
    }
}

/// What a handler writes.
pub enum Reply {
    /// Status, headers and body with a length.
    Full(u16, Vec<(String, String)>, String),
    /// The connection is closed without an answer.
    Close,
    /// The handler has written to the stream itself; whether the connection is kept.
    Written(bool),
}

/// Serves requests on `address`, one thread for each connection.
///
/// # Errors
/// The address is in use.
pub fn serve<H>(address: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(&Request, &mut TcpStream) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || connection(stream, &*handler));
        }
    });
    Ok(())
}

fn connection(mut stream: TcpStream, handler: &dyn Fn(&Request, &mut TcpStream) -> Reply) {
    let _nodelay = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_request(&mut reader, stream.peer_addr().ok().map(|a| a.ip())) {
        match handler(&request, &mut stream) {
            Reply::Full(status, headers, body) => {
                let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
                for (name, value) in headers {
                    head += &format!("{name}: {value}\r\n");
                }
                if stream
                    .write_all((head + "\r\n" + &body).as_bytes())
                    .is_err()
                {
                    return;
                }
            }
            Reply::Written(true) => {}
            Reply::Close | Reply::Written(false) => {
                let _closed = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let n = reader.read_line(&mut line).ok()?;
    (n > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_request(reader: &mut impl BufRead, peer: Option<IpAddr>) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding") == "chunked" {
        while let Some(chunk) = read_chunk(reader) {
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else {
        body = vec![0; find(&headers, "content-length").parse().unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
        peer,
    })
}

fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let size = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk).ok()?;
    read_line(reader);
    Some(chunk)
}

/// What a client has received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// Headers; names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body as far as it came.
    pub body: String,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl Response {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// Sends a request on a new connection and reads the response for at most `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Response {
    let mut received = Response::default();
    let _end = exchange(address, method, target, headers, body, limit, &mut received);
    received
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
    received: &mut Response,
) -> Option<()> {
    let until = Instant::now() + limit;
    let mut stream =
        TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).ok()?;
    stream
        .set_read_timeout(Some(
            until
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1)),
        ))
        .ok()?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    received.headers = read_headers(&mut reader)?;
    received.status = status;
    if received.header("transfer-encoding") == "chunked" {
        loop {
            if Instant::now() > until {
                return None;
            }
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            received.body += &String::from_utf8_lossy(&chunk);
        }
    } else {
        let mut data = vec![0; received.header("content-length").parse().unwrap_or(0)];
        reader.read_exact(&mut data).ok()?;
        received.body = String::from_utf8_lossy(&data).into_owned();
    }
    received.complete = true;
    Some(())
}
