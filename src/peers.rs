//! Subscribes to the other dispatchers: poison strikes, catalogue revisions, and upstreams held or released.

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

/// Capacity of the channel of peers' updates.
const EVENT_BUFFER: usize = 1_024;

/// Interval between attempts to fetch the first catalogue from a peer.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(500);

/// Processes peers' updates until `stop`.
///
/// # Errors
/// None; the signature is that of a supervised task.
pub async fn run(context: Arc<Context>, stop: CancellationToken) -> Result<(), ChildError> {
    let (events, mut incoming) = mpsc::channel(EVENT_BUFFER);
    let hello = SyncHello {
        node: context.config.id.clone(),
        gateway: None,
        leaving: false,
    };
    let (_hello, hello_updates) = watch::channel(hello);
    let key = Arc::from(context.config.key.as_str());
    *lock(&context.peers) = Some(Subscriptions::new(
        context.config.link.ip(),
        key,
        hello_updates,
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
                apply_update(&context, address, update).await;
            }
            Some(SyncEvent::Lost { address }) => debug!("connection to peer {address} lost"),
            None => break,
        }
    }
    bootstrap.abort();
    Ok(())
}

/// Requests the catalogue from configured peers until one is in force.
async fn bootstrap(context: Arc<Context>) {
    while context.catalogue.revision() == 0 {
        for address in &context.config.peers.0 {
            let Some(link) = context.peer_link(*address) else {
                continue;
            };
            if let Err(e) = context.catalogue.fetch_from(&link).await {
                debug!("fetching the catalogue from {address} failed: {e}");
            }
        }
        tokio::time::sleep(BOOTSTRAP_INTERVAL).await;
    }
}

async fn apply_update(context: &Arc<Context>, address: SocketAddr, update: SyncUpdate) {
    for strike in &update.strikes {
        context.quarantine.record(strike);
    }
    for (upstream, generation) in &update.released {
        apply_release(context, &update, upstream, *generation).await;
    }
    outage::record_peer_claims(context, address, &update);
    for status in &update.changed {
        let holding = context.holding(&status.id);
        if let Some(holding) = holding.filter(|h| h.generation < status.generation) {
            holding.mark_lost("a peer holds it with a higher generation");
            context.drop_holding(&holding);
        }
    }
    if update.revision > context.catalogue.revision() {
        tokio::spawn(fetch_catalogue(Arc::clone(context), address));
    }
}

async fn apply_release(
    context: &Arc<Context>,
    update: &SyncUpdate,
    upstream: &str,
    generation: u64,
) {
    let Some(holding) = context.holding(upstream) else {
        context.poll_now.notify_one();
        return;
    };
    let earlier_holder = context.earlier_holder(upstream);
    let from_earlier_holder = earlier_holder.is_some_and(|(holder, held)| {
        holder.id == update.from && holder.incarnation == update.incarnation && held <= generation
    });
    if from_earlier_holder && holding.authority().awaits_earlier_holder() {
        assignment::earlier_holder_stopped(&holding).await;
    }
}

async fn fetch_catalogue(context: Arc<Context>, address: SocketAddr) {
    let Some(link) = context.peer_link(address) else {
        return;
    };
    if let Err(e) = context.catalogue.fetch_from(&link).await {
        debug!("fetching the catalogue from {address} failed: {e}");
    }
}
