//! Replays traces and scenarios, compares routing policies and generates traces.

use carobvane_replay::ops::generate::{self, GenerateOptions};
use eyre::Result;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Replays traces and scenarios against stated outcomes.
        cmd carobvane-replay {
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

fn main() -> Result<()> {
    match flags::CarobvaneReplay::from_env_or_exit().subcommand {
        flags::CarobvaneReplayCmd::Generate(flags) => {
            let requests = generate::generate(&GenerateOptions {
                deployment: flags.deployment,
                seed: flags.seed.unwrap_or(1),
                seconds: flags.seconds,
                rate_factor: flags.rate_factor,
                output: flags.output,
            })?;
            eprintln!("generated {requests} requests");
            Ok(())
        }
    }
}
