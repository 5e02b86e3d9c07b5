//! Keeps this entry's record in the store, which is its lease on the engines that it holds.

use crate::{
    clock::BootInstant,
    decide::succession::MemberRecord,
    edge::store::{Kind, Object, Store, StoreError},
    entry::context::Entry,
    holding::lock,
    supervisor::ChildError,
};
use log::{info, warn};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Interval between renewals: one may fail and be repeated within the lease, and each one is paid for.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// This entry's record as last written.
struct Renewer<S> {
    entry: Arc<Entry>,
    store: S,
    record: MemberRecord,
    /// Store revision of the record, where known.
    revision: Option<u64>,
    fresh: bool,
}

/// Renews until `stop`, then says that no orders follow.
///
/// # Errors
/// None; failures of the store are waited out.
pub async fn renew<S: Store>(
    entry: Arc<Entry>,
    store: S,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let mut renewer = Renewer {
        record: MemberRecord {
            incarnation: entry.incarnation,
            counter: 0,
            link: entry.config.link,
            stopped: false,
        },
        entry,
        store,
        revision: None,
        fresh: false,
    };
    loop {
        renewer.renew().await;
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(RENEW_INTERVAL) => {}
        }
    }
    renewer.record.stopped = true;
    renewer.renew().await;
    Ok(())
}

impl<S: Store> Renewer<S> {
    async fn renew(&mut self) {
        self.record.counter += 1;
        let sent = BootInstant::now();
        let written = self.write().await;
        match &written {
            Ok(object) => {
                self.revision = Some(object.revision);
                lock(&self.entry.order_lease).renewed(sent, BootInstant::now());
            }
            Err(_e) => self.revision = None,
        }
        self.log(&written);
    }

    async fn write(&self) -> Result<Object, StoreError> {
        let name = &self.entry.config.id;
        let content = json!(self.record);
        let revision = match self.revision {
            Some(revision) => revision,
            None => match self.store.get(Kind::Members, name).await {
                Ok(object) => object.revision,
                Err(StoreError::Missing) => {
                    return self.store.create(Kind::Members, name, &content).await;
                }
                Err(e) => return Err(e),
            },
        };
        let revision = Some(revision);
        self.store
            .replace(Kind::Members, name, revision, &content)
            .await
    }

    fn log(&mut self, written: &Result<Object, StoreError>) {
        let fresh = lock(&self.entry.order_lease).is_fresh(BootInstant::now());
        if let Err(e) = written {
            warn!(error:% = e, counter = self.record.counter, lease_fresh = fresh; "the lease was not renewed");
        }
        if fresh != self.fresh {
            info!(lease_fresh = fresh, counter = self.record.counter; "lease changed");
        }
        self.fresh = fresh;
    }
}
