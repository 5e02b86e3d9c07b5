//! Runs a dispatcher.

use carobfield::{dispatcher_run, process, settings};
use std::process::ExitCode;

fn main() -> ExitCode {
    process::main(
        "carobfield-dispatcher",
        settings::read_dispatcher,
        |c| c.log,
        |config, tree| Box::pin(dispatcher_run::run(config, tree)),
    )
}
