//! Renews this dispatcher's record, which is the lease on all upstreams it holds.

use crate::{
    clock::BootInstant,
    dispatcher::Context,
    fleet::{DispatcherRecord, dispatcher_key},
    holding::lock,
    lease::RENEW_INTERVAL,
    object_api::{Condition, ObjectError, StoredObject, Version},
};
use log::{info, warn};
use std::{
    fmt::{Display, Formatter},
    sync::Arc,
};
use tokio_util::sync::CancellationToken;

/// Error: another process has this dispatcher's name.
#[derive(Debug)]
pub struct NameTaken;

impl Display for NameTaken {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("another process runs under this dispatcher's name")
    }
}

impl std::error::Error for NameTaken {}

/// Task that writes and renews the record.
#[derive(Debug)]
pub struct Renewer {
    context: Arc<Context>,
    version: Option<Version>,
    counter: u64,
}

impl Renewer {
    /// Creates a renewer that has not written the record yet.
    pub fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            version: None,
            counter: 0,
        }
    }

    /// Renews at intervals, and at once when notified, until `stop`; then removes the record.
    ///
    /// # Errors
    /// [`NameTaken`] once a later process has written the record.
    pub async fn run(mut self, stop: CancellationToken) -> Result<(), NameTaken> {
        while !stop.is_cancelled() {
            let context = Arc::clone(&self.context);
            let renew_requested = context.renew_now.notified();
            self.renew().await?;
            tokio::select! {
                () = renew_requested => {}
                () = tokio::time::sleep(RENEW_INTERVAL) => {}
                () = stop.cancelled() => {}
            }
        }
        self.remove().await;
        Ok(())
    }

    fn record(&self) -> DispatcherRecord {
        let context = &self.context;
        DispatcherRecord {
            id: context.id(),
            incarnation: context.incarnation,
            counter: self.counter,
            data_centre: context.config.data_centre.clone(),
            link: context.config.link,
            operators: context.config.operators,
            leaving: context.is_leaving(),
            gateway: context.gateway(),
        }
    }

    async fn renew(&mut self) -> Result<(), NameTaken> {
        self.counter += 1;
        let sent = BootInstant::now();
        if self.version.is_none() && !self.read_version().await? {
            return Ok(());
        }
        let key = dispatcher_key(&self.context.id());
        let condition = match self.version {
            Some(0) | None => Condition::Absent,
            Some(version) => Condition::At(version),
        };
        match self.context.api.put(&key, &self.record(), condition).await {
            Ok(version) => {
                self.version = Some(version);
                lock(&self.context.lease).renewed(sent);
                self.context.mark_registered();
                Ok(())
            }
            Err(ObjectError::Conflict | ObjectError::Unknown) => {
                // If only the response to a write of this process was lost, the record has its own incarnation.
                self.version = None;
                self.read_version().await?;
                Ok(())
            }
            Err(e) => {
                warn!("cannot renew the record: {e}");
                Ok(())
            }
        }
    }

    /// Reads the record's version; returns false if it could not be read.
    async fn read_version(&mut self) -> Result<bool, NameTaken> {
        let stored = match self
            .context
            .api
            .get(&dispatcher_key(&self.context.id()))
            .await
        {
            Ok(stored) => stored,
            Err(e) => {
                warn!("cannot read this dispatcher's record: {e}");
                return Ok(false);
            }
        };
        if let Some(record) = stored
            .as_ref()
            .and_then(|s| s.parse::<DispatcherRecord>().ok())
            && record.incarnation > self.context.incarnation
        {
            return Err(NameTaken);
        }
        self.version = Some(stored.as_ref().map_or(0, |s: &StoredObject| s.version));
        Ok(true)
    }

    /// Removes the record after all upstreams were released.
    async fn remove(&self) {
        let Some(version) = self.version.filter(|v| *v > 0) else {
            return;
        };
        match self
            .context
            .api
            .delete(&dispatcher_key(&self.context.id()), version)
            .await
        {
            Ok(()) => info!("removed this dispatcher's record"),
            Err(e) => warn!("cannot remove this dispatcher's record: {e}"),
        }
    }
}
