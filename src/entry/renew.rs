//! Renews this entry's member record in the store, which is its lease on the engines that it holds and keeps what the
//! next process of the VM needs to know.

use crate::{
    clock::BootInstant,
    decide::takeover::MemberRecord,
    edge::store::{Object, ObjectKind, Store, StoreError},
    entry::context::Entry,
    holding::lock,
    supervisor::ChildError,
};
use log::{info, warn};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tokio_util::sync::CancellationToken;

/// Interval between renewals: one may fail and be retried within the lease, and each one costs money.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time to record that no more orders follow; a call to the store takes some ten milliseconds.
pub const FINAL_RENEWAL: Duration = Duration::from_millis(200);

/// Member record of this entry as last written.
struct Renewer<S> {
    entry: Arc<Entry>,
    store: S,
    record: MemberRecord,
    /// Store revision of the record, where known.
    revision: Option<u64>,
    is_fresh: bool,
    /// Whether this entry was a member of the control set at the last renewal.
    is_member: bool,
}

/// Renews the lease until `stop`, then records that no more orders follow.
///
/// # Errors
/// None; calls to the store are retried.
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
            refused: Vec::new(),
            settled: None,
        },
        entry,
        store,
        revision: None,
        is_fresh: false,
        is_member: false,
    };
    let _stopped = stop.run_until_cancelled(renewer.run()).await;
    if renewer.is_member {
        renewer.record.stopped = true;
        let written = tokio::time::timeout(FINAL_RENEWAL, renewer.renew()).await;
        if written.is_err() {
            warn!(limit_ms = FINAL_RENEWAL.as_millis() as u64; "the store did not record in time that no more orders follow");
        }
    }
    Ok(())
}

impl<S: Store> Renewer<S> {
    async fn run(&mut self) {
        loop {
            let era = self.store.era().latest();
            self.is_member = self.entry.is_control_member();
            // Outside the control set the record is only used for discovery by other entries, and is written once.
            if self.is_member || self.revision.is_none() {
                self.renew().await;
            }
            // A lease ends when the store returns with an older copy.
            tokio::select! {
                () = tokio::time::sleep(RENEWAL_INTERVAL) => {}
                () = self.store.era().wait_for_other(era) => {}
            }
        }
    }

    async fn renew(&mut self) {
        self.record.counter += 1;
        self.record.late = self.entry.late_orders();
        self.record.refused = self.entry.quarantine.refused();
        self.record.settled = self.entry.settled_era();
        let sent = BootInstant::now();
        let written = self.write().await;
        match &written {
            Ok(object) => {
                self.revision = Some(object.revision);
                self.entry.store_answered(sent);
                lock(&self.entry.order_lease).renewed(sent, BootInstant::now());
            }
            Err(_e) => self.revision = None,
        }
        self.log(&written);
    }

    async fn write(&mut self) -> Result<Object, StoreError> {
        let name = &self.entry.config.id.clone();
        // Unknown until the store responds: a cancelled renewal may have been written.
        if let Some(revision) = self.revision.take() {
            match self.replace(name, revision).await {
                // An older copy of the store has another revision of the record, or none.
                Err(StoreError::Conflict(_) | StoreError::NotFound) => {}
                result => return result,
            }
        }
        match self.store.get(ObjectKind::Members, name).await {
            Ok(object) => {
                self.inherit(&object);
                self.replace(name, object.revision).await
            }
            Err(StoreError::NotFound) => {
                let content = json!(self.record);
                self.store.create(ObjectKind::Members, name, &content).await
            }
            Err(e) => Err(e),
        }
    }

    async fn replace(&self, name: &str, revision: u64) -> Result<Object, StoreError> {
        let content = json!(self.record);
        self.store
            .replace(ObjectKind::Members, name, Some(revision), &content)
            .await
    }

    /// Takes over the orders that got no response in an earlier process of this VM, and the requests that it refused.
    fn inherit(&mut self, object: &Object) {
        let earlier: MemberRecord = match object.decode() {
            Ok(earlier) => earlier,
            Err(e) => {
                warn!(error:% = e; "the member record of an earlier process can't be parsed");
                return;
            }
        };
        if earlier.incarnation != self.entry.incarnation {
            lock(&self.entry.late_orders).inherit(&earlier.late, BootInstant::now());
            self.record.late = self.entry.late_orders();
            self.entry.restore_refused(&earlier.refused);
            self.record.refused = self.entry.quarantine.refused();
        }
    }

    fn log(&mut self, written: &Result<Object, StoreError>) {
        let is_fresh = lock(&self.entry.order_lease).is_fresh(BootInstant::now());
        if let Err(e) = written {
            warn!(error:% = e, counter = self.record.counter, lease_fresh = is_fresh; "the lease was not renewed");
        }
        if is_fresh != self.is_fresh {
            info!(lease_fresh = is_fresh, counter = self.record.counter; "lease changed");
        }
        self.is_fresh = is_fresh;
    }
}
