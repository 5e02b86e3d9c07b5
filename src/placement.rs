//! Chooses the upstream for a request, from what the dispatchers report.

use crate::{
    catalogue::Objective,
    ident::{ModelRef, UpstreamId, pair_hash, rendezvous},
    settings::PlacementPolicy,
    wire::{Residency, UpstreamStatus},
};
use rand::seq::IndexedRandom;
use std::{collections::HashSet, hash::BuildHasher, sync::Arc};

/// Upstreams considered for an adapter that none of them has.
const COLD_CANDIDATES: usize = 3;

/// Score added for each rank in the rendezvous order of a cold adapter, in seconds.
const RANK_COST: f64 = 0.05;

/// Score taken off for the replica that has served the same prompt prefix, in seconds.
const PREFIX_BONUS: f64 = 0.02;

/// Score added in another data centre, in seconds.
const REMOTE_COST: f64 = 0.002;

/// Mean time that a request holds a place in the batch, in seconds, until measured.
const SERVICE_TIME: f64 = 0.5;

/// Value of what a further replica of an adapter evicts, in seconds.
pub fn evict_cost(objective: Objective) -> f64 {
    match objective {
        Objective::LoadStalls => 0.2,
        Objective::BatchEfficiency => 0.5,
    }
}

/// An upstream as a gateway sees it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Last report of its holder.
    pub status: &'a UpstreamStatus,
    /// Requests that this gateway has there now.
    pub own_in_flight: u32,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Adapter and version; `None` for a plain service.
    pub model: Option<&'a ModelRef>,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Whether the request must run alone.
    pub probation: bool,
    /// Data centre of the gateway.
    pub data_centre: &'a str,
    /// Seconds that a load takes when nothing waits.
    pub load_cost: f64,
    /// Value of what a further replica would evict, in seconds.
    pub evict_cost: f64,
}

/// A candidate's score; lower is better.
#[derive(Clone, Debug)]
pub struct ScoredUpstream {
    /// Upstream.
    pub id: UpstreamId,
    /// Expected delay in seconds, with the costs above.
    pub score: f64,
    /// Whether the adapter is there, loading or ready.
    pub resident: bool,
}

/// Scores the upstreams that may take the request, the best first.
pub fn rank<S: BuildHasher>(
    rule: PlacementPolicy,
    demand: &PlacementRequest<'_>,
    candidates: &[Candidate<'_>],
    excluded: &HashSet<UpstreamId, S>,
) -> Vec<ScoredUpstream> {
    let open: Vec<&Candidate<'_>> = candidates
        .iter()
        .filter(|c| c.status.accepting && !excluded.contains(&c.status.id))
        .filter(|c| c.status.loads || residency(c, demand.model).is_some())
        .collect();
    if demand.probation {
        return by_hash(&open, "probation", demand);
    }
    let mut scored = match (rule, demand.model) {
        (PlacementPolicy::Cost, Some(model)) => by_cost(&open, model, demand),
        (PlacementPolicy::Hash, Some(model)) => by_hash(&open, &model.to_string(), demand),
        (PlacementPolicy::Random, _) => by_chance(&open, demand),
        (PlacementPolicy::LeastLoaded, _) | (_, None) => open
            .iter()
            .map(|c| scored(c, demand, queue_delay(c)))
            .collect(),
    };
    scored.sort_by(|a, b| a.score.total_cmp(&b.score).then_with(|| a.id.cmp(&b.id)));
    scored
}

fn scored(candidate: &Candidate<'_>, demand: &PlacementRequest<'_>, delay: f64) -> ScoredUpstream {
    let remote = &*candidate.status.data_centre != demand.data_centre;
    let resident = residency(candidate, demand.model).is_some();
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

/// Seconds until a new request would get a place in the batch.
fn queue_delay(candidate: &Candidate<'_>) -> f64 {
    let status = candidate.status;
    let load = (status.running + status.waiting).max(candidate.own_in_flight);
    let batch = f64::from(status.batch.max(1));
    let ahead = (f64::from(load) + 1.0 - batch).max(0.0);
    // The small share of the load keeps idle upstreams apart without a queue.
    SERVICE_TIME * (ahead + 0.05 * f64::from(load)) / batch
}

fn by_cost(
    open: &[&Candidate<'_>],
    model: &ModelRef,
    demand: &PlacementRequest<'_>,
) -> Vec<ScoredUpstream> {
    let order = rendezvous(&model.to_string(), open, |c| &c.status.id);
    let favourite = prefix_favourite(open, model, demand.prefix);
    let mut out = Vec::new();
    let mut cold_rank = 0;
    for candidate in order {
        let delay = queue_delay(candidate);
        match residency(candidate, Some(model)) {
            Some(Residency::Ready) => {
                let known = favourite.as_ref() == Some(&candidate.status.id);
                let bonus = if known { PREFIX_BONUS } else { 0.0 };
                out.push(scored(candidate, demand, delay - bonus));
            }
            Some(Residency::Loading) => {
                out.push(scored(candidate, demand, delay + demand.load_cost / 2.0));
            }
            None if cold_rank < COLD_CANDIDATES && candidate.status.loads => {
                let rank = RANK_COST * f64::from(cold_rank as u32);
                let cost = demand.load_cost + demand.evict_cost + rank;
                out.push(scored(candidate, demand, delay + cost));
                cold_rank += 1;
            }
            None => {}
        }
    }
    out
}

/// The ready replica that requests with this prefix go to while it is not full.
fn prefix_favourite(open: &[&Candidate<'_>], model: &ModelRef, prefix: u64) -> Option<UpstreamId> {
    let ready = open
        .iter()
        .filter(|c| residency(c, Some(model)) == Some(Residency::Ready));
    let key = format!("{prefix:x}");
    ready
        .filter(|c| c.status.running < c.status.batch)
        .max_by_key(|c| pair_hash(&key, &c.status.id))
        .map(|c| Arc::clone(&c.status.id))
}

fn by_hash(
    open: &[&Candidate<'_>],
    key: &str,
    demand: &PlacementRequest<'_>,
) -> Vec<ScoredUpstream> {
    let order = rendezvous(key, open, |c| &c.status.id);
    let ranked = order.into_iter().enumerate();
    ranked
        .map(|(i, c)| ScoredUpstream {
            score: i as f64,
            ..scored(c, demand, 0.0)
        })
        .collect()
}

fn by_chance(open: &[&Candidate<'_>], demand: &PlacementRequest<'_>) -> Vec<ScoredUpstream> {
    let chosen = open.choose(&mut rand::rng());
    chosen.map(|c| scored(c, demand, 0.0)).into_iter().collect()
}
