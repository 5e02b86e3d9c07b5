//! The store returns from a drill with a copy of some seconds ago, and then all entries lose power: streams that clients take up.

use carobfield_platform_standin::{
    deployment::{MODEL, configuration},
    objects::{ObjectStore, Outage},
    runner::{Runner, RunnerConfig},
};
use review_standin_3::{
    EntryProcess, EntrySettings, Net, Record, Verdict, has_trouble,
    streams::{EVENTS, stream},
    temporary_dir, wait_ready,
};
use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

const ENTRIES: usize = 3;
const ENGINES: u8 = 3;
const STREAMS: usize = 16;
/// Span over which a process is in touch after its start, and the store after its return.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(800);

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
    let dir = temporary_dir("drill")?;
    let stop = CancellationToken::new();
    let store_address = net.address(1, 7000);
    let store = ObjectStore::start(store_address, stop.clone()).await?;
    let mut config = configuration(1, 4);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeoutMs"] = 20_000.into();
    }
    store.put("config", "main", &config);
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
        store.put(
            "servers",
            &engine.config.id,
            &engine.registration("ready", 0),
        );
        engines.push(engine);
    }
    let beating = (Arc::clone(&store), engines.clone());
    tokio::spawn(async move {
        for beat in 1.. {
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            for engine in &beating.1 {
                beating.0.put(
                    "servers",
                    &engine.config.id,
                    &engine.registration("ready", beat),
                );
            }
        }
    });
    // The store names its era in all its answers.
    store.restore(&store.back_up());
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
    tokio::time::sleep(Duration::from_secs(12)).await;
    // Records in the store cover 4 s each; everything up to the power loss falls into one.
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let into = Duration::from_millis((now.as_millis() % 4_000) as u64);
    tokio::time::sleep(Duration::from_millis(4_050).saturating_sub(into)).await;
    let copy = store.back_up();
    record.line("the copy of the store is made");
    let mut begun = JoinSet::new();
    for n in 0..STREAMS {
        let entry = settings[n % ENTRIES].callers();
        begun.spawn(async move {
            let id = format!("{:016x}", 0xa000 + n);
            (n, id.clone(), stream(entry, &id, n, None, u64::MAX).await)
        });
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    record.line(&format!("{STREAMS} streams were sent"));
    if has_trouble() {
        store.set_outage(Outage::Reset);
        record.line("drill: the store is away");
        tokio::time::sleep(AWAY).await;
        store.restore(&copy);
        store.set_outage(Outage::None);
        record.line("drill: the store has returned with the copy");
        for engine in &engines {
            store.put(
                "servers",
                &engine.config.id,
                &engine.registration("ready", 1_000),
            );
        }
    } else {
        tokio::time::sleep(AWAY).await;
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for process in &mut processes {
        process.kill();
    }
    record.line("all entries have lost power");
    let mut ended = begun.join_all().await;
    ended.sort_by_key(|(n, _, _)| *n);
    for (n, id, received) in &ended {
        record.line(&format!(
            "stream {n} {id}: {}, events {:?} to {:?}",
            received.status, received.first, received.last
        ));
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    for process in &mut processes {
        process.spawn()?;
    }
    record.line("all entries start again");
    if !wait_ready(&settings, Duration::from_secs(10)).await {
        record.line("the entries are not ready");
        return Ok(Verdict::NotRun);
    }
    tokio::time::sleep(STABLE_WINDOW + Duration::from_millis(500)).await;
    let (mut asked, mut went_on) = (0, 0);
    for (n, id, received) in &ended {
        let Some(last) = received.last.filter(|l| *l < EVENTS - 10) else {
            continue;
        };
        asked += 1;
        let again = format!("{:016x}", 0xb000 + n);
        let answer = stream(
            settings[(n + 1) % ENTRIES].callers(),
            &again,
            *n,
            Some((id, last)),
            3,
        )
        .await;
        let goes_on = answer.status == 200 && answer.first == Some(last + 1);
        went_on += usize::from(goes_on);
        record.line(&format!(
            "stream {n} taken up by {again} after event {last}: {} {}, first event {:?}",
            answer.status, answer.reason, answer.first
        ));
    }
    let mut new = 0;
    for n in 0..STREAMS {
        let id = format!("{:016x}", 0xc000 + n);
        let answer = stream(settings[n % ENTRIES].callers(), &id, n, None, 3).await;
        new += usize::from(answer.first.is_some());
        record.line(&format!(
            "new stream {id}: {} {}, first event {:?}",
            answer.status, answer.reason, answer.first
        ));
    }
    for engine in &engines {
        for run in engine.runs() {
            record.line(&format!(
                "{} ran {} after event {}",
                engine.config.id, run.id, run.after
            ));
        }
    }
    let summary = format!(
        "{went_on} of {asked} streams that were taken up went on; {new} of {STREAMS} new streams began"
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
    if asked < 12 || new == 0 {
        return Ok(Verdict::NotRun);
    }
    let (share, share_new) = (went_on as f64 / asked as f64, new as f64 / STREAMS as f64);
    Ok(if share < share_new / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
