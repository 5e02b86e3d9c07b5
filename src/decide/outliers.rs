//! Outlier detection: ejects upstreams for a while that fail this entry's own requests.
//!
//! Handles an upstream that crashed, froze or refuses connections while its registration still says that it serves.
//! Without ejection, every request for its adapters would fail there until the registration expires.

use crate::{clock::BootInstant, ident::UpstreamId};
use std::{collections::HashMap, time::Duration};

/// Ejection time after the first failure; about the length of a brief network disruption.
const BASE_EJECTION: Duration = Duration::from_millis(300);

/// Longest ejection time; a crashed upstream's registration expires after three heartbeats of about 1.2 s.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Number of consecutive failures that double the ejection time.
const MAX_DOUBLINGS: u32 = 5;

/// Consecutive failures of one upstream.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    ejected_until: BootInstant,
}

/// Tracks failing upstreams.
#[derive(Debug, Default)]
pub struct Outliers {
    failing: HashMap<UpstreamId, Failures>,
}

impl Outliers {
    /// Records a failure attributed to the upstream, and returns for how long it is ejected.
    pub fn record_failure(&mut self, id: &UpstreamId, now: BootInstant) -> Duration {
        let entry = self.failing.entry(UpstreamId::clone(id));
        let failures = entry.or_insert(Failures {
            count: 0,
            ejected_until: now,
        });
        // Requests that fail together count as one failure.
        if now < failures.ejected_until {
            return failures.ejected_until.since(now);
        }
        let ejection = BASE_EJECTION * 2_u32.pow(failures.count.min(MAX_DOUBLINGS));
        let ejection = ejection.min(MAX_EJECTION);
        failures.count += 1;
        failures.ejected_until = now + ejection;
        ejection
    }

    /// Records a success, which ends the ejection.
    pub fn record_success(&mut self, id: &str) {
        self.failing.remove(id);
    }

    /// Returns whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, id: &str, now: BootInstant) -> bool {
        self.failing.get(id).is_some_and(|f| now < f.ejected_until)
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, id: &str) {
        self.failing.remove(id);
    }
}
