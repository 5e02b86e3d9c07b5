//! Follows what dispatchers publish.

use crate::{
    clock::BootInstant,
    link::{Link, LinkError},
    sync_server::{HEARTBEAT, SYNC_PATH},
    wire::{SyncHello, SyncUpdate},
};
use log::debug;
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::timeout,
};

/// Wait before a broken subscription is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Time without an update after which a subscription counts as broken.
pub const SILENCE: Duration = Duration::from_secs(3);

/// What a subscription brings.
#[derive(Debug)]
pub enum SyncEvent {
    /// An update; the first of a connection has every upstream.
    Update {
        /// Dispatcher's address.
        address: SocketAddr,
        /// Update.
        update: SyncUpdate,
        /// When it came.
        at: BootInstant,
    },
    /// The subscription broke.
    Lost {
        /// Dispatcher's address.
        address: SocketAddr,
    },
}

/// Subscriptions to a changing set of dispatchers.
#[derive(Debug)]
pub struct Subscriptions {
    local: IpAddr,
    key: Arc<str>,
    hello: watch::Receiver<SyncHello>,
    events: mpsc::Sender<SyncEvent>,
    open: HashMap<SocketAddr, (Arc<Link>, JoinHandle<()>)>,
}

impl Subscriptions {
    /// No subscriptions yet; each introduces itself with the value of `hello`, again when it changes.
    pub fn new(
        local: IpAddr,
        key: Arc<str>,
        hello: watch::Receiver<SyncHello>,
        events: mpsc::Sender<SyncEvent>,
    ) -> Self {
        Self {
            local,
            key,
            hello,
            events,
            open: HashMap::new(),
        }
    }

    /// Subscribes to exactly the dispatchers at `addresses`.
    pub fn set_addresses(&mut self, addresses: &[SocketAddr]) {
        self.open.retain(|address, (_, task)| {
            let keep = addresses.contains(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for address in addresses {
            if !self.open.contains_key(address) {
                let link = Arc::new(Link::new(*address, self.local, Arc::clone(&self.key)));
                let follow = follow(Arc::clone(&link), self.hello.clone(), self.events.clone());
                self.open.insert(*address, (link, tokio::spawn(follow)));
            }
        }
    }

    /// The link to the dispatcher at `address`.
    pub fn link(&self, address: SocketAddr) -> Option<Arc<Link>> {
        self.open.get(&address).map(|(link, _)| Arc::clone(link))
    }
}

impl Drop for Subscriptions {
    fn drop(&mut self) {
        for (_, task) in self.open.values() {
            task.abort();
        }
    }
}

async fn follow(
    link: Arc<Link>,
    mut hello: watch::Receiver<SyncHello>,
    events: mpsc::Sender<SyncEvent>,
) {
    loop {
        let result = follow_once(&link, &mut hello, &events).await;
        debug!("subscription to {} ended: {result:?}", link.address());
        let lost = SyncEvent::Lost {
            address: link.address(),
        };
        if events.send(lost).await.is_err() {
            return;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn follow_once(
    link: &Link,
    hello: &mut watch::Receiver<SyncHello>,
    events: &mpsc::Sender<SyncEvent>,
) -> Result<(), LinkError> {
    let first = hello.borrow_and_update().clone();
    let (mut sender, mut receiver) = link.open_duplex(SYNC_PATH, &first).await?;
    let mut expected = 0;
    loop {
        let next = tokio::select! {
            changed = hello.changed() => {
                changed.map_err(|_closed| LinkError::Broken)?;
                let again = hello.borrow_and_update().clone();
                sender.send(&again).await?;
                continue;
            }
            next = timeout(SILENCE.max(HEARTBEAT), receiver.next::<SyncUpdate>()) => next,
        };
        let update = next
            .map_err(|_silent| LinkError::Broken)??
            .ok_or(LinkError::Broken)?;
        if update.sequence != expected {
            return Err(LinkError::Malformed);
        }
        expected += 1;
        let event = SyncEvent::Update {
            address: link.address(),
            update,
            at: BootInstant::now(),
        };
        if events.send(event).await.is_err() {
            return Err(LinkError::Broken);
        }
    }
}
