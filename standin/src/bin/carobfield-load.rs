//! Load generator and experiment tool: runs scenarios on deployments of separate processes.

use carobfield_standin::{
    experiment::{self, Outcome, POLICIES, Policy},
    overhead::{self, Sizes},
    report,
    scenario::{self, Scenario},
};
use futures_util::future::join_all;
use gumdrop::Options;
use std::{path::PathBuf, process::ExitCode, time::Duration};

/// Exit code for invalid options or scenarios.
const EXIT_USAGE: u8 = 2;

/// Command line.
#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "show this help and stop")]
    help: bool,
    #[options(help = "show the version and stop", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<LoadCommand>,
}

/// What to do.
#[derive(Debug, Options)]
enum LoadCommand {
    #[options(help = "run a scenario under one policy")]
    Run(RunOptions),
    #[options(help = "run the baselines and the policy on the same arrivals, side by side")]
    Compare(RunOptions),
    #[options(help = "measure the overhead of control at one size")]
    Slope(SlopeOptions),
    #[options(help = "measure the overhead of forwarding a request")]
    Path(PathOptions),
}

/// Options of `slope`.
#[derive(Debug, Options)]
struct SlopeOptions {
    #[options(help = "show this help and stop")]
    help: bool,
    #[options(help = "entry VMs", default = "6", no_short)]
    entries: u8,
    #[options(help = "engines", default = "12", no_short)]
    engines: u8,
    #[options(help = "adapters", default = "3000", no_short)]
    adapters: u32,
    #[options(help = "requests per second", default = "0", no_short)]
    rate: f64,
    #[options(help = "seconds measured", default = "10", no_short)]
    seconds: u64,
}

/// Options of `path`.
#[derive(Debug, Options)]
struct PathOptions {
    #[options(help = "show this help and stop")]
    help: bool,
    #[options(help = "requests per second", default = "200", no_short)]
    rate: f64,
    #[options(help = "seconds measured", default = "15", no_short)]
    seconds: u64,
}

/// Options of a run.
#[derive(Debug, Options)]
struct RunOptions {
    #[options(help = "show this help and stop")]
    help: bool,
    #[options(help = "scenario file (INI)", meta = "FILE", required)]
    scenario: PathBuf,
    #[options(help = "seed of the arrivals", meta = "N", default = "1")]
    seed: u64,
    #[options(
        help = "policy of `run`; `compare` takes a list",
        meta = "NAMES",
        no_short
    )]
    policy: Option<String>,
    #[options(
        help = "run the policies concurrently, each on its own deployment",
        no_short
    )]
    together: bool,
    #[options(help = "print the figures as JSON")]
    json: bool,
    #[options(help = "write a record of every request", meta = "FILE", no_short)]
    history: Option<PathBuf>,
    #[options(help = "plot the load stalls as SVG", meta = "FILE", no_short)]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = LoadOptions::parse_args_default_or_exit();
    if options.version {
        println!("carobfield-load {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let (run, default) = match &options.command {
        Some(LoadCommand::Run(run)) => (run, "policy"),
        Some(LoadCommand::Compare(run)) => (run, ""),
        Some(LoadCommand::Slope(slope)) => return exit_code(measure_slope(slope)),
        Some(LoadCommand::Path(path)) => return exit_code(measure_path(path)),
        None => {
            eprintln!("carobfield-load: no command given; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let scenario = match scenario::read(&run.scenario) {
        Ok(scenario) => scenario,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let policies = select_policies(run.policy.as_deref().unwrap_or(default));
    if policies.is_empty() {
        let names: Vec<&str> = POLICIES.iter().map(|p| p.name).collect();
        eprintln!(
            "carobfield-load: --policy must name one or more of {}",
            names.join(", ")
        );
        return ExitCode::from(EXIT_USAGE);
    }
    exit_code(run_policies(run, &scenario, &policies))
}

fn exit_code(result: Result<(), Box<dyn std::error::Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("carobfield-load: {e}");
            ExitCode::FAILURE
        }
    }
}

fn measure_slope(options: &SlopeOptions) -> Result<(), Box<dyn std::error::Error>> {
    let sizes = Sizes {
        entries: options.entries,
        engines: options.engines,
        adapters: options.adapters,
        rate: options.rate,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let window = Duration::from_secs(options.seconds);
    let usage = runtime.block_on(overhead::measure(sizes, window));
    println!("{}", serde_json::to_string(&usage)?);
    Ok(())
}

fn measure_path(options: &PathOptions) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let length = Duration::from_secs(options.seconds);
    let cost = runtime.block_on(overhead::path_cost(options.rate, length));
    println!("{}", serde_json::to_string_pretty(&cost)?);
    Ok(())
}

/// Returns the policies in a comma-separated list of names, or all policies for an empty list.
fn select_policies(names: &str) -> Vec<&'static Policy> {
    let is_selected = |p: &&Policy| names.is_empty() || names.split(',').any(|n| n == p.name);
    POLICIES.iter().filter(is_selected).collect()
}

fn run_policies(
    options: &RunOptions,
    scenario: &Scenario,
    policies: &[&Policy],
) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let runs = policies
        .iter()
        .map(|policy| experiment::run(scenario, policy, options.seed));
    let outcomes: Vec<Outcome> = if options.together {
        runtime.block_on(join_all(runs))
    } else {
        runs.map(|run| runtime.block_on(run)).collect()
    };
    let figures: Vec<_> = outcomes.iter().map(|o| o.figures.clone()).collect();
    if options.json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
    } else {
        print!("{}", report::table(&figures));
        if figures.len() > 1 {
            print!("{}", report::ratios(&figures));
        }
    }
    if let (Some(path), Some(last)) = (&options.history, outcomes.last()) {
        experiment::write_history(path, last)?;
    }
    if let Some(path) = &options.plot {
        report::plot(path, &outcomes)?;
    }
    Ok(())
}
