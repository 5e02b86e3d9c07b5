//! Supervisor tree: failed tasks are restarted, up to a limit beyond which the parent fails.

use crate::clock::BootInstant;
use futures_util::future::BoxFuture;
use log::{error, warn};
use std::{
    collections::VecDeque,
    fmt::{Display, Formatter},
    time::Duration,
};
use tokio_graceful_shutdown::{ErrorAction, SubsystemBuilder, SubsystemHandle};
use tokio_util::sync::CancellationToken;

/// Restarts allowed within [`RESTART_WINDOW`].
const MAX_RESTARTS: usize = 5;

/// Sliding window over which restarts are counted.
const RESTART_WINDOW: Duration = Duration::from_secs(30);

/// Delay before a restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Error of a supervised task.
pub type ChildError = Box<dyn std::error::Error + Send + Sync>;

/// Error of a task that failed more often than [`MAX_RESTARTS`] within [`RESTART_WINDOW`].
#[derive(Debug)]
pub struct RestartLimitExceeded(pub &'static str);

impl Display for RestartLimitExceeded {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} failed more than {MAX_RESTARTS} times", self.0)
    }
}

impl std::error::Error for RestartLimitExceeded {}

/// Starts the future that `make_task` returns below `parent` and restarts it when it fails.
///
/// The future receives `stop`, which the owner of the tree cancels in its own shutdown order. A task that returns
/// `Ok` is not restarted.
pub fn supervise<F>(
    parent: &SubsystemHandle,
    name: &'static str,
    stop: CancellationToken,
    make_task: F,
) where
    F: Fn(CancellationToken) -> BoxFuture<'static, Result<(), ChildError>> + Send + 'static,
{
    parent.start(SubsystemBuilder::new(
        name,
        async move |subsystem: &mut SubsystemHandle| -> Result<(), ChildError> {
            let mut restarts = VecDeque::new();
            loop {
                let child = make_task(stop.clone());
                let task = subsystem.start(
                    SubsystemBuilder::new("run", async move |_: &mut SubsystemHandle| child.await)
                        .on_failure(ErrorAction::CatchAndLocalShutdown)
                        .on_panic(ErrorAction::CatchAndLocalShutdown),
                );
                let Err(e) = task.join().await else {
                    return Ok(());
                };
                if stop.is_cancelled() {
                    return Ok(());
                }
                warn!(child = name; "restarting after a failure: {e}");
                if !may_restart(&mut restarts, BootInstant::now()) {
                    error!(child = name; "restart limit exceeded");
                    return Err(ChildError::from(RestartLimitExceeded(name)));
                }
                tokio::time::sleep(RESTART_DELAY).await;
            }
        },
    ));
}

/// Records a restart at `now`; returns false if the window then has more than [`MAX_RESTARTS`].
fn may_restart(restarts: &mut VecDeque<BootInstant>, now: BootInstant) -> bool {
    while restarts
        .front()
        .is_some_and(|t| now.since(*t) > RESTART_WINDOW)
    {
        restarts.pop_front();
    }
    restarts.push_back(now);
    restarts.len() <= MAX_RESTARTS
}
