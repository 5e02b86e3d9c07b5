//! The catalogue: what operators declare, as every node holds it.

use crate::ident::{ModelRef, Revision};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter},
    str::FromStr,
    sync::Arc,
};

/// How urgent an adapter's requests are. The order is the order of service.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Somebody waits for the answer before acting.
    Interactive,
    /// The usual case.
    #[default]
    Standard,
    /// Work without a person waiting.
    Batch,
}

impl Class {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// Weight of a waiting request against those of other classes.
    pub fn weight(self) -> u32 {
        match self {
            Self::Interactive => 4,
            Self::Standard => 2,
            Self::Batch => 1,
        }
    }

    /// Name in declarations, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }
}

/// Declares `FromStr` and `Display` of a closed set by its variants' names.
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

/// One adapter with its owner, class and limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Adapter {
    /// Base model that the adapter extends.
    pub base: String,
    /// Urgency of its requests.
    pub class: Class,
    /// Version that a bare adapter name stands for.
    pub current: u32,
    /// Requests in progress at once, over all upstreams; 0 for no limit.
    pub in_flight: u32,
    /// Organisation that pays for it.
    pub owner: Arc<str>,
    /// Versions that may be asked for.
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

/// What the upstreams of a pool are.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Model engines with adapter slots.
    #[default]
    Engine,
    /// Plain services.
    Service,
}

impl_named_enum!(PoolKind, "expected engine or service",
    "engine" => PoolKind::Engine, "service" => PoolKind::Service);

/// Whether an upstream refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// Old numbers are refused.
    Checked,
    /// Numbers are not looked at.
    #[default]
    Ignored,
}

impl_named_enum!(Fencing, "expected checked or ignored",
    "checked" => Fencing::Checked, "ignored" => Fencing::Ignored);

/// A group of like upstreams; the VM list names the pool of each.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Base model of an engine pool.
    pub base: String,
    /// Requests that one upstream runs at once.
    pub batch: u32,
    /// Whether fencing numbers are checked.
    pub fencing: Fencing,
    /// Engines or plain services.
    pub kind: PoolKind,
    /// Adapter slots of one engine.
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
    /// Urgency of its calls.
    pub class: Class,
    /// Pool of upstreams that offer it.
    pub pool: String,
    /// Whether calls with a method other than GET or HEAD may be repeated.
    pub repeatable: bool,
}

/// What the placement weighs first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Least time spent waiting for adapter loads.
    #[default]
    LoadStalls,
    /// Fullest batches on paid engines.
    BatchEfficiency,
}

impl_named_enum!(Objective, "expected load-stalls or batch-efficiency",
    "load-stalls" => Objective::LoadStalls, "batch-efficiency" => Objective::BatchEfficiency);

/// Settings that hold for the whole deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Deployment {
    /// Weight store's allowance, in loads a second.
    pub load_rate: f64,
    /// Loads that the weight store serves at full speed at once.
    pub load_streams: u32,
    /// What the placement weighs first.
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

/// One declaration, as stored in a segment.
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

/// Declarations by `kind name`, the form in which they are compared and stored.
pub type Declarations = BTreeMap<String, Declaration>;

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Revision of the root that it was read from.
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
    /// Sorts entries into their kinds.
    pub fn from_declarations(revision: Revision, entries: &Declarations) -> Self {
        let mut out = Self {
            revision,
            ..Self::default()
        };
        for (key, entry) in entries {
            let name = key
                .split_once(' ')
                .map_or(key.as_str(), |(_, n)| n)
                .to_owned();
            match entry {
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
