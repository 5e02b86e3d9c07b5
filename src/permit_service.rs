//! Grants load permits: one dispatcher, chosen by rendezvous hashing, coordinates the loads of all.
//!
//! Two coordinators at once would only exceed the allowance for a short time, so no lease guards the role.

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

/// Rendezvous hashing key by which the coordinator is chosen.
const COORDINATOR_KEY: &str = "load-coordinator";

/// Maximum interval between two passes over the queue.
const QUEUE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between updates of a waiting permit request.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a retry when the coordinator could not be reached.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Attempts to reach the coordinator before this process grants the permit from its own allowance.
const MAX_ATTEMPTS: u32 = 3;

/// Source of the current state of a permit request; `None` once no request waits for the load.
pub type PermitRequestSource = Arc<dyn Fn() -> Option<PermitRequest> + Send + Sync>;

/// A permit to load; ends when dropped.
#[derive(Debug)]
pub enum Permit {
    /// From the coordinator.
    Remote(Sender, Receiver),
    /// From this process.
    Local(PermitGuard),
}

/// Denial of a permit: the load would start too late, or no request waits for it any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Denied {
    /// Time until the load could start, in milliseconds; 0 if no request waits.
    pub retry_ms: u64,
}

/// Queue of permit requests and the channels of those that wait in it.
#[derive(Debug)]
pub struct Coordinator {
    permits: Mutex<PermitQueue>,
    waiters: Mutex<HashMap<RequestId, oneshot::Sender<PermitResponse>>>,
    wake: Notify,
}

impl Coordinator {
    /// Creates a coordinator without granted permits.
    pub fn new(allowance: Allowance) -> Self {
        let permits = Mutex::new(PermitQueue::new(allowance, BootInstant::now()));
        Self {
            permits,
            waiters: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Sets the allowance.
    pub fn set_allowance(&self, allowance: Allowance) {
        lock(&self.permits).set_allowance(allowance);
    }

    /// Returns the number of permit requests that wait.
    pub fn waiting(&self) -> usize {
        lock(&self.permits).waiting()
    }

    /// Queues a permit request; dropping the guard withdraws it or ends its permit.
    fn enqueue(
        self: &Arc<Self>,
        request: &PermitRequest,
    ) -> (PermitGuard, oneshot::Receiver<PermitResponse>) {
        let id = RequestId::random();
        let guard = PermitGuard {
            coordinator: Arc::clone(self),
            id,
        };
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiters).insert(id, sender);
        lock(&self.permits).enqueue(pending_permit(id, request));
        self.wake.notify_one();
        (guard, receiver)
    }

    /// Updates a permit request that still waits.
    fn update(&self, id: RequestId, request: &PermitRequest) {
        let mut permits = lock(&self.permits);
        if permits.is_waiting(id) {
            permits.enqueue(pending_permit(id, request));
        }
    }

    /// Grants and denies permit requests until `stop`.
    pub async fn run(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let decisions = lock(&self.permits).grant_and_deny(BootInstant::now());
            for (id, response) in decisions {
                info!(wish:% = id, answer:? = response; "placement: permit");
                let sender = lock(&self.waiters).remove(&id);
                if sender.is_none_or(|s| s.send(response).is_err()) {
                    lock(&self.permits).release(id);
                }
            }
            let next = lock(&self.permits)
                .time_to_next_token()
                .unwrap_or(QUEUE_INTERVAL);
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(next.min(QUEUE_INTERVAL)) => {}
            }
        }
    }
}

fn pending_permit(id: RequestId, request: &PermitRequest) -> PendingPermit {
    let deadline = BootInstant::now() + Duration::from_millis(request.left_ms);
    PendingPermit {
        id,
        weight: request.weight,
        deadline,
    }
}

/// A granted or requested permit; ends when dropped.
#[derive(Debug)]
pub struct PermitGuard {
    coordinator: Arc<Coordinator>,
    id: RequestId,
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        lock(&self.coordinator.waiters).remove(&self.id);
        lock(&self.coordinator.permits).release(self.id);
        self.coordinator.wake.notify_one();
    }
}

/// Serves one `/permit` stream: reads the request and its updates, responds, and waits for the client to close it.
pub async fn serve(context: Arc<Context>, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(request)) = receiver.next::<PermitRequest>().await else {
        return;
    };
    let (guard, mut response) = context.coordinator.enqueue(&request);
    let response = loop {
        tokio::select! {
            response = &mut response => break response,
            change = receiver.next::<PermitRequest>() => match change {
                Ok(Some(request)) => context.coordinator.update(guard.id, &request),
                Ok(None) | Err(_) => return,
            },
        }
    };
    let Ok(response) = response else { return };
    if sender.send(&response).await.is_ok() && response == PermitResponse::Granted {
        while let Ok(Some(_late)) = receiver.next::<PermitRequest>().await {}
    }
    drop(guard);
}

/// Gets a permit from the coordinator, or from this process if it can't be reached.
///
/// # Errors
/// The load would start too late, or no request waits for it any more.
pub async fn acquire(
    context: &Arc<Context>,
    source: PermitRequestSource,
) -> Result<Permit, Denied> {
    for _ in 0..MAX_ATTEMPTS {
        let Some(link) = coordinator_link(context) else {
            break;
        };
        match acquire_remote(&link, &source).await {
            Ok(result) => return result,
            Err(e) => {
                debug!(
                    "cannot get a permit from the coordinator {}: {e}",
                    link.address()
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    acquire_local(context, &source).await
}

async fn acquire_local(
    context: &Arc<Context>,
    source: &PermitRequestSource,
) -> Result<Permit, Denied> {
    let Some(request) = source() else {
        return Err(Denied { retry_ms: 0 });
    };
    let (guard, mut response) = context.coordinator.enqueue(&request);
    loop {
        tokio::select! {
            response = &mut response => return match response {
                Ok(PermitResponse::Denied { retry_ms }) => Err(Denied { retry_ms }),
                Ok(PermitResponse::Granted) | Err(_) => Ok(Permit::Local(guard)),
            },
            () = tokio::time::sleep(UPDATE_INTERVAL) => {
                let Some(request) = source() else { return Err(Denied { retry_ms: 0 }) };
                context.coordinator.update(guard.id, &request);
            }
        }
    }
}

async fn acquire_remote(
    link: &Link,
    source: &PermitRequestSource,
) -> Result<Result<Permit, Denied>, LinkError> {
    let no_waiters = Ok(Err(Denied { retry_ms: 0 }));
    let Some(mut last) = source() else {
        return no_waiters;
    };
    let (mut sender, mut receiver) = link.open_duplex(PERMIT_PATH, &last).await?;
    loop {
        tokio::select! {
            response = receiver.next::<PermitResponse>() => {
                return match response?.ok_or(LinkError::Broken)? {
                    PermitResponse::Granted => Ok(Ok(Permit::Remote(sender, receiver))),
                    PermitResponse::Denied { retry_ms } => Ok(Err(Denied { retry_ms })),
                };
            }
            () = tokio::time::sleep(UPDATE_INTERVAL) => {
                let Some(request) = source() else { return no_waiters };
                if request.weight != last.weight {
                    sender.send(&request).await?;
                    last = request;
                }
            }
        }
    }
}

/// Returns the link to the coordinator; `None` if it is this process.
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
