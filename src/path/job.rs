//! A caller's request and the selection of its upstream.

use crate::{
    byte_budget::ByteAccount,
    clock::BootInstant,
    decide::{
        load_balancing::{self, Candidate, Choice},
        standing::Standing,
    },
    edge::{
        codec::RequestHead,
        deployment::{Customer, Route},
        registration::{AdapterKey, Build, Registration},
    },
    entry::{
        candidates::ServingUpstreams,
        context::Entry,
        ensure,
        messages::{EnsureRequest, EnsureResult},
        prompt_caches::PromptBeginning,
        quotas::QuotaHold,
        usage::UsageGuard,
    },
    holding::lock,
    ident::{UpstreamId, pair_hash},
    path::{prefill_reservation::PrefillReservation, refusal::RefusalReason},
    wire::Subject,
};
use bytes::Bytes;
use http::{HeaderMap, Method};
use log::info;
use std::{sync::Arc, time::Duration};
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Engines on which loading the adapter is attempted before a request is refused.
const MAX_LOADS: usize = 3;

/// Longest wait of a replica's load: it is made only while no other loads wait.
const REPLICA_WAIT: Duration = Duration::from_millis(320);

/// Parts of a prompt that are looked at, the first ones, to bound what one request costs.
const MAX_PARTS: usize = 16;

/// Interval at which a waiting request polls whether its upstream started to leave; a small part of the two seconds
/// during which a leaving upstream still takes requests.
const LEAVING_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of candidates listed in the log line of a choice.
const LOGGED_CANDIDATES: usize = 4;

/// A caller's request with its route and deadline.
#[derive(Debug)]
pub struct ProxyRequest {
    /// Shared state of the entry.
    pub entry: Arc<Entry>,
    /// Decoded request head.
    pub head: RequestHead,
    /// Route that matched.
    pub route: Route,
    /// Customer whose key it carries; `None` if requests need no key, or on a public route.
    pub customer: Option<Arc<Customer>>,
    /// Tokens of the customer's quota, if it has one.
    pub quota: Option<QuotaHold>,
    /// Service picked from the route's targets.
    pub service: Arc<str>,
    /// Standing among the requests of that service.
    pub standing: Standing,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub path_and_query: String,
    /// Headers; without the key and the name of a customer if the configuration has customers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Size of the body.
    pub account: ByteAccount,
    /// Time at which the request head was received.
    pub arrived: BootInstant,
    /// Deadline of the response.
    pub deadline: BootInstant,
    /// Hash of host, method, path, query and body, which are the same when a caller repeats the request.
    pub fingerprint: u64,
    /// Build that the upstream must have, as it goes on with what this build began.
    pub build: Option<Build>,
    /// Counts the request as in flight until dropped.
    pub in_flight: TaskTrackerToken,
}

/// Upstream selected for the next attempt.
#[derive(Debug)]
pub struct Placement {
    /// The upstream.
    pub upstream: Arc<Registration>,
    /// Adapter version that the upstream must have.
    pub version: Option<u32>,
}

impl ProxyRequest {
    /// Returns the name of the customer, if it is known.
    pub fn customer_name(&self) -> Option<&str> {
        self.customer.as_ref().map(|c| &*c.name)
    }

    /// Returns the priority: the customer's if it has one, else the route's; 0 is the highest.
    pub fn priority(&self) -> u8 {
        self.route.priority_of(self.customer.as_deref())
    }

    /// Returns the adapter that the request needs.
    pub fn adapter(&self) -> Option<&AdapterKey> {
        self.head.work.as_ref()?.adapter.as_ref()
    }

    /// Returns the parts of the prompt that other requests may share: all but the last, and at most [`MAX_PARTS`].
    pub fn prompt_parts(&self) -> impl Iterator<Item = u64> {
        let work = self.head.work.as_ref();
        let parts = work.map_or(&[][..], |w| &w.prompt_parts);
        let shared = parts.split_last().map_or(&[][..], |(_own, shared)| shared);
        shared.iter().take(MAX_PARTS).map(|(id, _tokens)| *id)
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(BootInstant::now())
    }

    /// Takes one retry from the service's retry budget; false if it is exhausted.
    pub fn take_retry(&self) -> bool {
        let entries = self.entry.entry_count();
        lock(&self.entry.retry_budget).take_retry(&self.service, entries, BootInstant::now())
    }

    /// Returns whether the service's retry budget allows a retry, without taking it.
    pub fn has_retry(&self) -> bool {
        let entries = self.entry.entry_count();
        lock(&self.entry.retry_budget).has_retry(&self.service, entries, BootInstant::now())
    }

    /// Returns whether the request may be sent, given the upstreams that crashed at any entry under it, or under requests
    /// that share a part of its prompt.
    ///
    /// # Errors
    /// The refusal, with the time for which it holds.
    pub fn check_quarantine(&self) -> Result<(), RefusalReason> {
        let parts = self.prompt_parts().map(Subject::Part);
        let subjects = parts.chain([Subject::Request(self.fingerprint)]);
        let ticket = pair_hash(&self.head.id, "");
        let quarantine = &self.entry.quarantine;
        let left =
            quarantine.refused_for(subjects, ticket, |subject| self.entry.trial_rank(subject));
        left.map_or(Ok(()), |left| Err(RefusalReason::Poison(left)))
    }

    /// Returns whether the prompt fits into the memory of an engine of the service: otherwise each one rejects the request.
    pub fn fits_engine(&self) -> bool {
        let tokens = self.head.work.as_ref().map_or(0, |w| w.prompt_tokens);
        let table = self.entry.routes.load();
        let service = table.deployment.service(&self.service);
        let memory = service
            .and_then(|s| s.engine.as_ref())
            .map(|e| e.cache_tokens);
        memory.is_none_or(|memory| memory == 0 || u64::from(tokens) <= memory)
    }

    /// Selects an upstream that is not in `excluded`, and loads the adapter there if needed.
    ///
    /// # Errors
    /// The reason why no upstream can take the request.
    async fn select_upstream(
        &self,
        excluded: &[UpstreamId],
        max_wait: Duration,
        mut loads_left: usize,
    ) -> Result<(Placement, UsageGuard), RefusalReason> {
        let mut excluded = excluded.to_vec();
        let mut shortest_wait: Option<Duration> = None;
        loop {
            self.check_quarantine()?;
            self.max_wait_before_exit()?;
            if self.time_left().is_zero() {
                return Err(RefusalReason::DeadlineExpired);
            }
            let serving =
                self.entry
                    .serving_upstreams(&self.service, self.build.as_ref(), &excluded);
            let upstreams = &serving.available;
            let (chosen, needs_load) = match self.choose(&serving, max_wait) {
                Choice::Send(i) => (i, false),
                Choice::SendAndCopy(i, copy) => {
                    if let Some(target) = upstreams.get(copy) {
                        self.replicate_to(target);
                    }
                    (i, false)
                }
                Choice::Load(i) if loads_left > 0 => (i, true),
                Choice::Load(_) | Choice::Full => {
                    let reason = self.full_reason(upstreams, max_wait);
                    return Err(unavailable(reason, &serving));
                }
                Choice::NoUpstream => {
                    let reason = if self.build.is_some() && upstreams.is_empty() {
                        RefusalReason::NoSameBuild
                    } else {
                        RefusalReason::NoUpstream
                    };
                    return Err(unavailable(reason, &serving));
                }
            };
            let upstream = upstreams.get(chosen).ok_or(RefusalReason::NoUpstream)?;
            if !self.entry.reserve_send(&upstream.id) {
                continue;
            }
            // Others must not count on this place while the request waits.
            let place = self.entry.usage.begin(&upstream.id, None);
            let result = if needs_load {
                self.load_adapter(upstream).await
            } else {
                EnsureResult::Ready
            };
            match result {
                EnsureResult::Ready => return Ok((self.placement(upstream), place)),
                EnsureResult::Late(ms) => {
                    let wait = Duration::from_millis(u64::from(ms));
                    shortest_wait = Some(shortest_wait.map_or(wait, |w| w.min(wait)));
                }
                EnsureResult::Full | EnsureResult::NotHolder | EnsureResult::Failed => {}
            }
            loads_left -= 1;
            if loads_left == 0 {
                let wait = shortest_wait.unwrap_or_default();
                return Err(RefusalReason::NoAdapter(wait));
            }
            excluded.push(Arc::clone(&upstream.id));
        }
    }

    /// Selects an upstream where the prompts before the request's own take at most `max_wait`, and waits for them. Also
    /// returns the reservation of its own prompt. If more prompts have come during a load, only upstreams that have the adapter
    /// already are left.
    ///
    /// # Errors
    /// The reason why no upstream can take the request.
    pub async fn select_ready_upstream(
        &self,
        excluded: &[UpstreamId],
        max_wait: Duration,
    ) -> Result<(Placement, PrefillReservation), RefusalReason> {
        let mut excluded = excluded.to_vec();
        let mut loads_left = MAX_LOADS;
        loop {
            let max_wait = max_wait.min(self.max_wait_before_exit()?);
            let (placement, place) = self
                .select_upstream(&excluded, max_wait, loads_left)
                .await?;
            let reserved = self.reserve_prefill(&placement.upstream, max_wait);
            let Some(reserved) = reserved.await else {
                info!(request = &*self.head.id, upstream = &*placement.upstream.id; "routing: other prompts came first at the chosen upstream");
                loads_left = 0;
                continue;
            };
            self.check_quarantine()?;
            // A stop signal may have come during the wait.
            self.max_wait_before_exit()?;
            // The upstream may have started to leave, or got other requests, during the adapter load or the wait for earlier
            // prefills.
            let upstream = &placement.upstream;
            let is_serving = self.entry.is_still_serving(upstream);
            // The attempt counts the request from here on.
            drop(place);
            if is_serving && self.entry.is_within_allowance(upstream) {
                return Ok((placement, reserved));
            }
            info!(request = &*self.head.id, upstream = &*upstream.id, serving = is_serving; "routing: the chosen upstream takes no request any more");
            excluded.push(Arc::clone(&placement.upstream.id));
        }
    }

    fn choose(&self, serving: &ServingUpstreams, max_wait: Duration) -> Choice {
        let work = self.head.work.as_ref();
        let key = self.adapter();
        let run_time = self.plain_run_time();
        let beginning = self.prompt_beginning();
        let available = serving.available.iter();
        let candidates: Vec<Candidate<'_>> = available
            .map(|u| {
                let candidate = self.entry.candidate(u, work, max_wait);
                let candidate = Candidate {
                    saved: self.saved_prefill(u, &candidate, &beginning),
                    ..candidate
                };
                self.with_queue(candidate, run_time)
            })
            .collect();
        let choice = match key {
            Some(key) => load_balancing::choose_for_adapter(&key.to_string(), &candidates),
            None => load_balancing::choose_least_loaded(&self.head.id, &candidates),
        };
        self.log_choice(choice, &candidates, serving.limited_count);
        choice
    }

    fn prompt_beginning(&self) -> PromptBeginning {
        let work = self.head.work.as_ref();
        work.map_or_else(PromptBeginning::default, |work| {
            self.entry.prompt_beginning(&self.service, work)
        })
    }

    /// Returns the prefill time that `upstream` is expected to save; none if it lacks the adapter, and with it all that it kept.
    fn saved_prefill(
        &self,
        upstream: &Registration,
        candidate: &Candidate<'_>,
        beginning: &PromptBeginning,
    ) -> Duration {
        if candidate.resident {
            self.entry.saved_prefill(upstream, beginning)
        } else {
            Duration::ZERO
        }
    }

    fn placement(&self, upstream: &Arc<Registration>) -> Placement {
        let version = self
            .adapter()
            .map(|key| self.entry.usable_version(upstream, key));
        Placement {
            upstream: Arc::clone(upstream),
            version,
        }
    }

    /// Reserves the prefill of the prompt and waits until the engine is free for it; `None`, and reserves nothing, if the wait
    /// is longer than `max_wait`.
    async fn reserve_prefill(
        &self,
        upstream: &Registration,
        max_wait: Duration,
    ) -> Option<PrefillReservation> {
        let Some(work) = &self.head.work else {
            return Some(PrefillReservation::none(&self.entry, &upstream.id));
        };
        let now = BootInstant::now();
        let reserved = {
            let mut prefill = lock(&self.entry.prefill);
            if prefill.wait(&upstream.id, work.prompt_tokens, now) > max_wait {
                return None;
            }
            prefill.begin(&upstream.id, work.prompt_tokens, now)
        };
        let beginning = self.prompt_beginning();
        let reservation = PrefillReservation::new(
            &self.entry,
            &upstream.id,
            reserved,
            work.prompt_tokens,
            self.entry.record_prompt(upstream, &beginning),
        );
        if !reserved.wait.is_zero() {
            tokio::time::sleep(reserved.wait.min(self.time_left())).await;
        }
        Some(reservation)
    }

    /// Waits until the adapter is loaded at `upstream`.
    async fn load_adapter(&self, upstream: &Registration) -> EnsureResult {
        let Some(key) = self.adapter() else {
            return EnsureResult::Ready;
        };
        let started = BootInstant::now();
        let version = self.entry.newest_version(key);
        let waits = self.load_waits();
        let request = EnsureRequest {
            upstream: Arc::clone(&upstream.id),
            key: key.clone(),
            version,
            max_wait_ms: waits.queued.as_millis() as u32,
            idle_wait_ms: waits.idle.as_millis() as u32,
            is_urgent: self.standing.is_urgent(),
        };
        let ensured = ensure::ensure_adapter(&self.entry, request);
        let result = tokio::select! {
            result = ensured => result,
            () = tokio::time::sleep(self.time_left()) => EnsureResult::Failed,
            () = self.wait_until_leaving(upstream) => EnsureResult::Failed,
            () = self.wait_until_too_late_before_exit() => EnsureResult::Failed,
        };
        let stall = BootInstant::now().since(started);
        crate::metrics::load_stall(self.route.kind.as_str(), stall.as_secs_f64());
        info!(
            request = &*self.head.id, upstream = &*upstream.id, adapter:% = key, version = version,
            outcome = result.as_str(), stall_ms = stall.as_millis() as u64;
            "placement: adapter requested"
        );
        result
    }

    /// Resolves when `upstream` stops taking new requests.
    async fn wait_until_leaving(&self, upstream: &Registration) {
        while self.entry.is_still_serving(upstream) {
            tokio::time::sleep(LEAVING_POLL_INTERVAL).await;
        }
    }

    /// Resolves when the request can no longer wait, as its response would not end before this process does.
    async fn wait_until_too_late_before_exit(&self) {
        self.entry.wait_for_shutdown().await;
        if let Ok(wait) = self.max_wait_before_exit() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Loads the adapter at `upstream` in the background, for later requests.
    fn replicate_to(&self, upstream: &Registration) {
        let Some(key) = self.adapter().cloned() else {
            return;
        };
        let (entry, id) = (Arc::clone(&self.entry), Arc::clone(&upstream.id));
        // A replica only saves later requests a wait.
        let is_urgent = !self.standing.is_ordered;
        tokio::spawn(async move {
            let request = EnsureRequest {
                upstream: Arc::clone(&id),
                key: key.clone(),
                version: entry.newest_version(&key),
                max_wait_ms: REPLICA_WAIT.as_millis() as u32,
                idle_wait_ms: REPLICA_WAIT.as_millis() as u32,
                is_urgent,
            };
            let result = ensure::ensure_adapter(&entry, request).await;
            info!(upstream = &*id, adapter:% = key, outcome = result.as_str(); "placement: replica of a busy adapter");
        });
    }

    fn log_choice(&self, choice: Choice, candidates: &[Candidate<'_>], limited: usize) {
        let (action, index) = match choice {
            Choice::Send(i) | Choice::SendAndCopy(i, _) => ("send", Some(i)),
            Choice::Load(i) => ("load", Some(i)),
            Choice::Full => ("full", None),
            Choice::NoUpstream => ("nowhere", None),
        };
        let upstream = index.and_then(|i| candidates.get(i));
        let resident = candidates.iter().filter(|c| c.resident);
        let logged: Vec<String> = resident
            .take(LOGGED_CANDIDATES)
            .map(|c| format!("{}:{}", c.id, c.in_flight))
            .collect();
        info!(
            request = &*self.head.id, choice = action, upstream = upstream.map_or("", |c| &**c.id),
            load = upstream.map_or(0, |c| c.in_flight), candidates = candidates.len(), limited = limited,
            resident = logged.join(" ");
            "routing: chosen"
        );
    }
}

/// Returns why no upstream takes a request: a limit, if one of them would take it later.
fn unavailable(reason: RefusalReason, serving: &ServingUpstreams) -> RefusalReason {
    serving.limited_for.map_or(reason, RefusalReason::Limited)
}
