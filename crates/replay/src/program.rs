//! The program `carobvane-replay`: parses its flags and runs the requested command.

use std::process::ExitCode;

use eyre::Result;
use log::LevelFilter;

use crate::commands::{
    check::{self, CheckFlags},
    compare::{self, CompareOptions},
    generate::{self, GenerateOptions},
    run,
};

mod flags {
    use std::path::PathBuf;

    use log::LevelFilter;

    xflags::xflags! {
        /// Generates traces, runs scenarios, compares routing policies and checks state machines.
        cmd carobvane-replay {
            /// Runs seeded histories of the state machines and checks their invariants.
            cmd check {
                /// Number of histories for each state machine (10000).
                optional --histories count: u64
                /// Seed of the first history (1).
                optional --seed seed: u64
                /// Runs only this state machine.
                optional --machine name: String
                /// Name of a planted bug to enable, or `list` to print all names.
                optional --mutate bug: String
            }
            /// Compares routing policies on simulated engines.
            cmd compare {
                /// Name of the deployment: `irazabal` or `kelani`.
                required --deployment name: String
                /// Replays only one seed and shorter traces.
                optional --quick
                /// Number of seeds (5; 1 with `--quick`).
                optional --seeds count: usize
                /// Compares only this policy; may be repeated.
                repeated --policy name: String
                /// Folder for the report (`target/compare`).
                optional --output folder: PathBuf
            }
            /// Runs scenario files. The exit code is 1 if an expectation does not hold.
            cmd run {
                /// Scenario files to run.
                repeated files: PathBuf
                /// Least severe level that is logged to standard error (`error`).
                optional --log-level level: LevelFilter
            }
            /// Generates a trace from a seed.
            cmd generate {
                /// Name of the deployment: `irazabal` or `kelani`.
                required --deployment name: String
                /// Seed of all random choices (1).
                optional --seed seed: u64
                /// Length of the trace in seconds (60).
                optional --seconds seconds: u64
                /// Factor on the deployment's request rate (1).
                optional --rate-factor factor: f64
                /// File to write; standard output if absent.
                optional --output file: PathBuf
            }
        }
    }
}

/// Starts logging to standard error. The default level is `error`, which leaves out the messages
/// about single requests.
fn start_logging(level: Option<LevelFilter>) -> Result<()> {
    carobvane_host::logging::start_logging(level.unwrap_or(LevelFilter::Error))
}

/// Runs the program. The exit code is 1 if an expectation or an invariant does not hold.
///
/// # Errors
///
/// The requested command failed.
pub fn run() -> Result<ExitCode> {
    let success = match flags::CarobvaneReplay::from_env_or_exit().subcommand {
        flags::CarobvaneReplayCmd::Check(flags) => check::check_machines(&CheckFlags {
            histories: flags.histories,
            seed: flags.seed,
            machine: flags.machine,
            planted_bug: flags.mutate,
        })?,
        flags::CarobvaneReplayCmd::Compare(flags) => {
            let options = CompareOptions {
                deployment: flags.deployment,
                quick: flags.quick,
                seeds: flags.seeds,
                policies: flags.policy,
                output: flags.output.unwrap_or_else(|| "target/compare".into()),
            };
            start_logging(None)?;
            let table = actix_rt::System::new().block_on(compare::compare_policies(&options))?;
            println!("{table}");
            true
        }
        flags::CarobvaneReplayCmd::Run(flags) => {
            start_logging(flags.log_level)?;
            actix_rt::System::new().block_on(run::run_scenarios(&flags.files))?
        }
        flags::CarobvaneReplayCmd::Generate(flags) => {
            let requests = generate::write_trace(&GenerateOptions {
                deployment: flags.deployment,
                seed: flags.seed.unwrap_or(1),
                seconds: flags.seconds,
                rate_factor: flags.rate_factor,
                output: flags.output,
            })?;
            eprintln!("generated {requests} requests");
            true
        }
    };
    Ok(if success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
