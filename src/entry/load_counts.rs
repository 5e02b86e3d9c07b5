//! Adapter loads under way and waiting, at this entry's engines and at all.

use crate::{
    clock::BootInstant,
    decide::load_limit::LoadCounts,
    entry::{context::Entry, controller_handle::ControllerHandle},
    holding::lock,
};

impl Entry {
    /// Returns the loads at the engines that this entry holds.
    pub fn own_loads(&self) -> LoadCounts {
        let controllers = lock(&self.controllers);
        controllers.values().map(ControllerHandle::loads).sum()
    }

    /// Returns the loads at all engines.
    pub fn fleet_loads(&self) -> LoadCounts {
        let others = lock(&self.peers).loads(BootInstant::now());
        [self.own_loads(), others].into_iter().sum()
    }
}
