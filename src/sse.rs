//! Parsing and formatting of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLarge;

/// Parser that extracts the data of events from a byte stream.
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

    /// Returns the data of the next complete event.
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

/// Formats an event.
pub fn format_event(data: &str) -> String {
    format!("data: {data}\n\n")
}

/// Buffer that passes on only complete events of a byte stream, and tracks the ID of the last one.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buffer: BytesMut,
    last: Option<u64>,
}

impl EventBuffer {
    /// Creates a buffer of a stream that continues after event `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last,
        }
    }

    /// Adds received bytes and returns the events that are now complete.
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
        let complete = self.buffer.split_to(end + 2).freeze();
        if let Some(id) = last_id(&complete) {
            self.last = Some(id);
        }
        Ok(Some(complete))
    }

    /// Takes the bytes after the last complete event, once the stream has ended.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = self.buffer.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Discards an incomplete event, which another upstream will send again.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the ID of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last
    }
}

/// Returns the ID of the last event in `events` that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|b| *b == b'\n').rev();
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
