//! The catalogue in the object API: immutable segments, and a root that is replaced by conditional updates.

use crate::{
    catalogue::{Declaration, Declarations},
    declarations,
    digest::content_address,
    findings::Findings,
    ident::{Revision, pair_hash},
    object_api::{Condition, ObjectApi, ObjectError, StoredObject, Version},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    collections::{BTreeMap, HashMap},
    fmt::{Display, Formatter},
    time::Duration,
};

/// Key of the root.
pub const ROOT_KEY: &str = "catalogue/root";

/// Number of segments that declarations are hashed into.
const SEGMENTS: u64 = 64;

/// Revisions kept in the root's history, as bases for operators' changes.
const MAX_HISTORY: usize = 64;

/// Attempts of one change while the store is slow, refuses calls or loses responses.
const MAX_ATTEMPTS: u32 = 40;

/// Wait between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An accepted change in the root's history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Revision.
    pub revision: Revision,
    /// Content address of its manifest.
    pub manifest: String,
    /// Random identifier of the write, by which the writer recognises it after a lost response.
    pub write: u64,
}

/// The root object: the history up to the configuration in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Root {
    /// Accepted changes, the latest last.
    pub history: Vec<HistoryEntry>,
}

impl Root {
    /// Returns the revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.history.last().map_or(0, |p| p.revision)
    }

    fn revision_of_write(&self, write: u64) -> Option<Revision> {
        self.history
            .iter()
            .find(|p| p.write == write)
            .map(|p| p.revision)
    }

    fn manifest(&self, revision: Revision) -> Option<&str> {
        self.history
            .iter()
            .find(|p| p.revision == revision)
            .map(|p| p.manifest.as_str())
    }
}

/// Content addresses of a configuration's segments.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Manifest {
    segments: BTreeMap<u64, String>,
}

/// Why a change was not applied.
#[derive(Debug)]
pub enum ApplyError {
    /// The same declarations have changed since the base.
    Conflict {
        /// Revision that the operator's change starts from.
        base: Revision,
        /// Revision in force.
        current: Revision,
        /// Declarations that both changed.
        keys: Vec<String>,
    },
    /// The base is older than the root's history or does not exist.
    UnknownBase(Revision),
    /// The merged catalogue is invalid.
    Invalid(Findings),
    /// The object API failed; the change was applied in full or not at all.
    Store(ObjectError),
}

impl Display for ApplyError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict {
                base,
                current,
                keys,
            } => {
                let keys = keys.join(", ");
                write!(
                    f,
                    "revision {current} changed what this change to {base} does: {keys}"
                )
            }
            Self::UnknownBase(base) => write!(f, "revision {base} is not in the root's history"),
            Self::Invalid(findings) => write!(f, "{findings}"),
            Self::Store(e) => write!(f, "object API: {e}"),
        }
    }
}

impl std::error::Error for ApplyError {}

impl From<ObjectError> for ApplyError {
    fn from(e: ObjectError) -> Self {
        Self::Store(e)
    }
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Revision in force after it.
    pub revision: Revision,
    /// Number of declarations changed.
    pub changed: usize,
}

/// Reads and changes the catalogue.
#[derive(Clone, Debug)]
pub struct CatalogueStore {
    api: ObjectApi,
    cache: HashMap<String, Declarations>,
}

impl CatalogueStore {
    /// Creates a client of the catalogue behind `api`.
    pub fn new(api: ObjectApi) -> Self {
        Self {
            api,
            cache: HashMap::new(),
        }
    }

    /// Reads the root; returns version 0 if there is none.
    ///
    /// # Errors
    /// See [`ObjectError`].
    pub async fn root(&self) -> Result<(Version, Root), ObjectError> {
        match self.api.get(ROOT_KEY).await? {
            Some(stored) => Ok((stored.version, stored.parse()?)),
            None => Ok((0, Root::default())),
        }
    }

    /// Reads the declarations of `root` at `revision`; fetches only segments that are not cached.
    ///
    /// # Errors
    /// See [`ObjectError`]; [`ObjectError::Malformed`] also if the revision is not in the history.
    pub async fn declarations(
        &mut self,
        root: &Root,
        revision: Revision,
    ) -> Result<Declarations, ObjectError> {
        if revision == 0 {
            return Ok(Declarations::new());
        }
        let address = root
            .manifest(revision)
            .ok_or(ObjectError::Malformed)?
            .to_owned();
        let manifest: Manifest = self.read_immutable("manifests", &address).await?;
        let mut fresh = HashMap::new();
        for address in manifest.segments.values() {
            let segment = match self.cache.remove(address) {
                Some(segment) => segment,
                None => self.read_immutable("segments", address).await?,
            };
            fresh.insert(address.clone(), segment);
        }
        let declarations = fresh
            .values()
            .flat_map(|s| s.iter().map(|(k, e)| (k.clone(), e.clone())));
        let declarations = declarations.collect();
        self.cache = fresh;
        Ok(declarations)
    }

    async fn read_immutable<T: DeserializeOwned>(
        &self,
        kind: &str,
        address: &str,
    ) -> Result<T, ObjectError> {
        let key = format!("catalogue/{kind}/{address}");
        let stored = self.api.get(&key).await?.ok_or(ObjectError::Malformed)?;
        stored.parse()
    }

    /// Applies the difference between revision `base` and `wanted` to the configuration in force.
    ///
    /// # Errors
    /// See [`ApplyError`].
    pub async fn apply(
        &mut self,
        base: Revision,
        wanted: &Declarations,
    ) -> Result<Applied, ApplyError> {
        let write = rand::random();
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.try_apply(base, wanted, write).await {
                Err(ApplyError::Store(e)) if attempts >= MAX_ATTEMPTS => {
                    return Err(ApplyError::Store(e));
                }
                Err(ApplyError::Store(_retry)) => tokio::time::sleep(RETRY_DELAY).await,
                result => return result,
            }
        }
    }

    async fn try_apply(
        &mut self,
        base: Revision,
        wanted: &Declarations,
        write: u64,
    ) -> Result<Applied, ApplyError> {
        let (version, root) = self.root().await?;
        let revision = root.revision();
        if base > revision || (base > 0 && root.manifest(base).is_none()) {
            return Err(ApplyError::UnknownBase(base));
        }
        let before = self.declarations(&root, base).await?;
        let changes = diff(&before, wanted);
        if let Some(revision) = root.revision_of_write(write) {
            return Ok(Applied {
                revision,
                changed: changes.len(),
            });
        }
        let current = self.declarations(&root, revision).await?;
        let keys = conflicting_keys(&changes, &before, &current);
        if !keys.is_empty() {
            return Err(ApplyError::Conflict {
                base,
                current: revision,
                keys,
            });
        }
        let merged = apply_changes(&current, &changes);
        if merged == current {
            return Ok(Applied {
                revision,
                changed: 0,
            });
        }
        declarations::check(&merged).map_err(ApplyError::Invalid)?;
        let manifest = self.write_segments(&merged).await?;
        let mut next = root.clone();
        next.history.push(HistoryEntry {
            revision: revision + 1,
            manifest,
            write,
        });
        let excess = next.history.len().saturating_sub(MAX_HISTORY);
        next.history.drain(..excess);
        let condition = if version == 0 {
            Condition::Absent
        } else {
            Condition::At(version)
        };
        self.api.put(ROOT_KEY, &next, condition).await?;
        Ok(Applied {
            revision: revision + 1,
            changed: changes.len(),
        })
    }

    async fn write_segments(&mut self, declarations: &Declarations) -> Result<String, ObjectError> {
        let mut manifest = Manifest::default();
        for (index, segment) in split_into_segments(declarations) {
            let address = self.write_immutable("segments", &segment).await?;
            manifest.segments.insert(index, address);
        }
        self.write_immutable("manifests", &manifest).await
    }

    async fn write_immutable<T: Serialize>(
        &self,
        kind: &str,
        value: &T,
    ) -> Result<String, ObjectError> {
        let text = serde_json::to_vec(value).map_err(|_e| ObjectError::Malformed)?;
        let address = content_address(&text);
        if self.cache.contains_key(&address) {
            return Ok(address);
        }
        let key = format!("catalogue/{kind}/{address}");
        match self.api.put(&key, value, Condition::Absent).await {
            Ok(_) | Err(ObjectError::Conflict) => Ok(address),
            Err(e) => Err(e),
        }
    }

    /// Waits for a root version above `after`, at most `wait`.
    ///
    /// # Errors
    /// See [`ObjectError`].
    pub async fn watch(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Option<(Version, Root)>, ObjectError> {
        let stored: Option<StoredObject> = self.api.watch(ROOT_KEY, after, wait).await?;
        stored
            .map(|s| s.parse().map(|root| (s.version, root)))
            .transpose()
    }
}

/// Declarations to set, or to remove where there is `None`.
pub type Changes = BTreeMap<String, Option<Declaration>>;

/// Returns the changes from `before` to `after`.
pub fn diff(before: &Declarations, after: &Declarations) -> Changes {
    let set = after.iter().filter(|(k, e)| before.get(*k) != Some(*e));
    let removed = before.keys().filter(|k| !after.contains_key(*k));
    set.map(|(k, e)| (k.clone(), Some(e.clone())))
        .chain(removed.map(|k| (k.clone(), None)))
        .collect()
}

/// Returns the keys in `changes` that differ between its base and the configuration in force.
fn conflicting_keys(changes: &Changes, base: &Declarations, current: &Declarations) -> Vec<String> {
    let differs = |key: &String| base.get(key) != current.get(key);
    let agrees =
        |key: &String, declaration: &Option<Declaration>| current.get(key) == declaration.as_ref();
    changes
        .iter()
        .filter(|(k, e)| differs(k) && !agrees(k, e))
        .map(|(k, _)| k.clone())
        .collect()
}

fn apply_changes(current: &Declarations, changes: &Changes) -> Declarations {
    let mut out = current.clone();
    for (key, declaration) in changes {
        match declaration {
            Some(declaration) => drop(out.insert(key.clone(), declaration.clone())),
            None => drop(out.remove(key)),
        }
    }
    out
}

fn split_into_segments(declarations: &Declarations) -> BTreeMap<u64, Declarations> {
    let mut out = BTreeMap::<u64, Declarations>::new();
    for (key, declaration) in declarations {
        let index = pair_hash(key, "segment") % SEGMENTS;
        out.entry(index)
            .or_default()
            .insert(key.clone(), declaration.clone());
    }
    out
}
