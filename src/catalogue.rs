//! The catalogue: the operators' declarations, as every process holds them.

use crate::ident::{ModelRef, Revision};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter},
    str::FromStr,
    sync::Arc,
};

/// Priority class of an adapter's requests. Variants are in order of priority, the highest first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits for the response.
    Interactive,
    /// Default class.
    #[default]
    Standard,
    /// Background work.
    Batch,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// Returns the weight of a waiting request relative to other classes.
    pub fn weight(self) -> u32 {
        match self {
            Self::Interactive => 4,
            Self::Standard => 2,
            Self::Batch => 1,
        }
    }

    /// Returns the name in declarations, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }
}

/// Implements `FromStr` and `Display` for an enum by its variants' names.
macro_rules! impl_named_enum {
    ($set:ty, $expected:literal, $($name:literal => $variant:path),+) => {
        impl FromStr for $set {
            type Err = &'static str;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($name => Ok($variant),)+
                    _ => Err($expected),
                }
            }
        }

        impl Display for $set {
            fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
                f.write_str(match self {
                    $($variant => $name,)+
                })
            }
        }
    };
}
pub(crate) use impl_named_enum;

impl_named_enum!(Class, "expected interactive, standard or batch",
    "interactive" => Class::Interactive, "standard" => Class::Standard, "batch" => Class::Batch);

/// An adapter with its owner, class and limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Adapter {
    /// Base model that the adapter extends.
    pub base: String,
    /// Priority class of its requests.
    pub class: Class,
    /// Version that a bare adapter name resolves to.
    pub current: u32,
    /// Limit of requests in flight across all upstreams; 0 for no limit.
    pub in_flight: u32,
    /// Organisation that the adapter's use is billed to.
    pub owner: Arc<str>,
    /// Versions that callers may request.
    pub versions: Vec<u32>,
}

impl Default for Adapter {
    fn default() -> Self {
        Self {
            base: String::new(),
            class: Class::Standard,
            current: 1,
            in_flight: 0,
            owner: Arc::from(""),
            versions: vec![1],
        }
    }
}

/// Kind of a pool's upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Inference engines with adapter slots.
    #[default]
    Engine,
    /// Plain services.
    Service,
}

impl_named_enum!(PoolKind, "expected engine or service",
    "engine" => PoolKind::Engine, "service" => PoolKind::Service);

/// Whether an upstream refuses orders with a stale generation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The upstream refuses stale generations.
    Checked,
    /// The upstream does not check generations.
    #[default]
    Ignored,
}

impl_named_enum!(Fencing, "expected checked or ignored",
    "checked" => Fencing::Checked, "ignored" => Fencing::Ignored);

/// A group of equivalent upstreams; the VM list names the pool of each.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Base model of an engine pool.
    pub base: String,
    /// Requests that one upstream runs at once.
    pub batch: u32,
    /// Whether the upstreams check generations.
    pub fencing: Fencing,
    /// Kind of the upstreams.
    pub kind: PoolKind,
    /// Adapter slots per engine.
    pub slots: u32,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            base: String::new(),
            batch: 8,
            fencing: Fencing::Ignored,
            kind: PoolKind::Engine,
            slots: 4,
        }
    }
}

/// A plain service that callers reach by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Priority class of its requests.
    pub class: Class,
    /// Pool of upstreams that offer it.
    pub pool: String,
    /// Whether requests with a method other than GET or HEAD may be repeated.
    pub repeatable: bool,
}

/// Primary objective of placement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Minimises the time that requests wait for adapter loads.
    #[default]
    LoadStalls,
    /// Maximises the batch size on paid engines.
    BatchEfficiency,
}

impl_named_enum!(Objective, "expected load-stalls or batch-efficiency",
    "load-stalls" => Objective::LoadStalls, "batch-efficiency" => Objective::BatchEfficiency);

/// Settings of the whole deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Deployment {
    /// Rate limit of the weight store, in loads per second.
    pub load_rate: f64,
    /// Concurrent loads that the weight store serves at full speed.
    pub load_streams: u32,
    /// Primary objective of placement.
    pub objective: Objective,
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            load_rate: 4.0,
            load_streams: 2,
            objective: Objective::LoadStalls,
        }
    }
}

/// A declaration, as stored in a segment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Declaration {
    /// An adapter.
    Adapter(Adapter),
    /// Settings of the deployment.
    Deployment(Deployment),
    /// A pool of upstreams.
    Pool(Pool),
    /// A plain service.
    Service(Service),
}

/// Declarations by `kind name`, as they are compared and stored.
pub type Declarations = BTreeMap<String, Declaration>;

/// The complete configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Revision of the root from which it was read.
    pub revision: Revision,
    /// Adapters by name.
    pub adapters: BTreeMap<String, Arc<Adapter>>,
    /// Deployment settings.
    pub deployment: Deployment,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
}

/// Why a model name could not be resolved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResolveError {
    /// No such adapter.
    UnknownAdapter,
    /// The adapter has no such version.
    UnknownVersion,
}

impl Catalogue {
    /// Builds a catalogue from declarations.
    pub fn from_declarations(revision: Revision, declarations: &Declarations) -> Self {
        let mut out = Self {
            revision,
            ..Self::default()
        };
        for (key, declaration) in declarations {
            let name = key
                .split_once(' ')
                .map_or(key.as_str(), |(_, n)| n)
                .to_owned();
            match declaration {
                Declaration::Adapter(a) => drop(out.adapters.insert(name, Arc::new(a.clone()))),
                Declaration::Deployment(d) => out.deployment = d.clone(),
                Declaration::Pool(p) => drop(out.pools.insert(name, p.clone())),
                Declaration::Service(s) => drop(out.services.insert(name, s.clone())),
            }
        }
        out
    }

    /// Resolves `adapter@version`, or a bare adapter name to its current version.
    ///
    /// # Errors
    /// The adapter or the version is not in the catalogue.
    pub fn resolve(&self, text: &str) -> Result<(ModelRef, Arc<Adapter>), ResolveError> {
        let (name, version) = match text.parse::<ModelRef>() {
            Ok(model) => (model.adapter.to_string(), Some(model.version)),
            Err(_) => (text.to_owned(), None),
        };
        let adapter = self
            .adapters
            .get(&name)
            .ok_or(ResolveError::UnknownAdapter)?;
        let version = version.unwrap_or(adapter.current);
        if !adapter.versions.contains(&version) {
            return Err(ResolveError::UnknownVersion);
        }
        Ok((ModelRef::new(&name, version), Arc::clone(adapter)))
    }
}
