//! What this entry and its peers measure of the engines' speeds.

use crate::{
    clock::BootInstant,
    decide::engine_speed::{EngineProcess, EventTimes},
    edge::registration::Registration,
    entry::{
        context::Entry,
        messages::{PeerUpdate, SpeedReport},
        peers::{Peer, Peers},
    },
    holding::lock,
    ident::UpstreamId,
};
use log::info;
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Number of records kept: several times what the entries measure between two reports.
const CAPACITY: usize = 4_096;

/// Interval between two reports to the same peer.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// What an entry has measured at one engine, or what a peer has reported.
#[derive(Clone, Debug, Default)]
pub struct SpeedRecord {
    /// Peer that reported it; `None` for this entry.
    pub source: Option<Arc<str>>,
    /// Engine.
    pub upstream: UpstreamId,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
    /// What was measured.
    pub times: EventTimes,
}

/// Recent measurements in the order in which they became known, kept to be sent to peers.
#[derive(Debug, Default)]
pub struct SpeedLog {
    records: VecDeque<SpeedRecord>,
    /// Number of the first record that is kept.
    first: u64,
}

impl SpeedLog {
    /// Adds a record.
    pub fn add(&mut self, record: SpeedRecord) {
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

    /// Sums up the records from number `from` on whose source is included.
    pub fn sum(
        &self,
        from: u64,
        is_included: impl Fn(&Option<Arc<str>>) -> bool,
    ) -> Vec<SpeedReport> {
        let skipped = from.saturating_sub(self.first) as usize;
        let mut sums: HashMap<(&UpstreamId, Option<u64>), EventTimes> = HashMap::new();
        let records = self.records.iter().skip(skipped);
        for record in records.filter(|r| is_included(&r.source)) {
            let key = (&record.upstream, record.born);
            *sums.entry(key).or_default() += record.times;
        }
        let reports = sums
            .into_iter()
            .map(|((upstream, born), times)| SpeedReport {
                upstream: Arc::clone(upstream),
                born,
                events: times.events,
                time_us: times.time.as_micros() as u64,
            });
        reports.collect()
    }
}

/// Reports to one peer: each measurement of the entry and of those that it passes on is reported once.
#[derive(Debug)]
pub struct SpeedFeed {
    next: u64,
    sent: BootInstant,
}

impl SpeedFeed {
    /// Creates a feed of what is measured from now on.
    pub fn new(entry: &Entry) -> Self {
        Self {
            next: lock(&entry.speed_log).next(),
            sent: BootInstant::default(),
        }
    }

    /// Returns the new measurements of this entry and of the peers that are `passed_on`, if a report is due.
    pub fn take(
        &mut self,
        entry: &Entry,
        peers: &Peers,
        passed_on: impl Fn(&Peer) -> bool,
        now: BootInstant,
    ) -> Vec<SpeedReport> {
        if now.since(self.sent) < REPORT_INTERVAL {
            return Vec::new();
        }
        self.sent = now;
        let log = lock(&entry.speed_log);
        let from = std::mem::replace(&mut self.next, log.next());
        log.sum(from, |source| {
            let source = source.as_ref().map(|name| peers.by_name(name));
            source.is_none_or(|peer| peer.is_some_and(&passed_on))
        })
    }
}

impl Entry {
    /// Records what this entry has measured at `upstream`.
    pub fn record_speed(&self, upstream: &Registration, times: EventTimes) {
        self.add_speed(None, &upstream.id, upstream.born, times);
    }

    /// Records what a peer, or the entries that it passes on, have measured.
    pub fn apply_peer_speeds(&self, update: &PeerUpdate) {
        for report in &update.speeds {
            let times = EventTimes {
                events: report.events,
                time: Duration::from_micros(report.time_us),
            };
            let source = Some(Arc::clone(&update.info.name));
            self.add_speed(source, &report.upstream, report.born, times);
        }
    }

    fn add_speed(
        &self,
        source: Option<Arc<str>>,
        upstream: &UpstreamId,
        born: Option<u64>,
        times: EventTimes,
    ) {
        lock(&self.speeds).record(upstream, born, times, BootInstant::now());
        lock(&self.speed_log).add(SpeedRecord {
            source,
            upstream: Arc::clone(upstream),
            born,
            times,
        });
    }

    /// Computes the engines' relative speeds anew if that is due, and tells the prefill schedule.
    pub fn refresh_speeds(&self, now: BootInstant) {
        if !lock(&self.speeds).is_due(now) {
            return;
        }
        let all: Vec<Arc<Registration>> = lock(&self.registry).all().cloned().collect();
        let engines = all.iter().filter(|r| !r.models.is_empty());
        let processes = engines.map(|r| EngineProcess {
            id: &r.id,
            service: &r.service,
            born: r.born,
        });
        let processes: Vec<EngineProcess<'_>> = processes.collect();
        let mut speeds = lock(&self.speeds);
        let before = speeds.uneven().count();
        speeds.refresh(&processes, now);
        let after = speeds.uneven().count();
        lock(&self.prefill).set_speeds(speeds.uneven());
        drop(speeds);
        if before != after {
            info!(engines = processes.len(), uneven = after, before = before; "routing: engines of uneven speed");
        }
    }
}
