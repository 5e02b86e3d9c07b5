//! Requests and parts of prompts that are suspected of crashing upstreams, shared by all processes: each sends its new
//! strikes to the others.

use crate::{
    clock::Moment,
    holding::lock,
    ident::UpstreamId,
    poison::{Suspects, TrialState, Verdict},
    recent_set::RecentSet,
    refused_subject::RefusedSubject,
    wire::{LostRun, Strike, StrikeEvent, Subject},
};
use log::{info, warn};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::broadcast;

/// Strikes buffered for each feed; one that is further behind starts again with all known strikes.
const STRIKE_BUFFER: usize = 1_024;

/// Parts remembered as responded to.
const PROVEN_PARTS: usize = 8_192;

/// Suspected subjects, and the channel of new strikes.
#[derive(Debug)]
pub struct Quarantine {
    suspects: Mutex<Suspects>,
    /// Parts of prompts to which upstreams have responded.
    proven: Mutex<RecentSet<u64>>,
    strikes: broadcast::Sender<Strike>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            suspects: Mutex::default(),
            proven: Mutex::new(RecentSet::new(PROVEN_PARTS)),
            strikes: broadcast::Sender::new(STRIKE_BUFFER),
        }
    }
}

impl Quarantine {
    /// Returns how a request may be run.
    pub fn verdict(&self, fingerprint: u64) -> Verdict {
        let now = Moment::now();
        self.with_current(now, |suspects| suspects.verdict(fingerprint, now))
    }

    /// Returns for how long a request with `subjects` is still held back; `None` if it may be run. `ticket` names the
    /// request, and `rank` returns how many other processes try a part that is held back before this one.
    pub fn refused_for(
        &self,
        subjects: impl Iterator<Item = Subject>,
        ticket: u64,
        rank: impl Fn(Subject) -> usize,
    ) -> Option<Duration> {
        let now = Moment::now();
        let held: Vec<(Subject, Duration)> = self.with_current(now, |suspects| {
            let held = subjects.filter_map(|s| Some((s, suspects.held_for(s, now)?)));
            held.collect()
        });
        let refused = held
            .into_iter()
            .filter(|(subject, _)| !self.is_trial(*subject, ticket, rank(*subject), now));
        refused.map(|(_, left)| left).max()
    }

    /// Returns whether the request with `ticket` may be sent although it has the part `subject`, which is held back.
    fn is_trial(&self, subject: Subject, ticket: u64, rank: usize, now: Moment) -> bool {
        let mut suspects = lock(&self.suspects);
        let state = suspects.begin_trial(subject, ticket, rank, now);
        let is_refused = suspects.refused_for(subject, now).is_some();
        drop(suspects);
        match state {
            TrialState::NotDue => return false,
            TrialState::Running => {}
            TrialState::Begun if is_refused => {
                info!(subject:% = subject; "routing: trial of a refused part");
            }
            TrialState::Begun => {
                info!(subject:% = subject; "routing: trial of a part on probation");
            }
        }
        true
    }

    /// Runs `read` on the suspects after their refusals were brought up to date.
    fn with_current<T>(&self, now: Moment, read: impl FnOnce(&Suspects) -> T) -> T {
        let mut suspects = lock(&self.suspects);
        let new = suspects.refresh(now);
        let result = read(&suspects);
        drop(suspects);
        for subject in new {
            warn!(subject:% = subject; "routing: refused from now on, upstreams crash under it");
        }
        result
    }

    /// Records a strike and publishes it if it is new; returns whether it is.
    pub fn record(&self, strike: &Strike) -> bool {
        let is_new = lock(&self.suspects).record(strike, Moment::now());
        if is_new {
            info!(subject:% = strike.subject, event:? = strike.event; "routing: strike");
            // Without feeds nobody needs it yet: a new feed starts with all known strikes.
            let _feeds = self.strikes.send(strike.clone());
        }
        is_new
    }

    /// Records that the process of `upstream` that started at `boot` ended while it ran the request, and that any of
    /// `parts` of its prompt may have caused that; returns whether it is new.
    pub fn record_lost(
        &self,
        fingerprint: u64,
        parts: &[u64],
        upstream: &UpstreamId,
        boot: u64,
    ) -> bool {
        let lost = |subject, depth, proven| {
            let run = LostRun {
                upstream: Arc::clone(upstream),
                boot,
                request: fingerprint,
                depth,
                proven,
            };
            self.observe(subject, StrikeEvent::Lost(run))
        };
        let mut is_new = lost(Subject::Request(fingerprint), 0, false);
        for (depth, part) in (0..).zip(parts) {
            let proven = lock(&self.proven).contains(part);
            is_new |= lost(Subject::Part(*part), depth, proven);
        }
        is_new
    }

    /// Clears the strikes of a request that has completed; returns whether it had any.
    pub fn clear(&self, fingerprint: u64) -> bool {
        self.clear_subject(Subject::Request(fingerprint))
    }

    /// Remembers that an upstream responded to `parts` and clears their strikes; returns whether they had any.
    pub fn clear_parts(&self, parts: &[u64]) -> bool {
        let mut proven = lock(&self.proven);
        for part in parts {
            proven.insert(*part);
        }
        drop(proven);
        let cleared = parts
            .iter()
            .filter(|p| self.clear_subject(Subject::Part(**p)));
        cleared.count() > 0
    }

    fn clear_subject(&self, subject: Subject) -> bool {
        lock(&self.suspects).has_strikes(subject) && self.observe(subject, StrikeEvent::Cleared)
    }

    /// Records an event that this process observes now.
    fn observe(&self, subject: Subject, event: StrikeEvent) -> bool {
        let at_ms = lock(&self.suspects).event_time(subject, Moment::now().unix_ms);
        self.record(&Strike {
            subject,
            event,
            at_ms,
        })
    }

    /// Returns what is refused now, for a record in the store.
    pub fn refused(&self) -> Vec<RefusedSubject> {
        let now = Moment::now();
        self.with_current(now, |suspects| suspects.refused(now))
    }

    /// Returns all known strikes.
    pub fn known(&self) -> Vec<Strike> {
        lock(&self.suspects).all()
    }

    /// Returns a feed of all known and all later strikes.
    pub fn feed(&self) -> StrikeFeed {
        StrikeFeed {
            receiver: self.strikes.subscribe(),
            is_behind: true,
            received: Vec::new(),
        }
    }
}

/// Strikes that are still to be sent to one other process.
#[derive(Debug)]
pub struct StrikeFeed {
    receiver: broadcast::Receiver<Strike>,
    /// Whether all known strikes have to be sent, as at the start.
    is_behind: bool,
    received: Vec<Strike>,
}

impl StrikeFeed {
    /// Waits for a new strike.
    pub async fn changed(&mut self) {
        match self.receiver.recv().await {
            Ok(strike) => self.received.push(strike),
            Err(_lagged) => self.is_behind = true,
        }
    }

    /// Returns the strikes since the last call.
    pub fn take(&mut self, quarantine: &Quarantine) -> Vec<Strike> {
        loop {
            match self.receiver.try_recv() {
                Ok(strike) => self.received.push(strike),
                Err(broadcast::error::TryRecvError::Lagged(_)) => self.is_behind = true,
                Err(_empty) => break,
            }
        }
        let received = std::mem::take(&mut self.received);
        if std::mem::take(&mut self.is_behind) {
            return quarantine.known();
        }
        received
    }
}
