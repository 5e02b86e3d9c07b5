//! Runs the stand-ins of the platform, the engines and the plain services.

use carobfield::process;
use carobfield_standin::platform;
use std::process::ExitCode;

fn main() -> ExitCode {
    process::main(
        "carobfield-standin",
        platform::read,
        |c| c.log,
        |config, tree| Box::pin(platform::run_process(config, tree)),
    )
}
