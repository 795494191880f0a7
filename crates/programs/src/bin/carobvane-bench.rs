//! Benchmarks the router's decisions and components.

use std::{alloc::System, process::ExitCode};

use carobvane_replay::bench::program::AllocatorCounters;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocations, because a routing decision must not allocate once the router is warmed up.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    carobvane_replay::bench::program::run(AllocatorCounters {
        allocations: || {
            let stats = ALLOCATOR.stats();
            stats.allocations + stats.reallocations
        },
        live_bytes: || {
            let stats = ALLOCATOR.stats();
            stats.bytes_allocated - stats.bytes_deallocated
        },
    })
}
