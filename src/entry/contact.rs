//! Keeps contact with the store while this entry follows it, so that a silent watch is noticed.

use crate::{
    clock::BootInstant,
    edge::store::{ObjectKind, Store},
    entry::context::Entry,
    holding::lock,
    supervisor::ChildError,
};
use log::{debug, info};
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, time::MissedTickBehavior};
use tokio_util::sync::CancellationToken;

/// Time from a probe to the next one; several fit in the time for which contact is believed to last.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between checks whether the contact has lapsed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Entry {
    /// Records that the store answered a call that was sent at `sent`. After an interruption, what was read before may
    /// have changed unnoticed.
    pub fn store_answered(&self, sent: BootInstant) {
        if lock(&self.contact).record_answer(sent) {
            self.contact_interrupted();
        }
    }

    /// Marks what was read from the store as possibly outdated, until it is listed again.
    fn contact_interrupted(&self) {
        lock(&self.registry).store_lost();
        for kind in [ObjectKind::Configuration, ObjectKind::Versions] {
            self.currency.set_followed(kind, false);
        }
        self.contact_gaps.send_modify(|n| *n += 1);
    }

    /// Returns a counter of the interruptions of the contact with the store.
    pub fn contact_gaps(&self) -> watch::Receiver<u64> {
        self.contact_gaps.subscribe()
    }

    /// Returns whether this entry knows every change of the registered upstreams, and every new version of an adapter, from the
    /// store by itself.
    pub fn follows_store(&self) -> bool {
        let is_fresh = lock(&self.contact).is_fresh(BootInstant::now());
        is_fresh && lock(&self.registry).follows_store() && self.currency.follows_versions()
    }
}

/// Probes the store while this entry follows it, until `stop`.
///
/// # Errors
/// None; probes are repeated.
pub async fn keep_contact<S: Store>(
    entry: Arc<Entry>,
    store: S,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let _stopped = stop
        .run_until_cancelled(async {
            tokio::join!(
                probe_repeatedly(&entry, &store),
                notice_interruptions(&entry),
                entry.currency.keep_ticking()
            )
        })
        .await;
    Ok(())
}

async fn probe_repeatedly<S: Store>(entry: &Entry, store: &S) {
    let mut due = tokio::time::interval(PROBE_INTERVAL);
    due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        due.tick().await;
        if entry.is_control_member() || lock(&entry.registry).follows_store() {
            let sent = BootInstant::now();
            match store.probe().await {
                Ok(()) => entry.store_answered(sent),
                Err(e) => debug!("probing the store failed: {e}"),
            }
        }
    }
}

/// Checks whether the contact has lapsed. A probe without an answer takes most of the time for which contact is believed to last,
/// so this doesn't wait for it.
async fn notice_interruptions(entry: &Entry) {
    let mut was_fresh = false;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = BootInstant::now();
        let contact = *lock(&entry.contact);
        let is_fresh = contact.is_fresh(now);
        if was_fresh && !is_fresh {
            entry.contact_interrupted();
        }
        if is_fresh != was_fresh {
            let age_ms = contact.age(now).unwrap_or_default().as_millis() as u64;
            info!(fresh = is_fresh, age_ms = age_ms; "contact with the store changed");
            entry.notify_peers();
        }
        was_fresh = is_fresh;
    }
}
