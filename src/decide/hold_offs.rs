//! Pauses that upstreams have asked this entry for: a rejection with `Retry-After` wants nothing from this VM for that long.
//!
//! | load pattern | response |
//! |---|---|
//! | an overloaded upstream rejects requests and names a time | it gets none from this entry until then; other upstreams do, or the caller is refused with the time that is left |
//! | it names further times in responses to requests that were under way | the latest end counts |
//! | its process is started again under the same name | the pause was that of the earlier process |

use crate::{clock::BootInstant, edge::registration::Registration, ident::UpstreamId};
use std::{collections::HashMap, time::Duration};

/// Longest pause that is kept; a longer one would only be a faulty value.
const MAX_PAUSE: Duration = Duration::from_hours(24);

#[derive(Clone, Copy, Debug)]
struct HoldOff {
    born: Option<u64>,
    until: BootInstant,
}

/// Pauses by upstream.
#[derive(Debug, Default)]
pub struct HoldOffs {
    upstreams: HashMap<UpstreamId, HoldOff>,
}

impl HoldOffs {
    /// Records that the process of `upstream` asked for a `pause` in a response that was received at `now`; returns whether
    /// it begins one.
    pub fn record(&mut self, upstream: &Registration, pause: Duration, now: BootInstant) -> bool {
        let before = self.wait(upstream, now);
        let until = now + before.max(pause.min(MAX_PAUSE));
        self.upstreams.retain(|_, held| now < held.until);
        if now < until {
            let born = upstream.born;
            let id = UpstreamId::clone(&upstream.id);
            self.upstreams.insert(id, HoldOff { born, until });
        }
        before.is_zero() && now < until
    }

    /// Returns the time for which `upstream` wants nothing.
    pub fn wait(&self, upstream: &Registration, now: BootInstant) -> Duration {
        let held = self.upstreams.get(&upstream.id);
        let held = held.filter(|held| held.born == upstream.born);
        held.map_or(Duration::ZERO, |held| held.until.since(now))
    }

    /// Drops what is known of an upstream that is gone.
    pub fn forget(&mut self, id: &str) {
        self.upstreams.remove(id);
    }
}
