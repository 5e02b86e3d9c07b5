//! Stand-in for the weight store, which limits the rate of loads.

use crate::web::{self, WebRequest, WebResult};
use carobfield::{clock::BootInstant, holding::lock};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Interval at which the progress of an emulated transfer is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct WeightStoreConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Loads per second.
    pub rate: f64,
    /// Concurrent loads that run at full speed; more than that share the rate.
    pub streams: u32,
}

/// Statistics of the loads so far.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WeightStats {
    /// Loads started.
    pub loads: u64,
    /// Most concurrent loads.
    pub peak: u32,
    /// Most loads started within one second.
    pub peak_second: u32,
    /// Loads by adapter.
    pub by_model: BTreeMap<String, u32>,
    /// Factor applied to the rate; below 1 for tests with a slower store.
    pub factor: f64,
}

#[derive(Debug)]
struct State {
    stats: WeightStats,
    active: u32,
    recent_starts: Vec<BootInstant>,
}

/// Serves until `stop` is cancelled.
///
/// # Errors
/// The address could not be bound.
pub async fn run(config: WeightStoreConfig, stop: CancellationToken) -> std::io::Result<()> {
    let listener = web::bind(config.listen).await?;
    let stats = WeightStats {
        factor: 1.0,
        ..WeightStats::default()
    };
    let state = Arc::new(Mutex::new(State {
        stats,
        active: 0,
        recent_starts: Vec::new(),
    }));
    let handler = Arc::new(move |request| {
        let (state, config) = (Arc::clone(&state), config.clone());
        Box::pin(async move { handle(&state, &config, &request).await }) as _
    });
    web::serve(listener, handler, stop).await;
    Ok(())
}

/// Transfer in progress; dropping it ends the transfer.
struct Transfer<'a>(&'a Mutex<State>);

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        lock(self.0).active -= 1;
    }
}

async fn handle(
    state: &Mutex<State>,
    config: &WeightStoreConfig,
    request: &WebRequest,
) -> WebResult {
    if request.path == "/stats" {
        return Ok(web::json(StatusCode::OK, &lock(state).stats));
    }
    if request.path == "/fault" {
        let factor = request.param("factor").and_then(|f| f.parse().ok());
        lock(state).stats.factor = factor.unwrap_or(1.0);
        return Ok(web::empty(StatusCode::OK));
    }
    let Some(model) = request.path.strip_prefix("/weights/") else {
        return Ok(web::empty(StatusCode::NOT_FOUND));
    };
    record_start(state, model);
    let transfer = Transfer(state);
    let mut remaining_s = f64::from(config.streams) / config.rate;
    let mut updated_at = BootInstant::now();
    while remaining_s > 0.0 {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        let now = BootInstant::now();
        let (active, factor) = {
            let state = lock(state);
            (state.active, state.stats.factor)
        };
        let share = (f64::from(config.streams) / f64::from(active.max(1))).min(1.0);
        remaining_s -= now.since(updated_at).as_secs_f64() * share * factor;
        updated_at = now;
    }
    drop(transfer);
    Ok(web::text(
        StatusCode::OK,
        "application/octet-stream",
        "weights",
    ))
}

fn record_start(state: &Mutex<State>, model: &str) {
    let now = BootInstant::now();
    let mut state = lock(state);
    state
        .recent_starts
        .retain(|t| now.since(*t) < Duration::from_secs(1));
    state.recent_starts.push(now);
    state.active += 1;
    let (active, within_second) = (state.active, state.recent_starts.len() as u32);
    let stats = &mut state.stats;
    stats.loads += 1;
    stats.peak = stats.peak.max(active);
    stats.peak_second = stats.peak_second.max(within_second);
    *stats.by_model.entry(model.to_owned()).or_insert(0) += 1;
}
