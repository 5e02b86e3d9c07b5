//! Pauses that upstreams ask for, in responses to requests, orders and reports.

use crate::{
    clock::BootInstant,
    edge::{
        orders::{EngineReport, OrderClient},
        registration::Registration,
    },
    entry::context::Entry,
    holding::lock,
};
use log::info;
use std::time::Duration;

impl Entry {
    /// Records that a response to `call` asked this entry for a pause.
    pub fn record_hold_off(&self, upstream: &Registration, pause: Duration, call: &str) {
        let is_new = lock(&self.hold_offs).record(upstream, pause, BootInstant::now());
        if is_new {
            info!(upstream = &*upstream.id, call = call, pause_ms = pause.as_millis() as u64; "routing: upstream asks for a pause");
        }
    }

    /// Returns whether `upstream` wants nothing from this entry now.
    pub fn is_held_off(&self, upstream: &Registration) -> bool {
        let wait = lock(&self.hold_offs).wait(upstream, BootInstant::now());
        !wait.is_zero()
    }
}

/// Fetches the report of `upstream`, unless it wants nothing now; `None` if there was no valid response.
pub async fn fetch_report<O: OrderClient>(
    entry: &Entry,
    orders: &O,
    upstream: &Registration,
) -> Option<EngineReport> {
    if entry.is_held_off(upstream) {
        return None;
    }
    match orders.fetch_report(upstream).await {
        Ok(report) => Some(report),
        Err(failure) => {
            if let Some(pause) = failure.retry_after {
                entry.record_hold_off(upstream, pause, "report");
            }
            None
        }
    }
}
