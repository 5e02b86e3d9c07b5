//! What the cases have in common: the configuration, the start of a deployment, and traffic.

use crate::{
    entry::{Entry, Site},
    http::{self, Response},
    record::Record,
    store::Store,
};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Base model.
pub const MODEL: &str = "m0";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000_u64 + NEXT_ID.fetch_add(1, Ordering::Relaxed)
    )
}

/// Returns the operator's configuration: `/draft/` (streaming), `/long/` (streaming, resumable), `/status/` (unsafe), `/feed/` (safe).
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, extra: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":20000,\"targetLatencyMs\":800,\"priority\":0,\"service\":\"{service}\"{extra}}}"
        )
    };
    let routes = [
        route(
            "draft",
            "streaming",
            "models",
            ",\"maxAttempts\":1,\"sticky\":true,\"gapTargetMs\":300",
        ),
        route(
            "long",
            "streaming",
            "models",
            ",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":300",
        ),
        route("status", "unsafe", "app", ",\"maxAttempts\":1"),
        route("feed", "safe", "app", ",\"maxAttempts\":2"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"models\",\"healthPath\":\"/healthz\",\"maxConnections\":230,\"engine\":{{\"slots\":32,\"kvCapacity\":121476,\"adapterSlots\":4,\"weightsMb\":67000,\"loadsPerS\":6.2,\"models\":[{{\"name\":\"{MODEL}\",\"weightsMb\":65100,\"loadS\":1.9,\"adapters\":3000,\"adapterMb\":66}}]}}}},{{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":96}}],\"limits\":{{\"maxHeaderBytes\":8192,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Returns the same with `/long/` split between the services `models` and `models-b`, in equal parts.
pub fn split_configuration(version: u64) -> String {
    let split = "\"trafficSplit\":[{\"service\":\"models\",\"weight\":50},{\"service\":\"models-b\",\"weight\":50}],\"maxAttempts\":2";
    let text = configuration(version).replace("\"service\":\"models\",\"maxAttempts\":2", split);
    let at = text.find("{\"name\":\"models\"").unwrap_or_default();
    let end = text.find(",{\"name\":\"app\"").unwrap_or_default();
    let second = text[at..end].replacen("models", "models-b", 1);
    format!("{},{second}{}", &text[..end], &text[end..])
}

/// Starts all machines of a site for the first time, and waits until all are ready.
pub fn start_entries(site: &Site, record: &Record) -> Vec<Entry> {
    let mut entries: Vec<Entry> = (0..site.entries).map(|n| Entry::new(site, n)).collect();
    for entry in &mut entries {
        entry.start(true);
    }
    for entry in &entries {
        if !entry.wait_until_ready(Duration::from_secs(15)) {
            record.cannot_run(&format!("{} is not ready", entry.name));
        }
    }
    record.add(&format!("{} machines are ready", entries.len()));
    entries
}

/// Waits until every one of `engines` has a holder record.
pub fn wait_for_holders(store: &Store, engines: &[&str], record: &Record) {
    let until = Instant::now() + Duration::from_secs(15);
    while engines
        .iter()
        .any(|e| store.get("carobfield-holders", e).is_none())
    {
        if Instant::now() > until {
            record.cannot_run("not every model runner has a holder");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_secs(1));
    record.add("every model runner has a holder");
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Path.
    pub path: String,
    /// `X-Model`, or empty.
    pub model: String,
    /// Deadline.
    pub deadline: Duration,
    /// `Last-Event-Id` and `Resumes`.
    pub resumes: Option<(u64, String)>,
}

impl Ask {
    /// Sends it to a machine under a new id, which is returned with the response.
    pub fn send(&self, entry: std::net::SocketAddr) -> (String, Response) {
        let id = new_id();
        let mut headers = vec![
            ("Host", HOST.to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", self.deadline.as_millis().to_string()),
        ];
        if !self.model.is_empty() {
            headers.push(("X-Model", self.model.clone()));
            headers.push(("X-Token-Usage", "40,40".into()));
            headers.push(("X-Prompt-Prefix", format!("5c1e07a2:20,{id}:20")));
        }
        if let Some((last, first)) = &self.resumes {
            headers.push(("Last-Event-Id", last.to_string()));
            headers.push(("Resumes", first.clone()));
        }
        let response = http::call(
            entry,
            "POST",
            &self.path,
            &headers,
            "a permit",
            self.deadline,
        );
        (id, response)
    }
}
