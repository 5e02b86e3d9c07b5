//! Retry budget of a gateway: limits retries to a share of the requests, so that retries don't amplify an overload.

use std::sync::atomic::{AtomicI64, Ordering};

/// Deposit of each request, in thousandths of a retry.
const DEPOSIT: i64 = 100;

/// Cost of one retry, in thousandths.
const RETRY_COST: i64 = 1_000;

/// Maximum balance, in thousandths.
const MAX_BALANCE: i64 = 10_000;

/// Retry budget shared by all requests of a process; holds the balance.
#[derive(Debug)]
pub struct RetryBudget(AtomicI64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(AtomicI64::new(MAX_BALANCE))
    }
}

impl RetryBudget {
    /// Deposits the share of one request.
    pub fn deposit(&self) {
        self.update(|balance| Some((balance + DEPOSIT).min(MAX_BALANCE)));
    }

    /// Withdraws one retry; returns false if the balance is too low.
    pub fn try_withdraw(&self) -> bool {
        self.update(|balance| (balance >= RETRY_COST).then_some(balance - RETRY_COST))
    }

    fn update(&self, next: impl Fn(i64) -> Option<i64>) -> bool {
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .is_ok()
    }
}
