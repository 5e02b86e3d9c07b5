//! Identifiers shared by all processes.

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use std::{
    fmt::{Display, Formatter},
    str::FromStr,
    sync::Arc,
};

/// Maximum length of an adapter, owner, upstream or service name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Name of a dispatcher; stable across restarts.
pub type DispatcherId = Arc<str>;

/// Name of an upstream, as in the VM list.
pub type UpstreamId = Arc<str>;

/// Revision of the configuration; incremented with every accepted configuration.
pub type Revision = u64;

/// Fencing number of an upstream; increases with every change of holder.
pub type Generation = u64;

/// Hash of the request that brought the first event of a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the ID of the stream that the request `id` began.
    pub fn of(id: &str) -> Self {
        Self(rapidhash_v3(id.as_bytes()))
    }
}

/// An adapter and one of its versions, written `adapter@version`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ModelRef {
    /// Adapter name.
    pub adapter: Arc<str>,
    /// Version number, from 1.
    pub version: u32,
}

impl ModelRef {
    /// Creates a reference from a name and a version.
    pub fn new(adapter: &str, version: u32) -> Self {
        Self {
            adapter: Arc::from(adapter),
            version,
        }
    }
}

impl Display for ModelRef {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

/// The text is not of the form `adapter@version`.
#[derive(Debug)]
pub struct ParseModelRefError;

impl Display for ParseModelRefError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("expected `adapter@version`")
    }
}

impl std::error::Error for ParseModelRefError {}

impl FromStr for ModelRef {
    type Err = ParseModelRefError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (adapter, version) = text.rsplit_once('@').ok_or(ParseModelRefError)?;
        let version = version
            .parse::<u32>()
            .ok()
            .filter(|v| *v > 0)
            .ok_or(ParseModelRefError)?;
        if !is_valid_name(adapter) {
            return Err(ParseModelRefError);
        }
        Ok(Self::new(adapter, version))
    }
}

/// Returns whether `text` is a valid name of an adapter, owner, upstream or service.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// Identifier of one caller's request, unique across gateways.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Generates a random identifier.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl Display for RequestId {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Ranks `candidates` for `key` by rendezvous hashing, the most preferred first.
pub fn rendezvous<'a, T>(key: &str, candidates: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> = candidates
        .iter()
        .map(|c| (pair_hash(key, name(c)), c))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    ranked.into_iter().map(|(_, c)| c).collect()
}

/// Returns the hash of a key and a name; the same in every process.
pub fn pair_hash(key: &str, name: &str) -> u64 {
    let joined = [key.as_bytes(), b"\0", name.as_bytes()].concat();
    rapidhash_v3(&joined)
}
