//! Reads the processes' settings from INI files and reports all findings at once.

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

/// Policy by which a gateway chooses an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlacementPolicy {
    /// Lowest expected delay, including the cost of a load and of an eviction.
    #[default]
    Cost,
    /// Rendezvous hashing of the adapter.
    Hash,
    /// Fewest requests.
    LeastLoaded,
    /// Uniformly random.
    Random,
}

impl_named_enum!(PlacementPolicy, "expected cost, hash, least-loaded or random",
    "cost" => PlacementPolicy::Cost, "hash" => PlacementPolicy::Hash,
    "least-loaded" => PlacementPolicy::LeastLoaded, "random" => PlacementPolicy::Random);

/// Policy by which a holder chooses the adapter to evict.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EvictionPolicy {
    /// Least recently used.
    Lru,
    /// Lowest request rate.
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

/// Reads the sections of a file; a file that cannot be read is a finding.
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
/// All findings, sorted by location.
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
/// All findings, sorted by location.
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
/// All findings, sorted by location.
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

/// Calls `read_section` for every section of a file and returns the findings, one of them if the section `required`
/// is missing.
fn read_sections(
    path: &Path,
    required: &str,
    mut read_section: impl FnMut(&mut Section, &mut Findings),
) -> Findings {
    let mut findings = Findings::default();
    let mut has_required = false;
    for mut section in read_file(path, &mut findings) {
        has_required |= section.name == required;
        read_section(&mut section, &mut findings);
        section.report_unknown_keys(&mut findings);
    }
    if !has_required {
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
