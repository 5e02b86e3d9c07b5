//! Judges whether what this entry has read from the store is still current.
//!
//! | load pattern | response |
//! |---|---|
//! | the store's side of a pending watch falls silent: a cut, a freeze, a connection that only looks alive | the watch counts only while other calls are answered; after a gap of more than [`FRESH`], everything is listed again |
//! | peers act on what this entry tells them | it claims to be current only within [`FRESH`] |

use crate::clock::BootInstant;
use std::time::Duration;

/// Longest time since the last answered call was sent for which a pending watch is believed to deliver changes; half of
/// the shortest time in which a change must take effect everywhere.
pub const FRESH: Duration = Duration::from_secs(1);

/// Contact with the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// Send time of the last call that was answered.
    answered: Option<BootInstant>,
}

impl Contact {
    /// Records the answer to a call that was sent at `sent`. Returns whether the contact was interrupted before.
    pub fn record_answer(&mut self, sent: BootInstant) -> bool {
        let before = self.answered;
        self.answered = before.max(Some(sent));
        before.is_some_and(|before| sent.since(before) > FRESH)
    }

    /// Returns the time since the last answered call was sent, if there was any.
    pub fn age(&self, now: BootInstant) -> Option<Duration> {
        self.answered.map(|sent| now.since(sent))
    }

    /// Returns whether changes up to `now` were delivered, or are about to be.
    pub fn is_fresh(&self, now: BootInstant) -> bool {
        self.age(now).is_some_and(|age| age <= FRESH)
    }
}
