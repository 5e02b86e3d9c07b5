//! Random arrivals of a scenario; they depend only on the scenario and the seed.

use crate::{
    client::CompletionRequest,
    scenario::{EventKind, Scenario},
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use rand_distr::{Distribution, Exp, Zipf};

/// A request and its arrival time.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Seconds after the start of the run.
    pub at: f64,
    /// Number of the adapter.
    pub adapter: u32,
    /// Request to send.
    pub request: CompletionRequest,
    /// Number of the class, 0 for the most urgent.
    pub class: usize,
    /// Number of the gateway; callers use another one if it is killed during the run.
    pub gateway: u8,
}

/// Draws all arrivals of a run: Poisson arrivals of adapters with Zipf popularity.
///
/// # Panics
/// Panics if the scenario has no adapters or a rate of 0.
pub fn draw(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let adapters = scenario.layout.adapters;
    let mut adapter_of_rank: Vec<u32> = (0..adapters).collect();
    adapter_of_rank.shuffle(&mut rng);
    let intervals = Exp::new(scenario.rate).expect("the rate is above 0");
    let ranks = Zipf::new(f64::from(adapters), scenario.zipf).expect("there are adapters");
    let shift = scenario
        .event
        .filter(|e| e.kind == EventKind::PopularityShift);
    let shift = shift.map(|e| e.at + scenario.warmup);
    let end = scenario.warmup + scenario.duration;
    let mut out = Vec::new();
    let mut at = 0.0;
    loop {
        at += intervals.sample(&mut rng);
        if at >= end {
            return out;
        }
        let rank = (ranks.sample(&mut rng) as usize).clamp(1, adapters as usize) - 1;
        let reversed = shift.is_some_and(|s| at >= s);
        let rank = if reversed {
            adapters as usize - 1 - rank
        } else {
            rank
        };
        let adapter = adapter_of_rank[rank];
        let tokens = rng.random_range(scenario.tokens_min..=scenario.tokens_max);
        let prefix = rng.random_range(0..scenario.prefixes.max(1));
        let gateway = rng.random_range(0..scenario.layout.entries);
        let class = class_number(adapter);
        let prompt = format!(
            "{:>256} request {}",
            format!("instructions {prefix} of adapter {adapter}"),
            out.len()
        );
        let request = CompletionRequest {
            model: format!("adapter-{adapter}@1"),
            prompt,
            tokens,
            stream: true,
            key: None,
            timeout: scenario.deadlines[class],
        };
        out.push(Arrival {
            at,
            adapter,
            request,
            class,
            gateway,
        });
    }
}

/// Returns the number of an adapter's class, 0 for the most urgent.
pub fn class_number(adapter: u32) -> usize {
    match crate::scenario::class_of(adapter) {
        "interactive" => 0,
        "standard" => 1,
        _ => 2,
    }
}

/// Returns the number of adapter loads from `from` on under clairvoyant eviction (Belady's algorithm) over all slots
/// together.
///
/// It evicts the adapter whose next use is furthest away and serves every request at once, so it is a lower bound
/// for any real policy.
pub fn clairvoyant_loads(arrivals: &[Arrival], slots: usize, from: f64) -> usize {
    let mut next_use = vec![usize::MAX; arrivals.len()];
    let mut last_seen = std::collections::HashMap::new();
    for (i, arrival) in arrivals.iter().enumerate().rev() {
        if let Some(next) = last_seen.insert(arrival.adapter, i) {
            next_use[i] = next;
        }
    }
    let mut resident = std::collections::HashMap::new();
    let mut loads = 0;
    for (i, arrival) in arrivals.iter().enumerate() {
        if resident.insert(arrival.adapter, next_use[i]).is_some() {
            continue;
        }
        loads += usize::from(arrival.at >= from);
        if resident.len() > slots {
            let furthest = resident
                .iter()
                .filter(|(adapter, _)| **adapter != arrival.adapter)
                .max_by_key(|(adapter, next)| (**next, **adapter))
                .map(|(adapter, _)| *adapter);
            if let Some(adapter) = furthest {
                resident.remove(&adapter);
            }
        }
    }
    loads
}
