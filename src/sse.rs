//! Parsing and formatting of server-sent events.

use bytes::{Buf, BytesMut};
use http::{HeaderMap, header};

/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

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

/// Returns whether a response with these headers may be an event stream.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(header::CONTENT_TYPE) else {
        return true;
    };
    let value = value.as_bytes();
    let media_type = value.split(|b| *b == b';').next().unwrap_or_default();
    media_type.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM)
}
