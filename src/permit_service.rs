//! Hands out load permits: one dispatcher, which all agree on by hashing, serves the others.
//!
//! Two coordinators at once would only overshoot the allowance for a moment, so no lease guards the role.

use crate::{
    clock::BootInstant,
    dispatcher::Context,
    holding::lock,
    ident::{RequestId, rendezvous},
    link::{IncomingStream, Link, LinkError, Receiver, Sender},
    permits::{Allowance, PendingPermit, PermitQueue},
    wire::{PermitRequest, PermitResponse},
};
use log::{debug, info};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

/// Path of `/permit` streams.
pub const PERMIT_PATH: &str = "/permit";

/// Key by which the coordinator is chosen.
const COORDINATOR_KEY: &str = "load-coordinator";

/// Longest wait between two looks at the queue.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between looks at what has become of a wish.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Wait after the coordinator could not be reached.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Tries to reach the coordinator before this process grants from its own share.
const MAX_TRIES: u32 = 3;

/// What a wish has become; `None` once nobody waits for the load.
pub type WishSource = Arc<dyn Fn() -> Option<PermitRequest> + Send + Sync>;

/// A permit to load; ends when dropped.
#[derive(Debug)]
pub enum Permit {
    /// From the coordinator.
    Remote(Sender, Receiver),
    /// From this process.
    Local(PermitGuard),
}

/// The load's turn would come too late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Denied {
    /// When its turn would come, in milliseconds.
    pub retry_ms: u64,
}

/// The coordinator's queue and those who wait in it.
#[derive(Debug)]
pub struct Coordinator {
    permits: Mutex<PermitQueue>,
    answers: Mutex<HashMap<RequestId, oneshot::Sender<PermitResponse>>>,
    wake: Notify,
}

impl Coordinator {
    /// A coordinator with nothing granted.
    pub fn new(allowance: Allowance) -> Self {
        let permits = Mutex::new(PermitQueue::new(allowance, BootInstant::now()));
        Self {
            permits,
            answers: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Changes the allowance.
    pub fn set_allowance(&self, allowance: Allowance) {
        lock(&self.permits).set_allowance(allowance);
    }

    /// Wishes waiting.
    pub fn waiting(&self) -> usize {
        lock(&self.permits).waiting()
    }

    /// Queues a wish; it is withdrawn, and its permit ends, when the guard is dropped.
    fn ask(
        self: &Arc<Self>,
        ask: &PermitRequest,
    ) -> (PermitGuard, oneshot::Receiver<PermitResponse>) {
        let id = RequestId::random();
        let guard = PermitGuard {
            coordinator: Arc::clone(self),
            id,
        };
        let (sender, receiver) = oneshot::channel();
        lock(&self.answers).insert(id, sender);
        lock(&self.permits).enqueue(wish(id, ask));
        self.wake.notify_one();
        (guard, receiver)
    }

    /// Notes what has become of a wish that still waits.
    fn update(&self, id: RequestId, ask: &PermitRequest) {
        let mut permits = lock(&self.permits);
        if permits.is_waiting(id) {
            permits.enqueue(wish(id, ask));
        }
    }

    /// Answers wishes until `stop`.
    pub async fn run(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let settled = lock(&self.permits).grant_and_deny(BootInstant::now());
            for (id, answer) in settled {
                info!(wish:% = id, answer:? = answer; "placement: permit");
                let sender = lock(&self.answers).remove(&id);
                if sender.is_none_or(|s| s.send(answer).is_err()) {
                    lock(&self.permits).release(id);
                }
            }
            let next = lock(&self.permits)
                .time_to_next_token()
                .unwrap_or(LOOK_INTERVAL);
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(next.min(LOOK_INTERVAL)) => {}
            }
        }
    }
}

fn wish(id: RequestId, ask: &PermitRequest) -> PendingPermit {
    let deadline = BootInstant::now() + Duration::from_millis(ask.left_ms);
    PendingPermit {
        id,
        weight: ask.weight,
        deadline,
    }
}

/// A granted or wished-for permit; ends when dropped.
#[derive(Debug)]
pub struct PermitGuard {
    coordinator: Arc<Coordinator>,
    id: RequestId,
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        lock(&self.coordinator.answers).remove(&self.id);
        lock(&self.coordinator.permits).release(self.id);
        self.coordinator.wake.notify_one();
    }
}

/// Serves one `/permit` stream: the wish and its changes, the answer, the wait for the client to close.
pub async fn serve(context: Arc<Context>, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(ask)) = receiver.next::<PermitRequest>().await else {
        return;
    };
    let (guard, mut answer) = context.coordinator.ask(&ask);
    let answer = loop {
        tokio::select! {
            answer = &mut answer => break answer,
            change = receiver.next::<PermitRequest>() => match change {
                Ok(Some(ask)) => context.coordinator.update(guard.id, &ask),
                Ok(None) | Err(_) => return,
            },
        }
    };
    let Ok(answer) = answer else { return };
    if sender.send(&answer).await.is_ok() && answer == PermitResponse::Granted {
        while let Ok(Some(_late)) = receiver.next::<PermitRequest>().await {}
    }
    drop(guard);
}

/// Gets a permit from the coordinator, or from this process if it can't be reached.
///
/// # Errors
/// The load's turn would come too late.
pub async fn obtain(context: &Arc<Context>, source: WishSource) -> Result<Permit, Denied> {
    for _ in 0..MAX_TRIES {
        let Some(link) = coordinator_link(context) else {
            break;
        };
        match ask_remote(&link, &source).await {
            Ok(settled) => return settled,
            Err(e) => {
                debug!("coordinator {}: {e}", link.address());
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    ask_local(context, &source).await
}

async fn ask_local(context: &Arc<Context>, source: &WishSource) -> Result<Permit, Denied> {
    let Some(ask) = source() else {
        return Err(Denied { retry_ms: 0 });
    };
    let (guard, mut answer) = context.coordinator.ask(&ask);
    loop {
        tokio::select! {
            answer = &mut answer => return match answer {
                Ok(PermitResponse::Denied { retry_ms }) => Err(Denied { retry_ms }),
                Ok(PermitResponse::Granted) | Err(_) => Ok(Permit::Local(guard)),
            },
            () = tokio::time::sleep(UPDATE_INTERVAL) => {
                let Some(ask) = source() else { return Err(Denied { retry_ms: 0 }) };
                context.coordinator.update(guard.id, &ask);
            }
        }
    }
}

async fn ask_remote(link: &Link, source: &WishSource) -> Result<Result<Permit, Denied>, LinkError> {
    let nobody = Ok(Err(Denied { retry_ms: 0 }));
    let Some(mut last) = source() else {
        return nobody;
    };
    let (mut sender, mut receiver) = link.open_duplex(PERMIT_PATH, &last).await?;
    loop {
        tokio::select! {
            answer = receiver.next::<PermitResponse>() => {
                return match answer?.ok_or(LinkError::Broken)? {
                    PermitResponse::Granted => Ok(Ok(Permit::Remote(sender, receiver))),
                    PermitResponse::Denied { retry_ms } => Ok(Err(Denied { retry_ms })),
                };
            }
            () = tokio::time::sleep(UPDATE_INTERVAL) => {
                let Some(ask) = source() else { return nobody };
                if ask.weight != last.weight {
                    sender.send(&ask).await?;
                    last = ask;
                }
            }
        }
    }
}

/// Link to the coordinator; `None` if it is this process.
fn coordinator_link(context: &Context) -> Option<Arc<Link>> {
    let id = context.id();
    let live = context.eligible();
    let first = rendezvous(COORDINATOR_KEY, &live, |r| &r.id)
        .into_iter()
        .next()?;
    if first.id == id {
        return None;
    }
    context.peer_link(first.link)
}
