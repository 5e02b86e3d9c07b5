//! The operators' command line: checks, compares and applies declarations, and shows the fleet.

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

/// File in a declarations directory with the revision that the declarations are based on.
pub const BASE_FILE: &str = ".carobfield-revision";

/// Success.
pub const EXIT_OK: u8 = 0;
/// `diff` found differences, or `explain` an unknown model.
pub const EXIT_DIFFERENT: u8 = 1;
/// Declarations or options are invalid.
pub const EXIT_FINDINGS: u8 = 2;
/// Another operator changed the same declarations.
pub const EXIT_CONFLICT: u8 = 3;
/// The object API failed.
pub const EXIT_STORE: u8 = 4;

/// Timeout of a request for a dispatcher's status.
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

/// Reason why a command failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CtlError {
    /// Declarations or options are invalid.
    Findings,
    /// Another operator changed the same declarations.
    Conflict,
    /// The object API failed.
    Store,
}

impl CtlError {
    /// Returns the exit code.
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
            Self::Findings => "declarations or options are invalid",
            Self::Conflict => "the change conflicts with another operator's",
            Self::Store => "the object API failed",
        })
    }
}

impl std::error::Error for CtlError {}

/// Result of a step of a command.
type CtlResult<T> = Result<T, Report<CtlError>>;

fn fail(error: CtlError, message: impl Display) -> Report<CtlError> {
    Report::new(error).attach(message.to_string())
}

/// Runs a command and returns its exit code.
///
/// # Errors
/// A report with the message to print and the exit code.
pub async fn run(options: &CtlOptions) -> CtlResult<u8> {
    let Some(command) = &options.command else {
        return Err(fail(
            CtlError::Findings,
            "a command is required; see --help",
        ));
    };
    let api = || {
        let address = options.object_api;
        let missing = || fail(CtlError::Findings, "--object-api IP:PORT is required");
        address.map(ObjectApi::new).ok_or_else(missing)
    };
    match command {
        CtlCommand::Check(o) => check(&o.dir),
        CtlCommand::Diff(o) => print_diff(api()?, &o.dir).await,
        CtlCommand::Apply(o) => apply(api()?, o).await,
        CtlCommand::Status(o) => status(api()?, o.json).await,
        CtlCommand::Explain(o) => explain(api()?, o).await,
    }
}

fn read(dir: &Path) -> CtlResult<Declarations> {
    declarations::read_dir(dir).map_err(|findings| fail(CtlError::Findings, findings))
}

fn check(dir: &Path) -> CtlResult<u8> {
    let declarations = read(dir)?;
    println!(
        "{}: {} entries, no findings",
        dir.display(),
        declarations.len()
    );
    Ok(EXIT_OK)
}

async fn print_diff(api: ObjectApi, dir: &Path) -> CtlResult<u8> {
    let wanted = read(dir)?;
    let mut store = CatalogueStore::new(api);
    let (_, root) = store.root().await.change_context(CtlError::Store)?;
    let current = store
        .declarations(&root, root.revision())
        .await
        .change_context(CtlError::Store)?;
    let changes = diff(&current, &wanted);
    for (key, declaration) in &changes {
        let sign = match (declaration, current.contains_key(key)) {
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
    let base = base_revision(&store, options).await?;
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

/// Returns the revision that the operator's declarations are based on.
async fn base_revision(store: &CatalogueStore, options: &ApplyOptions) -> CtlResult<Revision> {
    if let Some(base) = options.base {
        return Ok(base);
    }
    let file = options.dir.join(BASE_FILE);
    if let Ok(text) = std::fs::read_to_string(&file) {
        let invalid = |_e| {
            fail(
                CtlError::Findings,
                format_args!("{}: not a revision number", file.display()),
            )
        };
        return text.trim().parse().map_err(invalid);
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

async fn fetch_status(client: &HttpClient, record: &DispatcherRecord) -> Value {
    let uri = format!("http://{}/status", record.operators);
    let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
    match http_client::call(client, request, STATUS_TIMEOUT).await {
        Ok(response) => serde_json::from_slice(&response.body).unwrap_or(Value::Null),
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
        let status = fetch_status(&client, record).await;
        dispatchers.push(json!({ "record": record, "status": status }));
    }
    if as_json {
        let upstreams: Vec<_> = fleet.upstreams.values().map(|u| &u.record).collect();
        let output = json!({
            "revision": root.revision(), "dispatchers": dispatchers, "upstreams": upstreams,
        });
        println!("{output:#}");
        return Ok(EXIT_OK);
    }
    println!("revision {}", root.revision());
    for (record, shown) in fleet.dispatchers.values().zip(&dispatchers) {
        let revision = shown["status"]["revision"].as_u64().unwrap_or(0);
        let gateway = record
            .gateway
            .as_ref()
            .map_or("none", |g| g.address.as_str());
        println!(
            "dispatcher {} in {}: revision {revision}, gateway {gateway}{}",
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
    let declarations = store
        .declarations(&root, root.revision())
        .await
        .change_context(CtlError::Store)?;
    let catalogue = Catalogue::from_declarations(root.revision(), &declarations);
    let Ok((model, adapter)) = catalogue.resolve(&options.model) else {
        println!("{} is not in revision {}", options.model, root.revision());
        return Ok(EXIT_DIFFERENT);
    };
    let fleet = read_fleet(&api).await?;
    let client = http_client::build();
    let mut residents = Vec::new();
    for record in fleet.dispatchers.values() {
        let status = fetch_status(&client, record).await;
        residents.extend(residents_of_model(&status, &model.to_string()));
    }
    if options.json {
        let output = json!({
            "revision": root.revision(), "model": model.to_string(), "adapter": &*adapter,
            "upstreams": residents,
        });
        println!("{output:#}");
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
    if residents.is_empty() {
        println!("on no upstream: the next request loads it");
    }
    for resident in &residents {
        println!("on {}: {}", resident["upstream"], resident["state"]);
    }
    Ok(EXIT_OK)
}

fn residents_of_model(status: &Value, model: &str) -> Vec<Value> {
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
