//! Rule ORDER, after many machines have stopped at the same time at the end of a release.

use carobfield_review_2::{
    address,
    entry::Site,
    has_trouble,
    http::Response,
    record::Record,
    runner::{Kind, Runner},
    site::{self, Ask, MODEL},
    store::Store,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Machines. Nine of them follow the store for all; the tenth learns from them.
const ENTRIES: u8 = 10;

/// Streams that are under way when the machines stop.
const STREAMS: usize = 8;

/// Time from the start of the machines to the release.
const BEFORE: Duration = Duration::from_secs(66);

/// Time for which the machines have no power: the sheets' `herd_kill` has 2 s and their `node_kill` 3.5 s.
const DARK: Duration = Duration::from_millis(3_500);

/// Deadline of a stream: 20 s in the sheets.
const DEADLINE: Duration = Duration::from_secs(20);

fn runner(n: u8, version: &str, store: &Store, record: &Record) -> Arc<Runner> {
    let kind = Kind {
        id: format!("i-{version}-{n}"),
        service: "models".into(),
        version: version.into(),
        model: MODEL.into(),
        places: 4,
        slots: 32,
        step: Duration::from_millis(100),
        events: 60,
        id_step: 1,
        spoils: 0,
    };
    Runner::start(kind, address(100 + n, 9000), store)
        .unwrap_or_else(|e| record.cannot_run(&e.to_string()))
}

/// Returns the software versions in a body, with the number of events of each, and the last complete event.
fn events(body: &str) -> (BTreeMap<String, usize>, u64) {
    let mut versions = BTreeMap::new();
    let mut last = 0;
    for event in body.split_inclusive("\n\n").filter(|e| e.ends_with("\n\n")) {
        let id = event.lines().find_map(|l| l.strip_prefix("id: "));
        last = id.and_then(|id| id.parse().ok()).unwrap_or(last);
        let version = event
            .split("software ")
            .nth(1)
            .and_then(|t| t.split(' ').next());
        *versions
            .entry(version.unwrap_or("?").to_owned())
            .or_default() += 1;
    }
    (versions, last)
}

/// Plays one stream: the first try, and one more after a break, at the machine `second`.
fn play(
    number: usize,
    first: SocketAddr,
    second: SocketAddr,
    record: &Record,
) -> BTreeMap<String, usize> {
    let started = Instant::now();
    let ask = Ask {
        path: "/long/x".into(),
        model: MODEL.into(),
        deadline: DEADLINE,
        resumes: None,
    };
    let (id, response) = ask.send(first);
    let (mut versions, last) = events(&response.body);
    record.add(&format!(
        "stream {number}: try {id} at {first}: status {}, complete {}, events {versions:?}",
        response.status, response.complete
    ));
    if response.complete || last == 0 {
        return versions;
    }
    // The client retries within its deadline; a refused connection is a try that failed.
    while started.elapsed() + Duration::from_secs(1) < DEADLINE {
        let ask = Ask {
            deadline: DEADLINE - started.elapsed(),
            resumes: Some((last, id.clone())),
            ..ask.clone()
        };
        let (again, response): (String, Response) = ask.send(second);
        if response.status == 0 {
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        let (more, _last) = events(&response.body);
        record.add(&format!(
            "stream {number}: try {again} at {second} after event {last}: status {} {}, complete {}, events {more:?}",
            response.status, response.body.lines().next().filter(|_| response.status != 200).unwrap_or(""), response.complete
        ));
        for (version, count) in more {
            *versions.entry(version).or_default() += count;
        }
        if response.status != 503 {
            break;
        }
        let pause = response.header("retry-after").parse().unwrap_or(0.3);
        thread::sleep(Duration::from_secs_f64(pause));
    }
    versions
}

fn main() {
    let record = Record::open();
    let store = Store::start(address(1, 8142), Some(1))
        .unwrap_or_else(|e| record.cannot_run(&e.to_string()));
    store.put("config", "main", &site::configuration(1));
    let old: Vec<Arc<Runner>> = (0..2).map(|n| runner(n, "v1", &store, &record)).collect();
    let started = Instant::now();
    let site = Site {
        store: address(1, 8142),
        entries: ENTRIES,
        grace_s: 8,
    };
    let mut entries = site::start_entries(&site, &record);
    site::wait_for_holders(&store, &["i-v1-0", "i-v1-1"], &record);

    // The machine outside the control set writes its member record once.
    thread::sleep(Duration::from_secs(15).saturating_sub(started.elapsed()));
    let counter = |name: &str| {
        store
            .get("carobfield-members", name)
            .and_then(|r| r.get("counter").int())
    };
    let before: Vec<Option<u64>> = entries.iter().map(|e| counter(&e.name)).collect();
    thread::sleep(Duration::from_secs(5));
    let outside = (0..entries.len())
        .find(|n| before[*n].is_some() && counter(&entries[*n].name) == before[*n]);
    let outside = outside.unwrap_or_else(|| record.cannot_run("every machine renews its record"));
    record.add(&format!(
        "{} has written its member record {} times and does not renew it",
        entries[outside].name,
        before[outside].unwrap_or(0)
    ));
    let before = std::env::var("BEFORE_S").ok().and_then(|s| s.parse().ok());
    thread::sleep(
        before
            .map_or(BEFORE, Duration::from_secs)
            .saturating_sub(started.elapsed()),
    );

    // Streams begin at the old version.
    let second = entries[outside].clients();
    let others: Vec<SocketAddr> = entries
        .iter()
        .map(|e| e.clients())
        .filter(|a| *a != second)
        .collect();
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (first, record) = (others[n % others.len()], record.clone());
            thread::spawn(move || play(n, first, second, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));

    // Planned work: new runners start, then the old ones leave without reporting `draining` and go on serving.
    let new: Vec<Arc<Runner>> = (2..4).map(|n| runner(n, "v2", &store, &record)).collect();
    record.add("two runners of software v2 have started");
    thread::sleep(Duration::from_millis(1_500));
    for runner in &old {
        runner.leave(&store);
    }
    record.add("the entries of the runners of software v1 are removed; they go on serving");
    thread::sleep(Duration::from_millis(1_500));

    if has_trouble() {
        entries[outside].kill();
        for entry in &mut entries {
            entry.kill();
        }
        record.add("all machines have stopped at the same time");
        thread::sleep(Duration::from_millis(500));
        entries[outside].start(false);
        record.add(&format!("{} has started again", entries[outside].name));
        let dark = std::env::var("DARK_MS").ok().and_then(|ms| ms.parse().ok());
        let dark = dark.map_or(DARK, Duration::from_millis);
        thread::sleep(dark.saturating_sub(Duration::from_millis(500)));
        for entry in entries
            .iter_mut()
            .enumerate()
            .filter(|(n, _)| *n != outside)
            .map(|(_, e)| e)
        {
            entry.start(false);
        }
        record.add("the other machines have power again");
    }
    let played: Vec<BTreeMap<String, usize>> = streams
        .into_iter()
        .map(|s| s.join().unwrap_or_default())
        .collect();
    for runner in old.iter().chain(&new) {
        for run in runner.runs() {
            record.add(&format!(
                "run at {} of software {}: at {} ms {} after event {} (Resumes: {})",
                runner.kind.id,
                runner.kind.version,
                record.ms(run.at),
                run.id,
                run.after,
                run.resumes
            ));
        }
    }
    for line in entries[outside].log().lines().filter(|l| {
        l.contains("bound to a build")
            || l.contains("builds of the upstreams")
            || l.contains("stream of an earlier")
    }) {
        record.add(&format!("log of {}: {line}", entries[outside].name));
    }
    if !played.iter().all(|v| v.contains_key("v1")) {
        record.cannot_run("not every stream began at software v1");
    }
    let joined = played.iter().filter(|v| v.len() > 1).count();
    record.end(
        joined > 2,
        &format!("{joined} of {STREAMS} streams hold events of two software versions"),
    );
}
