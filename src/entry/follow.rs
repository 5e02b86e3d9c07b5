//! Follows changes in the store: upstreams, the configuration, and versions of adapters.

use crate::{
    clock::BootInstant,
    decide::registry::RegistryChange,
    edge::{
        registration::Registration,
        store::{Change, Changes, Listing, Object, ObjectKind, Position, Store, StoreError},
    },
    entry::{context::Entry, controller_handle::Command, unusable::UnusableObjects},
    holding::lock,
    supervisor::ChildError,
};
use log::{info, warn};
use std::{collections::HashSet, sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Time for the response to a watch beyond its duration; the store takes milliseconds, or a few hundred when it is slow.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Delay between two watches of upstreams, so that heartbeats batch up: each call to the store costs money.
const BATCH_DELAY: Duration = Duration::from_millis(500);

/// First delay after a failed call; doubled up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Longest delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Interval between checks whether this entry must follow the store; short against the time limits of the
/// configuration.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of the attempts to read the store outside the control set while no entry is in contact with it: the store is
/// down, and every call costs money.
const DIRECT_RETRY: Duration = Duration::from_secs(4);

/// Largest delay before an entry outside the control set reads the store, so that the reads of many entries spread.
const MAX_SPREAD: Duration = Duration::from_millis(200);

/// Time after the return of the store with an older copy in which it may list upstreams that have left meanwhile; their
/// registrations expire when their heartbeats stay out.
const COPY_LIFETIME: Duration = Duration::from_secs(10);

/// Interval between listings of an older copy: upstreams write their heartbeats again in between.
const COPY_CHECK: Duration = Duration::from_millis(2_500);

/// Follower of one kind of objects.
struct Follower<S> {
    entry: Arc<Entry>,
    store: S,
    kind: ObjectKind,
    unusable: UnusableObjects,
    /// Whether the last call failed.
    is_store_down: bool,
    /// Era of the last listing; `None` before the first one.
    era: Option<u64>,
    /// Time until which the store may list objects as they were before its return.
    copy_until: BootInstant,
    /// Time before which this entry does not read the store outside the control set, as its last call failed.
    retry_at: BootInstant,
    backoff: Duration,
}

/// Follows `kind` until `stop`.
///
/// # Errors
/// None; calls to the store are retried.
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
        unusable: UnusableObjects::new(kind),
        is_store_down: false,
        era: None,
        copy_until: BootInstant::default(),
        retry_at: BootInstant::default(),
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
            self.wait_until_needed().await;
            let sent = BootInstant::now();
            match self.store.list(self.kind).await {
                Ok(listing) => {
                    self.call_succeeded(sent);
                    let at = listing.at;
                    if self.era.is_some_and(|era| era != at.era) {
                        self.store_returned(at);
                    }
                    self.era = Some(at.era);
                    self.apply_listing(&listing);
                    self.entry.currency.set_followed(self.kind, true);
                    self.watch(at).await;
                    self.entry.currency.set_followed(self.kind, false);
                }
                Err(e) => self.call_failed(&e).await,
            }
        }
    }

    /// Waits while other entries follow the store for this one. The first listing is read in any case, as peers may
    /// not be known yet.
    async fn wait_until_needed(&mut self) {
        while !self.must_follow() {
            if self.kind == ObjectKind::Upstreams {
                lock(&self.entry.registry).store_lost();
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        if self.era.is_some() && !self.entry.is_control_member() {
            info!(kind:? = self.kind; "no member of the control set follows the store; reading it directly");
            tokio::time::sleep(MAX_SPREAD.mul_f64(rand::random())).await;
        }
    }

    /// Returns whether this entry reads the store itself, as a member of the control set or because no member is in
    /// contact with the store.
    fn must_follow(&self) -> bool {
        let is_due = BootInstant::now() >= self.retry_at;
        let has_source = || self.entry.has_peer_following(self.kind);
        self.era.is_none() || self.entry.is_control_member() || (is_due && !has_source())
    }

    /// Watches until changes may have been missed, a call fails, or other entries follow the store for this one. While the
    /// store has an older copy, it is listed again at intervals.
    async fn watch(&mut self, mut at: Position) {
        let mut gaps = self.entry.contact_gaps();
        let store = self.store.clone();
        let time = watch_time(self.kind);
        let is_copy = BootInstant::now() < self.copy_until;
        let relist = tokio::time::sleep(if is_copy { COPY_CHECK } else { Duration::MAX });
        tokio::pin!(relist);
        while self.must_follow() {
            let sent = BootInstant::now();
            let changes = tokio::select! {
                changes = store.watch(self.kind, at.revision, time, time + ANSWER_MARGIN) => changes,
                _gap = gaps.changed() => {
                    info!(kind:? = self.kind; "contact with the store was interrupted; listing again");
                    return;
                }
                () = store.era().wait_for_other(at.era) => return,
                () = &mut relist => return,
            };
            match changes {
                Ok(changes) if at.is_continued_by(changes.at) => {
                    self.call_succeeded(sent);
                    at = changes.at;
                    self.apply_changes(&changes);
                    if changes.unnamed > 0 {
                        // Any object may have changed.
                        tokio::time::sleep(BATCH_DELAY).await;
                        return;
                    }
                }
                Ok(changes) => {
                    info!(kind:? = self.kind, at:? = at, next:? = changes.at; "the store has given out revisions again; listing again");
                    return;
                }
                Err(StoreError::RevisionExpired) => {
                    info!(kind:? = self.kind, at:? = at; "the store has dropped the history of this revision; listing again");
                    return;
                }
                Err(e) => {
                    self.call_failed(&e).await;
                    return;
                }
            }
            if self.kind == ObjectKind::Upstreams {
                tokio::time::sleep(BATCH_DELAY).await;
            }
        }
    }

    /// Prepares for the listing of an older copy, in which recent registrations are missing.
    fn store_returned(&mut self, at: Position) {
        info!(kind:? = self.kind, at:? = at; "the store has returned with an older copy");
        self.copy_until = BootInstant::now() + COPY_LIFETIME;
        if self.kind == ObjectKind::Upstreams {
            lock(&self.entry.registry).store_recovered(BootInstant::now());
        }
    }

    async fn call_failed(&mut self, error: &StoreError) {
        if !self.is_store_down {
            warn!(kind:? = self.kind, error:% = error; "dependency lost: the store does not answer");
        }
        self.is_store_down = true;
        if self.kind == ObjectKind::Upstreams {
            lock(&self.entry.registry).store_lost();
        }
        self.retry_at = BootInstant::now() + jittered(DIRECT_RETRY);
        tokio::time::sleep(jittered(self.backoff)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn call_succeeded(&mut self, sent: BootInstant) {
        self.backoff = FIRST_BACKOFF;
        self.entry.store_answered(sent);
        if !std::mem::take(&mut self.is_store_down) {
            return;
        }
        info!(kind:? = self.kind; "dependency regained: the store answers");
        if self.kind == ObjectKind::Upstreams {
            lock(&self.entry.registry).store_recovered(BootInstant::now());
        }
    }

    fn apply_listing(&mut self, listing: &Listing) {
        let is_copy = BootInstant::now() < self.copy_until;
        let present: HashSet<&str> = listing.objects.iter().map(|o| o.name.as_str()).collect();
        self.unusable.retain(&present);
        if self.kind == ObjectKind::Upstreams {
            let gone = lock(&self.entry.registry).apply_listing(&present, BootInstant::now());
            for id in gone {
                self.entry.forget_upstream(&id, "missing from the listing");
            }
        }
        for object in &listing.objects {
            self.apply_object(object, is_copy);
        }
        self.unusable.insert_unnamed(listing.unnamed);
        self.unusable.report();
        self.entry.expire_registrations();
        self.confirm_builds();
    }

    fn apply_changes(&mut self, changes: &Changes) {
        for change in &changes.changes {
            self.apply_change(change);
        }
        self.unusable.insert_unnamed(changes.unnamed);
        self.unusable.report();
        self.entry.expire_registrations();
        self.confirm_builds();
    }

    fn confirm_builds(&self) {
        if self.kind == ObjectKind::Upstreams {
            self.entry.observe_builds();
            lock(&self.entry.builds).confirm(BootInstant::now());
        }
    }

    fn apply_change(&mut self, change: &Change) {
        if !change.removed {
            self.apply_object(&change.object, false);
            return;
        }
        self.unusable.remove(&change.object.name);
        if self.kind == ObjectKind::Upstreams {
            let id = &change.object.name;
            match lock(&self.entry.registry).unregister(id, BootInstant::now()) {
                RegistryChange::Removed => self.entry.forget_upstream(id, "registration removed"),
                RegistryChange::InGracePeriod => {
                    info!(upstream = id; "a registration expired while the store was down; the upstream is kept for now");
                }
                _ => {}
            }
        }
    }

    /// Applies an object; `is_copy`: as an older copy of the store has it.
    fn apply_object(&mut self, object: &Object, is_copy: bool) {
        let codec = &self.entry.codec;
        let read = match self.kind {
            ObjectKind::Upstreams => codec.registration(object).map(|r| {
                let (id, service) = (Arc::clone(&r.id), Arc::clone(&r.service));
                self.report_to_controller(&r);
                let build = std::iter::once(r.build());
                lock(&self.entry.builds).observe(build, BootInstant::now());
                let change = {
                    let mut registry = lock(&self.entry.registry);
                    if is_copy {
                        registry.register_copy(r)
                    } else {
                        registry.register(r)
                    }
                };
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
            ObjectKind::Members | ObjectKind::Holders | ObjectKind::Streams => Ok(()),
        };
        match read {
            Ok(()) => self.unusable.remove(&object.name),
            Err(e) => {
                self.unusable.insert(&object.name, &e);
                if self.kind == ObjectKind::Upstreams {
                    self.discard_unreadable(&object.name);
                }
            }
        }
    }

    /// Passes the adapters that an engine lists to its controller, if this entry holds it.
    fn report_to_controller(&self, registration: &Registration) {
        let controllers = lock(&self.entry.controllers);
        let Some(controller) = controllers.get(&registration.id) else {
            return;
        };
        if controller.upstream.is_same_process(registration) {
            let adapters = registration.models.iter().flat_map(|m| &m.adapters);
            let listed = adapters.map(|a| (a.key.clone(), a.version)).collect();
            controller.send(Command::Reported(listed));
        }
    }

    /// Removes an upstream whose registration can't be parsed.
    fn discard_unreadable(&self, id: &str) {
        let gone = lock(&self.entry.registry).discard(id);
        if gone {
            self.entry
                .forget_upstream(id, "registration can't be parsed");
        }
    }
}

/// Returns the longest duration of a watch of `kind`. Other calls may be answered while the response to a watch is lost, so with
/// [`ANSWER_MARGIN`] and a listing this stays below the shortest time in which a change of the kind must take effect.
fn watch_time(kind: ObjectKind) -> Duration {
    match kind {
        // Heartbeats end it sooner, and it begins only after `BATCH_DELAY`.
        ObjectKind::Upstreams => Duration::from_millis(400),
        ObjectKind::Versions => Duration::from_secs(2),
        _ => Duration::from_millis(800),
    }
}

/// Returns the delay with jitter, so that the retries of many entries spread.
fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.5..1.0))
}
