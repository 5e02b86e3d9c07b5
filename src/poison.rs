//! Decides which requests are refused because upstreams crash under them: repeats of one request, and requests that
//! share a part of their prompts.
//!
//! | load pattern | response |
//! |---|---|
//! | a caller repeats a request that crashes each upstream | refused after two crashes |
//! | requests of which no two are alike share a part that crashes each engine that begins to respond to it | the part is refused once three engines crashed at different moments under at least two requests with it and none has responded to it since |
//! | the same with a part that was served before | after five crashes over 0.8 s |
//! | many engines crash at once | they count as one crash; parts that other engines respond to are cleared within [`SETTLE_TIME`], before it counts |
//! | a part that no engine has responded to crashes all engines at so few moments that an outage of theirs looks the same | it is on probation unless other engines crashed beside these: one entry at a time sends one request with it, whose response or crash decides |
//! | sound requests are in flight beside such crashes | a crash that a refused part explains counts against nothing else |
//! | a sound part is refused all the same | one entry tries it with one request after ten seconds, the next one five seconds later if the first got no such request; a response clears the part, a crash makes the next wait longer |

use crate::{
    clock::{BootInstant, Moment},
    crash_limits::{
        CRASH_GAP_MS, Limits, NEW_PART_LIMITS, PROBATION_LIMITS, PROVEN_PART_LIMITS,
        REQUEST_LIMITS, SETTLE_TIME,
    },
    crash_times::{CrashTimes, Process},
    refused_subject::RefusedSubject,
    wire::{LostRun, Strike, StrikeEvent, Subject},
};
use log::warn;
use rapidhash::v3::rapidhash_v3;
use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

/// Time for which a strike counts, in milliseconds.
pub const STRIKE_TTL_MS: u64 = 600_000;

/// Subjects tracked at once.
const MAX_SUSPECTS: usize = 16_384;

/// Crashes kept of one subject, the latest ones.
const MAX_LOSSES: usize = 64;

/// Refused subjects in one record in the store, to keep the record well below the size of a value there.
const MAX_STORED: usize = 256;

/// Time from the last crash under a refused part to the first trial.
const FIRST_TRIAL_MS: u64 = 10_000;

/// Factor by which each trial that failed prolongs the wait for the next one.
const TRIAL_BACKOFF: u64 = 4;

/// Pause between crashes under a refused part that makes the later one that of a trial.
const TRIAL_GAP_MS: u64 = FIRST_TRIAL_MS / 2;

/// Time for which the outcome of a trial is awaited before the next one.
const TRIAL_TIME: Duration = Duration::from_secs(5);

/// Crashes under a part on probation for each one at the same moments that was not under it.
const PROBATION_SHARE: usize = 8;

/// Time from a crash under a part on probation to the next request with it: by then the crash counts at all entries.
const PROBATION_GAP: Duration = Duration::from_millis(500);

/// Time for which the outcome of a request with a part on probation is awaited before the next one.
const PROBATION_TIME: Duration = Duration::from_secs(1);

/// Time after which callers may return while the outcome of a trial is awaited.
const TRIAL_RETRY: Duration = Duration::from_secs(1);

/// Returns the hash of what stays the same when a caller repeats a request, such as its path and body.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    rapidhash_v3(&parts.join(&0))
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Like any other request.
    Allow,
    /// Only alone on one upstream of its pool.
    Probation,
    /// Not at all.
    Refuse,
}

/// A crash under a request with the subject.
#[derive(Clone, Copy, Debug)]
struct Loss {
    request: u64,
    at_ms: u64,
    /// Time from which its age is counted on this VM.
    known: BootInstant,
}

/// The request that tries a part that is refused or on probation.
#[derive(Clone, Copy, Debug)]
struct Trial {
    ticket: u64,
    ends: BootInstant,
}

/// Whether a request tries a part that is refused or on probation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrialState {
    /// It does not: another one does, or it is too early.
    NotDue,
    /// It begins to.
    Begun,
    /// It has begun before.
    Running,
}

/// Crashes under one subject, and when strikes were last recorded or cleared.
#[derive(Clone, Debug, Default)]
struct Suspect {
    lost: HashMap<Process, Loss>,
    cleared_ms: u64,
    last_ms: u64,
    depth: u8,
    proven: bool,
    trial: Option<Trial>,
}

impl Suspect {
    /// Records a crash of an upstream's process; returns whether it was new.
    fn record_lost(&mut self, run: &LostRun, at_ms: u64, now: Moment) -> bool {
        let is_expired = at_ms.saturating_add(STRIKE_TTL_MS) < self.last_ms;
        if at_ms <= self.cleared_ms || is_expired {
            return false;
        }
        if self.last_ms.saturating_add(STRIKE_TTL_MS) < at_ms {
            self.lost.clear();
        }
        let process = (Arc::clone(&run.upstream), run.boot);
        if self.lost.contains_key(&process) || !self.make_room(at_ms) {
            return false;
        }
        let age = Duration::from_millis(now.unix_ms.saturating_sub(at_ms));
        let loss = Loss {
            request: run.request,
            at_ms,
            known: now.boot - age.min(SETTLE_TIME),
        };
        self.lost.insert(process, loss);
        self.last_ms = self.last_ms.max(at_ms);
        self.depth = self.depth.max(run.depth);
        self.proven |= run.proven;
        self.trial = None;
        true
    }

    /// Drops the oldest crash if there are too many to keep one at `at_ms`; false if that one is older still.
    fn make_room(&mut self, at_ms: u64) -> bool {
        if self.lost.len() < MAX_LOSSES {
            return true;
        }
        let oldest = self.lost.iter().min_by_key(|(_, loss)| loss.at_ms);
        let Some((process, _)) = oldest.filter(|(_, loss)| loss.at_ms < at_ms) else {
            return false;
        };
        let process = process.clone();
        self.lost.remove(&process);
        true
    }

    /// Records a response to the subject; returns whether it cleared any strikes.
    fn record_cleared(&mut self, at_ms: u64) -> bool {
        if at_ms <= self.cleared_ms || self.last_ms > at_ms {
            return false;
        }
        let had_strikes = !self.lost.is_empty();
        *self = Self {
            cleared_ms: at_ms,
            last_ms: self.last_ms,
            proven: true,
            ..Self::default()
        };
        had_strikes
    }

    fn limits(&self, subject: Subject) -> Limits {
        match subject {
            Subject::Request(_) => REQUEST_LIMITS,
            Subject::Part(_) if self.proven => PROVEN_PART_LIMITS,
            Subject::Part(_) => NEW_PART_LIMITS,
        }
    }

    fn is_expired(&self, now: Moment) -> bool {
        now.unix_ms.saturating_sub(self.last_ms) > STRIKE_TTL_MS
    }

    /// Returns whether the crashes that nothing else explains lead to a refusal.
    fn is_refused(&self, limits: Limits, explained: &HashSet<&Process>, now: Moment) -> bool {
        let counted = self.lost.iter().filter(|(process, loss)| {
            !explained.contains(process) && loss.known + limits.settle <= now.boot
        });
        let mut counted: Vec<&Loss> = counted.map(|(_, loss)| loss).collect();
        counted.sort_unstable_by_key(|loss| loss.at_ms);
        let (Some(first), Some(last)) = (counted.first(), counted.last()) else {
            return false;
        };
        let requests: HashSet<u64> = counted.iter().map(|loss| loss.request).collect();
        let (mut crashes, mut moment_ms) = (1, first.at_ms);
        for loss in &counted[1..] {
            if loss.at_ms - moment_ms >= limits.gap_ms {
                crashes += 1;
                moment_ms = loss.at_ms;
            }
        }
        crashes >= limits.crashes
            && requests.len() >= limits.requests
            && last.at_ms - first.at_ms >= limits.spread_ms
    }

    /// Returns whether the part would be refused if its crashes were at enough moments.
    fn is_doubtful(&self, subject: Subject, explained: &HashSet<&Process>, now: Moment) -> bool {
        let is_new_part = matches!(subject, Subject::Part(_)) && !self.proven;
        is_new_part && self.is_refused(PROBATION_LIMITS, explained, now)
    }

    /// Returns whether nearly all `crashes` at the moments of those under the subject are among them.
    fn is_in_most(&self, crashes: &CrashTimes) -> bool {
        let mut times: Vec<u64> = self.lost.values().map(|loss| loss.at_ms).collect();
        times.sort_unstable();
        let beside = crashes.beside(&times, CRASH_GAP_MS, |process| {
            self.lost.contains_key(process)
        });
        beside * PROBATION_SHARE < self.lost.len()
    }

    /// Returns when a request with the part on probation may be sent.
    fn probation_end(&self) -> Option<BootInstant> {
        let last = self.lost.values().map(|loss| loss.known).max();
        last.map(|at| at + PROBATION_GAP)
    }

    /// Returns when a request with the refused part may be tried, in milliseconds since the Unix epoch.
    fn trial_ms(&self) -> u64 {
        let mut times: Vec<u64> = self.lost.values().map(|loss| loss.at_ms).collect();
        times.sort_unstable();
        let failed = times
            .windows(2)
            .filter(|pair| pair[1] - pair[0] > TRIAL_GAP_MS);
        let failed = u32::try_from(failed.count()).unwrap_or(u32::MAX);
        let wait_ms = FIRST_TRIAL_MS.saturating_mul(TRIAL_BACKOFF.saturating_pow(failed));
        self.last_ms.saturating_add(wait_ms.min(STRIKE_TTL_MS))
    }

    /// Returns the strikes that were recorded.
    fn runs(&self, subject: Subject) -> impl Iterator<Item = Strike> {
        self.lost
            .iter()
            .map(move |((upstream, boot), loss)| Strike {
                subject,
                event: StrikeEvent::Lost(LostRun {
                    upstream: Arc::clone(upstream),
                    boot: *boot,
                    request: loss.request,
                    depth: self.depth,
                    proven: self.proven,
                }),
                at_ms: loss.at_ms,
            })
    }
}

/// Strikes known to this process, by subject, and the subjects that are refused or on probation for them.
#[derive(Debug, Default)]
pub struct Suspects {
    table: HashMap<Subject, Suspect>,
    refused: HashSet<Subject>,
    /// Parts of which one request at a time may be sent.
    probation: HashSet<Subject>,
    crashes: CrashTimes,
    /// Whether a strike was recorded since `refused` and `probation` were derived.
    is_changed: bool,
    /// Time at which a recorded crash begins to count.
    next_settled: Option<BootInstant>,
}

impl Suspects {
    /// Records a strike; returns true if it was new and has to be forwarded.
    pub fn record(&mut self, strike: &Strike, now: Moment) -> bool {
        if self.table.len() >= MAX_SUSPECTS {
            let oldest = strike.at_ms.saturating_sub(STRIKE_TTL_MS);
            self.table.retain(|_, s| s.last_ms > oldest);
        }
        if self.table.len() >= MAX_SUSPECTS && !self.table.contains_key(&strike.subject) {
            warn!(subject:% = strike.subject; "routing: too many suspects, a strike is dropped");
            return false;
        }
        if let StrikeEvent::Lost(run) = &strike.event {
            let process = (Arc::clone(&run.upstream), run.boot);
            self.crashes.record(process, strike.at_ms);
        }
        let suspect = self.table.entry(strike.subject).or_default();
        let is_new = match &strike.event {
            StrikeEvent::Lost(run) => suspect.record_lost(run, strike.at_ms, now),
            StrikeEvent::Cleared => suspect.record_cleared(strike.at_ms),
        };
        self.is_changed |= is_new;
        is_new
    }

    /// Returns the time of an event that is observed at `now_ms`: later than those already known, whose times come from
    /// other VMs' clocks.
    pub fn event_time(&self, subject: Subject, now_ms: u64) -> u64 {
        let Some(suspect) = self.table.get(&subject) else {
            return now_ms;
        };
        now_ms.max(suspect.last_ms.max(suspect.cleared_ms) + 1)
    }

    /// Returns whether a subject has strikes that a response to it would clear.
    pub fn has_strikes(&self, subject: Subject) -> bool {
        let suspect = self.table.get(&subject);
        suspect.is_some_and(|s| !s.lost.is_empty())
    }

    /// Brings the refused subjects and those on probation up to date, and returns those that are refused from now on.
    pub fn refresh(&mut self, now: Moment) -> Vec<Subject> {
        let is_settled = self.next_settled.is_some_and(|at| at <= now.boot);
        if !self.is_changed && !is_settled {
            return Vec::new();
        }
        self.is_changed = false;
        self.next_settled = None;
        let before = std::mem::take(&mut self.refused);
        let doubted = std::mem::take(&mut self.probation);
        let suspects = self.table.iter();
        let mut ranked: Vec<(&Subject, &Suspect)> = suspects
            .filter(|(subject, s)| {
                s.lost.len() >= s.limits(**subject).crashes && !s.is_expired(now)
            })
            .collect();
        // A part explains more than one request does. Of several parts, the one that no engine has responded to is the
        // likelier cause, and a deeper one is in fewer requests.
        ranked.sort_unstable_by_key(|(subject, s)| {
            let is_request = matches!(subject, Subject::Request(_));
            (
                is_request,
                s.proven,
                Reverse(s.depth),
                Reverse(s.lost.len()),
                **subject,
            )
        });
        let mut explained: HashSet<&Process> = HashSet::new();
        // What is on probation explains the crashes under it only to what else would be.
        let mut doubtful: HashSet<&Process> = HashSet::new();
        for (subject, suspect) in ranked {
            let limits = suspect.limits(*subject);
            if suspect.is_refused(limits, &explained, now) {
                self.refused.insert(*subject);
                explained.extend(suspect.lost.keys());
                doubtful.extend(suspect.lost.keys());
            } else if suspect.is_doubtful(*subject, &doubtful, now)
                // Other engines that crash later don't end it.
                && (doubted.contains(subject) || suspect.is_in_most(&self.crashes))
            {
                self.probation.insert(*subject);
                doubtful.extend(suspect.lost.keys());
            }
            let settled = suspect.lost.values().map(|loss| loss.known + limits.settle);
            let next = settled.filter(|at| *at > now.boot).min();
            self.next_settled = [self.next_settled, next].into_iter().flatten().min();
        }
        let new = self.refused.difference(&before);
        new.copied().collect()
    }

    /// Returns how a request may be run.
    pub fn verdict(&self, fingerprint: u64, now: Moment) -> Verdict {
        let subject = Subject::Request(fingerprint);
        match self.table.get(&subject) {
            Some(s) if s.lost.is_empty() || s.is_expired(now) => Verdict::Allow,
            Some(_) if self.refused.contains(&subject) => Verdict::Refuse,
            Some(_) => Verdict::Probation,
            None => Verdict::Allow,
        }
    }

    /// Returns for how long a subject is still refused, or until when it is not worth trying; `None` if it is not refused.
    pub fn refused_for(&self, subject: Subject, now: Moment) -> Option<Duration> {
        if !self.refused.contains(&subject) {
            return None;
        }
        let suspect = self.table.get(&subject).filter(|s| !s.is_expired(now))?;
        let (end_ms, least) = match subject {
            Subject::Request(_) => (
                suspect.last_ms.saturating_add(STRIKE_TTL_MS),
                Duration::ZERO,
            ),
            Subject::Part(_) => (suspect.trial_ms(), TRIAL_RETRY),
        };
        let left = Duration::from_millis(end_ms.saturating_sub(now.unix_ms));
        Some(left.max(least))
    }

    /// Returns for how long a subject is still held back: refused, or on probation.
    pub fn held_for(&self, subject: Subject, now: Moment) -> Option<Duration> {
        let is_on_probation = || {
            let suspect = self.table.get(&subject);
            self.probation.contains(&subject) && suspect.is_some_and(|s| !s.is_expired(now))
        };
        let refused = self.refused_for(subject, now);
        refused.or_else(|| is_on_probation().then_some(TRIAL_RETRY))
    }

    /// Returns whether the request with `ticket` is the trial of a part that is held back, and begins the trial if one is
    /// due. This process tries it after `rank` others that may have had no request with the part.
    pub fn begin_trial(
        &mut self,
        subject: Subject,
        ticket: u64,
        rank: usize,
        now: Moment,
    ) -> TrialState {
        let Some(suspect) = self.table.get_mut(&subject) else {
            return TrialState::NotDue;
        };
        match suspect.trial.filter(|trial| now.boot < trial.ends) {
            Some(trial) if trial.ticket == ticket => return TrialState::Running,
            Some(_other) => return TrialState::NotDue,
            None => {}
        }
        let others = TRIAL_TIME * u32::try_from(rank).unwrap_or(u32::MAX);
        let (is_due, time) = if self.probation.contains(&subject) {
            let end = suspect.probation_end();
            (
                end.is_some_and(|at| at + others <= now.boot),
                PROBATION_TIME,
            )
        } else {
            let is_part = matches!(subject, Subject::Part(_));
            let due_ms = suspect.trial_ms().saturating_add(others.as_millis() as u64);
            (is_part && due_ms <= now.unix_ms, TRIAL_TIME)
        };
        if !is_due {
            return TrialState::NotDue;
        }
        suspect.trial = Some(Trial {
            ticket,
            ends: now.boot + time,
        });
        TrialState::Begun
    }

    /// Returns what is refused, the latest ones if there is much, for a record in the store.
    pub fn refused(&self, now: Moment) -> Vec<RefusedSubject> {
        let subjects = self.refused.iter();
        let refused = subjects.filter_map(|s| Some((*s, self.table.get(s)?)));
        let mut refused: Vec<RefusedSubject> = refused
            .filter(|(_, suspect)| !suspect.is_expired(now))
            .map(|(subject, suspect)| RefusedSubject::new(subject, suspect.runs(subject)))
            .collect();
        refused.sort_unstable_by_key(|r| Reverse(r.at_ms));
        refused.truncate(MAX_STORED);
        refused
    }

    /// Returns every known strike, for a process that has just connected.
    pub fn all(&self) -> Vec<Strike> {
        let suspects = self.table.iter();
        suspects.flat_map(|(subject, s)| s.runs(*subject)).collect()
    }
}
