//! Serves `/dispatch` streams: queues the request, runs it at the upstream, passes the answer on.

use crate::{
    clock::{self, BootInstant},
    dispatcher::Context,
    engine_run::{DEFAULT_RETRY_MS, Run, RunEnd},
    holding::{Holding, Turn},
    ident::ModelRef,
    link::IncomingStream,
    metrics,
    poison::Verdict,
    queue::QueuedRequest,
    wire::{DispatchRequest, DispatchResponse, Failure, Refusal, Strike, StrikeEvent, Work},
};
use log::{debug, info};
use std::{sync::Arc, time::Duration};
use tokio::sync::mpsc;

/// Path of `/dispatch` streams.
pub const DISPATCH_PATH: &str = "/dispatch";

/// Replies waiting for the gateway to read them.
const REPLY_BUFFER: usize = 64;

/// Wait for a catalogue revision that a gateway has and this process does not.
const REVISION_WAIT: Duration = Duration::from_secs(2);

/// Serves one request.
pub async fn serve(context: Arc<Context>, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(dispatch)) = receiver.next::<DispatchRequest>().await else {
        return;
    };
    let deadline = BootInstant::now() + Duration::from_millis(dispatch.deadline_ms);
    let (replies, mut outgoing) = mpsc::channel(REPLY_BUFFER);
    let handler = tokio::spawn(handle(Arc::clone(&context), dispatch, deadline, replies));
    loop {
        let reply = tokio::select! {
            reply = outgoing.recv() => reply,
            () = sender.cancelled() => break,
        };
        let Some(reply) = reply else {
            sender.finish();
            break;
        };
        if sender.send(&reply).await.is_err() {
            break;
        }
    }
    drop(outgoing);
    if let Err(e) = handler.await {
        debug!("request handler: {e}");
    }
}

async fn handle(
    context: Arc<Context>,
    dispatch: DispatchRequest,
    deadline: BootInstant,
    replies: mpsc::Sender<DispatchResponse>,
) {
    let end = match admit(&context, &dispatch, deadline, &replies).await {
        Ok((holding, stall)) => run(&context, &holding, &dispatch, deadline, stall, &replies).await,
        Err(reply) => Some(reply),
    };
    if let Some(reply) = end
        && replies.send(reply).await.is_err()
    {
        debug!("the gateway of {} is gone", dispatch.id);
    }
}

/// Waits for the request's turn at its upstream.
async fn admit(
    context: &Arc<Context>,
    dispatch: &DispatchRequest,
    deadline: BootInstant,
    replies: &mpsc::Sender<DispatchResponse>,
) -> Result<(Arc<Holding>, Duration), DispatchResponse> {
    let verdict = context.verdict(dispatch.fingerprint);
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
    let model = model_of(&dispatch.work).cloned();
    let limit = limit_of(context, model.as_ref());
    let ticket = QueuedRequest {
        id: dispatch.id,
        attempt: dispatch.attempt,
        model,
        owner: Arc::clone(&dispatch.owner),
        class: dispatch.class,
        deadline,
        queued: BootInstant::now(),
        probation: dispatch.suspect || verdict == Verdict::Probation,
    };
    let mut turn = holding.submit(ticket, limit);
    let turn = tokio::select! {
        turn = &mut turn => turn.unwrap_or(Turn::Refuse(Refusal::NotHolder, Duration::ZERO)),
        () = expire(&holding, deadline) => Turn::Refuse(Refusal::Deadline, Duration::ZERO),
        () = replies.closed() => {
            holding.withdraw(dispatch.id, dispatch.attempt);
            if let Ok(Turn::Start(_)) = turn.try_recv() {
                holding.finished(model_of(&dispatch.work), None);
            }
            Turn::Refuse(Refusal::Deadline, Duration::ZERO)
        }
    };
    match turn {
        Turn::Start(stall) => Ok((holding, stall)),
        Turn::Refuse(reason, stall) => Err(refused(dispatch, reason, stall, Some(&holding))),
    }
}

/// Pumps the queue at the deadline, so that the request is refused then.
async fn expire(holding: &Arc<Holding>, deadline: BootInstant) {
    tokio::time::sleep(deadline.since(BootInstant::now())).await;
    holding.pump();
    std::future::pending::<()>().await;
}

fn model_of(work: &Work) -> Option<&ModelRef> {
    match work {
        Work::Generate { model, .. } => Some(model),
        Work::Call { .. } => None,
    }
}

fn limit_of(context: &Context, model: Option<&ModelRef>) -> u32 {
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
    let wait = holding.map_or(Duration::ZERO, |h| h.core().expected_wait());
    let retry_ms = (wait.as_millis() as u64).max(DEFAULT_RETRY_MS);
    info!(request:% = dispatch.id, attempt = dispatch.attempt, upstream = &*dispatch.upstream, reason:% = reason; "routing: refused");
    DispatchResponse::Refused {
        reason,
        retry_ms,
        stall_ms: stall.as_millis() as u64,
    }
}

/// Runs the request and returns the last reply, where it was not sent already.
async fn run(
    context: &Arc<Context>,
    holding: &Arc<Holding>,
    dispatch: &DispatchRequest,
    deadline: BootInstant,
    stall: Duration,
    replies: &mpsc::Sender<DispatchResponse>,
) -> Option<DispatchResponse> {
    let started = BootInstant::now();
    let model = model_of(&dispatch.work);
    let mut slot = RunSlot {
        holding,
        model,
        took: None,
        armed: true,
    };
    let (boot, run) = (
        holding.boot(),
        Run {
            holding,
            dispatch,
            deadline,
            stall,
            replies,
        },
    );
    metrics::load_stall(dispatch.class.as_str(), stall.as_secs_f64());
    let end = run.drive().await;
    if model.is_some() && must_confirm(end) {
        // The place in the batch stays taken until the engine has let go.
        slot.armed = false;
        tokio::spawn(confirm_later(
            Arc::clone(holding),
            dispatch.clone(),
            deadline,
        ));
    }
    slot.took = Some(BootInstant::now().since(started));
    info!(request:% = dispatch.id, attempt = dispatch.attempt, upstream = &*dispatch.upstream, end:? = end, stall_ms = stall.as_millis() as u64; "routing: run ended");
    match end {
        RunEnd::Complete => {
            context.completed(dispatch.fingerprint);
            None
        }
        RunEnd::Abandoned => None,
        RunEnd::Refused(reason) => {
            slot.took = None;
            Some(refused(dispatch, reason, stall, Some(holding)))
        }
        RunEnd::Failed(reason) => {
            if reason == Failure::Crashed {
                strike(context, holding, dispatch, boot).await;
            }
            Some(DispatchResponse::Failed { reason })
        }
    }
}

/// Whether the engine may still run a request that ended so.
fn must_confirm(end: RunEnd) -> bool {
    match end {
        RunEnd::Complete | RunEnd::Refused(_) | RunEnd::Failed(Failure::Crashed) => false,
        RunEnd::Abandoned | RunEnd::Failed(_) => true,
    }
}

async fn confirm_later(holding: Arc<Holding>, dispatch: DispatchRequest, deadline: BootInstant) {
    let (replies, _closed) = mpsc::channel(1);
    let stall = Duration::ZERO;
    let run = Run {
        holding: &holding,
        dispatch: &dispatch,
        deadline,
        stall,
        replies: &replies,
    };
    run.confirm_ended().await;
    holding.finished(model_of(&dispatch.work), None);
}

/// Counts a crash against the request, and has the engine's state read anew.
async fn strike(context: &Context, holding: &Arc<Holding>, dispatch: &DispatchRequest, boot: u64) {
    let upstream = Arc::clone(&holding.spec.id);
    // A plain service does not tell its starts apart, so that each of its crashes counts.
    let boot = if boot == 0 { clock::unix_ms() } else { boot };
    let event = StrikeEvent::Lost { upstream, boot };
    let at_ms = clock::unix_ms();
    context.record_strike(Strike {
        fingerprint: dispatch.fingerprint,
        event,
        at_ms,
    });
    holding.check_restart().await;
}

/// A place in the batch; given back when dropped.
#[derive(Debug)]
struct RunSlot<'a> {
    holding: &'a Arc<Holding>,
    model: Option<&'a ModelRef>,
    took: Option<Duration>,
    armed: bool,
}

impl Drop for RunSlot<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.holding.finished(self.model, self.took);
        }
    }
}
