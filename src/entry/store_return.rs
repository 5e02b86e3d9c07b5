//! Ends the right to send orders when the store returns with an older copy, and keeps what the copy may lack.

use crate::{
    clock::BootInstant,
    decide::store_eras,
    edge::store::Store,
    entry::{context::Entry, controller_handle::ControllerHandle},
    holding::lock,
    ident::{Generation, UpstreamId},
};
use log::info;
use std::collections::{HashMap, HashSet};

impl Entry {
    /// Records that the store is in `era`. In a new era, this entry sends no orders until it has renewed its lease and read
    /// the holder records again.
    pub fn enter_store_era(&self, era: u64) {
        let now = BootInstant::now();
        lock(&self.store_eras).enter(era, self.config.first_start, now);
        let (is_new, held_before) = {
            let mut lease = lock(&self.order_lease);
            (lease.enter_era(era, now), lease.held_before())
        };
        if is_new {
            info!(era = era, held_before = held_before; "placement: the store is in another era; orders wait for its records");
            self.notify_peers();
        }
    }

    /// Returns whether orders may be sent to `upstream` with `generation`. A controller may live on for a while after its engine
    /// was dropped, as requests wait for its answers.
    pub fn may_order(&self, upstream: &str, generation: Generation) -> bool {
        let holds = {
            let controllers = lock(&self.controllers);
            let current = controllers.get(upstream);
            current.is_some_and(|c| c.generation == generation)
        };
        holds && self.may_send_orders()
    }

    /// Returns the era in which no lease of an earlier one is left, for this entry's record in the store.
    pub fn settled_era(&self) -> Option<u64> {
        lock(&self.store_eras).settled(BootInstant::now())
    }

    /// Ends the controllers of engines that this entry holds by records of eras before `era`; returns the engines, if nobody
    /// else can have taken them over since.
    pub fn end_earlier_controllers(&self, era: u64) -> HashSet<UpstreamId> {
        let held_before = lock(&self.order_lease).held_before();
        let mut controllers = lock(&self.controllers);
        let ended: HashMap<UpstreamId, ControllerHandle> = controllers
            .extract_if(|_, c| !store_eras::is_of_era(c.generation, era))
            .collect();
        drop(controllers);
        for (id, controller) in &ended {
            info!(upstream = &**id, generation = controller.generation, era = era, claimed = held_before; "placement: engine held by a record of an earlier era");
            // The record of this entry in the store's copy may lack them.
            self.keep_late_orders(controller);
        }
        if held_before {
            ended.into_keys().collect()
        } else {
            HashSet::new()
        }
    }
}

/// Follows the eras that the store's responses name.
pub async fn follow_eras<S: Store>(entry: &Entry, store: &S) {
    store.era().wait_for_first().await;
    loop {
        let era = store.era().latest();
        entry.enter_store_era(era);
        store.era().wait_for_other(era).await;
    }
}
