//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Longest run.
const LONGEST: Duration = Duration::from_secs(116);

/// Record of a run.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Opens `record.txt` in the folder that the first argument names.
    pub fn open() -> Self {
        std::panic::set_hook(Box::new(|info| stop(2, &info.to_string())));
        std::thread::spawn(|| {
            std::thread::sleep(LONGEST);
            stop(2, "the run takes too long");
        });
        let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
        let file = File::create(folder.join("record.txt"))
            .unwrap_or_else(|e| stop(2, &format!("record: {e}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let at = self.start.elapsed().as_millis();
        let _written = writeln!(
            self.file.lock().unwrap(),
            "{:>7}.{:03} {line}",
            at / 1000,
            at % 1000
        );
    }

    /// Returns the milliseconds from the start to `at`.
    pub fn ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis() as u64
    }

    /// Ends the run: 1 if the rule was broken, 0 if it held.
    pub fn end(&self, broken: bool, summary: &str) -> ! {
        let verdict = if broken { "BROKEN" } else { "HELD" };
        self.add(&format!("{verdict}: {summary}"));
        println!("{verdict}: {summary}");
        stop(i32::from(broken), "")
    }

    /// Ends the run: it could not be played.
    pub fn cannot_run(&self, why: &str) -> ! {
        self.add(&format!("CANNOT RUN: {why}"));
        stop(2, why)
    }
}

/// Ends all processes that were started, and this one.
pub fn stop(code: i32, why: &str) -> ! {
    if !why.is_empty() {
        eprintln!("{why}");
    }
    crate::entry::kill_all();
    std::process::exit(code)
}
