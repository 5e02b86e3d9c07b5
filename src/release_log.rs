//! Log of upstreams that this process has released, for peers that wait to take them over.

use crate::ident::{Generation, UpstreamId};
use std::collections::VecDeque;

/// Releases kept for subscribers that connect later.
const MAX_RELEASES: usize = 1_024;

/// The latest releases, numbered from the process's start.
#[derive(Debug, Default)]
pub struct ReleaseLog {
    discarded: usize,
    latest: VecDeque<(UpstreamId, Generation)>,
}

impl ReleaseLog {
    /// Adds a release and discards the oldest beyond the limit.
    pub fn push(&mut self, release: (UpstreamId, Generation)) {
        self.latest.push_back(release);
        if self.latest.len() > MAX_RELEASES {
            self.latest.pop_front();
            self.discarded += 1;
        }
    }

    /// Returns the releases after the first `known` ones, and the total number of releases so far.
    pub fn after(&self, known: usize) -> (Vec<(UpstreamId, Generation)>, usize) {
        let skip = known.saturating_sub(self.discarded);
        let new = self.latest.iter().skip(skip).cloned().collect();
        (new, self.discarded + self.latest.len())
    }
}
