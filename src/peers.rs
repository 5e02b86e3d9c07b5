//! Follows the other dispatchers: strikes, catalogue revisions, and what they hold or have released.

use crate::{
    assignment,
    dispatcher::Context,
    holding::lock,
    outage,
    supervisor::ChildError,
    sync_client::{Subscriptions, SyncEvent},
    wire::{SyncHello, SyncUpdate},
};
use log::debug;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Updates waiting to be taken in.
const EVENT_BUFFER: usize = 1_024;

/// Interval between tries to get the first catalogue from a peer.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(500);

/// Follows peers until `stop`.
///
/// # Errors
/// None at present; the signature is that of a supervised child.
pub async fn run(context: Arc<Context>, stop: CancellationToken) -> Result<(), ChildError> {
    let (events, mut incoming) = mpsc::channel(EVENT_BUFFER);
    let hello = SyncHello {
        node: context.config.id.clone(),
        gateway: None,
        leaving: false,
    };
    let (_hello, hellos) = watch::channel(hello);
    let key = Arc::from(context.config.key.as_str());
    *lock(&context.peers) = Some(Subscriptions::new(
        context.config.link.ip(),
        key,
        hellos,
        events,
    ));
    context.subscribe_to_peers();
    let bootstrap = tokio::spawn(bootstrap(Arc::clone(&context)));
    loop {
        let event = tokio::select! {
            () = stop.cancelled() => break,
            event = incoming.recv() => event,
        };
        match event {
            Some(SyncEvent::Update {
                address, update, ..
            }) => {
                take(&context, address, update).await;
            }
            Some(SyncEvent::Lost { address }) => debug!("peer {address} lost"),
            None => break,
        }
    }
    bootstrap.abort();
    Ok(())
}

/// Asks the configured peers for the catalogue until there is one.
async fn bootstrap(context: Arc<Context>) {
    while context.catalogue.revision() == 0 {
        for address in &context.config.peers.0 {
            let Some(link) = context.peer_link(*address) else {
                continue;
            };
            if let Err(e) = context.catalogue.fetch_from(&link).await {
                debug!("catalogue from {address}: {e}");
            }
        }
        tokio::time::sleep(BOOTSTRAP_INTERVAL).await;
    }
}

async fn take(context: &Arc<Context>, address: SocketAddr, update: SyncUpdate) {
    for strike in &update.strikes {
        context.record_strike(strike.clone());
    }
    for (upstream, generation) in &update.released {
        take_release(context, &update, upstream, *generation).await;
    }
    outage::record_peer_claims(context, address, &update);
    for status in &update.changed {
        let own = context.holding(&status.id);
        if let Some(own) = own.filter(|h| h.generation < status.generation) {
            own.mark_lost("a peer holds it with a later generation");
            context.drop_holding(&own);
        }
    }
    if update.revision > context.catalogue.revision() {
        tokio::spawn(catch_up(Arc::clone(context), address));
    }
}

async fn take_release(
    context: &Arc<Context>,
    update: &SyncUpdate,
    upstream: &str,
    generation: u64,
) {
    let Some(holding) = context.holding(upstream) else {
        context.poll_now.notify_one();
        return;
    };
    let earlier = context.previous_holder(upstream);
    let same = earlier.is_some_and(|(holder, held)| {
        holder.id == update.from && holder.incarnation == update.incarnation && held <= generation
    });
    if same && holding.authority().awaits_earlier_holder() {
        assignment::previous_holder_stopped(&holding).await;
    }
}

async fn catch_up(context: Arc<Context>, address: SocketAddr) {
    let Some(link) = context.peer_link(address) else {
        return;
    };
    if let Err(e) = context.catalogue.fetch_from(&link).await {
        debug!("catalogue from {address}: {e}");
    }
}
