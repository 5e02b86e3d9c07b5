//! Decides how the build that begins a stream is recorded, and which build goes on with a stream that a caller takes up.
//!
//! Every stream that may be taken up has a record, as nobody can tell while it begins what will be known when it is taken up: another
//! build may appear, and all that could conclude the build may end.
//!
//! | load pattern | response |
//! |---|---|
//! | a single build serves; entries are killed as the first upstream of another one starts, or all lose power | the control set is told of each stream with its next updates, and the store has it within half a second: few records are lost |
//! | a route is split between services of one build each | the same: a record does not depend on what could be concluded |
//! | a store outage, or an entry that has just started: nothing can be concluded for a minute | all entries are told at once |
//! | several builds serve | in addition, the store has the record before the caller gets the first event |
//! | a caller takes a stream up at an entry that has heard of its beginning, from a peer or from the store | the record goes before any conclusion |
//! | nobody has a record: the entry that began the stream ended before its next update | the only build that has served since it can have begun, if nothing is missing in the history of builds |
//! | several builds have served, or the history has a gap | the stream is refused: one that is cut off does less harm than one of two builds |

use crate::{clock::BootInstant, decide::build_history::BuildHistory, edge::registration::Build};
use std::sync::Arc;

/// How soon and how widely it is recorded which build begins a stream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Recording {
    /// The control set is told with the next updates, and the store soon.
    Deferred,
    /// All entries are told at once, and the store soon.
    Shared,
    /// All entries are told at once, and the store before the caller gets the first event.
    Durable,
}

impl Recording {
    /// Returns how streams that begin now are recorded.
    pub fn choose(history: &BuildHistory, now: BootInstant) -> Self {
        if history.has_several() {
            Self::Durable
        } else if history.is_certain(now) {
            Self::Deferred
        } else {
            Self::Shared
        }
    }

    /// Returns whether entries outside the control set are told as well, and at once.
    pub fn is_for_all(self) -> bool {
        self >= Self::Shared
    }
}

/// What tells the build that began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// An entry that remembers the stream.
    Entries,
    /// A record in the store.
    Store,
    /// The history of builds: no other one has served.
    OnlyBuild,
}

impl OriginSource {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entries => "entries",
            Self::Store => "store",
            Self::OnlyBuild => "only-build",
        }
    }
}

/// The build that began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// The build.
    pub build: Build,
    /// What tells it.
    pub source: OriginSource,
}

/// Question for the build that began a stream which no entry remembers.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// Services to which the stream's route leads.
    pub services: &'a [&'a Arc<str>],
    /// Time at which the caller asked.
    pub asked: BootInstant,
}

/// Returns the build that began a stream which no entry remembers; `stored` is that of its record in the store, if there is
/// one.
pub fn find_origin(
    question: Question<'_>,
    stored: Option<Build>,
    history: &BuildHistory,
    now: BootInstant,
) -> Option<Origin> {
    if let Some(build) = stored {
        let source = OriginSource::Store;
        return Some(Origin { build, source });
    }
    // Before that, this entry may have stood still or been cut off while another build began streams.
    if !history.is_read_since(question.asked) {
        return None;
    }
    let build = history.only_build(question.services, now)?.clone();
    let source = OriginSource::OnlyBuild;
    Some(Origin { build, source })
}
