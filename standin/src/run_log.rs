//! What an upstream ran, loaded and evicted, in order; the proofs read it.

use carobfield::{clock, holding::lock};
use serde::{Deserialize, Serialize};
use std::sync::Mutex;

/// Kind of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogKind {
    /// A request began to run.
    Start,
    /// A request ended.
    End,
    /// An adapter was loaded.
    Load,
    /// An adapter was evicted.
    Evict,
    /// An order with an old fencing number was refused.
    Fenced,
    /// The upstream started empty.
    Boot,
    /// The upstream crashed on a request.
    Crash,
    /// A request's answer was resumed.
    Resume,
}

/// One entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogEntry {
    /// Kind.
    pub kind: LogKind,
    /// Upstream.
    pub upstream: String,
    /// Request identifier and try, as the dispatcher named it.
    pub request: String,
    /// Model, or the path of a service's call.
    pub model: String,
    /// Hash of the body, by which one submission is known in several tries.
    pub body: String,
    /// Requests that the adapter served at this moment.
    pub in_flight: u32,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// An upstream's entries.
#[derive(Debug, Default)]
pub struct RunLog {
    entries: Mutex<Vec<LogEntry>>,
}

impl RunLog {
    /// Adds an entry with the present time.
    pub fn push(&self, kind: LogKind, upstream: &str, request: &str, model: &str, in_flight: u32) {
        self.push_body(kind, upstream, request, model, "", in_flight);
    }

    /// Adds an entry with a body's hash.
    pub fn push_body(
        &self,
        kind: LogKind,
        upstream: &str,
        request: &str,
        model: &str,
        body: &str,
        in_flight: u32,
    ) {
        let entry = LogEntry {
            kind,
            upstream: upstream.to_owned(),
            request: request.to_owned(),
            model: model.to_owned(),
            body: body.to_owned(),
            in_flight,
            at_ms: clock::unix_ms(),
        };
        lock(&self.entries).push(entry);
    }

    /// All entries so far.
    pub fn all(&self) -> Vec<LogEntry> {
        lock(&self.entries).clone()
    }
}
