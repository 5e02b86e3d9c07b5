//! The fleet as the object API shows it: dispatchers with their leases, upstreams with their holders.

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

/// Prefix of everything that is read together.
pub const FLEET_PREFIX: &str = "fleet/";

const DISPATCHER_PREFIX: &str = "fleet/dispatchers/";
const UPSTREAM_PREFIX: &str = "fleet/upstreams/";

/// Key of a dispatcher's record.
pub fn dispatcher_key(id: &str) -> String {
    format!("{DISPATCHER_PREFIX}{id}")
}

/// Key of an upstream's record.
pub fn upstream_key(id: &str) -> String {
    format!("{UPSTREAM_PREFIX}{id}")
}

/// The gateway on the same VM as a dispatcher.
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
    /// Process that writes the record; higher for a later process.
    pub incarnation: u64,
    /// Renewals of this incarnation.
    pub counter: u64,
    /// Data centre.
    pub data_centre: String,
    /// Address for the system's own processes.
    pub link: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Whether it takes no new upstreams and releases those that it has.
    pub leaving: bool,
    /// The gateway on its VM, while connected.
    pub gateway: Option<GatewayRecord>,
}

/// A holder of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Dispatcher.
    pub id: DispatcherId,
    /// Its process.
    pub incarnation: u64,
    /// Its link address, by which a later process of the same name is known to have replaced it.
    pub link: SocketAddr,
}

/// An upstream's record; whoever writes it holds the upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Name.
    pub id: UpstreamId,
    /// Holder; `None` after a release.
    pub holder: Option<Holder>,
    /// Fencing number; one higher for each holder.
    pub generation: Generation,
    /// Whether the upstream checks fencing numbers.
    pub fencing: Fencing,
    /// Adapters that are not evicted before they are taken out of this set.
    pub stable: Vec<ModelRef>,
    /// Unique to this write, by which a lost answer is settled.
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

/// Everything read, and what it says of leases.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Dispatchers by name.
    pub dispatchers: BTreeMap<DispatcherId, DispatcherRecord>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, Versioned<UpstreamRecord>>,
    /// Leases as observed.
    pub observer: LeaseObserver,
    /// The object API's version when it was read; 0 before the first read.
    pub version: Version,
    /// What a peer said, while this process has read nothing itself.
    pub heard: Option<Records>,
    /// Claims that peers told of and that were not read yet.
    told: BTreeMap<UpstreamId, UpstreamRecord>,
}

/// Records of upstreams and the object API's version when they were read.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Version; 0 before the first read.
    pub version: Version,
    /// Records.
    pub upstreams: Vec<UpstreamRecord>,
}

impl From<&Records> for FleetResponse {
    fn from(records: &Records) -> Self {
        let text = serde_json::to_string(&records.upstreams);
        Self {
            version: records.version,
            upstreams: text.unwrap_or_else(|e| {
                warn!("records of upstreams have no JSON form: {e}");
                String::from("[]")
            }),
        }
    }
}

impl Records {
    /// Takes in what another dispatcher knows: the later holder of each upstream; of the same holder, what was read
    /// last, which may be a release.
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
    /// Takes in a listing that was asked for at `sent`.
    pub fn update(&mut self, listing: &Listing, sent: BootInstant, done: BootInstant) {
        let mut dispatchers = BTreeMap::new();
        let mut upstreams = BTreeMap::new();
        for item in &listing.items {
            if item.key.starts_with(DISPATCHER_PREFIX) {
                match item.parse::<DispatcherRecord>() {
                    Ok(record) => {
                        drop(dispatchers.insert(Arc::clone(&record.id), record));
                    }
                    Err(e) => warn!(key = item.key; "unreadable record: {e}"),
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
                    Err(e) => warn!(key = item.key; "unreadable record: {e}"),
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
        self.told.retain(|id, told| {
            let read = upstreams.get(id).map(|u| u.record.generation);
            read < Some(told.generation)
        });
        self.upstreams = upstreams;
        self.version = listing.version;
    }

    /// Takes in that `record.holder` told of its claim itself; its record in the object API is read later. Whether it
    /// was news.
    pub fn told(&mut self, record: UpstreamRecord) -> bool {
        let read = self.upstreams.get(&record.id).map(|u| &u.record);
        let known = read.into_iter().chain(self.told.get(&record.id));
        let is_news = known.map(|r| r.generation).max() < Some(record.generation);
        if is_news {
            self.told.insert(Arc::clone(&record.id), record);
        }
        is_news
    }

    /// The upstreams' records for a peer that can't read them.
    pub fn records(&self) -> Records {
        let read = self.upstreams.values().map(|u| u.record.clone());
        let mut records = Records {
            version: self.version,
            upstreams: read.collect(),
        };
        if let Some(heard) = &self.heard {
            records.merge(heard.clone());
        }
        records.merge(Records {
            version: 0,
            upstreams: self.told.values().cloned().collect(),
        });
        records
    }

    /// Dispatchers whose lease has not lapsed.
    pub fn live(&self) -> impl Iterator<Item = &DispatcherRecord> {
        self.dispatchers
            .values()
            .filter(|r| self.observer.is_live(&r.id))
    }

    /// Live dispatchers that may hold upstreams.
    pub fn eligible(&self) -> impl Iterator<Item = &DispatcherRecord> {
        self.live().filter(|r| !r.leaving)
    }

    /// Whether a later process of the same name listens where `holder` did.
    pub fn is_replaced(&self, holder: &Holder) -> bool {
        self.dispatchers
            .get(&holder.id)
            .is_some_and(|r| r.incarnation > holder.incarnation && r.link == holder.link)
    }

    /// Whether the lease of `holder` has certainly ended.
    pub fn is_lapsed(&self, holder: &Holder) -> bool {
        self.is_replaced(holder) || self.observer.is_expired(&holder.id, holder.incarnation)
    }
}
