//! Recent prefill reservations, kept to be sent to peers.

use crate::ident::UpstreamId;
use std::{collections::VecDeque, sync::Arc};

/// Number of reservations kept: about one second's worth at 500 prompts a second, and every peer gets several updates
/// in that time.
const CAPACITY: usize = 512;

/// Prompt that an entry reserved prefill time for.
#[derive(Clone, Debug)]
pub struct PromptReservation {
    /// Peer that reported it; `None` for this entry.
    pub source: Option<Arc<str>>,
    /// Engine that prefills the prompt.
    pub upstream: UpstreamId,
    /// Number of prompt tokens.
    pub tokens: u32,
}

/// Log of reservations, in the order in which they became known.
#[derive(Debug, Default)]
pub struct PromptLog {
    reservations: VecDeque<PromptReservation>,
    /// Number of the first reservation that is kept.
    first: u64,
}

impl PromptLog {
    /// Adds a reservation.
    pub fn add(&mut self, prompt: PromptReservation) {
        if self.reservations.len() >= CAPACITY {
            self.reservations.pop_front();
            self.first += 1;
        }
        self.reservations.push_back(prompt);
    }

    /// Returns the number of the next reservation.
    pub fn next(&self) -> u64 {
        self.first + self.reservations.len() as u64
    }

    /// Returns the reservations from number `from` on.
    pub fn since(&self, from: u64) -> impl Iterator<Item = &PromptReservation> {
        let skipped = from.saturating_sub(self.first) as usize;
        self.reservations.iter().skip(skipped)
    }
}
