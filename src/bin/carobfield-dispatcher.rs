//! Runs a dispatcher.

use carobfield::{dispatcher, process, settings};
use std::process::ExitCode;

fn main() -> ExitCode {
    process::main(
        "carobfield-dispatcher",
        settings::read_dispatcher,
        |c| c.log,
        |config, tree| Box::pin(dispatcher::run(config, tree)),
    )
}
