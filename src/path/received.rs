//! Parts of an upstream's response, as they are received.

use crate::http_client::ListenerState;
use bytes::Bytes;

/// Why an upstream's response can't be read further.
#[derive(Clone, Copy, Debug)]
pub struct Break {
    /// Description for logs.
    pub problem: &'static str,
    /// Whether something listens at the upstream's address, where another entry has checked that.
    pub listener: Option<ListenerState>,
}

impl Break {
    /// Creates a break after which nothing is known of the listener.
    pub fn new(problem: &'static str) -> Self {
        Self {
            problem,
            listener: None,
        }
    }
}

/// Next part of an upstream's response.
pub enum Received {
    /// Bytes of its body.
    Data(Bytes),
    /// Nothing that is passed on.
    Nothing,
    /// The regular end of its response.
    End,
    /// The deadline has passed.
    TimedOut,
    /// It can't be read further.
    Broken(Break),
}
