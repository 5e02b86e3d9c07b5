//! Follows the events of a relayed stream.

use crate::{
    byte_budget::ByteAccount,
    decide::event_ids::{EventIds, EventStep, Numbering},
    sse::MAX_EVENT_BYTES,
};
use bytes::{Bytes, BytesMut};

/// Finds the ends of events in a byte stream: blank lines, with any of the line endings of the format.
#[derive(Clone, Copy, Debug)]
struct EventScanner {
    is_line_empty: bool,
    /// Whether the last byte was a carriage return; a line feed after it belongs to the same line ending.
    after_return: bool,
    /// Whether all bytes so far belong to complete events.
    at_boundary: bool,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            is_line_empty: true,
            after_return: false,
            at_boundary: true,
        }
    }
}

impl EventScanner {
    /// Adds received bytes and returns the positions after the complete events in them.
    fn push(&mut self, data: &[u8]) -> Vec<usize> {
        let ends = data.iter().enumerate();
        let ends = ends.filter(|(_, byte)| self.ends_event(**byte));
        ends.map(|(position, _)| position + 1).collect()
    }

    /// Adds one byte; returns whether the bytes up to it are complete events.
    fn ends_event(&mut self, byte: u8) -> bool {
        let continues_ending = byte == b'\n' && self.after_return;
        self.after_return = byte == b'\r';
        if continues_ending {
            return self.at_boundary;
        }
        let ends_line = matches!(byte, b'\r' | b'\n');
        self.at_boundary = ends_line && self.is_line_empty;
        self.is_line_empty = ends_line;
        self.at_boundary
    }
}

/// Which bytes of a stream a buffer passes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Buffering {
    /// Complete events only; the rest is kept until its event is complete.
    CompleteEvents,
    /// All bytes at once.
    None,
}

/// Why the events of a response can't be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventFault {
    /// An event that is not ended yet is larger than allowed.
    TooLarge,
    /// Too many bytes are buffered, of this event and of the responses to other requests.
    NoRoom,
    /// An event is the next one of the stream that the response continues only if the IDs of its build have gaps.
    Gap,
    /// An event is not the next one of the stream that the response continues.
    NotNext,
}

impl EventFault {
    /// Returns the description used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "event too large",
            Self::NoRoom => "no room to buffer the event",
            Self::Gap => "gap in the event ids",
            Self::NotNext => "event does not continue the stream",
        }
    }
}

/// Follows the events of a byte stream: whether it is inside one, and the ID of the last complete one.
#[derive(Debug)]
pub struct EventBuffer {
    buffering: Buffering,
    scanner: EventScanner,
    buffer: BytesMut,
    /// Size of the buffer.
    account: ByteAccount,
    /// Size of the incomplete event, in bytes.
    partial: usize,
    /// Whether the current upstream has sent a complete event.
    has_events: bool,
    ids: EventIds,
    /// How the IDs of the current upstream's events rise.
    numbering: Numbering,
    /// Whether [`Self::take_gaps`] has returned true.
    gaps_taken: bool,
    /// Found behind events that were still passed on.
    fault: Option<EventFault>,
}

impl EventBuffer {
    /// Creates a buffer of a stream that continues after event `last`; its size is recorded in `account`.
    pub fn new(buffering: Buffering, last: Option<u64>, account: ByteAccount) -> Self {
        Self {
            buffering,
            scanner: EventScanner::default(),
            buffer: BytesMut::new(),
            account,
            partial: 0,
            has_events: false,
            ids: EventIds::new(last),
            numbering: Numbering::default(),
            gaps_taken: false,
            fault: None,
        }
    }

    /// Adds received bytes and returns those to pass on. In a stream that continues another response, and of which complete
    /// events only are passed on, each event must be the next one by its ID.
    ///
    /// # Errors
    /// The first bytes that are not passed on can't be; [`Self::check`] returns the fault if others are passed on before.
    pub fn push(&mut self, data: Bytes) -> Result<Option<Bytes>, EventFault> {
        self.check()?;
        let ends = self.scanner.push(&data);
        self.partial = match ends.last() {
            Some(end) => data.len() - end,
            None => self.partial + data.len(),
        };
        if self.partial > MAX_EVENT_BYTES {
            self.fault = Some(EventFault::TooLarge);
        }
        if self.buffering == Buffering::None {
            self.has_events |= !ends.is_empty();
            self.check()?;
            return Ok(Some(data));
        }
        let kept = self.buffer.len();
        self.buffer.extend_from_slice(&data);
        let mut passed = 0;
        for end in ends {
            if let Err(fault) = self.add_event(passed, kept + end) {
                self.fault = Some(fault);
                break;
            }
            passed = kept + end;
        }
        let passed = (passed > 0).then(|| self.buffer.split_to(passed).freeze());
        if !self.account.resize(self.buffer.len()) {
            self.fault.get_or_insert(EventFault::NoRoom);
        }
        if passed.is_none() {
            self.check()?;
        }
        Ok(passed)
    }

    /// Records the event between these positions of the buffer.
    ///
    /// # Errors
    /// It is not the next one.
    fn add_event(&mut self, start: usize, end: usize) -> Result<(), EventFault> {
        let event = &self.buffer[start..end];
        if is_blank(event) {
            return Ok(());
        }
        let id = event_id(event);
        self.ids
            .check(id, self.numbering)
            .map_err(|step| match step {
                EventStep::Gap => EventFault::Gap,
                EventStep::Next | EventStep::Other => EventFault::NotNext,
            })?;
        self.ids.record(id);
        self.has_events = true;
        Ok(())
    }

    /// Passes events after gaps on as well until the stream is resumed; returns those that are buffered.
    ///
    /// # Errors
    /// As [`Self::push`].
    pub fn allow_gaps(&mut self) -> Result<Option<Bytes>, EventFault> {
        self.numbering = Numbering::Increasing;
        self.fault.take_if(|fault| *fault == EventFault::Gap);
        let buffered = std::mem::take(&mut self.buffer).freeze();
        // The buffer begins with an event.
        self.scanner = EventScanner::default();
        self.partial = 0;
        self.push(buffered)
    }

    /// Returns, once, that the response which began the stream shows gaps in the event IDs of its build.
    pub fn take_gaps(&mut self) -> bool {
        let shows_gaps = !self.gaps_taken && self.ids.shows_gaps();
        self.gaps_taken |= shows_gaps;
        shows_gaps
    }

    /// Returns whether the next bytes can be passed on.
    ///
    /// # Errors
    /// They can't, and neither can any after them.
    pub fn check(&self) -> Result<(), EventFault> {
        self.fault.map_or(Ok(()), Err)
    }

    /// Returns whether the stream so far ends inside an event, or before one that can't be passed on.
    pub fn is_inside_event(&self) -> bool {
        self.partial > 0 || self.fault.is_some()
    }

    /// Returns whether the current upstream has sent a complete event.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Returns whether it is known after which event the stream must be resumed.
    pub fn can_resume(&self) -> bool {
        self.ids.can_resume()
    }

    /// Discards an incomplete event, which another upstream will send again, and goes on with that one's bytes.
    pub fn resume(&mut self) {
        self.buffer = BytesMut::new();
        self.account.resize(0);
        self.scanner = EventScanner::default();
        self.partial = 0;
        self.has_events = false;
        self.ids.resume();
        self.numbering = Numbering::default();
        self.fault = None;
    }

    /// Returns the ID of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.ids.last()
    }
}

/// Returns whether `event` has no fields: blank lines and comments only.
fn is_blank(event: &[u8]) -> bool {
    lines(event).all(|line| line.is_empty() || line.starts_with(b":"))
}

/// Returns the ID of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let values = lines(event).filter_map(|line| line.strip_prefix(b"id:"));
    let value = values.last()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|b| matches!(b, b'\n' | b'\r'))
}
