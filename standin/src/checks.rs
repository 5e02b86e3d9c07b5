//! Checks of invariants on the upstreams' run logs and the callers' replies.

use crate::{
    client::{Reply, ReplyOutcome},
    run_log::{LogEntry, LogKind},
    traffic::Sample,
};
use std::collections::{BTreeMap, HashSet};

/// Returns the evictions of adapters that had requests in flight.
pub fn evictions_in_flight(log: &[LogEntry]) -> Vec<LogEntry> {
    let with_requests = |e: &&LogEntry| e.kind == LogKind::Evict && e.in_flight > 0;
    log.iter().filter(with_requests).cloned().collect()
}

/// Returns the number of evictions.
pub fn evictions(log: &[LogEntry]) -> usize {
    log.iter().filter(|e| e.kind == LogKind::Evict).count()
}

/// Returns the identifiers of the requests that an upstream started to run.
pub fn started(log: &[LogEntry]) -> HashSet<String> {
    let starts = log.iter().filter(|e| e.kind == LogKind::Start);
    let ids = starts.filter_map(|e| e.request.rsplit_once('-'));
    ids.map(|(id, _attempt)| id.to_owned()).collect()
}

/// Counts how often each request was run, by the hash of its body.
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

/// Returns the replies that report a request as not run although an upstream started it.
pub fn false_refusals(samples: &[Sample], log: &[LogEntry]) -> Vec<Reply> {
    let started_ids = started(log);
    let was_started = |r: &&Reply| started_ids.contains(r.header("carobfield-request-id"));
    refusals(samples)
        .into_iter()
        .filter(was_started)
        .cloned()
        .collect()
}

/// Returns every reply that reports a request as not run.
pub fn refusals(samples: &[Sample]) -> Vec<&Reply> {
    let all = samples
        .iter()
        .flat_map(|s| s.refusals.iter().chain([&s.reply]));
    all.filter(|r| r.outcome == ReplyOutcome::NotRun && r.status != 0)
        .collect()
}

/// Returns the samples whose reply was reported as complete, but has another model or text than expected.
pub fn wrong_replies(samples: &[Sample]) -> Vec<Sample> {
    samples
        .iter()
        .filter(|s| s.reply.outcome == ReplyOutcome::Wrong)
        .cloned()
        .collect()
}

/// Returns the samples without a complete reply.
pub fn incomplete(samples: &[Sample]) -> Vec<&Sample> {
    let without = samples
        .iter()
        .filter(|s| s.reply.outcome != ReplyOutcome::Complete);
    without.collect()
}

/// Returns the number of samples with this outcome.
pub fn count(samples: &[Sample], outcome: ReplyOutcome) -> usize {
    samples
        .iter()
        .filter(|s| s.reply.outcome == outcome)
        .count()
}
