//! Records of begun streams in the store, for entries that start after all that remember these streams have ended.
//!
//! | load pattern | response |
//! |---|---|
//! | all VMs lose power while two builds serve | a stream is in the store before its caller gets an event; only where that takes too long it may be missing |
//! | hundreds of streams begin each second | a record holds those of a few seconds, so that each write is small; later records take the place of the oldest |
//! | more streams begin than a record holds | the rest is dropped and counted; such a stream is unknown, and is not taken up by another build |
//! | a record is cut off or comes from another writer | it names no stream |

use crate::{edge::registration::Build, ident::StreamId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashSet},
    fmt::Write,
};

/// Time covered by one record, in seconds.
const PERIOD_S: u64 = 4;

/// Records of one writer; together they cover a minute, longer than any caller waits for the end of a stream.
pub const RECORDS: u64 = 16;

/// Largest number of streams in a record: well under the megabyte that the store takes.
pub const CAPACITY: usize = 16_384;

/// Hexadecimal digits of a stream's ID.
const ID_DIGITS: usize = 16;

/// Streams that one build began.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct StoredBatch {
    build: Build,
    /// IDs in hexadecimal, one after the other.
    streams: String,
}

/// Record as it is stored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct StoredRecord {
    period: u64,
    batches: Vec<StoredBatch>,
}

/// Streams that began within one period.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamRecord {
    /// Number of the period since the Unix epoch.
    pub period: u64,
    batches: BTreeMap<Build, HashSet<StreamId>>,
    count: usize,
}

impl StreamRecord {
    /// Creates the record for streams that begin at `unix_ms`.
    pub fn at(unix_ms: u64) -> Self {
        Self {
            period: unix_ms / 1_000 / PERIOD_S,
            ..Self::default()
        }
    }

    /// Returns whether streams that begin at `unix_ms` belong to this record.
    pub fn covers(&self, unix_ms: u64) -> bool {
        self.period == Self::at(unix_ms).period
    }

    /// Returns whether it has no streams.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the name under which the entry `writer` stores it.
    pub fn name(&self, writer: &str) -> String {
        format!("{writer}.{}", self.period % RECORDS)
    }

    /// Returns whether the record names `build` as the one that began `stream`.
    pub fn contains(&self, build: &Build, stream: StreamId) -> bool {
        let batch = self.batches.get(build);
        batch.is_some_and(|streams| streams.contains(&stream))
    }

    /// Adds a stream; returns false if the record is full.
    pub fn add(&mut self, build: &Build, stream: StreamId) -> bool {
        if self.count >= CAPACITY {
            return false;
        }
        let batch = self.batches.entry(build.clone()).or_default();
        self.count += usize::from(batch.insert(stream));
        true
    }

    /// Adds the streams of `other`, which an earlier process of the same writer stored, if it is of the same period.
    pub fn merge(&mut self, other: &Self) {
        if self.period == other.period {
            for (stream, build) in other.streams() {
                self.add(build, stream);
            }
        }
    }

    /// Returns the streams and the builds that began them.
    pub fn streams(&self) -> impl Iterator<Item = (StreamId, &Build)> {
        let batches = self.batches.iter();
        batches.flat_map(|(build, streams)| streams.iter().map(move |stream| (*stream, build)))
    }

    /// Returns the content to be stored.
    pub fn encode(&self) -> serde_json::Value {
        let batches = self.batches.iter().map(|(build, streams)| StoredBatch {
            build: build.clone(),
            streams: encode_ids(streams),
        });
        serde_json::json!(StoredRecord {
            period: self.period,
            batches: batches.collect(),
        })
    }

    /// Parses the content of a stored record.
    ///
    /// # Errors
    /// What can't be read.
    pub fn decode(content: &serde_json::Value) -> Result<Self, String> {
        let stored = StoredRecord::deserialize(content).map_err(|e| e.to_string())?;
        let mut record = Self {
            period: stored.period,
            ..Self::default()
        };
        for batch in &stored.batches {
            for stream in parse_ids(&batch.streams)? {
                record.add(&batch.build, stream);
            }
        }
        Ok(record)
    }
}

fn encode_ids(streams: &HashSet<StreamId>) -> String {
    streams.iter().fold(String::new(), |mut text, stream| {
        // Writing to a string does not fail.
        let _ = write!(text, "{:016x}", stream.0);
        text
    })
}

fn parse_ids(text: &str) -> Result<Vec<StreamId>, String> {
    if !text.is_ascii() || !text.len().is_multiple_of(ID_DIGITS) {
        return Err(format!("{} characters are no list of IDs", text.len()));
    }
    let ids = (0..text.len()).step_by(ID_DIGITS).map(|start| {
        let digits = &text[start..start + ID_DIGITS];
        let id = u64::from_str_radix(digits, 16);
        id.map(StreamId).map_err(|e| format!("{digits}: {e}"))
    });
    ids.collect()
}
