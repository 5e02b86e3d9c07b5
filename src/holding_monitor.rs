//! Keeps the state of a held upstream up to date: fencing number, loaded adapters, reports and restarts.

use crate::{
    catalogue::{Fencing, PoolKind},
    clock::BootInstant,
    holding::{EngineState, Holding, lock},
    lease::RENEW_INTERVAL,
    upstream_client::{InFlightReport, ModelList, OrderResult},
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};

/// Interval between reads of the report of requests in flight.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl Holding {
    /// Stops all use of the upstream, because it is released, delisted or held by another process.
    pub fn mark_lost(&self, reason: &str) {
        let mut authority = self.authority();
        if !authority.is_lost() {
            warn!(upstream = &*self.spec.id, generation = self.generation; "holding lost: {reason}");
            authority.lose();
        }
    }

    /// Raises the engine's fencing number where it is checked, and reads which adapters are loaded.
    ///
    /// Returns whether the upstream can be used now.
    pub async fn sync_engine(self: &Arc<Self>) -> bool {
        if self.spec.kind == PoolKind::Service {
            self.schedule();
            return true;
        }
        if self.spec.fencing == Fencing::Checked && !self.heartbeat().await {
            return false;
        }
        let Ok(list) = self.client.models().await else {
            return false;
        };
        let settled = self.authority().may_trust_report(Duration::ZERO) && list.boot == self.boot();
        self.apply_models(&list, settled);
        true
    }

    /// Sends the fencing number again, an order without effect by which the upstream confirms this holder.
    pub async fn heartbeat(&self) -> bool {
        let sent = BootInstant::now();
        match self.client.fence(self.generation).await {
            OrderResult::Done => {
                self.authority().engine_confirmed(sent);
                true
            }
            OrderResult::Fenced => {
                self.mark_lost("the upstream knows a higher fencing number");
                false
            }
            OrderResult::Failed | OrderResult::NotSent | OrderResult::Unknown => false,
        }
    }

    /// Keeps the upstream's state up to date until it is lost or the future is dropped.
    pub async fn monitor(self: &Arc<Self>) {
        let mut last_sent = BootInstant::now();
        while !self.authority().is_lost() {
            tokio::time::sleep(REPORT_INTERVAL).await;
            if self.spec.kind == PoolKind::Service {
                self.schedule();
                continue;
            }
            let now = BootInstant::now();
            if self.spec.fencing == Fencing::Checked && now.since(last_sent) >= RENEW_INTERVAL {
                last_sent = now;
                self.heartbeat().await;
            }
            if lock(&self.engine).clock_ms == 0 {
                self.sync_engine().await;
            } else if let Ok(report) = self.client.report().await {
                self.apply_report(&report).await;
            }
            self.schedule();
        }
        self.schedule();
        self.surroundings.changed.notify_waiters();
    }

    async fn apply_report(self: &Arc<Self>, report: &InFlightReport) {
        if report.boot != self.boot() {
            self.check_restart().await;
            return;
        }
        let synced_ms = lock(&self.engine).clock_ms;
        let mut scheduler = self.scheduler();
        if !scheduler.has_unsettled() {
            return;
        }
        let authority = self.authority();
        if authority.earlier_requests_expired(BootInstant::now(), self.surroundings.max_timeout) {
            scheduler.settle_idle(|_| true);
        } else if report.made_ms > synced_ms
            && authority.may_trust_report(Duration::from_millis(report.made_ms - synced_ms))
        {
            scheduler.settle_idle(|m| report.in_flight.get(&m.to_string()).is_none_or(|n| *n == 0));
        }
    }

    /// Reads the model list, and resets the state if the engine's process has changed.
    pub async fn check_restart(self: &Arc<Self>) -> bool {
        if self.spec.kind == PoolKind::Service {
            return false;
        }
        let Ok(list) = self.client.models().await else {
            return false;
        };
        if list.boot == self.boot() {
            return false;
        }
        info!(upstream = &*self.spec.id, boot = list.boot; "the engine restarted");
        // A new process only runs requests that it received since it started, none of a holder that stopped before.
        let settled = !self.authority().awaits_earlier_holder();
        self.apply_models(&list, settled);
        true
    }

    /// Takes over the adapters of the engine's process; `settled` if no request of an earlier holder can run there.
    fn apply_models(self: &Arc<Self>, list: &ModelList, settled: bool) {
        self.scheduler().sync_adapters(&list.adapters(), settled);
        *lock(&self.engine) = EngineState {
            boot: list.boot,
            clock_ms: list.now_ms,
        };
        self.surroundings.changed.notify_waiters();
        self.schedule();
    }
}
