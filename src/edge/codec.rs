//! A caller's request and an upstream's answer, decoded from their heads.

use crate::edge::{
    deployment::Deployment,
    registration::{AdapterKey, Registration},
    store::Object,
};
use http::{HeaderMap, StatusCode};
use std::{
    fmt::{Display, Formatter},
    sync::Arc,
    time::Duration,
};

/// What a request's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Caller's name for this request, as text.
    pub id: Arc<str>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// What it asks of an engine; `None` for a plain service.
    pub work: Option<InferenceWork>,
    /// Last event that the caller has of a stream that it takes up.
    pub last_event: Option<u64>,
}

/// What a request asks of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InferenceWork {
    /// Base model.
    pub model: Arc<str>,
    /// Adapter of it, if one is named.
    pub adapter: Option<AdapterKey>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub output_tokens: u32,
    /// Parts of the prompt in order: hash of the part's name, and its tokens.
    pub prompt_segments: Vec<(u64, u32)>,
}

/// What is set on a request on its way to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ForwardParams<'a> {
    /// Time that is left.
    pub remaining: Duration,
    /// Process that must run it, or nobody.
    pub process: &'a str,
    /// Version of the adapter that must run it, where known.
    pub version: Option<u32>,
    /// Urgency at the engine: 0 goes first, 9 last.
    pub priority: Option<u8>,
    /// Event after which to go on.
    pub last_event: Option<u64>,
}

/// What an answer's head says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// Whether it answers the request that was sent.
    pub id_matches: bool,
    /// Whether the upstream ran the request.
    pub run: RunState,
}

/// What an answer says of the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// The request ran, or may have.
    Run,
    /// The upstream says that it did not run it.
    NotRun,
    /// Not run: another process has the address, or the weights are not there.
    Misdirected,
}

/// All that is wrong with an object, each finding with the field it concerns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError(pub Vec<String>);

impl Display for DecodeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.join("; "))
    }
}

impl std::error::Error for DecodeError {}

/// Translates between the wire and our types.
pub trait Codec: std::fmt::Debug + Send + Sync + 'static {
    /// Reads a request's head.
    fn request_head(&self, headers: &HeaderMap) -> RequestHead;

    /// Turns a caller's headers into those for an upstream: removes what callers may not set, sets the rest.
    fn set_upstream_headers(&self, headers: &mut HeaderMap, forwarding: &ForwardParams<'_>);

    /// Reads an answer's head; `id` is the request's name.
    fn response_head(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Reads an upstream's entry.
    ///
    /// # Errors
    /// All findings.
    fn registration(&self, object: &Object) -> Result<Registration, DecodeError>;

    /// Reads the operator's configuration.
    ///
    /// # Errors
    /// All findings.
    fn deployment(&self, object: &Object) -> Result<Deployment, DecodeError>;

    /// Reads an adapter's newest version.
    ///
    /// # Errors
    /// All findings.
    fn version(&self, object: &Object) -> Result<(AdapterKey, u32), DecodeError>;

    /// Reads what a directory query names: the host, and the caller's data centre.
    fn directory_query(&self, query: &str) -> DirectoryQuery;

    /// Body of a directory's answer.
    fn directory_body(&self, addresses: &[std::net::SocketAddr], keep: Duration) -> Vec<u8>;

    /// Paths of the directory and of readiness.
    fn entry_paths(&self) -> EntryPaths;
}

/// Paths that the platform calls on an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryPaths {
    /// Where callers ask for addresses.
    pub directory: &'static str,
    /// Where readiness is asked for.
    pub ready: &'static str,
}

/// A caller's question to the directory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DirectoryQuery {
    /// Caller's data centre.
    pub data_centre: String,
}
