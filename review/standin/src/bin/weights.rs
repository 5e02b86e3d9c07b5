//! Engines whose memory for weights holds fewer adapters than they have places for.
//!
//! The figures are those of badgeledger-amman, but that an adapter has 165 MB in place of 66: beside the model's 72,700 MB the
//! 76,000 MB of a runner hold 20 adapters, while it has 27 places. First a few adapters are asked for, then rare ones at once.

use carobfield::http_client;
use carobfield_platform_standin::{
    caller,
    deployment::{MODEL, configuration},
    objects::ObjectStore,
    runner::{Runner, RunnerConfig},
};
use carobfield_review_standin::{
    BROKEN, Block, EntryProcess, HELD, NOT_RUN, Record, TempDir, draft, is_calm, wait_for_start,
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio_util::sync::CancellationToken;

const ENTRIES: u8 = 3;
const ENGINES: u8 = 2;
const PLACES: usize = 27;
const CAPACITY_MB: usize = 76_000;
const MODEL_MB: usize = 72_700;
const ADAPTER_MB: usize = 165;
/// Adapters that fit into the memory.
const FIT: usize = (CAPACITY_MB - MODEL_MB) / ADAPTER_MB;
/// Adapters that are asked for all the time.
const COMMON: u32 = 10;
/// Adapters that are asked for in the burst.
const RARE: u32 = 100;
const RATE: u64 = 40;

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

/// Returns what the runner holds and loads, by its own report.
async fn report(engine: &Runner) -> (usize, usize) {
    let request = http::Request::get(format!("http://{}/-/report", engine.config.address))
        .body(Default::default());
    let Ok(request) = request else { return (0, 0) };
    let answer = http_client::call(&caller::client(), request, Duration::from_secs(1)).await;
    let body: Value = answer
        .ok()
        .and_then(|a| serde_json::from_slice(&a.body).ok())
        .unwrap_or_default();
    let held = body["models"][0]["adapters"].as_array().map_or(0, Vec::len);
    let coming = body["coming"].as_array().map_or(0, Vec::len);
    (held, coming)
}

async fn run() -> Result<i32, Box<dyn std::error::Error>> {
    let record = Record::create()?;
    let block = Block::find().ok_or("no free addresses")?;
    let dir = TempDir::create()?;
    let stop = CancellationToken::new();
    let store = ObjectStore::start(block.address(1, 7000), stop.clone()).await?;
    let mut config = configuration(1, PLACES);
    config["services"][0]["engine"] = json!({
        "slots": 64, "kvCapacity": 157_002, "adapterSlots": PLACES, "weightsMb": CAPACITY_MB, "loadsPerS": 4.2,
        "models": [{ "name": MODEL, "weightsMb": MODEL_MB, "loadS": 2.1, "adapters": 3_000, "adapterMb": ADAPTER_MB }],
    });
    store.put("config", "main", &config);
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let config = RunnerConfig {
            id: format!("engine-{n}"),
            service: String::from("engines"),
            version: "v1",
            address: block.address(100 + n, 9000),
            model: Some(String::from(MODEL)),
            // The stand-in counts places; this many fit into the memory, and it counts each order for a further one.
            adapter_slots: FIT,
            max_requests: 64,
            service_time: Duration::ZERO,
        };
        let engine = Runner::start(config, &stop).await?;
        let (store, beating) = (Arc::clone(&store), Arc::clone(&engine));
        tokio::spawn(async move {
            let mut beat = 0;
            while !beating.has_crashed() {
                store.put(
                    "servers",
                    &beating.config.id,
                    &beating.registration("ready", beat),
                );
                beat += 1;
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
        });
        engines.push(engine);
    }
    let mut entries: Vec<EntryProcess> = (0..ENTRIES)
        .map(|n| EntryProcess::new(block, n, ENTRIES, &dir.0))
        .collect();
    for entry in &mut entries {
        entry.start(true)?;
    }
    let ready: Vec<_> = entries.iter().map(|e| e.ready).collect();
    let callers: Vec<_> = entries.iter().map(|e| e.callers).collect();
    if !wait_for_start(&store, &ready, engines.len(), Duration::from_secs(15)).await {
        return Err("the deployment did not start".into());
    }

    let started = Instant::now();
    let (burst_at, burst_end) = (Duration::from_secs(5), Duration::from_secs(10));
    let end = Duration::from_secs(15);
    let client = caller::client();
    let answers = Arc::new(Mutex::new(BTreeMap::<String, u32>::new()));
    let mut tick = tokio::time::interval(Duration::from_millis(1_000 / RATE));
    let (mut most, mut broken, mut told) = (0, Vec::new(), false);
    while started.elapsed() < end {
        tick.tick().await;
        let is_burst = !is_calm() && (burst_at..burst_end).contains(&started.elapsed());
        if is_burst && !told {
            record.note(&format!("{RARE} rare adapters are asked for at once"));
            told = true;
        }
        let adapter = if is_burst {
            rand::random_range(1..=RARE)
        } else {
            rand::random_range(1..=COMMON)
        };
        let entry = callers[rand::random_range(0..callers.len())];
        let (client, answers, record_sent) = (client.clone(), Arc::clone(&answers), record.clone());
        tokio::spawn(async move {
            let answer = draft(adapter, 8).send(&client, entry).await;
            let end = if answer.complete { "" } else { " cut" };
            record_sent.line(&format!(
                "{} for base/a{adapter} sent to {entry}: answer {}{end}",
                answer.id, answer.status
            ));
            if let Ok(mut all) = answers.lock() {
                *all.entry(format!("{}{end}", answer.status)).or_insert(0) += 1;
            }
        });
        for engine in &engines {
            if engine.has_crashed() {
                continue;
            }
            if engine.excess_loads() > 0 {
                let (held, coming) = report(engine).await;
                record.note(&format!(
                    "{} has or loads {} adapters of {ADAPTER_MB} MB beside a model of {MODEL_MB} MB, in {CAPACITY_MB} MB, and was ordered to load a further one: it crashes",
                    engine.config.id, held + coming
                ));
                engine.crash();
                broken.push(engine.config.id.clone());
            }
        }
    }
    for engine in engines.iter().filter(|e| !e.has_crashed()) {
        let (held, coming) = report(engine).await;
        most = most.max(held + coming);
        broken.extend((engine.excess_loads() > 0).then(|| engine.config.id.clone()));
    }
    for engine in &engines {
        for run in engine.runs() {
            record.line(&format!(
                "{} ran at {} on {}",
                run.id, engine.config.id, run.loaded_model
            ));
        }
        record.note(&format!(
            "{}: {} adapter loads, {} orders accepted",
            engine.config.id,
            engine.loads(),
            engine.accepted_orders()
        ));
    }
    if let Ok(all) = answers.lock() {
        record.note(&format!(
            "answers by status: {all:?}; most adapters at an engine at the end: {most}, {FIT} fit"
        ));
    }
    let is_broken = !broken.is_empty();
    record.note(if is_broken {
        "LIMIT is broken"
    } else {
        "LIMIT held"
    });
    Ok(if is_broken { BROKEN } else { HELD })
}
