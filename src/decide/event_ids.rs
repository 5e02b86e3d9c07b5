//! Decides by the IDs of events whether a response continues a stream.
//!
//! IDs only have to increase. Many builds number the events of a stream without gaps, though, and then an ID that skips some shows
//! that events are missing.
//!
//! | load pattern | response |
//! |---|---|
//! | an upstream that continues a stream repeats events, starts over, or leaves some out | the event does not continue the stream |
//! | a build numbers events by their tokens | its first responses show gaps; from then on its IDs only have to increase, at all entries |
//! | an event of a first response is lost or garbled | a single gap says nothing about other streams of the build |
//! | nothing is known about the build | a gap counts as missing events: a stream that breaks off does less harm than one that lacks some |

use crate::{edge::registration::Build, ident::StreamId};

/// Largest ID of a stream's first event where IDs have no gaps: numbering begins with 0 or 1.
const MAX_FIRST_ID: u64 = 1;

/// Gaps in one response from which on they belong to the numbering of its build.
const BUILD_GAPS: u32 = 2;

/// How the IDs of a build's events rise.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Numbering {
    /// By one, as far as it is known.
    #[default]
    Consecutive,
    /// By any number.
    Increasing,
}

/// Place of an event relative to the one before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventStep {
    /// It is the next one, however the build numbers its events.
    Next,
    /// It is the next one only if IDs have gaps; otherwise events are missing.
    Gap,
    /// It is not the next one.
    Other,
}

/// Where a stream stands after the events that were passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Position {
    /// Before its first event.
    Beginning,
    /// After the event with this ID.
    After(u64),
    /// After an event whose ID is missing or not larger than the one before.
    Unknown,
}

/// IDs of the events of a stream that were passed on.
#[derive(Clone, Copy, Debug)]
pub struct EventIds {
    position: Position,
    /// Whether the response being read continues the stream of another one.
    continues: bool,
    /// Gaps in the response that began the stream.
    gaps: u32,
    /// Whether the last event came after one of them: a garbled ID is followed by a smaller one.
    is_after_gap: bool,
}

impl EventIds {
    /// Creates the IDs of a stream that a response begins, or continues after event `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            position: last.map_or(Position::Beginning, Position::After),
            continues: last.is_some(),
            gaps: 0,
            is_after_gap: false,
        }
    }

    /// Records that another response continues the stream.
    pub fn resume(&mut self) {
        self.continues = true;
    }

    /// Returns whether the event with `id` may be passed on.
    ///
    /// # Errors
    /// It may not; what it is instead of the next one.
    pub fn check(&self, id: Option<u64>, numbering: Numbering) -> Result<(), EventStep> {
        if !self.continues {
            return Ok(());
        }
        match self.step(id) {
            EventStep::Next => Ok(()),
            EventStep::Gap if numbering == Numbering::Increasing || self.gaps > 0 => Ok(()),
            step => Err(step),
        }
    }

    fn step(&self, id: Option<u64>) -> EventStep {
        match (self.position, id) {
            (Position::Beginning, Some(id)) if id <= MAX_FIRST_ID => EventStep::Next,
            (Position::Beginning, Some(_)) => EventStep::Gap,
            (Position::After(last), Some(id)) if last.checked_add(1) == Some(id) => EventStep::Next,
            (Position::After(last), Some(id)) if id > last => EventStep::Gap,
            _ => EventStep::Other,
        }
    }

    /// Records that the event with `id` was passed on.
    pub fn record(&mut self, id: Option<u64>) {
        let step = self.step(id);
        if !self.continues {
            self.is_after_gap = step == EventStep::Gap;
            self.gaps += u32::from(self.is_after_gap);
        }
        self.position = match (step, id) {
            (EventStep::Next | EventStep::Gap, Some(id)) => Position::After(id),
            _ => Position::Unknown,
        };
    }

    /// Returns whether the response that began the stream shows that IDs of its build have gaps.
    pub fn shows_gaps(&self) -> bool {
        let confirmed = self.gaps - u32::from(self.is_after_gap);
        self.position != Position::Unknown && confirmed >= BUILD_GAPS
    }

    /// Returns whether it is known after which event the stream must be resumed.
    pub fn can_resume(&self) -> bool {
        self.position != Position::Unknown
    }

    /// Returns the ID of the last event.
    pub fn last(&self) -> Option<u64> {
        match self.position {
            Position::After(id) => Some(id),
            Position::Beginning | Position::Unknown => None,
        }
    }
}

/// Returns the ID under which entries remember that the event IDs of `build` have gaps, as they remember the streams that it
/// began. The ID of no request has a line end.
pub fn gaps_key(build: &Build) -> StreamId {
    StreamId::of(&format!("event IDs with gaps\n{build}"))
}
