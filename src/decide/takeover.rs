//! Who gives orders to an upstream, and from when on.
//!
//! A holder's lease is its own record in the store, renewed under a counter. Whoever takes an upstream over
//! raises its generation by a conditional write, and then waits until the earlier holder can no longer act.

use crate::{
    clock::BootInstant,
    edge::registration::AdapterKey,
    ident::{Generation, UpstreamId, rendezvous},
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Wait before the first order after another VM held the upstream: that VM's lease ended at least two seconds
/// before (see `order_lease::TIMING`), and the platform wants three between two holders.
const AFTER_OTHER: Duration = Duration::from_millis(3_500);

/// Wait before the first order after an earlier process of the same VM: its connections are gone, and what it
/// sent last has arrived.
const AFTER_SELF: Duration = Duration::from_millis(500);

/// An entry's record in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Process; grows with each start of the VM.
    pub incarnation: u64,
    /// Renewals so far.
    pub counter: u64,
    /// Where other entries reach it.
    pub link: std::net::SocketAddr,
    /// Whether it gives no orders any more.
    pub stopped: bool,
    /// Its orders that may still be carried out, for whoever holds those engines next.
    #[serde(default)]
    pub late: Vec<LateOrder>,
}

/// An order for an adapter that got no answer and may be carried out later.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LateOrder {
    /// Engine.
    pub upstream: UpstreamId,
    /// Adapter.
    pub key: AdapterKey,
}

/// An upstream's record in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// VM that gives orders.
    pub holder: Arc<str>,
    /// Its process.
    pub incarnation: u64,
    /// Fencing number.
    pub generation: Generation,
}

/// What is known of a record's holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderState {
    /// Its lease may be good.
    Live,
    /// It gives no orders any more, or its lease has certainly ended.
    Ended,
}

/// What to do about one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TakeoverStep {
    /// Nothing: another VM holds it or is to take it.
    Leave,
    /// We hold it already.
    Held,
    /// Create its first record.
    Create,
    /// Replace its record, with this generation.
    Replace(Generation),
}

/// This entry.
#[derive(Clone, Copy, Debug)]
pub struct OwnProcess<'a> {
    /// VM.
    pub name: &'a str,
    /// Process.
    pub incarnation: u64,
}

/// Decides about `upstream`; `live` are the VMs that could hold it, this one included.
pub fn next_step(
    own: OwnProcess<'_>,
    upstream: &UpstreamId,
    record: Option<&HolderRecord>,
    state: HolderState,
    live: &[Arc<str>],
) -> TakeoverStep {
    let Some(record) = record else {
        let first = is_first(own, upstream, live.iter());
        return if first {
            TakeoverStep::Create
        } else {
            TakeoverStep::Leave
        };
    };
    if &*record.holder == own.name {
        return if record.incarnation == own.incarnation {
            TakeoverStep::Held
        } else {
            TakeoverStep::Replace(record.generation + 1)
        };
    }
    if state == HolderState::Live {
        return TakeoverStep::Leave;
    }
    let others = live.iter().filter(|n| **n != record.holder);
    if is_first(own, upstream, others) {
        TakeoverStep::Replace(record.generation + 1)
    } else {
        TakeoverStep::Leave
    }
}

fn is_first<'a>(
    own: OwnProcess<'_>,
    upstream: &UpstreamId,
    live: impl Iterator<Item = &'a Arc<str>>,
) -> bool {
    let names: Vec<&Arc<str>> = live.collect();
    let ranked = rendezvous(upstream, &names, |n| n);
    ranked.first().is_none_or(|n| &****n == own.name)
}

/// When the first order may be given after a take-over at `taken` from `earlier`.
pub fn first_order_at(
    own: &str,
    earlier: Option<&HolderRecord>,
    taken: BootInstant,
) -> BootInstant {
    match earlier {
        None => taken,
        Some(record) if &*record.holder == own => taken + AFTER_SELF,
        Some(_other) => taken + AFTER_OTHER,
    }
}
