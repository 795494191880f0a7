//! The command line of `carobvane-bench`.

use std::{path::PathBuf, process::ExitCode};

use self::flags::{CarobvaneBench, CarobvaneBenchCmd};
use super::{
    decide::{self, DecideOptions},
    path::{self, PathOptions},
    state::{self, StateOptions},
};

/// Fewest runs of a figure.
const MIN_RUNS: usize = 5;
/// Default of `decide --decisions`.
const DEFAULT_DECISIONS: usize = 50_000;
/// Numbers of nodes that `state` measures.
const FLEET_SIZES: [usize; 4] = [9, 50, 200, 780];
/// Folder of the JSON files.
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
                /// Runs of each figure; at least 5.
                optional --runs runs: usize
                /// Decisions of each run.
                optional --decisions decisions: usize
                /// Only the figures that have a target, without the slopes.
                optional --targets-only
                /// File for the figures as JSON.
                optional --json json: PathBuf
            }
            /// Measures membership, shares and lists over the number of nodes.
            cmd state {
                /// Runs of each figure; at least 5.
                optional --runs runs: usize
                /// Number of nodes; default 9, 50, 200 and 780.
                optional --nodes nodes: usize
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

/// Counters of the process's allocator.
#[derive(Debug, Clone, Copy)]
pub struct AllocatorCounters {
    /// Allocations so far.
    pub allocations: fn() -> usize,
    /// Bytes held now.
    pub live_bytes: fn() -> usize,
}

/// Runs the program.
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
