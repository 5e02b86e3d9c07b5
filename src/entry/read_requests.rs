//! Requests that wait for a read of the store that begins after they asked. One read serves all that wait.

use std::time::Duration;
use tokio::sync::watch;

/// Counters of the reads that are wanted and done.
#[derive(Debug, Default)]
pub struct ReadRequests {
    /// Number of the last read that a request waits for.
    wanted: watch::Sender<u64>,
    /// Number of the last read that has ended.
    done: watch::Sender<u64>,
}

impl ReadRequests {
    /// Waits for a read that begins after this call, for at most `limit`; returns whether one has ended.
    pub async fn wait(&self, limit: Duration) -> bool {
        let mut done = self.done.subscribe();
        self.wanted.send_modify(|n| *n += 1);
        let wanted = *self.wanted.borrow();
        let read = done.wait_for(|n| *n >= wanted);
        tokio::time::timeout(limit, read).await.is_ok()
    }

    /// Returns the requests from now on, for the reader.
    pub fn subscribe(&self) -> Wanted {
        Wanted(self.wanted.subscribe())
    }

    /// Answers the requests up to `number`, which was returned by [`Wanted::next`] before the read.
    pub fn finish(&self, number: u64) {
        self.done.send_replace(number);
    }
}

/// Requests that the reader has not seen yet.
#[derive(Debug)]
pub struct Wanted(watch::Receiver<u64>);

impl Wanted {
    /// Waits for further requests, and returns the number of the last one; `None` once none can come.
    pub async fn next(&mut self) -> Option<u64> {
        self.0.changed().await.ok()?;
        Some(*self.0.borrow_and_update())
    }
}
