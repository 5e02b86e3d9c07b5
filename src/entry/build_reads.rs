//! Reads the builds of all registered upstreams when a stream is taken up whose beginning is unknown.

use crate::{
    clock::BootInstant,
    edge::{
        registration::Build,
        store::{Listing, ObjectKind, Store, StoreError},
    },
    entry::{context::Entry, registrations},
    holding::lock,
    supervisor::ChildError,
};
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Minimum time between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Longest wait for the store within a read; it responds within milliseconds, or a few hundred when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait of a request for a read, from the store and then from a peer.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

impl Entry {
    /// Waits for a read of the registered upstreams that begins now; the history of builds shows whether it succeeded.
    pub async fn read_builds(&self) {
        if !self.build_reads.wait(READ_TIMEOUT).await {
            warn!(wait_ms = READ_TIMEOUT.as_millis() as u64; "routing: the builds of the upstreams were not read in time");
        }
    }

    fn observe_listed(&self, listing: &Listing) {
        let objects = listing.objects.iter();
        let registered = objects.filter_map(|object| self.codec.registration(object).ok());
        let builds: Vec<Build> = registered.map(|r| r.build()).collect();
        lock(&self.builds).observe(builds.into_iter(), BootInstant::now());
    }

    /// Returns whether other entries are heard, and none of them is in contact with the store: no one can have learned of
    /// another build.
    fn is_store_down_for_all(&self) -> bool {
        let peers = lock(&self.peers);
        let mut heard = peers.heard(BootInstant::now()).peekable();
        heard.peek().is_some() && heard.all(|info| !info.follows)
    }
}

/// Reads the builds whenever a request waits for that, until `stop`.
///
/// # Errors
/// None; a failed read leaves the beginning of the stream unknown.
pub async fn read_builds<S: Store>(
    entry: Arc<Entry>,
    store: S,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let mut wanted = entry.build_reads.subscribe();
    let read = async {
        while let Some(number) = wanted.next().await {
            read_once(&entry, &store).await;
            entry.build_reads.finish(number);
            tokio::time::sleep(READ_INTERVAL).await;
        }
    };
    let _stopped = stop.run_until_cancelled(read).await;
    Ok(())
}

async fn read_once<S: Store>(entry: &Arc<Entry>, store: &S) {
    let begun = BootInstant::now();
    let listing = tokio::time::timeout(STORE_TIMEOUT, store.list(ObjectKind::Upstreams));
    let source = match listing.await.unwrap_or(Err(StoreError::Unknown)) {
        Ok(listing) => {
            entry.observe_listed(&listing);
            "store"
        }
        Err(_) if registrations::observe_peer_builds(entry).await => "entry",
        Err(_) if entry.is_store_down_for_all() => "known before",
        Err(e) => {
            warn!(error:% = e; "routing: neither the store nor an entry tells the builds of the upstreams");
            return;
        }
    };
    lock(&entry.builds).confirm_read(begun, BootInstant::now());
    info!(source = source; "routing: builds of the upstreams read");
}
