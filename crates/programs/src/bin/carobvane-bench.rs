//! Benchmarks of the router.

use std::{alloc::System, process::ExitCode};

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocations, because a decision must make none once the router is warm.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    carobvane_replay::bench::program::run(|| {
        let stats = ALLOCATOR.stats();
        stats.allocations + stats.reallocations
    })
}
