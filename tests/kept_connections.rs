//! Connections to upstreams on which bytes wait that belong to no request.

use bytes::Bytes;
use carobfield::{
    edge::registration::{Phase, Registration},
    http_client,
    path::pool::{IdleError, Pool},
};
use http::{Method, Request};
use http_body_util::Full;
use std::{
    io::{BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[tokio::test(flavor = "current_thread")]
        async fn $name() { case::$name().await; })*
    };
}

cases! {
    a_waiting_refusal_is_read_as_the_response_to_the_next_request,
    a_waiting_refusal_is_read_as_the_response_to_the_next_order,
    a_connection_closed_meanwhile_loses_the_next_request,
}

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

const REFUSAL: &[u8] = b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";

/// Time by which bytes sent over loopback have arrived, and a connection's task has gone idle.
const ARRIVED: Duration = Duration::from_millis(50);

/// What a server does with its first connection between two requests.
#[derive(Clone, Copy, Debug)]
enum Between {
    Refuse,
    Close,
}

/// Server of two connections.
struct Server {
    address: SocketAddr,
    next: mpsc::Sender<()>,
}

impl Server {
    fn start(between: Between) -> Self {
        let listener = TcpListener::bind((LOCAL, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (next, wait) = mpsc::channel();
        thread::spawn(move || {
            let mut first = accept(&listener);
            respond(&mut first);
            wait.recv().expect("the test goes on");
            match between {
                Between::Refuse => first.write_all(REFUSAL),
                Between::Close => first.shutdown(Shutdown::Both),
            }
            .expect("an open connection");
            respond(&mut accept(&listener));
        });
        Self { address, next }
    }

    /// Lets the server go on; the runtime is blocked until what it does has arrived, and does not learn of it before the next
    /// request is sent.
    fn go_on(&self) {
        self.next.send(()).expect("a running server");
        thread::sleep(ARRIVED);
    }

    fn registration(&self) -> Registration {
        Registration {
            id: Arc::from("i-1"),
            service: Arc::from("plain"),
            address: self.address,
            data_centre: Arc::from("local"),
            slots: 1,
            phase: Phase::Serving,
            born: None,
            beat: 0,
            software: None,
            models: Vec::new(),
        }
    }
}

fn accept(listener: &TcpListener) -> TcpStream {
    listener.accept().expect("a connection").0
}

/// Reads a request without a body and responds to it.
fn respond(stream: &mut TcpStream) {
    let reader = BufReader::new(stream.try_clone().expect("an open connection"));
    let mut lines = reader.lines().map_while(Result::ok);
    assert!(lines.any(|line| line.is_empty()), "a whole head");
    stream.write_all(RESPONSE).expect("an open connection");
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::default())
}

/// Sends a request through a pool, and another on the connection that it leaves, after the server has gone on; returns the
/// status of the second.
async fn reuse(server: &Server) -> Result<u16, IdleError> {
    let (pool, upstream) = (Pool::new(LOCAL), server.registration());
    let connection = pool.connect(&upstream).await.expect("a connection");
    let (response, connection) = connection.send(request()).await.expect("a response");
    assert_eq!(response.status(), 200);
    drop(response);
    pool.release(connection, Some(Duration::from_secs(9)));
    tokio::time::sleep(ARRIVED).await;
    server.go_on();
    let sent = pool.send_on_idle(&upstream.id, request()).await;
    sent.map(|(response, _connection)| response.status().as_u16())
}

mod case {
    use super::{ARRIVED, Between, Bytes, Duration, IdleError, Method, Server, http_client, reuse};

    pub(super) async fn a_waiting_refusal_is_read_as_the_response_to_the_next_request() {
        let server = Server::start(Between::Refuse);
        let sent = reuse(&server).await;
        assert!(matches!(sent, Err(IdleError::NoConnection(_))), "{sent:?}");
    }

    pub(super) async fn a_connection_closed_meanwhile_loses_the_next_request() {
        let server = Server::start(Between::Close);
        let sent = reuse(&server).await;
        assert!(matches!(sent, Err(IdleError::NoConnection(_))), "{sent:?}");
    }

    pub(super) async fn a_waiting_refusal_is_read_as_the_response_to_the_next_order() {
        let server = Server::start(Between::Refuse);
        let client = http_client::build();
        let uri = format!("http://{}/order", server.address);
        let send = || {
            let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
            http_client::call(&client, request, Duration::from_secs(2))
        };
        assert_eq!(send().await.map(|r| r.status), Ok(200));
        tokio::time::sleep(ARRIVED).await;
        server.go_on();
        assert_eq!(send().await.map(|r| r.status), Ok(200));
    }
}
