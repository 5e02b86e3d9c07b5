//! Shares the weight store's allowance: a queue of load permits, the one that helps most first.

use crate::{clock::BootInstant, ident::RequestId, wire::PermitResponse};
use std::{cmp::Reverse, time::Duration};

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

impl Allowance {
    /// Time that one load takes at full speed.
    pub fn load_time(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.streams) / self.rate)
    }

    /// Time deadline a load's turn comes after `ahead` others.
    fn turn(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(ahead as f64 / self.rate)
    }
}

/// A wish for a load.
#[derive(Clone, Copy, Debug)]
pub struct PendingPermit {
    /// Identifies the wish.
    pub id: RequestId,
    /// Requests waiting, each counted by the weight of its class.
    pub weight: u32,
    /// When the last of them can't be answered any more.
    pub deadline: BootInstant,
}

/// Permits under way and the requests for permits that wait.
#[derive(Debug)]
pub struct PermitQueue {
    allowance: Allowance,
    tokens: f64,
    filled: BootInstant,
    active: Vec<(RequestId, BootInstant)>,
    waiting: Vec<PendingPermit>,
}

impl PermitQueue {
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

    /// Queues a wish, or replaces it by what has become of it.
    pub fn enqueue(&mut self, wish: PendingPermit) {
        match self.waiting.iter_mut().find(|w| w.id == wish.id) {
            Some(known) => *known = wish,
            None => self.waiting.push(wish),
        }
    }

    /// Whether a wish still waits.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.waiting.iter().any(|w| w.id == id)
    }

    /// Ends a permit or withdraws a wish.
    pub fn release(&mut self, id: RequestId) {
        self.active.retain(|(a, _)| *a != id);
        self.waiting.retain(|w| w.id != id);
    }

    /// Wishes waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Grants what the allowance gives at `now`, the heaviest wish first, and denies what would come too late.
    pub fn grant_and_deny(&mut self, now: BootInstant) -> Vec<(RequestId, PermitResponse)> {
        self.refill(now);
        self.active
            .retain(|(_, since)| now.since(*since) < PERMIT_TIMEOUT);
        self.waiting
            .sort_by_key(|w| (Reverse(w.weight), w.deadline));
        let mut out = Vec::new();
        while self.tokens >= 1.0
            && self.active.len() < self.allowance.streams as usize + OVERLAP
            && !self.waiting.is_empty()
        {
            let wish = self.waiting.remove(0);
            self.tokens -= 1.0;
            self.active.push((wish.id, now));
            out.push((wish.id, PermitResponse::Granted));
        }
        out.extend(self.deny_hopeless(now));
        out
    }

    fn deny_hopeless(&mut self, now: BootInstant) -> Vec<(RequestId, PermitResponse)> {
        let (allowance, mut ahead, mut out) = (self.allowance, 0, Vec::new());
        self.waiting.retain(|wish| {
            let turn = allowance.turn(ahead);
            if now + turn + allowance.load_time() <= wish.deadline {
                ahead += 1;
                return true;
            }
            let retry_ms = turn.as_millis() as u64;
            out.push((wish.id, PermitResponse::Denied { retry_ms }));
            false
        });
        out
    }

    /// Time deadline a token is there, if tokens are what is missing.
    pub fn time_to_next_token(&self) -> Option<Duration> {
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
}
