//! Messages between the system's processes, encoded with bincode.

use crate::{
    catalogue::Class,
    ident::{DispatcherId, Generation, ModelRef, RequestId, Revision, UpstreamId},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    fmt::{Display, Formatter},
    sync::Arc,
};

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Size of the length prefix of each message, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Work that a request asks of an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Work {
    /// Text generation with an adapter.
    Generate {
        /// Adapter and version.
        model: ModelRef,
        /// Request body for the engine as JSON, without the `model` field.
        body: Arc<str>,
        /// Whether it is a chat completion.
        chat: bool,
    },
    /// A call of a plain service.
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
    /// Attempt of this request, from 1.
    pub attempt: u32,
    /// Upstream that the gateway chose.
    pub upstream: UpstreamId,
    /// Owner of the adapter or service, for fair queueing.
    pub owner: Arc<str>,
    /// Priority class.
    pub class: Class,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether an earlier attempt crashed its upstream, as far as the gateway knows.
    pub suspect: bool,
    /// Catalogue revision under which the request was admitted.
    pub revision: Revision,
    /// Hash of caller, model and body.
    pub fingerprint: u64,
    /// Work to run.
    pub work: Work,
}

/// Reason for refusing a request without running it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The dispatcher is not the holder of the upstream.
    NotHolder,
    /// The dispatcher or the upstream is shutting down.
    Leaving,
    /// The deadline can't be met or has passed.
    Deadline,
    /// Too many requests are queued already.
    Overload,
    /// A limit of the adapter or of its owner is reached.
    Limit,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The upstream refused the request without running it.
    Upstream,
    /// The request is known to crash upstreams.
    Poison,
    /// The at-most-once record could not be written.
    NoClaim,
    /// No upstream can take the request.
    NoUpstream,
    /// Loads are currently not allowed.
    Restricted,
    /// The load would be started too late.
    LoadQueue,
}

impl Refusal {
    /// Returns the name used in logs, metrics and responses.
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

    /// Returns whether another upstream may be attempted at once.
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

/// Reason why a request failed after it may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Failure {
    /// The upstream went away while it ran the request.
    Crashed,
    /// The upstream responded with another model.
    WrongModel,
    /// The response broke off.
    Truncated,
    /// The deadline passed while the request ran.
    Deadline,
    /// The connection between gateway and dispatcher broke.
    LinkLost,
    /// The upstream responded with an error after it may have run the request.
    Upstream,
}

impl Failure {
    /// Returns the name used in logs, metrics and responses.
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

/// Messages of a `/dispatch` stream to the gateway.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DispatchResponse {
    /// The upstream accepted the request.
    Started {
        /// Request identifier.
        id: RequestId,
        /// Attempt of this request, from 1.
        attempt: u32,
        /// Upstream that runs it.
        upstream: UpstreamId,
        /// Model named in the upstream's response, for generated text.
        model: Option<ModelRef>,
        /// Milliseconds spent waiting for an adapter load.
        stall_ms: u64,
        /// HTTP status, for a plain service.
        status: u16,
        /// Content type, for a plain service.
        content: String,
    },
    /// A chunk of the response body.
    Chunk {
        /// Request identifier.
        id: RequestId,
        /// Attempt of this request, from 1.
        attempt: u32,
        /// Position of the chunk's first byte in the body.
        offset: u64,
        /// Bytes of the chunk.
        data: Vec<u8>,
    },
    /// The response is complete.
    End {
        /// Request identifier.
        id: RequestId,
        /// Attempt of this request, from 1.
        attempt: u32,
        /// Size of the complete body, in bytes.
        length: u64,
        /// Hash of the complete body.
        digest: u64,
        /// Finish reason given by the engine.
        finish: String,
        /// Number of generated tokens.
        tokens: u64,
    },
    /// The request was not run.
    Refused {
        /// Reason.
        reason: Refusal,
        /// Time after which to retry, in milliseconds.
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
    /// The adapter is being loaded.
    Loading,
    /// The adapter can serve requests.
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

/// Status of an upstream, as sent to gateways.
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
    /// Number of requests in flight.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Largest number of requests in a batch.
    pub batch: u32,
    /// Adapters that are loading or ready.
    pub residents: Vec<Resident>,
}

/// What is suspected of crashing upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Subject {
    /// A part of prompts, by the hash of its identifier.
    Part(u64),
    /// A whole request, by the hash of what stays the same when a caller repeats it.
    Request(u64),
}

impl Display for Subject {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Part(id) => write!(f, "part {id:016x}"),
            Self::Request(fingerprint) => write!(f, "request {fingerprint:016x}"),
        }
    }
}

/// Run during which an upstream's process ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostRun {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Start time of the process that ended.
    pub boot: u64,
    /// Fingerprint of the request.
    pub request: u64,
    /// Position of the subject in the request's prompt; 0 for a whole request.
    pub depth: u8,
    /// Whether the sender has seen an upstream respond to the subject before.
    pub proven: bool,
}

/// Event of a subject that is suspected of crashing upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StrikeEvent {
    /// An upstream's process ended while it ran a request with the subject.
    Lost(LostRun),
    /// An upstream responded to the subject.
    Cleared,
}

/// An event about one suspected subject.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Strike {
    /// Subject.
    pub subject: Subject,
    /// What happened.
    pub event: StrikeEvent,
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// First message of a `/sync` stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncHello {
    /// Name of the subscribing process.
    pub node: String,
    /// Address for callers, if the subscriber is the gateway on the same VM.
    pub gateway: Option<String>,
    /// Whether that gateway is shutting down.
    pub leaving: bool,
}

/// Messages of a `/sync` stream to its subscriber.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncUpdate {
    /// Sending dispatcher.
    pub from: DispatcherId,
    /// Incarnation of the dispatcher's process.
    pub incarnation: u64,
    /// Position in this stream, from 0.
    pub sequence: u64,
    /// Upstreams whose status changed; all held upstreams in the first message.
    pub changed: Vec<UpstreamStatus>,
    /// Upstreams no longer held, with the last generation held.
    pub released: Vec<(UpstreamId, Generation)>,
    /// Strikes that were counted or cleared.
    pub strikes: Vec<Strike>,
    /// Catalogue revision in force.
    pub revision: Revision,
}

/// Request for a load permit to the load coordinator, on a `/permit` stream; sent again after each change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Adapter to load.
    pub model: ModelRef,
    /// Upstream that is to load it.
    pub upstream: UpstreamId,
    /// Sum of the class weights of the requests waiting for the adapter.
    pub weight: u32,
    /// Time until the last of their deadlines can no longer be met, in milliseconds.
    pub left_ms: u64,
}

/// Response to a permit request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitResponse {
    /// The load may start.
    Granted,
    /// The load would start too late for every waiting request.
    Denied {
        /// Time until the load could start, in milliseconds.
        retry_ms: u64,
    },
}

/// Request to a peer for its catalogue, on a `/catalogue` stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueRequest {
    /// Highest revision known to the requesting process.
    pub have: Revision,
}

/// A peer's catalogue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogueResponse {
    /// Revision.
    pub revision: Revision,
    /// Entries as JSON; empty if the requesting process is up to date.
    pub entries: String,
}

/// Request to a peer for its last snapshot of the fleet, on a `/fleet` stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetRequest;

/// A peer's last snapshot of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetResponse {
    /// Object API version of the snapshot; 0 if the fleet was never read.
    pub version: u64,
    /// Records of upstreams as JSON.
    pub upstreams: String,
}

/// Error of encoding or decoding a message.
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

/// Encodes a message with its length prefix.
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

/// Returns the size of the message that begins in `buffer`, in bytes without its length prefix, once that is complete.
pub fn message_size(buffer: &[u8]) -> Option<usize> {
    let head = buffer.first_chunk::<LENGTH_BYTES>()?;
    Some(u32::from_be_bytes(*head) as usize)
}

/// Decodes and removes the first message of `buffer`; `None` if more bytes are needed.
///
/// # Errors
/// The length exceeds the limit, or the bytes are not such a message.
pub fn decode<T: DeserializeOwned>(buffer: &mut bytes::BytesMut) -> Result<Option<T>, CodecError> {
    let Some(size) = message_size(buffer) else {
        return Ok(None);
    };
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
