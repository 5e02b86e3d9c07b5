//! Bounds repeated sends of each service to a share of its requests, over a sliding window.
//!
//! Load pattern: many upstreams fail at once and every entry repeats what they lost. The bound holds over all
//! entries together, so each one takes its part of the fixed slack and its own requests' share.

use crate::clock::BootInstant;
use std::{collections::HashMap, collections::VecDeque, sync::Arc, time::Duration};

/// Bounds of the budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all entries.
    pub slack: f64,
    /// Time over which both are counted.
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

/// Share of the bounds that is used; the rest is for what can't be foreseen, such as orders' rejects.
const USED_SHARE: f64 = 0.6;

/// One service's requests and repeats within the window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<BootInstant>,
    repeats: VecDeque<BootInstant>,
}

impl Window {
    fn expire(&mut self, now: BootInstant, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| now.since(*t) > window) {
                times.pop_front();
            }
        }
    }
}

/// Repeats of each service's requests.
#[derive(Debug, Default)]
pub struct ServiceRetryBudget {
    limits: RetryLimits,
    services: HashMap<Arc<str>, Window>,
}

impl ServiceRetryBudget {
    /// A budget with these bounds.
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

    /// Whether a repeat is left, of `entries` entries that share the slack.
    pub fn has_retry(&mut self, service: &Arc<str>, entries: usize, now: BootInstant) -> bool {
        let window = self.services.entry(Arc::clone(service)).or_default();
        window.expire(now, self.limits.window);
        let part = self.limits.slack / entries.max(1) as f64;
        let allowed = window.requests.len() as f64 * self.limits.ratio + part;
        window.repeats.len() as f64 + 1.0 <= allowed * USED_SHARE
    }

    /// Takes one repeat; false if none is left.
    pub fn take_retry(&mut self, service: &Arc<str>, entries: usize, now: BootInstant) -> bool {
        let left = self.has_retry(service, entries, now);
        if left && let Some(window) = self.services.get_mut(service) {
            window.repeats.push_back(now);
        }
        left
    }
}
