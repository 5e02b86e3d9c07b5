//! Registered upstreams as other entries know them, for the time in which the store can't be asked.

use crate::{
    clock::BootInstant,
    edge::registration::Registration,
    entry::{
        context::Entry,
        messages::{PeerInfo, REGISTRATIONS_PATH},
        peer_link,
    },
    holding::lock,
    link::{LinkError, Receiver, Sender},
    supervisor::ChildError,
};
use log::info;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Interval between looks whom to ask.
const INTERVAL: Duration = Duration::from_millis(100);

/// Interval between looks of the asked entry whether something changed.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for which an answer is held back while nothing changes.
const HOLD_LIMIT: Duration = Duration::from_secs(1);

/// Longest wait for an answer: it may be held back, and takes a round trip between data centres and a transfer of
/// some ten kilobytes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// What the asking entry was told last.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Mark {
    /// Process that told it.
    incarnation: u64,
    /// Its count of changes.
    changes: u64,
}

/// All registered upstreams, as one entry knows them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Known {
    /// Whether the teller hears of every change from the store.
    follows: bool,
    mark: Mark,
    /// Nothing where the asking entry has them already.
    registrations: Option<Vec<Registration>>,
}

/// Asks another entry for the upstreams as long as the store does not tell them, until `stop`.
///
/// # Errors
/// None.
pub async fn follow_peers(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut mark = Mark::default();
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = tokio::time::sleep(INTERVAL) => {}
        }
        let Some(address) = teller(&entry) else {
            mark = Mark::default();
            continue;
        };
        let known: Option<Known> =
            peer_link::question(&entry, address, REGISTRATIONS_PATH, &mark, ANSWER_TIMEOUT).await;
        if let Some(known) = known {
            mark = known.mark;
            take(&entry, address, known);
        }
    }
    Ok(())
}

/// Whom to ask: an entry that the store still tells; any other only if nothing is known here.
fn teller(entry: &Entry) -> Option<SocketAddr> {
    let is_empty = {
        let registry = lock(&entry.registry);
        if registry.follows_store() {
            return None;
        }
        registry.all().next().is_none()
    };
    let peers = lock(&entry.peers);
    let live = peers.live(BootInstant::now());
    let is_near = |p: &&&PeerInfo| *p.data_centre == *entry.config.data_centre;
    let near = live.iter().find(|p| p.follows && is_near(p));
    let following = near.or_else(|| live.iter().find(|p| p.follows));
    let any = live.iter().find(|_| is_empty);
    following.or(any).map(|p| p.link)
}

fn take(entry: &Entry, address: SocketAddr, known: Known) {
    let Some(registrations) = known.registrations else {
        return;
    };
    let (before, after, gone) = {
        let mut registry = lock(&entry.registry);
        let before = registry.all().count();
        let gone = registry.apply_peer_view(registrations, known.follows, BootInstant::now());
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
    let asked = receiver.next::<Mark>().await?.unwrap_or_default();
    let begun = BootInstant::now();
    loop {
        let known = answer_to(entry, asked);
        let waited = BootInstant::now().since(begun);
        if known.registrations.is_some() || waited >= HOLD_LIMIT {
            sender.send(&known).await?;
            sender.finish();
            return Ok(());
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// What an entry that was told `asked` lacks.
fn answer_to(entry: &Entry, asked: Mark) -> Known {
    let registry = lock(&entry.registry);
    let mark = Mark {
        incarnation: entry.incarnation,
        changes: registry.change_count(),
    };
    let all = || registry.all().map(|r| Registration::clone(r)).collect();
    Known {
        follows: registry.follows_store(),
        mark,
        registrations: (mark != asked).then(all),
    }
}
