//! Entries of one zone are partitioned from all runners while clients upload: what the entries of the other zone hold for them.

use carobfield_platform_standin::{
    deployment::{HOST, configuration},
    objects::ObjectStore,
    proxy::{Accepting, Proxy},
    runner::{Runner, RunnerConfig},
};
use review_standin_3::{
    EntryProcess, EntrySettings, Net, Record, Verdict, has_trouble, memory, peak_memory,
    rewrite_store, temporary_dir, wait_ready,
};
use std::{
    collections::HashSet,
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_util::sync::CancellationToken;

/// Memory of a machine that is cut off, and of the others, in MB: the sheet of Hanbit has 120 to 512.
const LARGE_MB: u64 = 512;
const SMALL_MB: u64 = 120;

fn memory_mb(n: usize) -> u64 {
    if n < CUT { LARGE_MB } else { SMALL_MB }
}

/// Body of an upload, within `maxBodyBytes`.
const BODY: usize = 4_190_000;
const MAX_BODY: usize = 4_194_304;
const CUT: usize = 2;
const ENTRIES: usize = 3;
const RUNNERS: u8 = 4;
const UPLOADS: usize = 14;
/// The same at entries that reach the runners.
const UPLOADS_REST: usize = 4;
/// Time that a runner works on a request.
const WORK: Duration = Duration::from_millis(3_000);
const UPLOAD_TIME: Duration = Duration::from_millis(2_400);
const CUT_TIME: Duration = Duration::from_secs(5);

static NEXT: AtomicUsize = AtomicUsize::new(1);

fn head(id: usize, path: &str, length: usize, deadline: u64) -> String {
    format!(
        "POST /status/{path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id:016x}\r\nX-Deadline-Ms: {deadline}\r\nContent-Length: {length}\r\n\r\n"
    )
}

async fn read_answer(stream: &mut TcpStream) -> Option<(u16, String)> {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = text.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&text[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
            let length: usize = length.and_then(|l| l.trim().parse().ok()).unwrap_or(0);
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok())?;
            if text.len() >= end + 4 + length {
                return Some((status, head));
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => text.extend_from_slice(&buffer[..n]),
        }
    }
}

async fn upload(entry: SocketAddr, record: Record) {
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let sent = async {
        let mut stream = TcpStream::connect(entry).await.ok()?;
        stream
            .write_all(head(id, "large", BODY, 12_000).as_bytes())
            .await
            .ok()?;
        let piece = vec![b'x'; 64 << 10];
        let started = Instant::now();
        for from in (0..BODY).step_by(piece.len()) {
            let size = piece.len().min(BODY - from);
            stream.write_all(&piece[..size]).await.ok()?;
            let due = UPLOAD_TIME.mul_f64((from + size) as f64 / BODY as f64);
            tokio::time::sleep_until((started + due).into()).await;
        }
        read_answer(&mut stream).await
    };
    let answer = tokio::time::timeout(Duration::from_secs(13), sent)
        .await
        .ok()
        .flatten();
    let text = answer.map_or(String::from("no answer"), |(status, _)| status.to_string());
    record.line(&format!("upload {id:016x} at {entry}: {text}"));
}

/// Sends small requests one after the other on a kept connection; returns those that got no answer, as the connection ended.
async fn keep_asking(
    entry: SocketAddr,
    record: Record,
    lost: Arc<Mutex<Vec<usize>>>,
    stop: Arc<AtomicBool>,
) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(entry).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        let mut earlier = 0;
        while !stop.load(Ordering::Relaxed) {
            let id = NEXT.fetch_add(1, Ordering::Relaxed);
            if stream
                .write_all((head(id, "small", 2, 4_000) + "ok").as_bytes())
                .await
                .is_err()
            {
                break;
            }
            let answer = read_answer(&mut stream).await;
            let Some((status, head)) = answer else {
                record.line(&format!("small {id:016x} at {entry}: connection closed without an answer, {earlier} answered before on it"));
                if earlier > 0 {
                    lost.lock().unwrap().push(id);
                }
                break;
            };
            record.line(&format!("small {id:016x} at {entry}: {status}"));
            earlier += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
            if head.contains("connection: close") {
                break;
            }
        }
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    match run().await {
        Ok(verdict) => verdict.into(),
        Err(e) => {
            eprintln!("not run: {e}");
            Verdict::NotRun.into()
        }
    }
}

async fn run() -> std::io::Result<Verdict> {
    let record = Record::create()?;
    let net = Net::new();
    let dir = temporary_dir("detour")?;
    let stop = CancellationToken::new();
    let store_address = net.address(1, 7000);
    let store = ObjectStore::start(store_address, stop.clone()).await?;
    let mut config = configuration(1, 4);
    config["limits"]["maxBodyBytes"] = MAX_BODY.into();
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeoutMs"] = 12_000.into();
    }
    store.put("config", "main", &config);
    let mut runners = Vec::new();
    let mut proxies = Vec::new();
    for n in 0..RUNNERS {
        let config = RunnerConfig {
            id: format!("i-plain-{n}"),
            service: String::from("plain"),
            version: "v1",
            address: net.address(200 + n, 9000),
            model: None,
            adapter_slots: 0,
            max_requests: 64,
            service_time: WORK,
        };
        let runner = Runner::start(config, &stop).await?;
        store.put(
            "servers",
            &runner.config.id,
            &runner.registration("ready", 0),
        );
        let path = Proxy::start(
            net.address(210 + n, 9000),
            runner.config.address,
            stop.clone(),
        )
        .await?;
        proxies.push(path);
        runners.push(runner);
    }
    let heartbeats: Vec<Arc<Runner>> = runners.clone();
    let beating = Arc::clone(&store);
    tokio::spawn(async move {
        for beat in 1.. {
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            for runner in &heartbeats {
                beating.put(
                    "servers",
                    &runner.config.id,
                    &runner.registration("ready", beat),
                );
            }
        }
    });
    let from = format!("{}", net.ip(20)); // "127.a.b.20", the common beginning of the runners' addresses
    let to = format!("{}", net.ip(21));
    let rewriting = net.address(2, 7000);
    rewrite_store(rewriting, store_address, from, to).await?;
    let seeds: Vec<SocketAddr> = (0..3).map(|n| net.address(10 + n, 8144)).collect();
    let mut settings = Vec::new();
    let processes: Arc<Mutex<Vec<EntryProcess>>> = Arc::default();
    for n in 0..ENTRIES {
        let is_cut = n < CUT;
        let entry = EntrySettings {
            id: format!("front-{n}"),
            zone: String::from("abdali-a"),
            ip: net.ip(10 + n as u8),
            store: if is_cut { rewriting } else { store_address },
            seeds: seeds.clone(),
            memory_mb: memory_mb(n),
            first_start: true,
        };
        settings.push(entry.clone());
        processes
            .lock()
            .unwrap()
            .push(EntryProcess::start(entry, &dir)?);
    }
    if !wait_ready(&settings, Duration::from_secs(15)).await {
        return Ok(Verdict::NotRun);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    // The platform kills a process that exceeds its memory, and starts it again after a short delay.
    let killed: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    let watching = (Arc::clone(&processes), Arc::clone(&killed), record.clone());
    let is_over = Arc::new(AtomicBool::new(false));
    let watch_over = Arc::clone(&is_over);
    let watcher = std::thread::spawn(move || {
        let (processes, killed, record) = watching;
        let mut peaks = [0_u64; ENTRIES];
        while !watch_over.load(Ordering::Relaxed) {
            for n in 0..ENTRIES {
                let pid = processes.lock().unwrap()[n].pid();
                let Some(pid) = pid else { continue };
                let bytes = memory(pid).max(peak_memory(pid));
                peaks[n] = peaks[n].max(bytes);
                if bytes > memory_mb(n) << 20 {
                    processes.lock().unwrap()[n].kill();
                    killed.lock().unwrap().push((n, Instant::now()));
                    record.line(&format!(
                        "front-{n} has {} MB of {}: killed by the platform",
                        bytes >> 20,
                        memory_mb(n)
                    ));
                    let processes = Arc::clone(&processes);
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(500));
                        let _ = processes.lock().unwrap()[n].spawn();
                    });
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        peaks
    });
    let lost: Arc<Mutex<Vec<usize>>> = Arc::default();
    let mut asking = Vec::new();
    for entry in &settings[CUT..] {
        for _ in 0..12 {
            asking.push(tokio::spawn(keep_asking(
                entry.callers(),
                record.clone(),
                Arc::clone(&lost),
                Arc::clone(&is_over),
            )));
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    if has_trouble() {
        for path in &proxies {
            path.set_accepting(Accepting::Refused);
            path.reset();
        }
        record.line("front-0 to front-2 are partitioned from all runners");
    }
    let started = Instant::now();
    tokio::time::sleep(Duration::from_millis(400)).await;
    while started.elapsed() + Duration::from_secs(2) < CUT_TIME {
        for (n, entry) in settings.iter().enumerate() {
            let uploads = if n < CUT { UPLOADS } else { UPLOADS_REST };
            for _ in 0..uploads {
                tokio::spawn(upload(entry.callers(), record.clone()));
            }
        }
        tokio::time::sleep(Duration::from_millis(4_500)).await;
    }
    tokio::time::sleep(CUT_TIME.saturating_sub(started.elapsed())).await;
    for path in &proxies {
        path.set_accepting(Accepting::Yes);
    }
    record.line("the partition has ended");
    tokio::time::sleep(Duration::from_secs(4)).await;
    is_over.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let peaks = watcher.join().unwrap_or_default();
    let ran: HashSet<String> = runners
        .iter()
        .flat_map(|r| r.runs())
        .map(|r| r.id)
        .collect();
    for runner in &runners {
        for run in runner.runs() {
            record.line(&format!(
                "{} ran {} with {} bytes",
                runner.config.id,
                run.id,
                run.body.len()
            ));
        }
    }
    let all_lost = lost.lock().unwrap().clone();
    let passed: Vec<&usize> = all_lost
        .iter()
        .filter(|id| ran.contains(&format!("{id:016x}")))
        .collect();
    for (n, peak) in peaks.iter().enumerate() {
        record.line(&format!("front-{n}: peak memory {} MB", peak >> 20));
    }
    let killed = killed.lock().unwrap().clone();
    let relays = killed.iter().filter(|(n, _)| *n >= CUT).count();
    record.line(&format!(
        "killed: {} times, {relays} of them entries of the other zone",
        killed.len()
    ));
    record.line(&format!(
        "requests from kept connections of the other zone that were passed on to a sound runner, and whose connections closed without an answer: {}",
        passed.len()
    ));
    println!(
        "kept connections closed without an answer: {}; kills {} (relays {relays}); peaks {:?} MB",
        passed.len(),
        killed.len(),
        peaks.map(|p| p >> 20)
    );
    processes.lock().unwrap().clear();
    stop.cancel();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("{}", dir.display());
    }
    Ok(if passed.len() > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
