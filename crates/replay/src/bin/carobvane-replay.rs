//! `carobvane-replay`: checks histories of the decision library.

use std::process::ExitCode;

use carobvane_replay::ops;

/// The command line.
mod flags {
    // xflags turns the doc comments into help text and generates undocumented items.
    #![allow(missing_docs)]

    xflags::xflags! {
        /// Replays traces and checks histories.
        cmd replay-flags {
            /// Runs seeded histories of the machines; fails on a violated invariant.
            cmd check {
                /// Histories of each machine (10000).
                optional --histories histories: u64
                /// Seed of the first history (1).
                optional --seed seed: u64
                /// Only this machine.
                optional --machine machine: String
                /// The planted bug to run with, or `list`.
                optional --mutate mutate: String
            }
        }
    }
}

fn main() -> eyre::Result<ExitCode> {
    let held = match flags::ReplayFlags::from_env_or_exit().subcommand {
        flags::ReplayFlagsCmd::Check(flags) => ops::check::check(&ops::check::CheckFlags {
            histories: flags.histories,
            seed: flags.seed,
            machine: flags.machine,
            mutate: flags.mutate,
        })?,
    };
    Ok(if held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
