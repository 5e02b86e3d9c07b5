//! Keeps this entry's record in the store, which is its lease on the engines that it holds.

use crate::{
    clock::BootInstant,
    decide::takeover::MemberRecord,
    edge::store::{Object, ObjectKind, Store, StoreError},
    entry::context::Entry,
    holding::lock,
    supervisor::ChildError,
};
use log::{info, warn};
use serde::Deserialize;
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
            late: Vec::new(),
        },
        entry,
        store,
        revision: None,
        fresh: false,
    };
    let mut in_control;
    loop {
        in_control = renewer.entry.is_control_member();
        // Outside the control set the record only lets others find this entry, and is written once.
        if in_control || renewer.revision.is_none() {
            renewer.renew().await;
        }
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(RENEW_INTERVAL) => {}
        }
    }
    if in_control {
        renewer.record.stopped = true;
        renewer.renew().await;
    }
    Ok(())
}

impl<S: Store> Renewer<S> {
    async fn renew(&mut self) {
        self.record.counter += 1;
        self.record.late = self.entry.late_orders();
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

    async fn write(&mut self) -> Result<Object, StoreError> {
        let name = &self.entry.config.id.clone();
        let revision = match self.revision {
            Some(revision) => revision,
            None => match self.store.get(ObjectKind::Members, name).await {
                Ok(object) => {
                    self.inherit(&object);
                    object.revision
                }
                Err(StoreError::NotFound) => {
                    let content = json!(self.record);
                    return self.store.create(ObjectKind::Members, name, &content).await;
                }
                Err(e) => return Err(e),
            },
        };
        let (revision, content) = (Some(revision), json!(self.record));
        self.store
            .replace(ObjectKind::Members, name, revision, &content)
            .await
    }

    /// Takes over what an earlier process of this VM left unanswered.
    fn inherit(&mut self, object: &Object) {
        let Ok(earlier) = MemberRecord::deserialize(&object.content) else {
            warn!("the record of an earlier process can't be read");
            return;
        };
        if earlier.incarnation != self.entry.incarnation {
            lock(&self.entry.late_orders).inherit(&earlier.late, BootInstant::now());
            self.record.late = self.entry.late_orders();
        }
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
