//! Log of what an upstream ran, loaded and evicted, in order; the tests check it.

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
    /// The upstream started, with no adapter loaded.
    Boot,
    /// The upstream crashed on a request.
    Crash,
    /// A request's response was resumed.
    Resume,
}

/// Entry of a run log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogEntry {
    /// Kind.
    pub kind: LogKind,
    /// Name of the upstream.
    pub upstream: String,
    /// Request identifier and attempt, as sent by the dispatcher.
    pub request: String,
    /// Model, or the path of a call to a service.
    pub model: String,
    /// Hash of the body, the same in every attempt of one submission.
    pub body: String,
    /// Requests in flight for the adapter at this moment.
    pub in_flight: u32,
    /// Time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Entries of one upstream.
#[derive(Debug, Default)]
pub struct RunLog {
    entries: Mutex<Vec<LogEntry>>,
}

impl RunLog {
    /// Appends an entry with the current time and no body hash.
    pub fn push(&self, kind: LogKind, upstream: &str, request: &str, model: &str, in_flight: u32) {
        self.push_with_body_hash(kind, upstream, request, model, "", in_flight);
    }

    /// Appends an entry with the current time and the hash of a body.
    pub fn push_with_body_hash(
        &self,
        kind: LogKind,
        upstream: &str,
        request: &str,
        model: &str,
        body_hash: &str,
        in_flight: u32,
    ) {
        let entry = LogEntry {
            kind,
            upstream: upstream.to_owned(),
            request: request.to_owned(),
            model: model.to_owned(),
            body: body_hash.to_owned(),
            in_flight,
            at_ms: clock::unix_ms(),
        };
        lock(&self.entries).push(entry);
    }

    /// Returns all entries so far.
    pub fn all(&self) -> Vec<LogEntry> {
        lock(&self.entries).clone()
    }
}
