//! Bounded queue of log lines; writing to it never blocks the caller.

use crate::metrics;
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

/// Capacity of the queue in lines; a few hundred kilobytes at most.
const MAX_LINES: usize = 2_048;

/// Longest wait for queued lines when the process exits.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Poll interval of that wait.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Number of lines that were queued and not written yet.
static PENDING_LINES: AtomicU64 = AtomicU64::new(0);

/// Writer that queues log lines for a background thread.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl LogQueue {
    /// Starts the thread that writes to standard output, and returns its queue.
    pub fn start() -> Self {
        let (lines, incoming) = sync_channel(MAX_LINES);
        std::thread::spawn(move || write_lines(&incoming));
        Self {
            lines,
            line: Vec::new(),
        }
    }

    /// Waits for a bounded time until all queued lines are written.
    pub fn drain() {
        let mut waited = Duration::ZERO;
        while PENDING_LINES.load(Ordering::Relaxed) > 0 && waited < DRAIN_TIMEOUT {
            std::thread::sleep(DRAIN_POLL);
            waited += DRAIN_POLL;
        }
    }
}

fn write_lines(incoming: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    for line in incoming {
        // A failure to write the log cannot be reported anywhere.
        let _failed = out.write_all(&line);
        PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Write for LogQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return Ok(());
        }
        PENDING_LINES.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(std::mem::take(&mut self.line)).is_err() {
            PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
            metrics::dropped_log_line();
        }
        Ok(())
    }
}
