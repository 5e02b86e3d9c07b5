//! Server-sent events: splits a byte stream into the data of its events.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event kept, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is larger than allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLarge;

/// Splits events off a byte stream.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
}

impl EventParser {
    /// Adds received bytes.
    ///
    /// # Errors
    /// An event that is not ended yet is larger than allowed.
    pub fn push(&mut self, data: &[u8]) -> Result<(), EventTooLarge> {
        if self.buffer.len() + data.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Data of the next whole event.
    pub fn next_event(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(2).position(|w| w == b"\n\n")?;
            let event = self.buffer.split_to(end);
            self.buffer.advance(2);
            let text = String::from_utf8_lossy(&event);
            let data: Vec<&str> = text
                .lines()
                .filter_map(|l| l.strip_prefix("data:"))
                .map(str::trim_start)
                .collect();
            if !data.is_empty() {
                return Some(data.join("\n"));
            }
        }
    }
}

/// Formats one event.
pub fn format_event(data: &str) -> String {
    format!("data: {data}\n\n")
}

/// Cuts a byte stream after whole events and remembers the last one's number.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buffer: BytesMut,
    last: Option<u64>,
}

impl EventBuffer {
    /// A cutter of a stream that goes on after event `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last,
        }
    }

    /// Adds received bytes; the whole events that are there now.
    ///
    /// # Errors
    /// An event that is not ended yet is larger than allowed.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        self.buffer.extend_from_slice(data);
        let Some(end) = self.buffer.windows(2).rposition(|w| w == b"\n\n") else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventTooLarge)
            } else {
                Ok(None)
            };
        };
        let whole = self.buffer.split_to(end + 2).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Ok(Some(whole))
    }

    /// What came after the last whole event of a stream that ended whole.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = self.buffer.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Drops a part of an event that another upstream will send again.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Number of the last whole event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last
    }
}

/// Number of the last event in `events` that bears one.
fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|b| *b == b'\n').rev();
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
