//! Shares the weight store's allowance: a queue of load permits, the most urgent first.

use crate::{
    catalogue::Class,
    clock::BootInstant,
    ident::{ModelRef, RequestId},
};
use std::time::Duration;

/// Time after which a permit whose end was never reported counts as ended.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Loads that may be under way beyond the streams at full speed, to hide the gap between two.
const OVERLAP: usize = 1;

/// Allowance of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Loads a second.
    pub rate: f64,
    /// Loads at full speed at once.
    pub streams: u32,
}

/// A wish for a load.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Identifies the wish.
    pub id: RequestId,
    /// Adapter.
    pub model: ModelRef,
    /// Most urgent class among the waiters.
    pub class: Class,
    /// Earliest deadline among the waiters.
    pub deadline: BootInstant,
    /// Requests waiting.
    pub waiters: u32,
}

/// Permits under way and wishes waiting.
#[derive(Debug)]
pub struct Permits {
    allowance: Allowance,
    tokens: f64,
    filled: BootInstant,
    active: Vec<(RequestId, BootInstant)>,
    waiting: Vec<Wish>,
}

impl Permits {
    /// A full allowance at `now`.
    pub fn new(allowance: Allowance, now: BootInstant) -> Self {
        let tokens = f64::from(allowance.streams);
        Self {
            allowance,
            tokens,
            filled: now,
            active: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Changes the allowance.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Queues a wish.
    pub fn ask(&mut self, wish: Wish) {
        self.waiting.push(wish);
    }

    /// Ends a permit or withdraws a wish.
    pub fn end(&mut self, id: RequestId) {
        self.active.retain(|(a, _)| *a != id);
        self.waiting.retain(|w| w.id != id);
    }

    /// Wishes waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Grants what the allowance gives at `now`, the most urgent wish first.
    pub fn grant(&mut self, now: BootInstant) -> Vec<Wish> {
        self.refill(now);
        self.active
            .retain(|(_, since)| now.since(*since) < PERMIT_TIMEOUT);
        let mut granted = Vec::new();
        while self.tokens >= 1.0 && self.active.len() < self.allowance.streams as usize + OVERLAP {
            let Some(next) = self.most_urgent() else {
                break;
            };
            let wish = self.waiting.swap_remove(next);
            self.tokens -= 1.0;
            self.active.push((wish.id, now));
            granted.push(wish);
        }
        granted
    }

    /// Time until a token is there, if tokens are what is missing.
    pub fn next_token(&self) -> Option<Duration> {
        if self.waiting.is_empty() || self.tokens >= 1.0 {
            return None;
        }
        Some(Duration::from_secs_f64(
            (1.0 - self.tokens) / self.allowance.rate,
        ))
    }

    fn refill(&mut self, now: BootInstant) {
        let gained = now.since(self.filled).as_secs_f64() * self.allowance.rate;
        self.tokens = (self.tokens + gained).min(f64::from(self.allowance.streams));
        self.filled = now;
    }

    fn most_urgent(&self) -> Option<usize> {
        let rank = |w: &Wish| (w.class, std::cmp::Reverse(w.waiters), w.deadline);
        (0..self.waiting.len()).min_by_key(|i| rank(&self.waiting[*i]))
    }
}
