//! Simulated storms of crashes: entries that know of each other late, engines that end under prompts with a deadly part or
//! by themselves, and sound prompts beside them.

use carobfield::{
    clock::{BootInstant, Moment},
    ident::UpstreamId,
    poison::{Suspects, TrialState},
    wire::{LostRun, Strike, StrikeEvent, Subject},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

/// Crashes after which a deadly part must be known, the time after that, and the requests with it that may still be sent.
const MAX_CRASHES: usize = 5;
const STABLE_WINDOW_MS: u64 = 3_000;
const MAX_LATER_SENDS: usize = 3;

/// Duration of a storm.
const STORM_MS: u64 = 30_000;

/// Time for which an engine is away after a crash.
const DOWN_MS: u64 = 3_200;

/// Time of response after which the parts of a prompt are cleared.
const PROVEN_AFTER_MS: u64 = 100;

/// Longest time in a storm for which a sound part may be refused at an entry.
const MAX_WRONG_MS: u64 = 1_000;

const ENTRIES: usize = 9;
const ENGINES: usize = 12;
const SEEDS: u64 = 150;

/// Part that crashes engines, and a second one.
const DEADLY: u64 = 1_000_000;
const SECOND: u64 = 1_000_001;

/// Load of a storm.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests a second.
    rate: f64,
    /// Share of them that hold the deadly part.
    share: f64,
    /// Share of them that hold the second one.
    second: f64,
    /// Whether its requests are resumed once at another engine.
    is_resumed: bool,
    /// Whether engines responded to the part before the storm.
    is_proven: bool,
    /// Whether all entries start with the storm, so that nothing is known to be sound.
    is_fresh: bool,
    /// Times at which engines end by themselves, and how many.
    outages: [u64; 2],
    outage_engines: usize,
    /// Difference between the entries' clocks.
    skew_ms: u64,
}

macro_rules! cases {
    ($($name:ident: $load:expr;)*) => {
        $(#[test]
        fn $name() { (0..SEEDS).for_each(|seed| Storm::play(seed, $load)); })*
    };
}

const LOAD: Load = Load {
    rate: 100.0,
    share: 0.05,
    second: 0.0,
    is_resumed: false,
    is_proven: false,
    is_fresh: false,
    outages: [0, 0],
    outage_engines: ENGINES / 3,
    skew_ms: 5,
};

cases! {
    a_part_in_some_prompts: LOAD;
    a_part_in_few_prompts: Load { share: 0.01, ..LOAD };
    a_part_in_a_third_of_the_prompts: Load { share: 0.3, ..LOAD };
    a_part_in_most_prompts: Load { share: 0.6, ..LOAD };
    a_part_of_resumed_prompts: Load { share: 0.03, is_resumed: true, ..LOAD };
    a_part_that_was_served_before: Load { is_proven: true, ..LOAD };
    a_part_beside_ordinary_crashes: Load { outages: [5_000, 9_000], ..LOAD };
    ordinary_crashes_only: Load { share: 0.0, outages: [3_000, 3_400], ..LOAD };
    a_part_while_clocks_differ: Load { skew_ms: 2_000, outages: [5_000, 6_000], ..LOAD };
    two_parts: Load { second: 0.08, ..LOAD };
    a_part_at_the_start_of_the_entries: Load { share: 0.1, is_fresh: true, ..LOAD };
    all_engines_end_twice: Load { share: 0.0, outages: [3_000, 9_000], outage_engines: ENGINES, ..LOAD };
    all_engines_end_beside_a_part: Load { outages: [4_000, 9_000], outage_engines: ENGINES, ..LOAD };
    all_engines_end_at_the_start_of_the_entries: Load {
        share: 0.0,
        is_fresh: true,
        outages: [300, 4_000],
        outage_engines: ENGINES,
        ..LOAD
    };
    a_part_in_little_traffic: Load { rate: 10.0, share: 0.3, ..LOAD };
}

/// All engines end within two moments, and more end before the first crashes after their return have counted.
#[test]
fn a_part_in_most_prompts_ends_all_engines_twice() {
    let load = Load { share: 0.6, ..LOAD };
    Storm::play(211, load);
}

/// What happens next in a storm.
#[derive(Clone, Debug)]
enum Event {
    Request,
    Begin(Run),
    Proven(Run),
    End(Run),
    Heard(usize, Strike),
    Outage,
    Back(usize),
}

/// Request at an engine.
#[derive(Clone, Debug)]
struct Run {
    request: u64,
    entry: usize,
    engine: usize,
    boot: u64,
    parts: Vec<u64>,
    resumes_left: u32,
}

/// Time for which an entry refused a part, up to the last request with it.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    total_ms: u64,
    since_ms: Option<u64>,
}

impl Refusals {
    fn record(&mut self, is_refused: bool, now_ms: u64) {
        if let Some(since_ms) = self.since_ms {
            self.total_ms += now_ms - since_ms;
        }
        self.since_ms = is_refused.then_some(now_ms);
    }
}

fn is_deadly(part: u64) -> bool {
    part >= DEADLY
}

struct Storm {
    rng: SmallRng,
    load: Load,
    now_ms: u64,
    next: BTreeMap<(u64, u64), Event>,
    count: u64,
    entries: Vec<Suspects>,
    /// Start of each engine's process; `None` while it is away.
    boots: Vec<Option<u64>>,
    /// Requests that have not been cleared, by engine.
    unproven: Vec<Vec<Run>>,
    /// Crashes by deadly parts, and requests sent with them.
    crashes: Vec<(u64, u64)>,
    deadly_sends: Vec<(u64, u64)>,
    proven: HashSet<u64>,
    /// Refusals of sound parts by each entry.
    wrong: BTreeMap<(usize, u64), Refusals>,
}

impl Storm {
    fn play(seed: u64, load: Load) {
        let mut storm = Self {
            rng: SmallRng::seed_from_u64(seed),
            load,
            now_ms: 0,
            next: BTreeMap::new(),
            count: 0,
            entries: (0..ENTRIES).map(|_| Suspects::default()).collect(),
            boots: vec![Some(1); ENGINES],
            unproven: vec![Vec::new(); ENGINES],
            crashes: Vec::new(),
            deadly_sends: Vec::new(),
            proven: if load.is_fresh {
                HashSet::new()
            } else {
                (1..400).collect()
            },
            wrong: BTreeMap::new(),
        };
        storm.add(0, Event::Request);
        for at_ms in load.outages.into_iter().filter(|ms| *ms > 0) {
            storm.add(at_ms, Event::Outage);
        }
        while let Some(((at_ms, _), event)) = storm.next.pop_first() {
            if at_ms > STORM_MS {
                break;
            }
            storm.now_ms = at_ms;
            storm.handle(event);
        }
        storm.check(seed);
    }

    fn check(&self, seed: u64) {
        for part in [DEADLY, SECOND] {
            let crashes = self.crashes.iter().filter(|(p, _)| *p == part);
            let Some((_, fifth_ms)) = crashes.clone().nth(MAX_CRASHES - 1) else {
                continue;
            };
            let later = self.deadly_sends.iter();
            let later = later.filter(|(p, ms)| *p == part && *ms > fifth_ms + STABLE_WINDOW_MS);
            let later = later.count();
            assert!(
                later <= MAX_LATER_SENDS,
                "seed {seed}: {later} later sends of {part}"
            );
        }
        let longest = self.wrong.iter().max_by_key(|(_, r)| r.total_ms);
        let Some((who, refusals)) = longest else {
            return;
        };
        assert!(
            refusals.total_ms <= MAX_WRONG_MS,
            "seed {seed}: {who:?} {refusals:?}"
        );
    }

    fn add(&mut self, after_ms: u64, event: Event) {
        self.count += 1;
        let key = (self.now_ms + after_ms, self.count);
        self.next.insert(key, event);
    }

    /// Returns the time at an entry, whose clock differs from the others'.
    fn moment(&self, entry: usize) -> Moment {
        let skew_ms = self.load.skew_ms * entry as u64 / ENTRIES as u64;
        Moment {
            boot: BootInstant(1_000_000_000) + Duration::from_millis(self.now_ms),
            unix_ms: 1_000_000 + self.now_ms + skew_ms,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => {
                let gap_ms = -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0 / self.load.rate;
                self.add(gap_ms as u64 + 1, Event::Request);
                self.request();
            }
            Event::Begin(run) => self.begin(run),
            Event::Proven(run) => self.prove(&run),
            Event::End(run) => self.unproven[run.engine].retain(|r| r.request != run.request),
            Event::Heard(entry, strike) => self.record(entry, &strike),
            Event::Outage => {
                let first = self.rng.random_range(0..ENGINES);
                (0..self.load.outage_engines).for_each(|n| self.crash((first + n) % ENGINES));
            }
            Event::Back(engine) => self.boots[engine] = Some(self.now_ms),
        }
    }

    /// A caller's request: a part that all prompts of its route share, one of its caller's, and perhaps the deadly one.
    fn request(&mut self) {
        let route = self.rng.random_range(1..4);
        let popularity = self.rng.random::<f64>().powi(3);
        let mut parts = vec![route, 10 + (popularity * 300.0) as u64];
        let draw = self.rng.random::<f64>();
        if draw < self.load.share {
            parts = vec![1, 10, DEADLY];
        } else if draw < self.load.share + self.load.second {
            parts = vec![2, SECOND, 12];
        }
        let run = Run {
            request: self.count,
            entry: self.rng.random_range(0..ENTRIES),
            engine: 0,
            boot: 0,
            parts,
            resumes_left: u32::from(self.load.is_resumed),
        };
        self.send(run);
    }

    fn send(&mut self, mut run: Run) {
        let now = self.moment(run.entry);
        let rank = |part: u64| (run.entry + ENTRIES - part as usize % ENTRIES) % ENTRIES;
        let suspects = &mut self.entries[run.entry];
        suspects.refresh(now);
        let mut refused = false;
        for part in &run.parts {
            let subject = Subject::Part(*part);
            let is_held = suspects.held_for(subject, now).is_some()
                && suspects.begin_trial(subject, run.request, rank(*part), now)
                    == TrialState::NotDue;
            refused |= is_held;
            if is_deadly(*part) {
                continue;
            }
            let refusals = self.wrong.entry((run.entry, *part)).or_default();
            refusals.record(is_held, self.now_ms);
        }
        let up: Vec<usize> = (0..ENGINES).filter(|n| self.boots[*n].is_some()).collect();
        if refused || up.is_empty() {
            return;
        }
        run.engine = up[self.rng.random_range(0..up.len())];
        run.boot = self.boots[run.engine].unwrap_or(0);
        let deadly = run.parts.iter().filter(|part| is_deadly(**part));
        self.deadly_sends
            .extend(deadly.map(|part| (*part, self.now_ms)));
        self.unproven[run.engine].push(run.clone());
        let prefill_ms = self.rng.random_range(20..120);
        self.add(prefill_ms, Event::Begin(run));
    }

    fn begin(&mut self, run: Run) {
        if self.boots[run.engine] != Some(run.boot) {
            return;
        }
        if let Some(part) = run.parts.iter().find(|part| is_deadly(**part)) {
            self.crashes.push((*part, self.now_ms));
            return self.crash(run.engine);
        }
        let end_ms = self.rng.random_range(PROVEN_AFTER_MS + 1..4_000);
        self.add(PROVEN_AFTER_MS, Event::Proven(run.clone()));
        self.add(end_ms, Event::End(run));
    }

    fn prove(&mut self, run: &Run) {
        if self.boots[run.engine] != Some(run.boot) {
            return;
        }
        self.unproven[run.engine].retain(|r| r.request != run.request);
        self.proven.extend(&run.parts);
        for part in &run.parts {
            let subject = Subject::Part(*part);
            if self.entries[run.entry].has_strikes(subject) {
                self.observe(run.entry, subject, StrikeEvent::Cleared);
            }
        }
    }

    /// Ends an engine: each entry strikes the parts of its requests there that had no response yet.
    fn crash(&mut self, engine: usize) {
        let Some(boot) = self.boots[engine].take() else {
            return;
        };
        self.add(DOWN_MS, Event::Back(engine));
        for run in std::mem::take(&mut self.unproven[engine]) {
            for (depth, part) in (0..).zip(&run.parts) {
                let was_proven = self.proven.contains(part) || self.load.is_proven;
                let lost = LostRun {
                    upstream: UpstreamId::from(format!("{engine}-{boot}")),
                    boot,
                    request: run.request,
                    depth,
                    proven: was_proven,
                };
                self.observe(run.entry, Subject::Part(*part), StrikeEvent::Lost(lost));
            }
            if run.resumes_left > 0 {
                self.send(Run {
                    resumes_left: 0,
                    ..run
                });
            }
        }
    }

    fn observe(&mut self, entry: usize, subject: Subject, event: StrikeEvent) {
        let now_ms = self.moment(entry).unix_ms;
        let at_ms = self.entries[entry].event_time(subject, now_ms);
        let strike = Strike {
            subject,
            event,
            at_ms,
        };
        self.record(entry, &strike);
    }

    /// Records a strike at an entry, which tells the others if it is new.
    fn record(&mut self, entry: usize, strike: &Strike) {
        let now = self.moment(entry);
        if !self.entries[entry].record(strike, now) {
            return;
        }
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            let delay_ms = self.rng.random_range(5..130);
            self.add(delay_ms, Event::Heard(other, strike.clone()));
        }
    }
}
