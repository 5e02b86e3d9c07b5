//! Decides which entry may send orders to an upstream, and when it may send the first one.
//!
//! A holder's lease is its own record in the store, renewed by raising a counter. An entry that takes an upstream over
//! raises its generation with a conditional write, and then waits until the earlier holder can no longer act.

use crate::{
    clock::BootInstant,
    decide::{reservations::CopyVersion, store_eras},
    edge::registration::AdapterKey,
    ident::{Generation, UpstreamId, rendezvous},
    refused_subject::RefusedSubject,
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Delay before the first order if another VM held the upstream: its lease ended at least two seconds earlier (see
/// `order_lease::TIMING`), and the platform requires three seconds between two holders.
pub const DELAY_AFTER_OTHER_VM: Duration = Duration::from_millis(3_500);

/// Delay before the first order if an earlier process of this VM held the upstream: its connections are closed, and
/// its last orders have arrived by then.
const DELAY_AFTER_OWN_VM: Duration = Duration::from_millis(500);

/// Membership record of an entry in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Incarnation of the process; increases with each start of the VM.
    pub incarnation: u64,
    /// Number of renewals so far.
    pub counter: u64,
    /// Address for links from peers.
    pub link: std::net::SocketAddr,
    /// Whether it has stopped sending orders.
    pub stopped: bool,
    /// Its orders that may still be executed, for the next holder of those engines.
    #[serde(default)]
    pub late: Vec<LateOrder>,
    /// What upstreams crashed under, for entries that start after all that know of them have ended.
    #[serde(default)]
    pub refused: Vec<RefusedSubject>,
    /// Era of the store in which no lease of an earlier one is left, if the process knows it.
    #[serde(default)]
    pub settled: Option<u64>,
}

/// A copy of an adapter that an order without a response may still leave at an engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LateOrder {
    /// Engine.
    pub upstream: UpstreamId,
    /// Adapter.
    pub key: AdapterKey,
    /// Version of the copy; earlier builds record none.
    #[serde(default)]
    pub version: CopyVersion,
}

/// Holder record of an upstream in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// VM that holds the upstream.
    pub holder: Arc<str>,
    /// Incarnation of the holding process.
    pub incarnation: u64,
    /// Fencing number of the holder.
    pub generation: Generation,
}

/// Whether the holder named in a record may still act.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderState {
    /// Its lease may still be valid.
    Live,
    /// It has stopped sending orders, or its lease has certainly expired.
    Ended,
}

/// Next step for one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TakeoverStep {
    /// Do nothing: another VM holds it or should take it over.
    Skip,
    /// This process already holds it.
    Held,
    /// Create its first holder record with this generation.
    Create(Generation),
    /// Replace its holder record with this generation.
    Replace(Generation),
}

/// Identity of this process.
#[derive(Clone, Copy, Debug)]
pub struct OwnProcess<'a> {
    /// Name of the VM.
    pub name: &'a str,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// What the store's present era says about the holder record of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordEra {
    /// Number of the era.
    pub present: u64,
    /// Whether no lease of an earlier era is left.
    pub is_settled: bool,
    /// Whether this process held the upstream at the end of the earlier era, so that nobody else can hold it by then.
    pub was_holder: bool,
}

impl RecordEra {
    /// Returns whether `record` was written in the present era.
    pub fn wrote(&self, record: Option<&HolderRecord>) -> bool {
        record.is_some_and(|r| store_eras::is_of_era(r.generation, self.present))
    }
}

/// Decides the next step for `upstream`; `eligible` are the VMs that may hold it, including this one.
///
/// A record of an earlier era, or its absence, says nothing about who has held the upstream since the store's copy was
/// made: that is whoever held it last, or anybody once all leases of that era have ended.
pub fn next_step(
    own: OwnProcess<'_>,
    upstream: &UpstreamId,
    record: Option<&HolderRecord>,
    state: HolderState,
    era: RecordEra,
    eligible: &[Arc<str>],
) -> TakeoverStep {
    let next = store_eras::next_generation(record.map(|r| r.generation), era.present);
    let is_present = era.wrote(record);
    if !is_present && era.was_holder {
        return match record {
            None => TakeoverStep::Create(next),
            Some(_) => TakeoverStep::Replace(next),
        };
    }
    if !is_present && !era.is_settled {
        return TakeoverStep::Skip;
    }
    let Some(record) = record else {
        let first = is_top_ranked(own, upstream, eligible.iter());
        return if first {
            TakeoverStep::Create(next)
        } else {
            TakeoverStep::Skip
        };
    };
    if &*record.holder == own.name {
        return if is_present && record.incarnation == own.incarnation {
            TakeoverStep::Held
        } else {
            TakeoverStep::Replace(next)
        };
    }
    if state == HolderState::Live {
        return TakeoverStep::Skip;
    }
    let others = eligible.iter().filter(|n| **n != record.holder);
    if is_top_ranked(own, upstream, others) {
        TakeoverStep::Replace(next)
    } else {
        TakeoverStep::Skip
    }
}

fn is_top_ranked<'a>(
    own: OwnProcess<'_>,
    upstream: &UpstreamId,
    eligible: impl Iterator<Item = &'a Arc<str>>,
) -> bool {
    let names: Vec<&Arc<str>> = eligible.collect();
    let ranked = rendezvous(upstream, &names, |n| n);
    ranked.first().is_none_or(|n| &****n == own.name)
}

/// Returns when the first order may be sent after a takeover at `taken_at` from `earlier`.
pub fn first_order_at(
    own: &str,
    earlier: Option<&HolderRecord>,
    era: RecordEra,
    taken_at: BootInstant,
) -> BootInstant {
    if era.was_holder && !era.wrote(earlier) {
        return taken_at + DELAY_AFTER_OWN_VM;
    }
    match earlier {
        None => taken_at,
        Some(record) if &*record.holder == own => taken_at + DELAY_AFTER_OWN_VM,
        Some(_other) => taken_at + DELAY_AFTER_OTHER_VM,
    }
}
