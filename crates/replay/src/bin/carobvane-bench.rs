//! Benchmarks of the router.

use std::{alloc::System, path::PathBuf, process::ExitCode};

use self::flags::{CarobvaneBench, CarobvaneBenchCmd};
use carobvane_replay::bench::{
    decide::{self, DecideOptions},
    state::{self, StateOptions},
};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocations, because a decision must make none once the router is warm.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Fewest runs of a figure.
const MIN_RUNS: usize = 5;

// The macro generates undocumented items.
#[allow(missing_docs)]
mod flags {
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
        }
    }
}

fn main() -> ExitCode {
    let flags = match CarobvaneBench::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let result = match flags.subcommand {
        CarobvaneBenchCmd::Decide(flags) => decide::run(&DecideOptions {
            runs: flags.runs.unwrap_or(MIN_RUNS).max(MIN_RUNS),
            decisions: flags.decisions.unwrap_or(50_000),
            json: flags.json.unwrap_or_else(|| PathBuf::from("target/bench/decide.json")),
            allocations: || {
                let stats = ALLOCATOR.stats();
                stats.allocations + stats.reallocations
            },
        }),
        CarobvaneBenchCmd::State(flags) => state::run(&StateOptions {
            runs: flags.runs.unwrap_or(MIN_RUNS).max(MIN_RUNS),
            sizes: flags.nodes.map_or(vec![9, 50, 200, 780], |nodes| vec![nodes]),
            json: flags.json.unwrap_or_else(|| PathBuf::from("target/bench/state.json")),
            live_bytes: || {
                let stats = ALLOCATOR.stats();
                stats.bytes_allocated - stats.bytes_deallocated
            },
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
