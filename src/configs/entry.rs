//! Settings of an entry.

use crate::{
    configs::log::LogConfig,
    decide::{control_set, retry_budget::RetryLimits},
    findings::Findings,
    ini_doc::Section,
    settings::Addresses,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

const BYTES_PER_MB: f64 = 1_048_576.0;

/// Share of the VM's memory that bodies of callers' requests may take up.
const UPLOAD_SHARE: f64 = 0.35;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Limits of the retry budget.
    pub budget: RetryLimits,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Minimum number of entries that watch the store and hold engines.
    pub control_entries: usize,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address at which callers request the list of entries.
    pub directory: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Time from a stop signal until the platform kills the process.
    pub grace: Duration,
    /// Name of the VM.
    pub id: String,
    /// Key shared by the system's own processes.
    pub key: String,
    /// Address that other entries connect to.
    pub link: SocketAddr,
    /// Log settings.
    pub log: LogConfig,
    /// Memory of the VM, in megabytes.
    pub memory_mb: f64,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Seed link addresses of other entries, which need not be running.
    pub peers: Addresses,
    /// Fraction of a processor that the VM has.
    pub processor: f64,
    /// Address at which the platform probes readiness.
    pub ready: SocketAddr,
    /// File from which the settings were read.
    pub source: PathBuf,
    /// Address of the platform's store.
    pub store: SocketAddr,
}

impl Default for EntryConfig {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            budget: RetryLimits::default(),
            callers: local(8080),
            control_entries: control_set::MIN_MEMBERS,
            data_centre: String::from("local"),
            directory: local(8082),
            first_start: false,
            grace: Duration::from_secs(8),
            id: String::from("entry-1"),
            key: String::from("carobfield"),
            link: local(8090),
            log: LogConfig::default(),
            memory_mb: 256.0,
            operators: local(8091),
            peers: Addresses::default(),
            processor: 1.0,
            ready: local(8083),
            source: PathBuf::new(),
            store: local(7000),
        }
    }
}

impl EntryConfig {
    /// Returns how many bytes the bodies of callers' requests may take up together.
    pub fn upload_bytes(&self) -> usize {
        (self.memory_mb * BYTES_PER_MB * UPLOAD_SHARE) as usize
    }

    /// Reads the section `entry`.
    pub fn read_process(&mut self, section: &mut Section, findings: &mut Findings) {
        section.require("id", &mut self.id, findings);
        section.require("data-centre", &mut self.data_centre, findings);
        section.require("callers", &mut self.callers, findings);
        section.require("directory", &mut self.directory, findings);
        section.require("ready", &mut self.ready, findings);
        section.require("link", &mut self.link, findings);
        section.require("operators", &mut self.operators, findings);
        section.require("store", &mut self.store, findings);
        section.read("key", &mut self.key, findings);
        section.read("peers", &mut self.peers, findings);
        section.read("control-entries", &mut self.control_entries, findings);
        section.read("processor", &mut self.processor, findings);
        section.read("memory-mb", &mut self.memory_mb, findings);
        section.read("first-start", &mut self.first_start, findings);
        if self.link == self.callers {
            findings.push(section.finding("link", "the same address as `callers`"));
        }
    }

    /// Reads the section `limits`.
    pub fn read_limits(&mut self, section: &mut Section, findings: &mut Findings) {
        let mut grace = self.grace.as_secs_f64();
        let mut window = self.budget.window.as_secs_f64();
        section.read("grace-s", &mut grace, findings);
        section.read("repeat-ratio", &mut self.budget.ratio, findings);
        section.read("repeat-slack", &mut self.budget.slack, findings);
        section.read("repeat-window-s", &mut window, findings);
        for (key, value, slot) in [
            ("grace-s", grace, &mut self.grace),
            ("repeat-window-s", window, &mut self.budget.window),
        ] {
            match Duration::try_from_secs_f64(value) {
                Ok(time) => *slot = time,
                Err(e) => findings.push(section.finding(key, &e.to_string())),
            }
        }
    }
}
