//! Requests that crash the upstreams that run them: strikes, probation, final refusal.

use crate::{
    ident::UpstreamId,
    wire::{Strike, StrikeEvent},
};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

/// Upstreams lost to a request before it is refused for good.
const MAX_LOST: usize = 2;

/// Time a strike is remembered, in milliseconds.
const STRIKE_TTL_MS: u64 = 600_000;

/// Requests remembered.
const MAX_SUSPECTS: usize = 16_384;

/// How a request may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// As any other.
    Allow,
    /// Alone on one upstream of its pool.
    Probation,
    /// Not at all.
    Refuse,
}

/// Upstreams lost to one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    lost: HashSet<(UpstreamId, u64)>,
    cleared_ms: u64,
    last_ms: u64,
}

/// Strikes known to this process.
#[derive(Debug, Default)]
pub struct Suspects {
    table: HashMap<u64, Suspect>,
}

impl Suspects {
    /// Takes in a strike; true if it was news, to be passed on.
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
                if strike.at_ms <= suspect.cleared_ms {
                    return false;
                }
                suspect.last_ms = suspect.last_ms.max(strike.at_ms);
                suspect.lost.insert((Arc::clone(upstream), *boot))
            }
            StrikeEvent::Cleared => {
                if strike.at_ms <= suspect.cleared_ms || suspect.last_ms > strike.at_ms {
                    return false;
                }
                suspect.cleared_ms = strike.at_ms;
                let known = !suspect.lost.is_empty();
                suspect.lost.clear();
                known
            }
        }
    }

    /// How the request may be run at `now_ms`.
    pub fn verdict(&self, fingerprint: u64, now_ms: u64) -> Verdict {
        let Some(suspect) = self.table.get(&fingerprint) else {
            return Verdict::Allow;
        };
        if now_ms.saturating_sub(suspect.last_ms) > STRIKE_TTL_MS {
            return Verdict::Allow;
        }
        match suspect.lost.len() {
            0 => Verdict::Allow,
            n if n < MAX_LOST => Verdict::Probation,
            _ => Verdict::Refuse,
        }
    }

    /// Every strike still remembered, for a process that has just connected.
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
