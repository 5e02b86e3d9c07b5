//! Serves `/dispatch` streams: queues the request, runs it at the upstream, forwards the response.

use crate::{
    clock::{self, BootInstant},
    dispatcher::Context,
    engine_run::{DEFAULT_RETRY_MS, RunEnd, UpstreamRun},
    holding::{Holding, Outcome},
    ident::ModelRef,
    link::IncomingStream,
    metrics,
    poison::Verdict,
    queue::QueuedRequest,
    wire::{DispatchRequest, DispatchResponse, Failure, Refusal, Work},
};
use log::{debug, info};
use std::{sync::Arc, time::Duration};
use tokio::sync::mpsc;

/// Path of `/dispatch` streams.
pub const DISPATCH_PATH: &str = "/dispatch";

/// Capacity of the channel of messages to the gateway.
const MESSAGE_BUFFER: usize = 64;

/// Maximum wait for a catalogue revision that a gateway has and this process does not.
const REVISION_WAIT: Duration = Duration::from_secs(2);

/// Serves one `/dispatch` stream.
pub async fn serve(context: Arc<Context>, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(dispatch)) = receiver.next::<DispatchRequest>().await else {
        return;
    };
    let deadline = BootInstant::now() + Duration::from_millis(dispatch.deadline_ms);
    let (messages, mut outgoing) = mpsc::channel(MESSAGE_BUFFER);
    let handler = tokio::spawn(handle(Arc::clone(&context), dispatch, deadline, messages));
    loop {
        let message = tokio::select! {
            message = outgoing.recv() => message,
            () = sender.cancelled() => break,
        };
        let Some(message) = message else {
            sender.finish();
            break;
        };
        if sender.send(&message).await.is_err() {
            break;
        }
    }
    drop(outgoing);
    if let Err(e) = handler.await {
        debug!("request handler failed: {e}");
    }
}

async fn handle(
    context: Arc<Context>,
    dispatch: DispatchRequest,
    deadline: BootInstant,
    messages: mpsc::Sender<DispatchResponse>,
) {
    let end = match admit(&context, &dispatch, deadline, &messages).await {
        Ok((holding, stall)) => {
            run(&context, &holding, &dispatch, deadline, stall, &messages).await
        }
        Err(message) => Some(message),
    };
    if let Some(message) = end
        && messages.send(message).await.is_err()
    {
        debug!("the gateway closed the stream of request {}", dispatch.id);
    }
}

/// Queues the request and waits until it may be sent to its upstream.
async fn admit(
    context: &Arc<Context>,
    dispatch: &DispatchRequest,
    deadline: BootInstant,
    messages: &mpsc::Sender<DispatchResponse>,
) -> Result<(Arc<Holding>, Duration), DispatchResponse> {
    let verdict = context.quarantine.verdict(dispatch.fingerprint);
    if verdict == Verdict::Refuse {
        return Err(refused(dispatch, Refusal::Poison, Duration::ZERO, None));
    }
    if !context
        .catalogue
        .wait_for_revision(dispatch.revision, REVISION_WAIT)
        .await
    {
        return Err(refused(dispatch, Refusal::NotHolder, Duration::ZERO, None));
    }
    let Some(holding) = context.holding(&dispatch.upstream) else {
        return Err(refused(dispatch, Refusal::NotHolder, Duration::ZERO, None));
    };
    let model = requested_model(&dispatch.work).cloned();
    let limit = in_flight_limit(context, model.as_ref());
    let item = QueuedRequest {
        id: dispatch.id,
        attempt: dispatch.attempt,
        model,
        owner: Arc::clone(&dispatch.owner),
        class: dispatch.class,
        deadline,
        queued: BootInstant::now(),
        probation: dispatch.suspect || verdict == Verdict::Probation,
    };
    let mut outcome = holding.submit(item, limit);
    let outcome = tokio::select! {
        outcome = &mut outcome => outcome.unwrap_or(Outcome::Refuse(Refusal::NotHolder, Duration::ZERO)),
        () = schedule_at_deadline(&holding, deadline) => Outcome::Refuse(Refusal::Deadline, Duration::ZERO),
        () = messages.closed() => {
            holding.withdraw(dispatch.id, dispatch.attempt);
            if let Ok(Outcome::Start(_)) = outcome.try_recv() {
                holding.request_finished(requested_model(&dispatch.work), None);
            }
            Outcome::Refuse(Refusal::Deadline, Duration::ZERO)
        }
    };
    match outcome {
        Outcome::Start(stall) => Ok((holding, stall)),
        Outcome::Refuse(reason, stall) => Err(refused(dispatch, reason, stall, Some(&holding))),
    }
}

/// Schedules the queue at the deadline, so that the request is refused then; never returns.
async fn schedule_at_deadline(holding: &Arc<Holding>, deadline: BootInstant) {
    tokio::time::sleep(deadline.since(BootInstant::now())).await;
    holding.schedule();
    std::future::pending::<()>().await;
}

fn requested_model(work: &Work) -> Option<&ModelRef> {
    match work {
        Work::Generate { model, .. } => Some(model),
        Work::Call { .. } => None,
    }
}

fn in_flight_limit(context: &Context, model: Option<&ModelRef>) -> u32 {
    let catalogue = context.catalogue.current();
    let adapter = model.and_then(|m| catalogue.adapters.get(&*m.adapter));
    adapter.map_or(0, |a| a.in_flight)
}

fn refused(
    dispatch: &DispatchRequest,
    reason: Refusal,
    stall: Duration,
    holding: Option<&Arc<Holding>>,
) -> DispatchResponse {
    let wait = holding.map_or(Duration::ZERO, |h| h.scheduler().expected_wait());
    let retry_ms = (wait.as_millis() as u64).max(DEFAULT_RETRY_MS);
    info!(request:% = dispatch.id, attempt = dispatch.attempt, upstream = &*dispatch.upstream, reason:% = reason; "routing: refused");
    DispatchResponse::Refused {
        reason,
        retry_ms,
        stall_ms: stall.as_millis() as u64,
    }
}

/// Runs the request and returns the last message if it was not sent already.
async fn run(
    context: &Arc<Context>,
    holding: &Arc<Holding>,
    dispatch: &DispatchRequest,
    deadline: BootInstant,
    stall: Duration,
    messages: &mpsc::Sender<DispatchResponse>,
) -> Option<DispatchResponse> {
    let started = BootInstant::now();
    let model = requested_model(&dispatch.work);
    let mut guard = BatchGuard {
        holding,
        model,
        elapsed: None,
        armed: true,
    };
    let (boot, run) = (
        holding.boot(),
        UpstreamRun {
            holding,
            dispatch,
            deadline,
            stall,
            messages,
        },
    );
    metrics::load_stall(dispatch.class.as_str(), stall.as_secs_f64());
    let end = run.execute().await;
    if model.is_some() && may_still_run(end) {
        // The request counts towards the batch until the engine no longer runs it.
        guard.armed = false;
        tokio::spawn(confirm_ended_in_background(
            Arc::clone(holding),
            dispatch.clone(),
            deadline,
        ));
    }
    guard.elapsed = Some(BootInstant::now().since(started));
    info!(request:% = dispatch.id, attempt = dispatch.attempt, upstream = &*dispatch.upstream, end:? = end, stall_ms = stall.as_millis() as u64; "routing: run ended");
    match end {
        RunEnd::Complete => {
            context.quarantine.clear(dispatch.fingerprint);
            None
        }
        RunEnd::Abandoned => None,
        RunEnd::Refused(reason) => {
            guard.elapsed = None;
            Some(refused(dispatch, reason, stall, Some(holding)))
        }
        RunEnd::Failed(reason) => {
            if reason == Failure::Crashed {
                record_crash(context, holding, dispatch, boot).await;
            }
            Some(DispatchResponse::Failed { reason })
        }
    }
}

/// Returns whether the engine may still run a request that ended with `end`.
fn may_still_run(end: RunEnd) -> bool {
    match end {
        RunEnd::Complete | RunEnd::Refused(_) | RunEnd::Failed(Failure::Crashed) => false,
        RunEnd::Abandoned | RunEnd::Failed(_) => true,
    }
}

async fn confirm_ended_in_background(
    holding: Arc<Holding>,
    dispatch: DispatchRequest,
    deadline: BootInstant,
) {
    let (messages, _closed) = mpsc::channel(1);
    let stall = Duration::ZERO;
    let run = UpstreamRun {
        holding: &holding,
        dispatch: &dispatch,
        deadline,
        stall,
        messages: &messages,
    };
    run.confirm_ended().await;
    holding.request_finished(requested_model(&dispatch.work), None);
}

/// Records a strike against a request whose upstream crashed, and reads the engine's state again.
async fn record_crash(
    context: &Context,
    holding: &Arc<Holding>,
    dispatch: &DispatchRequest,
    boot: u64,
) {
    // A plain service does not identify its process, so each of its crashes counts.
    let boot = if boot == 0 { clock::unix_ms() } else { boot };
    context
        .quarantine
        .record_lost(dispatch.fingerprint, &[], &holding.spec.id, boot);
    holding.check_restart().await;
}

/// Counts a request towards the upstream's batch until dropped.
#[derive(Debug)]
struct BatchGuard<'a> {
    holding: &'a Arc<Holding>,
    model: Option<&'a ModelRef>,
    elapsed: Option<Duration>,
    armed: bool,
}

impl Drop for BatchGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.holding.request_finished(self.model, self.elapsed);
        }
    }
}
