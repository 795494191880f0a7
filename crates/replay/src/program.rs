//! The program `carobvane-replay`: its flags and the choice of the command.

use std::process::ExitCode;

use eyre::Result;

use crate::ops::{
    check::{self, CheckFlags},
    generate::{self, GenerateOptions},
};

mod flags {
    use std::path::PathBuf;

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

/// Runs the program. The exit code is 1 when an expectation or an invariant does not hold.
pub fn run() -> Result<ExitCode> {
    let held = match flags::CarobvaneReplay::from_env_or_exit().subcommand {
        flags::CarobvaneReplayCmd::Check(flags) => check::check(&CheckFlags {
            histories: flags.histories,
            seed: flags.seed,
            machine: flags.machine,
            mutate: flags.mutate,
        })?,
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
