//! How long a request may wait, and why it is refused where nothing can take it within that time.

use crate::{
    clock::BootInstant,
    decide::{
        load_balancing::Candidate,
        prefill,
        standing::{LoadWaits, Standing},
        upstream_queue,
    },
    edge::{codec::InferenceWork, registration::Registration},
    holding::lock,
    path::{job::ProxyRequest, refusal::RefusalReason},
};
use std::{sync::Arc, time::Duration};

/// Probability with which a request ends within its usual run time.
const USUAL: f64 = 0.5;

impl ProxyRequest {
    /// Lets the request go before all others from now on, as an upstream may have run a part of it: refusing it would waste
    /// that, and break off a stream that has begun.
    pub fn go_first(&mut self) {
        self.standing = Standing::default();
    }

    /// Returns how long the request may wait for the prompts before its own: as long as its response can be on time, or
    /// until the deadline if an upstream may have run it.
    pub fn max_wait(&self, may_have_run: bool) -> Duration {
        if may_have_run {
            return self.time_left();
        }
        let elapsed = BootInstant::now().since(self.arrived);
        let own = prefill::max_wait(self.route.target);
        let max_wait = self.standing.max_wait(own, prefill::max_wait);
        max_wait.saturating_sub(elapsed).min(self.time_left())
    }

    /// Returns how long the request may wait before it is sent, so that its response ends before this process does.
    ///
    /// # Errors
    /// Its response may not end in time.
    pub fn max_wait_before_exit(&self) -> Result<Duration, RefusalReason> {
        let Some(shutdown) = self.entry.shutdown() else {
            return Ok(Duration::MAX);
        };
        let size = self.head.work.as_ref().map_or(0, InferenceWork::size);
        let now = BootInstant::now();
        let confidence = shutdown.confidence(self.arrived);
        let run_time = lock(&self.entry.run_times).forecast(&self.route.name, size, confidence);
        let wait = shutdown.max_wait(now, self.arrived, self.time_left(), run_time);
        wait.ok_or(RefusalReason::Stopping)
    }

    /// Returns how long requests of this route usually take at a plain service, or those of the service's other routes if
    /// too few of its own have ended; `None` if too few of all have.
    pub fn plain_run_time(&self) -> Option<Duration> {
        if self.head.work.is_some() {
            return None;
        }
        let table = self.entry.routes.load();
        let run_times = lock(&self.entry.run_times);
        let own = run_times.forecast(&self.route.name, 0, USUAL);
        // A route that was just added must not be left with the slots while others fill the queue.
        own.or_else(|| {
            let routes = table.deployment.routes.iter();
            let same = routes.filter(|r| r.targets.iter().any(|t| t.service == self.service));
            same.filter_map(|r| run_times.forecast(&r.name, 0, USUAL))
                .max()
        })
    }

    /// Returns why all of `upstreams` are full: their batches, or the prompts that wait there.
    pub fn full_reason(
        &self,
        upstreams: &[Arc<Registration>],
        max_wait: Duration,
    ) -> RefusalReason {
        let Some(work) = &self.head.work else {
            return RefusalReason::Full;
        };
        let now = BootInstant::now();
        let prefill = lock(&self.entry.prefill);
        let waits = upstreams
            .iter()
            .map(|u| prefill.wait(&u.id, work.prompt_tokens, now));
        match waits.min() {
            Some(wait) if wait > max_wait => RefusalReason::Backlog(wait),
            _ => RefusalReason::Full,
        }
    }

    /// Returns how long the request may wait for its adapter.
    pub fn load_waits(&self) -> LoadWaits {
        let elapsed = BootInstant::now().since(self.arrived);
        let standing = self.standing;
        standing.load_waits(self.route.target, elapsed, self.time_left())
    }

    /// Adds to a plain upstream's slots the queue in which the request is served in time.
    pub fn with_queue<'a>(
        &self,
        candidate: Candidate<'a>,
        run_time: Option<Duration>,
    ) -> Candidate<'a> {
        let is_brittle = || lock(&self.entry.brittle).is_brittle(candidate.id, BootInstant::now());
        if self.head.work.is_some() || is_brittle() {
            return candidate;
        }
        let max_wait = candidate.max_wait.min(prefill::max_wait(self.route.target));
        Candidate {
            slots: upstream_queue::places(candidate.slots, max_wait, run_time),
            ..candidate
        }
    }
}
