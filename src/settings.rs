//! Settings of the processes: INI files checked as a whole, and the closed sets that they name.

use crate::{
    catalogue::impl_named_enum,
    configs::{
        dispatcher::DispatcherConfig, entry::EntryConfig, gateway::GatewayConfig, log::LogConfig,
    },
    findings::Findings,
    ini_doc::{self, Section},
};
use std::{
    fmt::{Display, Formatter},
    net::SocketAddr,
    path::Path,
    str::FromStr,
};

/// How a gateway chooses an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlacementPolicy {
    /// Least expected delay, with the cost of a load and of an eviction in the score.
    #[default]
    Cost,
    /// The upstream that rendezvous hashing of the adapter names.
    Hash,
    /// The upstream with the fewest requests.
    LeastLoaded,
    /// A random upstream.
    Random,
}

impl_named_enum!(PlacementPolicy, "expected cost, hash, least-loaded or random",
    "cost" => PlacementPolicy::Cost, "hash" => PlacementPolicy::Hash,
    "least-loaded" => PlacementPolicy::LeastLoaded, "random" => PlacementPolicy::Random);

/// How a holder chooses the adapter to evict.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EvictionPolicy {
    /// The least recently used.
    Lru,
    /// The one least often asked for.
    #[default]
    Value,
}

impl_named_enum!(EvictionPolicy, "expected lru or value",
    "lru" => EvictionPolicy::Lru, "value" => EvictionPolicy::Value);

/// A comma-separated list of addresses.
#[derive(Clone, Debug, Default)]
pub struct Addresses(pub Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        parts.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// Reads a file, or says why it could not be read.
fn read_file(path: &Path, findings: &mut Findings) -> Vec<Section> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => ini_doc::parse(&name, &text, findings),
        Err(e) => {
            findings.push(ini_doc::new_finding(&name, 0, "", "", &e.to_string()));
            Vec::new()
        }
    }
}

/// Reads a gateway's settings.
///
/// # Errors
/// All findings, sorted by place.
pub fn read_gateway(path: &Path) -> Result<GatewayConfig, Findings> {
    let mut out = GatewayConfig::default();
    let findings = read_sections(path, "gateway", |section, findings| {
        match section.name.as_str() {
            "gateway" => out.read_process(section, findings),
            "limits" => out.read_limits(section, findings),
            "log" => read_log(&mut out.log, section, findings),
            _ => findings.push(section.finding("", "expected gateway, limits or log")),
        }
    });
    findings.or_ok(out)
}

/// Reads a dispatcher's settings.
///
/// # Errors
/// All findings, sorted by place.
pub fn read_dispatcher(path: &Path) -> Result<DispatcherConfig, Findings> {
    let mut out = DispatcherConfig::default();
    let findings = read_sections(path, "dispatcher", |section, findings| {
        match section.name.as_str() {
            "dispatcher" => out.read_process(section, findings),
            "log" => read_log(&mut out.log, section, findings),
            _ => findings.push(section.finding("", "expected dispatcher or log")),
        }
    });
    findings.or_ok(out)
}

/// Reads an entry's settings.
///
/// # Errors
/// All findings, sorted by place.
pub fn read_entry(path: &Path) -> Result<EntryConfig, Findings> {
    let mut out = EntryConfig {
        source: path.to_owned(),
        ..EntryConfig::default()
    };
    let findings = read_sections(path, "entry", |section, findings| {
        match section.name.as_str() {
            "entry" => out.read_process(section, findings),
            "limits" => out.read_limits(section, findings),
            "log" => read_log(&mut out.log, section, findings),
            _ => findings.push(section.finding("", "expected entry, limits or log")),
        }
    });
    findings.or_ok(out)
}

/// Has `take` read every section of a file; also what is found where the section `required` is missing.
fn read_sections(
    path: &Path,
    required: &str,
    mut take: impl FnMut(&mut Section, &mut Findings),
) -> Findings {
    let mut findings = Findings::default();
    let mut seen = false;
    for mut section in read_file(path, &mut findings) {
        seen |= section.name == required;
        take(&mut section, &mut findings);
        section.report_unknown_keys(&mut findings);
    }
    if !seen {
        let file = path.display().to_string();
        findings.push(ini_doc::new_finding(
            &file,
            0,
            required,
            "",
            "the section is missing",
        ));
    }
    findings
}

fn read_log(log: &mut LogConfig, section: &mut Section, findings: &mut Findings) {
    section.read("level", &mut log.level, findings);
    section.read("form", &mut log.format, findings);
    section.read("output", &mut log.output, findings);
}
