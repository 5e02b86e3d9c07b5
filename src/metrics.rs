//! Metrics with `OpenTelemetry`, exported in the Prometheus text format.

use crate::holding::lock;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::{
    collections::HashSet,
    sync::{LazyLock, Mutex},
};

/// Bucket bounds of the stall and first-chunk histograms, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.0, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Largest number of customers with a label of their own, so that customers that come and go take no more memory.
const MAX_CUSTOMERS: usize = 64;

/// Label of all further customers.
const OTHER_CUSTOMERS: &str = "(others)";
/// Last priority that is told apart in labels, as their number is bounded.
const LAST_PRIORITY: u8 = 9;

/// Instruments of the process, created on first use.
#[derive(Debug)]
struct Instruments {
    registry: Registry,
    object_api_calls: Counter<u64>,
    upstream_connections: Counter<u64>,
    detours: Counter<u64>,
    dropped_log_lines: Counter<u64>,
    dropped_streams: Counter<u64>,
    unusable_objects: Counter<u64>,
    requests: Counter<u64>,
    customer_requests: Counter<u64>,
    customers: Mutex<HashSet<String>>,
    quota_tokens: Counter<u64>,
    quota_left: Gauge<f64>,
    quota_age: Gauge<f64>,
    refused: Counter<u64>,
    first_chunks: Histogram<f64>,
    control_bytes: Counter<u64>,
    upstreams_held: Gauge<u64>,
    orders: Counter<u64>,
    outcomes: Counter<u64>,
    refusals: Counter<u64>,
    revision: Gauge<u64>,
    running: Gauge<u64>,
    batch: Gauge<u64>,
    stalls: Histogram<f64>,
    _provider: SdkMeterProvider,
}

static INSTRUMENTS: LazyLock<Instruments> = LazyLock::new(Instruments::new);

impl Instruments {
    fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let builder = SdkMeterProvider::builder();
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(_unregistered) => builder.build(),
        };
        let meter: Meter = provider.meter("carobfield");
        Self {
            registry,
            object_api_calls: meter.u64_counter("carobfield_object_api_calls").build(),
            dropped_log_lines: meter.u64_counter("carobfield_dropped_log_lines").build(),
            dropped_streams: meter.u64_counter("carobfield_dropped_streams").build(),
            unusable_objects: meter.u64_counter("carobfield_unusable_objects").build(),
            upstream_connections: meter.u64_counter("carobfield_upstream_connections").build(),
            detours: meter.u64_counter("carobfield_detours").build(),
            requests: meter.u64_counter("carobfield_requests").build(),
            customer_requests: meter.u64_counter("carobfield_customer_requests").build(),
            customers: Mutex::default(),
            quota_tokens: meter.u64_counter("carobfield_quota_tokens").build(),
            quota_left: meter.f64_gauge("carobfield_quota_left_tokens").build(),
            quota_age: meter.f64_gauge("carobfield_quota_age_seconds").build(),
            refused: meter.u64_counter("carobfield_refused").build(),
            first_chunks: meter
                .f64_histogram("carobfield_first_part_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            control_bytes: meter.u64_counter("carobfield_control_bytes").build(),
            upstreams_held: meter.u64_gauge("carobfield_upstreams_held").build(),
            orders: meter.u64_counter("carobfield_orders").build(),
            outcomes: meter.u64_counter("carobfield_outcomes").build(),
            refusals: meter.u64_counter("carobfield_refusals").build(),
            revision: meter.u64_gauge("carobfield_catalogue_revision").build(),
            running: meter.u64_gauge("carobfield_upstream_running").build(),
            batch: meter.u64_gauge("carobfield_upstream_batch").build(),
            stalls: meter
                .f64_histogram("carobfield_load_stall_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            _provider: provider,
        }
    }
}

/// Counts a call to the object API.
pub fn object_api_call(kind: &'static str) {
    INSTRUMENTS
        .object_api_calls
        .add(1, &[KeyValue::new("kind", kind)]);
}

/// Counts a call to the platform's store.
pub fn store_call(method: &str, outcome: &'static str) {
    let labels = [
        KeyValue::new("kind", method.to_owned()),
        KeyValue::new("result", outcome),
    ];
    INSTRUMENTS.object_api_calls.add(1, &labels);
}

/// Counts a new connection to an upstream of `service`.
pub fn upstream_connection(service: &str) {
    let labels = [KeyValue::new("service", service.to_owned())];
    INSTRUMENTS.upstream_connections.add(1, &labels);
}

/// Counts an attempt for an upstream of `service` that this entry gave to another one.
pub fn detour(service: &str, outcome: &'static str) {
    let labels = [
        KeyValue::new("service", service.to_owned()),
        KeyValue::new("outcome", outcome),
    ];
    INSTRUMENTS.detours.add(1, &labels);
}

/// Counts a dropped log line.
pub fn dropped_log_line() {
    INSTRUMENTS.dropped_log_lines.add(1, &[]);
}

/// Counts streams whose builds were not stored.
pub fn dropped_streams(count: u64) {
    INSTRUMENTS.dropped_streams.add(count, &[]);
}

/// Counts objects in the store that were found to be unusable.
pub fn unusable_objects(kind: &'static str, count: u64) {
    INSTRUMENTS
        .unusable_objects
        .add(count, &[KeyValue::new("kind", kind)]);
}

/// Counts a request by the kind of its route (how it may be repeated) and by its outcome.
pub fn request(kind: &'static str, outcome: &'static str) {
    let labels = [
        KeyValue::new("kind", kind),
        KeyValue::new("outcome", outcome),
    ];
    INSTRUMENTS.requests.add(1, &labels);
}

/// Counts a request of a customer by its outcome.
pub fn customer_request(customer: &str, outcome: &'static str) {
    let labels = [
        KeyValue::new("customer", customer_label(customer)),
        KeyValue::new("outcome", outcome),
    ];
    INSTRUMENTS.customer_requests.add(1, &labels);
}

/// Returns the label of a customer: its name for the first [`MAX_CUSTOMERS`] that this process has seen.
fn customer_label(customer: &str) -> String {
    let mut known = lock(&INSTRUMENTS.customers);
    if !known.contains(customer) {
        if known.len() >= MAX_CUSTOMERS {
            return String::from(OTHER_CUSTOMERS);
        }
        known.insert(customer.to_owned());
    }
    customer.to_owned()
}

/// Counts tokens of a customer's requests: admitted, refused, or returned as they were not run.
pub fn quota_tokens(customer: &str, outcome: &'static str, tokens: u64) {
    let labels = [
        KeyValue::new("customer", customer_label(customer)),
        KeyValue::new("outcome", outcome),
    ];
    INSTRUMENTS.quota_tokens.add(tokens, &labels);
}

/// Sets the tokens for which a customer's quota has room.
pub fn quota_left(customer: &str, tokens: f64) {
    let labels = [KeyValue::new("customer", customer_label(customer))];
    INSTRUMENTS.quota_left.record(tokens, &labels);
}

/// Sets the time since another entry last told of its use of quotas, in seconds.
pub fn quota_age(seconds: f64) {
    INSTRUMENTS.quota_age.record(seconds, &[]);
}

/// Counts a request that found its route and was refused, by priority and reason; priorities above the last one that is
/// told apart are counted with it.
pub fn refused(priority: u8, reason: &'static str) {
    let labels = [
        KeyValue::new("priority", i64::from(priority.min(LAST_PRIORITY))),
        KeyValue::new("reason", reason),
    ];
    INSTRUMENTS.refused.add(1, &labels);
}

/// Records the time from a request's arrival to the first chunk of its response.
pub fn first_chunk(kind: &'static str, seconds: f64) {
    INSTRUMENTS
        .first_chunks
        .record(seconds, &[KeyValue::new("kind", kind)]);
}

/// Counts bytes of control messages sent between the system's own processes.
pub fn control_bytes(kind: &'static str, bytes: usize) {
    INSTRUMENTS
        .control_bytes
        .add(bytes as u64, &[KeyValue::new("kind", kind)]);
}

/// Records how many upstreams this process holds.
pub fn upstreams_held(count: usize) {
    INSTRUMENTS.upstreams_held.record(count as u64, &[]);
}

/// Counts an order to an upstream.
pub fn order(kind: &'static str, result: &'static str) {
    let labels = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
    INSTRUMENTS.orders.add(1, &labels);
}

/// Counts a response to a caller by its outcome.
pub fn outcome(outcome: &'static str) {
    INSTRUMENTS
        .outcomes
        .add(1, &[KeyValue::new("outcome", outcome)]);
}

/// Counts a refused request by its reason.
pub fn refusal(reason: &'static str) {
    INSTRUMENTS
        .refusals
        .add(1, &[KeyValue::new("reason", reason)]);
}

/// Records the catalogue revision in force.
pub fn catalogue_revision(revision: u64) {
    INSTRUMENTS.revision.record(revision, &[]);
}

/// Records an upstream's requests in flight and its batch size.
pub fn upstream_batch(upstream: &str, running: u32, batch: u32) {
    let labels = [KeyValue::new("upstream", upstream.to_owned())];
    INSTRUMENTS.running.record(u64::from(running), &labels);
    INSTRUMENTS.batch.record(u64::from(batch), &labels);
}

/// Records the time a request waited for an adapter load.
pub fn load_stall(class: &'static str, seconds: f64) {
    INSTRUMENTS
        .stalls
        .record(seconds, &[KeyValue::new("class", class)]);
}

/// Renders all metrics in the Prometheus text format.
pub fn render() -> Vec<u8> {
    let mut encoded = Vec::new();
    let families = INSTRUMENTS.registry.gather();
    if TextEncoder::new().encode(&families, &mut encoded).is_err() {
        encoded.clear();
    }
    encoded
}
