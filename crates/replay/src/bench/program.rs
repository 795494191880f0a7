//! The command line of `carobvane-bench`.

use std::{path::PathBuf, process::ExitCode};

use self::flags::{CarobvaneBench, CarobvaneBenchCmd};
use super::{
    decide::{self, DecideOptions},
    path::{self, PathOptions},
};

/// Fewest runs of a figure.
const MIN_RUNS: usize = 5;
/// Default of `decide --decisions`.
const DEFAULT_DECISIONS: usize = 50_000;
/// Folder of the JSON files.
const RESULT_FOLDER: &str = "target/bench";

mod flags {
    // xflags turns the doc comments into help text and generates undocumented items.
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures the router's decisions and components.
        cmd carobvane-bench {
            /// Measures routing decisions, event ingest and the block index.
            cmd decide {
                /// Runs of each figure; at least 5.
                optional --runs runs: usize
                /// Decisions of each run.
                optional --decisions decisions: usize
                /// Only the figures that have a target, without the slopes.
                optional --targets-only
                /// File for the figures as JSON.
                optional --json json: PathBuf
            }
            /// Measures what an entry adds to a request, paired with direct calls to an engine.
            cmd path {
                /// Runs of each figure; at least 5.
                optional --runs runs: usize
                /// File for the figures as JSON.
                optional --json json: PathBuf
            }
        }
    }
}

/// Runs the program; `allocations` counts the allocations of the process so far.
pub fn run(allocations: fn() -> usize) -> ExitCode {
    let flags = match CarobvaneBench::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let result = match flags.subcommand {
        CarobvaneBenchCmd::Decide(flags) => decide::run(&DecideOptions {
            runs: runs(flags.runs),
            decisions: flags.decisions.unwrap_or(DEFAULT_DECISIONS),
            json: json(flags.json, "decide"),
            targets_only: flags.targets_only,
            allocations,
        }),
        CarobvaneBenchCmd::Path(flags) => {
            path::run(&PathOptions { runs: runs(flags.runs), json: json(flags.json, "path") })
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn runs(given: Option<usize>) -> usize {
    given.unwrap_or(MIN_RUNS).max(MIN_RUNS)
}

fn json(given: Option<PathBuf>, name: &str) -> PathBuf {
    given.unwrap_or_else(|| PathBuf::from(RESULT_FOLDER).join(format!("{name}.json")))
}
