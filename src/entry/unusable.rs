//! Objects in the store that can't be used: logs each once, and counts it.

use crate::{
    edge::store::{Listing, Object, ObjectKind},
    metrics,
};
use log::warn;
use serde::de::DeserializeOwned;
use std::{
    collections::HashSet,
    fmt::{Display, Write},
};

/// Longest text of a name or a reason in a log line, in characters.
const MAX_TEXT: usize = 300;

/// Objects of one kind that can't be used. However many there are, each read of the store adds at most one log line, and
/// an object is logged again only after it was usable or gone.
#[derive(Debug)]
pub struct UnusableObjects {
    kind: ObjectKind,
    known: HashSet<String>,
    /// Objects found since the last log line.
    new: u64,
    /// Name of the first of them, and why it can't be used.
    example: Option<(String, String)>,
}

impl UnusableObjects {
    /// Creates an empty set.
    pub fn new(kind: ObjectKind) -> Self {
        Self {
            kind,
            known: HashSet::new(),
            new: 0,
            example: None,
        }
    }

    /// Adds an object that can't be used.
    pub fn insert(&mut self, name: &str, reason: &dyn Display) {
        if !self.known.contains(name) {
            self.known.insert(name.to_owned());
            self.count(1, name, reason);
        }
    }

    /// Adds `count` objects whose names can't be read.
    pub fn insert_unnamed(&mut self, count: usize) {
        if count > 0 {
            self.count(count as u64, "", &"the name can't be read");
        }
    }

    fn count(&mut self, count: u64, name: &str, reason: &dyn Display) {
        self.new += count;
        self.example
            .get_or_insert_with(|| (shortened(&name), shortened(reason)));
    }

    /// Removes an object that is usable or gone.
    pub fn remove(&mut self, name: &str) {
        self.known.remove(name);
    }

    /// Keeps only objects that are `present`.
    pub fn retain(&mut self, present: &HashSet<&str>) {
        self.known.retain(|name| present.contains(name.as_str()));
    }

    /// Logs and counts the objects found since the last call.
    pub fn report(&mut self) {
        let Some((name, reason)) = self.example.take() else {
            return;
        };
        let count = std::mem::take(&mut self.new);
        metrics::unusable_objects(self.kind.as_str(), count);
        warn!(kind:? = self.kind, name = name, findings = reason, count = count; "an object can't be used");
    }
}

/// Writer that drops everything beyond [`MAX_TEXT`] characters.
struct Shortened {
    text: String,
    left: usize,
}

impl Write for Shortened {
    fn write_str(&mut self, s: &str) -> std::fmt::Result {
        for c in s.chars().take(self.left) {
            self.text.push(c);
            self.left -= 1;
        }
        Ok(())
    }
}

/// Returns at most [`MAX_TEXT`] characters of `value`.
fn shortened(value: &dyn Display) -> String {
    let mut out = Shortened {
        text: String::new(),
        left: MAX_TEXT,
    };
    // Writing to a string does not fail.
    let _ = write!(out, "{value}");
    out.text
}

/// Decodes the records of a listing; `None` for each that can't be used.
pub fn read_records<'a, T: DeserializeOwned>(
    unusable: &mut UnusableObjects,
    listing: &'a Listing,
) -> Vec<(&'a Object, Option<T>)> {
    let present = listing.objects.iter().map(|o| o.name.as_str()).collect();
    unusable.retain(&present);
    let mut records = Vec::new();
    for object in &listing.objects {
        match object.decode() {
            Ok(record) => {
                unusable.remove(&object.name);
                records.push((object, Some(record)));
            }
            Err(e) => {
                unusable.insert(&object.name, &e);
                records.push((object, None));
            }
        }
    }
    unusable.insert_unnamed(listing.unnamed);
    unusable.report();
    records
}
