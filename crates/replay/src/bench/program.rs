//! The command line of `carobvane-bench`.

use std::{path::PathBuf, process::ExitCode};

use self::flags::{CarobvaneBench, CarobvaneBenchCmd};
use super::{
    decide::{self, DecideOptions},
    path::{self, PathOptions},
    state::{self, StateOptions},
};

/// Smallest number of runs of a figure, and the default.
const MIN_RUNS: usize = 5;
/// Default of `decide --decisions`, in decisions per run.
const DEFAULT_DECISIONS: usize = 50_000;
/// Numbers of nodes that `state` measures by default.
const FLEET_SIZES: [usize; 4] = [9, 50, 200, 780];
/// Directory of the JSON files unless `--json` is given.
const RESULT_DIRECTORY: &str = "target/bench";

mod flags {
    // xflags turns the doc comments into help text and generates undocumented items.
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures the router's decisions and components.
        cmd carobvane-bench {
            /// Measures routing decisions, event ingest and the block index.
            cmd decide {
                /// Runs per figure; at least 5, which is the default.
                optional --runs runs: usize
                /// Decisions per run; by default 50000.
                optional --decisions decisions: usize
                /// Measure only the sizes that have targets, without the growth over sizes.
                optional --targets-only
                /// File to write the figures to as JSON.
                optional --json json: PathBuf
            }
            /// Measures how the cost of membership, plan shares and lists grows with the nodes.
            cmd state {
                /// Runs per figure; at least 5, which is the default.
                optional --runs runs: usize
                /// Measure only this number of nodes; by default 9, 50, 200 and 780.
                optional --nodes nodes: usize
                /// File to write the figures to as JSON.
                optional --json json: PathBuf
            }
            /// Measures the latency that an entry adds to a request, against direct engine calls.
            cmd path {
                /// Runs per figure; at least 5, which is the default.
                optional --runs runs: usize
                /// File to write the figures to as JSON.
                optional --json json: PathBuf
            }
        }
    }
}

/// Functions that read the counters of the process's allocator.
#[derive(Debug, Clone, Copy)]
pub struct AllocatorCounters {
    /// Returns the number of allocations since the start of the process.
    pub allocations: fn() -> usize,
    /// Returns the number of bytes that are allocated now.
    pub live_bytes: fn() -> usize,
}

/// Parses the command line and runs the subcommand. Prints an error and returns a failure code if
/// it fails.
pub fn run(counters: AllocatorCounters) -> ExitCode {
    let flags = match CarobvaneBench::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let result = match flags.subcommand {
        CarobvaneBenchCmd::Decide(flags) => decide::run(&DecideOptions {
            runs: run_count(flags.runs),
            decisions: flags.decisions.unwrap_or(DEFAULT_DECISIONS),
            json: json_path(flags.json, "decide"),
            targets_only: flags.targets_only,
            allocations: counters.allocations,
        }),
        CarobvaneBenchCmd::State(flags) => state::run(&StateOptions {
            runs: run_count(flags.runs),
            sizes: flags.nodes.map_or(FLEET_SIZES.to_vec(), |nodes| vec![nodes]),
            json: json_path(flags.json, "state"),
            live_bytes: counters.live_bytes,
        }),
        CarobvaneBenchCmd::Path(flags) => path::run(&PathOptions {
            runs: run_count(flags.runs),
            json: json_path(flags.json, "path"),
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_count(given: Option<usize>) -> usize {
    given.unwrap_or(MIN_RUNS).max(MIN_RUNS)
}

fn json_path(given: Option<PathBuf>, name: &str) -> PathBuf {
    given.unwrap_or_else(|| PathBuf::from(RESULT_DIRECTORY).join(format!("{name}.json")))
}
