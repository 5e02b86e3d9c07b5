//! Messages between the system's own processes, encoded with bincode.

use crate::{
    catalogue::Class,
    ident::{DispatcherId, Generation, ModelRef, RequestId, Revision, UpstreamId},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    fmt::{Display, Formatter},
    sync::Arc,
};

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Bytes of the length before each message.
pub const LENGTH_BYTES: usize = 4;

/// What a request asks an upstream to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Work {
    /// Generate text with a model.
    Generate {
        /// Adapter and version.
        model: ModelRef,
        /// Engine request as JSON text, without the model.
        body: Arc<str>,
        /// Whether the body is a chat.
        chat: bool,
    },
    /// Call a plain service.
    Call {
        /// HTTP method.
        method: String,
        /// Path and query.
        path: String,
        /// Content type of the body.
        content: String,
        /// Body.
        body: Vec<u8>,
    },
}

/// First message of a `/dispatch` stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DispatchRequest {
    /// Request identifier.
    pub id: RequestId,
    /// Try of this request, from 1.
    pub attempt: u32,
    /// Upstream that the gateway chose.
    pub upstream: UpstreamId,
    /// Owner of the adapter or service, for fairness.
    pub owner: Arc<str>,
    /// Urgency.
    pub class: Class,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the gateway knows that an earlier try crashed its upstream.
    pub suspect: bool,
    /// Catalogue revision under which the request was admitted.
    pub revision: Revision,
    /// Hash of caller, model and body.
    pub fingerprint: u64,
    /// What to do.
    pub work: Work,
}

/// Why a request was refused without having been run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The dispatcher doesn't hold the upstream.
    NotHolder,
    /// The dispatcher or the upstream is leaving.
    Leaving,
    /// The deadline can't be met or has passed.
    Deadline,
    /// Too much work waits already.
    Overload,
    /// A limit of the adapter or its owner is reached.
    Limit,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The upstream refused before running.
    Upstream,
    /// The request crashes upstreams.
    Poison,
    /// The at-most-once record could not be written.
    NoClaim,
    /// No upstream can take the request.
    NoUpstream,
    /// Loads are not allowed at present.
    Restricted,
    /// The load's turn would come too late.
    LoadQueue,
}

impl Refusal {
    /// Name in logs, metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotHolder => "not_holder",
            Self::Leaving => "leaving",
            Self::Deadline => "deadline",
            Self::Overload => "overload",
            Self::Limit => "limit",
            Self::LoadFailed => "load_failed",
            Self::Upstream => "upstream_refused",
            Self::Poison => "poison",
            Self::NoClaim => "no_claim",
            Self::NoUpstream => "no_upstream",
            Self::Restricted => "restricted",
            Self::LoadQueue => "load_queue",
        }
    }

    /// Whether another upstream may take the request at once.
    pub fn is_retriable(self) -> bool {
        !matches!(
            self,
            Self::Deadline | Self::Limit | Self::Poison | Self::NoClaim | Self::LoadQueue
        )
    }
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request's fate is not known, or why it failed after it started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Failure {
    /// The upstream went away while it ran the request.
    Crashed,
    /// The upstream answered with another model.
    WrongModel,
    /// The answer broke off.
    Truncated,
    /// The deadline passed while it ran.
    Deadline,
    /// The connection between our processes broke.
    LinkLost,
    /// The upstream answered with an error after it may have run.
    Upstream,
}

impl Failure {
    /// Name in logs, metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::WrongModel => "wrong_model",
            Self::Truncated => "truncated",
            Self::Deadline => "deadline",
            Self::LinkLost => "link_lost",
            Self::Upstream => "upstream_error",
        }
    }
}

/// Messages of a `/dispatch` stream towards the gateway.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DispatchResponse {
    /// The upstream took the request.
    Started {
        /// Request identifier.
        id: RequestId,
        /// Try.
        attempt: u32,
        /// Upstream that runs it.
        upstream: UpstreamId,
        /// Model that the upstream itself named, for generated text.
        model: Option<ModelRef>,
        /// Milliseconds spent waiting for an adapter load.
        stall_ms: u64,
        /// HTTP status, for a plain service's answer.
        status: u16,
        /// Content type, for a plain service's answer.
        content: String,
    },
    /// A part of the answer.
    Chunk {
        /// Request identifier.
        id: RequestId,
        /// Try.
        attempt: u32,
        /// Position of the first byte in the answer.
        offset: u64,
        /// Bytes of the answer.
        data: Vec<u8>,
    },
    /// The answer is whole.
    End {
        /// Request identifier.
        id: RequestId,
        /// Try.
        attempt: u32,
        /// Bytes of the whole answer.
        length: u64,
        /// Hash of the whole answer.
        digest: u64,
        /// Why the text ended, as the engine says.
        finish: String,
        /// Tokens generated.
        tokens: u64,
    },
    /// The request was not run.
    Refused {
        /// Reason.
        reason: Refusal,
        /// When to come back, in milliseconds.
        retry_ms: u64,
        /// Milliseconds spent waiting for an adapter load.
        stall_ms: u64,
    },
    /// The request may have been run.
    Failed {
        /// Reason.
        reason: Failure,
    },
}

/// State of an adapter on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Residency {
    /// Being loaded.
    Loading,
    /// Ready to serve.
    Ready,
}

/// An adapter on an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resident {
    /// Adapter and version.
    pub model: ModelRef,
    /// State.
    pub state: Residency,
}

/// What gateways need to know of an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Name.
    pub id: UpstreamId,
    /// Pool.
    pub pool: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Fencing number of this holder.
    pub generation: Generation,
    /// Whether new requests are taken.
    pub accepting: bool,
    /// Whether adapters may be loaded and evicted.
    pub loads: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that run at once.
    pub batch: u32,
    /// Adapters, loading or ready.
    pub residents: Vec<Resident>,
}

/// What happened to a request that is suspected of crashing upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StrikeEvent {
    /// An upstream went away while it ran the request.
    Lost {
        /// Upstream.
        upstream: UpstreamId,
        /// Start of the upstream's process that went away.
        boot: u64,
    },
    /// The request completed.
    Cleared,
}

/// An event about one suspected request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Strike {
    /// Hash of caller, model and body.
    pub fingerprint: u64,
    /// What happened.
    pub event: StrikeEvent,
    /// When it happened, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// First message of a `/sync` stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncHello {
    /// Name of the asking process.
    pub node: String,
    /// Callers' address of the gateway on the same VM, if this is it.
    pub gateway: Option<String>,
    /// Whether that gateway is leaving.
    pub leaving: bool,
}

/// Messages of a `/sync` stream towards its subscriber.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncUpdate {
    /// Sending dispatcher.
    pub from: DispatcherId,
    /// Its process's incarnation.
    pub incarnation: u64,
    /// Position in this stream, from 0.
    pub sequence: u64,
    /// Upstreams whose status changed; all of them in the first message.
    pub changed: Vec<UpstreamStatus>,
    /// Upstreams no longer held, with the last generation held.
    pub released: Vec<(UpstreamId, Generation)>,
    /// Strikes counted or cleared.
    pub strikes: Vec<Strike>,
    /// Catalogue revision in force.
    pub revision: Revision,
}

/// Asks the load coordinator for a permit, on a `/permit` stream; sent again when it has changed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Adapter to load.
    pub model: ModelRef,
    /// Upstream to load it to.
    pub upstream: UpstreamId,
    /// Requests waiting for the adapter, each counted by the weight of its class.
    pub weight: u32,
    /// Time until the last of them can't be answered any more, in milliseconds.
    pub left_ms: u64,
}

/// Answer to a wish for a load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitResponse {
    /// The load may begin.
    Granted,
    /// Its turn would come too late for everyone who waits for it.
    Denied {
        /// When its turn would come, in milliseconds.
        retry_ms: u64,
    },
}

/// Asks a peer for the catalogue, on a `/catalogue` stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueRequest {
    /// Highest revision that the asking process has.
    pub have: Revision,
}

/// A peer's catalogue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogueResponse {
    /// Revision.
    pub revision: Revision,
    /// Entries as JSON text; empty if the asking process is not behind.
    pub entries: String,
}

/// Asks a peer for the fleet as it last read it, on a `/fleet` stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetRequest;

/// The fleet as a peer last read it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetResponse {
    /// The object API's version at that time; 0 if it was never read.
    pub version: u64,
    /// Records of upstreams as JSON text.
    pub upstreams: String,
}

/// A message could not be encoded or decoded.
#[derive(Debug)]
pub struct CodecError;

impl Display for CodecError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("malformed message")
    }
}

impl std::error::Error for CodecError {}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message with its length before it.
///
/// # Errors
/// The message is larger than [`MAX_MESSAGE_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let mut out = vec![0; LENGTH_BYTES];
    let size = bincode::serde::encode_into_std_write(message, &mut out, config());
    let size = size.map_err(|_e| CodecError)?;
    if size > MAX_MESSAGE_BYTES {
        return Err(CodecError);
    }
    out[..LENGTH_BYTES].copy_from_slice(&(size as u32).to_be_bytes());
    Ok(out)
}

/// Takes the first whole message off `buffer`; `None` if more bytes are needed.
///
/// # Errors
/// The length is above the limit or the bytes are no such message.
pub fn decode<T: DeserializeOwned>(buffer: &mut bytes::BytesMut) -> Result<Option<T>, CodecError> {
    let Some(head) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let size = u32::from_be_bytes(*head) as usize;
    if size > MAX_MESSAGE_BYTES {
        return Err(CodecError);
    }
    if buffer.len() < LENGTH_BYTES + size {
        return Ok(None);
    }
    let frame = buffer.split_to(LENGTH_BYTES + size);
    let (message, used) = bincode::serde::decode_from_slice(&frame[LENGTH_BYTES..], config())
        .map_err(|_e| CodecError)?;
    if used != size {
        return Err(CodecError);
    }
    Ok(Some(message))
}
