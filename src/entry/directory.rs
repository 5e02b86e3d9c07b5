//! Tells callers which entries to connect to, and the platform whether this one is ready.

use crate::{clock::BootInstant, entry::context::Entry, handler_state, holding::lock, http_server};
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
use http::{Response, StatusCode, Uri};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// How long callers may keep an answer; some keep it three times as long, so it bounds how long a VM that stops
/// must go on accepting.
pub const MAX_AGE: Duration = Duration::from_secs(1);

/// Entries named in one answer at most, as callers take.
const MAX_NAMED: usize = 64;

handler_state!(EntryState, Entry);

/// Routes of the directory and readiness listeners.
pub fn router(entry: &Arc<Entry>) -> Router {
    let paths = entry.codec.entry_paths();
    let middleware = StateMiddleware::new(EntryState(Arc::clone(entry)));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get(paths.directory).to(show_entries);
        route.get(paths.ready).to(show_readiness);
    })
}

fn show_entries(state: State) -> (State, Response<Body>) {
    let entry = &EntryState::borrow_from(&state).0;
    let query = Uri::borrow_from(&state).query().unwrap_or_default();
    let lookup = entry.codec.directory_query(query);
    let named = addresses(entry, &lookup.data_centre, BootInstant::now());
    let response = if named.is_empty() {
        http_server::response(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "no entry is ready\n",
        )
    } else {
        let body = entry.codec.directory_body(&named, MAX_AGE);
        http_server::response(StatusCode::OK, "application/json", body)
    };
    (state, response)
}

/// Entries that are heard of and ready, those of the caller's data centre first.
fn addresses(entry: &Entry, data_centre: &str, now: BootInstant) -> Vec<SocketAddr> {
    let peers = lock(&entry.peers);
    let live = peers.live(now).into_iter();
    let ready = live.filter(|info| info.ready && !info.leaving);
    let mut named: Vec<(bool, SocketAddr)> = ready
        .map(|info| (*info.data_centre != *data_centre, info.callers))
        .collect();
    if entry.is_ready() {
        let remote = entry.config.data_centre != data_centre;
        named.push((remote, entry.config.callers));
    }
    named.sort_unstable();
    let addresses = named.into_iter().map(|(_, address)| address);
    addresses.take(MAX_NAMED).collect()
}

fn show_readiness(state: State) -> (State, Response<Body>) {
    let ready = EntryState::borrow_from(&state).0.is_ready();
    (state, http_server::readiness_response(ready))
}
