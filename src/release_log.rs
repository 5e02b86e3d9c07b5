//! Upstreams that this process no longer holds, for peers that wait to hear so.

use crate::ident::{Generation, UpstreamId};
use std::collections::VecDeque;

/// Releases remembered for subscribers that connect later.
const MAX_RELEASES: usize = 1_024;

/// The latest releases, counted from the process's start.
#[derive(Debug, Default)]
pub struct ReleaseLog {
    forgotten: usize,
    latest: VecDeque<(UpstreamId, Generation)>,
}

impl ReleaseLog {
    /// Adds a release and forgets the oldest beyond the limit.
    pub fn push(&mut self, release: (UpstreamId, Generation)) {
        self.latest.push_back(release);
        if self.latest.len() > MAX_RELEASES {
            self.latest.pop_front();
            self.forgotten += 1;
        }
    }

    /// Releases after the `known` first ones, and how many there were in all.
    pub fn after(&self, known: usize) -> (Vec<(UpstreamId, Generation)>, usize) {
        let skip = known.saturating_sub(self.forgotten);
        let news = self.latest.iter().skip(skip).cloned().collect();
        (news, self.forgotten + self.latest.len())
    }
}
