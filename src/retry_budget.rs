//! Limits retries to a share of the requests, so that they can't feed an overload.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of a retry that each request earns.
const EARNED: i64 = 100;

/// Thousandths that one retry costs.
const COST: i64 = 1_000;

/// Most that can be saved up, in thousandths.
const MAX_SAVED: i64 = 10_000;

/// A budget shared by all requests of a process.
#[derive(Debug)]
pub struct RetryBudget(AtomicI64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(AtomicI64::new(MAX_SAVED))
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn deposit(&self) {
        self.update(|saved| Some((saved + EARNED).min(MAX_SAVED)));
    }

    /// Takes one retry; false if there is none.
    pub fn try_withdraw(&self) -> bool {
        self.update(|saved| (saved >= COST).then_some(saved - COST))
    }

    fn update(&self, next: impl Fn(i64) -> Option<i64>) -> bool {
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .is_ok()
    }
}
