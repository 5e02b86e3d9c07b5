//! Measures the overhead of control and forwarding by deployment size, for docs/CAPACITY.md.

use crate::{
    client::{self, CompletionRequest, ReplyOutcome},
    harness::{Deployment, Role, get, get_json},
    layout::Layout,
    object_api::CallCounts,
};
use carobfield::http_client;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Clock ticks per second of processor time, as `/proc` reports them.
const TICKS_PER_SECOND: f64 = 100.0;

/// Time that a deployment runs before the measurement starts.
const SETTLE: Duration = Duration::from_secs(3);

/// Sizes of a measured deployment and its load.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Sizes {
    /// Number of entry VMs.
    pub entries: u8,
    /// Number of engines.
    pub engines: u8,
    /// Number of adapters in the catalogue.
    pub adapters: u32,
    /// Requests per second.
    pub rate: f64,
}

/// Measured resource usage; per-process figures are means over the entry VMs.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ResourceUsage {
    /// Sizes that were measured.
    pub sizes: Sizes,
    /// Processor usage of a dispatcher, in percent of a core.
    pub dispatcher_cpu: f64,
    /// Processor usage of a gateway, in percent of a core.
    pub gateway_cpu: f64,
    /// Resident memory of a dispatcher, in MB.
    pub dispatcher_mb: f64,
    /// Resident memory of a gateway, in MB.
    pub gateway_mb: f64,
    /// Control traffic that a dispatcher sends, in bytes per second.
    pub control_bytes: f64,
    /// Object API reads per second of the whole system, including watches.
    pub reads: f64,
    /// Object API writes per second of the whole system.
    pub writes: f64,
    /// Tokens forwarded per second by the whole system.
    pub tokens: f64,
}

/// Counters of all processes at one moment.
#[derive(Clone, Debug, Default)]
struct Counters {
    dispatcher_ticks: u64,
    gateway_ticks: u64,
    dispatcher_kb: u64,
    gateway_kb: u64,
    control: f64,
    calls: CallCounts,
}

async fn read_counters(d: &mut Deployment) -> Counters {
    let mut out = Counters::default();
    for n in 0..d.layout.entries {
        let (kb, ticks) = d.usage(Role::Dispatcher, n).unwrap_or_default();
        out.dispatcher_kb += kb;
        out.dispatcher_ticks += ticks;
        let (kb, ticks) = d.usage(Role::Gateway, n).unwrap_or_default();
        out.gateway_kb += kb;
        out.gateway_ticks += ticks;
        out.control += read_metric(d, d.dispatcher_operators(n), "carobfield_control_bytes").await;
    }
    out.calls = get_json(&d.client, d.objects(), "/stats")
        .await
        .unwrap_or_default();
    out
}

/// Returns the sum of a metric over its labels, or 0 if it could not be read.
async fn read_metric(d: &Deployment, address: SocketAddr, name: &str) -> f64 {
    let Some(response) = get(&d.client, address, "/metrics").await else {
        return 0.0;
    };
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines().filter(|l| l.starts_with(name));
    lines
        .filter_map(|l| l.rsplit_once(' ')?.1.parse::<f64>().ok())
        .sum()
}

/// Measures the resource usage of a deployment of these sizes for `window`.
pub async fn measure(sizes: Sizes, window: Duration) -> ResourceUsage {
    let layout = Layout {
        entries: sizes.entries,
        engines: sizes.engines,
        open_engines: sizes.engines / 2,
        services: 0,
        slots: 8,
        batch: 16,
        adapters: sizes.adapters,
        load_rate: 50.0,
        step_us: 10_000,
        log: String::from("info"),
        ..Layout::default()
    };
    let mut d = Deployment::start(layout).await;
    let load = tokio::spawn(send_steady_load(d.gateways(), sizes, window + SETTLE));
    tokio::time::sleep(SETTLE).await;
    let before = read_counters(&mut d).await;
    let started = Instant::now();
    tokio::time::sleep(window).await;
    let after = read_counters(&mut d).await;
    let seconds = started.elapsed().as_secs_f64();
    let tokens = load.await.unwrap_or(0.0);
    resource_usage(sizes, &before, &after, seconds, tokens)
}

fn resource_usage(
    sizes: Sizes,
    before: &Counters,
    after: &Counters,
    seconds: f64,
    tokens: f64,
) -> ResourceUsage {
    let entries = f64::from(sizes.entries);
    let percent = |b: u64, a: u64| (a - b) as f64 * 100.0 / TICKS_PER_SECOND / seconds / entries;
    let per_second = |b: u64, a: u64| (a - b) as f64 / seconds;
    ResourceUsage {
        sizes,
        dispatcher_cpu: percent(before.dispatcher_ticks, after.dispatcher_ticks),
        gateway_cpu: percent(before.gateway_ticks, after.gateway_ticks),
        dispatcher_mb: after.dispatcher_kb as f64 / 1_024.0 / entries,
        gateway_mb: after.gateway_kb as f64 / 1_024.0 / entries,
        control_bytes: (after.control - before.control) / seconds / entries,
        reads: per_second(before.calls.reads, after.calls.reads),
        writes: per_second(before.calls.writes, after.calls.writes),
        tokens,
    }
}

/// Sends requests at a constant rate over all gateways and a few hot adapters; returns the tokens received per second.
async fn send_steady_load(gateways: Vec<SocketAddr>, sizes: Sizes, length: Duration) -> f64 {
    if sizes.rate <= 0.0 {
        return 0.0;
    }
    let client = http_client::build();
    let mut pending = JoinSet::new();
    let started = Instant::now();
    let mut n = 0_u64;
    while started.elapsed() < length {
        let gateway = gateways[n as usize % gateways.len()];
        let request = CompletionRequest {
            model: format!("adapter-{}@1", n % u64::from(sizes.engines)),
            prompt: format!("request {n}"),
            tokens: 100,
            stream: true,
            ..CompletionRequest::default()
        };
        let client = client.clone();
        pending.spawn(async move {
            let reply = client::complete(&client, gateway, &request).await;
            u64::from(reply.outcome == ReplyOutcome::Complete) * request.tokens
        });
        n += 1;
        let due = started + Duration::from_secs_f64(n as f64 / sizes.rate);
        tokio::time::sleep_until(due.into()).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let mut tokens = 0;
    while let Some(ended) = pending.join_next().await {
        tokens += ended.unwrap_or(0);
    }
    tokens as f64 / seconds
}

/// Overhead of forwarding, compared with the same requests sent directly to the engine.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PathCost {
    /// Requests per second.
    pub rate: f64,
    /// Number of measured pairs.
    pub pairs: usize,
    /// Median time added to the first token, in milliseconds.
    pub first_p50: f64,
    /// 99th percentile of the same.
    pub first_p99: f64,
    /// Median time added to the complete response, in milliseconds.
    pub whole_p50: f64,
    /// 99th percentile of the same.
    pub whole_p99: f64,
    /// Requests per second and core used by gateways.
    pub gateway_per_core: f64,
    /// Requests per second and core used by dispatchers.
    pub dispatcher_per_core: f64,
}

/// Measures the forwarding overhead with pairs of requests at `rate`: first directly to the engine, then through the system.
pub async fn path_cost(rate: f64, length: Duration) -> PathCost {
    let layout = Layout {
        entries: 6,
        engines: 4,
        open_engines: 0,
        services: 0,
        slots: 4,
        batch: 256,
        adapters: 4,
        step_us: 2_000,
        log: String::from("info"),
        ..Layout::default()
    };
    let mut d = Deployment::start(layout).await;
    let engines = load_adapters(&d).await;
    let client = http_client::build();
    let before = read_counters(&mut d).await;
    let (mut pending, started, mut n) = (JoinSet::new(), Instant::now(), 0_u64);
    while started.elapsed() < length {
        let adapter = n % 4;
        let (gateway, engine) = (d.gateway((n % 6) as u8), engines[adapter as usize]);
        let request = CompletionRequest {
            model: format!("adapter-{adapter}@1"),
            prompt: format!("pair {n}"),
            tokens: 8,
            stream: true,
            ..CompletionRequest::default()
        };
        let client = client.clone();
        pending.spawn(async move {
            let direct = client::complete(&client, engine, &request).await;
            let routed = client::complete(&client, gateway, &request).await;
            (routed.outcome == ReplyOutcome::Complete).then_some({
                (
                    routed.first_ms - direct.first_ms,
                    routed.total_ms - direct.total_ms,
                )
            })
        });
        n += 1;
        let due = started + Duration::from_secs_f64(n as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let mut pairs = Vec::new();
    while let Some(ended) = pending.join_next().await {
        pairs.extend(ended.ok().flatten());
    }
    let after = read_counters(&mut d).await;
    summarize(rate, n as f64 / seconds, &pairs, &before, &after, seconds)
}

/// Loads each adapter once and returns the engines that hold them.
async fn load_adapters(d: &Deployment) -> Vec<SocketAddr> {
    let mut engines = Vec::new();
    for n in 0..4 {
        let request = CompletionRequest {
            model: format!("adapter-{n}@1"),
            ..CompletionRequest::default()
        };
        let reply = d.complete(0, &request).await;
        let engine = reply
            .header("carobfield-upstream")
            .trim_start_matches("engine-");
        engines.push(d.engine(engine.parse().unwrap_or(0)));
    }
    engines
}

fn summarize(
    rate: f64,
    achieved_rate: f64,
    pairs: &[(f64, f64)],
    before: &Counters,
    after: &Counters,
    seconds: f64,
) -> PathCost {
    let quantile = |value: fn(&(f64, f64)) -> f64, q: f64| {
        let mut h = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        for pair in pairs {
            h.saturating_record((value(pair).max(0.0) * 1_000.0) as u64);
        }
        h.value_at_quantile(q) as f64 / 1_000.0
    };
    let cores = |b: u64, a: u64| (a - b) as f64 / TICKS_PER_SECOND / seconds;
    PathCost {
        rate,
        pairs: pairs.len(),
        first_p50: quantile(|p| p.0, 0.5),
        first_p99: quantile(|p| p.0, 0.99),
        whole_p50: quantile(|p| p.1, 0.5),
        whole_p99: quantile(|p| p.1, 0.99),
        gateway_per_core: achieved_rate / cores(before.gateway_ticks, after.gateway_ticks),
        dispatcher_per_core: achieved_rate / cores(before.dispatcher_ticks, after.dispatcher_ticks),
    }
}
