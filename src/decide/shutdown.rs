//! Decides which requests are taken while the process shuts down.
//!
//! | load pattern | answer |
//! |---|---|
//! | callers that use a cached address for seconds after the stop signal | a request is taken while its response will end before the process does, by its deadline or by the forecast |
//! | the few callers that come once no address may be cached any more | other entries take them: only a request whose deadline ends before the process does is taken, as a forecast is no promise |
//! | requests that wait for an adapter or other prompts when the signal comes | they may wait as long as their response still ends in time, and no longer |
//! | long answers, or requests of unknown length | refused at once, so that the caller can send them to another entry |
//! | most late requests come in the first second, when nearly all of them can end in time | the later a request comes, the surer its forecast must be: refusing many at once loads the other entries, refusing the last few does not |

use crate::clock::BootInstant;
use std::time::Duration;

/// Part of similar requests that must end in time for a request to be taken, when the shutdown begins.
const FIRST_CONFIDENCE: f64 = 0.9;

/// The same just before no caller may use a cached address any more. It takes a long history, so that most requests are
/// refused.
const LAST_CONFIDENCE: f64 = 0.99;

/// A graceful shutdown under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// Time at which it was requested.
    pub requested: BootInstant,
    /// Time for which callers may still use a cached address.
    pub cached: Duration,
    /// Time at which requests still in flight are dropped.
    pub limit: BootInstant,
}

impl Shutdown {
    /// Returns the time since it was requested.
    pub fn elapsed(&self, now: BootInstant) -> Duration {
        now.since(self.requested)
    }

    /// Returns the time until requests in flight are dropped.
    pub fn time_left(&self, now: BootInstant) -> Duration {
        self.limit.since(now)
    }

    /// Returns the part of similar requests that must end in time for one that arrived at `arrived` to be taken.
    pub fn confidence(&self, arrived: BootInstant) -> f64 {
        let passed = self.elapsed(arrived).as_secs_f64();
        let progress = passed / self.cached.as_secs_f64().max(f64::MIN_POSITIVE);
        FIRST_CONFIDENCE + (LAST_CONFIDENCE - FIRST_CONFIDENCE) * progress.min(1.0)
    }

    /// Returns how long a request may wait before it is sent; `None` if its response may not end in time however soon it is
    /// sent. `arrived` is the time of its arrival, `deadline` the time until its deadline, and `run_time` the forecast for its
    /// run, if there is one.
    pub fn max_wait(
        &self,
        now: BootInstant,
        arrived: BootInstant,
        deadline: Duration,
        run_time: Option<Duration>,
    ) -> Option<Duration> {
        let left = self.time_left(now);
        if deadline <= left {
            return Some(deadline);
        }
        let forecast = run_time.filter(|_| self.elapsed(arrived) < self.cached);
        left.checked_sub(forecast?)
    }
}
