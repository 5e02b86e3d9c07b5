//! Parts that the scripts of the review share: settings and processes of entries, callers, and the record of a run.

use carobfield::http_client::HttpClient;
use carobfield_platform_standin::{
    caller::{self, TestRequest, TestResponse},
    objects::{Backup, ObjectStore},
    runner::Runner,
};
use serde_json::{Value, json};
use std::{
    collections::VecDeque,
    fs::File,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Exit code: the rule held.
pub const HELD: i32 = 0;
/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the case could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|v| v == "0")
}

/// A block of loopback addresses that nobody uses: 127.x.y.0/24.
#[derive(Clone, Copy, Debug)]
pub struct Block(u8, u8);

impl Block {
    /// Finds a block whose addresses can be bound at the ports that a deployment uses.
    pub fn find() -> Option<Self> {
        for _ in 0..50 {
            let block = Self(rand::random_range(100..250), rand::random_range(1..250));
            let hosts = [1, 10, 11, 12, 13, 14, 100, 101, 102, 103, 200, 201];
            let ports = [7000, 8441, 8443, 8444, 8449, 9000, 9464];
            let is_free = hosts.iter().all(|h| {
                ports
                    .iter()
                    .all(|p| TcpListener::bind(block.address(*h, *p)).is_ok())
            });
            if is_free {
                return Some(block);
            }
        }
        None
    }

    /// Returns an address of the block.
    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host)), port)
    }
}

/// The record of a run: each line has the time since the start.
#[derive(Clone, Debug)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record file that the command line names.
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::args()
            .nth(1)
            .unwrap_or_else(|| String::from("record.txt"));
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            started: Instant::now(),
            file,
        })
    }

    /// Adds a line, which is printed too.
    pub fn note(&self, text: &str) {
        println!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        self.line(text);
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line with the time of the event.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ignored = writeln!(file, "{seconds:8.3} {text}");
        }
    }
}

/// A folder that is removed at the end, with the settings and the output of the processes.
#[derive(Debug)]
pub struct TempDir(pub PathBuf);

impl TempDir {
    /// Creates the folder.
    pub fn create() -> std::io::Result<Self> {
        let name = format!(
            "carobfield-review-{}-{:08x}",
            std::process::id(),
            rand::random::<u32>()
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _gone = std::fs::remove_dir_all(&self.0);
        } else {
            println!("logs in {}", self.0.display());
        }
    }
}

/// An entry as a process, with the command and the settings file of the deploy file; killed when dropped.
#[derive(Debug)]
pub struct EntryProcess {
    /// Name of the machine.
    pub name: String,
    /// Host part of its address.
    pub host: u8,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    block: Block,
    seeds: Vec<SocketAddr>,
    dir: PathBuf,
    child: Option<Child>,
}

impl EntryProcess {
    /// Creates entry `n` without starting it.
    pub fn new(block: Block, n: u8, entries: u8, dir: &Path) -> Self {
        let host = 10 + n;
        Self {
            name: format!("front-hall-{n}"),
            host,
            callers: block.address(host, 8449),
            ready: block.address(host, 8441),
            block,
            seeds: (0..entries.min(3))
                .map(|i| block.address(10 + i, 8444))
                .collect(),
            dir: dir.to_owned(),
            child: None,
        }
    }

    /// Writes the settings as `deploy/carobfield-entry.ini` has them, and starts the process.
    pub fn start(&mut self, first_start: bool) -> std::io::Result<()> {
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        let at = |port| self.block.address(self.host, port);
        let settings = format!(
            "[entry]\nid = {}\ndata-centre = local\ncallers = {}\ndirectory = {}\nready = {}\nlink = {}\noperators = {}\n\
             store = {}\npeers = {}\nprocessor = 0.25\nfirst-start = {first_start}\n\n[limits]\ngrace-s = 8\n\
             repeat-ratio = 0.2\nrepeat-slack = 52\nrepeat-window-s = 10\n\n[log]\nlevel = info\nform = text\noutput = stdout\n",
            self.name,
            at(8449),
            at(8443),
            at(8441),
            at(8444),
            at(9464),
            self.block.address(1, 7000),
            seeds.join(","),
        );
        let file = self.dir.join(format!("{}.ini", self.name));
        std::fs::write(&file, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", self.name)))?;
        let program = std::env::var("ENTRY")
            .unwrap_or_else(|_| String::from("target/release/carobfield-entry"));
        let child = Command::new(program)
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal by the name that `kill` takes, a built-in command of the shell.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -s {name} {}", child.id());
            let _sent = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Waits until the process has ended; false if it has not within `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> bool {
        let started = Instant::now();
        while let Some(child) = &mut self.child {
            if child.try_wait().is_ok_and(|s| s.is_some()) {
                self.child = None;
                return true;
            }
            if started.elapsed() > limit {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        true
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _gone = child.kill();
            let _waited = child.wait();
        }
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| c.try_wait().is_ok_and(|s| s.is_none()))
    }

    /// Returns the process's id.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns whether the entry says that it is ready.
pub async fn is_ready(client: &HttpClient, ready: SocketAddr) -> bool {
    let request = http::Request::get(format!("http://{ready}/-/readyz")).body(Default::default());
    let Ok(request) = request else { return false };
    let answer = carobfield::http_client::call(client, request, Duration::from_secs(1)).await;
    answer.is_ok_and(|a| a.status == 200)
}

/// Waits until every entry is ready and every engine has a holder.
pub async fn wait_for_start(
    store: &ObjectStore,
    entries: &[SocketAddr],
    engines: usize,
    limit: Duration,
) -> bool {
    let client = caller::client();
    let started = Instant::now();
    while started.elapsed() < limit {
        let mut ready = true;
        for entry in entries {
            ready &= is_ready(&client, *entry).await;
        }
        let held = (0..engines)
            .filter(|n| holder(store, &format!("engine-{n}")).is_some())
            .count();
        if ready && held == engines {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Returns the entry that holds an engine, by the store.
pub fn holder(store: &ObjectStore, engine: &str) -> Option<String> {
    let record = store.get("carobfield-holders", engine)?;
    record["holder"].as_str().map(ToOwned::to_owned)
}

/// Writes the registrations of runners with a heartbeat each 400 ms, whatever else happens to the store's content.
pub fn register(store: &Arc<ObjectStore>, runner: &Arc<Runner>) {
    let (store, runner) = (Arc::clone(store), Arc::clone(runner));
    tokio::spawn(async move {
        let mut beat = 0;
        loop {
            store.put(
                "servers",
                &runner.config.id,
                &runner.registration("ready", beat),
            );
            beat += 1;
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
    });
}

/// Copies of the store's content of the last seconds.
#[derive(Clone, Debug, Default)]
pub struct Copies(Arc<Mutex<VecDeque<(Instant, Backup)>>>);

impl Copies {
    /// Takes a copy each 200 ms, and keeps those of the last 20 s.
    pub fn start(store: &Arc<ObjectStore>) -> Self {
        let copies = Self::default();
        let (store, kept) = (Arc::clone(store), copies.clone());
        tokio::spawn(async move {
            loop {
                if let Ok(mut kept) = kept.0.lock() {
                    kept.push_back((Instant::now(), store.back_up()));
                    if kept.len() > 100 {
                        kept.pop_front();
                    }
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        });
        copies
    }

    /// Returns the newest copy that is not newer than `at`.
    pub fn at(&self, at: Instant) -> Option<(Instant, Backup)> {
        let kept = self.0.lock().ok()?;
        kept.iter().rev().find(|(taken, _)| *taken <= at).cloned()
    }
}

/// A streaming request for adapter `n`.
pub fn draft(n: u32, events: u64) -> TestRequest {
    TestRequest {
        model: format!("base/a{n}"),
        events,
        ..TestRequest::default()
    }
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Answers(pub Arc<Mutex<Vec<(Instant, SocketAddr, TestResponse)>>>);

impl Answers {
    /// Sends requests for adapters at random to the entries that `ready` names, `rate` a second, until the task is dropped.
    pub fn start(ready: Arc<Mutex<Vec<SocketAddr>>>, adapters: u32, rate: u64) -> Self {
        let answers = Self::default();
        let kept = answers.clone();
        tokio::spawn(async move {
            let client = caller::client();
            let mut tick = tokio::time::interval(Duration::from_millis(1_000 / rate));
            loop {
                tick.tick().await;
                let entries = ready.lock().map(|r| r.clone()).unwrap_or_default();
                if entries.is_empty() {
                    continue;
                }
                let entry = entries[rand::random_range(0..entries.len())];
                let request = draft(rand::random_range(1..=adapters), 8);
                let (client, kept) = (client.clone(), kept.clone());
                tokio::spawn(async move {
                    let sent = Instant::now();
                    let answer = request.send(&client, entry).await;
                    if let Ok(mut all) = kept.0.lock() {
                        all.push((sent, entry, answer));
                    }
                });
            }
        });
        answers
    }

    /// Writes what was sent and answered, and what the runners ran, to the record.
    pub fn write(&self, record: &Record, runners: &[Arc<Runner>]) {
        if let Ok(all) = self.0.lock() {
            for (sent, entry, answer) in all.iter() {
                let end = if answer.complete { "whole" } else { "cut" };
                record.line_at(
                    *sent,
                    &format!(
                        "{} sent to {entry}: answer {} {end}",
                        answer.id, answer.status
                    ),
                );
            }
        }
        for runner in runners {
            for run in runner.runs() {
                record.line(&format!(
                    "{} ran at {} on {}",
                    run.id, runner.config.id, run.loaded_model
                ));
            }
        }
    }

    /// Counts the answers by status.
    pub fn counts(&self) -> Value {
        let mut counts = std::collections::BTreeMap::new();
        if let Ok(all) = self.0.lock() {
            for (_, _, answer) in all.iter() {
                let name = format!(
                    "{}{}",
                    answer.status,
                    if answer.complete { "" } else { " cut" }
                );
                *counts.entry(name).or_insert(0) += 1;
            }
        }
        json!(counts)
    }
}
