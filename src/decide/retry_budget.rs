//! Limits the retries of each service to a share of its requests, over a sliding window.
//!
//! Prevents retry storms when many upstreams fail at once and every entry retries the lost requests. The limit holds
//! over all entries together: each one uses its part of the fixed allowance and a share of its own requests.

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

/// Retry budget of each service.
#[derive(Debug, Default)]
pub struct ServiceRetryBudget {
    limits: RetryLimits,
    services: HashMap<Arc<str>, Window>,
}

impl ServiceRetryBudget {
    /// Returns a budget with these limits.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: &Arc<str>, now: BootInstant) {
        let window = self.services.entry(Arc::clone(service)).or_default();
        window.expire(now, self.limits.window);
        window.requests.push_back(now);
    }

    /// Returns whether a retry is allowed, with the slack shared by `entries` entries.
    pub fn has_retry(&mut self, service: &Arc<str>, entries: usize, now: BootInstant) -> bool {
        let window = self.services.entry(Arc::clone(service)).or_default();
        window.expire(now, self.limits.window);
        let slack = self.limits.slack / entries.max(1) as f64;
        let allowed = window.requests.len() as f64 * self.limits.ratio + slack;
        window.retries.len() as f64 + 1.0 <= allowed * USABLE_SHARE
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
