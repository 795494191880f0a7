//! The program `carobvane-replay`: its flags and the choice of the command.

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
        /// Replays traces and scenarios, checks histories, compares policies.
        cmd carobvane-replay {
            /// Runs seeded histories of the decision code and checks its invariants.
            cmd check {
                /// Histories of each machine.
                optional --histories count: u64
                /// Seed of the first history.
                optional --seed seed: u64
                /// Only this machine.
                optional --machine name: String
                /// The planted bug to run with, or `list`.
                optional --mutate bug: String
            }
            /// Compares routing policies over simulated engines.
            cmd compare {
                /// `irazabal` or `kelani`.
                required --deployment name: String
                /// Plays one seed of shorter traces.
                optional --quick
                /// Number of seeds (5; 1 with `--quick`).
                optional --seeds count: usize
                /// Only this policy; may be repeated.
                repeated --policy name: String
                /// The folder for the report (`target/compare`).
                optional --output folder: PathBuf
            }
            /// Runs scenario files; fails if an expectation does not hold.
            cmd run {
                /// Scenario files.
                repeated files: PathBuf
                /// Lowest level of the log lines on standard error (`error`).
                optional --log-level level: LevelFilter
            }
            /// Writes a seeded trace.
            cmd generate {
                /// `irazabal` or `kelani`.
                required --deployment name: String
                /// Seed of all random choices.
                optional --seed seed: u64
                /// Length of the trace in seconds.
                optional --seconds seconds: u64
                /// Factor on the deployment's rate.
                optional --rate-factor factor: f64
                /// The file to write; standard output if absent.
                optional --output file: PathBuf
            }
        }
    }
}

/// Starts logging to standard error; without a level, messages of single requests are left out.
fn start_logging(level: Option<LevelFilter>) -> Result<()> {
    carobvane_host::logging::start_logging(level.unwrap_or(LevelFilter::Error))
}

/// Runs the program. The exit code is 1 when an expectation or an invariant does not hold.
pub fn run() -> Result<ExitCode> {
    let held = match flags::CarobvaneReplay::from_env_or_exit().subcommand {
        flags::CarobvaneReplayCmd::Check(flags) => check::check(&CheckFlags {
            histories: flags.histories,
            seed: flags.seed,
            machine: flags.machine,
            mutate: flags.mutate,
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
            let table = actix_rt::System::new().block_on(compare::compare(&options))?;
            println!("{table}");
            true
        }
        flags::CarobvaneReplayCmd::Run(flags) => {
            start_logging(flags.log_level)?;
            actix_rt::System::new().block_on(run::run(&flags.files))?
        }
        flags::CarobvaneReplayCmd::Generate(flags) => {
            let requests = generate::generate(&GenerateOptions {
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
    Ok(if held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
