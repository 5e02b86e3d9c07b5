//! Decides what the holder records of the store's present era are worth, as it may have returned with an older copy.
//!
//! | load pattern | response |
//! |---|---|
//! | the copy lacks the latest takeovers, and names holders of before | a record counts only in the era in which it was written; the generation tells which one that is |
//! | generations of the lost takeovers would be given out again | those of an era are above those of all earlier eras |
//! | a holder that is cut off does not notice the return, and sends orders while its lease lasts | whoever did not hold the engine itself waits until no lease of an earlier era can be left |
//! | an entry starts in the meantime, and has not seen how long the era lasts | a member of the control set writes into its record which era is that old |

use crate::{
    clock::BootInstant,
    decide::{order_lease::TIMING, takeover::DELAY_AFTER_OTHER_VM},
    ident::Generation,
};
use std::time::Duration;

/// Low bits of a generation, which count the takeovers of an engine within an era.
const TAKEOVER_BITS: u32 = 20;

/// Highest era that generations tell apart: they stay below 2^53, so that every JSON reader keeps them exact.
const MAX_ERA: u64 = (1 << (53 - TAKEOVER_BITS)) - 1;

/// Returns the time from the beginning of an era until no lease of an earlier one is left, and an engine's next holder
/// may send orders.
fn settling_time() -> Duration {
    TIMING.takeover + DELAY_AFTER_OTHER_VM
}

/// Largest number of takeovers of an engine that an unreadable record stands for, well within the bits that count them.
const MAX_UNREADABLE: u64 = 1 << (TAKEOVER_BITS - 1);

/// Returns the lower bound of the generations that `era` gives out, which is above those of all earlier eras.
fn floor(era: u64) -> Generation {
    era.min(MAX_ERA) << TAKEOVER_BITS
}

/// Returns the generation that follows `last` in `era`.
pub fn next_generation(last: Option<Generation>, era: u64) -> Generation {
    last.unwrap_or_default().max(floor(era)) + 1
}

/// Returns whether `generation` was given out in `era`, or later.
pub fn is_of_era(generation: Generation, era: u64) -> bool {
    generation >= floor(era)
}

/// Returns a generation that is not below that of an unreadable record at the store's `revision`: each takeover is a write.
pub fn unreadable_generation(revision: u64, era: u64) -> Generation {
    floor(era) + revision.min(MAX_UNREADABLE)
}

/// The store's present era, as this process knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEras {
    /// Number of the era; 0 as long as the store names none.
    present: u64,
    /// Time at which it was first noticed; `None` before the first response.
    since: Option<BootInstant>,
    /// Whether leases of earlier eras are known to have ended, whatever the time.
    is_known_old: bool,
}

impl StoreEras {
    /// Records that a response names `era`. `is_first_start`: the whole system starts for the first time, so that the
    /// first era has no earlier leases.
    pub fn enter(&mut self, era: u64, is_first_start: bool, now: BootInstant) {
        let is_first = self.since.is_none();
        if is_first || era != self.present {
            *self = Self {
                present: era,
                since: Some(now),
                is_known_old: is_first && is_first_start,
            };
        }
    }

    /// Records that another entry has found `era` to be settled.
    pub fn learn_settled(&mut self, era: u64) {
        self.is_known_old |= era == self.present;
    }

    /// Returns the number of the era.
    pub fn present(&self) -> u64 {
        self.present
    }

    /// Returns whether no lease of an earlier era is left. No era comes before 0, which also stands for a store that names none.
    pub fn is_settled(&self, now: BootInstant) -> bool {
        let is_old = |since| now.since(since) >= settling_time();
        self.present == 0 || self.is_known_old || self.since.is_some_and(is_old)
    }

    /// Returns the era if it is settled.
    pub fn settled(&self, now: BootInstant) -> Option<u64> {
        self.is_settled(now).then_some(self.present)
    }
}
