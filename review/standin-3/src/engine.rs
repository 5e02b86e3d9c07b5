//! Sound model runner with few places for adapters, whose process can end and start again under the same id.

use crate::Record;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

pub const MODEL: &str = "base";

/// Time that an adapter takes from the store.
const LOAD: Duration = Duration::from_millis(250);

/// Time that the base model takes from the runner's own disk.
const MODEL_LOAD: Duration = Duration::from_millis(840);

/// An order that got no answer, to be carried out later.
#[derive(Clone, Debug)]
struct Late {
    at: Instant,
    adapter: String,
    expected: u64,
}

#[derive(Debug, Default)]
struct State {
    born: u64,
    sequence: u64,
    has_model: bool,
    busy: bool,
    held: BTreeSet<String>,
    coming: BTreeSet<String>,
    running: BTreeMap<String, u32>,
    late: Vec<Late>,
    leaves_unanswered: bool,
    seen: u64,
    excess: Vec<String>,
    stop: CancellationToken,
}

#[derive(Debug)]
pub struct Engine {
    pub id: String,
    address: SocketAddr,
    slots: usize,
    state: Mutex<State>,
    record: Record,
}

impl Engine {
    pub fn new(id: &str, address: SocketAddr, slots: usize, record: Record) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            address,
            slots,
            state: Mutex::default(),
            record,
        })
    }

    /// Starts a process; it holds nothing but the weights if `has_model`, as at the start of the day.
    pub async fn start(self: &Arc<Self>, born: u64, has_model: bool) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let stop = CancellationToken::new();
        {
            let mut state = self.state.lock().unwrap();
            *state = State {
                born,
                has_model,
                late: std::mem::take(&mut state.late),
                excess: std::mem::take(&mut state.excess),
                stop: stop.clone(),
                ..State::default()
            };
        }
        let engine = Arc::clone(self);
        tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (engine, stop) = (Arc::clone(&engine), stop.clone());
                tokio::spawn(stop.run_until_cancelled_owned(async move {
                    let _ = engine.serve(socket).await;
                }));
            }
        }));
        Ok(())
    }

    /// Ends the process.
    pub fn crash(&self) {
        self.state.lock().unwrap().stop.cancel();
    }

    /// Whether every second order to load an adapter gets no answer, and is carried out later.
    pub fn set_unanswered(&self, leaves_unanswered: bool) {
        self.state.lock().unwrap().leaves_unanswered = leaves_unanswered;
    }

    /// Returns the orders to load more adapters than the runner has places for.
    pub fn excess(&self) -> Vec<String> {
        self.state.lock().unwrap().excess.clone()
    }

    /// Returns the number of orders that were accepted by this process.
    pub fn sequence(&self) -> u64 {
        self.state.lock().unwrap().sequence
    }

    /// Carries out the late orders that are between 2 and 12 s old, and those of them whose `expected` is the sequence: it is
    /// checked at that point. `when_full`: at a moment at which all places are taken.
    pub fn carry_out_late(self: &Arc<Self>, when_full: bool) {
        let due = {
            let mut state = self.state.lock().unwrap();
            state
                .late
                .retain(|l| l.at.elapsed() < Duration::from_secs(12));
            let is_full = state.held.len() + state.coming.len() >= self.slots;
            if when_full && !is_full {
                return;
            }
            let sequence = state.sequence;
            let at = state
                .late
                .iter()
                .position(|l| l.at.elapsed() >= Duration::from_secs(2) && l.expected == sequence);
            at.map(|at| state.late.remove(at))
        };
        if let Some(late) = due {
            self.record.line(&format!(
                "{} carries out the order to load {} with expected {}, {} ms late",
                self.id,
                late.adapter,
                late.expected,
                late.at.elapsed().as_millis()
            ));
            self.load(&late.adapter, "late order");
        }
    }

    pub fn registration(&self, beat: u64) -> Value {
        let state = self.state.lock().unwrap();
        json!({
            "service": "engines", "address": self.address.to_string(), "zone": "local", "version": "v1", "slots": 32,
            "state": "ready", "coldMs": 0, "sequence": beat, "born": state.born, "models": models(&state),
        })
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let coming: Vec<String> = state
            .coming
            .iter()
            .map(|a| format!("{MODEL}/{a}@1"))
            .collect();
        json!({
            "stage": "unified", "models": models(&state), "busy": state.busy, "sequence": state.sequence, "waiting": 0,
            "running": 0, "kvUsed": 0, "kvTotal": 100_000, "handles": 0, "coming": coming, "born": state.born,
        })
    }

    fn load(self: &Arc<Self>, adapter: &str, why: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        if state.held.contains(adapter) {
            return 200;
        }
        if state.coming.contains(adapter) {
            return 202;
        }
        if !state.has_model {
            return 400;
        }
        state.sequence += 1;
        if state.held.len() + state.coming.len() >= self.slots {
            let line = format!(
                "{} is ordered to load {adapter} ({why}) while it holds {:?} and loads {:?}, of {} places",
                self.id, state.held, state.coming, self.slots
            );
            self.record.line(&line);
            state.excess.push(line);
            state.stop.cancel();
            return 202;
        }
        state.coming.insert(adapter.to_owned());
        let (engine, adapter, stop) = (Arc::clone(self), adapter.to_owned(), state.stop.clone());
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            tokio::time::sleep(LOAD).await;
            let mut state = engine.state.lock().unwrap();
            state.coming.remove(&adapter);
            state.held.insert(adapter);
        }));
        202
    }

    fn order(self: &Arc<Self>, order: &Value) -> Option<u16> {
        let adapter = order["adapter"].as_str().unwrap_or_default();
        let expected = order["expected"].as_u64();
        {
            let mut state = self.state.lock().unwrap();
            if order["operation"] == "load" && !adapter.is_empty() && state.leaves_unanswered {
                state.seen += 1;
                let is_new = !state.held.contains(adapter) && !state.coming.contains(adapter);
                if state.seen.is_multiple_of(2) && is_new {
                    let late = Late {
                        at: Instant::now(),
                        adapter: adapter.to_owned(),
                        expected: expected.unwrap_or_default(),
                    };
                    self.record.line(&format!("{} leaves the order to load {adapter} with expected {expected:?} unanswered", self.id));
                    state.late.push(late);
                    return None;
                }
            }
            let holds = match (order["operation"].as_str(), adapter) {
                (Some("load"), "") => state.has_model && !state.busy,
                (Some("load"), _) => state.held.contains(adapter),
                _ => false,
            };
            if holds {
                return Some(200);
            }
            if (order["operation"] == "load" && state.coming.contains(adapter))
                || (adapter.is_empty() && state.busy)
            {
                return Some(202);
            }
            if expected.is_some_and(|e| e != state.sequence) {
                return Some(409);
            }
        }
        if order["operation"] == "load" && adapter.is_empty() {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            state.busy = true;
            let (engine, stop) = (Arc::clone(self), state.stop.clone());
            tokio::spawn(stop.run_until_cancelled_owned(async move {
                tokio::time::sleep(MODEL_LOAD).await;
                let mut state = engine.state.lock().unwrap();
                state.busy = false;
                state.has_model = true;
            }));
            return Some(202);
        }
        if order["operation"] == "load" {
            return Some(self.load(adapter, "order"));
        }
        let mut state = self.state.lock().unwrap();
        if state.running.get(adapter).copied().unwrap_or(0) > 0 {
            return Some(409);
        }
        if state.held.remove(adapter) {
            state.sequence += 1;
        }
        Some(200)
    }

    async fn serve(self: &Arc<Self>, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut socket = BufReader::new(socket);
        loop {
            let mut lines = Vec::new();
            loop {
                let mut line = String::new();
                if socket.read_line(&mut line).await? == 0 {
                    return Ok(());
                }
                let line = line.trim_end().to_owned();
                if line.is_empty() {
                    break;
                }
                lines.push(line);
            }
            let header = |name: &str| {
                let mut fields = lines.iter().filter_map(|l| l.split_once(':'));
                fields
                    .find(|(k, _)| k.eq_ignore_ascii_case(name))
                    .map(|(_, v)| v.trim().to_owned())
            };
            let length = header("content-length")
                .and_then(|t| t.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            socket.read_exact(&mut body).await?;
            let path = lines[0].split(' ').nth(1).unwrap_or_default();
            let id = header("x-request-id").unwrap_or_default();
            let (status, text, extra) = if header("x-expect-instance").is_some_and(|i| i != self.id)
            {
                (421, String::new(), String::new())
            } else if path == "/-/report" {
                (200, self.report().to_string(), String::new())
            } else if path == "/-/order" {
                let order: Value = serde_json::from_slice(&body).unwrap_or_default();
                let Some(status) = self.order(&order) else {
                    return Ok(());
                };
                (status, String::new(), String::new())
            } else {
                let model = header("x-model").unwrap_or_default();
                let adapter = model
                    .split_once('/')
                    .map(|(_, a)| a.to_owned())
                    .unwrap_or_default();
                if self.begin(&adapter) {
                    tokio::time::sleep(Duration::from_millis(60)).await;
                    self.end(&adapter);
                    (
                        200,
                        String::from("id: 1\ndata: done\n\n"),
                        format!(
                            "X-Request-Id: {id}\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
                        ),
                    )
                } else {
                    (421, String::new(), format!("X-Request-Id: {id}\r\n"))
                }
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\n{extra}Content-Length: {}\r\n\r\n",
                text.len()
            );
            socket.write_all((head + &text).as_bytes()).await?;
        }
    }

    fn begin(&self, adapter: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let holds = state.held.contains(adapter);
        if holds {
            *state.running.entry(adapter.to_owned()).or_default() += 1;
        }
        holds
    }

    fn end(&self, adapter: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(running) = state.running.get_mut(adapter) {
            *running = running.saturating_sub(1);
        }
    }
}

fn models(state: &State) -> Value {
    let adapters: Vec<String> = state.held.iter().map(|a| format!("{a}@1")).collect();
    if state.has_model {
        json!([{ "name": MODEL, "version": 1, "adapters": adapters }])
    } else {
        json!([])
    }
}
