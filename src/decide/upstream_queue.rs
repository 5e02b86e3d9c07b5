//! Bounds the requests in flight at an upstream of a plain service by the wait that they accept.
//!
//! An upstream runs a number of requests at once and queues a few more. How long a queued one waits follows from those
//! before it and from how long they run: with `n` requests in flight at `s` slots it is about `(n - s) / s` run times.
//! Run times are measured from sending, so they include what the queue costs already; the bound gets tighter as the
//! queue grows, and counts that are out of date don't fill it.
//!
//! | load pattern | response |
//! |---|---|
//! | short requests arrive in clumps | some wait in the upstream's queue, as long as their responses are in time |
//! | more arrive than the upstreams run | what would be late is refused at once |
//! | run times are very short | an upstream's queue is bounded all the same, as it turns away what it can't take |
//! | run times are not known yet | an upstream gets what it runs at once |

use std::time::Duration;

/// Largest number of requests in flight for each that an upstream runs at once: its queue is short, and it turns away what
/// its queue can't take.
const MAX_PLACES_PER_SLOT: u32 = 4;

/// Returns how many requests may be in flight at an upstream that runs `slots` at once, if the last one waits `max_wait`
/// at most and they take `run_time` each.
pub fn places(slots: u32, max_wait: Duration, run_time: Option<Duration>) -> u32 {
    let Some(run_time) = run_time.filter(|t| !t.is_zero()) else {
        return slots;
    };
    let queued = f64::from(slots) * max_wait.as_secs_f64() / run_time.as_secs_f64();
    let places = slots.saturating_add(queued as u32);
    places.min(slots.saturating_mul(MAX_PLACES_PER_SLOT))
}
