//! Remembers which build began each recent stream, so that only this one goes on with it.
//!
//! | load pattern | response |
//! |---|---|
//! | callers of a failed VM resume their streams at other VMs | every entry learns which build began a stream |
//! | a VM starts again, or a link between two VMs was down | the first update on a link has all streams that are remembered |
//! | more streams begin than can be remembered | the oldest are dropped, and count as unknown |

use crate::{clock::BootInstant, edge::registration::Build, ident::StreamId};
use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Time for which a stream is remembered: longer than any caller waits for its end.
pub const RETENTION: Duration = Duration::from_mins(1);

/// Largest number of streams that are remembered.
pub const CAPACITY: usize = 65_536;

/// Number of shared copies of builds above which unused ones are dropped.
const SHARED_BUILDS: usize = 64;

/// A stream that has begun.
#[derive(Clone, Debug)]
pub struct BegunStream {
    /// Request that brought its first event.
    pub id: StreamId,
    /// Build of the upstream that began it.
    pub build: Arc<Build>,
    /// Peer that reported it; `None` if it began at this entry.
    pub source: Option<Arc<str>>,
    /// Time at which it became known here.
    pub at: BootInstant,
}

/// Recent streams, in the order in which they became known.
#[derive(Debug, Default)]
pub struct BegunStreams {
    streams: VecDeque<BegunStream>,
    /// Number of the first stream that is remembered.
    first: u64,
    known: HashMap<StreamId, Arc<Build>>,
    /// One copy of each build.
    builds: HashSet<Arc<Build>>,
}

/// Effect of [`BegunStreams::add`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddResult {
    /// It is remembered.
    Added,
    /// It was known.
    Known,
    /// It is remembered in place of one that is younger than [`RETENTION`].
    Displaced,
}

impl BegunStreams {
    /// Remembers a stream, unless it is known; the first build that was named for it counts.
    pub fn add(
        &mut self,
        id: StreamId,
        build: &Build,
        source: Option<Arc<str>>,
        now: BootInstant,
    ) -> AddResult {
        if self.known.contains_key(&id) {
            return AddResult::Known;
        }
        let mut result = AddResult::Added;
        self.expire(now);
        if self.streams.len() >= CAPACITY {
            self.drop_first();
            result = AddResult::Displaced;
        }
        let build = self.shared(build);
        self.known.insert(id, Arc::clone(&build));
        self.streams.push_back(BegunStream {
            id,
            build,
            source,
            at: now,
        });
        result
    }

    /// Returns the build that began a stream, if it is remembered.
    pub fn build_of(&self, id: StreamId) -> Option<&Arc<Build>> {
        self.known.get(&id)
    }

    /// Returns the number of the next stream.
    pub fn next(&self) -> u64 {
        self.first + self.streams.len() as u64
    }

    /// Returns the streams from number `from` on.
    pub fn since(&self, from: u64) -> impl Iterator<Item = &BegunStream> {
        let skipped = from.saturating_sub(self.first) as usize;
        self.streams.iter().skip(skipped)
    }

    fn expire(&mut self, now: BootInstant) {
        let is_old = |s: &BegunStream| now.since(s.at) > RETENTION;
        while self.streams.front().is_some_and(is_old) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some(dropped) = self.streams.pop_front() {
            self.first += 1;
            self.known.remove(&dropped.id);
        }
    }

    fn shared(&mut self, build: &Build) -> Arc<Build> {
        if let Some(shared) = self.builds.get(build) {
            return Arc::clone(shared);
        }
        if self.builds.len() >= SHARED_BUILDS {
            self.builds.retain(|b| Arc::strong_count(b) > 1);
        }
        let shared = Arc::new(build.clone());
        self.builds.insert(Arc::clone(&shared));
        shared
    }
}
