//! Chooses the upstream of a request.
//!
//! | load pattern | answer |
//! |---|---|
//! | popularity is skewed and an engine holds few adapters | each adapter has its own order of engines by rendezvous hashing, so that it stays where it is held or was held |
//! | a hot adapter needs more than one engine | its engines are filled up to a bound over the mean load; past it, the next engine in its order gets a copy while the present ones go on serving |
//! | prompts arrive at one engine in a clump | they are held back for a moment, or go to another engine of their adapter's order |
//! | all engines are busy | the request goes to the least busy one that holds its adapter while it has room, else it is refused |

use crate::ident::{UpstreamId, pair_hash};
use std::time::Duration;

/// Load over the mean, as a factor, up to which an engine is filled before the next one is used; bounded-load
/// hashing holds its balance at factors from 1.25 on.
const LOAD_FACTOR: f64 = 1.25;

/// Requests beside that factor, so that a quiet fleet does not copy adapters for single requests.
const LOAD_SLACK: f64 = 4.0;

/// Wait up to which a request is held back rather than served elsewhere; a load from the store takes as long.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Wait that weighs as much as having every place taken.
const WAIT_AS_FULL: Duration = Duration::from_millis(400);

/// An upstream that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub id: &'a UpstreamId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that all entries have there.
    pub in_flight: u32,
    /// Time for which the request would be held back, so that running streams do not pause.
    pub wait: Duration,
    /// Whether it holds what the request needs.
    pub resident: bool,
    /// Whether an adapter can be brought to it now.
    pub loadable: bool,
}

impl Candidate<'_> {
    fn has_room(&self) -> bool {
        self.in_flight < self.slots
    }

    /// How little it is to be preferred: its share of places taken, and the time that a request is held back.
    fn cost(&self) -> f64 {
        let fill = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        fill + self.wait.as_secs_f64() / WAIT_AS_FULL.as_secs_f64()
    }
}

/// Where a request goes; numbers are positions in the candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send it to this one.
    Send(usize),
    /// Send it to the first, and bring its adapter to the second for those that follow.
    SendAndCopy(usize, usize),
    /// Bring its adapter to this one, then send it there.
    Load(usize),
    /// All that could take it are full.
    Full,
    /// No upstream could take it even if it were idle.
    NoUpstream,
}

/// Chooses for a request that any resident candidate serves alike: the least filled one.
///
/// `key` spreads requests over equals.
pub fn choose_least_loaded(key: &str, candidates: &[Candidate<'_>]) -> Choice {
    if !candidates.iter().any(|c| c.resident) {
        return Choice::NoUpstream;
    }
    let with_room = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.resident && c.has_room());
    let best = with_room.min_by(|a, b| {
        let by_cost = a.1.cost().total_cmp(&b.1.cost());
        by_cost.then_with(|| pair_hash(key, a.1.id).cmp(&pair_hash(key, b.1.id)))
    });
    best.map_or(Choice::Full, |(i, _)| Choice::Send(i))
}

/// Chooses for a request that needs an adapter; `adapter` names it for the hashing.
pub fn choose_for_adapter(adapter: &str, candidates: &[Candidate<'_>]) -> Choice {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|i| std::cmp::Reverse(pair_hash(adapter, candidates[*i].id)));
    let bound = load_bound(candidates);
    let is_below =
        |c: &Candidate<'_>| f64::from(c.in_flight) < bound && c.has_room() && c.wait <= MAX_WAIT;
    let within = |i: &usize| is_below(&candidates[*i]);
    let resident = |i: &usize| candidates[*i].resident;
    let loadable = |i: &usize| candidates[*i].loadable && !candidates[*i].resident;

    if let Some(i) = order.iter().copied().find(|i| resident(i) && within(i)) {
        return Choice::Send(i);
    }
    let next = order.iter().copied().find(|i| loadable(i) && within(i));
    let residents = order.iter().copied();
    let fallback = residents
        .filter(|i| resident(i) && candidates[*i].has_room())
        .min_by(|a, b| candidates[*a].cost().total_cmp(&candidates[*b].cost()));
    match (fallback, next) {
        (Some(i), Some(copy)) => Choice::SendAndCopy(i, copy),
        (Some(i), None) => Choice::Send(i),
        (None, Some(i)) => Choice::Load(i),
        (None, None) => load_anywhere(&order, candidates),
    }
}

/// The first engine with any room to which the adapter can be brought.
fn load_anywhere(order: &[usize], candidates: &[Candidate<'_>]) -> Choice {
    let usable = |c: &Candidate<'_>| c.resident || c.loadable;
    if !candidates.iter().any(usable) {
        return Choice::NoUpstream;
    }
    let fit = |i: &&usize| candidates[**i].loadable && candidates[**i].has_room();
    order
        .iter()
        .find(fit)
        .map_or(Choice::Full, |i| Choice::Load(*i))
}

/// Load up to which engines are filled in an adapter's own order.
fn load_bound(candidates: &[Candidate<'_>]) -> f64 {
    let total: u32 = candidates.iter().map(|c| c.in_flight).sum();
    let mean = f64::from(total) / candidates.len().max(1) as f64;
    mean * LOAD_FACTOR + LOAD_SLACK
}
