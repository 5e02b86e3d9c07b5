//! Era of the store: the store may return from an outage with an older copy, and gives revisions out again from there on.

use crate::edge::store::StoreError;
use log::info;
use std::sync::Arc;
use tokio::sync::watch;

/// Latest era that any response has named, if there was one; clones share it.
#[derive(Clone, Debug, Default)]
pub struct StoreEra(Arc<watch::Sender<Option<u64>>>);

impl StoreEra {
    /// Returns the latest era; 0 as long as none is known.
    pub fn latest(&self) -> u64 {
        self.0.borrow().unwrap_or_default()
    }

    /// Takes in the era that a response names, to a call that was sent in the era `sent`; returns the response's era.
    ///
    /// # Errors
    /// [`StoreError::Unknown`]: the response comes from before the store's return, so that what it says is void.
    pub fn observe(&self, named: Option<u64>, sent: u64) -> Result<u64, StoreError> {
        let latest = self.latest();
        if let Some(first) = named {
            // A store may begin with any number: 0 is an era, too.
            self.0.send_if_modified(|known| {
                let is_first = known.is_none();
                if is_first {
                    info!(era = first; "the first era of the store");
                    *known = Some(first);
                }
                is_first
            });
        }
        let named = named.unwrap_or(sent);
        // A call gets no response from an era before its own: the later one was named by mistake.
        let is_mistaken = named < sent;
        if named > latest || is_mistaken {
            info!(era = named, before = latest; "the store is in another era");
            self.0.send_replace(Some(named));
        } else if named < latest {
            return Err(StoreError::Unknown);
        }
        Ok(named)
    }

    /// Waits until the latest era is not `era`.
    pub async fn wait_for_other(&self, era: u64) {
        self.wait_for(|now| now.unwrap_or_default() != era).await;
    }

    /// Waits until an era is known.
    pub async fn wait_for_first(&self) {
        self.wait_for(Option::is_some).await;
    }

    async fn wait_for(&self, condition: impl FnMut(&Option<u64>) -> bool) {
        let mut eras = self.0.subscribe();
        // The sender lives as long as this value.
        let _changed = eras.wait_for(condition).await;
    }
}
