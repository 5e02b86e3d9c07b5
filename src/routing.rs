//! Routes one request: chooses an upstream, sends an attempt, and retries where a second run is safe.

use crate::{
    catalogue::Class,
    clock::BootInstant,
    digest::ResponseDigest,
    dispatch_server::DISPATCH_PATH,
    engine_run::DEFAULT_RETRY_MS,
    gateway::Context,
    holding::lock,
    ident::{ModelRef, RequestId, Revision, UpstreamId},
    link::{Link, LinkError, Receiver},
    placement::{self, Candidate, PlacementRequest, ScoredUpstream},
    poison::Verdict,
    upstream_view::LocatedUpstream,
    wire::{DispatchRequest, DispatchResponse, Failure, Refusal, Work},
};
use bytes::Bytes;
use log::info;
use std::{collections::HashSet, sync::Arc, time::Duration};
use tokio::sync::mpsc;

/// Attempts of one request at most, not counting refusals after an attempt that may have run.
const MAX_ATTEMPTS: u32 = 5;

/// Longest wait for the view to show an upstream that can take the request.
const VIEW_WAIT: Duration = Duration::from_millis(200);

/// Wait before a retry after a dispatcher responded that it isn't the holder.
const NOT_HOLDER_DELAY: Duration = Duration::from_millis(50);

/// First backoff after a refusal of a request that may already have run; doubled with each further refusal. A
/// crashed engine is back after about half a second.
const REFUSED_BACKOFF: Duration = Duration::from_millis(50);

/// Longest such backoff.
const MAX_REFUSED_BACKOFF: Duration = Duration::from_secs(1);

/// Upstream crashes after which a request is refused and not retried.
const MAX_CRASHES: u32 = 2;

/// Candidates in the log line of a choice.
const LOGGED_CANDIDATES: usize = 4;

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Request identifier.
    pub id: RequestId,
    /// Pools whose upstreams may take it.
    pub pools: Vec<String>,
    /// Model, for generated text.
    pub model: Option<ModelRef>,
    /// Owner of the adapter, or name of the plain service.
    pub owner: Arc<str>,
    /// Priority class.
    pub class: Class,
    /// When the response must be complete.
    pub deadline: BootInstant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Hash of caller, model and body.
    pub fingerprint: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Catalogue revision under which it was admitted.
    pub revision: Revision,
    /// Work for the upstream.
    pub work: Work,
    /// Whether chunks are forwarded as they arrive.
    pub stream: bool,
}

/// Progress of a request, as the caller's handler receives it.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// The response begins.
    Head(ResponseHead),
    /// A chunk of its body.
    Chunk(Bytes),
    /// It is complete.
    End {
        /// Why the text ended.
        finish: String,
        /// Tokens generated.
        tokens: u64,
    },
    /// The request was not run.
    Refused {
        /// Reason.
        reason: Refusal,
        /// When to retry, in milliseconds.
        retry_ms: u64,
        /// Milliseconds spent waiting for loads.
        stall_ms: u64,
    },
    /// It may have run.
    Failed {
        /// Reason.
        reason: Failure,
        /// Milliseconds spent waiting for loads.
        stall_ms: u64,
    },
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Upstream that runs the request.
    pub upstream: UpstreamId,
    /// HTTP status, for a plain service's response.
    pub status: u16,
    /// Content type, for a plain service's response.
    pub content: String,
    /// Milliseconds spent waiting for loads.
    pub stall_ms: u64,
}

/// State across all attempts of one request.
struct Route<'a> {
    context: &'a Arc<Context>,
    job: &'a Job,
    events: &'a mpsc::Sender<ResponseEvent>,
    attempt: u32,
    /// Refusals since an attempt that may have run.
    refusals_since_run: u32,
    excluded: HashSet<UpstreamId>,
    possibly_run: Option<Failure>,
    crashes: u32,
    stall_ms: u64,
    forwarded: bool,
}

/// How one attempt ended.
enum AttemptResult {
    Complete,
    Refused(Refusal, u64),
    Failed(Failure),
    CallerGone,
}

/// Routes `job` and sends its progress to `events`; the last event is an end, a refusal or a failure.
pub async fn route(context: &Arc<Context>, job: &Job, events: &mpsc::Sender<ResponseEvent>) {
    context.budget.deposit();
    let mut route = Route {
        context,
        job,
        events,
        attempt: 0,
        refusals_since_run: 0,
        excluded: HashSet::new(),
        possibly_run: None,
        crashes: 0,
        stall_ms: 0,
        forwarded: false,
    };
    if let Some(last) = route.run().await
        && events.send(last).await.is_err()
    {
        info!(request:% = job.id; "routing: the caller disconnected");
    }
}

impl Route<'_> {
    async fn run(&mut self) -> Option<ResponseEvent> {
        loop {
            if self.context.quarantine.verdict(self.job.fingerprint) == Verdict::Refuse
                || self.crashes >= MAX_CRASHES
            {
                return Some(self.final_refusal(Refusal::Poison, DEFAULT_RETRY_MS));
            }
            let (located, ranked) = match self.choose().await {
                Ok(chosen) => chosen,
                Err(refusal) => return Some(self.final_refusal(refusal, DEFAULT_RETRY_MS)),
            };
            self.attempt += 1;
            self.log_choice(&located, &ranked);
            let result = self.send_attempt(&located).await;
            self.update_outliers(&located.status.id, &result);
            match result {
                AttemptResult::Complete | AttemptResult::CallerGone => return None,
                AttemptResult::Refused(reason, retry_ms) => {
                    self.refusals_since_run += u32::from(self.possibly_run.is_some());
                    if !self.may_retry_refused(reason) {
                        return Some(self.final_refusal(reason, retry_ms));
                    }
                    self.excluded.insert(Arc::clone(&located.status.id));
                    if self.possibly_run.is_some() {
                        tokio::time::sleep(self.refused_backoff()).await;
                    } else if matches!(reason, Refusal::NotHolder | Refusal::Leaving) {
                        tokio::time::sleep(NOT_HOLDER_DELAY).await;
                    }
                }
                AttemptResult::Failed(reason) => {
                    self.possibly_run = Some(reason);
                    self.crashes += u32::from(reason == Failure::Crashed);
                    if !self.may_retry_failed(reason) {
                        return Some(self.failure_event(reason));
                    }
                    self.excluded.insert(Arc::clone(&located.status.id));
                }
            }
        }
    }

    /// Records an upstream's own refusals, as while it restarts, so that it is ejected for a moment: each request
    /// sent there would use a retry from the shared budget.
    fn update_outliers(&self, upstream: &UpstreamId, result: &AttemptResult) {
        let mut outliers = lock(&self.context.outliers);
        match result {
            AttemptResult::Refused(Refusal::Upstream, _) => {
                outliers.record_failure(upstream, BootInstant::now());
            }
            AttemptResult::Complete => outliers.record_success(upstream),
            AttemptResult::Refused(..) | AttemptResult::Failed(_) | AttemptResult::CallerGone => {}
        }
    }

    fn failure_event(&self, reason: Failure) -> ResponseEvent {
        ResponseEvent::Failed {
            reason,
            stall_ms: self.stall_ms,
        }
    }

    /// Returns the final event when there is no further attempt; a refusal only if no attempt can have run.
    fn final_refusal(&self, reason: Refusal, retry_ms: u64) -> ResponseEvent {
        match self.possibly_run {
            Some(failure) => self.failure_event(failure),
            None => ResponseEvent::Refused {
                reason,
                retry_ms,
                stall_ms: self.stall_ms,
            },
        }
    }

    fn may_retry_refused(&self, reason: Refusal) -> bool {
        // A refused attempt did not run, and without a retry the outcome for the caller would be "unknown".
        let attempts = self.attempt - self.refusals_since_run;
        if !reason.is_retriable() || attempts >= MAX_ATTEMPTS || self.past_deadline() {
            return false;
        }
        // A changed holder is no sign of overload, so finding the new one takes nothing from the retry budget.
        matches!(reason, Refusal::NotHolder | Refusal::Leaving)
            || self.context.budget.try_withdraw()
    }

    fn may_retry_failed(&self, reason: Failure) -> bool {
        let safe_to_repeat = self.job.repeatable && !self.forwarded;
        let retriable = !matches!(reason, Failure::Deadline);
        safe_to_repeat
            && retriable
            && self.attempt - self.refusals_since_run < MAX_ATTEMPTS
            && !self.past_deadline()
            && self.context.budget.try_withdraw()
    }

    /// Returns the backoff before the next attempt of a request that may have run.
    fn refused_backoff(&self) -> Duration {
        let doublings = self.refusals_since_run.saturating_sub(1).min(16);
        let backoff = REFUSED_BACKOFF * 2_u32.pow(doublings);
        let left = self.job.deadline.since(BootInstant::now());
        backoff.min(MAX_REFUSED_BACKOFF).min(left)
    }

    fn past_deadline(&self) -> bool {
        BootInstant::now() >= self.job.deadline
    }

    /// Chooses the best upstream, waiting until there is one.
    async fn choose(&mut self) -> Result<(LocatedUpstream, Vec<ScoredUpstream>), Refusal> {
        loop {
            let now = BootInstant::now();
            if now >= self.job.deadline {
                return Err(Refusal::NoUpstream);
            }
            let located = self.context.upstreams(&self.job.pools, now);
            let ranked = self.rank(&located);
            if let Some(best) = ranked.first()
                && let Some(found) = located.iter().find(|l| l.status.id == best.id)
            {
                return Ok((found.clone(), ranked));
            }
            self.excluded.clear();
            let changed = self.context.view.changed.notified();
            let _elapsed = tokio::time::timeout(VIEW_WAIT, changed).await;
        }
    }

    fn rank(&self, located: &[LocatedUpstream]) -> Vec<ScoredUpstream> {
        let candidates: Vec<Candidate<'_>> = located
            .iter()
            .map(|l| Candidate {
                status: &l.status,
                own_in_flight: l.own_in_flight,
            })
            .collect();
        let deployment = self.context.catalogue.current().deployment.clone();
        let suspect = self.context.quarantine.verdict(self.job.fingerprint) == Verdict::Probation;
        let request = PlacementRequest {
            model: self.job.model.as_ref(),
            prefix: self.job.prefix,
            probation: suspect || self.crashes > 0,
            data_centre: &self.context.config.data_centre,
            load_cost: f64::from(deployment.load_streams) / deployment.load_rate,
            evict_cost: placement::evict_cost(deployment.objective),
        };
        placement::rank(
            self.context.config.placement,
            &request,
            &candidates,
            &self.excluded,
        )
    }

    fn log_choice(&self, located: &LocatedUpstream, ranked: &[ScoredUpstream]) {
        let shown = ranked.iter().take(LOGGED_CANDIDATES);
        let scores: Vec<String> = shown
            .map(|s| format!("{}:{:.3}:{}", s.id, s.score, u8::from(s.resident)))
            .collect();
        info!(
            request:% = self.job.id, attempt = self.attempt,
            model:% = self.job.model.as_ref().map_or_else(String::new, ToString::to_string),
            upstream = &*located.status.id, generation = located.status.generation,
            candidates = scores.join(" ");
            "routing: chosen"
        );
    }

    async fn send_attempt(&mut self, located: &LocatedUpstream) -> AttemptResult {
        let Some(link) = self.context.link(located.address) else {
            return AttemptResult::Refused(Refusal::NotHolder, DEFAULT_RETRY_MS);
        };
        let _counted = self.context.view.track_request(&located.status.id);
        let left = self.job.deadline.since(BootInstant::now());
        // A dispatcher responds by the deadline; silence beyond it means that the dispatcher is lost.
        let limit = left + Duration::from_millis(500);
        let result = tokio::time::timeout(limit, self.exchange(&link, located, left)).await;
        match result {
            Ok(Ok(result)) => result,
            Ok(Err(LinkError::NotSent)) => {
                AttemptResult::Refused(Refusal::NotHolder, DEFAULT_RETRY_MS)
            }
            Ok(Err(LinkError::Broken | LinkError::Malformed)) => {
                AttemptResult::Failed(Failure::LinkLost)
            }
            Err(_elapsed) => AttemptResult::Failed(Failure::Deadline),
        }
    }

    async fn exchange(
        &mut self,
        link: &Link,
        located: &LocatedUpstream,
        left: Duration,
    ) -> Result<AttemptResult, LinkError> {
        let dispatch = DispatchRequest {
            id: self.job.id,
            attempt: self.attempt,
            upstream: Arc::clone(&located.status.id),
            owner: Arc::clone(&self.job.owner),
            class: self.job.class,
            deadline_ms: left.as_millis() as u64,
            suspect: self.crashes > 0,
            revision: self.job.revision,
            fingerprint: self.job.fingerprint,
            work: self.job.work.clone(),
        };
        let mut messages = link.open(DISPATCH_PATH, &dispatch).await?;
        self.read_response(&mut messages).await
    }

    async fn read_response(&mut self, messages: &mut Receiver) -> Result<AttemptResult, LinkError> {
        let mut response = ReceivedResponse::default();
        while let Some(message) = messages.next::<DispatchResponse>().await? {
            match message {
                DispatchResponse::Refused {
                    reason,
                    retry_ms,
                    stall_ms,
                } => {
                    self.stall_ms += stall_ms;
                    return Ok(AttemptResult::Refused(reason, retry_ms));
                }
                DispatchResponse::Failed { reason } => return Ok(AttemptResult::Failed(reason)),
                DispatchResponse::Started {
                    id,
                    attempt,
                    upstream,
                    model,
                    stall_ms,
                    status,
                    content,
                } => {
                    if !self.is_current(id, attempt) {
                        continue;
                    }
                    if model != self.job.model {
                        return Ok(AttemptResult::Failed(Failure::WrongModel));
                    }
                    self.stall_ms += stall_ms;
                    let stall_ms = self.stall_ms;
                    response.head = Some(ResponseHead {
                        upstream,
                        status,
                        content,
                        stall_ms,
                    });
                }
                DispatchResponse::Chunk {
                    id,
                    attempt,
                    offset,
                    data,
                } => {
                    if !self.is_current(id, attempt) {
                        continue;
                    }
                    if offset != response.length {
                        return Ok(AttemptResult::Failed(Failure::Truncated));
                    }
                    response.push(data);
                    if self.job.stream && !self.forward(&mut response).await {
                        return Ok(AttemptResult::CallerGone);
                    }
                }
                DispatchResponse::End {
                    id,
                    attempt,
                    length,
                    digest,
                    finish,
                    tokens,
                } => {
                    if !self.is_current(id, attempt) {
                        continue;
                    }
                    if length != response.length || digest != response.digest.value() {
                        return Ok(AttemptResult::Failed(Failure::Truncated));
                    }
                    if self.forward(&mut response).await {
                        let end = ResponseEvent::End { finish, tokens };
                        return Ok(self.send(end).await);
                    }
                    return Ok(AttemptResult::CallerGone);
                }
            }
        }
        Ok(AttemptResult::Failed(Failure::LinkLost))
    }

    fn is_current(&self, id: RequestId, attempt: u32) -> bool {
        let current = id == self.job.id && attempt == self.attempt;
        if !current {
            info!(request:% = self.job.id, got:% = id; "routing: dropped a message of another attempt");
        }
        current
    }

    async fn send(&self, event: ResponseEvent) -> AttemptResult {
        match self.events.send(event).await {
            Ok(()) => AttemptResult::Complete,
            Err(_gone) => AttemptResult::CallerGone,
        }
    }

    /// Forwards what was received; returns false if the caller has disconnected.
    async fn forward(&mut self, response: &mut ReceivedResponse) -> bool {
        if let Some(head) = response.head.take() {
            self.forwarded = true;
            if self.events.send(ResponseEvent::Head(head)).await.is_err() {
                return false;
            }
        }
        for data in response.chunks.drain(..) {
            if self.events.send(ResponseEvent::Chunk(data)).await.is_err() {
                return false;
            }
        }
        true
    }
}

/// Part of one attempt's response that was received but not forwarded yet.
#[derive(Debug, Default)]
struct ReceivedResponse {
    head: Option<ResponseHead>,
    chunks: Vec<Bytes>,
    length: u64,
    digest: ResponseDigest,
}

impl ReceivedResponse {
    fn push(&mut self, data: Vec<u8>) {
        self.length += data.len() as u64;
        self.digest.update(&data);
        self.chunks.push(Bytes::from(data));
    }
}
