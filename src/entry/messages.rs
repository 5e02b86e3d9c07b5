//! Messages between entries, encoded with bincode.

use crate::{
    decide::{
        build_history::BuildReport,
        load_limit::{LimitReport, LoadCounts},
        prompt_cache::PromptPart,
    },
    edge::registration::{AdapterKey, Build},
    ident::{Generation, Revision, StreamId, UpstreamId},
    wire::Strike,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Path of the stream of updates from an entry to a peer.
pub const PEER_PATH: &str = "/peer";

/// Path of requests to a holder to load an adapter to an engine.
pub const ENSURE_PATH: &str = "/ensure";

/// Path of reports to a holder that an engine lacks an adapter.
pub const MISSING_PATH: &str = "/missing";

/// Path of requests for the configuration in force.
pub const DEPLOYMENT_PATH: &str = "/deployment";

/// Path of requests for the registered upstreams while the store is unavailable.
pub const REGISTRATIONS_PATH: &str = "/registrations";

/// Path of requests for the build that began a stream.
pub const BEGUN_PATH: &str = "/begun";

/// Path of requests to store the build that began a stream.
pub const STORE_BEGUN_PATH: &str = "/store-begun";

/// Description of an entry for its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerInfo {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Number of the process; grows with each start of the VM.
    pub incarnation: u64,
    /// Address for other entries.
    pub link: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Arc<str>,
    /// Whether it can serve requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Share of a processor that its VM has, in thousandths.
    pub processor: u32,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether it learns every change of the registered upstreams and of the versions of adapters from the store.
    pub follows: bool,
    /// Where it learns of new configurations.
    pub configuration: ConfigurationSource,
    /// How it reaches upstreams.
    pub reach: Reach,
}

/// Where an entry learns of new configurations.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigurationSource {
    /// From the store, each change.
    Store,
    /// From other entries, if at all.
    Peers,
}

/// How an entry reaches upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reach {
    /// By its own connections, most of them at least.
    Direct,
    /// Only through other entries.
    CutOff,
}

/// Update of an entry to a peer, sent several times a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerUpdate {
    /// Number of this update on its stream, from 0.
    pub sequence: u64,
    /// Description of the sender.
    pub info: PeerInfo,
    /// Whether the receiver is the sender's relay, through which it exchanges updates with all other entries.
    pub homed: bool,
    /// Link addresses not sent to the receiver before.
    pub known: Vec<SocketAddr>,
    /// Changes of the entries that the sender relays for, or of all entries if it relays for the receiver.
    pub others: Vec<EntryChange>,
    /// Changed numbers of requests in flight at upstreams, summed over the sender and the entries that it passes on.
    pub loads: Vec<(UpstreamId, u32)>,
    /// Prompt tokens that the same entries reserved since the last update.
    pub prompts: Vec<(UpstreamId, u32)>,
    /// Beginnings of prompts that the same entries sent to engines, not sent to the receiver before.
    pub beginnings: Vec<PromptUpdate>,
    /// What the same entries have measured of the engines' speeds since the last report.
    pub speeds: Vec<SpeedReport>,
    /// Use of adapters by the same entries, at engines that the receiver holds, or at all engines if it is the relay.
    pub uses: Vec<AdapterUse>,
    /// Loads under way and waiting at the engines that the sender holds itself.
    pub own_loads: LoadCounts,
    /// What the sender has learned of the weight store; `None` if nothing.
    pub load_limit: Option<LimitReport>,
    /// Changes of the engines that the same entries hold.
    pub held: Vec<HeldChange>,
    /// Newest versions of adapters not sent to the receiver before.
    pub versions: Vec<(AdapterKey, u32)>,
    /// Strikes against requests that crash upstreams, not sent to the receiver before.
    pub strikes: Vec<Strike>,
    /// Limits that upstreams have named or lifted.
    pub limits: Vec<LimitUpdate>,
    /// Requests to upstreams with a limit since the last update, of the sender and the entries that it passes on.
    pub limited_sends: Vec<(UpstreamId, u32)>,
    /// Upstreams that are brittle; repeated at intervals.
    pub brittle: Vec<BrittleUpdate>,
    /// Requests that brittle upstreams rejected since the last update, of the same entries as `limited_sends`.
    pub rejections: Vec<(UpstreamId, u32)>,
    /// Streams that have begun, not sent to the receiver before; outside the control set only if all entries are told.
    pub begun: Vec<BegunBatch>,
    /// Builds that the sender has seen; in the first update, and whenever one comes or is forgotten.
    pub builds: Option<BuildReport>,
    /// Use of customers' quotas; only where there are any.
    pub quotas: Option<QuotaUpdate>,
}

/// Use of customers' quotas.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaUpdate {
    /// Spent part of each quota that is not whole; once in a stream, as soon as the sender knows it.
    pub fills: Option<Vec<(Arc<str>, f64)>>,
    /// Use since the last update, of the sender and the entries that it passes on.
    pub uses: Vec<CustomerUse>,
    /// Entries that the sender hears and those that may admit requests, itself included; when they change.
    pub contact: Option<(u32, u32)>,
}

/// Tokens of one customer's requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CustomerUse {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Tokens of the requests that were admitted.
    pub admitted: u64,
    /// Tokens of the requests that were refused.
    pub refused: u64,
    /// Tokens that had been admitted and were not run.
    pub returned: u64,
}

/// Beginning of a prompt that was sent to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PromptUpdate {
    /// Engine.
    pub upstream: UpstreamId,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Parts that other prompts may share.
    pub parts: Vec<PromptPart>,
}

/// Streams that one build began.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BegunBatch {
    /// Build of the upstreams that began them.
    pub build: Build,
    /// The streams.
    pub streams: Vec<StreamId>,
}

/// Observation of an upstream's limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitUpdate {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Requests a second from all entries together; `None` if it was lifted.
    pub per_second: Option<f64>,
    /// Age of the observation, in milliseconds.
    pub age_ms: u64,
}

/// Events that an engine has generated, and the time that this took.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SpeedReport {
    /// Engine.
    pub upstream: UpstreamId,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
    /// Number of events.
    pub events: u32,
    /// Time that they took, in microseconds.
    pub time_us: u64,
}

/// Observation of a brittle upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BrittleUpdate {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Rejections in a second that it tolerates.
    pub bound: u32,
    /// Age of the observation, in milliseconds.
    pub age_ms: u64,
}

/// Change of an entry that the sender of an update passes on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryChange {
    /// Description from the entry's last update.
    pub info: PeerInfo,
    /// Whether the entry is no longer live.
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
    /// Requests begun since the last update.
    pub asked: u32,
}

/// Change of an engine that an entry holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeldChange {
    /// Engine.
    pub upstream: UpstreamId,
    /// Name of the entry that holds it.
    pub holder: Arc<str>,
    /// Fencing number of the holder.
    pub generation: Generation,
    /// Whether the holder may send orders now.
    pub active: bool,
    /// Whether the entry no longer holds it.
    pub released: bool,
    /// Added or updated adapters, with their versions.
    pub came: Vec<(AdapterKey, u32)>,
    /// Removed adapters.
    pub went: Vec<AdapterKey>,
}

/// Acknowledgement of an update.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerAck {
    /// Number of the update.
    pub sequence: u64,
    /// Link addresses of the control set; only in the first acknowledgement of a stream.
    pub control: Vec<SocketAddr>,
    /// Known strikes against requests; only in the first acknowledgement of a stream, so that a restarted entry has
    /// them before its peers connect to it again.
    pub strikes: Vec<Strike>,
    /// Streams that have begun; only in the first acknowledgement of a stream, under the same condition.
    pub begun: Vec<BegunBatch>,
    /// Builds that the sender has seen; only in the first acknowledgement of a stream.
    pub builds: Option<BuildReport>,
}

/// Request for an adapter at an engine, or report that the engine lacks it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EnsureRequest {
    /// Engine.
    pub upstream: UpstreamId,
    /// Adapter.
    pub key: AdapterKey,
    /// Lowest acceptable version, or the one that is missing.
    pub version: u32,
    /// Longest wait for a load, in milliseconds.
    pub max_wait_ms: u32,
    /// Longest wait for a load if no other load waits, in milliseconds.
    pub idle_wait_ms: u32,
    /// Whether no request of the service is more urgent than the one that waits.
    pub is_urgent: bool,
}

/// Result of an [`EnsureRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EnsureResult {
    /// The adapter is resident.
    Ready,
    /// Every adapter slot of the engine is in use, the wait was too long, or the command queue is full.
    Full,
    /// A load would take longer than the request accepts: this many milliseconds.
    Late(u32),
    /// The receiving entry does not hold this engine, or could not be reached.
    NotHolder,
    /// The load failed, or its result did not arrive in time.
    Failed,
}

impl EnsureResult {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Full => "full",
            Self::Late(_) => "late",
            Self::NotHolder => "not-holder",
            Self::Failed => "failed",
        }
    }
}
