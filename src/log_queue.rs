//! A bounded queue of log lines that never blocks who logs.

use crate::metrics;
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

/// Lines that wait to be written; a few hundred kilobytes at most.
const MAX_LINES: usize = 2_048;

/// Longest wait for the last lines at the end of the process.
const DRAIN_LIMIT: Duration = Duration::from_millis(200);

/// Interval between looks whether they are written.
const DRAIN_STEP: Duration = Duration::from_millis(5);

/// Lines that were queued and not written yet.
static WAITING: AtomicU64 = AtomicU64::new(0);

/// Puts lines into the queue.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl LogQueue {
    /// Starts the thread that writes to standard output.
    pub fn start() -> Self {
        let (lines, incoming) = sync_channel(MAX_LINES);
        std::thread::spawn(move || write_lines(&incoming));
        Self {
            lines,
            line: Vec::new(),
        }
    }

    /// Waits a little for lines that are not written yet.
    pub fn drain() {
        let mut waited = Duration::ZERO;
        while WAITING.load(Ordering::Relaxed) > 0 && waited < DRAIN_LIMIT {
            std::thread::sleep(DRAIN_STEP);
            waited += DRAIN_STEP;
        }
    }
}

fn write_lines(incoming: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    for line in incoming {
        // Nobody is left to tell of a failure here.
        let _failed = out.write_all(&line);
        WAITING.fetch_sub(1, Ordering::Relaxed);
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
        WAITING.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(std::mem::take(&mut self.line)).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
            metrics::dropped_log_line();
        }
        Ok(())
    }
}
