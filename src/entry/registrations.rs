//! Reads the registered upstreams from peers while the store is unavailable.

use crate::{
    clock::BootInstant,
    edge::registration::Registration,
    entry::{context::Entry, messages::REGISTRATIONS_PATH, peer_link},
    holding::lock,
    ident::pair_hash,
    link::{LinkError, Receiver, Sender},
    supervisor::ChildError,
};
use log::info;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Delay before each request, and interval between checks whether one is needed.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the serving entry checks for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for which a response is delayed while nothing changes (long polling).
const LONG_POLL_LIMIT: Duration = Duration::from_secs(1);

/// Timeout of a response: it may be delayed, and takes a round trip between data centres and a transfer of some ten
/// kilobytes. A peer that is silent for longer may lack changes that others know.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time for which a peer that did not respond is read from only if there is no other: this entry alone may be cut off from
/// it, while others still hear it.
const SILENT_TIME: Duration = Duration::from_secs(10);

/// Timeout of a response that is sent at once.
const BUILDS_TIMEOUT: Duration = Duration::from_millis(400);

/// Version of the state that the requesting entry has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct StateVersion {
    /// Number of the process that sent it.
    incarnation: u64,
    /// That process's count of changes.
    changes: u64,
}

/// Response with the registered upstreams that the serving entry knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Response {
    /// Whether the serving entry learns every change from the store.
    follows: bool,
    mark: StateVersion,
    /// `None` if the requesting entry has the same state already.
    registrations: Option<Vec<Registration>>,
}

/// Reads the upstreams from a peer while they can't be read from the store, until `stop`.
///
/// # Errors
/// None.
pub async fn follow_peers(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    // A response may be delayed for longer than a shutdown can wait.
    let _stopped = stop.run_until_cancelled(poll_peers(&entry)).await;
    Ok(())
}

async fn poll_peers(entry: &Arc<Entry>) {
    let mut mark = StateVersion::default();
    let mut silent: HashMap<SocketAddr, BootInstant> = HashMap::new();
    let mut last = None;
    loop {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        entry.expire_registrations();
        silent.retain(|_, since| BootInstant::now().since(*since) < SILENT_TIME);
        let Some(address) = source(entry, &silent) else {
            mark = StateVersion::default();
            continue;
        };
        if last.replace(address) != Some(address) {
            // An idle connection may have gone silent, and the upstreams have been unknown for a while already.
            entry.link(address).reset();
        }
        let response: Option<Response> =
            peer_link::request(entry, address, REGISTRATIONS_PATH, &mark, RESPONSE_TIMEOUT).await;
        if let Some(response) = response {
            mark = response.mark;
            apply(entry, address, response);
        } else {
            silent.insert(address, BootInstant::now());
        }
    }
}

/// Reads the builds of the registered upstreams from an entry that follows the store; returns whether one has sent them.
pub async fn observe_peer_builds(entry: &Arc<Entry>) -> bool {
    let Some(address) = best_source(entry, &HashMap::new(), false) else {
        return false;
    };
    let mark = StateVersion::default();
    let response: Option<Response> =
        peer_link::request(entry, address, REGISTRATIONS_PATH, &mark, BUILDS_TIMEOUT).await;
    let Some(Response {
        follows: true,
        registrations: Some(registrations),
        ..
    }) = response
    else {
        return false;
    };
    let builds = registrations.iter().map(Registration::build);
    lock(&entry.builds).observe(builds, BootInstant::now());
    true
}

/// Returns the peer to read from, if this entry doesn't follow the store itself.
fn source(entry: &Entry, silent: &HashMap<SocketAddr, BootInstant>) -> Option<SocketAddr> {
    let is_empty = {
        let registry = lock(&entry.registry);
        if registry.follows_store() {
            return None;
        }
        registry.all().next().is_none()
    };
    best_source(entry, silent, is_empty)
}

/// Returns the peer to read from: one that follows the store, or any other if `or_any`. Those that were not `silent` and
/// members of the control set come first.
fn best_source(
    entry: &Entry,
    silent: &HashMap<SocketAddr, BootInstant>,
    or_any: bool,
) -> Option<SocketAddr> {
    let control = entry.control.load();
    let peers = lock(&entry.peers);
    let live = peers.live(BootInstant::now());
    // The same peer as long as nothing changes: each new one sends all registrations.
    let best = live.iter().max_by_key(|info| {
        let is_member = control.members.contains(&info.name);
        let is_local = *info.data_centre == *entry.config.data_centre;
        let rank = pair_hash(&entry.config.id, &info.name);
        let has_answered = !silent.contains_key(&info.link);
        (info.follows, has_answered, is_member, is_local, rank)
    });
    best.filter(|info| info.follows || or_any)
        .map(|info| info.link)
}

fn apply(entry: &Entry, address: SocketAddr, response: Response) {
    if response.follows {
        lock(&entry.builds).confirm(BootInstant::now());
    }
    let Some(registrations) = response.registrations else {
        return;
    };
    entry.observe_builds();
    let (before, after, gone) = {
        let mut registry = lock(&entry.registry);
        let before = registry.all().count();
        let gone = registry.apply_peer_view(registrations, response.follows, BootInstant::now());
        (before, registry.all().count(), gone)
    };
    entry.observe_builds();
    if before != after {
        info!(peer:% = address, before = before, after = after; "upstreams as another entry knows them");
        entry.registry_changed.notify_one();
    }
    for id in gone {
        entry.forget_upstream(&id, "missing from another entry's registrations");
    }
}

/// Serves one request of a peer.
///
/// # Errors
/// The stream broke.
pub async fn serve(
    entry: &Entry,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    let received = receiver.next::<StateVersion>().await?.unwrap_or_default();
    let started = BootInstant::now();
    loop {
        let response = response_to(entry, received);
        let waited = BootInstant::now().since(started);
        let is_due = waited >= LONG_POLL_LIMIT || !response.follows;
        if response.registrations.is_some() || is_due {
            sender.send(&response).await?;
            sender.finish();
            return Ok(());
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Builds the response to an entry that has the state of `received`.
fn response_to(entry: &Entry, received: StateVersion) -> Response {
    let follows = entry.follows_store();
    let registry = lock(&entry.registry);
    let mark = StateVersion {
        incarnation: entry.incarnation,
        changes: registry.change_count(),
    };
    let all = || registry.all().map(|r| Registration::clone(r)).collect();
    Response {
        follows,
        mark,
        registrations: (mark != received).then(all),
    }
}
