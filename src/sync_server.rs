//! Publishes what this dispatcher holds to gateways and other dispatchers.

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
use tokio::sync::broadcast;

/// Path of `/sync` streams.
pub const SYNC_PATH: &str = "/sync";

/// Least time between two updates to one subscriber.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two updates when only load figures changed.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time without an update.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// What one subscriber was told.
#[derive(Debug, Default)]
struct Told {
    sequence: u64,
    statuses: HashMap<UpstreamId, UpstreamStatus>,
    released: usize,
    sent: BootInstant,
}

/// Serves one subscriber until it goes away.
pub async fn serve(context: Arc<Context>, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(hello)) = receiver.next::<SyncHello>().await else {
        return;
    };
    let token = context.new_token();
    take_hello(&context, &hello, token);
    let hellos = follow_hellos(&context, &mut receiver, token);
    tokio::select! {
        result = publish(&context, &mut sender) => {
            debug!("subscriber {} ended: {result:?}", hello.node);
        }
        () = hellos => debug!("subscriber {} closed", hello.node),
    }
    context.clear_gateway(token);
}

/// Notes the gateway on this VM; gateways elsewhere are advertised by their own dispatcher.
fn take_hello(context: &Context, hello: &SyncHello, token: u64) {
    if let Some(address) = hello
        .gateway
        .as_ref()
        .filter(|_| hello.node == context.config.id)
    {
        let record = GatewayRecord {
            address: address.clone(),
            leaving: hello.leaving,
        };
        context.set_gateway(token, record);
    }
}

async fn follow_hellos(context: &Context, receiver: &mut Receiver, token: u64) {
    while let Ok(Some(hello)) = receiver.next::<SyncHello>().await {
        take_hello(context, &hello, token);
    }
}

async fn publish(context: &Context, sender: &mut Sender) -> Result<(), LinkError> {
    let mut told = Told::default();
    let mut strikes = context.strikes.subscribe();
    let first = context.known_strikes();
    send_update(context, sender, &mut told, first).await?;
    loop {
        let changed = context.changed.notified();
        let mut news = Vec::new();
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(LOAD_INTERVAL) => {}
            strike = strikes.recv() => news.extend(strike.ok()),
        }
        drain(&mut strikes, &mut news);
        send_update(context, sender, &mut told, news).await?;
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

fn drain(strikes: &mut broadcast::Receiver<Strike>, news: &mut Vec<Strike>) {
    while let Ok(strike) = strikes.try_recv() {
        news.push(strike);
    }
}

/// Sends what has changed since the last update, if anything has or the heartbeat is due.
async fn send_update(
    context: &Context,
    sender: &mut Sender,
    told: &mut Told,
    strikes: Vec<Strike>,
) -> Result<(), LinkError> {
    let statuses: Vec<UpstreamStatus> = context.holdings().iter().map(|h| h.status()).collect();
    let changed: Vec<UpstreamStatus> = statuses
        .iter()
        .filter(|s| told.statuses.get(&s.id) != Some(s))
        .cloned()
        .collect();
    let (released, known) = context.released_since(told.released);
    let now = BootInstant::now();
    let due = told.sequence == 0 || now.since(told.sent) >= HEARTBEAT;
    if changed.is_empty() && released.is_empty() && strikes.is_empty() && !due {
        return Ok(());
    }
    told.released = known;
    let update = SyncUpdate {
        from: context.id(),
        incarnation: context.incarnation,
        sequence: told.sequence,
        changed,
        released,
        strikes,
        revision: context.catalogue.revision(),
    };
    told.sequence += 1;
    told.sent = now;
    told.statuses = statuses
        .into_iter()
        .map(|s| (Arc::clone(&s.id), s))
        .collect();
    let bytes = sender.send(&update).await?;
    metrics::control_bytes("sync", bytes);
    Ok(())
}
