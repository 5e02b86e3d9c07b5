//! Refused subjects as kept in the store, for processes that start when no other knows of them.

use crate::{
    ident::UpstreamId,
    wire::{LostRun, Strike, StrikeEvent, Subject},
};
use log::warn;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Crashes kept of one part: this many of the first, which tell how long they went on, and of the last.
const MAX_STORED_RUNS: usize = 8;

/// Request or part of prompts that is refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusedSubject {
    /// Fingerprint of the request or hash of the part's identifier, as a hexadecimal number, as not every reader of JSON
    /// keeps 64 bits.
    pub fingerprint: String,
    /// Upstreams that crashed under it, with the start times of their processes.
    pub lost: Vec<(UpstreamId, u64)>,
    /// Time of the last strike, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What is known of a part; `None` for a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<RefusedPart>,
}

/// What is known of a refused part of prompts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusedPart {
    /// Position in the prompt.
    pub depth: u8,
    /// Whether an upstream had responded to it before.
    pub proven: bool,
    /// Fingerprint of the request, as a hexadecimal number, and time in milliseconds since the Unix epoch of each crash,
    /// in the order of `lost`.
    pub runs: Vec<(String, u64)>,
}

impl RefusedSubject {
    /// Creates the record of `subject` from its strikes.
    pub fn new(subject: Subject, strikes: impl Iterator<Item = Strike>) -> Self {
        let runs = strikes.filter_map(|strike| match strike.event {
            StrikeEvent::Lost(run) => Some((strike.at_ms, run)),
            StrikeEvent::Cleared => None,
        });
        let mut runs: Vec<(u64, LostRun)> = runs.collect();
        runs.sort_unstable_by_key(|(at_ms, _)| *at_ms);
        if runs.len() > 2 * MAX_STORED_RUNS {
            runs.drain(MAX_STORED_RUNS..runs.len() - MAX_STORED_RUNS);
        }
        let (Subject::Request(id) | Subject::Part(id)) = subject;
        let is_part = matches!(subject, Subject::Part(_));
        Self {
            fingerprint: format!("{id:016x}"),
            lost: runs
                .iter()
                .map(|(_, run)| (Arc::clone(&run.upstream), run.boot))
                .collect(),
            at_ms: runs.last().map_or(0, |(at_ms, _)| *at_ms),
            part: is_part.then(|| RefusedPart {
                depth: runs.iter().map(|(_, run)| run.depth).max().unwrap_or(0),
                proven: runs.iter().any(|(_, run)| run.proven),
                runs: runs
                    .iter()
                    .map(|(at_ms, run)| (format!("{:016x}", run.request), *at_ms))
                    .collect(),
            }),
        }
    }

    /// Returns the strikes that led to the refusal; none if a number can't be parsed.
    pub fn strikes(&self) -> Vec<Strike> {
        self.parse().unwrap_or_else(|| {
            warn!(fingerprint = self.fingerprint; "a refused request in the store can't be parsed");
            Vec::new()
        })
    }

    fn parse(&self) -> Option<Vec<Strike>> {
        let id = u64::from_str_radix(&self.fingerprint, 16).ok()?;
        let strikes = self.lost.iter().enumerate();
        let strikes = strikes.map(|(n, (upstream, boot))| {
            let run = LostRun {
                upstream: Arc::clone(upstream),
                boot: *boot,
                request: id,
                depth: 0,
                proven: false,
            };
            let Some(part) = &self.part else {
                return Some(strike(Subject::Request(id), run, self.at_ms));
            };
            let (request, at_ms) = part.runs.get(n)?;
            let run = LostRun {
                request: u64::from_str_radix(request, 16).ok()?,
                depth: part.depth,
                proven: part.proven,
                ..run
            };
            Some(strike(Subject::Part(id), run, *at_ms))
        });
        strikes.collect()
    }
}

fn strike(subject: Subject, run: LostRun, at_ms: u64) -> Strike {
    Strike {
        subject,
        event: StrikeEvent::Lost(run),
        at_ms,
    }
}
