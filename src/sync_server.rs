//! Publishes the upstreams that this dispatcher holds to gateways and other dispatchers.

use crate::{
    clock::BootInstant,
    dispatcher::Context,
    fleet::GatewayRecord,
    ident::UpstreamId,
    link::{IncomingStream, LinkError, Receiver, Sender},
    metrics,
    wire::{Strike, SyncHello, SyncUpdate, UpstreamStatus},
};
use log::debug;
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Path of `/sync` streams.
pub const SYNC_PATH: &str = "/sync";

/// Minimum time between two updates to one subscriber.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between checks for changes that notify nobody, such as the counts of running and waiting requests.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time without an update.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// State last sent to one subscriber.
#[derive(Debug, Default)]
struct SubscriberState {
    sequence: u64,
    statuses: HashMap<UpstreamId, UpstreamStatus>,
    released: usize,
    sent: BootInstant,
}

/// Serves one subscriber until it disconnects.
pub async fn serve(context: Arc<Context>, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(hello)) = receiver.next::<SyncHello>().await else {
        return;
    };
    let subscription = context.new_subscription_id();
    apply_hello(&context, &hello, subscription);
    let hellos = receive_hellos(&context, &mut receiver, subscription);
    tokio::select! {
        result = publish(&context, &mut sender) => {
            debug!("subscriber {} ended: {result:?}", hello.node);
        }
        () = hellos => debug!("subscriber {} closed", hello.node),
    }
    context.clear_gateway(subscription);
}

/// Records the gateway on this VM; gateways on other VMs are published by their own dispatcher.
fn apply_hello(context: &Context, hello: &SyncHello, subscription: u64) {
    if let Some(address) = hello
        .gateway
        .as_ref()
        .filter(|_| hello.node == context.config.id)
    {
        let record = GatewayRecord {
            address: address.clone(),
            leaving: hello.leaving,
        };
        context.set_gateway(subscription, record);
    }
}

async fn receive_hellos(context: &Context, receiver: &mut Receiver, subscription: u64) {
    while let Ok(Some(hello)) = receiver.next::<SyncHello>().await {
        apply_hello(context, &hello, subscription);
    }
}

async fn publish(context: &Context, sender: &mut Sender) -> Result<(), LinkError> {
    let mut state = SubscriberState::default();
    let mut strikes = context.quarantine.feed();
    let first = strikes.take(&context.quarantine);
    send_update(context, sender, &mut state, first).await?;
    loop {
        let changed = context.changed.notified();
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(STATUS_INTERVAL) => {}
            () = strikes.changed() => {}
        }
        let new_strikes = strikes.take(&context.quarantine);
        send_update(context, sender, &mut state, new_strikes).await?;
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

/// Sends the changes since the last update, if there are any or the heartbeat is due.
async fn send_update(
    context: &Context,
    sender: &mut Sender,
    state: &mut SubscriberState,
    strikes: Vec<Strike>,
) -> Result<(), LinkError> {
    let statuses: Vec<UpstreamStatus> = context.holdings().iter().map(|h| h.status()).collect();
    let changed: Vec<UpstreamStatus> = statuses
        .iter()
        .filter(|s| state.statuses.get(&s.id) != Some(s))
        .cloned()
        .collect();
    let (released, known) = context.released_since(state.released);
    let now = BootInstant::now();
    let due = state.sequence == 0 || now.since(state.sent) >= HEARTBEAT;
    if changed.is_empty() && released.is_empty() && strikes.is_empty() && !due {
        return Ok(());
    }
    state.released = known;
    let update = SyncUpdate {
        from: context.id(),
        incarnation: context.incarnation,
        sequence: state.sequence,
        changed,
        released,
        strikes,
        revision: context.catalogue.revision(),
    };
    state.sequence += 1;
    state.sent = now;
    state.statuses = statuses
        .into_iter()
        .map(|s| (Arc::clone(&s.id), s))
        .collect();
    let bytes = sender.send(&update).await?;
    metrics::control_bytes("sync", bytes);
    Ok(())
}
