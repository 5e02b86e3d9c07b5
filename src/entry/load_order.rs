//! Which requests may have an adapter loaded while loads are under way at all engines.

use crate::{
    clock::BootInstant,
    decide::{load_limit::LoadCounts, standing::AVERAGED},
    entry::{context::Entry, messages::EnsureRequest},
    holding::lock,
};
use std::time::Duration;

impl Entry {
    /// Returns how long a request for a load from the store may wait.
    ///
    /// # Errors
    /// It is refused: the time that the load is expected to take.
    pub fn admit_load(
        &self,
        request: &EnsureRequest,
        now: BootInstant,
    ) -> Result<Duration, Duration> {
        let fleet = self.fleet_loads();
        let limit = *lock(&self.load_limit);
        let expected = limit.expected_time(fleet);
        let is_idle = expected <= limit.expected_time(LoadCounts::default());
        let max_wait_ms = if is_idle {
            request.idle_wait_ms
        } else {
            request.max_wait_ms
        };
        let max_wait = Duration::from_millis(u64::from(max_wait_ms));
        let urgent = &mut lock(&self.standing).urgent_loads;
        urgent.observe(fleet, now);
        let is_in_time = expected <= max_wait;
        if request.is_urgent && !is_in_time {
            urgent.record_refused(limit.limit());
        }
        if is_in_time && (request.is_urgent || urgent.leave_room(fleet, limit.limit())) {
            Ok(max_wait)
        } else {
            // Room for less urgent loads comes back as those of urgent requests, and refusals of them, grow old.
            let is_full = is_in_time;
            Err(if is_full {
                expected.max(AVERAGED)
            } else {
                expected
            })
        }
    }
}
