//! Limits the retries of each service to a share of its requests, over a sliding window.
//!
//! The limit holds over all entries together: each one uses its part of the fixed allowance and a share of its own requests.
//!
//! | load pattern | response |
//! |---|---|
//! | many upstreams fail at once and every entry retries the lost requests | retries are limited, and what exceeds the limit ends with the first failure |
//! | processes end in series while upstreams reject requests | a process that has started again does not know what the one before it has spent: its part of the fixed allowance begins at nothing and grows over a window |
//! | entries don't hear each other, or not yet | each keeps the part that it had with as many as it has heard lately |

use crate::clock::BootInstant;
use std::{collections::HashMap, collections::VecDeque, sync::Arc, time::Duration};

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed on top of that, over all entries.
    pub slack: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Share of the limit that is used; the rest is headroom for unplanned retries, such as rejected orders.
const USABLE_SHARE: f64 = 0.6;

/// Share of the fixed allowance that a process may use within its first window if an earlier process of the VM may have used
/// [`USABLE_SHARE`] of it in the same time: together they stay below the limit.
const RESTART_SHARE: f64 = 0.3;

/// Time for which the largest number of entries counts: longer than entries are cut off from each other or frozen.
const ENTRIES_MEMORY: Duration = Duration::from_mins(1);

/// Requests and retries of one service within the window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<BootInstant>,
    retries: VecDeque<BootInstant>,
}

impl Window {
    fn expire(&mut self, now: BootInstant, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| now.since(*t) > window) {
                times.pop_front();
            }
        }
    }
}

/// Largest number of entries that was heard of lately.
#[derive(Clone, Copy, Debug, Default)]
struct KnownEntries {
    count: usize,
    seen: BootInstant,
}

impl KnownEntries {
    fn observe(&mut self, count: usize, now: BootInstant) {
        if count >= self.count || now.since(self.seen) > ENTRIES_MEMORY {
            *self = Self { count, seen: now };
        }
    }
}

/// Retry budget of each service.
#[derive(Debug, Default)]
pub struct ServiceRetryBudget {
    limits: RetryLimits,
    services: HashMap<Arc<str>, Window>,
    entries: KnownEntries,
    /// Start of this process, if an earlier process of the VM may have used the budget.
    restarted: Option<BootInstant>,
}

impl ServiceRetryBudget {
    /// Returns a budget with these limits, of which nothing has been used.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns a budget of which an earlier process of the VM may have used its part up to `now`; `entries` are known to
    /// exist.
    pub fn after_restart(limits: RetryLimits, entries: usize, now: BootInstant) -> Self {
        let mut budget = Self {
            restarted: Some(now),
            ..Self::new(limits)
        };
        budget.entries.observe(entries, now);
        budget
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: &Arc<str>, now: BootInstant) {
        let window = self.services.entry(Arc::clone(service)).or_default();
        window.expire(now, self.limits.window);
        window.requests.push_back(now);
    }

    /// Returns the share of the fixed allowance that this process may use.
    fn slack_share(&self, now: BootInstant) -> f64 {
        let window = self.limits.window;
        match self.restarted.map(|start| now.since(start)) {
            Some(age) if age < window => RESTART_SHARE * age.div_duration_f64(window),
            _ => USABLE_SHARE,
        }
    }

    /// Returns whether a retry is allowed, with the slack shared by `entries` entries.
    pub fn has_retry(&mut self, service: &Arc<str>, entries: usize, now: BootInstant) -> bool {
        self.entries.observe(entries, now);
        let slack = self.limits.slack / self.entries.count.max(1) as f64 * self.slack_share(now);
        let window = self.services.entry(Arc::clone(service)).or_default();
        window.expire(now, self.limits.window);
        let allowed = window.requests.len() as f64 * self.limits.ratio * USABLE_SHARE + slack;
        window.retries.len() as f64 + 1.0 <= allowed
    }

    /// Takes one retry from the budget; false if none is left.
    pub fn take_retry(&mut self, service: &Arc<str>, entries: usize, now: BootInstant) -> bool {
        let allowed = self.has_retry(service, entries, now);
        if allowed && let Some(window) = self.services.get_mut(service) {
            window.retries.push_back(now);
        }
        allowed
    }
}
