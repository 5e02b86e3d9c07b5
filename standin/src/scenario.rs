//! Scenarios of the experiment tool, read from INI files.

use crate::layout::Layout;
use carobfield::{
    findings::Findings,
    ini_doc::{self, Section},
};
use std::{path::Path, str::FromStr};

/// Kind of an event that is injected during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// The popularity ranking of the adapters is reversed.
    PopularityShift,
    /// An engine restarts without adapters.
    EngineRestart,
    /// The gateway and the dispatcher of one VM are killed.
    EntryKill,
    /// The weight store serves at half its rate.
    WeightsHalved,
    /// A caller repeatedly sends a request that crashes engines.
    Poison,
}

impl FromStr for EventKind {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "popularity-shift" => Ok(Self::PopularityShift),
            "engine-restart" => Ok(Self::EngineRestart),
            "entry-kill" => Ok(Self::EntryKill),
            "weights-halved" => Ok(Self::WeightsHalved),
            "poison" => Ok(Self::Poison),
            _ => Err(
                "expected popularity-shift, engine-restart, entry-kill, weights-halved or poison",
            ),
        }
    }
}

/// An event and its time.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Seconds after the start of the measured part.
    pub at: f64,
    /// Kind of the event.
    pub kind: EventKind,
}

/// A workload on a deployment.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Layout of the deployment.
    pub layout: Layout,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the warm-up before the measured part, in seconds.
    pub warmup: f64,
    /// Duration of the measured part, in seconds.
    pub duration: f64,
    /// Exponent of the Zipf distribution of adapter popularity.
    pub zipf: f64,
    /// Minimum number of tokens of a response.
    pub tokens_min: u64,
    /// Maximum number of tokens of a response.
    pub tokens_max: u64,
    /// Number of different prompt prefixes per adapter.
    pub prefixes: u64,
    /// Timeout of each class, the most urgent first, in milliseconds.
    pub deadlines: [u64; 3],
    /// Event during the run.
    pub event: Option<Event>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: String::from("unnamed"),
            layout: Layout {
                log: String::from("warn"),
                class: class_of,
                owner: |n| format!("owner-{}", n % 20),
                ..Layout::default()
            },
            rate: 20.0,
            warmup: 8.0,
            duration: 30.0,
            zipf: 1.1,
            tokens_min: 20,
            tokens_max: 60,
            prefixes: 3,
            deadlines: [6_000, 10_000, 20_000],
            event: None,
        }
    }
}

/// Returns the class of an adapter by its number: one in five interactive, two in five standard.
pub fn class_of(n: u32) -> &'static str {
    match n % 5 {
        0 => "interactive",
        1 | 2 => "standard",
        _ => "batch",
    }
}

/// Reads a scenario file.
///
/// # Errors
/// Returns all findings, sorted by their position in the file.
pub fn read(path: &Path) -> Result<Scenario, Findings> {
    let mut findings = Findings::default();
    let name = path.display().to_string();
    let mut scenario = Scenario::default();
    if let Some(stem) = path.file_stem() {
        scenario.name = stem.to_string_lossy().into_owned();
    }
    match std::fs::read_to_string(path) {
        Ok(text) => {
            for mut section in ini_doc::parse(&name, &text, &mut findings) {
                match section.name.as_str() {
                    "deployment" => read_deployment(&mut scenario, &mut section, &mut findings),
                    "load" => read_load(&mut scenario, &mut section, &mut findings),
                    "event" => read_event(&mut scenario, &mut section, &mut findings),
                    _ => findings.push(section.finding("", "expected deployment, load or event")),
                }
                section.report_unknown_keys(&mut findings);
            }
        }
        Err(e) => findings.push(ini_doc::new_finding(&name, 0, "", "", &e.to_string())),
    }
    findings.or_ok(scenario)
}

fn read_deployment(scenario: &mut Scenario, section: &mut Section, findings: &mut Findings) {
    let layout = &mut scenario.layout;
    section.read("entries", &mut layout.entries, findings);
    section.read("engines", &mut layout.engines, findings);
    section.read("open-engines", &mut layout.open_engines, findings);
    section.read("services", &mut layout.services, findings);
    section.read("slots", &mut layout.slots, findings);
    section.read("batch", &mut layout.batch, findings);
    section.read("adapters", &mut layout.adapters, findings);
    section.read("data-centres", &mut layout.centres, findings);
    section.read("load-rate", &mut layout.load_rate, findings);
    section.read("objective", &mut layout.objective, findings);
    section.read("step-us", &mut layout.step_us, findings);
}

fn read_load(scenario: &mut Scenario, section: &mut Section, findings: &mut Findings) {
    section.read("rate", &mut scenario.rate, findings);
    section.read("warmup-s", &mut scenario.warmup, findings);
    section.read("duration-s", &mut scenario.duration, findings);
    section.read("zipf", &mut scenario.zipf, findings);
    section.read("tokens-min", &mut scenario.tokens_min, findings);
    section.read("tokens-max", &mut scenario.tokens_max, findings);
    section.read("prefixes", &mut scenario.prefixes, findings);
    section.read("interactive-ms", &mut scenario.deadlines[0], findings);
    section.read("standard-ms", &mut scenario.deadlines[1], findings);
    section.read("batch-ms", &mut scenario.deadlines[2], findings);
}

fn read_event(scenario: &mut Scenario, section: &mut Section, findings: &mut Findings) {
    let mut event = Event {
        at: 0.0,
        kind: EventKind::PopularityShift,
    };
    section.require("kind", &mut event.kind, findings);
    section.read("at-s", &mut event.at, findings);
    scenario.event = Some(event);
}
