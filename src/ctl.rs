//! The operators' command: checks, compares and applies declarations, and shows the fleet.

use crate::{
    catalogue::{Catalogue, Declarations},
    catalogue_store::{Applied, ApplyError, CatalogueStore, diff},
    clock::BootInstant,
    declarations,
    fleet::{DispatcherRecord, FLEET_PREFIX, Fleet},
    http_client::{self, HttpClient},
    ident::Revision,
    object_api::ObjectApi,
};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use gumdrop::Options;
use http::Method;
use serde_json::{Value, json};
use std::{
    fmt::{Display, Formatter},
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

/// File in a catalogue's directory with the revision that its declarations start from.
pub const BASE_FILE: &str = ".carobfield-revision";

/// Everything is well.
pub const EXIT_OK: u8 = 0;
/// `diff` found differences, or `explain` an unknown model.
pub const EXIT_DIFFERENT: u8 = 1;
/// Declarations or options have findings.
pub const EXIT_FINDINGS: u8 = 2;
/// Another operator changed the same entries.
pub const EXIT_CONFLICT: u8 = 3;
/// The object API could not be used.
pub const EXIT_STORE: u8 = 4;

/// Longest wait for a dispatcher's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Command line.
#[derive(Debug, Options)]
pub struct CtlOptions {
    /// Shows the options.
    #[options(help = "show this help and stop")]
    pub help: bool,
    /// Shows the version.
    #[options(help = "show the version and stop", short = "V")]
    pub version: bool,
    /// Address of the object API.
    #[options(help = "address of the object API", meta = "IP:PORT", no_short)]
    pub object_api: Option<SocketAddr>,
    /// What to do.
    #[options(command)]
    pub command: Option<CtlCommand>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum CtlCommand {
    /// Checks declarations.
    #[options(help = "check the declarations in DIR and report every finding")]
    Check(DirOptions),
    /// Compares declarations with the configuration in force.
    #[options(help = "show what applying DIR would change; exit 1 if anything")]
    Diff(DirOptions),
    /// Applies declarations.
    #[options(help = "apply DIR; exit 3 if somebody else changed the same entries")]
    Apply(ApplyOptions),
    /// Shows the fleet.
    #[options(help = "show the revision in force, dispatchers and upstreams")]
    Status(ShowOptions),
    /// Explains one model.
    #[options(help = "show what MODEL resolves to and which upstreams have it")]
    Explain(ExplainOptions),
}

/// Options of `check` and `diff`.
#[derive(Debug, Options)]
pub struct DirOptions {
    /// Shows the options.
    #[options(help = "show this help and stop")]
    pub help: bool,
    /// Directory of the declarations.
    #[options(free, required)]
    pub dir: PathBuf,
}

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// Shows the options.
    #[options(help = "show this help and stop")]
    pub help: bool,
    /// Revision that the declarations start from.
    #[options(
        help = "revision the declarations start from; read from DIR if not given",
        meta = "N"
    )]
    pub base: Option<Revision>,
    /// Directory of the declarations.
    #[options(free, required)]
    pub dir: PathBuf,
}

/// Options of `status`.
#[derive(Debug, Options)]
pub struct ShowOptions {
    /// Shows the options.
    #[options(help = "show this help and stop")]
    pub help: bool,
    /// Prints JSON.
    #[options(help = "print JSON")]
    pub json: bool,
}

/// Options of `explain`.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    /// Shows the options.
    #[options(help = "show this help and stop")]
    pub help: bool,
    /// Prints JSON.
    #[options(help = "print JSON")]
    pub json: bool,
    /// Adapter, or adapter and version.
    #[options(free, required)]
    pub model: String,
}

/// Why a command ended without success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CtlError {
    /// Declarations or options have findings.
    Findings,
    /// Another operator changed the same entries.
    Conflict,
    /// The object API could not be used.
    Store,
}

impl CtlError {
    /// Exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Findings => EXIT_FINDINGS,
            Self::Conflict => EXIT_CONFLICT,
            Self::Store => EXIT_STORE,
        }
    }
}

impl Display for CtlError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Findings => "declarations or options have findings",
            Self::Conflict => "the change conflicts with another",
            Self::Store => "the object API could not be used",
        })
    }
}

impl std::error::Error for CtlError {}

/// Result of a command's step.
type CtlResult<T> = Result<T, Report<CtlError>>;

fn fail(error: CtlError, message: impl Display) -> Report<CtlError> {
    Report::new(error).attach(message.to_string())
}

/// Runs a command and returns its exit code.
///
/// # Errors
/// The message to print and the exit code.
pub async fn run(options: &CtlOptions) -> CtlResult<u8> {
    let Some(command) = &options.command else {
        return Err(fail(CtlError::Findings, "a command is needed; see --help"));
    };
    let api = || {
        let address = options.object_api;
        let missing = || fail(CtlError::Findings, "--object-api IP:PORT is needed");
        address.map(ObjectApi::new).ok_or_else(missing)
    };
    match command {
        CtlCommand::Check(o) => check(&o.dir),
        CtlCommand::Diff(o) => show_diff(api()?, &o.dir).await,
        CtlCommand::Apply(o) => apply(api()?, o).await,
        CtlCommand::Status(o) => status(api()?, o.json).await,
        CtlCommand::Explain(o) => explain(api()?, o).await,
    }
}

fn read(dir: &Path) -> CtlResult<Declarations> {
    declarations::read_dir(dir).map_err(|findings| fail(CtlError::Findings, findings))
}

fn check(dir: &Path) -> CtlResult<u8> {
    let entries = read(dir)?;
    println!("{}: {} entries, no findings", dir.display(), entries.len());
    Ok(EXIT_OK)
}

async fn show_diff(api: ObjectApi, dir: &Path) -> CtlResult<u8> {
    let wanted = read(dir)?;
    let mut store = CatalogueStore::new(api);
    let (_, root) = store.root().await.change_context(CtlError::Store)?;
    let current = store
        .declarations(&root, root.revision())
        .await
        .change_context(CtlError::Store)?;
    let changes = diff(&current, &wanted);
    for (key, entry) in &changes {
        let sign = match (entry, current.contains_key(key)) {
            (None, _) => '-',
            (Some(_), true) => '~',
            (Some(_), false) => '+',
        };
        println!("{sign} {key}");
    }
    println!(
        "{} change(s) against revision {}",
        changes.len(),
        root.revision()
    );
    Ok(if changes.is_empty() {
        EXIT_OK
    } else {
        EXIT_DIFFERENT
    })
}

async fn apply(api: ObjectApi, options: &ApplyOptions) -> CtlResult<u8> {
    let wanted = read(&options.dir)?;
    let mut store = CatalogueStore::new(api);
    let base = base(&store, options).await?;
    let Applied { revision, changed } = store.apply(base, &wanted).await.map_err(|e| {
        let error = match e {
            ApplyError::Conflict { .. } | ApplyError::UnknownBase(_) => CtlError::Conflict,
            ApplyError::Invalid(_) => CtlError::Findings,
            ApplyError::Store(_) => CtlError::Store,
        };
        fail(error, e)
    })?;
    let file = options.dir.join(BASE_FILE);
    std::fs::write(&file, format!("{revision}\n"))
        .map_err(|e| fail(CtlError::Findings, format_args!("{}: {e}", file.display())))?;
    println!("revision {revision} in force, {changed} change(s)");
    Ok(EXIT_OK)
}

/// The revision that the operator's declarations start from.
async fn base(store: &CatalogueStore, options: &ApplyOptions) -> CtlResult<Revision> {
    if let Some(base) = options.base {
        return Ok(base);
    }
    let file = options.dir.join(BASE_FILE);
    if let Ok(text) = std::fs::read_to_string(&file) {
        let bad = |_e| {
            fail(
                CtlError::Findings,
                format_args!("{}: not a number", file.display()),
            )
        };
        return text.trim().parse().map_err(bad);
    }
    let (_, root) = store.root().await.change_context(CtlError::Store)?;
    if root.revision() == 0 {
        return Ok(0);
    }
    let message = format!(
        "revision {} is in force and {} is missing: give --base N",
        root.revision(),
        file.display()
    );
    Err(fail(CtlError::Conflict, message))
}

async fn read_fleet(api: &ObjectApi) -> CtlResult<Fleet> {
    let mut fleet = Fleet::default();
    let sent = BootInstant::now();
    let listing = api
        .list(FLEET_PREFIX)
        .await
        .change_context(CtlError::Store)?;
    fleet.update(&listing, sent, BootInstant::now());
    Ok(fleet)
}

async fn ask_status(client: &HttpClient, record: &DispatcherRecord) -> Value {
    let uri = format!("http://{}/status", record.operators);
    let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
    match http_client::call(client, request, STATUS_TIMEOUT).await {
        Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
        Err(e) => json!({ "error": e.to_string() }),
    }
}

async fn status(api: ObjectApi, as_json: bool) -> CtlResult<u8> {
    let store = CatalogueStore::new(api.clone());
    let (_, root) = store.root().await.change_context(CtlError::Store)?;
    let fleet = read_fleet(&api).await?;
    let client = http_client::build();
    let mut dispatchers = Vec::new();
    for record in fleet.dispatchers.values() {
        let status = ask_status(&client, record).await;
        dispatchers.push(json!({ "record": record, "status": status }));
    }
    if as_json {
        let upstreams: Vec<_> = fleet.upstreams.values().map(|u| &u.record).collect();
        let whole = json!({
            "revision": root.revision(), "dispatchers": dispatchers, "upstreams": upstreams,
        });
        println!("{whole:#}");
        return Ok(EXIT_OK);
    }
    println!("revision {}", root.revision());
    for (record, shown) in fleet.dispatchers.values().zip(&dispatchers) {
        let behind = shown["status"]["revision"].as_u64().unwrap_or(0);
        let gateway = record
            .gateway
            .as_ref()
            .map_or("none", |g| g.address.as_str());
        println!(
            "dispatcher {} in {}: revision {behind}, gateway {gateway}{}",
            record.id,
            record.data_centre,
            if record.leaving { ", leaving" } else { "" }
        );
    }
    for upstream in fleet.upstreams.values() {
        let record = &upstream.record;
        let holder = record.holder.as_ref().map_or("nobody", |h| &h.id);
        println!(
            "upstream {}: held by {holder}, generation {}",
            record.id, record.generation
        );
    }
    Ok(EXIT_OK)
}

async fn explain(api: ObjectApi, options: &ExplainOptions) -> CtlResult<u8> {
    let mut store = CatalogueStore::new(api.clone());
    let (_, root) = store.root().await.change_context(CtlError::Store)?;
    let entries = store
        .declarations(&root, root.revision())
        .await
        .change_context(CtlError::Store)?;
    let catalogue = Catalogue::from_declarations(root.revision(), &entries);
    let Ok((model, adapter)) = catalogue.resolve(&options.model) else {
        println!("{} is not in revision {}", options.model, root.revision());
        return Ok(EXIT_DIFFERENT);
    };
    let fleet = read_fleet(&api).await?;
    let client = http_client::build();
    let mut places = Vec::new();
    for record in fleet.dispatchers.values() {
        let status = ask_status(&client, record).await;
        places.extend(resident_at(&status, &model.to_string()));
    }
    if options.json {
        let whole = json!({
            "revision": root.revision(), "model": model.to_string(), "adapter": &*adapter,
            "upstreams": places,
        });
        println!("{whole:#}");
        return Ok(EXIT_OK);
    }
    println!(
        "{} is {model} in revision {}",
        options.model,
        root.revision()
    );
    println!(
        "owner {}, class {}, base {}",
        adapter.owner, adapter.class, adapter.base
    );
    if places.is_empty() {
        println!("on no upstream: the next request loads it");
    }
    for place in &places {
        println!("on {}: {}", place["upstream"], place["state"]);
    }
    Ok(EXIT_OK)
}

fn resident_at(status: &Value, model: &str) -> Vec<Value> {
    let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
    let found = upstreams.iter().flat_map(|upstream| {
        let residents = upstream["residents"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let here = residents.into_iter().filter(|r| {
            let name = &r["model"];
            format!(
                "{}@{}",
                name["adapter"].as_str().unwrap_or(""),
                name["version"]
            ) == model
        });
        here.map(|r| json!({ "upstream": upstream["id"], "state": r["state"] }))
            .collect::<Vec<_>>()
    });
    found.collect()
}
