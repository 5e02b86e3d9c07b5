//! Parses INI text into sections whose keys have line numbers.

use crate::findings::{Finding, Findings};
use ini::Ini;
use std::{collections::HashMap, fmt::Display, str::FromStr};

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known key is suggested for an unknown one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.6;

/// A section with its entries that have not been read yet.
#[derive(Debug)]
pub struct Section {
    /// Name; empty for entries before the first header.
    pub name: String,
    /// Line of the header.
    pub line: usize,
    file: String,
    entries: HashMap<String, (usize, String)>,
    known_keys: Vec<&'static str>,
}

/// Parses `text` with `rust-ini` and adds each entry's line, which the library does not report.
pub fn parse(file: &str, text: &str, findings: &mut Findings) -> Vec<Section> {
    let doc = match Ini::load_from_str(text) {
        Ok(doc) => doc,
        Err(e) => {
            findings.push(new_finding(file, e.line + 1, "", "", &e.msg));
            return Vec::new();
        }
    };
    let lines = LineIndex::new(text);
    let mut sections = Vec::new();
    for (ordinal, (name, props)) in doc.iter().enumerate() {
        let name = name.unwrap_or("").to_owned();
        if name.is_empty() && props.is_empty() {
            continue;
        }
        let mut entries = HashMap::new();
        for (key, value) in props {
            let line = lines.entry_line(ordinal, key);
            if entries
                .insert(key.to_owned(), (line, value.to_owned()))
                .is_some()
            {
                findings.push(new_finding(
                    file,
                    line,
                    &name,
                    key,
                    "the key is given twice",
                ));
            }
        }
        let line = lines.header_line(ordinal);
        sections.push(Section {
            name,
            line,
            file: file.to_owned(),
            entries,
            known_keys: Vec::new(),
        });
    }
    sections
}

/// Builds a finding.
pub fn new_finding(file: &str, line: usize, section: &str, key: &str, problem: &str) -> Finding {
    Finding {
        file: file.to_owned(),
        line,
        section: section.to_owned(),
        key: key.to_owned(),
        problem: problem.to_owned(),
    }
}

impl Section {
    /// Removes `key` and returns its line and text.
    pub fn take(&mut self, key: &'static str) -> Option<(usize, String)> {
        self.known_keys.push(key);
        self.entries.remove(key)
    }

    /// Parses `key` into `target`; leaves `target` as it is if the key is absent or invalid.
    pub fn read<T>(&mut self, key: &'static str, target: &mut T, findings: &mut Findings)
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some((line, text)) = self.take(key) else {
            return;
        };
        match text.trim().parse() {
            Ok(value) => *target = value,
            Err(e) => {
                let problem = format!("`{text}`: {e}");
                findings.push(new_finding(&self.file, line, &self.name, key, &problem));
            }
        }
    }

    /// Parses `key` into `target` as `read` does, and reports it if it is missing.
    pub fn require<T>(&mut self, key: &'static str, target: &mut T, findings: &mut Findings)
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.entries.contains_key(key) {
            self.read(key, target, findings);
        } else {
            self.known_keys.push(key);
            findings.push(self.finding("", &format!("the key `{key}` is missing")));
        }
    }

    /// Builds a finding about this section.
    pub fn finding(&self, key: &str, problem: &str) -> Finding {
        new_finding(&self.file, self.line, &self.name, key, problem)
    }

    /// Reports every entry that was not read, with the most similar known key.
    pub fn report_unknown_keys(self, findings: &mut Findings) {
        for (key, (line, _)) in &self.entries {
            let suggestion = self
                .known_keys
                .iter()
                .map(|k| (strsim::jaro_winkler(k, key), k))
                .max_by(|a, b| a.0.total_cmp(&b.0))
                .filter(|(score, _)| *score >= MIN_SUGGESTION_SIMILARITY);
            let problem = match suggestion {
                Some((_, k)) => format!("unknown key; the nearest known one is `{k}`"),
                None => "unknown key".to_owned(),
            };
            findings.push(new_finding(&self.file, *line, &self.name, key, &problem));
        }
    }
}

/// Line numbers of headers and keys, by the ordinal of the section.
#[derive(Debug)]
struct LineIndex {
    headers: Vec<usize>,
    keys: HashMap<(usize, String), usize>,
}

impl LineIndex {
    fn new(text: &str) -> Self {
        let mut headers = vec![0];
        let mut keys = HashMap::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                headers.push(number + 1);
            } else if let Some((key, _)) = line.split_once(['=', ':']) {
                let at = (headers.len() - 1, key.trim().to_owned());
                keys.insert(at, number + 1);
            }
        }
        Self { headers, keys }
    }

    fn header_line(&self, ordinal: usize) -> usize {
        self.headers.get(ordinal).copied().unwrap_or(0)
    }

    fn entry_line(&self, ordinal: usize, key: &str) -> usize {
        let at = (ordinal, key.to_owned());
        self.keys
            .get(&at)
            .copied()
            .unwrap_or_else(|| self.header_line(ordinal))
    }
}
