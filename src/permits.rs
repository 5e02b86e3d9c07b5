//! Load permits, which share the bandwidth of the weight store: a rate limiter with a queue ordered by weight.

use crate::{clock::BootInstant, ident::RequestId, wire::PermitResponse};
use std::{cmp::Reverse, time::Duration};

/// Time after which a permit that was never released expires.
const PERMIT_TTL: Duration = Duration::from_secs(20);

/// Loads allowed in addition to the streams at full speed, to hide the gap between two loads.
const EXTRA_LOADS: usize = 1;

/// Load limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Loads per second.
    pub rate: f64,
    /// Concurrent loads at full speed.
    pub streams: u32,
}

impl Allowance {
    /// Returns the duration of one load at full speed.
    pub fn load_time(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.streams) / self.rate)
    }

    /// Returns the time until a load can start that has `ahead` others before it.
    fn queue_delay(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(ahead as f64 / self.rate)
    }
}

/// A queued request for a load permit.
#[derive(Clone, Copy, Debug)]
pub struct PendingPermit {
    /// Identifier of the permit request.
    pub id: RequestId,
    /// Total class weight of the requests that wait for the load.
    pub weight: u32,
    /// Time after which the load is too late for all of them.
    pub deadline: BootInstant,
}

/// Granted permits, and the permit requests that wait.
#[derive(Debug)]
pub struct PermitQueue {
    allowance: Allowance,
    tokens: f64,
    refilled_at: BootInstant,
    active: Vec<(RequestId, BootInstant)>,
    waiting: Vec<PendingPermit>,
}

impl PermitQueue {
    /// Returns an empty queue with a full burst of tokens at `now`.
    pub fn new(allowance: Allowance, now: BootInstant) -> Self {
        let tokens = f64::from(allowance.streams);
        Self {
            allowance,
            tokens,
            refilled_at: now,
            active: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Changes the load limits.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Queues a permit request, or updates the queued one with the same identifier.
    pub fn enqueue(&mut self, request: PendingPermit) {
        match self.waiting.iter_mut().find(|r| r.id == request.id) {
            Some(known) => *known = request,
            None => self.waiting.push(request),
        }
    }

    /// Returns whether a permit request still waits.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.waiting.iter().any(|r| r.id == id)
    }

    /// Releases a permit, or withdraws a queued permit request.
    pub fn release(&mut self, id: RequestId) {
        self.active.retain(|(a, _)| *a != id);
        self.waiting.retain(|r| r.id != id);
    }

    /// Returns the number of queued permit requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Grants the permits available at `now`, heaviest request first, and denies requests that would come too late.
    pub fn grant_and_deny(&mut self, now: BootInstant) -> Vec<(RequestId, PermitResponse)> {
        self.refill(now);
        self.active
            .retain(|(_, since)| now.since(*since) < PERMIT_TTL);
        self.waiting
            .sort_by_key(|r| (Reverse(r.weight), r.deadline));
        let mut out = Vec::new();
        while self.tokens >= 1.0
            && self.active.len() < self.allowance.streams as usize + EXTRA_LOADS
            && !self.waiting.is_empty()
        {
            let request = self.waiting.remove(0);
            self.tokens -= 1.0;
            self.active.push((request.id, now));
            out.push((request.id, PermitResponse::Granted));
        }
        out.extend(self.deny_late(now));
        out
    }

    fn deny_late(&mut self, now: BootInstant) -> Vec<(RequestId, PermitResponse)> {
        let (allowance, mut ahead, mut out) = (self.allowance, 0, Vec::new());
        self.waiting.retain(|request| {
            let delay = allowance.queue_delay(ahead);
            if now + delay + allowance.load_time() <= request.deadline {
                ahead += 1;
                return true;
            }
            let retry_ms = delay.as_millis() as u64;
            out.push((request.id, PermitResponse::Denied { retry_ms }));
            false
        });
        out
    }

    /// Returns the time until the next token, if requests wait for one.
    pub fn time_to_next_token(&self) -> Option<Duration> {
        if self.waiting.is_empty() || self.tokens >= 1.0 {
            return None;
        }
        Some(Duration::from_secs_f64(
            (1.0 - self.tokens) / self.allowance.rate,
        ))
    }

    fn refill(&mut self, now: BootInstant) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.allowance.rate;
        self.tokens = (self.tokens + gained).min(f64::from(self.allowance.streams));
        self.refilled_at = now;
    }
}
