//! Chooses the upstream of a request.
//!
//! | load pattern | response |
//! |---|---|
//! | popularity is skewed and an engine holds few adapters | rendezvous hashing ranks the engines for each adapter, so that it stays on the engine that holds or held it |
//! | a hot adapter needs more than one engine | engines are filled up to a bound above the mean number of requests in flight; beyond it, the adapter is also loaded on the next engine in its ranking while the present ones keep serving |
//! | a burst of prompts arrives at one engine | they are delayed briefly, or sent to the next engine in the ranking |
//! | an overloaded engine limits its requests | it serves the adapters that it holds up to its limit, and gets no others; its few requests don't count towards the mean |
//! | more prompts arrive than the engines prefill, as when some of them leave or limit their requests | a request that would wait too long is refused at once; otherwise all would wait until their callers give up, and prompts that nobody waits for any more would delay the rest |
//! | engines of one service differ in speed | the bound grows with the square of the speed, the utilisation counts by the speed, and faster engines are home to more adapters |
//! | all engines are busy | the request goes to the least busy engine that holds the adapter and has room; otherwise it is refused |

use crate::ident::{UpstreamId, pair_hash};
use std::time::Duration;

/// Multiple of the mean number of requests in flight up to which an engine is filled before the next one is used;
/// bounded-load hashing stays balanced at factors of 1.25 and above.
const IN_FLIGHT_FACTOR: f64 = 1.25;

/// Requests allowed on top of that, so that an idle fleet does not replicate adapters for single requests.
const IN_FLIGHT_SLACK: f64 = 4.0;

/// Ratio of two steps of the weight in the ranking.
const RANK_STEP: f64 = 1.5;

/// Number of values of a hash.
const TWO_POW_64: f64 = 18_446_744_073_709_551_616.0;

/// Longest delay for which a request waits instead of going to another engine; a load from the store takes as long.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Delay that costs as much as a full batch.
const DELAY_COST_OF_FULL: Duration = Duration::from_millis(400);

/// An upstream considered for the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub id: &'a UpstreamId,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Requests in flight there, of all entries.
    pub in_flight: u32,
    /// Speed relative to the mean of its service.
    pub speed: f64,
    /// Time for which the request would be delayed so that running streams do not stall.
    pub wait: Duration,
    /// Longest such delay that the request accepts.
    pub max_wait: Duration,
    /// Prefill time that it is expected to save, as it holds the beginning of the prompt.
    pub saved: Duration,
    /// Whether it holds the model or adapter that the request needs.
    pub resident: bool,
    /// Whether an adapter can be loaded on it now.
    pub loadable: bool,
    /// Whether it has named a limit, so that it takes fewer requests than the others.
    pub limited: bool,
}

impl Candidate<'_> {
    fn has_room(&self) -> bool {
        self.in_flight < self.slots && self.wait <= self.max_wait
    }

    /// Returns the cost, lower is better: its utilisation by its own speed plus the delay of the request, less what it saves.
    fn cost(&self) -> f64 {
        let fill = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        let delay = self.wait.as_secs_f64() - self.saved.as_secs_f64();
        fill / self.speed + delay / DELAY_COST_OF_FULL.as_secs_f64()
    }
}

/// Decision for a request; numbers are indexes into the candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send it to this candidate.
    Send(usize),
    /// Send it to the first, and load its adapter on the second for later requests.
    SendAndCopy(usize, usize),
    /// Load its adapter on this candidate, then send it there.
    Load(usize),
    /// All suitable candidates are full, or have more prompts waiting than the request can wait for.
    Full,
    /// No candidate could serve it, even if idle.
    NoUpstream,
}

/// Chooses the least utilised candidate that holds what the request needs.
///
/// `key` breaks ties, so that requests spread over equal candidates.
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

/// Chooses for a request that needs an adapter; `adapter` is the key for rendezvous hashing.
pub fn choose_for_adapter(adapter: &str, candidates: &[Candidate<'_>]) -> Choice {
    let ranking = rank(adapter, candidates);
    let bound = in_flight_bound(candidates);
    let is_below_bound = |c: &Candidate<'_>| {
        f64::from(c.in_flight) < bound * bound_share(c.speed) && c.has_room() && c.wait <= MAX_WAIT
    };
    let has_capacity = |i: &usize| is_below_bound(&candidates[*i]);
    let resident = |i: &usize| candidates[*i].resident;
    let all_limited = candidates.iter().all(|c| c.limited);
    let takes_loads = |c: &Candidate<'_>| c.loadable && (all_limited || !c.limited);
    let loadable = |i: &usize| takes_loads(&candidates[*i]) && !candidates[*i].resident;

    if let Some(i) = ranking
        .iter()
        .copied()
        .find(|i| resident(i) && has_capacity(i))
    {
        let suitable = ranking.iter().copied();
        let suitable = suitable.filter(|i| resident(i) && has_capacity(i));
        return Choice::Send(cheaper_holder(i, suitable, candidates));
    }
    let next = ranking
        .iter()
        .copied()
        .find(|i| loadable(i) && has_capacity(i));
    let residents = ranking.iter().copied();
    let fallback = residents
        .filter(|i| resident(i) && candidates[*i].has_room())
        .min_by(|a, b| candidates[*a].cost().total_cmp(&candidates[*b].cost()));
    match (fallback, next) {
        (Some(i), Some(copy)) => Choice::SendAndCopy(i, copy),
        (Some(i), None) => Choice::Send(i),
        (None, Some(i)) => Choice::Load(i),
        (None, None) => load_anywhere(&ranking, candidates, takes_loads),
    }
}

/// Returns the candidate that holds more of the prompt's beginning than `first` and costs less with what that saves;
/// `first` if there is none.
fn cheaper_holder(
    first: usize,
    suitable: impl Iterator<Item = usize>,
    candidates: &[Candidate<'_>],
) -> usize {
    let holders = suitable.filter(|i| candidates[*i].saved > candidates[first].saved);
    let all = std::iter::once(first).chain(holders);
    all.min_by(|a, b| candidates[*a].cost().total_cmp(&candidates[*b].cost()))
        .unwrap_or(first)
}

/// Ranks the candidates for an adapter by rendezvous hashing, in which one of twice the speed is twice as often first.
fn rank(adapter: &str, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut ranking: Vec<usize> = (0..candidates.len()).collect();
    let mut keys: Vec<(f64, u64)> = Vec::with_capacity(candidates.len());
    for c in candidates {
        let hash = pair_hash(adapter, c.id);
        let share = (hash as f64 + 1.0) / TWO_POW_64;
        keys.push((-share.ln() / rank_weight(c.speed), hash));
    }
    ranking.sort_by(|a, b| {
        let (a, b) = (keys[*a], keys[*b]);
        a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
    });
    ranking
}

/// Returns the weight of an engine in the ranking: its speed in steps, so that all entries rank alike although what they have
/// learned differs a little.
fn rank_weight(speed: f64) -> f64 {
    RANK_STEP.powf((speed.ln() / RANK_STEP.ln()).round())
}

/// Returns the first engine in the ranking that has room and can load the adapter, ignoring the bound.
fn load_anywhere(
    ranking: &[usize],
    candidates: &[Candidate<'_>],
    takes_loads: impl Fn(&Candidate<'_>) -> bool,
) -> Choice {
    let usable = |c: &Candidate<'_>| c.resident || takes_loads(c);
    if !candidates.iter().any(usable) {
        return Choice::NoUpstream;
    }
    let fit = |i: &&usize| takes_loads(&candidates[**i]) && candidates[**i].has_room();
    ranking
        .iter()
        .find(fit)
        .map_or(Choice::Full, |i| Choice::Load(*i))
}

/// Returns the number of requests in flight up to which an engine of relative speed 1 is filled in an adapter's ranking.
fn in_flight_bound(candidates: &[Candidate<'_>]) -> f64 {
    let unlimited = candidates.iter().filter(|c| !c.limited);
    let (count, total, share) = unlimited.fold((0, 0, 0.0), |(n, sum, share), c| {
        (n + 1, sum + c.in_flight, share + bound_share(c.speed))
    });
    if count == 0 {
        return IN_FLIGHT_SLACK;
    }
    let mean = f64::from(total) / f64::from(count);
    let mean_share = share / f64::from(count);
    (mean * IN_FLIGHT_FACTOR + IN_FLIGHT_SLACK) / mean_share
}

/// Returns the share of the bound that an engine of `speed` gets, relative to one of speed 1: it works through as many
/// requests as another in proportion to its speed, and each of their prompts delays the others in inverse proportion to it.
fn bound_share(speed: f64) -> f64 {
    speed * speed
}
