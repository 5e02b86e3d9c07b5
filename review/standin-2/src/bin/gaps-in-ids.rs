//! Rule LOST for streams that clients take up again, where the ids of events increase by more than one.

use carobfield_review_2::{
    address,
    entry::Site,
    has_trouble,
    record::Record,
    runner::{Kind, Runner},
    site::{self, Ask, MODEL},
    store::Store,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Machines, as in the site.
const ENTRIES: u8 = 9;

/// Machines whose process is killed: `node_kill` has a share of 0.1.
const KILLED: usize = 1;

/// Difference between the ids of two events: an event of the site holds 6 tokens, and ids count tokens here.
const ID_STEP: u64 = 6;

/// Streams under way at this machine.
const STREAMS: usize = 25;

/// New streams that begin at the other machines meanwhile.
const NEW: usize = 20;

/// Deadline of a stream, as in the site.
const DEADLINE: Duration = Duration::from_secs(20);

fn runner(n: u8, version: &str, store: &Store, record: &Record) -> Arc<Runner> {
    let kind = Kind {
        id: format!("i-{version}-{n}"),
        service: "models".into(),
        version: version.into(),
        model: MODEL.into(),
        places: 4,
        slots: 64,
        step: Duration::from_millis(100),
        events: 50,
        id_step: std::env::var("ID_STEP")
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(ID_STEP),
        spoils: 0,
    };
    Runner::start(kind, address(100 + n, 9000), store)
        .unwrap_or_else(|e| record.cannot_run(&e.to_string()))
}

/// Returns the last complete event of a body.
fn last_event(body: &str) -> u64 {
    let events = body.split_inclusive("\n\n").filter(|e| e.ends_with("\n\n"));
    let ids = events.filter_map(|e| e.lines().find_map(|l| l.strip_prefix("id: ")));
    ids.last().and_then(|id| id.parse().ok()).unwrap_or(0)
}

/// Plays a stream at `first`, and once more at `second` if it breaks. Returns whether it was taken up again, and whether it went on.
fn play(number: usize, first: SocketAddr, second: SocketAddr, record: &Record) -> (bool, bool) {
    let started = Instant::now();
    let ask = Ask {
        path: "/long/x".into(),
        model: MODEL.into(),
        deadline: DEADLINE,
        resumes: None,
    };
    let (id, response) = ask.send(first);
    let last = last_event(&response.body);
    record.add(&format!(
        "stream {number}: try {id} at {first}: status {}, complete {}, last event {last}",
        response.status, response.complete
    ));
    if response.complete || last == 0 {
        return (false, false);
    }
    thread::sleep(Duration::from_millis(50));
    let ask = Ask {
        deadline: DEADLINE.saturating_sub(started.elapsed()),
        resumes: Some((last, id)),
        ..ask
    };
    let (again, response) = ask.send(second);
    let reached = last_event(&response.body);
    record.add(&format!(
        "stream {number}: try {again} at {second} after event {last}: status {} {}, reached event {reached}",
        response.status,
        response.body.lines().next().filter(|_| response.status != 200).unwrap_or("")
    ));
    (true, response.status == 200 && reached > last)
}

fn main() {
    let record = Record::open();
    let store = Store::start(address(1, 8142), Some(1))
        .unwrap_or_else(|e| record.cannot_run(&e.to_string()));
    store.put("config", "main", &site::configuration(1));
    let old: Vec<Arc<Runner>> = (0..3).map(|n| runner(n, "v1", &store, &record)).collect();
    let site = Site {
        store: address(1, 8142),
        entries: ENTRIES,
        grace_s: 8,
    };
    let mut entries = site::start_entries(&site, &record);
    let ids: Vec<&str> = old.iter().map(|r| r.kind.id.as_str()).collect();
    site::wait_for_holders(&store, &ids, &record);
    thread::sleep(Duration::from_secs(5));

    let all: Vec<SocketAddr> = entries.iter().map(|e| e.clients()).collect();
    let (killed, others) = all.split_at(KILLED);
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (first, second) = (killed[n % killed.len()], others[n % others.len()]);
            let record = record.clone();
            thread::spawn(move || play(n, first, second, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    if has_trouble() {
        for entry in entries.iter_mut().take(KILLED) {
            entry.kill();
        }
        record.add(&format!("the process of {KILLED} machine is killed"));
    }
    let began: Vec<_> = (0..NEW)
        .map(|n| {
            thread::sleep(Duration::from_millis(25));
            let (to, record) = (others[n % others.len()], record.clone());
            thread::spawn(move || {
                let ask = Ask {
                    path: "/long/x".into(),
                    model: MODEL.into(),
                    deadline: DEADLINE,
                    resumes: None,
                };
                let (id, response) = ask.send(to);
                record.add(&format!(
                    "new stream {id} at {to}: status {}",
                    response.status
                ));
                response.status == 200 && last_event(&response.body) > 0
            })
        })
        .collect();
    if has_trouble() {
        for entry in entries.iter_mut().take(KILLED) {
            entry.start(false);
        }
        record.add("it has started again");
    }
    let played: Vec<(bool, bool)> = streams
        .into_iter()
        .map(|s| s.join().unwrap_or_default())
        .collect();
    let taken_up = played.iter().filter(|(up, _)| *up).count();
    let went_on = played.iter().filter(|(_, on)| *on).count();
    let began = began
        .into_iter()
        .map(|s| s.join().unwrap_or(false))
        .filter(|b| *b)
        .count();
    for (n, entry) in entries.iter().enumerate() {
        for line in entry
            .log()
            .lines()
            .filter(|l| l.contains("event does not continue") || l.contains("bound to a build"))
        {
            let what = if n < KILLED { "killed" } else { "other" };
            record.add(&format!("log of {} ({what}): {line}", entry.name));
        }
    }
    if has_trouble() && taken_up < 12 {
        record.cannot_run("fewer than 12 streams were taken up again");
    }
    let broken = taken_up >= 12 && went_on * 2 * NEW < began * taken_up;
    record.end(
        broken,
        &format!("of {taken_up} streams that were taken up again, {went_on} went on; of {NEW} new ones {began} began"),
    );
}
