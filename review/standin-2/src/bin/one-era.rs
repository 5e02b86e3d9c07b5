//! Rule ONE, after the store has returned from an older copy for the first time.

use carobfield_review_2::{
    address,
    entry::Site,
    has_trouble,
    record::Record,
    runner::{Kind, Order, Runner},
    site::{self, Ask, MODEL},
    store::{Content, Store},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Model runners.
const ENGINES: u8 = 8;

/// `leaseMs` of the sheets.
const LEASE: Duration = Duration::from_millis(3_000);

/// Time for which one machine is partitioned from the store: the sheets' `core_cut` has up to 5.5 s.
const CUT: Duration = Duration::from_millis(5_500);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(800);

fn holder(store: &Store, engine: &str) -> String {
    store
        .get("carobfield-holders", engine)
        .map(|r| r.get("holder").str().to_owned())
        .unwrap_or_default()
}

/// Returns what breaks the rule in the orders that one runner got from `since` on.
fn violations(orders: &[Order], since: Instant, record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    let mut highest: u64 = 0;
    for (n, order) in orders.iter().enumerate() {
        if order.at >= since && n > 0 {
            let before = &orders[n - 1];
            let gap = order.at.duration_since(before.at);
            if before.holder != order.holder && gap < LEASE {
                found.push(format!(
                    "turn from {} to {} within {} ms at {}",
                    before.holder,
                    order.holder,
                    gap.as_millis(),
                    record.ms(order.at)
                ));
            }
            if order.token < highest {
                found.push(format!(
                    "token {} of {} after {highest} at {}",
                    order.token,
                    order.holder,
                    record.ms(order.at)
                ));
            }
            if let Some(other) = orders[..n]
                .iter()
                .find(|o| o.token == order.token && o.holder != order.holder)
            {
                found.push(format!(
                    "{} and {} share token {}",
                    other.holder, order.holder, order.token
                ));
            }
        }
        highest = highest.max(order.token);
    }
    found
}

fn main() {
    let record = Record::open();
    // The number that a store names which has never come back from a copy; the pages do not say which it is.
    let era = std::env::var("ERA")
        .ok()
        .and_then(|e| e.parse().ok())
        .unwrap_or(0);
    let store = Store::start(address(1, 8142), Some(era))
        .unwrap_or_else(|e| record.cannot_run(&e.to_string()));
    store.put("config", "main", &site::configuration(1));
    let engines: Vec<Arc<Runner>> = (0..ENGINES)
        .map(|n| {
            let kind = Kind {
                id: format!("i-{n}"),
                service: "models".into(),
                version: "v1".into(),
                model: MODEL.into(),
                places: 4,
                slots: 32,
                step: Duration::from_millis(10),
                events: 3,
                id_step: 1,
                spoils: 0,
            };
            Runner::start(kind, address(100 + n, 9000), &store)
                .unwrap_or_else(|e| record.cannot_run(&e.to_string()))
        })
        .collect();
    let ids: Vec<&str> = engines.iter().map(|e| e.kind.id.as_str()).collect();
    let site = Site {
        store: address(1, 8142),
        entries: 4,
        grace_s: 8,
    };
    let mut entries = site::start_entries(&site, &record);
    site::wait_for_holders(&store, &ids, &record);

    let answers: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    // Clients ask every machine for more adapters than the runners have places for.
    for entry in &entries {
        for part in 0..4_u64 {
            let (to, answers) = (entry.clients(), Arc::clone(&answers));
            thread::spawn(move || {
                for n in 0_u64.. {
                    let ask = Ask {
                        path: "/draft/x".into(),
                        model: format!("{MODEL}/a{}", 1 + (n * 7 + part * 13) % 120),
                        deadline: Duration::from_secs(2),
                        resumes: None,
                    };
                    let (_id, response) = ask.send(to);
                    *answers.lock().unwrap().entry(response.status).or_default() += 1;
                    thread::sleep(Duration::from_millis(if response.status == 200 {
                        10
                    } else {
                        40
                    }));
                }
            });
        }
    }
    thread::sleep(Duration::from_secs(2));

    // Planned work: the machine that holds the most runners is stopped, and started again once others hold them.
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for id in &ids {
        *counts.entry(holder(&store, id)).or_default() += 1;
    }
    let first = counts
        .iter()
        .max_by_key(|(_, n)| **n)
        .map(|(h, _)| h.clone())
        .unwrap_or_default();
    let moved: Vec<&str> = ids
        .iter()
        .copied()
        .filter(|id| holder(&store, id) == first)
        .collect();
    let at = entries
        .iter()
        .position(|e| e.name == first)
        .unwrap_or_else(|| record.cannot_run("no holder"));
    record.add(&format!("{first} holds {moved:?}; it is stopped"));
    entries[at].signal("TERM");
    if !entries[at].wait_for_exit(Duration::from_secs(9)) {
        record.cannot_run("it has not stopped");
    }
    record.add("it has stopped");
    let copies: Arc<Mutex<Vec<(Instant, Content)>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(25);
    while moved.iter().any(|id| holder(&store, id) == first) {
        if moved.iter().all(|id| holder(&store, id) == first) {
            copies.lock().unwrap().push((Instant::now(), store.copy()));
        }
        if Instant::now() > until {
            record.cannot_run("nobody has taken its runners over");
        }
        thread::sleep(Duration::from_millis(20));
    }
    let (copied, copy) = copies
        .lock()
        .unwrap()
        .pop()
        .unwrap_or_else(|| record.cannot_run("no copy"));
    entries[at].start(false);
    if !entries[at].wait_until_ready(Duration::from_secs(5)) {
        record.cannot_run("it is not ready again");
    }
    let holders: Vec<String> = moved
        .iter()
        .map(|id| format!("{id} by {}", holder(&store, id)))
        .collect();
    record.add(&format!(
        "it is ready again; now held: {}",
        holders.join(", ")
    ));
    // The new holders wait 3.5 s before their first orders.
    thread::sleep(Duration::from_millis(4_500));

    // The drill, while the machine that now holds the most of them is partitioned from the store.
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for id in &moved {
        *counts.entry(holder(&store, id)).or_default() += 1;
    }
    let second = counts
        .iter()
        .max_by_key(|(_, n)| **n)
        .map(|(h, _)| h.clone())
        .unwrap_or_default();
    let since = Instant::now();
    if has_trouble() {
        let cut = entries
            .iter()
            .find(|e| e.name == second)
            .unwrap_or_else(|| record.cannot_run("no second holder"));
        if std::env::var("CUT").as_deref() != Ok("0") {
            record.add(&format!("{second} is partitioned from the store"));
            store.partition(&[cut.clients().ip()]);
            thread::sleep(Duration::from_millis(200));
        }
        record.add("the store goes away");
        store.go_away();
        thread::sleep(AWAY);
        store.come_back(&copy);
        record.add(&format!(
            "the store is back from a copy that is {} ms old, in the next era",
            copied.elapsed().as_millis()
        ));
        store.put("config", "main", &site::configuration(1));
        for engine in &engines {
            engine.register(&store);
        }
    }
    thread::sleep(CUT.saturating_sub(since.elapsed()));
    let seen = Instant::now();
    store.partition(&[]);
    record.add("the partition has ended");

    record.add(&format!(
        "answers to clients by status, 0 for none: {:?}",
        answers.lock().unwrap()
    ));
    let mut found = Vec::new();
    for engine in &engines {
        let orders: Vec<Order> = engine
            .orders()
            .into_iter()
            .filter(|o| o.at <= seen)
            .collect();
        let is_moved = moved.contains(&engine.kind.id.as_str());
        for order in orders.iter().filter(|o| is_moved && o.at + LEASE >= since) {
            record.add(&format!(
                "order to {}: at {} ms from {} token {}: {} -> {}",
                engine.kind.id,
                record.ms(order.at),
                order.holder,
                order.token,
                order.what,
                order.status
            ));
        }
        for violation in violations(&orders, since, &record) {
            record.add(&format!("VIOLATION at {}: {violation}", engine.kind.id));
            found.push(violation);
        }
    }
    for entry in &entries {
        for line in entry.log().lines().filter(|l| {
            l.contains("placement: the store")
                || l.contains("taken over")
                || l.contains("another era")
        }) {
            record.add(&format!("log of {}: {line}", entry.name));
        }
    }
    record.end(
        !found.is_empty(),
        &format!("{} violations of ONE", found.len()),
    );
}
