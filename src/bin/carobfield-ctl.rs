//! Command line for operators: checks and applies the catalogue, and shows the fleet.

use carobfield::ctl::{self, CtlOptions, EXIT_STORE};
use gumdrop::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = CtlOptions::parse_args_default_or_exit();
    if options.version {
        println!("carobfield-ctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("carobfield-ctl: {e}");
            return ExitCode::from(EXIT_STORE);
        }
    };
    match runtime.block_on(ctl::run(&options)) {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("carobfield-ctl: {e:?}");
            ExitCode::from(e.current_context().code())
        }
    }
}
