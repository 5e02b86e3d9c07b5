//! Runs a scenario on a deployment of separate processes and computes its figures.

use crate::{
    arrivals::{self, Arrival},
    client::{self, CompletionRequest, Reply, ReplyOutcome},
    engine::EngineFaults,
    engine_state::EngineStats,
    harness::{Deployment, Role, get, get_json},
    scenario::{EventKind, Scenario},
    weight_store::WeightStats,
};
use carobfield::http_client;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    io::{IsTerminal, Write},
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Prompt that crashes engines in a poison event.
const POISON: &str = "crash-me";

/// Delay after which every gateway knows every engine.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Upper bound of the histograms, in milliseconds.
const MAX_MS: u64 = 300_000;

/// Pair of a placement and an eviction policy.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Name in reports.
    pub name: &'static str,
    /// Placement policy, as in the gateway's settings.
    pub placement: &'static str,
    /// Eviction policy, as in the dispatcher's settings.
    pub eviction: &'static str,
}

/// Policies to compare: the baselines, then the default policy.
pub const POLICIES: [Policy; 5] = [
    Policy {
        name: "random-lru",
        placement: "random",
        eviction: "lru",
    },
    Policy {
        name: "least-loaded-lru",
        placement: "least-loaded",
        eviction: "lru",
    },
    Policy {
        name: "hash-lru",
        placement: "hash",
        eviction: "lru",
    },
    Policy {
        name: "cost-lru",
        placement: "cost",
        eviction: "lru",
    },
    Policy {
        name: "policy",
        placement: "cost",
        eviction: "value",
    },
];

/// Record of a request, as in the history file.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// Seconds after the start of the measured part.
    pub at: f64,
    /// Number of the adapter.
    pub adapter: u32,
    /// Number of the adapter's owner.
    pub owner: u32,
    /// Number of the class, 0 for the most urgent.
    pub class: usize,
    /// Name of the [`ReplyOutcome`].
    pub told: String,
    /// Error code of a refusal or failure, else empty.
    pub code: String,
    /// Time spent waiting for adapter loads, in milliseconds.
    pub stall_ms: u64,
    /// Time to the first chunk, in milliseconds.
    pub first_ms: f64,
    /// Time to the end of the response, in milliseconds.
    pub total_ms: f64,
    /// Identifier of the request, as in the logs.
    pub request: String,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Figures {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Number of requests in the measured part.
    pub requests: usize,
    /// Fraction of requests with a complete response in time.
    pub goodput: f64,
    /// Fraction of requests that missed their deadline or were refused.
    pub misses: f64,
    /// Total load stall, in seconds.
    pub stall_total: f64,
    /// Fraction of requests that waited for a load.
    pub stalled: f64,
    /// Median load stall, in milliseconds.
    pub stall_p50: u64,
    /// 99th percentile of the load stall, in milliseconds.
    pub stall_p99: u64,
    /// Total load stall by class, in seconds.
    pub stall_by_class: [f64; 3],
    /// Fraction of requests with a complete response, by class.
    pub served_by_class: [f64; 3],
    /// Fraction of the engines' batch capacity that was used.
    pub efficiency: f64,
    /// Lowest and highest `efficiency` of an engine.
    pub efficiency_range: [f64; 2],
    /// Number of adapter loads in the measured part.
    pub loads: u64,
    /// Number of those loads whose adapter had been loaded before in the run.
    pub repeated_loads: u64,
    /// Loads per 1,000 requests.
    pub loads_per_1000: f64,
    /// Number of loads under clairvoyant eviction, a lower bound.
    pub clairvoyant_loads: usize,
    /// Largest number of loads started in one second of the run.
    pub peak_loads: u32,
    /// Median time to the first chunk of complete responses, in milliseconds.
    pub first_p50: u64,
    /// 95th percentile of the same.
    pub first_p95: u64,
    /// Ratio of the highest to the lowest served fraction among owners with at least 20 requests.
    pub fairness: f64,
    /// Seconds after the event until the served fraction is back at 90% of that before it; -1 if not within the run.
    pub recovery: f64,
}

/// Figures of a run and its requests' records.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Figures of the run.
    pub figures: Figures,
    /// Records of the measured part.
    pub records: Vec<Record>,
}

/// Counters of the stand-ins at one moment.
#[derive(Clone, Debug, Default)]
struct Counters {
    engines: Vec<EngineStats>,
    weights: WeightStats,
}

async fn read_counters(d: &Deployment) -> Counters {
    let mut engines = Vec::new();
    for n in 0..d.layout.engines {
        engines.push(
            get_json(&d.client, d.engine(n), "/stats")
                .await
                .unwrap_or_default(),
        );
    }
    let weights = get_json(&d.client, d.weights(), "/stats")
        .await
        .unwrap_or_default();
    Counters { engines, weights }
}

/// Runs `scenario` under `policy` with the arrivals of `seed`.
pub async fn run(scenario: &Scenario, policy: &Policy, seed: u64) -> Outcome {
    let mut scenario = scenario.clone();
    policy.placement.clone_into(&mut scenario.layout.placement);
    policy.eviction.clone_into(&mut scenario.layout.eviction);
    let arrivals = arrivals::draw(&scenario, seed);
    let mut d = Deployment::start(scenario.layout.clone()).await;
    tokio::time::sleep(SETTLE).await;
    let started = Instant::now();
    let (records, before, after) = send_arrivals(&mut d, &scenario, &arrivals, started).await;
    let records: Vec<Record> = records.into_iter().filter(|r| r.at >= 0.0).collect();
    let mut figures = summarize(&scenario, &records, &before, &after);
    policy.name.clone_into(&mut figures.policy);
    figures.seed = seed;
    let slots = usize::from(scenario.layout.engines) * scenario.layout.slots as usize;
    figures.clairvoyant_loads = arrivals::clairvoyant_loads(&arrivals, slots, scenario.warmup);
    Outcome { figures, records }
}

async fn send_arrivals(
    d: &mut Deployment,
    scenario: &Scenario,
    arrivals: &[Arrival],
    started: Instant,
) -> (Vec<Record>, Counters, Counters) {
    let client = http_client::build();
    let mut pending = JoinSet::new();
    let mut before = None;
    let mut event = scenario.event;
    for arrival in arrivals {
        let due = started + Duration::from_secs_f64(arrival.at);
        tokio::time::sleep_until(due.into()).await;
        if before.is_none() && arrival.at >= scenario.warmup {
            before = Some(read_counters(d).await);
        }
        if let Some(e) = event.filter(|e| arrival.at >= e.at + scenario.warmup) {
            event = None;
            inject_event(d, e.kind).await;
        }
        show_progress(arrival.at, scenario);
        let gateway = gateway_for(d, arrival.gateway, scenario);
        let (client, arrival) = (client.clone(), arrival.clone());
        let offset = scenario.warmup;
        pending.spawn(async move {
            let reply = client::complete(&client, gateway, &arrival.request).await;
            record(&arrival, &reply, offset)
        });
    }
    let after = read_counters(d).await;
    let mut records = Vec::new();
    while let Some(ended) = pending.join_next().await {
        records.extend(ended.ok());
    }
    records.sort_by(|a, b| a.at.total_cmp(&b.at));
    (records, before.unwrap_or_default(), after)
}

fn show_progress(at: f64, scenario: &Scenario) {
    let mut out = std::io::stderr();
    if out.is_terminal() {
        let end = scenario.warmup + scenario.duration;
        let _best_effort = write!(out, "\r{}: {at:5.1} of {end:.0} s", scenario.name);
    }
}

/// Returns the gateway of an arrival; gateway 1 replaces gateway 0 if that is killed during the run.
fn gateway_for(d: &Deployment, n: u8, scenario: &Scenario) -> SocketAddr {
    let killed = scenario
        .event
        .is_some_and(|e| e.kind == EventKind::EntryKill);
    let n = if killed && n == 0 { 1 } else { n };
    d.gateway(n)
}

async fn inject_event(d: &mut Deployment, kind: EventKind) {
    match kind {
        EventKind::PopularityShift => {}
        EventKind::EngineRestart => d.post(d.engine(0), "/restart", &()).await,
        EventKind::EntryKill => {
            d.kill(Role::Gateway, 0);
            d.kill(Role::Dispatcher, 0);
        }
        EventKind::WeightsHalved => {
            drop(get(&d.client, d.weights(), "/fault?factor=0.5").await);
        }
        EventKind::Poison => {
            let faults = EngineFaults {
                crash_on: POISON.to_owned(),
                ..EngineFaults::default()
            };
            for n in 0..d.layout.engines {
                d.post(d.engine(n), "/fault", &faults).await;
            }
            let (client, gateways) = (d.client.clone(), d.gateways());
            tokio::spawn(async move {
                let request = CompletionRequest {
                    prompt: POISON.to_owned(),
                    ..CompletionRequest::default()
                };
                for n in 0..20 {
                    client::complete(&client, gateways[n % gateways.len()], &request).await;
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            });
        }
    }
}

fn record(arrival: &Arrival, reply: &Reply, warmup: f64) -> Record {
    Record {
        at: arrival.at - warmup,
        adapter: arrival.adapter,
        owner: arrival.adapter % 20,
        class: arrival.class,
        told: format!("{:?}", reply.outcome),
        code: reply.error_code(),
        stall_ms: reply.number("carobfield-stall-ms").unwrap_or(0),
        first_ms: reply.first_ms,
        total_ms: reply.total_ms,
        request: reply.header("carobfield-request-id").to_owned(),
    }
}

fn is_served(record: &Record) -> bool {
    record.told == format!("{:?}", ReplyOutcome::Complete)
}

fn histogram(values: impl Iterator<Item = u64>) -> Histogram<u64> {
    let mut out = Histogram::new_with_bounds(1, MAX_MS, 3).expect("the bounds are valid");
    for value in values {
        out.saturating_record(value);
    }
    out
}

fn fraction(count: usize, total: usize) -> f64 {
    if total == 0 {
        0.0
    } else {
        count as f64 / total as f64
    }
}

fn summarize(
    scenario: &Scenario,
    records: &[Record],
    before: &Counters,
    after: &Counters,
) -> Figures {
    let served: Vec<&Record> = records.iter().filter(|r| is_served(r)).collect();
    let stalls = histogram(records.iter().map(|r| r.stall_ms));
    let firsts = histogram(served.iter().map(|r| r.first_ms as u64));
    let seconds = |rs: &mut dyn Iterator<Item = &Record>| {
        rs.map(|r| r.stall_ms as f64 / 1_000.0).sum::<f64>()
    };
    let of_class = |class: usize| records.iter().filter(move |r| r.class == class);
    let classes = [0, 1, 2];
    let goodput = fraction(served.len(), records.len());
    let (efficiency, efficiency_range) = efficiency(before, after);
    let loads = after.weights.loads.saturating_sub(before.weights.loads);
    Figures {
        scenario: scenario.name.clone(),
        requests: records.len(),
        goodput,
        misses: 1.0 - goodput,
        stall_total: seconds(&mut records.iter()),
        stalled: fraction(
            records.iter().filter(|r| r.stall_ms > 0).count(),
            records.len(),
        ),
        stall_p50: stalls.value_at_quantile(0.5),
        stall_p99: stalls.value_at_quantile(0.99),
        stall_by_class: classes.map(|c| seconds(&mut of_class(c))),
        served_by_class: classes.map(|c| {
            fraction(
                of_class(c).filter(|r| is_served(r)).count(),
                of_class(c).count(),
            )
        }),
        efficiency,
        efficiency_range,
        loads,
        repeated_loads: count_repeated_loads(before, after),
        loads_per_1000: loads as f64 * 1_000.0 / records.len().max(1) as f64,
        peak_loads: after.weights.peak_second,
        first_p50: firsts.value_at_quantile(0.5),
        first_p95: firsts.value_at_quantile(0.95),
        fairness: fairness(records),
        recovery: recovery(scenario, records),
        ..Figures::default()
    }
}

fn efficiency(before: &Counters, after: &Counters) -> (f64, [f64; 2]) {
    let mut totals = (0.0, 0.0);
    let mut range = [f64::MAX, 0.0_f64];
    for (b, a) in before.engines.iter().zip(&after.engines) {
        // The counters of a restarted engine start at 0.
        let b = if a.paid < b.paid {
            EngineStats::default()
        } else {
            b.clone()
        };
        let (used, paid) = (a.used - b.used, a.paid - b.paid);
        totals = (totals.0 + used, totals.1 + paid);
        range = [range[0].min(used / paid), range[1].max(used / paid)];
    }
    (totals.0 / totals.1, range)
}

fn count_repeated_loads(before: &Counters, after: &Counters) -> u64 {
    let loads = after.weights.by_model.iter().map(|(model, n)| {
        let earlier = before.weights.by_model.get(model).copied().unwrap_or(0);
        let recent = u64::from(n.saturating_sub(earlier));
        if earlier > 0 {
            recent
        } else {
            recent.saturating_sub(1)
        }
    });
    loads.sum()
}

fn fairness(records: &[Record]) -> f64 {
    let mut owners = BTreeMap::<u32, (usize, usize)>::new();
    for record in records {
        let counts = owners.entry(record.owner).or_default();
        counts.0 += usize::from(is_served(record));
        counts.1 += 1;
    }
    let fractions = owners
        .values()
        .filter(|c| c.1 >= 20)
        .map(|c| fraction(c.0, c.1));
    let (low, high) = fractions.fold((1.0_f64, 0.0_f64), |(l, h), s| (l.min(s), h.max(s)));
    if low > 0.0 { high / low } else { 0.0 }
}

/// Returns the seconds from the event to the first three-second window in which the served fraction is at least 90% of
/// that before the event.
fn recovery(scenario: &Scenario, records: &[Record]) -> f64 {
    const WINDOW: f64 = 3.0;
    let Some(event) = scenario.event else {
        return 0.0;
    };
    let served = |from: f64, to: f64| {
        let within = || records.iter().filter(|r| r.at >= from && r.at < to);
        fraction(within().filter(|r| is_served(r)).count(), within().count())
    };
    let baseline = served(0.0, event.at);
    let mut at = event.at;
    while at + WINDOW <= scenario.duration {
        if served(at, at + WINDOW) >= 0.9 * baseline {
            return at - event.at;
        }
        at += 0.5;
    }
    -1.0
}

/// Writes the history file, one JSON object per line and request.
///
/// # Errors
/// Fails if the file could not be written.
pub fn write_history(path: &std::path::Path, outcome: &Outcome) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for record in &outcome.records {
        serde_json::to_writer(&mut file, record)?;
        writeln!(file)?;
    }
    file.flush()
}
