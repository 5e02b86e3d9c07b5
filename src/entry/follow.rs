//! Follows the store: upstreams, the configuration, and versions of adapters.

use crate::{
    clock::BootInstant,
    decide::registry::RegistryChange,
    edge::{
        registration::Registration,
        store::{Change, Listing, Object, ObjectKind, Store, StoreError},
    },
    entry::{context::Entry, controller::Command},
    holding::lock,
    supervisor::ChildError,
};
use log::{info, warn};
use std::{collections::HashSet, sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Longest wait of one watch; bounds the time for which a connection that went silent hides changes.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// Pause between two watches of upstreams, in which heartbeats gather: each call to the store is paid for.
const GATHER: Duration = Duration::from_millis(500);

/// First pause after a failed call; doubled up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Interval between looks whether this entry is to follow the store; short against the bounds of the configuration.
const TURN_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an entry that follows the store after which any other asks the store itself: longer than the
/// silence after which the entries that should follow it are replaced.
const ALONE_LIMIT: Duration = Duration::from_secs(3);

/// Follows one kind of objects.
struct Follower<S> {
    entry: Arc<Entry>,
    store: S,
    kind: ObjectKind,
    /// Whether the last call failed.
    away: bool,
    /// Whether it was ever listed.
    listed: bool,
    backoff: Duration,
}

/// Follows `kind` until `stop`.
///
/// # Errors
/// None; failures of the store are waited out.
pub async fn follow<S: Store>(
    entry: Arc<Entry>,
    store: S,
    kind: ObjectKind,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let mut follower = Follower {
        entry,
        store,
        kind,
        away: false,
        listed: false,
        backoff: FIRST_BACKOFF,
    };
    tokio::select! {
        () = stop.cancelled() => Ok(()),
        () = follower.run() => Ok(()),
    }
}

impl<S: Store> Follower<S> {
    async fn run(&mut self) {
        loop {
            self.wait_for_turn().await;
            match self.store.list(self.kind).await {
                Ok(listing) => {
                    self.answered();
                    let revision = listing.revision;
                    self.take(&listing);
                    self.listed = true;
                    self.watch(revision).await;
                }
                Err(e) => self.failed(&e).await,
            }
        }
    }

    /// Waits while other entries follow the store for this one. A first listing is read in any case, as others may
    /// be unheard of yet.
    async fn wait_for_turn(&mut self) {
        if !self.listed {
            return;
        }
        let mut alone = BootInstant::now();
        while !self.entry.is_control_member() {
            if self.kind == ObjectKind::Upstreams {
                lock(&self.entry.registry).store_lost();
            }
            let now = BootInstant::now();
            if self.entry.has_peer_following_store() {
                alone = now;
            }
            if now.since(alone) > ALONE_LIMIT {
                return;
            }
            tokio::time::sleep(TURN_INTERVAL).await;
        }
    }

    /// Watches until the history is gone, the store fails, or other entries follow it for this one.
    async fn watch(&mut self, mut revision: u64) {
        while self.entry.is_control_member() {
            match self.store.watch(self.kind, revision, WATCH_WAIT).await {
                Ok(changes) => {
                    self.answered();
                    revision = changes.revision;
                    for change in &changes.changes {
                        self.changed(change);
                    }
                    self.settle();
                }
                Err(StoreError::RevisionExpired) => {
                    info!(kind:? = self.kind, revision = revision; "the store's history is gone; listing again");
                    return;
                }
                Err(e) => {
                    self.failed(&e).await;
                    return;
                }
            }
            if self.kind == ObjectKind::Upstreams {
                tokio::time::sleep(GATHER).await;
            }
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        if !self.away {
            warn!(kind:? = self.kind, error:% = error; "dependency lost: the store does not answer");
        }
        self.away = true;
        if self.kind == ObjectKind::Upstreams {
            lock(&self.entry.registry).store_lost();
        }
        tokio::time::sleep(jittered(self.backoff)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn answered(&mut self) {
        self.backoff = FIRST_BACKOFF;
        if !std::mem::take(&mut self.away) {
            return;
        }
        info!(kind:? = self.kind; "dependency regained: the store answers");
        if self.kind == ObjectKind::Upstreams {
            lock(&self.entry.registry).store_recovered(BootInstant::now());
        }
    }

    fn take(&self, listing: &Listing) {
        if self.kind == ObjectKind::Upstreams {
            let present: HashSet<&str> = listing.objects.iter().map(|o| o.name.as_str()).collect();
            let gone = lock(&self.entry.registry).apply_listing(&present, BootInstant::now());
            for id in gone {
                self.entry.forget_upstream(&id, "missing from the list");
            }
        }
        for object in &listing.objects {
            self.present(object);
        }
        self.settle();
    }

    fn changed(&self, change: &Change) {
        if !change.removed {
            self.present(&change.object);
        } else if self.kind == ObjectKind::Upstreams {
            let id = &change.object.name;
            match lock(&self.entry.registry).unregister(id, BootInstant::now()) {
                RegistryChange::Removed => self.entry.forget_upstream(id, "entry removed"),
                RegistryChange::InGracePeriod => {
                    info!(upstream = id; "an entry lapsed while the store was away");
                }
                _ => {}
            }
        }
    }

    fn present(&self, object: &Object) {
        let codec = &self.entry.codec;
        let read = match self.kind {
            ObjectKind::Upstreams => codec.registration(object).map(|r| {
                let (id, service) = (Arc::clone(&r.id), Arc::clone(&r.service));
                self.report_to_controller(&r);
                let change = lock(&self.entry.registry).register(r);
                if change != RegistryChange::Unchanged {
                    info!(upstream = &*id, service = &*service, change:? = change; "upstream changed");
                    self.entry.registry_changed.notify_one();
                }
            }),
            ObjectKind::Configuration => codec.deployment(object).map(|d| {
                self.entry.apply_deployment(d, "store");
            }),
            ObjectKind::Versions => codec.version(object).map(|(key, version)| {
                self.entry.update_version(&key, version);
            }),
            ObjectKind::Members | ObjectKind::Holders => Ok(()),
        };
        if let Err(e) = read {
            warn!(kind:? = self.kind, name = object.name, findings:% = e; "an object can't be used");
            if self.kind == ObjectKind::Upstreams {
                self.unusable(&object.name);
            }
        }
    }

    /// Passes on what an engine says that it holds, if this entry gives it orders.
    fn report_to_controller(&self, registration: &Registration) {
        let controllers = lock(&self.entry.controllers);
        let Some(controller) = controllers.get(&registration.id) else {
            return;
        };
        if controller.upstream.is_same_process(registration) {
            let adapters = registration.models.iter().flat_map(|m| &m.adapters);
            let listed = adapters.map(|a| (a.key.clone(), a.version)).collect();
            controller.tell(Command::Reported(listed));
        }
    }

    /// An entry that can't be read names no upstream any more.
    fn unusable(&self, id: &str) {
        let gone = lock(&self.entry.registry).discard(id);
        if gone {
            self.entry.forget_upstream(id, "entry can't be read");
        }
    }

    fn settle(&self) {
        let gone = lock(&self.entry.registry).expire(BootInstant::now());
        for id in gone {
            self.entry
                .forget_upstream(&id, "missed since the store's return");
        }
    }
}

/// Spreads the retries of many entries.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.0))
}
