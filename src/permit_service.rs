//! Hands out load permits: one dispatcher, which all agree on by hashing, serves the others.
//!
//! Two coordinators at once would only overshoot the allowance for a moment, so no lease guards the role.

use crate::{
    clock::BootInstant,
    dispatcher::Context,
    holding::{Permit, lock},
    ident::{RequestId, rendezvous},
    link::{Incoming, Link, LinkError},
    permits::{Allowance, Permits, Wish},
    wire::{PermitAsk, PermitGrant},
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

/// Wait after the coordinator could not be reached.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Tries to reach the coordinator before this process grants from its own share.
const MAX_TRIES: u32 = 3;

/// The coordinator's queue and those who wait in it.
#[derive(Debug)]
pub struct Coordinator {
    permits: Mutex<Permits>,
    grants: Mutex<HashMap<RequestId, oneshot::Sender<()>>>,
    wake: Notify,
}

impl Coordinator {
    /// A coordinator with nothing granted.
    pub fn new(allowance: Allowance) -> Self {
        let permits = Mutex::new(Permits::new(allowance, BootInstant::now()));
        Self {
            permits,
            grants: Mutex::default(),
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

    /// Waits for a permit; it ends when the returned guard is dropped.
    pub async fn acquire(self: &Arc<Self>, ask: &PermitAsk) -> PermitGuard {
        let id = RequestId::random();
        let guard = PermitGuard {
            coordinator: Arc::clone(self),
            id,
        };
        let (sender, receiver) = oneshot::channel();
        lock(&self.grants).insert(id, sender);
        let deadline = BootInstant::now() + Duration::from_millis(ask.deadline_ms);
        let (class, waiters) = (ask.class, ask.waiters);
        lock(&self.permits).ask(Wish {
            id,
            model: ask.model.clone(),
            class,
            deadline,
            waiters,
        });
        self.wake.notify_one();
        if receiver.await.is_err() {
            debug!("a permit's wait was dropped");
        }
        guard
    }

    /// Grants permits until `stop`.
    pub async fn run(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let granted = lock(&self.permits).grant(BootInstant::now());
            for wish in granted {
                info!(model:% = wish.model, waiters = wish.waiters, class:% = wish.class; "placement: permit");
                if let Some(sender) = lock(&self.grants).remove(&wish.id)
                    && sender.send(()).is_err()
                {
                    lock(&self.permits).end(wish.id);
                }
            }
            let next = lock(&self.permits).next_token().unwrap_or(LOOK_INTERVAL);
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(next.min(LOOK_INTERVAL)) => {}
            }
        }
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
        lock(&self.coordinator.grants).remove(&self.id);
        lock(&self.coordinator.permits).end(self.id);
        self.coordinator.wake.notify_one();
    }
}

/// Serves one `/permit` stream: the grant, then the wait for the client to close.
pub async fn serve(context: Arc<Context>, incoming: Incoming) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(ask)) = receiver.next::<PermitAsk>().await else {
        return;
    };
    let guard = tokio::select! {
        guard = context.coordinator.acquire(&ask) => guard,
        () = sender.cancelled() => return,
    };
    if sender.send(&PermitGrant).await.is_ok() {
        let end = receiver.next::<PermitGrant>().await;
        debug!("permit for {} ended: {end:?}", ask.model);
    }
    drop(guard);
}

/// Gets a permit from the coordinator, or from this process's own share if it can't be reached.
pub async fn obtain(context: &Arc<Context>, ask: PermitAsk) -> Permit {
    let (ended, end) = oneshot::channel::<()>();
    for _ in 0..MAX_TRIES {
        let Some(link) = coordinator_link(context) else {
            break;
        };
        match ask_remote(&link, &ask).await {
            Ok(stream) => {
                tokio::spawn(async move {
                    let _dropped = end.await;
                    drop(stream);
                });
                return Permit(ended);
            }
            Err(e) => {
                debug!("coordinator {}: {e}", link.address());
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    let guard = context.coordinator.acquire(&ask).await;
    tokio::spawn(async move {
        let _dropped = end.await;
        drop(guard);
    });
    Permit(ended)
}

/// An open `/permit` stream.
type PermitStream = (crate::link::Sender, crate::link::Receiver);

async fn ask_remote(link: &Link, ask: &PermitAsk) -> Result<PermitStream, LinkError> {
    let (sender, mut receiver) = link.open_duplex(PERMIT_PATH, ask).await?;
    receiver
        .next::<PermitGrant>()
        .await?
        .ok_or(LinkError::Broken)?;
    Ok((sender, receiver))
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
