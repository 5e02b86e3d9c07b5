//! Keeps a process's catalogue current: watches the root, and fetches it from peers when the object API is down.

use crate::{
    catalogue::{Catalogue, Declarations},
    catalogue_store::CatalogueStore,
    holding::lock,
    ident::Revision,
    link::{Link, LinkError},
    metrics,
    object_api::{ObjectApi, Version},
    wire::{CatalogueRequest, CatalogueResponse},
};
use arc_swap::ArcSwap;
use log::{info, warn};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Path of the streams on which processes fetch the catalogue from each other.
pub const CATALOGUE_PATH: &str = "/catalogue";

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(8);

/// Wait after a failed watch.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A catalogue with its declarations, as sent to peers.
#[derive(Debug, Default)]
struct Snapshot {
    catalogue: Arc<Catalogue>,
    declarations: Declarations,
}

/// The catalogue in force in this process.
#[derive(Debug)]
pub struct CatalogueState {
    snapshot: ArcSwap<Snapshot>,
    revision: watch::Sender<Revision>,
    write: Mutex<()>,
}

impl Default for CatalogueState {
    fn default() -> Self {
        Self {
            snapshot: ArcSwap::default(),
            revision: watch::Sender::new(0),
            write: Mutex::new(()),
        }
    }
}

impl CatalogueState {
    /// Returns the catalogue in force.
    pub fn current(&self) -> Arc<Catalogue> {
        Arc::clone(&self.snapshot.load().catalogue)
    }

    /// Returns the revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Replaces the catalogue in force if `revision` is later; returns whether it did.
    pub fn install(&self, revision: Revision, declarations: Declarations) -> bool {
        let _guard = lock(&self.write);
        if revision <= self.revision() {
            return false;
        }
        let catalogue = Arc::new(Catalogue::from_declarations(revision, &declarations));
        self.snapshot.store(Arc::new(Snapshot {
            catalogue,
            declarations,
        }));
        self.revision.send_replace(revision);
        metrics::catalogue_revision(revision);
        info!(revision = revision; "catalogue in force");
        true
    }

    /// Waits at most `limit` until `revision` or a later one is in force; returns whether it is.
    pub async fn wait_for_revision(&self, revision: Revision, limit: Duration) -> bool {
        let mut updates = self.revision.subscribe();
        let wait = updates.wait_for(|r| *r >= revision);
        tokio::time::timeout(limit, wait)
            .await
            .is_ok_and(|r| r.is_ok())
    }

    /// Returns the response to a peer whose revision is `have`.
    pub fn response_to(&self, have: Revision) -> CatalogueResponse {
        let snapshot = self.snapshot.load();
        let revision = snapshot.catalogue.revision;
        let entries = if revision > have {
            serde_json::to_string(&snapshot.declarations).unwrap_or_default()
        } else {
            String::new()
        };
        CatalogueResponse { revision, entries }
    }

    /// Fetches a peer's catalogue and installs it if it is later; returns the peer's revision.
    ///
    /// # Errors
    /// The request to the peer failed or its response was malformed.
    pub async fn fetch_from(&self, peer: &Link) -> Result<Revision, LinkError> {
        let request = CatalogueRequest {
            have: self.revision(),
        };
        let mut responses = peer.open(CATALOGUE_PATH, &request).await?;
        let response: CatalogueResponse = responses.next().await?.ok_or(LinkError::Broken)?;
        if response.revision > request.have {
            let declarations =
                serde_json::from_str(&response.entries).map_err(|_e| LinkError::Malformed)?;
            self.install(response.revision, declarations);
        }
        Ok(response.revision)
    }

    /// Watches the root in the object API until `stop`.
    pub async fn watch(&self, api: ObjectApi, stop: CancellationToken) {
        let mut store = CatalogueStore::new(api);
        let mut version = 0;
        loop {
            let next = tokio::select! {
                () = stop.cancelled() => return,
                next = self.watch_once(&mut store, version) => next,
            };
            match next {
                Some(seen) => version = seen,
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Runs one watch; returns the root's version afterwards, or `None` after a failure.
    async fn watch_once(&self, store: &mut CatalogueStore, version: Version) -> Option<Version> {
        let changed = match store.watch(version, WATCH_WAIT).await {
            Ok(Some(changed)) => changed,
            Ok(None) => return Some(version),
            Err(e) => {
                warn!("watching the catalogue root failed: {e}");
                return None;
            }
        };
        let (version, root) = changed;
        match store.declarations(&root, root.revision()).await {
            Ok(declarations) => {
                self.install(root.revision(), declarations);
                Some(version)
            }
            Err(e) => {
                warn!(revision = root.revision(); "reading the catalogue failed: {e}");
                None
            }
        }
    }
}
