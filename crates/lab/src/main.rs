//! Measurements of the system against itself and against simple baselines, on loopback.
//!
//! Each subcommand prints tables on standard output. Figures are to be compared as ratios
//! within one run, or as slopes over several sizes. This binary is not part of a release.

mod decide;
mod experiment;
mod idle;
mod measure;
mod path;
mod slopes;
mod table;
mod writes;

use std::process::ExitCode;

use pico_args::Arguments;

const HELP: &str = "\
lab: measurements

  decide                 nanoseconds for each ticket against the number that waits
  path                   latency through an entry VM against calling the stand-in directly
  idle                   control bytes and processor time of four idle entry VMs
  writes                 claims and edits through the replicated log, and recovery
  slopes                 state, messages and time against size, for docs/CAPACITY.md
  measure FILE --seed N [--policy P] [--json]
                         one experiment; --policy all runs every policy";

fn main() -> ExitCode {
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let mut args = Arguments::from_env();
    let command = args.subcommand().ok().flatten().unwrap_or_default();
    let result = match command.as_str() {
        "decide" => {
            decide::run();
            Ok(())
        }
        "path" => path::run(),
        "idle" => idle::run(),
        "writes" => writes::run(),
        "slopes" => {
            slopes::run();
            Ok(())
        }
        "measure" => measure::run(&mut args),
        _ => Err(HELP.to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an asynchronous measurement on a new multi-threaded runtime.
fn block_on<T>(measurement: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    tokio::runtime::Runtime::new().map_err(|e| e.to_string())?.block_on(measurement)
}
