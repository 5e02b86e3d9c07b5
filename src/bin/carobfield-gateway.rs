//! Runs a gateway.

use carobfield::{gateway, process, settings};
use std::process::ExitCode;

fn main() -> ExitCode {
    process::main(
        "carobfield-gateway",
        settings::read_gateway,
        |c| c.log,
        |config, tree| Box::pin(gateway::run(config, tree)),
    )
}
