//! Follows the events of a relayed stream.

use crate::{byte_budget::ByteAccount, sse::MAX_EVENT_BYTES};
use bytes::{Bytes, BytesMut};

/// Largest ID of a stream's first event: numbering begins with 0 or 1.
const MAX_FIRST_ID: u64 = 1;

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
    /// An event is not the next one of the stream that the response continues.
    NotNext,
}

impl EventFault {
    /// Returns the description used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "event too large",
            Self::NoRoom => "no room to buffer the event",
            Self::NotNext => "event does not continue the stream",
        }
    }
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

impl Position {
    fn advance(&mut self, id: Option<u64>) {
        *self = match (*self, id) {
            (Self::Beginning, Some(id)) => Self::After(id),
            (Self::After(last), Some(id)) if id > last => Self::After(id),
            _ => Self::Unknown,
        };
    }

    /// Returns whether the event with `id` is the next one.
    fn continues_with(self, id: Option<u64>) -> bool {
        match (self, id) {
            (Self::Beginning, Some(id)) => id <= MAX_FIRST_ID,
            (Self::After(last), Some(id)) => last.checked_add(1) == Some(id),
            (Self::Unknown, _) | (_, None) => false,
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
    position: Position,
    /// Whether the current upstream continues a stream that another response began.
    continues: bool,
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
            position: last.map_or(Position::Beginning, Position::After),
            continues: last.is_some(),
            fault: None,
        }
    }

    /// Adds received bytes and returns those to pass on. In a stream that continues another response, and of which complete
    /// events only are passed on, each event must have the ID that follows the last one.
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
            if !self.add_event(passed, kept + end) {
                self.fault = Some(EventFault::NotNext);
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

    /// Records the event between these positions of the buffer; false if it is not the next one.
    fn add_event(&mut self, start: usize, end: usize) -> bool {
        let event = &self.buffer[start..end];
        if is_blank(event) {
            return true;
        }
        let id = event_id(event);
        if self.continues && !self.position.continues_with(id) {
            return false;
        }
        self.position.advance(id);
        self.has_events = true;
        true
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
        self.position != Position::Unknown
    }

    /// Discards an incomplete event, which another upstream will send again, and goes on with that one's bytes.
    pub fn resume(&mut self) {
        self.buffer = BytesMut::new();
        self.account.resize(0);
        self.scanner = EventScanner::default();
        self.partial = 0;
        self.has_events = false;
        self.continues = true;
        self.fault = None;
    }

    /// Returns the ID of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        match self.position {
            Position::After(id) => Some(id),
            Position::Beginning | Position::Unknown => None,
        }
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
