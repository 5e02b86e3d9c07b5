//! Reads catalogue declarations from a directory of INI files and checks them as a whole.

use crate::{
    catalogue::{Adapter, Declaration, Declarations, Deployment, Pool, PoolKind, Service},
    findings::Findings,
    ident::is_valid_name,
    ini_doc::{self, Section},
};
use std::{collections::BTreeMap, io, path::Path, sync::Arc};

/// Extension of declaration files.
const EXTENSION: &str = "ini";

/// File and line of each declaration's section, for findings that need the complete catalogue.
type Locations = BTreeMap<String, (String, usize)>;

/// Reads all declaration files below `dir`.
///
/// # Errors
/// All findings, sorted by location.
pub fn read_dir(dir: &Path) -> Result<Declarations, Findings> {
    let mut findings = Findings::default();
    let mut files = match list_files(dir) {
        Ok(files) => files,
        Err(e) => {
            findings.push(ini_doc::new_finding(
                &dir.display().to_string(),
                0,
                "",
                "",
                &e.to_string(),
            ));
            return Err(findings);
        }
    };
    files.sort();
    let mut texts = Vec::with_capacity(files.len());
    for path in files {
        let name = path
            .strip_prefix(dir)
            .unwrap_or(&path)
            .display()
            .to_string();
        match std::fs::read_to_string(&path) {
            Ok(text) => texts.push((name, text)),
            Err(e) => findings.push(ini_doc::new_finding(&name, 0, "", "", &e.to_string())),
        }
    }
    read_texts(&texts, findings)
}

fn list_files(dir: &Path) -> io::Result<Vec<std::path::PathBuf>> {
    let mut out = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        let path = entry?.path();
        if path.is_dir() {
            out.extend(list_files(&path)?);
        } else if path.extension().is_some_and(|e| e == EXTENSION) {
            out.push(path);
        }
    }
    Ok(out)
}

/// Reads declarations from texts with their file names, adding to `findings`.
///
/// # Errors
/// All findings, sorted by location.
pub fn read_texts(
    texts: &[(String, String)],
    mut findings: Findings,
) -> Result<Declarations, Findings> {
    let mut declarations = Declarations::new();
    let mut locations = Locations::new();
    for (file, text) in texts {
        for section in ini_doc::parse(file, text, &mut findings) {
            read_section(
                file,
                section,
                &mut declarations,
                &mut locations,
                &mut findings,
            );
        }
    }
    check_references(&declarations, &locations, &mut findings);
    findings.or_ok(declarations)
}

fn read_section(
    file: &str,
    mut section: Section,
    declarations: &mut Declarations,
    locations: &mut Locations,
    findings: &mut Findings,
) {
    let key = section.name.clone();
    let (kind, name) = key.split_once(' ').unwrap_or((&key, ""));
    if kind != "deployment" && !is_valid_name(name) {
        findings.push(section.finding("", "expected `kind name` with letters, digits, - _ ."));
        return;
    }
    let declaration = match kind {
        "adapter" => Declaration::Adapter(read_adapter(&mut section, findings)),
        "deployment" => Declaration::Deployment(read_deployment(&mut section, findings)),
        "pool" => Declaration::Pool(read_pool(&mut section, findings)),
        "service" => Declaration::Service(read_service(&mut section, findings)),
        _ => {
            findings.push(section.finding("", "expected adapter, deployment, pool or service"));
            return;
        }
    };
    if let Some((other, line)) = locations.get(&key) {
        findings.push(section.finding("", &format!("also declared at {other}:{line}")));
    }
    locations.insert(key.clone(), (file.to_owned(), section.line));
    section.report_unknown_keys(findings);
    declarations.insert(key, declaration);
}

fn read_adapter(section: &mut Section, findings: &mut Findings) -> Adapter {
    let mut out = Adapter::default();
    let mut owner = String::new();
    section.require("owner", &mut owner, findings);
    section.require("base", &mut out.base, findings);
    section.read("class", &mut out.class, findings);
    section.read("in-flight", &mut out.in_flight, findings);
    out.versions = read_versions(section, findings);
    out.current = out.versions.iter().copied().max().unwrap_or(1);
    section.read("current", &mut out.current, findings);
    if !out.versions.contains(&out.current) {
        findings.push(section.finding("current", "not one of `versions`"));
    }
    if !is_valid_name(&owner) {
        findings.push(section.finding("owner", "expected letters, digits, - _ ."));
    }
    out.owner = Arc::from(owner);
    out
}

fn read_versions(section: &mut Section, findings: &mut Findings) -> Vec<u32> {
    let Some((_, text)) = section.take("versions") else {
        return vec![1];
    };
    let mut out = Vec::new();
    for part in text.split(',') {
        match part.trim().parse::<u32>() {
            Ok(v) if v > 0 => out.push(v),
            _ => findings
                .push(section.finding("versions", &format!("`{part}` is not a version above 0"))),
        }
    }
    out.sort_unstable();
    out.dedup();
    out
}

fn read_deployment(section: &mut Section, findings: &mut Findings) -> Deployment {
    let mut out = Deployment::default();
    section.read("load-rate", &mut out.load_rate, findings);
    section.read("load-streams", &mut out.load_streams, findings);
    section.read("objective", &mut out.objective, findings);
    if !(out.load_rate.is_finite() && out.load_rate > 0.0) {
        findings.push(section.finding("load-rate", "must be above 0"));
    }
    out
}

fn read_pool(section: &mut Section, findings: &mut Findings) -> Pool {
    let mut out = Pool::default();
    section.require("kind", &mut out.kind, findings);
    section.read("base", &mut out.base, findings);
    section.read("batch", &mut out.batch, findings);
    section.read("fencing", &mut out.fencing, findings);
    section.read("slots", &mut out.slots, findings);
    if out.batch == 0 {
        findings.push(section.finding("batch", "must be above 0"));
    }
    if out.kind == PoolKind::Engine && out.slots == 0 {
        findings.push(section.finding("slots", "must be above 0"));
    }
    out
}

fn read_service(section: &mut Section, findings: &mut Findings) -> Service {
    let mut out = Service::default();
    section.require("pool", &mut out.pool, findings);
    section.read("class", &mut out.class, findings);
    section.read("repeatable", &mut out.repeatable, findings);
    out
}

/// Checks that every base model and pool that a declaration refers to exists.
///
/// # Errors
/// All findings, by declaration.
pub fn check(declarations: &Declarations) -> Result<(), Findings> {
    let locations = declarations
        .keys()
        .map(|k| (k.clone(), ("catalogue".to_owned(), 0)))
        .collect();
    let mut findings = Findings::default();
    check_references(declarations, &locations, &mut findings);
    findings.or_ok(())
}

fn check_references(declarations: &Declarations, locations: &Locations, findings: &mut Findings) {
    for (key, declaration) in declarations {
        let problem = match declaration {
            Declaration::Adapter(a) if !serves_base(declarations, &a.base) => {
                format!("no engine pool has the base `{}`", a.base)
            }
            Declaration::Service(s) if !has_service_pool(declarations, &s.pool) => {
                format!("no service pool is named `{}`", s.pool)
            }
            _ => continue,
        };
        let (file, line) = &locations[key];
        findings.push(ini_doc::new_finding(file, *line, key, "", &problem));
    }
}

fn serves_base(declarations: &Declarations, base: &str) -> bool {
    declarations
        .range("pool ".to_owned()..)
        .any(|(_, e)| match e {
            Declaration::Pool(p) => p.kind == PoolKind::Engine && p.base == base,
            _ => false,
        })
}

fn has_service_pool(declarations: &Declarations, pool: &str) -> bool {
    match declarations.get(&format!("pool {pool}")) {
        Some(Declaration::Pool(p)) => p.kind == PoolKind::Service,
        _ => false,
    }
}
