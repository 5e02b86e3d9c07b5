//! Serves the addresses of entries to callers, and this entry's readiness to the platform.

use crate::{
    clock::BootInstant,
    entry::{
        context::Entry,
        messages::{PeerInfo, Reach},
    },
    handler_state,
    holding::lock,
    http_server,
};
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

/// Time for which callers may cache a response. Some cache it three times as long, so a VM that shuts down must go on
/// accepting at least that long.
pub const MAX_AGE: Duration = Duration::from_secs(1);

/// Largest multiple of [`MAX_AGE`] for which callers cache a response.
pub const MAX_AGE_FACTOR: u32 = 3;

/// Largest number of entries in one response that callers accept.
const MAX_ENTRIES: usize = 64;

handler_state!(EntryState, Entry);

/// Builds the router of the directory and readiness listeners.
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
    let listed = addresses(entry, &lookup.data_centre, BootInstant::now());
    let response = if listed.is_empty() {
        http_server::response(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "no entry is ready\n",
        )
    } else {
        let body = entry.codec.directory_body(&listed, MAX_AGE);
        http_server::response(StatusCode::OK, "application/json", body)
    };
    (state, response)
}

/// Returns the addresses of live and ready entries, those of the caller's data centre first. Entries that are cut off from
/// upstreams are left out while at least half of the entries are not.
fn addresses(entry: &Entry, data_centre: &str, now: BootInstant) -> Vec<SocketAddr> {
    let is_cut_off = |info: &&&PeerInfo| info.reach == Reach::CutOff;
    let own = entry.peer_info();
    let peers = lock(&entry.peers);
    let live = peers.live(now).into_iter().chain([&own]);
    let mut listed: Vec<&PeerInfo> = live.filter(|info| info.ready && !info.leaving).collect();
    let cut_off = listed.iter().filter(is_cut_off).count();
    if cut_off * 2 <= listed.len() {
        listed.retain(|info| !is_cut_off(&info));
    }
    listed.sort_unstable_by_key(|info| (*info.data_centre != *data_centre, info.callers));
    let addresses = listed.into_iter().map(|info| info.callers);
    addresses.take(MAX_ENTRIES).collect()
}

fn show_readiness(state: State) -> (State, Response<Body>) {
    let ready = EntryState::borrow_from(&state).0.is_ready();
    (state, http_server::readiness_response(ready))
}
