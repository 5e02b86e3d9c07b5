//! Invariants judged from run logs and from what callers were told.

use crate::{
    client::{Reply, ReplyOutcome},
    run_log::{LogEntry, LogKind},
    traffic::Sample,
};
use std::collections::{BTreeMap, HashSet};

/// Evictions of adapters that served requests at that moment.
pub fn evictions_in_flight(log: &[LogEntry]) -> Vec<LogEntry> {
    let bad = |e: &&LogEntry| e.kind == LogKind::Evict && e.in_flight > 0;
    log.iter().filter(bad).cloned().collect()
}

/// Number of evictions.
pub fn evictions(log: &[LogEntry]) -> usize {
    log.iter().filter(|e| e.kind == LogKind::Evict).count()
}

/// Identifiers of the requests that some upstream ran, wholly or in part.
pub fn started(log: &[LogEntry]) -> HashSet<String> {
    let starts = log.iter().filter(|e| e.kind == LogKind::Start);
    let ids = starts.filter_map(|e| e.request.rsplit_once('-'));
    ids.map(|(id, _try)| id.to_owned()).collect()
}

/// Runs of each submission, by the hash of its body.
pub fn runs_by_body(log: &[LogEntry]) -> BTreeMap<String, usize> {
    let mut out = BTreeMap::new();
    for entry in log
        .iter()
        .filter(|e| e.kind == LogKind::Start && !e.body.is_empty())
    {
        *out.entry(entry.body.clone()).or_insert(0) += 1;
    }
    out
}

/// Answers that a request was not run, of requests that were.
pub fn false_refusals(samples: &[Sample], log: &[LogEntry]) -> Vec<Reply> {
    let ran = started(log);
    let lied = |r: &&Reply| ran.contains(r.header("carobfield-request-id"));
    refusals(samples)
        .into_iter()
        .filter(lied)
        .cloned()
        .collect()
}

/// Every answer that a request was not run.
pub fn refusals(samples: &[Sample]) -> Vec<&Reply> {
    let all = samples
        .iter()
        .flat_map(|s| s.refusals.iter().chain([&s.reply]));
    all.filter(|r| r.outcome == ReplyOutcome::NotRun && r.status != 0)
        .collect()
}

/// Samples whose answer was not whole, exact and the caller's own.
pub fn wrong_replies(samples: &[Sample]) -> Vec<Sample> {
    samples
        .iter()
        .filter(|s| s.reply.outcome == ReplyOutcome::Wrong)
        .cloned()
        .collect()
}

/// Samples that did not end with the whole answer.
pub fn incomplete(samples: &[Sample]) -> Vec<&Sample> {
    let bad = samples
        .iter()
        .filter(|s| s.reply.outcome != ReplyOutcome::Complete);
    bad.collect()
}

/// Number of samples that were told `outcome`.
pub fn count(samples: &[Sample], outcome: ReplyOutcome) -> usize {
    samples
        .iter()
        .filter(|s| s.reply.outcome == outcome)
        .count()
}
