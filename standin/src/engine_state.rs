//! State of a stand-in engine's present process.

use crate::{
    engine::{EngineConfig, EngineFaults},
    generate,
};
use carobfield::{
    clock::{self, BootInstant},
    holding::lock,
    upstream_client::InFlightReport,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::{oneshot, watch};

/// Bytes of a prompt that the prefix cache looks at.
const PREFIX_BYTES: usize = 256;

/// Cache events kept.
const MAX_EVENTS: usize = 1_024;

/// Of so many cache events, one is never published.
const EVENT_GAP: u64 = 7;

/// State of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// Waiting or decoding.
    Running,
    /// All tokens are there.
    Done,
    /// Cancelled, or its adapter was evicted.
    Aborted,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Tokens decoded.
    pub tokens: u64,
    /// State.
    pub state: RunState,
}

/// One request at the engine.
#[derive(Debug)]
pub struct Run {
    /// Name that the dispatcher gave it.
    pub name: String,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens to decode.
    pub tokens: u64,
    /// Priority; lower goes first.
    pub priority: i64,
    /// Progress.
    pub progress: watch::Sender<Progress>,
    /// Streams that read it.
    pub readers: watch::Sender<u32>,
}

impl Run {
    /// A run that waits for a place.
    pub fn new(name: &str, model: &str, prompt: &str, tokens: u64, priority: i64) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            tokens,
            priority,
            progress: watch::Sender::new(Progress {
                tokens: 0,
                state: RunState::Running,
            }),
            readers: watch::Sender::new(0),
        })
    }

    /// Hash of the prompt, by which a submission is known in several tries.
    pub fn body_hash(&self) -> String {
        format!("{:016x}", generate::prompt_hash(&self.prompt))
    }
}

/// What became of a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The adapter is there.
    Present,
    /// Every slot is taken.
    Full,
    /// A fault makes it fail.
    Fault,
    /// The slot is taken; weights are to be fetched.
    SlotReserved,
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// The adapter is not loaded.
    NoModel,
}

/// How much of the paid batch was used.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineStats {
    /// Places used, integrated over time, in seconds.
    pub used: f64,
    /// Places paid for, integrated over time, in seconds.
    pub paid: f64,
    /// Tokens decoded.
    pub tokens: u64,
    /// Requests completed.
    pub completed: u64,
    /// Prompts whose prefix was cached.
    pub cache_hits: u64,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    /// Position.
    pub sequence: u64,
    /// `stored` or `removed`.
    pub kind: &'static str,
    /// Hash of the prefix.
    pub prefix: String,
}

#[derive(Debug, Default)]
struct Inner {
    adapters: BTreeSet<String>,
    loading: BTreeSet<String>,
    fence: u64,
    runs: HashMap<String, Arc<Run>>,
    in_flight: BTreeMap<String, u32>,
    running: usize,
    waiting: Vec<(i64, u64, oneshot::Sender<()>)>,
    sequence: u64,
    faults: EngineFaults,
    stats: EngineStats,
    stats_at: BootInstant,
    cache: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    event_count: u64,
    snapshots: VecDeque<(BootInstant, InFlightReport)>,
}

/// State of one engine process.
#[derive(Debug)]
pub struct EngineState {
    /// Identifies the process.
    pub boot: u64,
    batch: usize,
    lag: Duration,
    inner: Mutex<Inner>,
}

impl EngineState {
    /// An engine that has just started.
    pub fn new(config: &EngineConfig, faults: EngineFaults) -> Self {
        let inner = Inner {
            faults,
            stats_at: BootInstant::now(),
            ..Inner::default()
        };
        Self {
            boot: rand::random_range(1..u64::MAX / 2),
            batch: config.batch,
            lag: Duration::from_millis(config.report_lag),
            inner: Mutex::new(inner),
        }
    }

    /// Faults switched on.
    pub fn faults(&self) -> EngineFaults {
        lock(&self.inner).faults.clone()
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.inner).faults = faults;
    }

    /// Takes one off a fault's count; true if there was one.
    pub fn strike(&self, count: fn(&mut EngineFaults) -> &mut u32) -> bool {
        let mut inner = lock(&self.inner);
        let count = count(&mut inner.faults);
        let strikes = *count > 0;
        *count = count.saturating_sub(1);
        strikes
    }

    /// Raises the fencing number; false if `token` is an old one.
    pub fn raise_fence(&self, token: u64) -> bool {
        let mut inner = lock(&self.inner);
        if token < inner.fence {
            return false;
        }
        inner.fence = token;
        true
    }

    /// Adapters that are loaded.
    pub fn adapters(&self) -> Vec<String> {
        lock(&self.inner).adapters.iter().cloned().collect()
    }

    /// Whether an adapter is on its way.
    pub fn is_loading(&self, model: &str) -> bool {
        lock(&self.inner).loading.contains(model)
    }

    /// Takes a slot for an adapter.
    pub fn begin_load(&self, model: &str, slots: usize) -> LoadOutcome {
        let mut inner = lock(&self.inner);
        if inner.adapters.contains(model) || inner.loading.contains(model) {
            return LoadOutcome::Present;
        }
        if inner.faults.load_fail > 0 {
            inner.faults.load_fail -= 1;
            return LoadOutcome::Fault;
        }
        if inner.faults.fail_models.iter().any(|m| m == model) {
            return LoadOutcome::Fault;
        }
        if inner.adapters.len() + inner.loading.len() >= slots {
            return LoadOutcome::Full;
        }
        inner.loading.insert(model.to_owned());
        LoadOutcome::SlotReserved
    }

    /// Ends a load.
    pub fn end_load(&self, model: &str, ok: bool) {
        let mut inner = lock(&self.inner);
        inner.loading.remove(model);
        if ok {
            inner.adapters.insert(model.to_owned());
        }
    }

    /// Evicts an adapter and aborts what it served; the number of requests that it served, if it was there.
    pub fn unload(&self, model: &str) -> Option<u32> {
        let mut inner = lock(&self.inner);
        if !inner.adapters.remove(model) {
            return None;
        }
        let served: Vec<Arc<Run>> = inner
            .runs
            .values()
            .filter(|r| r.model == model)
            .cloned()
            .collect();
        let in_flight = inner.in_flight.get(model).copied().unwrap_or(0);
        drop(inner);
        served.iter().for_each(abort);
        Some(in_flight)
    }

    /// Takes a request whose adapter is loaded.
    ///
    /// # Errors
    /// The adapter is not loaded.
    pub fn admit(&self, run: &Arc<Run>) -> Result<(), Refused> {
        let mut inner = lock(&self.inner);
        if !inner.adapters.contains(&run.model) {
            return Err(Refused::NoModel);
        }
        inner.runs.insert(run.name.clone(), Arc::clone(run));
        *inner.in_flight.entry(run.model.clone()).or_insert(0) += 1;
        Ok(())
    }

    /// Waits for a place in the batch, and takes it.
    pub async fn wait_for_place(&self, run: &Run) {
        let waited = {
            let mut inner = lock(&self.inner);
            if inner.running < self.batch {
                inner.account(self.batch);
                inner.running += 1;
                return;
            }
            let (sender, receiver) = oneshot::channel();
            inner.sequence += 1;
            let place = (run.priority, inner.sequence, sender);
            inner.waiting.push(place);
            receiver
        };
        let _granted = waited.await;
    }

    /// Notes the start; the requests that the adapter serves now.
    pub fn start(&self, run: &Run) -> u32 {
        lock(&self.inner)
            .in_flight
            .get(&run.model)
            .copied()
            .unwrap_or(0)
    }

    /// Gives the place to the next in line.
    pub fn leave(&self, run: &Run) {
        let mut inner = lock(&self.inner);
        inner.account(self.batch);
        let progress = *run.progress.borrow();
        inner.stats.tokens += progress.tokens;
        inner.stats.completed += u64::from(progress.tokens == run.tokens);
        if let Some(count) = inner.in_flight.get_mut(&run.model) {
            *count = count.saturating_sub(1);
        }
        while let Some(next) = inner.next_waiting() {
            if next.send(()).is_ok() {
                return;
            }
        }
        inner.running = inner.running.saturating_sub(1);
    }

    /// Requests decoding.
    pub fn running(&self) -> usize {
        lock(&self.inner).running
    }

    /// Whether a run was cancelled or aborted.
    pub fn is_over(&self, run: &Run) -> bool {
        run.progress.borrow().state == RunState::Aborted
    }

    /// A run by its name.
    pub fn run(&self, name: &str) -> Option<Arc<Run>> {
        lock(&self.inner).runs.get(name).cloned()
    }

    /// Ends a run.
    pub fn cancel(&self, name: &str) {
        if let Some(run) = self.run(name) {
            abort(&run);
        }
    }

    /// Forgets a run that has ended.
    pub fn forget(&self, name: &str) {
        lock(&self.inner).runs.remove(name);
    }

    /// Ends every run, as the process has ended.
    pub fn abort_all(&self) {
        let runs: Vec<_> = lock(&self.inner).runs.drain().map(|(_, run)| run).collect();
        runs.iter().for_each(abort);
    }

    /// Bytes of the prompt that were cached; caches it.
    pub fn cache_prompt(&self, prompt: &str, capacity: usize) -> usize {
        let head: String = prompt.chars().take(PREFIX_BYTES).collect();
        let prefix = generate::prompt_hash(&head);
        let mut inner = lock(&self.inner);
        let hit = inner.cache.iter().position(|p| *p == prefix);
        if let Some(at) = hit {
            inner.cache.remove(at);
            inner.cache.push_back(prefix);
            inner.stats.cache_hits += 1;
            return head.len();
        }
        inner.cache.push_back(prefix);
        inner.publish("stored", prefix);
        if inner.cache.len() > capacity
            && let Some(old) = inner.cache.pop_front()
        {
            inner.publish("removed", old);
        }
        0
    }

    /// Cache events after a position; some are never published.
    pub fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let inner = lock(&self.inner);
        inner
            .events
            .iter()
            .filter(|e| e.sequence > after)
            .cloned()
            .collect()
    }

    /// Makes a load report, to be shown later.
    pub fn snapshot(&self) {
        let mut inner = lock(&self.inner);
        let report = InFlightReport {
            boot: self.boot,
            made_ms: clock::unix_ms(),
            in_flight: inner
                .in_flight
                .iter()
                .map(|(m, n)| (m.clone(), *n))
                .collect(),
            running: inner.running as u32,
        };
        let now = BootInstant::now();
        inner.snapshots.push_back((now, report));
        while inner
            .snapshots
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= self.lag)
        {
            inner.snapshots.pop_front();
        }
    }

    /// The latest report that is old enough.
    pub fn report(&self) -> InFlightReport {
        let inner = lock(&self.inner);
        inner
            .snapshots
            .front()
            .map(|(_, r)| r.clone())
            .unwrap_or_default()
    }

    /// How much of the paid batch was used so far.
    pub fn stats(&self) -> EngineStats {
        let mut inner = lock(&self.inner);
        inner.account(self.batch);
        inner.stats.clone()
    }
}

impl Inner {
    /// Adds the time since the last change to the integrals.
    fn account(&mut self, batch: usize) {
        let now = BootInstant::now();
        let dt = now.since(self.stats_at).as_secs_f64();
        self.stats.used += dt * self.running as f64;
        self.stats.paid += dt * batch as f64;
        self.stats_at = now;
    }

    fn next_waiting(&mut self) -> Option<oneshot::Sender<()>> {
        let order = |i: &usize| (self.waiting[*i].0, self.waiting[*i].1);
        let first = (0..self.waiting.len()).min_by_key(order)?;
        Some(self.waiting.swap_remove(first).2)
    }

    fn publish(&mut self, kind: &'static str, prefix: u64) {
        self.event_count += 1;
        if self.event_count.is_multiple_of(EVENT_GAP) {
            return;
        }
        let sequence = self.event_count;
        self.events.push_back(CacheEvent {
            sequence,
            kind,
            prefix: format!("{prefix:016x}"),
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

fn abort(run: &Arc<Run>) {
    run.progress.send_modify(|p| {
        if p.state == RunState::Running {
            p.state = RunState::Aborted;
        }
    });
}
