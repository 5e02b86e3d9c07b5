//! Ranks the upstreams for a request by the status that their dispatchers report.

use crate::{
    catalogue::Objective,
    ident::{ModelRef, UpstreamId, pair_hash, rendezvous},
    settings::PlacementPolicy,
    wire::{Residency, UpstreamStatus},
};
use rand::seq::IndexedRandom;
use std::{collections::HashSet, hash::BuildHasher, sync::Arc};

/// Upstreams without the adapter that are considered for loading it.
const COLD_CANDIDATES: usize = 3;

/// Cost per rank in the rendezvous ranking of a cold adapter, in seconds.
const RANK_COST: f64 = 0.05;

/// Bonus for the replica preferred for the same prompt prefix, in seconds.
const PREFIX_BONUS: f64 = 0.02;

/// Cost of an upstream in another data centre, in seconds.
const REMOTE_COST: f64 = 0.002;

/// Assumed mean service time of a request, in seconds.
const SERVICE_TIME: f64 = 0.5;

/// Returns the cost of the eviction that a further replica of an adapter causes, in seconds.
pub fn evict_cost(objective: Objective) -> f64 {
    match objective {
        Objective::LoadStalls => 0.2,
        Objective::BatchEfficiency => 0.5,
    }
}

/// An upstream considered by a gateway.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Last status reported by its holder.
    pub status: &'a UpstreamStatus,
    /// Requests of this gateway in flight there.
    pub own_in_flight: u32,
}

/// Properties of the request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Adapter and version; `None` for a plain service.
    pub model: Option<&'a ModelRef>,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the request must run alone.
    pub probation: bool,
    /// Data centre of the gateway.
    pub data_centre: &'a str,
    /// Duration of a load without queueing, in seconds.
    pub load_cost: f64,
    /// Cost of the eviction that a further replica would cause, in seconds.
    pub evict_cost: f64,
}

/// Score of a candidate.
#[derive(Clone, Debug)]
pub struct ScoredUpstream {
    /// Upstream.
    pub id: UpstreamId,
    /// Expected delay in seconds, including the costs above; lower is better.
    pub score: f64,
    /// Whether the adapter is loading or ready there.
    pub resident: bool,
}

/// Scores the upstreams that may serve the request, best first.
pub fn rank<S: BuildHasher>(
    policy: PlacementPolicy,
    request: &PlacementRequest<'_>,
    candidates: &[Candidate<'_>],
    excluded: &HashSet<UpstreamId, S>,
) -> Vec<ScoredUpstream> {
    let eligible: Vec<&Candidate<'_>> = candidates
        .iter()
        .filter(|c| c.status.accepting && !excluded.contains(&c.status.id))
        .filter(|c| c.status.loads || residency(c, request.model).is_some())
        .collect();
    if request.probation {
        return score_by_hash(&eligible, "probation", request);
    }
    let mut scored = match (policy, request.model) {
        (PlacementPolicy::Cost, Some(model)) => score_by_cost(&eligible, model, request),
        (PlacementPolicy::Hash, Some(model)) => {
            score_by_hash(&eligible, &model.to_string(), request)
        }
        (PlacementPolicy::Random, _) => pick_random(&eligible, request),
        (PlacementPolicy::LeastLoaded, _) | (_, None) => eligible
            .iter()
            .map(|c| score_candidate(c, request, queue_delay(c)))
            .collect(),
    };
    scored.sort_by(|a, b| a.score.total_cmp(&b.score).then_with(|| a.id.cmp(&b.id)));
    scored
}

fn score_candidate(
    candidate: &Candidate<'_>,
    request: &PlacementRequest<'_>,
    delay: f64,
) -> ScoredUpstream {
    let remote = &*candidate.status.data_centre != request.data_centre;
    let resident = residency(candidate, request.model).is_some();
    let score = delay + if remote { REMOTE_COST } else { 0.0 };
    ScoredUpstream {
        id: Arc::clone(&candidate.status.id),
        score,
        resident,
    }
}

fn residency(candidate: &Candidate<'_>, model: Option<&ModelRef>) -> Option<Residency> {
    let Some(model) = model else {
        return Some(Residency::Ready);
    };
    candidate
        .status
        .residents
        .iter()
        .find(|r| r.model == *model)
        .map(|r| r.state)
}

/// Estimates the seconds until a new request would enter the batch.
fn queue_delay(candidate: &Candidate<'_>) -> f64 {
    let status = candidate.status;
    let in_flight = (status.running + status.waiting).max(candidate.own_in_flight);
    let batch = f64::from(status.batch.max(1));
    let ahead = (f64::from(in_flight) + 1.0 - batch).max(0.0);
    // The small share of the requests in flight ranks upstreams that have no queue.
    SERVICE_TIME * (ahead + 0.05 * f64::from(in_flight)) / batch
}

fn score_by_cost(
    eligible: &[&Candidate<'_>],
    model: &ModelRef,
    request: &PlacementRequest<'_>,
) -> Vec<ScoredUpstream> {
    let ranking = rendezvous(&model.to_string(), eligible, |c| &c.status.id);
    let preferred = preferred_replica(eligible, model, request.prefix);
    let mut out = Vec::new();
    let mut cold_rank = 0;
    for candidate in ranking {
        let delay = queue_delay(candidate);
        match residency(candidate, Some(model)) {
            Some(Residency::Ready) => {
                let is_preferred = preferred.as_ref() == Some(&candidate.status.id);
                let bonus = if is_preferred { PREFIX_BONUS } else { 0.0 };
                out.push(score_candidate(candidate, request, delay - bonus));
            }
            Some(Residency::Loading) => {
                out.push(score_candidate(
                    candidate,
                    request,
                    delay + request.load_cost / 2.0,
                ));
            }
            None if cold_rank < COLD_CANDIDATES && candidate.status.loads => {
                let rank = RANK_COST * f64::from(cold_rank as u32);
                let cost = request.load_cost + request.evict_cost + rank;
                out.push(score_candidate(candidate, request, delay + cost));
                cold_rank += 1;
            }
            None => {}
        }
    }
    out
}

/// Returns the ready replica that is preferred for this prefix while its batch is not full.
fn preferred_replica(
    eligible: &[&Candidate<'_>],
    model: &ModelRef,
    prefix: u64,
) -> Option<UpstreamId> {
    let ready = eligible
        .iter()
        .filter(|c| residency(c, Some(model)) == Some(Residency::Ready));
    let key = format!("{prefix:x}");
    ready
        .filter(|c| c.status.running < c.status.batch)
        .max_by_key(|c| pair_hash(&key, &c.status.id))
        .map(|c| Arc::clone(&c.status.id))
}

fn score_by_hash(
    eligible: &[&Candidate<'_>],
    key: &str,
    request: &PlacementRequest<'_>,
) -> Vec<ScoredUpstream> {
    let ranking = rendezvous(key, eligible, |c| &c.status.id);
    let ranked = ranking.into_iter().enumerate();
    ranked
        .map(|(i, c)| ScoredUpstream {
            score: i as f64,
            ..score_candidate(c, request, 0.0)
        })
        .collect()
}

fn pick_random(eligible: &[&Candidate<'_>], request: &PlacementRequest<'_>) -> Vec<ScoredUpstream> {
    let chosen = eligible.choose(&mut rand::rng());
    chosen
        .map(|c| score_candidate(c, request, 0.0))
        .into_iter()
        .collect()
}
