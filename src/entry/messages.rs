//! Messages between entries, encoded with bincode.

use crate::{
    edge::registration::AdapterKey,
    ident::{Generation, Revision, UpstreamId},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Path of the stream on which an entry tells another about itself.
pub const PEER_PATH: &str = "/peer";

/// Path that asks a holder to bring an adapter to an engine.
pub const ENSURE_PATH: &str = "/ensure";

/// Path that tells a holder that an engine lacks an adapter.
pub const MISSING_PATH: &str = "/missing";

/// Path that asks for the configuration in force.
pub const DEPLOYMENT_PATH: &str = "/deployment";

/// Path that asks for the registered upstreams, where the store can't be asked.
pub const REGISTRATIONS_PATH: &str = "/registrations";

/// What an entry says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerInfo {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Process; grows with each start of the VM.
    pub incarnation: u64,
    /// Where other entries reach it.
    pub link: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Whether it can serve requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Share of a processor that its VM has, in thousandths.
    pub processor: u32,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether it hears of every change of the registered upstreams from the store.
    pub follows: bool,
}

/// State and changes of one entry, sent several times a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerUpdate {
    /// Number of this update on its stream, from 0.
    pub sequence: u64,
    /// The entry.
    pub info: PeerInfo,
    /// Whether the receiver is to speak for it towards all others, and they speak to it through the receiver.
    pub homed: bool,
    /// Link addresses that the receiver was not told of yet.
    pub known: Vec<SocketAddr>,
    /// Changes of the entries that the sender speaks for.
    pub others: Vec<EntryChange>,
    /// Changed numbers of requests at upstreams, of the sender and those that it speaks for.
    pub loads: Vec<(UpstreamId, u32)>,
    /// Prompt tokens that they reserved since the last update.
    pub prompts: Vec<(UpstreamId, u32)>,
    /// Their use of adapters at engines that the receiver holds, or of all engines if it is to speak for the sender.
    pub uses: Vec<AdapterUse>,
    /// Changes of the engines that they hold.
    pub held: Vec<HeldChange>,
    /// Newest versions of adapters that the receiver was not told of yet.
    pub versions: Vec<(AdapterKey, u32)>,
}

/// An entry that another one speaks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryChange {
    /// What it last said of itself.
    pub info: PeerInfo,
    /// Whether it is not heard of any more.
    pub gone: bool,
}

/// Use of one adapter at one engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdapterUse {
    /// Engine.
    pub upstream: UpstreamId,
    /// Adapter.
    pub key: AdapterKey,
    /// Requests in flight.
    pub running: u32,
    /// Requests since the last update.
    pub asked: u32,
}

/// Change of an engine that an entry holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeldChange {
    /// Engine.
    pub upstream: UpstreamId,
    /// Entry that holds it.
    pub holder: Arc<str>,
    /// Fencing number of the holder.
    pub generation: Generation,
    /// Whether the holder may give orders now.
    pub active: bool,
    /// Whether it is held no longer.
    pub released: bool,
    /// Adapters that came, with their versions.
    pub came: Vec<(AdapterKey, u32)>,
    /// Adapters that went.
    pub went: Vec<AdapterKey>,
}

/// Receipt of an update.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAck {
    /// Number of the update.
    pub sequence: u64,
    /// Link addresses of the control set, with the first receipt of a stream.
    pub control: Vec<SocketAddr>,
}

/// Asks for an adapter at an engine, or tells that the engine lacks it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EnsureRequest {
    /// Engine.
    pub upstream: UpstreamId,
    /// Adapter.
    pub key: AdapterKey,
    /// Least version that will do, or the one that is lacking.
    pub version: u32,
}

/// What became of an [`EnsureRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EnsureResult {
    /// The adapter is there.
    Ready,
    /// Every place of the engine is in use.
    Full,
    /// The asked entry may not give orders to this engine.
    NotHolder,
    /// The load failed.
    Failed,
}

impl EnsureResult {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Full => "full",
            Self::NotHolder => "not-holder",
            Self::Failed => "failed",
        }
    }
}
