//! HTTP routes for operators: metrics, health, readiness and status.

use crate::{handler_state, http_server, metrics};
use gotham::{
    helpers::http::Body,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_router},
    },
    state::{FromState, State},
};
use http::{Response, StatusCode};
use serde_json::Value;
use std::sync::Arc;

/// Callbacks that report a process's state to operators.
pub struct Probe {
    /// Whether the process is ready to serve.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Status of the process, as JSON.
    pub status: Box<dyn Fn() -> Value + Send + Sync>,
}

impl std::fmt::Debug for Probe {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Probe").finish_non_exhaustive()
    }
}

handler_state!(ProbeState, Probe);

/// Builds the router of the operators' listener.
pub fn router(probe: Probe) -> Router {
    let middleware = StateMiddleware::new(ProbeState(Arc::new(probe)));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/metrics").to(show_metrics);
        route.get("/healthz").to(show_health);
        route.get("/readyz").to(show_readiness);
        route.get("/status").to(show_status);
    })
}

fn show_metrics(state: State) -> (State, Response<Body>) {
    let text = "text/plain; version=0.0.4";
    (
        state,
        http_server::response(StatusCode::OK, text, metrics::render()),
    )
}

fn show_health(state: State) -> (State, Response<Body>) {
    (
        state,
        http_server::response(StatusCode::OK, "text/plain", "ok\n"),
    )
}

fn show_readiness(state: State) -> (State, Response<Body>) {
    let ready = (ProbeState::borrow_from(&state).0.ready)();
    (state, http_server::readiness_response(ready))
}

fn show_status(state: State) -> (State, Response<Body>) {
    let status = (ProbeState::borrow_from(&state).0.status)();
    (state, http_server::json_response(StatusCode::OK, &status))
}
