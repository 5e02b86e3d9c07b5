//! Orders that got no answer are carried out after their runner has started again under its id.

use carobfield_platform_standin::{
    deployment::{HOST, configuration},
    objects::ObjectStore,
};
use review_standin_3::{
    EntryProcess, EntrySettings, Net, Record, Verdict,
    engine::{Engine, MODEL},
    has_trouble, temporary_dir, wait_ready,
};
use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_util::sync::CancellationToken;

const ENTRIES: usize = 2;
const ENGINES: u8 = 2;
const SLOTS: usize = 5;
const ADAPTERS: usize = 60;
/// Requests a second.
const RATE: u64 = 30;

static NEXT: AtomicUsize = AtomicUsize::new(1);

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.as_millis() as u64
}

async fn ask(entry: SocketAddr, n: usize) -> Option<u16> {
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let adapter = 1 + n * 7 % ADAPTERS;
    let text = format!(
        "POST /draft/{n} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id:016x}\r\nX-Model: {MODEL}/a{adapter}\r\nX-Token-Usage: 100,8\r\n\
         X-Prompt-Prefix: 0a{adapter:02x}:80,{id:x}:20\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
    );
    let mut socket = TcpStream::connect(entry).await.ok()?;
    socket.write_all(text.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(5), socket.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer)
        .split(' ')
        .nth(1)?
        .parse()
        .ok()
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
    let dir = temporary_dir("late")?;
    let stop = CancellationToken::new();
    let store_address = net.address(1, 7000);
    let store = ObjectStore::start(store_address, stop.clone()).await?;
    store.put("config", "main", &configuration(1, SLOTS));
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let engine = Engine::new(
            &format!("i-engine-{n}"),
            net.address(200 + n, 9000),
            SLOTS,
            record.clone(),
        );
        engine.start(unix_ms(), true).await?;
        store.put("servers", &engine.id, &engine.registration(0));
        engines.push(engine);
    }
    let beat = Arc::new(AtomicUsize::new(1));
    let beating = (Arc::clone(&store), engines.clone(), Arc::clone(&beat));
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            let beat = beating.2.fetch_add(1, Ordering::Relaxed) as u64;
            for engine in &beating.1 {
                beating
                    .0
                    .put("servers", &engine.id, &engine.registration(beat));
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
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let asking = (settings.clone(), Arc::clone(&is_over), Arc::clone(&served));
    let traffic = tokio::spawn(async move {
        let (settings, is_over, served) = asking;
        let started = Instant::now();
        let mut n = 0;
        while !is_over.load(Ordering::Relaxed) {
            let entry = settings[n % settings.len()].callers();
            let served = Arc::clone(&served);
            tokio::spawn(async move {
                if ask(entry, n).await == Some(200) {
                    served.fetch_add(1, Ordering::Relaxed);
                }
            });
            n += 1;
            tokio::time::sleep_until(
                (started + Duration::from_millis(n as u64 * 1_000 / RATE)).into(),
            )
            .await;
        }
        n
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let engine = &engines[0];
    if has_trouble() {
        engine.set_unanswered(true);
        record.line(&format!(
            "orders to {} get no answer for a share, at sequence {}",
            engine.id,
            engine.sequence()
        ));
        tokio::time::sleep(Duration::from_secs(3)).await;
        engine.set_unanswered(false);
        record.line(&format!(
            "orders to {} are answered, at sequence {}",
            engine.id,
            engine.sequence()
        ));
        engine.crash();
        record.line(&format!("{} has crashed", engine.id));
        tokio::time::sleep(Duration::from_millis(500)).await;
        engine.start(unix_ms(), false).await?;
        let beat = beat.fetch_add(1, Ordering::Relaxed) as u64;
        store.put("servers", &engine.id, &engine.registration(beat));
        record.line(&format!(
            "{} has started again under its id, empty",
            engine.id
        ));
    }
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(13)
        && engines.iter().all(|e| e.excess().is_empty())
    {
        engine.carry_out_late(std::env::var("ANY_MOMENT").is_err());
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    record.line(&format!(
        "{} is at sequence {}",
        engine.id,
        engine.sequence()
    ));
    is_over.store(true, Ordering::Relaxed);
    let asked = traffic.await.unwrap_or(0);
    let excess: Vec<String> = engines.iter().flat_map(|e| e.excess()).collect();
    let summary = format!(
        "{} of {asked} requests served; {} orders to load more than the places of a runner",
        served.load(Ordering::Relaxed),
        excess.len()
    );
    record.line(&summary);
    println!("{summary}");
    for line in &excess {
        println!("{line}");
    }
    processes.clear();
    stop.cancel();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("{}", dir.display());
    }
    Ok(if excess.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
