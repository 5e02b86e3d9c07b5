//! The last runner of a software version crashes and starts again under its id with another version: streams that clients take up.

use carobfield_platform_standin::{
    deployment::{MODEL, configuration},
    objects::ObjectStore,
    runner::{Runner, RunnerConfig},
};
use review_standin_3::{
    EntryProcess, EntrySettings, Net, Record, Verdict, has_trouble,
    streams::{EVENTS, stream},
    temporary_dir, wait_ready,
};
use serde_json::Value;
use std::{
    collections::HashSet,
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

const ENTRIES: usize = 3;
const STREAMS: usize = 48;
/// Runners, of which one crashes: a quarter, the largest share of the site's days.
const RUNNERS: u8 = 4;
/// Time from the crash to the start of the next process.
const DOWN: Duration = Duration::from_millis(300);
/// Time from that start until the store shows it: `lag_ms` of the site file.
const LAG: Duration = Duration::from_millis(800);
/// Heartbeats, as in the site file.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn lag() -> Duration {
    let ms = std::env::var("LAG_MS").ok().and_then(|t| t.parse().ok());
    ms.map_or(LAG, Duration::from_millis)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.as_millis() as u64
}

/// Registration of a process that was started at `born`.
fn registration(runner: &Runner, beat: u64, born: u64) -> Value {
    let mut registration = runner.registration("ready", beat);
    registration["born"] = born.into();
    registration
}

fn config(n: u8, version: &'static str, net: Net) -> RunnerConfig {
    RunnerConfig {
        id: format!("i-engine-{n}"),
        service: String::from("engines"),
        version,
        address: net.address(200 + n, 9000),
        model: Some(String::from(MODEL)),
        adapter_slots: 4,
        max_requests: 32,
        service_time: Duration::ZERO,
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
    let dir = temporary_dir("same-id")?;
    let stop = CancellationToken::new();
    let store_address = net.address(1, 7000);
    let store = ObjectStore::start(store_address, stop.clone()).await?;
    let mut configured = configuration(1, 4);
    for route in configured["routes"].as_array_mut().into_iter().flatten() {
        route["timeoutMs"] = 20_000.into();
    }
    store.put("config", "main", &configured);
    let born = unix_ms();
    // The release has come to the last runner of version v1.
    let old = Runner::start(config(0, "v1", net), &stop).await?;
    let mut new = Vec::new();
    for n in 1..RUNNERS {
        new.push(Runner::start(config(n, "v2", net), &stop).await?);
    }
    let registered = std::iter::once(&old).chain(&new);
    let registered = registered.map(|runner| (Arc::clone(runner), born));
    let all: Arc<Mutex<Vec<(Arc<Runner>, u64)>>> = Arc::new(Mutex::new(registered.collect()));
    for (runner, born) in all.lock().unwrap().iter() {
        store.put(
            "servers",
            &runner.config.id,
            &registration(runner, 0, *born),
        );
    }
    let beating = (Arc::clone(&store), Arc::clone(&all));
    tokio::spawn(async move {
        for beat in 1.. {
            tokio::time::sleep(HEARTBEAT).await;
            for (runner, born) in beating.1.lock().unwrap().iter() {
                if !runner.has_crashed() {
                    beating.0.put(
                        "servers",
                        &runner.config.id,
                        &registration(runner, beat, *born),
                    );
                }
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
    tokio::time::sleep(Duration::from_secs(5)).await;
    let crash_at = Instant::now() + Duration::from_millis(1_500);
    let mut clients = JoinSet::new();
    for n in 0..STREAMS {
        let (settings, record) = (settings.clone(), record.clone());
        clients.spawn(async move {
            let first = format!("{:016x}", 0xa000 + n);
            let begun = stream(settings[n % ENTRIES].callers(), &first, n, None, u64::MAX).await;
            record.line(&format!("stream {n} {first}: {}, events {:?} to {:?}", begun.status, begun.first, begun.last));
            let mut tries = vec![first.clone()];
            let Some(last) = begun.last.filter(|l| *l < EVENTS) else {
                return tries;
            };
            // Each client tries again once, between 0.6 and 1.2 s later.
            tokio::time::sleep(Duration::from_millis(600 + (n as u64 * 137) % 600)).await;
            let id = format!("{:016x}", 0xb000 + n);
            let entry = settings[(n + 1) % ENTRIES].callers();
            let answer = stream(entry, &id, n, Some((&first, last)), u64::MAX).await;
            record.line(&format!(
                "stream {n} taken up by {id} at {entry} after event {last}: {} {}, events {:?} to {:?}",
                answer.status, answer.reason, answer.first, answer.last
            ));
            if answer.first.is_some() {
                tries.push(id);
            }
            tries
        });
    }
    tokio::time::sleep(crash_at.saturating_duration_since(Instant::now())).await;
    let mut restarted = None;
    if has_trouble() {
        old.crash();
        record.line("i-engine-0 (v1) has crashed");
        tokio::time::sleep(DOWN).await;
        let next = Runner::start(config(0, "v2", net), &stop).await?;
        let born = unix_ms();
        record.line("i-engine-0 has started again under its id, as v2");
        tokio::time::sleep(lag()).await;
        store.put("servers", &next.config.id, &registration(&next, 0, born));
        all.lock().unwrap()[0] = (Arc::clone(&next), born);
        record.line("the store shows the new process of i-engine-0");
        restarted = Some(next);
    }
    let tries = tokio::time::timeout(Duration::from_secs(60), clients.join_all()).await;
    let tries = tries.unwrap_or_default();
    let ids =
        |runner: &Runner| -> HashSet<String> { runner.runs().into_iter().map(|r| r.id).collect() };
    let at_old = ids(&old);
    let mut at_new: HashSet<String> = new.iter().flat_map(|r| ids(r)).collect();
    at_new.extend(restarted.iter().flat_map(|r| ids(r)));
    let mut joined = 0;
    for tried in &tries {
        let versions = (
            tried.iter().any(|id| at_old.contains(id)),
            tried.iter().any(|id| at_new.contains(id)),
        );
        if versions == (true, true) {
            joined += 1;
            record.line(&format!("stream of {tried:?} holds events of v1 and of v2"));
        }
    }
    let named = std::iter::once(("v1", &old));
    let named = named.chain(new.iter().map(|r| ("v2", r)));
    for (name, runner) in named.chain(restarted.iter().map(|r| ("restarted as v2", r))) {
        for run in runner.runs() {
            let id = &runner.config.id;
            record.line(&format!(
                "{id} ({name}) ran {} after event {}",
                run.id, run.after
            ));
        }
    }
    let summary = format!(
        "{} streams, {joined} of them hold events from runners of two software versions",
        tries.len()
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
    if tries.len() < STREAMS || at_old.is_empty() {
        return Ok(Verdict::NotRun);
    }
    Ok(if joined > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
