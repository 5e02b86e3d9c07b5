//! State of a stand-in engine process.

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

/// Length of the cached prefix of a prompt, in characters.
const PREFIX_CHARS: usize = 256;

/// Cache events kept for readers.
const MAX_EVENTS: usize = 1_024;

/// Interval of cache events that are lost: every seventh is never published.
const LOST_EVENT_INTERVAL: u64 = 7;

/// State of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// Waiting or decoding.
    Running,
    /// All tokens are decoded.
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

/// Request that the engine runs.
#[derive(Debug)]
pub struct Run {
    /// Request identifier and attempt, as sent by the dispatcher.
    pub name: String,
    /// Name of the adapter.
    pub model: String,
    /// Prompt, or the messages of a chat as JSON.
    pub prompt: String,
    /// Number of tokens to decode.
    pub tokens: u64,
    /// Priority; a lower number runs first.
    pub priority: i64,
    /// Progress, which the response streams watch.
    pub progress: watch::Sender<Progress>,
    /// Number of response streams that read the run.
    pub readers: watch::Sender<u32>,
}

impl Run {
    /// Creates a run that has not joined the batch yet.
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

    /// Returns the hash of the prompt, the same in every attempt of one submission.
    pub fn body_hash(&self) -> String {
        format!("{:016x}", generate::prompt_hash(&self.prompt))
    }
}

/// Outcome of a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The adapter is loaded or being loaded.
    Present,
    /// No slot is free.
    Full,
    /// An injected fault makes the load fail.
    Fault,
    /// A slot is reserved; the caller fetches the weights.
    SlotReserved,
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitError {
    /// The adapter is not loaded.
    NotLoaded,
}

/// Utilisation of the batch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineStats {
    /// Requests in the batch, integrated over time, in seconds.
    pub used: f64,
    /// Capacity of the batch, integrated over time, in seconds.
    pub paid: f64,
    /// Tokens decoded.
    pub tokens: u64,
    /// Requests completed.
    pub completed: u64,
    /// Prompts whose prefix was cached.
    pub cache_hits: u64,
}

/// Change of the prefix cache.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    /// Sequence number.
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
    fencing_number: u64,
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

/// State of an engine process.
#[derive(Debug)]
pub struct EngineState {
    /// Random identifier of the process.
    pub boot: u64,
    batch: usize,
    report_lag: Duration,
    inner: Mutex<Inner>,
}

impl EngineState {
    /// Creates the state of an engine that has just started.
    pub fn new(config: &EngineConfig, faults: EngineFaults) -> Self {
        let inner = Inner {
            faults,
            stats_at: BootInstant::now(),
            ..Inner::default()
        };
        Self {
            boot: rand::random_range(1..u64::MAX / 2),
            batch: config.batch,
            report_lag: Duration::from_millis(config.report_lag),
            inner: Mutex::new(inner),
        }
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> EngineFaults {
        lock(&self.inner).faults.clone()
    }

    /// Replaces the faults that are switched on.
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.inner).faults = faults;
    }

    /// Consumes one from a fault's counter; returns whether it was above zero.
    pub fn take_fault(&self, counter: fn(&mut EngineFaults) -> &mut u32) -> bool {
        let mut inner = lock(&self.inner);
        let count = counter(&mut inner.faults);
        let inject = *count > 0;
        *count = count.saturating_sub(1);
        inject
    }

    /// Raises the fencing number to `number`; returns false if `number` is lower.
    pub fn raise_fencing_number(&self, number: u64) -> bool {
        let mut inner = lock(&self.inner);
        if number < inner.fencing_number {
            return false;
        }
        inner.fencing_number = number;
        true
    }

    /// Returns the loaded adapters.
    pub fn adapters(&self) -> Vec<String> {
        lock(&self.inner).adapters.iter().cloned().collect()
    }

    /// Returns the adapters that are being loaded.
    pub fn loading(&self) -> Vec<String> {
        lock(&self.inner).loading.iter().cloned().collect()
    }

    /// Returns whether an adapter is being loaded.
    pub fn is_loading(&self, model: &str) -> bool {
        lock(&self.inner).loading.contains(model)
    }

    /// Reserves one of `slots` slots for an adapter.
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

    /// Ends a load; `ok` keeps the slot.
    pub fn end_load(&self, model: &str, ok: bool) {
        let mut inner = lock(&self.inner);
        inner.loading.remove(model);
        if ok {
            inner.adapters.insert(model.to_owned());
        }
    }

    /// Evicts an adapter and aborts its runs; returns how many were in flight, if it was loaded.
    pub fn unload(&self, model: &str) -> Option<u32> {
        let mut inner = lock(&self.inner);
        if !inner.adapters.remove(model) {
            return None;
        }
        let aborted: Vec<Arc<Run>> = inner
            .runs
            .values()
            .filter(|r| r.model == model)
            .cloned()
            .collect();
        let in_flight = inner.in_flight.get(model).copied().unwrap_or(0);
        drop(inner);
        aborted.iter().for_each(abort);
        Some(in_flight)
    }

    /// Evicts an adapter unless it is in use; returns false if it is.
    pub fn evict_idle(&self, model: &str) -> bool {
        let mut inner = lock(&self.inner);
        if inner.in_flight.get(model).is_some_and(|runs| *runs > 0) {
            return false;
        }
        inner.adapters.remove(model);
        true
    }

    /// Registers a request, provided that its adapter is loaded.
    ///
    /// # Errors
    /// The adapter is not loaded.
    pub fn admit(&self, run: &Arc<Run>) -> Result<(), AdmitError> {
        let mut inner = lock(&self.inner);
        if !inner.adapters.contains(&run.model) {
            return Err(AdmitError::NotLoaded);
        }
        inner.runs.insert(run.name.clone(), Arc::clone(run));
        *inner.in_flight.entry(run.model.clone()).or_insert(0) += 1;
        Ok(())
    }

    /// Waits until the batch has room for the run, and adds it.
    pub async fn join_batch(&self, run: &Run) {
        let granted = {
            let mut inner = lock(&self.inner);
            if inner.running < self.batch {
                inner.account(self.batch);
                inner.running += 1;
                return;
            }
            let (sender, receiver) = oneshot::channel();
            inner.sequence += 1;
            let waiter = (run.priority, inner.sequence, sender);
            inner.waiting.push(waiter);
            receiver
        };
        let _received = granted.await;
    }

    /// Returns the number of requests in flight for the run's adapter.
    pub fn in_flight(&self, run: &Run) -> u32 {
        lock(&self.inner)
            .in_flight
            .get(&run.model)
            .copied()
            .unwrap_or(0)
    }

    /// Removes a run from the batch, and admits the next waiting one.
    pub fn leave_batch(&self, run: &Run) {
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

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> usize {
        lock(&self.inner).running
    }

    /// Returns whether a run was cancelled, or aborted by an eviction.
    pub fn is_aborted(&self, run: &Run) -> bool {
        run.progress.borrow().state == RunState::Aborted
    }

    /// Returns the run of a request.
    pub fn run(&self, name: &str) -> Option<Arc<Run>> {
        lock(&self.inner).runs.get(name).cloned()
    }

    /// Cancels a run.
    pub fn cancel(&self, name: &str) {
        if let Some(run) = self.run(name) {
            abort(&run);
        }
    }

    /// Removes a run that has ended.
    pub fn forget(&self, name: &str) {
        lock(&self.inner).runs.remove(name);
    }

    /// Aborts every run, at the end of the process.
    pub fn abort_all(&self) {
        let runs: Vec<_> = lock(&self.inner).runs.drain().map(|(_, run)| run).collect();
        runs.iter().for_each(abort);
    }

    /// Caches the prompt's prefix; returns its length in bytes if it was cached already, else 0.
    pub fn cache_prompt(&self, prompt: &str, capacity: usize) -> usize {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let hash = generate::prompt_hash(&prefix);
        let mut inner = lock(&self.inner);
        let hit = inner.cache.iter().position(|p| *p == hash);
        if let Some(index) = hit {
            inner.cache.remove(index);
            inner.cache.push_back(hash);
            inner.stats.cache_hits += 1;
            return prefix.len();
        }
        inner.cache.push_back(hash);
        inner.publish("stored", hash);
        if inner.cache.len() > capacity
            && let Some(evicted) = inner.cache.pop_front()
        {
            inner.publish("removed", evicted);
        }
        0
    }

    /// Returns the cache events after a sequence number, except the lost ones.
    pub fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let inner = lock(&self.inner);
        inner
            .events
            .iter()
            .filter(|e| e.sequence > after)
            .cloned()
            .collect()
    }

    /// Records a report of the requests in flight, which `report` returns after the lag.
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
            .is_some_and(|(at, _)| now.since(*at) >= self.report_lag)
        {
            inner.snapshots.pop_front();
        }
    }

    /// Returns the latest report that is at least as old as the lag.
    pub fn report(&self) -> InFlightReport {
        let inner = lock(&self.inner);
        inner
            .snapshots
            .front()
            .map(|(_, r)| r.clone())
            .unwrap_or_default()
    }

    /// Returns the statistics up to now.
    pub fn stats(&self) -> EngineStats {
        let mut inner = lock(&self.inner);
        inner.account(self.batch);
        inner.stats.clone()
    }
}

impl Inner {
    /// Adds the time since the last call to the integrals.
    fn account(&mut self, batch: usize) {
        let now = BootInstant::now();
        let dt = now.since(self.stats_at).as_secs_f64();
        self.stats.used += dt * self.running as f64;
        self.stats.paid += dt * batch as f64;
        self.stats_at = now;
    }

    /// Removes the waiting run of the lowest priority number, the oldest among equals.
    fn next_waiting(&mut self) -> Option<oneshot::Sender<()>> {
        let rank = |i: &usize| (self.waiting[*i].0, self.waiting[*i].1);
        let first = (0..self.waiting.len()).min_by_key(rank)?;
        Some(self.waiting.swap_remove(first).2)
    }

    fn publish(&mut self, kind: &'static str, prefix_hash: u64) {
        self.event_count += 1;
        if self.event_count.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }
        let sequence = self.event_count;
        self.events.push_back(CacheEvent {
            sequence,
            kind,
            prefix: format!("{prefix_hash:016x}"),
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
