//! Fleet as stored in the object API: dispatchers with their leases, upstreams with their holders.

use crate::{
    catalogue::Fencing,
    clock::BootInstant,
    ident::{DispatcherId, Generation, ModelRef, UpstreamId},
    lease::{LeaseObserver, Renewal},
    object_api::{Listing, Version},
    wire::FleetResponse,
};
use log::warn;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Key prefix of all records of the fleet, which are listed together.
pub const FLEET_PREFIX: &str = "fleet/";

const DISPATCHER_PREFIX: &str = "fleet/dispatchers/";
const UPSTREAM_PREFIX: &str = "fleet/upstreams/";

/// Returns the key of a dispatcher's record.
pub fn dispatcher_key(id: &str) -> String {
    format!("{DISPATCHER_PREFIX}{id}")
}

/// Returns the key of an upstream's record.
pub fn upstream_key(id: &str) -> String {
    format!("{UPSTREAM_PREFIX}{id}")
}

/// Gateway on the same VM as a dispatcher.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GatewayRecord {
    /// Address that callers connect to.
    pub address: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A dispatcher's record, renewed by conditional writes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DispatcherRecord {
    /// Name.
    pub id: DispatcherId,
    /// Incarnation of the process that writes the record; higher for a later process.
    pub incarnation: u64,
    /// Count of renewals by this incarnation.
    pub counter: u64,
    /// Data centre.
    pub data_centre: String,
    /// Address for links from other dispatchers and gateways.
    pub link: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Whether it claims no new upstreams and releases those that it holds.
    pub leaving: bool,
    /// Gateway on its VM, while connected.
    pub gateway: Option<GatewayRecord>,
}

/// A holder of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Dispatcher.
    pub id: DispatcherId,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Link address; a later process of the same name at this address has replaced it.
    pub link: SocketAddr,
}

/// An upstream's record; the dispatcher that writes itself as holder holds the upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Name.
    pub id: UpstreamId,
    /// Holder; `None` after a release.
    pub holder: Option<Holder>,
    /// Fencing number; increases with every change of holder.
    pub generation: Generation,
    /// Whether the upstream checks fencing numbers.
    pub fencing: Fencing,
    /// Adapters that are not evicted before they are removed from this set.
    pub stable: Vec<ModelRef>,
    /// Unique identifier of this write, to recognise it if its response was lost.
    pub write: u64,
}

/// A record and its version.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// Version in the object API.
    pub version: Version,
    /// Record.
    pub record: T,
}

/// Records as last read, and the leases observed from them.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Dispatchers by name.
    pub dispatchers: BTreeMap<DispatcherId, DispatcherRecord>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, Versioned<UpstreamRecord>>,
    /// Leases as observed.
    pub observer: LeaseObserver,
    /// Version of the object API when it was read; 0 before the first read.
    pub version: Version,
    /// Records from peers, fetched while the object API could not be read.
    pub peer_records: Option<UpstreamRecords>,
    /// Claims that peers reported and that were not yet read from the object API.
    peer_claims: BTreeMap<UpstreamId, UpstreamRecord>,
}

/// Records of upstreams and the object API's version when they were read.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRecords {
    /// Version; 0 before the first read.
    pub version: Version,
    /// Records.
    pub upstreams: Vec<UpstreamRecord>,
}

impl From<&UpstreamRecords> for FleetResponse {
    fn from(records: &UpstreamRecords) -> Self {
        let text = serde_json::to_string(&records.upstreams);
        Self {
            version: records.version,
            upstreams: text.unwrap_or_else(|e| {
                warn!("cannot encode the records of upstreams as JSON: {e}");
                String::from("[]")
            }),
        }
    }
}

impl UpstreamRecords {
    /// Merges the records of another dispatcher. Of each upstream, the record with the higher generation wins; of the
    /// same generation, the one read last, which may be a release.
    pub fn merge(&mut self, other: Self) {
        let is_later = other.version > self.version;
        for record in other.upstreams {
            let known = self.upstreams.iter_mut().find(|r| r.id == record.id);
            match known {
                None => self.upstreams.push(record),
                Some(known) => {
                    let same = known.generation == record.generation;
                    if known.generation < record.generation || same && is_later {
                        *known = record;
                    }
                }
            }
        }
        self.version = self.version.max(other.version);
    }
}

impl Fleet {
    /// Replaces the records by a listing that was requested at `sent` and received at `done`.
    pub fn update(&mut self, listing: &Listing, sent: BootInstant, done: BootInstant) {
        let mut dispatchers = BTreeMap::new();
        let mut upstreams = BTreeMap::new();
        for item in &listing.items {
            if item.key.starts_with(DISPATCHER_PREFIX) {
                match item.parse::<DispatcherRecord>() {
                    Ok(record) => {
                        drop(dispatchers.insert(Arc::clone(&record.id), record));
                    }
                    Err(e) => warn!(key = item.key; "cannot parse a record: {e}"),
                }
            } else if item.key.starts_with(UPSTREAM_PREFIX) {
                match item.parse::<UpstreamRecord>() {
                    Ok(record) => {
                        let versioned = Versioned {
                            version: item.version,
                            record,
                        };
                        upstreams.insert(Arc::clone(&versioned.record.id), versioned);
                    }
                    Err(e) => warn!(key = item.key; "cannot parse a record: {e}"),
                }
            }
        }
        let renewals = dispatchers.values().map(|r| {
            (
                &r.id,
                Renewal {
                    incarnation: r.incarnation,
                    counter: r.counter,
                },
            )
        });
        self.observer.observe(sent, done, renewals);
        self.dispatchers = dispatchers;
        self.peer_claims.retain(|id, claim| {
            let read = upstreams.get(id).map(|u| u.record.generation);
            read < Some(claim.generation)
        });
        self.upstreams = upstreams;
        self.version = listing.version;
    }

    /// Adds a claim that `record.holder` reported itself, before its record is read from the object API. Returns
    /// whether it was new.
    pub fn record_peer_claim(&mut self, record: UpstreamRecord) -> bool {
        let read = self.upstreams.get(&record.id).map(|u| &u.record);
        let known = read.into_iter().chain(self.peer_claims.get(&record.id));
        let is_new = known.map(|r| r.generation).max() < Some(record.generation);
        if is_new {
            self.peer_claims.insert(Arc::clone(&record.id), record);
        }
        is_new
    }

    /// Returns the records of upstreams for a peer that can't read them.
    pub fn records(&self) -> UpstreamRecords {
        let read = self.upstreams.values().map(|u| u.record.clone());
        let mut records = UpstreamRecords {
            version: self.version,
            upstreams: read.collect(),
        };
        if let Some(peer_records) = &self.peer_records {
            records.merge(peer_records.clone());
        }
        records.merge(UpstreamRecords {
            version: 0,
            upstreams: self.peer_claims.values().cloned().collect(),
        });
        records
    }

    /// Returns the dispatchers whose lease has not expired.
    pub fn live(&self) -> impl Iterator<Item = &DispatcherRecord> {
        self.dispatchers
            .values()
            .filter(|r| self.observer.is_live(&r.id))
    }

    /// Returns the live dispatchers that may hold upstreams.
    pub fn eligible(&self) -> impl Iterator<Item = &DispatcherRecord> {
        self.live().filter(|r| !r.leaving)
    }

    /// Returns whether a later process of the same name listens at the address of `holder`.
    pub fn is_replaced(&self, holder: &Holder) -> bool {
        self.dispatchers
            .get(&holder.id)
            .is_some_and(|r| r.incarnation > holder.incarnation && r.link == holder.link)
    }

    /// Returns whether the lease of `holder` has certainly expired.
    pub fn is_expired(&self, holder: &Holder) -> bool {
        self.is_replaced(holder) || self.observer.is_expired(&holder.id, holder.incarnation)
    }
}
