//! A request that is to be served, and the choice of its upstream.

use crate::{
    clock::BootInstant,
    decide::load_balancing::{self, Candidate, Choice},
    edge::{
        codec::RequestHead,
        deployment::Route,
        registration::{AdapterKey, Registration},
    },
    entry::{context::Entry, ensure, messages::EnsureResult, prompt_log::PromptReservation},
    holding::lock,
    ident::UpstreamId,
    path::refusal::Reason,
};
use bytes::Bytes;
use http::{HeaderMap, Method};
use log::info;
use std::{sync::Arc, time::Duration};

/// Engines at which an adapter is asked for before a request is given up.
const MAX_LOADS: usize = 3;

/// Interval between looks whether an upstream that is waited for begins to leave; a small part of the two seconds in
/// which it still takes requests.
const LEAVE_POLL: Duration = Duration::from_millis(100);

/// Candidates shown in a decision's log line.
const LOGGED_CANDIDATES: usize = 4;

/// A request as it came, with its route.
#[derive(Debug)]
pub struct Job {
    /// What the parts of the entry share.
    pub entry: Arc<Entry>,
    /// Decoded head.
    pub call: RequestHead,
    /// Its route.
    pub route: Route,
    /// Service that takes it.
    pub service: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: String,
    /// Headers, as the caller sent them.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// When its head had come.
    pub arrived: BootInstant,
    /// When the caller must have its answer.
    pub deadline: BootInstant,
}

/// An upstream that a request is sent to next.
#[derive(Debug)]
pub struct Placement {
    /// The upstream.
    pub upstream: Arc<Registration>,
    /// Version of the adapter that must be there.
    pub version: Option<u32>,
}

impl Job {
    /// Adapter that the request needs.
    pub fn adapter(&self) -> Option<&AdapterKey> {
        self.call.work.as_ref()?.adapter.as_ref()
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.since(BootInstant::now())
    }

    /// Takes one repeat of the service's budget; false if none is left.
    pub fn take_repeat(&self) -> bool {
        let entries = self.entry.entry_count();
        lock(&self.entry.retry_budget).take_retry(&self.service, entries, BootInstant::now())
    }

    /// Whether a repeat is left, without taking it.
    pub fn has_repeat(&self) -> bool {
        let entries = self.entry.entry_count();
        lock(&self.entry.retry_budget).has_retry(&self.service, entries, BootInstant::now())
    }

    /// Chooses an upstream that is not in `excluded`, and has its adapter brought where that is needed.
    ///
    /// # Errors
    /// Why there is none.
    async fn place(&self, excluded: &[UpstreamId]) -> Result<Placement, Reason> {
        let mut excluded = excluded.to_vec();
        let mut loads = 0;
        loop {
            if self.left().is_zero() {
                return Err(Reason::Late);
            }
            let upstreams = self.entry.serving_upstreams(&self.service, &excluded);
            let chosen = self.choose(&upstreams);
            match chosen {
                Choice::Send(i) => return self.placement(&upstreams, i),
                Choice::SendAndCopy(i, copy) => {
                    if let Some(target) = upstreams.get(copy) {
                        self.copy_to(target);
                    }
                    return self.placement(&upstreams, i);
                }
                Choice::Load(i) => {
                    let upstream = upstreams.get(i).ok_or(Reason::NoUpstream)?;
                    loads += 1;
                    if self.load_adapter(upstream).await == EnsureResult::Ready {
                        return self.placement(&upstreams, i);
                    }
                    if loads >= MAX_LOADS {
                        return Err(Reason::NoAdapter);
                    }
                    excluded.push(Arc::clone(&upstream.id));
                }
                Choice::Full => return Err(Reason::Full),
                Choice::NoUpstream => return Err(Reason::NoUpstream),
            }
        }
    }

    /// Chooses an upstream as [`Job::place`] does, and waits until it is ready for the prompt; also the time in which
    /// its first part is expected after the request is sent.
    ///
    /// # Errors
    /// Why there is none.
    pub async fn place_ready(
        &self,
        excluded: &[UpstreamId],
    ) -> Result<(Placement, Duration), Reason> {
        let mut excluded = excluded.to_vec();
        loop {
            let placement = self.place(&excluded).await?;
            let read = self.reserve_prefill(&placement.upstream.id).await;
            // It may have begun to leave while its adapter was loaded or its prompts were read.
            if self.entry.is_still_serving(&placement.upstream) {
                return Ok((placement, read));
            }
            info!(request = &*self.call.id, upstream = &*placement.upstream.id; "routing: the chosen upstream left meanwhile");
            excluded.push(Arc::clone(&placement.upstream.id));
        }
    }

    fn choose(&self, upstreams: &[Arc<Registration>]) -> Choice {
        let work = self.call.work.as_ref();
        let key = self.adapter();
        let describe = |u| self.entry.candidate(u, work);
        let candidates: Vec<Candidate<'_>> = upstreams.iter().map(|u| describe(u)).collect();
        let choice = match key {
            Some(key) => load_balancing::choose_for_adapter(&key.to_string(), &candidates),
            None => load_balancing::choose_least_loaded(&self.call.id, &candidates),
        };
        self.log_choice(choice, &candidates);
        choice
    }

    fn placement(&self, upstreams: &[Arc<Registration>], i: usize) -> Result<Placement, Reason> {
        let upstream = upstreams.get(i).ok_or(Reason::NoUpstream)?;
        let version = self
            .adapter()
            .map(|key| self.entry.usable_version(upstream, key));
        Ok(Placement {
            upstream: Arc::clone(upstream),
            version,
        })
    }

    /// Reserves the reading of the prompt, and holds the request back until the engine is ready for it.
    ///
    /// Returns the time in which its first part is expected after it is sent.
    async fn reserve_prefill(&self, upstream: &UpstreamId) -> Duration {
        let Some(work) = &self.call.work else {
            return Duration::ZERO;
        };
        let now = BootInstant::now();
        let (wait, read) = lock(&self.entry.prefill).reserve(upstream, work.prompt_tokens, now);
        lock(&self.entry.prompt_log).add(PromptReservation {
            source: None,
            upstream: Arc::clone(upstream),
            tokens: work.prompt_tokens,
        });
        self.entry.notify_peers();
        if !wait.is_zero() {
            tokio::time::sleep(wait.min(self.left())).await;
        }
        read
    }

    /// Waits until the adapter is at `upstream`.
    async fn load_adapter(&self, upstream: &Registration) -> EnsureResult {
        let Some(key) = self.adapter() else {
            return EnsureResult::Ready;
        };
        let begun = BootInstant::now();
        let version = self.entry.newest_version(key);
        let brought = ensure::ensure_adapter(&self.entry, &upstream.id, key, version);
        let result = tokio::select! {
            result = brought => result,
            () = tokio::time::sleep(self.left()) => EnsureResult::Failed,
            () = self.leaving_of(upstream) => EnsureResult::Failed,
        };
        let stall = BootInstant::now().since(begun);
        crate::metrics::load_stall(self.route.kind.as_str(), stall.as_secs_f64());
        info!(
            request = &*self.call.id, upstream = &*upstream.id, adapter:% = key, version = version,
            outcome = result.as_str(), stall_ms = stall.as_millis() as u64;
            "placement: adapter asked for"
        );
        result
    }

    /// Resolves when `upstream` takes new work no more.
    async fn leaving_of(&self, upstream: &Registration) {
        while self.entry.is_still_serving(upstream) {
            tokio::time::sleep(LEAVE_POLL).await;
        }
    }

    /// Has the adapter brought to `upstream` for later requests.
    fn copy_to(&self, upstream: &Registration) {
        let Some(key) = self.adapter().cloned() else {
            return;
        };
        let (entry, id) = (Arc::clone(&self.entry), Arc::clone(&upstream.id));
        tokio::spawn(async move {
            let version = entry.newest_version(&key);
            let result = ensure::ensure_adapter(&entry, &id, &key, version).await;
            info!(upstream = &*id, adapter:% = key, outcome = result.as_str(); "placement: copy of a busy adapter");
        });
    }

    fn log_choice(&self, choice: Choice, candidates: &[Candidate<'_>]) {
        let (verb, position) = match choice {
            Choice::Send(i) | Choice::SendAndCopy(i, _) => ("send", Some(i)),
            Choice::Load(i) => ("load", Some(i)),
            Choice::Full => ("full", None),
            Choice::NoUpstream => ("nowhere", None),
        };
        let upstream = position.and_then(|i| candidates.get(i));
        let resident = candidates.iter().filter(|c| c.resident);
        let shown: Vec<String> = resident
            .take(LOGGED_CANDIDATES)
            .map(|c| format!("{}:{}", c.id, c.in_flight))
            .collect();
        info!(
            request = &*self.call.id, choice = verb, upstream = upstream.map_or("", |c| &**c.id),
            load = upstream.map_or(0, |c| c.in_flight), candidates = candidates.len(), resident = shown.join(" ");
            "routing: chosen"
        );
    }
}
