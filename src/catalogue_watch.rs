//! Keeps a node's catalogue current: a watch on the root, and peers when the object API is down.

use crate::{
    catalogue::{Catalogue, Declarations},
    catalogue_store::CatalogueStore,
    holding::lock,
    ident::Revision,
    link::{Link, LinkError},
    metrics,
    object_api::{ObjectApi, Version},
    wire::{CatalogueAsk, CatalogueGive},
};
use arc_swap::ArcSwap;
use log::{info, warn};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Path of the streams by which nodes give each other the catalogue.
pub const CATALOGUE_PATH: &str = "/catalogue";

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(8);

/// Wait after a failed watch.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A configuration with its entries, as peers are given it.
#[derive(Debug, Default)]
struct Snapshot {
    catalogue: Arc<Catalogue>,
    entries: Declarations,
}

/// The catalogue in force at this node.
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
    /// The configuration in force.
    pub fn current(&self) -> Arc<Catalogue> {
        Arc::clone(&self.snapshot.load().catalogue)
    }

    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Puts a configuration in force, if it is later than the one that is.
    pub fn install(&self, revision: Revision, entries: Declarations) -> bool {
        let _writing = lock(&self.write);
        if revision <= self.revision() {
            return false;
        }
        let catalogue = Arc::new(Catalogue::from_declarations(revision, &entries));
        self.snapshot
            .store(Arc::new(Snapshot { catalogue, entries }));
        self.revision.send_replace(revision);
        metrics::catalogue_revision(revision);
        info!(revision = revision; "catalogue in force");
        true
    }

    /// Waits until `revision` or a later one is in force, at most `limit`.
    pub async fn wait_for_revision(&self, revision: Revision, limit: Duration) -> bool {
        let mut seen = self.revision.subscribe();
        let reached = seen.wait_for(|r| *r >= revision);
        tokio::time::timeout(limit, reached)
            .await
            .is_ok_and(|r| r.is_ok())
    }

    /// What a peer that has `have` is given.
    pub fn give(&self, have: Revision) -> CatalogueGive {
        let snapshot = self.snapshot.load();
        let revision = snapshot.catalogue.revision;
        let entries = if revision > have {
            serde_json::to_string(&snapshot.entries).unwrap_or_default()
        } else {
            String::new()
        };
        CatalogueGive { revision, entries }
    }

    /// Fetches a peer's catalogue if it is later.
    ///
    /// # Errors
    /// The peer could not be asked or its answer could not be read.
    pub async fn fetch_from(&self, peer: &Link) -> Result<Revision, LinkError> {
        let ask = CatalogueAsk {
            have: self.revision(),
        };
        let mut answer = peer.open(CATALOGUE_PATH, &ask).await?;
        let give: CatalogueGive = answer.next().await?.ok_or(LinkError::Broken)?;
        if give.revision > ask.have {
            let entries = serde_json::from_str(&give.entries).map_err(|_e| LinkError::Malformed)?;
            self.install(give.revision, entries);
        }
        Ok(give.revision)
    }

    /// Follows the root in the object API until `stop`.
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

    /// One watch; the root's version afterwards, or `None` after a failure.
    async fn watch_once(&self, store: &mut CatalogueStore, version: Version) -> Option<Version> {
        let changed = match store.watch(version, WATCH_WAIT).await {
            Ok(Some(changed)) => changed,
            Ok(None) => return Some(version),
            Err(e) => {
                warn!("watching the catalogue's root: {e}");
                return None;
            }
        };
        let (version, root) = changed;
        match store.declarations(&root, root.revision()).await {
            Ok(entries) => {
                self.install(root.revision(), entries);
                Some(version)
            }
            Err(e) => {
                warn!(revision = root.revision(); "reading the catalogue: {e}");
                None
            }
        }
    }
}
