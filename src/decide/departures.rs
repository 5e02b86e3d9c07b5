//! Remembers upstream processes that announced their shutdown or were removed, so that older knowledge doesn't bring them
//! back.
//!
//! | load pattern | response |
//! |---|---|
//! | an upstream announces in its responses that it shuts down, while its registration does not say so yet or never does | this process counts as leaving, whatever its registration says, for [`ANNOUNCED_HOLD`] |
//! | a peer or a copy of the store that is behind lists a process that was removed | only a later heartbeat of the process brings it back, or the end of [`REMOVED_HOLD`] |

use crate::{clock::BootInstant, edge::registration::Registration, ident::UpstreamId};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time for which an announced shutdown holds: well over the time that an upstream takes to leave. One that is registered
/// as serving after that was announced by mistake.
const ANNOUNCED_HOLD: Duration = Duration::from_mins(1);

/// Time for which a removed process is remembered; longer than any source can be behind.
const REMOVED_HOLD: Duration = Duration::from_secs(30);

/// A process of an upstream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Process {
    id: UpstreamId,
    born: Option<u64>,
}

impl Process {
    fn of(registration: &Registration) -> Self {
        Self {
            id: Arc::clone(&registration.id),
            born: registration.born,
        }
    }
}

/// A removed process.
#[derive(Clone, Copy, Debug)]
struct Removed {
    at: BootInstant,
    /// Its last heartbeat.
    beat: u64,
}

/// Processes that leave or have left.
#[derive(Debug, Default)]
pub struct Departures {
    announced: HashMap<Process, BootInstant>,
    removed: HashMap<Process, Removed>,
}

impl Departures {
    /// Records that the process of `upstream` announced its shutdown; returns whether that is new.
    pub fn announce(&mut self, upstream: &Registration, now: BootInstant) -> bool {
        let since = self.announced.insert(Process::of(upstream), now);
        since.is_none()
    }

    /// Returns whether the process of `upstream` has announced its shutdown.
    pub fn is_announced(&self, upstream: &Registration) -> bool {
        self.announced.contains_key(&Process::of(upstream))
    }

    /// Records that the process of `upstream` was removed.
    pub fn remove(&mut self, upstream: &Registration, now: BootInstant) {
        let beat = upstream.beat;
        let removed = Removed { at: now, beat };
        self.removed.insert(Process::of(upstream), removed);
    }

    /// Returns whether `upstream` describes a process as it was before its removal.
    pub fn is_outdated(&self, upstream: &Registration) -> bool {
        let removed = self.removed.get(&Process::of(upstream));
        removed.is_some_and(|r| upstream.beat <= r.beat)
    }

    /// Forgets that a process was removed, as it has registered again.
    pub fn restore(&mut self, upstream: &Registration) {
        self.removed.remove(&Process::of(upstream));
    }

    /// Drops what is no longer remembered.
    pub fn expire(&mut self, now: BootInstant) {
        self.announced
            .retain(|_, since| now.since(*since) < ANNOUNCED_HOLD);
        self.removed
            .retain(|_, removed| now.since(removed.at) < REMOVED_HOLD);
    }
}
