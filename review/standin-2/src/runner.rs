//! Stand-in of runners: plain services and model runners that stream events and take orders.

use crate::{
    http::{self, Reply, Request},
    json::{Json, quote},
    store::Store,
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time of an adapter's load.
const LOAD_TIME: Duration = Duration::from_millis(60);

/// Interval of the heartbeats, as `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a runner is.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Id of the runner.
    pub id: String,
    /// Service.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Base model; empty for a plain service.
    pub model: String,
    /// Places for adapters.
    pub places: usize,
    /// Slots.
    pub slots: u32,
    /// Time for each event of a stream, or for a plain request.
    pub step: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Difference between the ids of two events.
    pub id_step: u64,
    /// One in this many answers of a plain service has a wrong byte in the name of its seal's header; 0 for none.
    pub spoils: u64,
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Arrival.
    pub at: Instant,
    /// Id of the request.
    pub id: String,
    /// `Resumes` of the request.
    pub resumes: String,
    /// Event after which the stream goes on.
    pub after: u64,
}

/// An order that arrived.
#[derive(Clone, Debug)]
pub struct Order {
    /// Arrival.
    pub at: Instant,
    /// Holder.
    pub holder: String,
    /// Fencing token.
    pub token: u64,
    /// What was ordered.
    pub what: String,
    /// Status of the answer.
    pub status: u16,
}

/// A running runner.
#[derive(Debug)]
pub struct Runner {
    /// What it is.
    pub kind: Kind,
    /// Address.
    pub address: SocketAddr,
    /// Arrivals of requests that began to run.
    pub runs: Mutex<Vec<Run>>,
    /// Orders.
    pub orders: Mutex<Vec<Order>>,
    adapters: Mutex<BTreeMap<String, (u64, Instant)>>,
    sequence: AtomicU64,
    beat: AtomicU64,
    answers: AtomicU64,
    registered: AtomicBool,
    ended: AtomicBool,
}

impl Runner {
    /// Starts a runner and its heartbeats.
    ///
    /// # Errors
    /// The address is in use.
    pub fn start(kind: Kind, address: SocketAddr, store: &Store) -> std::io::Result<Arc<Self>> {
        let runner = Arc::new(Self {
            kind,
            address,
            runs: Mutex::default(),
            orders: Mutex::default(),
            adapters: Mutex::default(),
            sequence: AtomicU64::new(0),
            beat: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            registered: AtomicBool::new(true),
            ended: AtomicBool::new(false),
        });
        let serving = Arc::clone(&runner);
        http::serve(address, move |request, stream| {
            serving.handle(request, stream)
        })?;
        let (beating, store) = (Arc::clone(&runner), store.clone());
        thread::spawn(move || {
            while beating.registered.load(Ordering::SeqCst) {
                beating.register(&store);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(runner)
    }

    /// Writes its entry.
    pub fn register(&self, store: &Store) {
        let beat = self.beat.fetch_add(1, Ordering::SeqCst);
        let models = if self.kind.model.is_empty() {
            String::new()
        } else {
            format!(",\"models\":{}", self.models())
        };
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"hall\",\"version\":{},\"slots\":{},\"state\":\"ready\",\"coldMs\":0,\"sequence\":{beat},\"born\":1000{models}}}",
            quote(&self.kind.service),
            self.address,
            quote(&self.kind.version),
            self.kind.slots,
        );
        store.put("servers", &self.kind.id, &entry);
    }

    /// Leaves without reporting `draining`: its entry is removed, and it goes on serving.
    pub fn leave(&self, store: &Store) -> Instant {
        self.registered.store(false, Ordering::SeqCst);
        store.remove("servers", &self.kind.id);
        Instant::now()
    }

    /// Ends: connections are closed, whatever they carry, and new ones are closed at once.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Returns the requests that began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the orders that arrived.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().unwrap().clone()
    }

    fn models(&self) -> String {
        let adapters = self.adapters.lock().unwrap();
        let now = Instant::now();
        let held = adapters.iter().filter(|(_, (_, ready))| *ready <= now);
        let held: Vec<String> = held
            .map(|(name, (version, _))| format!("\"{name}@{version}\""))
            .collect();
        format!(
            "[{{\"name\":{},\"version\":1,\"adapters\":[{}]}}]",
            quote(&self.kind.model),
            held.join(",")
        )
    }

    fn report(&self) -> String {
        let now = Instant::now();
        let coming: Vec<String> = self
            .adapters
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, (_, ready))| *ready > now)
            .map(|(name, (version, _))| format!("\"{}/{name}@{version}\"", self.kind.model))
            .collect();
        format!(
            "{{\"stage\":\"unified\",\"models\":{},\"busy\":false,\"sequence\":{},\"coming\":[{}],\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0,\"born\":1000}}",
            self.models(),
            self.sequence.load(Ordering::SeqCst),
            coming.join(","),
        )
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> Reply {
        if self.ended.load(Ordering::SeqCst) {
            return Reply::Close;
        }
        let id = request.header("x-request-id").to_owned();
        let echo = || vec![("X-Request-Id".to_owned(), id.clone())];
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.kind.id {
            return Reply::Full(421, echo(), String::new());
        }
        match request.path.as_str() {
            "/-/report" => {
                return Reply::Full(
                    200,
                    vec![("content-type".into(), "application/json".into())],
                    self.report(),
                );
            }
            "/-/order" => return Reply::Full(self.order(request), Vec::new(), String::new()),
            _ => {}
        }
        if !self.kind.model.is_empty() && !self.holds(request) {
            return Reply::Full(421, echo(), String::new());
        }
        let run = Run {
            at: Instant::now(),
            id: id.clone(),
            resumes: request.header("resumes").to_owned(),
            after: request.header("last-event-id").parse().unwrap_or(0),
        };
        self.runs.lock().unwrap().push(run.clone());
        if self.kind.model.is_empty() {
            thread::sleep(self.kind.step);
            if self.ended.load(Ordering::SeqCst) {
                return Reply::Close;
            }
            let mut headers = echo();
            let count = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            let is_spoiled = self.kind.spoils > 0 && count.is_multiple_of(self.kind.spoils);
            let name = if is_spoiled {
                "X-Response-Scal"
            } else {
                "X-Response-Seal"
            };
            headers.push((name.into(), format!("seal-{id}")));
            return Reply::Full(200, headers, format!("done {id}"));
        }
        Reply::Written(self.stream(stream, &run))
    }

    fn stream(&self, stream: &mut TcpStream, run: &Run) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nX-Request-Id: {}\r\nX-Response-Seal: seal-{}\r\nX-Weight-Versions: 1\r\ntransfer-encoding: chunked\r\n\r\n",
            run.id, run.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for n in run.after / self.kind.id_step + 1..=self.kind.events {
            thread::sleep(self.kind.step);
            if self.ended.load(Ordering::SeqCst) {
                return false;
            }
            let event = format!(
                "id: {}\ndata: event {n} of software {} at {}\n\n",
                n * self.kind.id_step,
                self.kind.version,
                self.kind.id
            );
            if stream
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_err()
            {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Returns whether it holds the model, or the adapter at the wanted version, that a request names.
    fn holds(&self, request: &Request) -> bool {
        let named = request.header("x-model");
        let (model, adapter) = named.split_once('/').unwrap_or((named, ""));
        if model != self.kind.model {
            return false;
        }
        if adapter.is_empty() {
            return true;
        }
        let wanted = request.header("x-expect-version").parse::<u64>().ok();
        let adapters = self.adapters.lock().unwrap();
        let held = adapters
            .get(adapter)
            .filter(|(_, ready)| *ready <= Instant::now());
        held.is_some_and(|(version, _)| wanted.is_none_or(|w| w == *version))
    }

    fn order(&self, request: &Request) -> u16 {
        let body = Json::parse(&request.body).unwrap_or_default();
        let text = |name: &str| body.get(name).str().to_owned();
        let (holder, token) = (text("holder"), body.get("fencingToken").int());
        let what = format!(
            "{} {}/{}",
            text("operation"),
            text("model"),
            text("adapter")
        );
        let status = match token {
            Some(_) if !holder.is_empty() => self.carry_out(&body),
            _ => 400,
        };
        self.orders.lock().unwrap().push(Order {
            at: Instant::now(),
            holder,
            token: token.unwrap_or(0),
            what,
            status,
        });
        status
    }

    fn carry_out(&self, body: &Json) -> u16 {
        let adapter = body.get("adapter").str().to_owned();
        if adapter.is_empty() {
            return 200;
        }
        let now = Instant::now();
        let mut adapters = self.adapters.lock().unwrap();
        let is_load = body.get("operation").str() == "load";
        let version = body.get("version").int().unwrap_or(1);
        let held = adapters.get(&adapter).copied();
        match held {
            Some((v, ready)) if is_load && v == version => {
                return if ready <= now { 200 } else { 202 };
            }
            None if !is_load => return 200,
            _ => {}
        }
        let sequence = self.sequence.load(Ordering::SeqCst);
        if body.get("expected").int().is_some_and(|n| n != sequence) {
            return 409;
        }
        self.sequence.fetch_add(1, Ordering::SeqCst);
        if is_load {
            adapters.insert(adapter, (version, now + LOAD_TIME));
            202
        } else {
            adapters.remove(&adapter);
            200
        }
    }
}
