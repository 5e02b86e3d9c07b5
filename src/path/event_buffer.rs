//! Follows the events of a relayed stream.

use crate::sse::{EventTooLarge, MAX_EVENT_BYTES};
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
    /// Adds received bytes and returns the position after the last complete event in them, if one ends there.
    fn push(&mut self, data: &[u8]) -> Option<usize> {
        let ends = data.iter().enumerate();
        let ends = ends.filter(|(_, byte)| self.ends_event(**byte));
        ends.last().map(|(position, _)| position + 1)
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

/// Follows the events of a byte stream: whether it is inside one, and the ID of the last complete one.
#[derive(Debug)]
pub struct EventBuffer {
    buffering: Buffering,
    scanner: EventScanner,
    buffer: BytesMut,
    /// Size of the incomplete event, in bytes.
    partial: usize,
    /// Whether the current upstream has sent a complete event.
    has_events: bool,
    last: Option<u64>,
}

impl EventBuffer {
    /// Creates a buffer of a stream that continues after event `last`.
    pub fn new(buffering: Buffering, last: Option<u64>) -> Self {
        Self {
            buffering,
            scanner: EventScanner::default(),
            buffer: BytesMut::new(),
            partial: 0,
            has_events: false,
            last,
        }
    }

    /// Adds received bytes and returns those to pass on.
    ///
    /// # Errors
    /// An event that is not ended yet is larger than allowed.
    pub fn push(&mut self, data: Bytes) -> Result<Option<Bytes>, EventTooLarge> {
        let end = self.scanner.push(&data);
        self.partial = match end {
            Some(end) => data.len() - end,
            None => self.partial + data.len(),
        };
        self.has_events |= end.is_some();
        if self.partial > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        if self.buffering == Buffering::None {
            return Ok(Some(data));
        }
        let kept = self.buffer.len();
        self.buffer.extend_from_slice(&data);
        let Some(end) = end else {
            return Ok(None);
        };
        let complete = self.buffer.split_to(kept + end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last = Some(id);
        }
        Ok(Some(complete))
    }

    /// Returns whether the stream so far ends inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.partial > 0
    }

    /// Returns whether the current upstream has sent a complete event.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Discards an incomplete event, which another upstream will send again, and goes on with that one's bytes.
    pub fn discard_partial(&mut self) {
        *self = Self::new(self.buffering, self.last);
    }

    /// Returns the ID of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last
    }
}

/// Returns the ID of the last event in `events` that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|b| matches!(b, b'\n' | b'\r')).rev();
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
