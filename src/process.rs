//! Common `main` of the long-running binaries.

use crate::{configs::log::LogConfig, findings::Findings, logging, supervisor::ChildError};
use gumdrop::Options;
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};
use tokio_graceful_shutdown::{SubsystemHandle, Toplevel};

/// Timeout of a graceful shutdown after a stop signal.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(150);

/// Exit code for invalid settings or options.
const EXIT_SETTINGS: u8 = 2;

/// Command line of a process that reads one settings file.
#[derive(Debug, Options)]
pub struct ProcessOptions {
    /// Shows the options.
    #[options(help = "show this help and stop")]
    pub help: bool,
    /// Shows the version.
    #[options(help = "show the version and stop", short = "V")]
    pub version: bool,
    /// Settings file.
    #[options(help = "settings file (INI)", meta = "FILE")]
    pub config: Option<PathBuf>,
    /// Only checks the settings.
    #[options(help = "check the settings, report every finding, and stop", no_short)]
    pub check: bool,
}

/// Worker threads of a process's runtime.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Threads {
    /// One, for a VM with a fraction of a core.
    One,
    /// One per core.
    PerCore,
}

/// Reads the command line and settings, and runs on one thread per core until a stop signal.
pub fn main<C, R, L>(name: &str, read: R, log: L, run: RunFn<C>) -> ExitCode
where
    C: Send + 'static,
    R: FnOnce(&Path) -> Result<C, Findings>,
    L: FnOnce(&C) -> LogConfig,
{
    main_with_threads(Threads::PerCore, name, read, log, run)
}

/// Reads the command line and settings, and runs on `threads` until a stop signal.
pub fn main_with_threads<C, R, L>(
    threads: Threads,
    name: &str,
    read: R,
    log: L,
    run: RunFn<C>,
) -> ExitCode
where
    C: Send + 'static,
    R: FnOnce(&Path) -> Result<C, Findings>,
    L: FnOnce(&C) -> LogConfig,
{
    let options = ProcessOptions::parse_args_default_or_exit();
    if options.version {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = options.config else {
        eprintln!("{name}: --config FILE is required; see --help");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let config = match read(&path) {
        Ok(config) => config,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    let log = log(&config);
    logging::start(log, name);
    let code = run_until_signal(threads, name, config, run);
    log::info!("process ending");
    logging::finish();
    code
}

/// Function that runs a process until shutdown is requested.
pub type RunFn<C> = for<'a> fn(
    C,
    &'a mut SubsystemHandle,
) -> futures_util::future::BoxFuture<'a, Result<(), ChildError>>;

fn run_until_signal<C: Send + 'static>(
    threads: Threads,
    name: &str,
    config: C,
    run: RunFn<C>,
) -> ExitCode {
    let mut builder = match threads {
        Threads::One => tokio::runtime::Builder::new_current_thread(),
        Threads::PerCore => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("{name}: {e}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async {
        let toplevel = Toplevel::new(async move |tree: &mut SubsystemHandle| {
            tree.start(tokio_graceful_shutdown::SubsystemBuilder::new(
                "process",
                async move |tree: &mut SubsystemHandle| run(config, tree).await,
            ));
        });
        toplevel
            .catch_signals()
            .handle_shutdown_requests(SHUTDOWN_TIMEOUT)
            .await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e:?}");
            ExitCode::FAILURE
        }
    }
}
