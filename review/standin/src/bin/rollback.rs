//! The store returns from an older copy after an engine has passed from one machine to another.
//!
//! A machine that holds engines is stopped as planned and is back some seconds later; meanwhile another machine has taken its
//! engines over. Then the store is away for a moment and returns with a copy from before the takeover.

use carobfield_platform_standin::{
    caller,
    deployment::{MODEL, configuration},
    objects::{ObjectStore, Outage},
    runner::{Runner, RunnerConfig},
};
use carobfield_review_standin::{
    Answers, BROKEN, Block, Copies, EntryProcess, HELD, NOT_RUN, Record, TempDir, holder, is_calm,
    is_ready, register, wait_for_start,
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio_util::sync::CancellationToken;

const ENTRIES: u8 = 3;
const ENGINES: u8 = 4;
const SLOTS: usize = 4;
const ADAPTERS: u32 = 100;
const LEASE: Duration = Duration::from_secs(3);

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

async fn run() -> Result<i32, Box<dyn std::error::Error>> {
    let record = Record::create()?;
    let block = Block::find().ok_or("no free addresses")?;
    let dir = TempDir::create()?;
    let stop = CancellationToken::new();
    let store = ObjectStore::start(block.address(1, 7000), stop.clone()).await?;
    // All answers name an era from the beginning.
    store.restore(&store.back_up());
    store.put("config", "main", &configuration(1, SLOTS));
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let config = RunnerConfig {
            id: format!("engine-{n}"),
            service: String::from("engines"),
            version: "v1",
            address: block.address(100 + n, 9000),
            model: Some(String::from(MODEL)),
            adapter_slots: SLOTS,
            max_requests: 8,
            service_time: Duration::ZERO,
        };
        let engine = Runner::start(config, &stop).await?;
        register(&store, &engine);
        engines.push(engine);
    }
    let mut entries: Vec<EntryProcess> = (0..ENTRIES)
        .map(|n| EntryProcess::new(block, n, ENTRIES, &dir.0))
        .collect();
    for entry in &mut entries {
        entry.start(true)?;
    }
    let ready: Vec<_> = entries.iter().map(|e| e.ready).collect();
    if !wait_for_start(&store, &ready, engines.len(), Duration::from_secs(15)).await {
        return Err("the deployment did not start".into());
    }
    let copies = Copies::start(&store);
    let callers = Arc::new(Mutex::new(
        entries.iter().map(|e| e.callers).collect::<Vec<_>>(),
    ));
    let answers = Answers::start(Arc::clone(&callers), ADAPTERS, 50);
    tokio::time::sleep(Duration::from_secs(4)).await;

    // The machine that holds most engines is stopped.
    let held_by = |name: &str| {
        engines
            .iter()
            .filter(|e| holder(&store, &e.config.id).as_deref() == Some(name))
            .count()
    };
    let stopped = (0..entries.len())
        .max_by_key(|n| held_by(&entries[*n].name))
        .unwrap_or(0);
    let name = entries[stopped].name.clone();
    let moved: Vec<Arc<Runner>> = engines
        .iter()
        .filter(|e| holder(&store, &e.config.id).as_deref() == Some(&*name))
        .cloned()
        .collect();
    let ids: Vec<&str> = moved.iter().map(|e| &*e.config.id).collect();
    record.note(&format!(
        "SIGTERM to {name}, which holds {}",
        ids.join(", ")
    ));
    let left = entries[stopped].callers;
    entries[stopped].signal("TERM");
    callers
        .lock()
        .map_err(|_| "poisoned")?
        .retain(|c| *c != left);
    if !entries[stopped].wait_exit(Duration::from_secs(8)).await {
        return Err("the stopped entry did not end within the grace period".into());
    }
    record.note(&format!("{name} has ended"));

    // Another machine takes its engines over.
    let started = Instant::now();
    while held_by(&name) > 0 {
        if started.elapsed() > Duration::from_secs(20) {
            return Err("the engines were not taken over".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let taken = Instant::now();
    for id in &ids {
        record.note(&format!(
            "{id} is held by {} now",
            holder(&store, id).unwrap_or_default()
        ));
    }
    entries[stopped].start(false)?;
    record.note(&format!("{name} is started again"));
    let client = caller::client();
    while !is_ready(&client, entries[stopped].ready).await {
        if taken.elapsed() > Duration::from_secs(10) {
            return Err("the stopped entry did not become ready again".into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    callers.lock().map_err(|_| "poisoned")?.push(left);

    // The new holder has sent orders.
    let has_orders = |e: &Arc<Runner>| {
        e.received_orders()
            .iter()
            .any(|o| o.received_at > taken && o.holder != name)
    };
    while !moved.iter().any(has_orders) {
        if taken.elapsed() > Duration::from_secs(12) {
            return Err("the new holder sent no orders".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    if is_calm() {
        record.note("TROUBLE=0: the store stays");
    } else {
        store.set_outage(Outage::Reset);
        record.note("the store is away");
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (at, copy) = copies
            .at(taken - Duration::from_millis(100))
            .ok_or("no copy")?;
        let age = at.elapsed();
        store.restore(&copy);
        // The operator and the runners write again what they wrote; the configuration is the same.
        store.put("config", "main", &configuration(1, SLOTS));
        store.set_outage(Outage::None);
        record.note(&format!(
            "the store is back with a copy that is {:.1} s old",
            age.as_secs_f64()
        ));
        for id in &ids {
            record.note(&format!(
                "{id} is held by {} in the copy",
                holder(&store, id).unwrap_or_default()
            ));
        }
    }
    tokio::time::sleep(Duration::from_secs(20)).await;
    for entry in &mut entries {
        if !entry.runs() {
            record.note(&format!("{} has ended by itself", entry.name));
        }
        entry.kill();
    }
    record.note(&format!("answers by status: {}", answers.counts()));
    answers.write(&record, &engines);
    let broken = check(&record, &engines);
    record.note(if broken { "ONE is broken" } else { "ONE held" });
    Ok(if broken { BROKEN } else { HELD })
}

/// Checks the orders that each engine got, as the rule ONE has them; all machines count, as the engines check no fences.
fn check(record: &Record, engines: &[Arc<Runner>]) -> bool {
    let mut broken = false;
    for engine in engines {
        let orders = engine.received_orders();
        let mut holders: BTreeMap<u64, Vec<String>> = BTreeMap::new();
        let (mut highest, mut lower, mut turns) = (0, 0, 0);
        for (n, order) in orders.iter().enumerate() {
            record.line_at(
                order.received_at,
                &format!(
                    "{} got an order: holder {} fencingToken {}",
                    engine.config.id, order.holder, order.generation
                ),
            );
            let named = holders.entry(order.generation).or_default();
            if !named.contains(&order.holder) {
                named.push(order.holder.clone());
            }
            lower += u32::from(order.generation < highest);
            highest = highest.max(order.generation);
            let previous = n.checked_sub(1).map(|p| &orders[p]);
            let is_turn = previous.is_some_and(|p| {
                p.holder != order.holder && order.received_at - p.received_at < LEASE
            });
            turns += u32::from(is_turn);
        }
        let shared: Vec<String> = holders
            .iter()
            .filter(|(_, all)| all.len() > 1)
            .map(|(token, all)| format!("{token} by {}", all.join(" and ")))
            .collect();
        record.note(&format!(
            "{}: {} orders; fencing tokens of two holders: [{}]; lower tokens after higher ones: {lower}; turns within leaseMs: {turns}",
            engine.config.id, orders.len(), shared.join("; ")
        ));
        broken |= !shared.is_empty() || lower > 0 || turns > 0;
    }
    broken
}
