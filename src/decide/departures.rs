//! Remembers upstream processes that announced their shutdown.
//!
//! | load pattern | response |
//! |---|---|
//! | an upstream announces in its responses that it shuts down, while its registration does not say so yet or never does | this process counts as leaving, whatever its registration says, for [`ANNOUNCED_HOLD`] |

use crate::{clock::BootInstant, edge::registration::Registration, ident::UpstreamId};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time for which an announced shutdown holds: well over the time that an upstream takes to leave. One that is registered
/// as serving after that was announced by mistake.
const ANNOUNCED_HOLD: Duration = Duration::from_secs(60);

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

/// Processes that leave.
#[derive(Debug, Default)]
pub struct Departures {
    announced: HashMap<Process, BootInstant>,
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

    /// Drops what is no longer remembered.
    pub fn expire(&mut self, now: BootInstant) {
        self.announced
            .retain(|_, since| now.since(*since) < ANNOUNCED_HOLD);
    }
}
