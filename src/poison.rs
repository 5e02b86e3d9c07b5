//! Poison requests, which crash the upstreams that run them: counts strikes, and restricts or refuses such requests.

use crate::{
    ident::UpstreamId,
    wire::{Strike, StrikeEvent},
};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

/// Upstreams that a request may crash before it is refused.
const MAX_CRASHED_UPSTREAMS: usize = 2;

/// Time for which a strike counts, in milliseconds.
const STRIKE_TTL_MS: u64 = 600_000;

/// Requests tracked at once.
const MAX_SUSPECTS: usize = 16_384;

/// Refused requests in one record in the store, to keep the record well below the size of a value there.
const MAX_STORED: usize = 256;

/// Returns the hash of what stays the same when a caller repeats a request, such as its path and body.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    rapidhash_v3(&parts.join(&0))
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Like any other request.
    Allow,
    /// Only alone on one upstream of its pool.
    Probation,
    /// Not at all.
    Refuse,
}

/// Refused request as kept in the store, for processes that start when no other knows of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusedRequest {
    /// Fingerprint as a hexadecimal number, as not every reader of JSON keeps 64 bits.
    pub fingerprint: String,
    /// Upstreams that it crashed, with the start times of their processes.
    pub lost: Vec<(UpstreamId, u64)>,
    /// Time of the last strike, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

impl RefusedRequest {
    /// Returns the strikes that led to the refusal; none if the fingerprint can't be parsed.
    pub fn strikes(&self) -> Vec<Strike> {
        let Ok(fingerprint) = u64::from_str_radix(&self.fingerprint, 16) else {
            return Vec::new();
        };
        let lost = self.lost.iter();
        let strike = |(upstream, boot): &(UpstreamId, u64)| Strike {
            fingerprint,
            event: StrikeEvent::Lost {
                upstream: Arc::clone(upstream),
                boot: *boot,
            },
            at_ms: self.at_ms,
        };
        lost.map(strike).collect()
    }
}

/// Upstreams that one request crashed, and when strikes were last recorded or cleared.
#[derive(Clone, Debug, Default)]
struct Suspect {
    lost: HashSet<(UpstreamId, u64)>,
    cleared_ms: u64,
    last_ms: u64,
}

impl Suspect {
    /// Records a crash of an upstream's process; returns whether it was new.
    fn record_lost(&mut self, process: (UpstreamId, u64), at_ms: u64) -> bool {
        let is_expired = at_ms + STRIKE_TTL_MS < self.last_ms;
        if at_ms <= self.cleared_ms || is_expired {
            return false;
        }
        if self.last_ms + STRIKE_TTL_MS < at_ms {
            self.lost.clear();
        }
        self.last_ms = self.last_ms.max(at_ms);
        self.lost.insert(process)
    }

    /// Records a completion of the request; returns whether it cleared any strikes.
    fn record_cleared(&mut self, at_ms: u64) -> bool {
        if at_ms <= self.cleared_ms || self.last_ms > at_ms {
            return false;
        }
        self.cleared_ms = at_ms;
        let had_strikes = !self.lost.is_empty();
        self.lost.clear();
        had_strikes
    }
}

/// Strikes known to this process, by request fingerprint.
#[derive(Debug, Default)]
pub struct Suspects {
    table: HashMap<u64, Suspect>,
}

impl Suspects {
    /// Records a strike; returns true if it was new and has to be forwarded.
    pub fn record(&mut self, strike: &Strike) -> bool {
        if self.table.len() >= MAX_SUSPECTS {
            let oldest = strike.at_ms.saturating_sub(STRIKE_TTL_MS);
            self.table.retain(|_, s| s.last_ms > oldest);
        }
        if self.table.len() >= MAX_SUSPECTS && !self.table.contains_key(&strike.fingerprint) {
            return false;
        }
        let suspect = self.table.entry(strike.fingerprint).or_default();
        match &strike.event {
            StrikeEvent::Lost { upstream, boot } => {
                suspect.record_lost((Arc::clone(upstream), *boot), strike.at_ms)
            }
            StrikeEvent::Cleared => suspect.record_cleared(strike.at_ms),
        }
    }

    /// Returns the time of an event that is observed at `now_ms`: later than those already known, whose times come from
    /// other VMs' clocks.
    pub fn event_time(&self, fingerprint: u64, now_ms: u64) -> u64 {
        let Some(suspect) = self.table.get(&fingerprint) else {
            return now_ms;
        };
        now_ms.max(suspect.last_ms.max(suspect.cleared_ms) + 1)
    }

    /// Returns how the request may be run at `now_ms`.
    pub fn verdict(&self, fingerprint: u64, now_ms: u64) -> Verdict {
        let Some(suspect) = self.table.get(&fingerprint) else {
            return Verdict::Allow;
        };
        if now_ms.saturating_sub(suspect.last_ms) > STRIKE_TTL_MS {
            return Verdict::Allow;
        }
        match suspect.lost.len() {
            0 => Verdict::Allow,
            n if n < MAX_CRASHED_UPSTREAMS => Verdict::Probation,
            _ => Verdict::Refuse,
        }
    }

    /// Returns for how long a request is still refused; `None` if it may be run.
    pub fn refused_for(&self, fingerprint: u64, now_ms: u64) -> Option<Duration> {
        if self.verdict(fingerprint, now_ms) != Verdict::Refuse {
            return None;
        }
        let suspect = self.table.get(&fingerprint)?;
        let expires_ms = suspect.last_ms + STRIKE_TTL_MS;
        Some(Duration::from_millis(expires_ms.saturating_sub(now_ms)))
    }

    /// Returns the requests that are refused at `now_ms`, the latest ones if there are many.
    pub fn refused(&self, now_ms: u64) -> Vec<RefusedRequest> {
        let suspects = self.table.iter();
        let refused = suspects.filter(|(f, _)| self.verdict(**f, now_ms) == Verdict::Refuse);
        let mut refused: Vec<RefusedRequest> = refused
            .map(|(fingerprint, suspect)| RefusedRequest {
                fingerprint: format!("{fingerprint:016x}"),
                lost: suspect.lost.iter().cloned().collect(),
                at_ms: suspect.last_ms,
            })
            .collect();
        refused.sort_unstable_by_key(|r| std::cmp::Reverse(r.at_ms));
        refused.truncate(MAX_STORED);
        refused
    }

    /// Returns every known strike, for a process that has just connected.
    pub fn all(&self) -> Vec<Strike> {
        let strikes = self.table.iter().flat_map(|(fingerprint, suspect)| {
            suspect.lost.iter().map(|(upstream, boot)| Strike {
                fingerprint: *fingerprint,
                event: StrikeEvent::Lost {
                    upstream: Arc::clone(upstream),
                    boot: *boot,
                },
                at_ms: suspect.last_ms,
            })
        });
        strikes.collect()
    }
}
