//! Many users upload at once, each a body that is within the configuration's limits.
//!
//! The script plays the machine too: it kills a process whose memory exceeds `limits.memoryMb`, and starts it again.

use carobfield_platform_standin::{
    deployment::{HOST, configuration},
    objects::ObjectStore,
    runner::{Runner, RunnerConfig},
};
use carobfield_review_standin::{
    BROKEN, Block, EntryProcess, HELD, NOT_RUN, Record, TempDir, is_calm, register, wait_for_start,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

const ENTRIES: u8 = 3;
/// `limits.memoryMb` of the site's machines, in kB.
const MEMORY_KB: u64 = 260 * 1_024;
/// `maxBodyBytes` of the site's configuration.
const MAX_BODY: usize = 4_194_304;
const BODY: usize = 4_000_000;
/// Users that upload to each machine at a time, and their number in a burst: x is 2.4 on the site's days.
const USERS: usize = 35;
const BURST: usize = USERS * 24 / 10;
/// Time of an upload: a burst takes 840 of the 1,000 Mbit/s of a machine's link.
const UPLOAD: Duration = Duration::from_millis(3_200);
const DEADLINE: Duration = Duration::from_secs(4);
const CHUNK: usize = 64 << 10;
const WAVES: usize = 4;
const PAUSE: Duration = Duration::from_secs(7);
/// Processes that end by themselves this often, on a tenth of the machines and two at least, are a fault.
const ENDS: usize = 3;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let code = match run().await {
        Ok(code) => code,
        Err(e) => {
            println!("not run: {e}");
            NOT_RUN
        }
    };
    std::process::exit(code);
}

/// Uploads a body over [`UPLOAD`], and returns the first line of the answer.
async fn upload(entry: SocketAddr, id: String) -> String {
    let head = format!(
        "POST /status/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {BODY}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let exchange = async {
        let mut stream = TcpStream::connect(entry).await?;
        stream.write_all(head.as_bytes()).await?;
        let chunk = [b'x'; CHUNK];
        let started = Instant::now();
        let mut sent = 0;
        while sent < BODY {
            let next = CHUNK.min(BODY - sent);
            stream.write_all(&chunk[..next]).await?;
            sent += next;
            let due = UPLOAD.mul_f64(sent as f64 / BODY as f64);
            tokio::time::sleep_until((started + due).into()).await;
        }
        let mut answer = [0; 256];
        let read = stream.read(&mut answer).await?;
        Ok::<_, std::io::Error>(
            String::from_utf8_lossy(&answer[..read])
                .lines()
                .next()
                .unwrap_or("")
                .to_owned(),
        )
    };
    match timeout(DEADLINE, exchange).await {
        Ok(Ok(line)) if !line.is_empty() => line,
        Ok(Ok(_)) => String::from("connection closed"),
        Ok(Err(e)) => format!("connection lost ({:?})", e.kind()),
        Err(_) => String::from("no answer by the deadline"),
    }
}

/// Returns the resident memory of a process, in kB.
fn memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

async fn run() -> Result<i32, Box<dyn std::error::Error>> {
    let record = Record::create()?;
    let block = Block::find().ok_or("no free addresses")?;
    let dir = TempDir::create()?;
    let stop = CancellationToken::new();
    let store = ObjectStore::start(block.address(1, 7000), stop.clone()).await?;
    let mut config = configuration(1, 4);
    config["limits"]["maxBodyBytes"] = MAX_BODY.into();
    config["limits"]["maxHeaderBytes"] = 16_384.into();
    store.put("config", "main", &config);
    let mut runners = Vec::new();
    for n in 0..2 {
        let config = RunnerConfig {
            id: format!("plain-{n}"),
            service: String::from("plain"),
            version: "v1",
            address: block.address(200 + n, 9000),
            model: None,
            adapter_slots: 0,
            max_requests: 6,
            service_time: Duration::from_millis(15),
        };
        let runner = Runner::start(config, &stop).await?;
        register(&store, &runner);
        runners.push(runner);
    }
    let mut entries: Vec<EntryProcess> = (0..ENTRIES)
        .map(|n| EntryProcess::new(block, n, ENTRIES, &dir.0))
        .collect();
    for entry in &mut entries {
        entry.start(true)?;
    }
    let ready: Vec<_> = entries.iter().map(|e| e.ready).collect();
    if !wait_for_start(&store, &ready, 0, Duration::from_secs(15)).await {
        return Err("the deployment did not start".into());
    }
    tokio::time::sleep(Duration::from_secs(1)).await;

    let users = if is_calm() { USERS } else { BURST };
    let mut ends = vec![0; entries.len()];
    let mut most = vec![0; entries.len()];
    let mut down: Vec<Option<Instant>> = vec![None; entries.len()];
    let mut answers = BTreeMap::<String, u32>::new();
    let mut uploads = JoinSet::new();
    for wave in 0..WAVES {
        record.note(&format!(
            "{users} users upload {BODY} bytes to each of {ENTRIES} machines"
        ));
        let started = Instant::now();
        for (n, entry) in entries.iter().enumerate() {
            for user in 0..users {
                let id = format!("{wave}-{n}-{user}");
                let (entry, record) = (entry.callers, record.clone());
                uploads.spawn(async move {
                    let sent = Instant::now();
                    let answer = upload(entry, id.clone()).await;
                    record.line_at(sent, &format!("{id} sent to {entry}: {answer}"));
                    answer
                });
            }
        }
        while started.elapsed() < PAUSE {
            tokio::time::sleep(Duration::from_millis(5)).await;
            for (n, entry) in entries.iter_mut().enumerate() {
                if down[n].is_some_and(|at| at.elapsed() > Duration::from_millis(500)) {
                    entry.start(false)?;
                    down[n] = None;
                }
                let used = entry.pid().and_then(memory_kb).unwrap_or(0);
                most[n] = most[n].max(used);
                if used > MEMORY_KB {
                    entry.kill();
                    down[n] = Some(Instant::now());
                    ends[n] += 1;
                    record.note(&format!(
                        "{} uses {} MB of {} MB, and is killed",
                        entry.name,
                        used / 1_024,
                        MEMORY_KB / 1_024
                    ));
                }
            }
        }
        while let Some(answer) = uploads.join_next().await {
            *answers.entry(answer?).or_insert(0) += 1;
        }
    }
    for runner in &runners {
        for run in runner.runs() {
            record.line(&format!("{} ran at {}", run.id, runner.config.id));
        }
    }
    for (n, entry) in entries.iter().enumerate() {
        record.note(&format!(
            "{}: {} MB at its peak, killed {} times",
            entry.name,
            most[n] / 1_024,
            ends[n]
        ));
    }
    record.note(&format!("answers: {answers:?}"));
    let broken = ends.iter().filter(|n| **n >= ENDS).count() >= 2;
    record.note(if broken {
        "Fault: processes end for want of memory"
    } else {
        "no fault"
    });
    Ok(if broken { BROKEN } else { HELD })
}
