//! Spreads prompts over time, so that no engine reads too many at once.
//!
//! Load pattern: an engine reads prompts in large pieces between the tokens of its running streams. When prompts
//! of some ten thousand tokens arrive at one engine within a third of a second, every stream there pauses for
//! longer than its callers accept, although the engine has free places. All entries keep the same schedule of
//! each engine's reading and send a prompt only when little is left to read before it.

use crate::{clock::BootInstant, ident::UpstreamId};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Prompt tokens that an engine reads in a second, as the deployments' sheets say.
const READ_RATE: f64 = 38_100.0;

/// Reading that may be outstanding at an engine when a prompt is sent there; together with the longest prompts
/// of about 180 ms it stays under the 300 ms for which a stream may pause.
const OUTSTANDING: Duration = Duration::from_millis(80);

/// When each engine will have read all prompts that were reserved there.
#[derive(Debug, Default)]
pub struct PrefillSchedule {
    done: HashMap<UpstreamId, BootInstant>,
}

/// Time that an engine takes to read `tokens`.
pub fn read_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / READ_RATE)
}

impl PrefillSchedule {
    /// Reading that is outstanding at `upstream`.
    pub fn outstanding(&self, upstream: &str, now: BootInstant) -> Duration {
        self.done
            .get(upstream)
            .map_or(Duration::ZERO, |t| t.since(now))
    }

    /// Time until a prompt may be sent to `upstream`.
    pub fn wait(&self, upstream: &str, now: BootInstant) -> Duration {
        self.outstanding(upstream, now).saturating_sub(OUTSTANDING)
    }

    /// Reserves the reading of `tokens` at `upstream`, after all that is reserved there.
    pub fn reserve(&mut self, upstream: &UpstreamId, tokens: u32, now: BootInstant) {
        let done = self.done.entry(Arc::clone(upstream)).or_insert(now);
        *done = (*done).max(now) + read_time(tokens);
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &str) {
        self.done.remove(upstream);
    }
}
