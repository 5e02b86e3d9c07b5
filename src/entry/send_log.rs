//! Recent requests to upstreams, kept to be sent to peers.

use crate::{clock::BootInstant, entry::messages::PromptUpdate, ident::UpstreamId};
use std::{collections::VecDeque, sync::Arc};

/// Number of records kept: about one second's worth at 500 requests a second, and every peer gets several updates in
/// that time.
const CAPACITY: usize = 512;

/// Request that an entry is about to send, or several that a peer reported together.
#[derive(Clone, Debug, Default)]
pub struct SendRecord {
    /// When it became known here.
    pub at: BootInstant,
    /// Peer that reported it; `None` for this entry.
    pub source: Option<Arc<str>>,
    /// Upstream that gets it.
    pub upstream: UpstreamId,
    /// Number of prompt tokens for which prefill time is reserved.
    pub prompt_tokens: u32,
    /// Beginnings of prompts that peers must be told of.
    pub beginnings: Vec<PromptUpdate>,
    /// Number of requests that count towards the upstream's limit.
    pub limited_sends: u32,
    /// Number of requests that the upstream rejected.
    pub rejections: u32,
}

/// Log of requests, in the order in which they became known.
#[derive(Debug, Default)]
pub struct SendLog {
    records: VecDeque<SendRecord>,
    /// Number of the first record that is kept.
    first: u64,
}

impl SendLog {
    /// Adds a record.
    pub fn add(&mut self, record: SendRecord) {
        if self.records.len() >= CAPACITY {
            self.records.pop_front();
            self.first += 1;
        }
        self.records.push_back(record);
    }

    /// Returns the number of the next record.
    pub fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Returns the number of the first record that became known at `at` or later.
    pub fn number_at(&self, at: BootInstant) -> u64 {
        let earlier = self.records.partition_point(|record| record.at < at);
        self.first + earlier as u64
    }

    /// Returns the records from number `from` on, with their numbers.
    pub fn since(&self, from: u64) -> impl Iterator<Item = (u64, &SendRecord)> {
        let skipped = from.saturating_sub(self.first) as usize;
        (self.first..).zip(&self.records).skip(skipped)
    }
}
