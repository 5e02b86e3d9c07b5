//! Tells which builds of a service can have begun a stream whose beginning is not known.
//!
//! | load pattern | response |
//! |---|---|
//! | an entry ends before it could report a stream | its beginning is certain where a single build has served since it can have begun |
//! | a release, forth or back, with any number of builds | a build counts for [`RETENTION`] after its last upstream |
//! | a stand-still or a cut of this entry while another build joins and begins streams elsewhere | what was known before the request came proves nothing: the registered upstreams are read again |
//! | a start, or a store that this entry doesn't reach | nothing is certain unless a peer that stayed up has the history |
//! | a report that is read late, after a stand-still or out of a slow link | its builds count, but it proves nothing about the time since it was made |

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

/// Time over which no build is missing.
#[derive(Clone, Copy, Debug)]
struct Span {
    since: BootInstant,
    until: BootInstant,
}

impl Span {
    /// Returns both as one if nothing can have been missed between them, and otherwise the later one.
    fn join(self, other: Self) -> Self {
        let (earlier, later) = if self.until <= other.until {
            (self, other)
        } else {
            (other, self)
        };
        let gap = later.since.since(earlier.until);
        let since = if gap <= FRESHNESS {
            later.since.min(earlier.since)
        } else {
            later.since
        };
        Self { since, ..later }
    }
}

/// Builds of all services that have served recently.
#[derive(Debug, Default)]
pub struct BuildHistory {
    /// Time at which each build was last seen.
    seen: HashMap<Build, BootInstant>,
    /// Time over which no build is missing, up to the last confirmation.
    complete: Option<Span>,
    /// Begin of the last read of all registered upstreams.
    read: Option<BootInstant>,
}

impl BuildHistory {
    /// Creates the history of a process that starts at `now` with the whole system, before which no upstream has served.
    pub fn of_first_start(now: BootInstant) -> Self {
        let since = BootInstant::default();
        Self {
            complete: Some(Span { since, until: now }),
            ..Self::default()
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
        let (since, until) = (now, now);
        self.add_span(Span { since, until });
    }

    fn add_span(&mut self, span: Span) {
        self.complete = Some(self.complete.map_or(span, |known| known.join(span)));
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

    /// Returns the time over which no build is missing, up to now; `None` if the registered upstreams are not certain now.
    fn complete_for(&self, now: BootInstant) -> Option<Duration> {
        let span = self.complete?;
        (now.since(span.until) <= FRESHNESS).then(|| now.since(span.since))
    }

    /// Returns whether no build is missing that can have begun a stream.
    pub fn is_certain(&self, now: BootInstant) -> bool {
        self.complete_for(now).is_some_and(|time| time >= RETENTION)
    }

    /// Returns what has been seen, for another entry.
    pub fn report(&self, now: BootInstant) -> BuildReport {
        let millis = |at| now.since(at).as_millis() as u64;
        let builds = self.seen.iter().map(|(build, seen)| SeenBuild {
            build: build.clone(),
            age_ms: millis(*seen),
        });
        BuildReport {
            builds: builds.collect(),
            complete_ms: self.complete_for(now).map_or(0, |t| t.as_millis() as u64),
        }
    }

    /// Adds the builds of a report of any age.
    pub fn merge(&mut self, report: &BuildReport, now: BootInstant) {
        for SeenBuild { build, age_ms } in &report.builds {
            let seen = self.seen.entry(build.clone()).or_default();
            *seen = (*seen).max(now - Duration::from_millis(*age_ms));
        }
        self.seen.retain(|_, seen| now.since(*seen) <= RETENTION);
    }

    /// Adds a report that was made after `asked`, so that its time without a missing build reaches up to then at least.
    pub fn merge_reply(&mut self, report: &BuildReport, asked: BootInstant, now: BootInstant) {
        self.merge(report, now);
        let since = now - Duration::from_millis(report.complete_ms);
        if since < asked {
            let until = asked;
            self.add_span(Span { since, until });
        }
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
