//! Rule MIXED, where some answers of runners have a wrong byte in the name of their seal's header.

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
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// One in this many answers of half of the runners: `garble` has a share of 0.5 and x 0.02.
const SPOILS: u64 = 50;

fn main() {
    let record = Record::open();
    let store = Store::start(address(1, 8142), Some(1))
        .unwrap_or_else(|e| record.cannot_run(&e.to_string()));
    store.put("config", "main", &site::configuration(1));
    let _runners: Vec<Arc<Runner>> = (0..4)
        .map(|n| {
            let kind = Kind {
                id: format!("s-{n}"),
                service: "app".into(),
                version: "v1".into(),
                model: String::new(),
                places: 0,
                slots: 6,
                step: Duration::from_millis(15),
                events: 0,
                id_step: 1,
                spoils: if n < 2 && has_trouble() { SPOILS } else { 0 },
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
    thread::sleep(Duration::from_secs(2));
    let wrong: Arc<Mutex<(u32, u32)>> = Arc::default();
    let clients: Vec<_> = entries
        .iter()
        .flat_map(|entry| ["/status/x", "/feed/x"].map(|path| (entry.clients(), path)))
        .map(|(to, path)| {
            let (record, wrong) = (record.clone(), Arc::clone(&wrong));
            thread::spawn(move || {
                for _ in 0..150 {
                    let ask = Ask {
                        path: path.into(),
                        model: String::new(),
                        deadline: Duration::from_millis(600),
                        resumes: None,
                    };
                    let (id, response) = ask.send(to);
                    let is_wrong =
                        response.status / 100 == 2 && response.header("x-response-seal").is_empty();
                    let mut counts = wrong.lock().unwrap();
                    counts.0 += 1;
                    counts.1 += u32::from(is_wrong);
                    record.add(&format!(
                        "{path} {id} at {to}: status {}, {}",
                        response.status,
                        if is_wrong {
                            "WITHOUT A SEAL"
                        } else {
                            "as it should be"
                        }
                    ));
                }
            })
        })
        .collect();
    for client in clients {
        let _ended = client.join();
    }
    let (sent, wrong) = *wrong.lock().unwrap();
    record.end(
        wrong > 0,
        &format!("{wrong} of {sent} requests got a success without the runner's seal"),
    );
}
