//! Upstreams that fail this entry's own requests are left alone for a while.
//!
//! Load pattern: an upstream that crashed, froze or refuses connections while its registration still says that
//! it serves. Without a pause, each request for its adapters would be lost there until the entry lapses.

use crate::{clock::BootInstant, ident::UpstreamId};
use std::{collections::HashMap, time::Duration};

/// Pause after the first failure; about the time of a short network hiccup.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause; a crashed upstream's registration lapses after three heartbeats of about 1.2 s.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Failures in a row that still lengthen the pause.
const MAX_DOUBLINGS: u32 = 5;

/// One upstream's failures in a row.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    until: BootInstant,
}

/// Failing upstreams.
#[derive(Debug, Default)]
pub struct Outliers {
    failing: HashMap<UpstreamId, Failures>,
}

impl Outliers {
    /// Counts a failure that speaks against the upstream; the pause that follows.
    pub fn record_failure(&mut self, id: &UpstreamId, now: BootInstant) -> Duration {
        let entry = self.failing.entry(UpstreamId::clone(id));
        let failures = entry.or_insert(Failures {
            count: 0,
            until: now,
        });
        // Requests that were lost together count once.
        if now < failures.until {
            return failures.until.since(now);
        }
        let pause = FIRST_PAUSE * 2_u32.pow(failures.count.min(MAX_DOUBLINGS));
        let pause = pause.min(MAX_PAUSE);
        failures.count += 1;
        failures.until = now + pause;
        pause
    }

    /// Takes in a success.
    pub fn record_success(&mut self, id: &str) {
        self.failing.remove(id);
    }

    /// Whether the upstream is left alone at `now`.
    pub fn is_ejected(&self, id: &str, now: BootInstant) -> bool {
        self.failing.get(id).is_some_and(|f| now < f.until)
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, id: &str) {
        self.failing.remove(id);
    }
}
