//! Prompts that entries reserved lately, for those that are told of them.

use crate::ident::UpstreamId;
use std::{collections::VecDeque, sync::Arc};

/// Reservations kept; at 500 prompts a second, those of the last second, in which each receiver gets several updates.
const KEPT: usize = 512;

/// One reservation.
#[derive(Clone, Debug)]
pub struct PromptReservation {
    /// Entry that told of it; `None` for this one.
    pub source: Option<Arc<str>>,
    /// Engine.
    pub upstream: UpstreamId,
    /// Prompt tokens.
    pub tokens: u32,
}

/// Reservations in the order in which they became known.
#[derive(Debug, Default)]
pub struct PromptLog {
    kept: VecDeque<PromptReservation>,
    /// Number of the first one that is kept.
    first: u64,
}

impl PromptLog {
    /// Adds a reservation.
    pub fn add(&mut self, prompt: PromptReservation) {
        if self.kept.len() >= KEPT {
            self.kept.pop_front();
            self.first += 1;
        }
        self.kept.push_back(prompt);
    }

    /// Number of the next reservation.
    pub fn next(&self) -> u64 {
        self.first + self.kept.len() as u64
    }

    /// Reservations from number `from` on.
    pub fn since(&self, from: u64) -> impl Iterator<Item = &PromptReservation> {
        let skipped = from.saturating_sub(self.first) as usize;
        self.kept.iter().skip(skipped)
    }
}
