//! Stores which build began each recent stream, and looks up streams that no entry remembers.
//!
//! Only two members of the control set write, each for all entries: at once what entries ask them to store (see
//! `durable_beginnings`), and soon what else has begun. Records are read only for a stream that is taken up and unknown.

use crate::{
    clock::{self, BootInstant},
    decide::{
        stream_origin::Recording,
        stream_record::{CAPACITY, StreamRecord},
    },
    edge::{
        codec::DecodeError,
        registration::Build,
        store::{Listing, Object, ObjectKind, Store, StoreError},
    },
    entry::{
        context::Entry, durable_beginnings::PausedWriters, read_requests::ReadRequests,
        unusable::UnusableObjects,
    },
    holding::lock,
    ident::StreamId,
    metrics,
    supervisor::ChildError,
};
use log::{info, warn};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

/// Members of the control set that write: one may be frozen or cut off from the store when all others end.
pub const WRITERS: usize = 2;

/// Interval between writes of streams that no entry has asked to store, while several builds serve: most began before the
/// second one appeared.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// The same while a single build serves: each call to the store costs money, and what is not written yet is lost only if all
/// entries end.
const DEFERRED_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum time between two writes, so that streams that begin at the same time share one.
const MIN_INTERVAL: Duration = Duration::from_millis(30);

/// Age of the oldest streams that a new writer writes: streams end sooner.
const MAX_AGE: Duration = Duration::from_secs(20);

/// Minimum time between two reads of all records.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Longest wait of a request for a read: a read takes some ten milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Streams found in the store.
#[derive(Debug, Default)]
pub struct StoredStreams {
    known: Mutex<HashMap<StreamId, Build>>,
    reads: ReadRequests,
    /// Streams to be stored, for which entries hold the first event back.
    writes: Mutex<Vec<WantedWrite>>,
    write_wanted: Notify,
    /// Writers that have failed to store streams in time.
    pub paused_writers: Mutex<PausedWriters>,
}

/// A stream to be stored.
#[derive(Debug)]
struct WantedWrite {
    stream: StreamId,
    build: Build,
    is_stored: oneshot::Sender<bool>,
}

impl StoredStreams {
    /// Stores the build that began a stream with this entry's next write; returns whether that has succeeded.
    pub async fn write(&self, stream: StreamId, build: &Build) -> bool {
        let (is_stored, result) = oneshot::channel();
        let build = build.clone();
        lock(&self.writes).push(WantedWrite {
            stream,
            build,
            is_stored,
        });
        self.write_wanted.notify_one();
        result.await.unwrap_or(false)
    }
}

impl Entry {
    /// Returns the build that began a stream, from the records in the store.
    pub async fn find_stored(&self, stream: StreamId) -> Option<Build> {
        let known = || lock(&self.stored.known).get(&stream).cloned();
        if let Some(build) = known() {
            return Some(build);
        }
        if !self.stored.reads.wait(READ_TIMEOUT).await {
            warn!(wait_ms = READ_TIMEOUT.as_millis() as u64; "routing: the records of begun streams were not read in time");
        }
        known()
    }

    /// Returns whether this entry writes the records.
    fn writes_streams(&self) -> bool {
        let control = self.control.load();
        let mut writers = control.members.iter().take(WRITERS);
        // Where all entries leave at once, none of them is a member any more.
        let must_write = || control.members.is_empty() || self.recording() == Recording::Durable;
        writers.any(|name| **name == *self.config.id) || (self.is_leaving() && must_write())
    }

    /// Returns the interval between writes of streams that no entry has asked to store.
    fn write_interval(&self) -> Duration {
        match self.recording() {
            Recording::Deferred | Recording::Shared => DEFERRED_INTERVAL,
            Recording::Durable => WRITE_INTERVAL,
        }
    }
}

/// Reads the records of all writers whenever a request waits for that, until `stop`.
///
/// # Errors
/// None; a failed read leaves the streams unknown.
pub async fn read_records<S: Store>(
    entry: Arc<Entry>,
    store: S,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let mut unusable = UnusableObjects::new(ObjectKind::Streams);
    let mut wanted = entry.stored.reads.subscribe();
    let read = async {
        while let Some(number) = wanted.next().await {
            match store.list(ObjectKind::Streams).await {
                Ok(listing) => {
                    let known = parse_records(&mut unusable, &listing);
                    info!(records = listing.objects.len(), streams = known.len(); "records of begun streams read");
                    *lock(&entry.stored.known) = known;
                }
                Err(e) => warn!(error:% = e; "the records of begun streams can't be read"),
            }
            entry.stored.reads.finish(number);
            tokio::time::sleep(READ_INTERVAL).await;
        }
    };
    let _stopped = stop.run_until_cancelled(read).await;
    Ok(())
}

fn parse_records(unusable: &mut UnusableObjects, listing: &Listing) -> HashMap<StreamId, Build> {
    let present = listing.objects.iter().map(|o| o.name.as_str()).collect();
    unusable.retain(&present);
    let mut known = HashMap::new();
    for object in &listing.objects {
        match read_record(object) {
            Ok(record) => {
                unusable.remove(&object.name);
                known.extend(record.streams().map(|(s, b)| (s, b.clone())));
            }
            Err(e) => unusable.insert(&object.name, &e),
        }
    }
    unusable.insert_unnamed(listing.unnamed);
    unusable.report();
    known
}

fn read_record(object: &Object) -> Result<StreamRecord, DecodeError> {
    let content = object.content.as_ref().map_err(Clone::clone)?;
    StreamRecord::decode(content).map_err(|e| DecodeError(vec![e]))
}

/// Writer of this entry's records.
struct RecordWriter<S> {
    entry: Arc<Entry>,
    store: S,
    /// Number of the next stream to write.
    next: u64,
    record: StreamRecord,
    /// Store revision of the record; `None` if this process has not written it yet.
    revision: Option<u64>,
    /// Whether the record has streams that are not stored.
    is_changed: bool,
    /// Era of the store at the last write.
    era: u64,
}

/// Writes the streams that begin, until `stop`.
///
/// # Errors
/// None; a failed write is repeated.
pub async fn write_records<S: Store>(
    entry: Arc<Entry>,
    store: S,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let mut writer = RecordWriter {
        record: StreamRecord::at(clock::unix_ms()),
        entry,
        store,
        next: 0,
        revision: None,
        is_changed: false,
        era: 0,
    };
    let _stopped = stop.run_until_cancelled(writer.run()).await;
    Ok(())
}

impl<S: Store> RecordWriter<S> {
    async fn run(&mut self) {
        loop {
            let started = Instant::now();
            tokio::select! {
                () = tokio::time::sleep(self.entry.write_interval()) => {}
                () = self.entry.stored.write_wanted.notified() => {}
            }
            tokio::time::sleep_until(started + MIN_INTERVAL).await;
            let wanted = std::mem::take(&mut *lock(&self.entry.stored.writes));
            if !wanted.is_empty() || self.entry.writes_streams() {
                let is_stored = self.write(&wanted).await;
                for write in wanted {
                    // The caller may have left, or the entry may have waited long enough.
                    let _closed = write.is_stored.send(is_stored);
                }
            }
        }
    }

    /// Writes new streams and the `wanted` ones; returns whether the latter are stored.
    async fn write(&mut self, wanted: &[WantedWrite]) -> bool {
        let now_ms = clock::unix_ms();
        if !self.record.covers(now_ms) && !self.is_changed {
            self.record = StreamRecord::at(now_ms);
            self.revision = None;
        }
        let era = self.store.era().latest();
        if self.era != era {
            // The store may have returned with an older copy, which lacks the latest records and this one.
            self.era = era;
            self.next = 0;
            self.revision = None;
            self.is_changed |= !self.record.is_empty();
        }
        let all_fit = self.add_new_streams(wanted);
        if !self.is_changed {
            return all_fit;
        }
        match self.store_record().await {
            Ok(object) => {
                self.revision = Some(object.revision);
                self.is_changed = false;
                all_fit
            }
            Err(e) => {
                warn!(error:% = e, period = self.record.period; "the record of begun streams was not written");
                self.revision = None;
                false
            }
        }
    }

    /// Adds new streams to the record; returns whether there was room for all.
    fn add_new_streams(&mut self, wanted: &[WantedWrite]) -> bool {
        let now = BootInstant::now();
        let begun = lock(&self.entry.begun);
        let new = begun.since(self.next);
        let recent = new.filter(|s| now.since(s.at) < MAX_AGE);
        let recent = recent.map(|s| (s.id, &*s.build));
        let wanted = wanted.iter().map(|w| (w.stream, &w.build));
        let mut dropped = 0;
        for (stream, build) in recent.chain(wanted) {
            if !self.record.contains(build, stream) {
                self.is_changed = true;
                dropped += u64::from(!self.record.add(build, stream));
            }
        }
        self.next = begun.next();
        drop(begun);
        if dropped > 0 {
            metrics::dropped_streams(dropped);
            warn!(dropped = dropped, capacity = CAPACITY; "routing: too many streams begin to store the build of each");
        }
        dropped == 0
    }

    async fn store_record(&mut self) -> Result<Object, StoreError> {
        let name = self.record.name(&self.entry.config.id);
        let kind = ObjectKind::Streams;
        if self.revision.is_none() {
            match self.store.create(kind, &name, &self.record.encode()).await {
                Err(StoreError::Conflict(Some(stored))) => {
                    // An earlier process of this VM may have written it within the same period.
                    if let Ok(stored) = read_record(&stored) {
                        self.record.merge(&stored);
                    }
                    self.revision = Some(stored.revision);
                }
                result => return result,
            }
        }
        let content = self.record.encode();
        self.store
            .replace(kind, &name, self.revision, &content)
            .await
    }
}
