//! A prompt's place in the prefill schedule of its engine.
//!
//! It ends with the attempt: an engine that rejects the request, or is never sent it, prefills nothing. Other entries can't take
//! back what they were told, so they are told of a large prompt in pieces, each when the one before it ends.

use crate::{
    clock::BootInstant,
    decide::prefill::{PIECE_TOKENS, Reservation, piece_interval},
    entry::{context::Entry, messages::PromptUpdate, send_log::SendRecord},
    holding::lock,
    ident::UpstreamId,
};
use std::{sync::Arc, time::Duration};
use tokio::task::AbortHandle;

/// Prefill of one prompt, taken back when dropped unless it has ended.
#[derive(Debug)]
pub struct PrefillReservation {
    entry: Arc<Entry>,
    upstream: UpstreamId,
    /// None if there is no prompt, or once it is prefilled.
    reserved: Option<Reservation>,
    /// Tokens of the prompt.
    tokens: u32,
    /// Expected time from sending to the first chunk of the response.
    pub expected: Duration,
    /// Task that tells other entries of the rest of a large prompt.
    telling: Option<AbortHandle>,
}

impl PrefillReservation {
    /// Creates the reservation of a request without a prompt.
    pub fn none(entry: &Arc<Entry>, upstream: &UpstreamId) -> Self {
        Self {
            entry: Arc::clone(entry),
            upstream: Arc::clone(upstream),
            reserved: None,
            tokens: 0,
            expected: Duration::ZERO,
            telling: None,
        }
    }

    /// Creates the reservation of a prompt of `tokens`, and tells other entries of it.
    pub fn new(
        entry: &Arc<Entry>,
        upstream: &UpstreamId,
        reserved: Reservation,
        tokens: u32,
        beginnings: Vec<PromptUpdate>,
    ) -> Self {
        let now = BootInstant::now();
        let told = lock(&entry.prefill).tell(upstream, reserved, tokens, now);
        tell(entry, upstream, told, beginnings);
        let ends = now + reserved.wait + reserved.expected;
        let telling = (tokens > PIECE_TOKENS).then(|| {
            let rest = tell_rest(Arc::clone(entry), Arc::clone(upstream), ends);
            tokio::spawn(rest).abort_handle()
        });
        Self {
            entry: Arc::clone(entry),
            upstream: Arc::clone(upstream),
            reserved: Some(reserved),
            tokens,
            expected: reserved.expected,
            telling,
        }
    }

    /// Records that the prompt is prefilled, as the response has begun.
    pub fn finish(&mut self) {
        self.reserved = None;
        self.stop_telling();
    }

    fn stop_telling(&mut self) {
        if let Some(telling) = self.telling.take() {
            telling.abort();
        }
    }
}

impl Drop for PrefillReservation {
    fn drop(&mut self) {
        self.stop_telling();
        if let Some(reserved) = self.reserved.take() {
            let now = BootInstant::now();
            lock(&self.entry.prefill).release(&self.upstream, reserved, self.tokens, now);
        }
    }
}

fn tell(entry: &Entry, upstream: &UpstreamId, tokens: u32, beginnings: Vec<PromptUpdate>) {
    lock(&entry.send_log).add(SendRecord {
        at: BootInstant::now(),
        source: None,
        upstream: Arc::clone(upstream),
        prompt_tokens: tokens,
        beginnings,
        ..SendRecord::default()
    });
    entry.notify_peers();
}

/// Tells other entries of a large prompt until its prefill `ends`.
async fn tell_rest(entry: Arc<Entry>, upstream: UpstreamId, ends: BootInstant) {
    loop {
        tokio::time::sleep(piece_interval()).await;
        if BootInstant::now() >= ends {
            return;
        }
        tell(&entry, &upstream, PIECE_TOKENS, Vec::new());
    }
}
