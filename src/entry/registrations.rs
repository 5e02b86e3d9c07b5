//! Registered upstreams as other entries know them, for the time in which the store can't be asked.

use crate::{
    clock::BootInstant,
    edge::registration::Registration,
    entry::{context::Entry, messages::REGISTRATIONS_PATH, peer_link},
    holding::lock,
    link::{LinkError, Receiver, Sender},
    supervisor::ChildError,
};
use log::info;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Interval between looks, and so between questions while the store is away: registrations are heartbeats of
/// about a second.
const INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for an answer; one round trip between data centres and a few kilobytes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// All registered upstreams, as one entry knows them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Known {
    /// Whether the teller hears of every change from the store.
    follows: bool,
    registrations: Vec<Registration>,
}

/// Asks another entry for the upstreams as long as the store does not tell them, until `stop`.
///
/// # Errors
/// None.
pub async fn follow_peers(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = tokio::time::sleep(INTERVAL) => {}
        }
        let Some(address) = teller(&entry) else {
            continue;
        };
        let known =
            peer_link::question(&entry, address, REGISTRATIONS_PATH, &(), ANSWER_TIMEOUT).await;
        if let Some(known) = known {
            take(&entry, address, known);
        }
    }
    Ok(())
}

/// Whom to ask: an entry that the store still tells; any other only if nothing is known here.
fn teller(entry: &Entry) -> Option<SocketAddr> {
    let is_empty = {
        let registry = lock(&entry.registry);
        if registry.follows() {
            return None;
        }
        registry.all().next().is_none()
    };
    let peers = lock(&entry.peers);
    let live: Vec<_> = peers.live(BootInstant::now()).map(|p| &p.info).collect();
    let following = live.iter().find(|p| p.follows);
    let any = live.iter().find(|_| is_empty);
    following.or(any).map(|p| p.link)
}

fn take(entry: &Entry, address: SocketAddr, known: Known) {
    let (before, after, gone) = {
        let mut registry = lock(&entry.registry);
        let before = registry.all().count();
        let gone = registry.told(known.registrations, known.follows, BootInstant::now());
        (before, registry.all().count(), gone)
    };
    if before != after {
        info!(peer:% = address, before = before, after = after; "upstreams as another entry knows them");
        entry.registry_changed.notify_one();
    }
    for id in gone {
        entry.forget_upstream(&id, "another entry knows it no more");
    }
}

/// Answers one question of another entry.
///
/// # Errors
/// The stream broke.
pub async fn answer(
    entry: &Entry,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    let _question = receiver.next::<()>().await?;
    let known = {
        let registry = lock(&entry.registry);
        Known {
            follows: registry.follows(),
            registrations: registry.all().map(|r| Registration::clone(r)).collect(),
        }
    };
    sender.send(&known).await?;
    sender.finish();
    Ok(())
}
