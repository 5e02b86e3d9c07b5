//! Runs the whole system and its stand-ins in one process.

use carobfield::{configs::log::LogConfig, logging};
use carobfield_standin::local;
use gumdrop::Options;
use log::LevelFilter;
use std::{process::ExitCode, time::Duration};
use tokio_graceful_shutdown::{SubsystemBuilder, SubsystemHandle, Toplevel};

/// Timeout of the shutdown after a stop signal.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_mins(1);

/// Command line.
#[derive(Debug, Options)]
struct LocalOptions {
    #[options(help = "show this help and stop")]
    help: bool,
    #[options(help = "show the version and stop", short = "V")]
    version: bool,
    #[options(
        help = "complete the prompt TEXT, print the response and stop",
        meta = "TEXT"
    )]
    ask: Option<String>,
    #[options(
        help = "least severe level logged: error, warn, info, debug",
        meta = "LEVEL"
    )]
    log: Option<LevelFilter>,
}

fn main() -> ExitCode {
    let options = LocalOptions::parse_args_default_or_exit();
    if options.version {
        println!("carobfield-local {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let level = options.log.unwrap_or(LevelFilter::Error);
    logging::start(
        LogConfig {
            level,
            ..LogConfig::default()
        },
        "carobfield-local",
    );
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("carobfield-local: {e}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async {
        let top = Toplevel::new(async move |tree: &mut SubsystemHandle| {
            tree.start(SubsystemBuilder::new(
                "local",
                async move |tree: &mut SubsystemHandle| local::run(options.ask, tree).await,
            ));
        });
        top.catch_signals()
            .handle_shutdown_requests(SHUTDOWN_TIMEOUT)
            .await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("carobfield-local: {e:?}");
            ExitCode::FAILURE
        }
    }
}
