//! Decoded request and response heads, and the codec between the platform's wire formats and these types.

use crate::edge::{
    deployment::{Deployment, KeyDigest},
    registration::{AdapterKey, Registration},
    store::Object,
};
use http::{HeaderMap, StatusCode};
use std::{
    fmt::{Display, Formatter},
    sync::Arc,
    time::Duration,
};

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Request identifier chosen by the caller.
    pub id: Arc<str>,
    /// Time that the caller will wait for the response.
    pub timeout: Option<Duration>,
    /// Inference work for an engine; `None` for a plain service.
    pub work: Option<InferenceWork>,
    /// Last event that the caller received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Where the response begins.
    pub beginning: StreamBeginning,
    /// Key of the customer.
    pub key: RequestKey,
}

/// Key that a request carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestKey {
    /// None.
    #[default]
    Missing,
    /// Something that is no key: empty, too long, more than one, or of another scheme.
    Invalid,
    /// A key with this digest.
    Digest(KeyDigest),
}

impl RequestKey {
    /// Returns the name used in logs for a key that no customer has.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Invalid => "invalid",
            Self::Digest(_) => "unlisted",
        }
    }
}

/// Where the stream begins that a request asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum StreamBeginning {
    /// With this request.
    #[default]
    Here,
    /// With the earlier request that has this identifier.
    Earlier(Arc<str>),
    /// With an earlier request that the caller doesn't name.
    Unnamed,
}

/// Inference work that a request asks of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InferenceWork {
    /// Base model.
    pub model: Arc<str>,
    /// Adapter of the base model, if any.
    pub adapter: Option<AdapterKey>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate.
    pub output_tokens: u32,
    /// Number of tokens to generate, as the caller estimates it; often far off.
    pub expected_tokens: Option<u32>,
    /// Parts of the prompt in order: hash of the part's identifier, and its number of tokens.
    pub prompt_parts: Vec<(u64, u32)>,
}

impl RequestHead {
    /// Returns the numbers of prompt tokens and of tokens to generate at most, if the request names them.
    pub fn usage(&self) -> Option<(u32, u32)> {
        let work = self.work.as_ref()?;
        let usage = (work.prompt_tokens, work.output_tokens);
        (usage != (0, 0)).then_some(usage)
    }
}

impl InferenceWork {
    /// Returns the estimated number of tokens to generate: at most the largest number, and that number without an estimate.
    pub fn size(&self) -> u32 {
        let expected = self.expected_tokens.filter(|n| *n > 0);
        expected.map_or(self.output_tokens, |n| n.min(self.output_tokens))
    }
}

/// Values set in the headers of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ForwardParams<'a> {
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Process that must run the request; any other must refuse it.
    pub process: &'a str,
    /// Adapter version that must run the request, if known.
    pub version: Option<u32>,
    /// Engine priority: 0 is served first, 9 last.
    pub priority: Option<u8>,
    /// Event after which a resumed stream continues.
    pub last_event: Option<u64>,
    /// Name of the customer, if it is known.
    pub customer: Option<&'a str>,
}

/// Decoded head of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHead {
    /// Request that it names.
    pub request: NamedRequest,
    /// Whether the upstream ran that request.
    pub run: RunState,
    /// Limit on requests that the upstream names.
    pub limit: NamedLimit,
    /// Rejections in a second beyond which the upstream crashes, if it is brittle.
    pub brittle: Option<u32>,
    /// Whether the upstream announces that it is shutting down.
    pub leaving: bool,
    /// Time for which the upstream wants nothing from this VM, in a rejection for want of room.
    pub retry_after: Option<Duration>,
}

/// Request that a response names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NamedRequest {
    /// The request that was sent.
    This,
    /// Another request.
    Other,
    /// None.
    Unnamed,
}

/// Limit on requests that an upstream names in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// It names none.
    None,
    /// Requests a second that it takes from all entries together.
    PerSecond(f64),
    /// The value can't be parsed.
    Invalid,
}

/// Whether an upstream ran a request, according to its response head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// The request was run, or may have been.
    Run,
    /// The upstream states that it did not run the request.
    NotRun,
    /// Not run: another process has the address, or the upstream lacks the weights.
    Misdirected,
}

/// All problems of an object, each with the path of its field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError(pub Vec<String>);

impl Display for DecodeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.join("; "))
    }
}

impl std::error::Error for DecodeError {}

/// Codec between the platform's wire formats and our types.
pub trait Codec: std::fmt::Debug + Send + Sync + 'static {
    /// Decodes a request head.
    fn request_head(&self, headers: &HeaderMap) -> RequestHead;

    /// Removes a caller's key, and the customer that it claims to be, from its headers.
    fn remove_identity(&self, headers: &mut HeaderMap);

    /// Turns a caller's headers into those for an upstream: removes what callers may not set, and sets the values in
    /// `forwarding`.
    fn set_upstream_headers(&self, headers: &mut HeaderMap, forwarding: &ForwardParams<'_>);

    /// Decodes a response head; `id` is the identifier of the request.
    fn response_head(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Returns whether a response has the signature of an upstream.
    fn is_signed(&self, headers: &HeaderMap) -> bool;

    /// Decodes an upstream's registration.
    ///
    /// # Errors
    /// All problems that were found.
    fn registration(&self, object: &Object) -> Result<Registration, DecodeError>;

    /// Decodes the operator's configuration.
    ///
    /// # Errors
    /// All problems that were found.
    fn deployment(&self, object: &Object) -> Result<Deployment, DecodeError>;

    /// Decodes the newest version of an adapter.
    ///
    /// # Errors
    /// All problems that were found.
    fn version(&self, object: &Object) -> Result<(AdapterKey, u32), DecodeError>;

    /// Parses the query string of a directory request.
    fn directory_query(&self, query: &str) -> DirectoryQuery;

    /// Encodes the body of a directory response; callers may cache it for `keep`.
    fn directory_body(&self, addresses: &[std::net::SocketAddr], keep: Duration) -> Vec<u8>;

    /// Returns the paths of the directory and of the readiness check.
    fn entry_paths(&self) -> EntryPaths;
}

/// Paths that the platform calls on an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryPaths {
    /// Directory, where callers look up the addresses of entries.
    pub directory: &'static str,
    /// Readiness check.
    pub ready: &'static str,
}

/// Query of a directory request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DirectoryQuery {
    /// Caller's data centre.
    pub data_centre: String,
}
