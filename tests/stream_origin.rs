//! Which build goes on with a stream, in random plays of entries, upstreams of several builds, callers and the store.
//!
//! Entries start, are killed alone or together, stand still, and are cut off from each other; the store has outages. An entry that stood
//! still reads what waited for it as if it had just come. Upstreams serve on for a while after their registration is removed. In half of
//! the plays all records are lost, so that only conclusions are left.

use arbtest::{arbitrary, arbtest};
use carobfield::{
    clock::BootInstant,
    decide::{
        begun_streams::{BegunStreams, RETENTION},
        build_history::{BuildHistory, BuildReport},
        stream_origin::{Origin, OriginSource, Question, Recording, find_origin},
    },
    edge::registration::{Build, BuildVersion},
    ident::StreamId,
};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    streams_go_on_at_another_build_or_are_lost,
}

const START: BootInstant = BootInstant(1_000_000_000_000);

/// Step of the play.
const TICK: Duration = Duration::from_millis(100);

/// Entries of the play; all are in the control set.
const ENTRIES: usize = 4;

/// Members of the control set that write records.
const WRITERS: usize = 2;

/// Builds of the service.
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];

/// Shortest registration of a build, in ticks: a shorter one may fall between two views of an entry.
const MIN_REGISTERED: u32 = 60;

/// Longest time for which an upstream serves after its registration is removed, in ticks.
const MAX_LINGER: u32 = 50;

/// Longest stand-still of an entry, in ticks.
const MAX_FREEZE: u32 = 250;

/// Ticks between two views of the store, two updates to a peer, and two writes of records.
const VIEW_TICKS: u32 = 5;
const UPDATE_TICKS: u32 = 2;
const WRITE_TICKS: u32 = 4;

/// Ticks without any disruption after which a stream has a record wherever it must.
const RECORDED_AFTER: u32 = 10;

/// Length of a play, in ticks.
const TICKS: u32 = 1_500;

fn build(version: &str) -> Build {
    Build {
        service: Arc::from("engines"),
        version: BuildVersion::Named(Arc::from(version)),
    }
}

fn time(tick: u32) -> BootInstant {
    START + TICK * tick
}

/// Registration of the upstreams of one build.
#[derive(Clone, Copy, Debug, Default)]
struct Registered {
    is_listed: bool,
    changed: u32,
    serves_until: u32,
}

/// What one entry sends to another.
#[derive(Clone, Debug)]
struct Message {
    to: usize,
    /// Time at which the receiver asked for it; `None` for an update.
    asked: Option<BootInstant>,
    streams: Vec<(StreamId, Build)>,
    report: Option<BuildReport>,
}

/// An entry that is up.
#[derive(Debug)]
struct Entry {
    history: BuildHistory,
    begun: BegunStreams,
    view: Vec<Build>,
    frozen_until: u32,
    /// Whether others hear of its streams.
    tells_streams: bool,
    /// Number of the next stream for each peer; a peer that isn't here has not been connected.
    fed: HashMap<usize, u64>,
    told: HashSet<Build>,
}

impl Entry {
    fn new(history: BuildHistory, tells_streams: bool) -> Self {
        Self {
            tells_streams,
            history,
            begun: BegunStreams::default(),
            view: Vec::new(),
            frozen_until: 0,
            fed: HashMap::new(),
            told: HashSet::new(),
        }
    }

    fn streams_since(&self, first: u64) -> Vec<(StreamId, Build)> {
        let streams = self.begun.since(first);
        let streams = streams.filter(|_| self.tells_streams);
        streams.map(|s| (s.id, (*s.build).clone())).collect()
    }
}

/// A stream that a caller may take up.
#[derive(Clone, Debug)]
struct Stream {
    id: StreamId,
    build: Build,
    begun: u32,
}

/// State of a play.
struct Play {
    tick: u32,
    /// Mean number of ticks between disruptions of one kind.
    pace: u32,
    keeps_records: bool,
    registered: [Registered; VERSIONS.len()],
    entries: Vec<Option<Entry>>,
    restart_at: [u32; ENTRIES],
    /// Pairs of entries that don't reach each other, and until when.
    cuts: HashMap<(usize, usize), u32>,
    outage_until: u32,
    messages: Vec<Message>,
    records: HashMap<StreamId, Build>,
    streams: Vec<Stream>,
    /// Times without a disruption, by their first and last tick.
    calm: Vec<(u32, u32)>,
    /// Streams that went on.
    went_on: u32,
    /// Those whose build was concluded.
    concluded: u32,
}

impl Play {
    fn new(pace: u32, keeps_records: bool) -> Self {
        let first = Registered {
            is_listed: true,
            changed: 0,
            serves_until: u32::MAX,
        };
        Self {
            tick: 0,
            pace,
            keeps_records,
            registered: [first, Registered::default(), Registered::default()],
            entries: (0..ENTRIES)
                .map(|_| {
                    Some(Entry::new(
                        BuildHistory::of_first_start(START),
                        keeps_records,
                    ))
                })
                .collect(),
            restart_at: [0; ENTRIES],
            cuts: HashMap::new(),
            outage_until: 0,
            messages: Vec::new(),
            records: HashMap::new(),
            streams: Vec::new(),
            calm: Vec::new(),
            went_on: 0,
            concluded: 0,
        }
    }

    fn now(&self) -> BootInstant {
        time(self.tick)
    }

    fn runs(&self, n: usize) -> bool {
        let entry = self.entries[n].as_ref();
        entry.is_some_and(|e| e.frozen_until <= self.tick)
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let cut = self.cuts.get(&(a.min(b), a.max(b)));
        cut.is_none_or(|until| *until <= self.tick)
    }

    fn is_store_up(&self) -> bool {
        self.outage_until <= self.tick
    }

    fn registered_builds(&self) -> Vec<Build> {
        let all = VERSIONS.iter().zip(&self.registered);
        let registered = all.filter(|(_, r)| r.is_listed);
        registered.map(|(version, _)| build(version)).collect()
    }

    /// Draws the disruptions that begin with this tick.
    fn disrupt(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        for registered in &mut self.registered {
            let is_due = self.tick >= registered.changed + MIN_REGISTERED;
            if is_due && u.ratio(1, 60)? {
                registered.is_listed = !registered.is_listed;
                registered.changed = self.tick;
                registered.serves_until = if registered.is_listed {
                    u32::MAX
                } else {
                    self.tick + u.int_in_range(0..=MAX_LINGER)?
                };
            }
        }
        if u.ratio(1, self.pace)? {
            let is_all = u.ratio(1, 3)?;
            for n in 0..ENTRIES {
                if is_all || u.arbitrary()? {
                    self.kill(n, u.int_in_range(1..=50)?);
                }
            }
        }
        if u.ratio(1, self.pace)? {
            let until = self.tick + u.int_in_range(1..=MAX_FREEZE)?;
            let n = u.choose_index(ENTRIES)?;
            if let Some(entry) = &mut self.entries[n] {
                entry.frozen_until = until;
            }
        }
        if u.ratio(1, self.pace)? {
            let (a, b) = (u.choose_index(ENTRIES)?, u.choose_index(ENTRIES)?);
            let until = self.tick + u.int_in_range(1..=100)?;
            self.cuts.insert((a.min(b), a.max(b)), until);
        }
        if u.ratio(1, 2 * self.pace)? {
            self.outage_until = self.tick + u.int_in_range(1..=100)?;
        }
        Ok(())
    }

    fn kill(&mut self, n: usize, down: u32) {
        if self.entries[n].take().is_some() {
            self.restart_at[n] = self.tick + down;
            self.messages.retain(|m| m.to != n);
            for entry in self.entries.iter_mut().flatten() {
                entry.fed.remove(&n);
            }
        }
    }

    fn is_troubled(&self) -> bool {
        let all_run = (0..ENTRIES).all(|n| self.runs(n));
        let is_cut = self.cuts.values().any(|until| *until > self.tick);
        !all_run || is_cut || !self.is_store_up()
    }

    fn note_calm(&mut self) {
        if self.is_troubled() {
            return;
        }
        match self.calm.last_mut() {
            Some((_, until)) if *until + 1 == self.tick => *until = self.tick,
            _ => self.calm.push((self.tick, self.tick)),
        }
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        self.disrupt(u)?;
        for n in 0..ENTRIES {
            if self.entries[n].is_none() && self.tick >= self.restart_at[n] {
                self.entries[n] = Some(Entry::new(BuildHistory::default(), self.keeps_records));
            }
        }
        self.note_calm();
        self.deliver();
        for n in 0..ENTRIES {
            if self.runs(n) {
                self.follow_store(n);
                self.send_updates(n);
                self.write_records(n);
            }
        }
        self.begin_stream(u)?;
        self.take_up(u)?;
        self.tick += 1;
        Ok(())
    }

    /// Has the entries that run read what has come, however long ago.
    fn deliver(&mut self) {
        let now = self.now();
        for message in std::mem::take(&mut self.messages) {
            if !self.runs(message.to) {
                self.messages.push(message);
                continue;
            }
            let entry = self.entries[message.to].as_mut().expect("it runs");
            for (id, build) in &message.streams {
                entry.begun.add(*id, build, None, now);
            }
            match (&message.report, message.asked) {
                (Some(report), Some(asked)) => entry.history.merge_reply(report, asked, now),
                (Some(report), None) => entry.history.merge(report, now),
                (None, _) => {}
            }
        }
    }

    fn follow_store(&mut self, n: usize) {
        let (now, builds) = (self.now(), self.registered_builds());
        let is_due = (self.tick + n as u32).is_multiple_of(VIEW_TICKS) && self.is_store_up();
        let Some(entry) = self.entries[n].as_mut().filter(|_| is_due) else {
            return;
        };
        entry.history.observe(builds.iter().cloned(), now);
        entry.history.confirm(now);
        entry.view = builds;
    }

    /// Sends updates to the peers, and on a new connection also the reply that it gets.
    fn send_updates(&mut self, n: usize) {
        if !(self.tick + n as u32).is_multiple_of(UPDATE_TICKS) {
            return;
        }
        let now = self.now();
        for peer in (0..ENTRIES).filter(|p| *p != n) {
            let is_connected = self.entries[peer].is_some() && self.reaches(n, peer);
            let mut entry = self.entries[n].take().expect("it runs");
            if !is_connected {
                entry.fed.remove(&peer);
            } else if entry.fed.contains_key(&peer) || self.runs(peer) {
                let is_first = !entry.fed.contains_key(&peer);
                let first = entry.fed.insert(peer, entry.begun.next()).unwrap_or(0);
                let report = entry.history.report(now);
                let builds = report.builds.iter().map(|b| b.build.clone()).collect();
                let is_new = is_first || entry.told != builds;
                entry.told = builds;
                self.messages.push(Message {
                    to: peer,
                    asked: None,
                    streams: entry.streams_since(first),
                    report: is_new.then_some(report),
                });
                if let Some(other) = self.entries[peer].as_ref().filter(|_| is_first) {
                    let (streams, report) = (other.streams_since(0), other.history.report(now));
                    self.messages.push(Message {
                        to: n,
                        asked: Some(now),
                        streams,
                        report: Some(report),
                    });
                }
            }
            self.entries[n] = Some(entry);
        }
    }

    fn write_records(&mut self, n: usize) {
        let earlier = (0..n).filter(|m| self.entries[*m].is_some()).count();
        let is_due = (self.tick + n as u32).is_multiple_of(WRITE_TICKS);
        if earlier < WRITERS && is_due && self.is_store_up() {
            let entry = self.entries[n].as_ref();
            let streams = entry.map(|e| e.streams_since(0)).unwrap_or_default();
            self.records.extend(streams);
        }
    }

    fn begin_stream(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let n = u.choose_index(ENTRIES)?;
        let now = self.now();
        let is_stored_at_once = self.is_store_up() && self.keeps_records;
        let id = StreamId(self.streams.len() as u64);
        let serving: Vec<Build> = {
            let all = VERSIONS.iter().zip(&self.registered);
            let serving = all.filter(|(_, r)| r.is_listed || r.serves_until > self.tick);
            serving.map(|(version, _)| build(version)).collect()
        };
        let tick = self.tick;
        let running = self.entries[n].as_mut();
        let Some(entry) = running.filter(|e| e.frozen_until <= tick) else {
            return Ok(());
        };
        let usable: Vec<&Build> = entry.view.iter().filter(|b| serving.contains(b)).collect();
        if usable.is_empty() {
            return Ok(());
        }
        let chosen = (*u.choose(&usable)?).clone();
        entry.begun.add(id, &chosen, None, now);
        if Recording::choose(&entry.history, now) == Recording::Durable && is_stored_at_once {
            self.records.insert(id, chosen.clone());
        }
        self.streams.push(Stream {
            id,
            build: chosen,
            begun: self.tick,
        });
        Ok(())
    }

    /// Has a caller take a recent stream up at any entry that runs, and checks what goes on.
    fn take_up(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let oldest = self.tick.saturating_sub(RETENTION.as_millis() as u32 / 200);
        let recent = self.streams.partition_point(|s| s.begun < oldest);
        let n = u.choose_index(ENTRIES)?;
        if !self.runs(n) || recent == self.streams.len() {
            return Ok(());
        }
        let stream = u.choose(&self.streams[recent..])?.clone();
        let origin = self.find(n, &stream);
        // Whatever happened later, the record of a stream that began in calm is in the store.
        let must_go_on =
            self.keeps_records && self.is_calm_after(stream.begun) && self.is_store_up();
        match origin {
            Some(origin) => {
                assert_eq!(
                    origin.build,
                    stream.build,
                    "at {} s, {origin:?}",
                    self.tick / 10
                );
                self.went_on += 1;
                self.concluded += u32::from(origin.source == OriginSource::OnlyBuild);
            }
            None => assert!(!must_go_on, "lost at tick {}: {stream:?}", self.tick),
        }
        Ok(())
    }

    /// Returns whether there was no disruption while a stream that began at `begun` had to be recorded.
    fn is_calm_after(&self, begun: u32) -> bool {
        let mut calm = self.calm.iter();
        calm.any(|(since, until)| *since <= begun && begun + RECORDED_AFTER <= *until)
    }

    fn find(&mut self, n: usize, stream: &Stream) -> Option<Origin> {
        let now = self.now();
        let running = (0..ENTRIES).filter(|m| self.runs(*m) && self.reaches(n, *m));
        let running = running.filter(|m| *m == n || self.keeps_records);
        let mut entries = running.filter_map(|m| self.entries[m].as_ref());
        let found = entries.find_map(|e| e.begun.build_of(stream.id).cloned());
        if let Some(build) = found {
            let (build, source) = ((*build).clone(), OriginSource::Entries);
            return Some(Origin { build, source });
        }
        let is_up = self.is_store_up();
        let stored = self.records.get(&stream.id).filter(|_| is_up).cloned();
        let builds = self.registered_builds();
        let entry = self.entries[n].as_mut()?;
        if is_up {
            entry.history.observe(builds.into_iter(), now);
            entry.history.confirm_read(now, now);
        }
        let question = Question {
            services: &[&Arc::from("engines")],
            asked: now,
        };
        find_origin(question, stored, &entry.history, now)
    }
}

mod case {
    use super::{Play, TICKS, arbtest};

    pub(super) fn streams_go_on_at_another_build_or_are_lost() {
        let (mut plays, mut went_on, mut concluded) = (0, 0, 0);
        arbtest(|u| {
            let mut play = Play::new(*u.choose(&[40, 100, 400])?, u.arbitrary()?);
            while play.tick < TICKS && !u.is_empty() {
                play.step(u)?;
            }
            plays += 1;
            went_on += play.went_on;
            concluded += play.concluded;
            Ok(())
        })
        .size_min(50_000)
        .size_max(65_536)
        .budget_ms(5_000);
        println!("{plays} plays, {went_on} streams went on, {concluded} by a conclusion");
        assert!(concluded > 0, "nothing was concluded");
    }
}
