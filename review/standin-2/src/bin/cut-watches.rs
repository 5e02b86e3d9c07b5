//! Rule DRAIN, while the store cuts off watches that wait.

use carobfield_review_2::{
    address,
    entry::Site,
    has_trouble,
    record::Record,
    runner::{Kind, Runner},
    site::{self, Ask},
    store::Store,
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// `drainMs` of the sheets.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which the runner that leaves goes on serving: `drainMs` and a little longer.
const SERVES: Duration = Duration::from_millis(2_500);

/// Pause between two cuts of the watches.
const CUT_EVERY: Duration = Duration::from_millis(1_500);

/// Number of cuts.
const CUTS: u32 = 4;

fn main() {
    let record = Record::open();
    let store = Store::start(address(1, 8142), Some(1))
        .unwrap_or_else(|e| record.cannot_run(&e.to_string()));
    store.put("config", "main", &site::configuration(1));
    let runners: Vec<Arc<Runner>> = (0..3)
        .map(|n| {
            let kind = Kind {
                id: format!("s-{n}"),
                service: "app".into(),
                version: "v1".into(),
                model: String::new(),
                places: 0,
                slots: 6,
                step: Duration::from_millis(60),
                events: 0,
                id_step: 1,
                spoils: 0,
            };
            Runner::start(kind, address(200 + n, 9000), &store)
                .unwrap_or_else(|e| record.cannot_run(&e.to_string()))
        })
        .collect();
    let site = Site {
        store: address(1, 8142),
        entries: 3,
        grace_s: 8,
    };
    let entries = site::start_entries(&site, &record);
    thread::sleep(Duration::from_secs(4));

    // Clients of the unsafe route at every machine.
    let done = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    for entry in &entries {
        for _ in 0..4 {
            let (to, done, answers) = (entry.clients(), Arc::clone(&done), Arc::clone(&answers));
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    let ask = Ask {
                        path: "/status/x".into(),
                        model: String::new(),
                        deadline: Duration::from_millis(1_500),
                        resumes: None,
                    };
                    let (id, response) = ask.send(to);
                    answers.lock().unwrap().push((id, response.status));
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    }
    thread::sleep(Duration::from_secs(4));

    let cutting = {
        let (store, record) = (store.clone(), record.clone());
        let callers: Vec<_> = entries.iter().map(|e| e.clients().ip()).collect();
        thread::spawn(move || {
            for _ in 0..CUTS {
                if has_trouble() {
                    store.cut_watches("servers", &callers);
                    record.add("one waiting watch of `servers` of each machine is cut off");
                }
                thread::sleep(CUT_EVERY);
            }
        })
    };
    // Planned work: a runner that does not report `draining` leaves 0.8 s after the first cut.
    thread::sleep(Duration::from_millis(800));
    let leaving = &runners[0];
    let acknowledged = leaving.leave(&store);
    record.add(&format!(
        "the entry of {} is removed; it goes on serving",
        leaving.kind.id
    ));
    thread::sleep(SERVES.saturating_sub(acknowledged.elapsed()));
    leaving.end();
    record.add(&format!("{} has ended", leaving.kind.id));
    let _ended = cutting.join();
    done.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));

    let runs = leaving.runs();
    let late: Vec<_> = runs
        .iter()
        .filter(|r| r.at > acknowledged + DRAIN)
        .collect();
    for run in &late {
        record.add(&format!(
            "{} ran at {} {} ms after its leaving was acknowledged",
            run.id,
            leaving.kind.id,
            run.at.duration_since(acknowledged).as_millis()
        ));
    }
    let answers = answers.lock().unwrap();
    let mut lost = 0;
    for (id, status) in answers.iter() {
        let at = runners
            .iter()
            .find(|r| r.runs().iter().any(|run| run.id == *id))
            .map_or("none", |r| r.kind.id.as_str());
        lost += u32::from(*status == 502 || *status == 0);
        record.add(&format!("request {id}: status {status}, ran at {at}"));
    }
    for entry in &entries {
        for line in entry.log().lines().filter(|l| {
            l.contains("upstream gone") || l.contains("dependency") || l.contains("kept for now")
        }) {
            record.add(&format!("log of {}: {line}", entry.name));
        }
    }
    record.end(
        !late.is_empty(),
        &format!("{} requests reached the runner later than {} ms after the acknowledgement; {lost} requests of {} were lost", late.len(), DRAIN.as_millis(), answers.len()),
    );
}
