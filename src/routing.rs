//! Routes one request: chooses an upstream, tries it, and tries again where that can do no harm.

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

/// Tries of one request at most.
const MAX_ATTEMPTS: u32 = 5;

/// Longest wait for the view to show an upstream that can take the request.
const VIEW_WAIT: Duration = Duration::from_millis(200);

/// Wait before a try after a dispatcher said that it isn't the holder.
const MOVED_DELAY: Duration = Duration::from_millis(50);

/// First pause of a request that may have run and is refused since; doubled with each refusal. An engine that
/// crashed is back after about half a second.
const REFUSED_DELAY: Duration = Duration::from_millis(50);

/// Longest such pause.
const MAX_REFUSED_DELAY: Duration = Duration::from_secs(1);

/// Crashed upstreams after which a request is refused for good.
const MAX_CRASHES: u32 = 2;

/// Candidates shown in a decision's log line.
const LOGGED_CANDIDATES: usize = 4;

/// A request as admitted.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier.
    pub id: RequestId,
    /// Pools whose upstreams may take it.
    pub pools: Vec<String>,
    /// Model, for generated text.
    pub model: Option<ModelRef>,
    /// Owner.
    pub owner: Arc<str>,
    /// Urgency.
    pub class: Class,
    /// When the answer must be whole.
    pub deadline: BootInstant,
    /// Whether a second run would do no harm.
    pub repeatable: bool,
    /// Hash of caller, model and body.
    pub fingerprint: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Catalogue revision under which it was admitted.
    pub revision: Revision,
    /// What to do.
    pub work: Work,
    /// Whether parts are passed on as they come.
    pub stream: bool,
}

/// What the caller's handler is told.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// The answer begins.
    Head(ResponseHead),
    /// A part of it.
    Chunk(Bytes),
    /// It is whole.
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
        /// When to come back, in milliseconds.
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
    /// HTTP status, for a plain service's answer.
    pub status: u16,
    /// Content type, for a plain service's answer.
    pub content: String,
    /// Milliseconds spent waiting for loads.
    pub stall_ms: u64,
}

/// State over all tries of one request.
struct Route<'a> {
    context: &'a Arc<Context>,
    job: &'a Job,
    events: &'a mpsc::Sender<ResponseEvent>,
    attempt: u32,
    /// Refusals since a try that may have run.
    refusals: u32,
    excluded: HashSet<UpstreamId>,
    uncertain: Option<Failure>,
    crashes: u32,
    stall_ms: u64,
    delivered: bool,
}

/// How one try ended.
enum Tried {
    Complete,
    Refused(Refusal, u64),
    Failed(Failure),
    Gone,
}

/// Routes `job` and tells `events` everything, ending with an end, a refusal or a failure.
pub async fn route(context: &Arc<Context>, job: &Job, events: &mpsc::Sender<ResponseEvent>) {
    context.budget.deposit();
    let mut route = Route {
        context,
        job,
        events,
        attempt: 0,
        refusals: 0,
        excluded: HashSet::new(),
        uncertain: None,
        crashes: 0,
        stall_ms: 0,
        delivered: false,
    };
    if let Some(last) = route.run().await
        && events.send(last).await.is_err()
    {
        info!(request:% = job.id; "routing: the caller is gone");
    }
}

impl Route<'_> {
    async fn run(&mut self) -> Option<ResponseEvent> {
        loop {
            if self.context.verdict(self.job.fingerprint) == Verdict::Refuse
                || self.crashes >= MAX_CRASHES
            {
                return Some(self.give_up(Refusal::Poison, DEFAULT_RETRY_MS));
            }
            let (located, ranked) = match self.choose().await {
                Ok(chosen) => chosen,
                Err(refusal) => return Some(self.give_up(refusal, DEFAULT_RETRY_MS)),
            };
            self.attempt += 1;
            self.log_choice(&located, &ranked);
            let tried = self.attempt_at(&located).await;
            self.judge(&located.status.id, &tried);
            match tried {
                Tried::Complete | Tried::Gone => return None,
                Tried::Refused(reason, retry_ms) => {
                    self.refusals += u32::from(self.uncertain.is_some());
                    if !self.may_retry_refused(reason) {
                        return Some(self.give_up(reason, retry_ms));
                    }
                    self.excluded.insert(Arc::clone(&located.status.id));
                    if self.uncertain.is_some() {
                        tokio::time::sleep(self.refused_delay()).await;
                    } else if matches!(reason, Refusal::NotHolder | Refusal::Leaving) {
                        tokio::time::sleep(MOVED_DELAY).await;
                    }
                }
                Tried::Failed(reason) => {
                    self.uncertain = Some(reason);
                    self.crashes += u32::from(reason == Failure::Crashed);
                    if !self.may_retry_failed(reason) {
                        return Some(self.failed(reason));
                    }
                    self.excluded.insert(Arc::clone(&located.status.id));
                }
            }
        }
    }

    /// An upstream that refuses what its holder lets through, as while it restarts, is left alone for a moment:
    /// each request sent there would use up a retry that others need.
    fn judge(&self, upstream: &UpstreamId, tried: &Tried) {
        let mut outliers = lock(&self.context.outliers);
        match tried {
            Tried::Refused(Refusal::Upstream, _) => {
                outliers.record_failure(upstream, BootInstant::now());
            }
            Tried::Complete => outliers.record_success(upstream),
            Tried::Refused(..) | Tried::Failed(_) | Tried::Gone => {}
        }
    }

    fn failed(&self, reason: Failure) -> ResponseEvent {
        ResponseEvent::Failed {
            reason,
            stall_ms: self.stall_ms,
        }
    }

    /// The final event when no further try is made; a refusal only if no try can have run.
    fn give_up(&self, reason: Refusal, retry_ms: u64) -> ResponseEvent {
        match self.uncertain {
            Some(failure) => self.failed(failure),
            None => ResponseEvent::Refused {
                reason,
                retry_ms,
                stall_ms: self.stall_ms,
            },
        }
    }

    fn may_retry_refused(&self, reason: Refusal) -> bool {
        // Nothing is lost by a refusal, and without another try the caller could only be told "unknown".
        let counted = self.attempt - self.refusals;
        if !reason.is_retriable() || counted >= MAX_ATTEMPTS || self.is_late() {
            return false;
        }
        // A moved upstream is no sign of overload, so finding it costs no budget.
        matches!(reason, Refusal::NotHolder | Refusal::Leaving)
            || self.context.budget.try_withdraw()
    }

    fn may_retry_failed(&self, reason: Failure) -> bool {
        let harmless = self.job.repeatable && !self.delivered;
        let worth_it = !matches!(reason, Failure::Deadline);
        harmless
            && worth_it
            && self.attempt - self.refusals < MAX_ATTEMPTS
            && !self.is_late()
            && self.context.budget.try_withdraw()
    }

    /// Pause before the next try of a request that may have run.
    fn refused_delay(&self) -> Duration {
        let doublings = self.refusals.saturating_sub(1).min(16);
        let pause = REFUSED_DELAY * 2_u32.pow(doublings);
        let left = self.job.deadline.since(BootInstant::now());
        pause.min(MAX_REFUSED_DELAY).min(left)
    }

    fn is_late(&self) -> bool {
        BootInstant::now() >= self.job.deadline
    }

    /// Chooses the best upstream, waiting for one while there is none.
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
        let suspect = self.context.verdict(self.job.fingerprint) == Verdict::Probation;
        let demand = PlacementRequest {
            model: self.job.model.as_ref(),
            prefix: self.job.prefix,
            probation: suspect || self.crashes > 0,
            data_centre: &self.context.config.data_centre,
            load_cost: f64::from(deployment.load_streams) / deployment.load_rate,
            evict_cost: placement::evict_cost(deployment.objective),
        };
        placement::rank(
            self.context.config.placement,
            &demand,
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

    async fn attempt_at(&mut self, located: &LocatedUpstream) -> Tried {
        let Some(link) = self.context.link(located.address) else {
            return Tried::Refused(Refusal::NotHolder, DEFAULT_RETRY_MS);
        };
        let _counted = self.context.view.track_request(&located.status.id);
        let left = self.job.deadline.since(BootInstant::now());
        // The dispatcher answers at the deadline; only a lost one is silent after it.
        let limit = left + Duration::from_millis(500);
        let tried = tokio::time::timeout(limit, self.exchange(&link, located, left)).await;
        match tried {
            Ok(Ok(tried)) => tried,
            Ok(Err(LinkError::NotSent)) => Tried::Refused(Refusal::NotHolder, DEFAULT_RETRY_MS),
            Ok(Err(LinkError::Broken | LinkError::Malformed)) => Tried::Failed(Failure::LinkLost),
            Err(_elapsed) => Tried::Failed(Failure::Deadline),
        }
    }

    async fn exchange(
        &mut self,
        link: &Link,
        located: &LocatedUpstream,
        left: Duration,
    ) -> Result<Tried, LinkError> {
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
        let mut replies = link.open(DISPATCH_PATH, &dispatch).await?;
        self.take_replies(&mut replies).await
    }

    async fn take_replies(&mut self, replies: &mut Receiver) -> Result<Tried, LinkError> {
        let mut answer = PartialAnswer::default();
        while let Some(reply) = replies.next::<DispatchResponse>().await? {
            match reply {
                DispatchResponse::Refused {
                    reason,
                    retry_ms,
                    stall_ms,
                } => {
                    self.stall_ms += stall_ms;
                    return Ok(Tried::Refused(reason, retry_ms));
                }
                DispatchResponse::Failed { reason } => return Ok(Tried::Failed(reason)),
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
                        return Ok(Tried::Failed(Failure::WrongModel));
                    }
                    self.stall_ms += stall_ms;
                    let stall_ms = self.stall_ms;
                    answer.head = Some(ResponseHead {
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
                    if offset != answer.length {
                        return Ok(Tried::Failed(Failure::Truncated));
                    }
                    answer.push(data);
                    if self.job.stream && !self.pass_on(&mut answer).await {
                        return Ok(Tried::Gone);
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
                    if length != answer.length || digest != answer.digest.value() {
                        return Ok(Tried::Failed(Failure::Truncated));
                    }
                    if self.pass_on(&mut answer).await {
                        let end = ResponseEvent::End { finish, tokens };
                        return Ok(self.send(end).await);
                    }
                    return Ok(Tried::Gone);
                }
            }
        }
        Ok(Tried::Failed(Failure::LinkLost))
    }

    fn is_current(&self, id: RequestId, attempt: u32) -> bool {
        let current = id == self.job.id && attempt == self.attempt;
        if !current {
            info!(request:% = self.job.id, got:% = id; "routing: a reply of another try was dropped");
        }
        current
    }

    async fn send(&self, event: ResponseEvent) -> Tried {
        match self.events.send(event).await {
            Ok(()) => Tried::Complete,
            Err(_gone) => Tried::Gone,
        }
    }

    /// Passes on what has come; false if the caller is gone.
    async fn pass_on(&mut self, answer: &mut PartialAnswer) -> bool {
        if let Some(head) = answer.head.take() {
            self.delivered = true;
            if self.events.send(ResponseEvent::Head(head)).await.is_err() {
                return false;
            }
        }
        for data in answer.parts.drain(..) {
            if self.events.send(ResponseEvent::Chunk(data)).await.is_err() {
                return false;
            }
        }
        true
    }
}

/// What has come of one try's answer and was not passed on yet.
#[derive(Debug, Default)]
struct PartialAnswer {
    head: Option<ResponseHead>,
    parts: Vec<Bytes>,
    length: u64,
    digest: ResponseDigest,
}

impl PartialAnswer {
    fn push(&mut self, data: Vec<u8>) {
        self.length += data.len() as u64;
        self.digest.update(&data);
        self.parts.push(Bytes::from(data));
    }
}
