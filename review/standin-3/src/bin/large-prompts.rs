//! A few requests that are larger than a runner's memory, after a final fault: which share of the other requests is served.

use carobfield_platform_standin::{
    deployment::{MODEL, configuration},
    objects::ObjectStore,
    runner::{Runner, RunnerConfig},
};
use review_standin_3::{
    EntryProcess, EntrySettings, Net, Record, Verdict, has_trouble,
    streams::{request, stream},
    temporary_dir, wait_ready,
};
use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

const ENTRIES: usize = 3;
const ENGINES: u8 = 4;
/// `kvCapacity` of the site's engines, in tokens.
const MEMORY: u64 = 157_002;
/// Prompt of a request that is larger than that.
const LARGE_PROMPT: u64 = 400_000;
const LARGE_REQUESTS: usize = 4;
/// Requests a second.
const RATE: u64 = 20;
const MEASURED: Duration = Duration::from_secs(8);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

static NEXT: AtomicUsize = AtomicUsize::new(1);

/// Front of a runner that rejects requests larger than its memory as if it were full, and passes all others on.
async fn reject_large(
    listen: SocketAddr,
    runner: SocketAddr,
    record: Record,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let record = record.clone();
            tokio::spawn(async move {
                let _ = serve(client, listen, runner, &record).await;
            });
        }
    });
    Ok(())
}

async fn serve(
    mut client: TcpStream,
    listen: SocketAddr,
    runner: SocketAddr,
    record: &Record,
) -> std::io::Result<()> {
    client.set_nodelay(true)?;
    let mut upstream = TcpStream::connect(runner).await?;
    upstream.set_nodelay(true)?;
    let (mut from_client, mut from_runner) = (vec![0; 64 << 10], vec![0; 64 << 10]);
    loop {
        tokio::select! {
            read = client.read(&mut from_client) => {
                let n = read?;
                if n == 0 {
                    return Ok(());
                }
                let data = &from_client[..n];
                let text = String::from_utf8_lossy(data).into_owned();
                let header = |name: &str| {
                    let mut lines = text.split("\r\n").take_while(|l| !l.is_empty());
                    lines.find_map(|l| l.split_once(':').filter(|(k, _)| k.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_owned()))
                };
                let usage = header("x-token-usage").unwrap_or_default();
                let prompt: u64 = usage.split(',').next().and_then(|t| t.parse().ok()).unwrap_or(0);
                if !text.starts_with("POST ") || prompt <= MEMORY {
                    upstream.write_all(data).await?;
                    continue;
                }
                let id = header("x-request-id").unwrap_or_default();
                let length: usize = header("content-length").and_then(|t| t.parse().ok()).unwrap_or(0);
                let head = text.find("\r\n\r\n").map_or(n, |at| at + 4);
                let mut left = length.saturating_sub(n - head);
                while left > 0 {
                    let n = client.read(&mut from_client).await?;
                    if n == 0 {
                        return Ok(());
                    }
                    left = left.saturating_sub(n);
                }
                record.line(&format!("runner {listen} rejects {id} with a prompt of {prompt} tokens"));
                let answer = format!("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                client.write_all(answer.as_bytes()).await?;
            }
            read = upstream.read(&mut from_runner) => {
                let n = read?;
                if n == 0 {
                    return Ok(());
                }
                client.write_all(&from_runner[..n]).await?;
            }
        }
    }
}

/// Sends requests at a steady rate to all entries; returns how many were sent and served.
async fn traffic(settings: &[EntrySettings], time: Duration, record: &Record) -> (usize, usize) {
    let started = Instant::now();
    let mut sent = JoinSet::new();
    for n in 0..RATE * time.as_secs() {
        let due = started + Duration::from_millis(n * 1_000 / RATE);
        tokio::time::sleep_until(due.into()).await;
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let entry = settings[n as usize % settings.len()].callers();
        let record = record.clone();
        sent.spawn(async move {
            let answer = stream(entry, &id, n as usize % 200, None, 8).await;
            record.line(&format!(
                "{id} at {entry}: {} {}, events to {:?}",
                answer.status, answer.reason, answer.last
            ));
            answer.status == 200 && answer.last.is_some()
        });
    }
    let all = sent.join_all().await;
    (all.len(), all.iter().filter(|served| **served).count())
}

async fn send_large(entry: SocketAddr, record: &Record) {
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    // Two bytes a token, as with the other requests of the site.
    let text = request(
        &id,
        "draft",
        7,
        &format!("{LARGE_PROMPT},80"),
        12_000,
        "",
        2 * LARGE_PROMPT as usize,
    );
    let sent = async {
        let mut socket = TcpStream::connect(entry).await.ok()?;
        socket.write_all(text.as_bytes()).await.ok()?;
        let mut buffer = [0; 2_048];
        let n = socket.read(&mut buffer).await.ok()?;
        Some(
            String::from_utf8_lossy(&buffer[..n])
                .lines()
                .next()?
                .to_owned(),
        )
    };
    let answer = tokio::time::timeout(Duration::from_secs(13), sent)
        .await
        .ok()
        .flatten();
    record.line(&format!(
        "large request {id} at {entry}: {}",
        answer.unwrap_or_default()
    ));
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
    let dir = temporary_dir("large")?;
    let stop = CancellationToken::new();
    let store_address = net.address(1, 7000);
    let store = ObjectStore::start(store_address, stop.clone()).await?;
    let mut configured = configuration(1, 4);
    for route in configured["routes"].as_array_mut().into_iter().flatten() {
        route["timeoutMs"] = 12_000.into();
    }
    configured["limits"]["maxBodyBytes"] = 4_194_304.into();
    configured["services"][0]["engine"]["kvCapacity"] = MEMORY.into();
    store.put("config", "main", &configured);
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let config = RunnerConfig {
            id: format!("i-engine-{n}"),
            service: String::from("engines"),
            version: "v1",
            address: net.address(200 + n, 9000),
            model: Some(String::from(MODEL)),
            adapter_slots: 4,
            max_requests: 32,
            service_time: Duration::ZERO,
        };
        let engine = Runner::start(config, &stop).await?;
        reject_large(
            net.address(210 + n, 9000),
            engine.config.address,
            record.clone(),
        )
        .await?;
        engines.push(engine);
    }
    let registration = move |engine: &Runner, beat: u64| {
        let mut registration = engine.registration("ready", beat);
        let host = engine
            .config
            .id
            .trim_start_matches("i-engine-")
            .parse::<u8>()
            .unwrap_or(0);
        registration["address"] = net.address(210 + host, 9000).to_string().into();
        registration
    };
    for engine in &engines {
        store.put("servers", &engine.config.id, &registration(engine, 0));
    }
    let beating = (Arc::clone(&store), engines.clone());
    tokio::spawn(async move {
        for beat in 1.. {
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            for engine in &beating.1 {
                beating
                    .0
                    .put("servers", &engine.config.id, &registration(engine, beat));
            }
        }
    });
    let seeds: Vec<SocketAddr> = (0..ENTRIES)
        .map(|n| net.address(10 + n as u8, 8144))
        .collect();
    let mut settings = Vec::new();
    let mut processes = Vec::new();
    for n in 0..ENTRIES {
        let entry = EntrySettings {
            id: format!("front-{n}"),
            zone: format!("abdali-{n}"),
            ip: net.ip(10 + n as u8),
            store: store_address,
            seeds: seeds.clone(),
            memory_mb: 260,
            first_start: true,
        };
        settings.push(entry.clone());
        processes.push(EntryProcess::start(entry, &dir)?);
    }
    if !wait_ready(&settings, Duration::from_secs(15)).await {
        return Ok(Verdict::NotRun);
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (asked, served) = traffic(&settings, MEASURED, &record).await;
    record.line(&format!(
        "before the final fault: {served} of {asked} served"
    ));
    configured["version"] = 2.into();
    store.put("config", "main", &configured);
    record.line("the store has acknowledged a configuration");
    for process in &mut processes {
        process.kill();
    }
    record.line("final fault: all entries are killed");
    tokio::time::sleep(Duration::from_millis(700)).await;
    for process in &mut processes {
        process.spawn()?;
    }
    if !wait_ready(&settings, Duration::from_secs(10)).await {
        return Ok(Verdict::NotRun);
    }
    let back = Instant::now();
    record.line("the entries are back");
    tokio::time::sleep(Duration::from_secs(2)).await;
    for n in 0..LARGE_REQUESTS {
        if has_trouble() {
            send_large(settings[n % ENTRIES].callers(), &record).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    tokio::time::sleep(RECOVERY.saturating_sub(back.elapsed())).await;
    let (asked_after, served_after) = traffic(&settings, MEASURED, &record).await;
    for engine in &engines {
        for run in engine.runs() {
            record.line(&format!("{} ran {}", engine.config.id, run.id));
        }
    }
    let summary = format!(
        "served {served} of {asked} before the final fault, {served_after} of {asked_after} later than {} s after it",
        RECOVERY.as_secs()
    );
    record.line(&summary);
    println!("{summary}");
    processes.clear();
    stop.cancel();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("{}", dir.display());
    }
    if served * 4 < asked || asked_after == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if served_after * 4 < asked_after {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
