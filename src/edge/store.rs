//! The platform's object store, as this system uses it.

use serde_json::Value;
use std::{
    fmt::{Display, Formatter},
    time::Duration,
};

/// Kinds of objects that this system reads or writes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObjectKind {
    /// Upstreams' own entries; read only.
    Upstreams,
    /// The operator's configuration; read only.
    Configuration,
    /// Newest versions of adapters; read only.
    Versions,
    /// Our entries, one object each.
    Members,
    /// Who may give orders to an upstream, one object each.
    Holders,
}

/// An object, its content not decoded yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Name within its kind.
    pub name: String,
    /// Store revision of its last change.
    pub revision: u64,
    /// Content; `Null` where it could not be read.
    pub content: Value,
}

/// All objects of a kind at one store revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Objects by name.
    pub objects: Vec<Object>,
    /// Revision from which to watch on.
    pub revision: u64,
}

/// One change of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The object as it is now, or last was.
    pub object: Object,
    /// Whether it was removed.
    pub removed: bool,
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// In order.
    pub changes: Vec<Change>,
    /// Revision from which to watch on.
    pub revision: u64,
}

/// Why a call to the store did not do what was asked.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreError {
    /// The object is not there.
    NotFound,
    /// The object has another revision; here it is, where the answer could be read.
    Conflict(Option<Object>),
    /// The history from the given revision on is gone: list again.
    RevisionExpired,
    /// Nothing was done: too many calls, or the store is out of service.
    Refused(u16),
    /// The call certainly was not sent.
    NotSent,
    /// No answer: the call may have been carried out, or may be later.
    Unknown,
    /// The answer could not be read.
    Malformed,
}

impl Display for StoreError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotFound => f.write_str("no such object"),
            Self::Conflict(_) => f.write_str("the object has another revision"),
            Self::RevisionExpired => f.write_str("the history is gone"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::NotSent => f.write_str("not sent"),
            Self::Unknown => f.write_str("no answer"),
            Self::Malformed => f.write_str("malformed answer"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Lists every object of `kind`.
    fn list(&self, kind: ObjectKind) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Waits at most `wait` for changes after `revision`.
    fn watch(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Reads one object.
    fn get(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> impl Future<Output = Result<Object, StoreError>> + Send;

    /// Creates an object; a conflict if there is one.
    fn create(
        &self,
        kind: ObjectKind,
        name: &str,
        content: &Value,
    ) -> impl Future<Output = Result<Object, StoreError>> + Send;

    /// Replaces an object, if it still has `revision` where one is given.
    fn replace(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        content: &Value,
    ) -> impl Future<Output = Result<Object, StoreError>> + Send;
}
