//! Times at which processes of upstreams crashed, whatever they ran.

use crate::ident::UpstreamId;
use std::collections::HashMap;

/// Crashes kept, the latest ones.
const MAX_CRASHES: usize = 4_096;

/// Process of an upstream: its name, and the time at which it started.
pub(crate) type Process = (UpstreamId, u64);

/// Crashed processes with the time of the crash, in milliseconds since the Unix epoch.
#[derive(Debug, Default)]
pub(crate) struct CrashTimes(HashMap<Process, u64>);

impl CrashTimes {
    /// Records a crash. Of several strikes for it the earliest is the nearest to it.
    pub(crate) fn record(&mut self, process: Process, at_ms: u64) {
        let known_ms = self.0.entry(process).or_insert(at_ms);
        *known_ms = at_ms.min(*known_ms);
        if self.0.len() > MAX_CRASHES {
            let oldest = self.0.iter().min_by_key(|(_, at_ms)| **at_ms);
            let oldest = oldest.map(|(process, _)| process.clone());
            oldest.and_then(|process| self.0.remove(&process));
        }
    }

    /// Returns the number of crashes within `gap_ms` of one of `times`, which are sorted, but for those that are `known`.
    pub(crate) fn beside(
        &self,
        times: &[u64],
        gap_ms: u64,
        known: impl Fn(&Process) -> bool,
    ) -> usize {
        let is_beside = |at_ms: u64| {
            let next = times.partition_point(|ms| ms.saturating_add(gap_ms) < at_ms);
            times
                .get(next)
                .is_some_and(|ms| *ms <= at_ms.saturating_add(gap_ms))
        };
        let beside = self.0.iter().filter(|(_, at_ms)| is_beside(**at_ms));
        beside.filter(|(process, _)| !known(process)).count()
    }
}
