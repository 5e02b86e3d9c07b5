//! Tells which builds of a service can have begun a stream whose beginning is not known.
//!
//! | load pattern | response |
//! |---|---|
//! | an entry ends before it could report a stream | its beginning is certain where a single build has served since it can have begun |
//! | a release, forth or back, with any number of builds | a build counts for [`RETENTION`] after its last upstream |
//! | a stand-still or a cut of this entry while another build joins and begins streams elsewhere | what was known before the request came proves nothing: the registered upstreams are read again |
//! | a start, or a store that this entry doesn't reach | nothing is certain unless a peer or the entry's record in the store has the history |

use crate::{clock::BootInstant, decide::begun_streams::RETENTION, edge::registration::Build};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time for which the registered upstreams are certain after they were read; a watch of the store takes four seconds.
const FRESHNESS: Duration = Duration::from_secs(5);

/// A build and the time since an upstream of it was last registered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenBuild {
    /// The build.
    pub build: Build,
    /// Time since it was last seen, in milliseconds.
    pub age_ms: u64,
}

/// The builds that an entry has seen.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BuildReport {
    /// Recent builds.
    pub builds: Vec<SeenBuild>,
    /// Time over which no build is missing, up to now, in milliseconds.
    pub complete_ms: u64,
}

/// Builds of all services that have served recently.
#[derive(Debug)]
pub struct BuildHistory {
    /// Time at which each build was last seen.
    seen: HashMap<Build, BootInstant>,
    /// Time from which on no build is missing.
    complete_since: BootInstant,
    /// Time at which the registered upstreams were last certain.
    confirmed: Option<BootInstant>,
    /// Begin of the last read of all registered upstreams.
    read: Option<BootInstant>,
}

impl BuildHistory {
    /// Creates an empty history that misses nothing from `complete_since` on.
    pub fn new(complete_since: BootInstant) -> Self {
        Self {
            seen: HashMap::new(),
            complete_since,
            confirmed: None,
            read: None,
        }
    }

    /// Records that upstreams of `builds` are registered.
    pub fn observe(&mut self, builds: impl Iterator<Item = Build>, now: BootInstant) {
        for build in builds {
            self.seen.insert(build, now);
        }
        self.seen.retain(|_, seen| now.since(*seen) <= RETENTION);
    }

    /// Records that the registered upstreams are certain. After a gap, builds may have come and gone meanwhile.
    pub fn confirm(&mut self, now: BootInstant) {
        if self.confirmed.is_some_and(|at| now.since(at) > FRESHNESS) {
            self.complete_since = now;
        }
        self.confirmed = Some(now);
    }

    /// Records that all registered upstreams were read, and that the read began at `begun`.
    pub fn confirm_read(&mut self, begun: BootInstant, now: BootInstant) {
        self.confirm(now);
        self.read = self.read.max(Some(begun));
    }

    /// Returns whether a read of all registered upstreams has begun since `since`.
    pub fn is_read_since(&self, since: BootInstant) -> bool {
        self.read.is_some_and(|begun| begun >= since)
    }

    fn is_fresh(&self, now: BootInstant) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) <= FRESHNESS)
    }

    /// Returns whether no build is missing that can have begun a stream.
    fn is_certain(&self, now: BootInstant) -> bool {
        self.is_fresh(now) && now.since(self.complete_since) >= RETENTION
    }

    /// Returns whether other entries must know which build began a stream, as they could not conclude it.
    pub fn needs_beginnings(&self, now: BootInstant) -> bool {
        !self.is_certain(now) || self.has_several()
    }

    /// Returns what has been seen, for another entry or a later process.
    pub fn report(&self, now: BootInstant) -> BuildReport {
        let millis = |at| now.since(at).as_millis() as u64;
        let builds = self.seen.iter().map(|(build, seen)| SeenBuild {
            build: build.clone(),
            age_ms: millis(*seen),
        });
        BuildReport {
            builds: builds.collect(),
            // Up to now only if the registered upstreams are certain now.
            complete_ms: if self.is_fresh(now) {
                millis(self.complete_since)
            } else {
                0
            },
        }
    }

    /// Adds a report that is `age` old.
    pub fn merge(&mut self, report: &BuildReport, age: Duration, now: BootInstant) {
        let time = |ms| now - age - Duration::from_millis(ms);
        for SeenBuild { build, age_ms } in &report.builds {
            let seen = self.seen.entry(build.clone()).or_default();
            *seen = (*seen).max(time(*age_ms));
        }
        self.seen.retain(|_, seen| now.since(*seen) <= RETENTION);
        self.complete_since = self.complete_since.min(time(report.complete_ms));
    }

    /// Returns the only build of `services` that can have begun a stream, if that is certain.
    pub fn only_build(&self, services: &[&Arc<str>], now: BootInstant) -> Option<&Build> {
        if !self.is_certain(now) {
            return None;
        }
        let mut builds = self.seen.keys().filter(|b| services.contains(&&b.service));
        let only = builds.next();
        only.filter(|_| builds.next().is_none())
    }

    /// Returns whether several builds of a service have served recently.
    pub fn has_several(&self) -> bool {
        let mut services: Vec<&str> = self.seen.keys().map(|b| &*b.service).collect();
        services.sort_unstable();
        services.windows(2).any(|pair| pair[0] == pair[1])
    }
}
