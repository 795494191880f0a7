//! Test of the memory that metrics take.

use std::{fs, thread, time::Duration};

use carobvane_host::telemetry;

/// Number of values in each round. They take 16 MB as long as they are kept.
const VALUES: usize = 1_000_000;
/// Pause after each round. Longer than the time between two folds.
const ROUND_PAUSE: Duration = Duration::from_secs(7);
/// Maximum number of rounds. A fold may take longer than the pause, so that a round may still need new memory.
const ROUNDS: usize = 6;
/// A round needs less new memory than this once values of earlier ones are folded.
const MAX_GROWTH_KB: usize = 4_000;

fn resident_kilobytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    line.trim_end_matches("kB").trim().parse().expect("a number")
}

/// Guards against memory that grows with each request while nobody reads the metrics.
#[test]
fn metrics_that_nobody_reads_take_bounded_memory() {
    telemetry::start_metrics();
    let histogram = metrics::histogram!("test_seconds");
    let mut sizes = Vec::new();
    let has_stopped = |sizes: &[usize]| {
        sizes.windows(2).any(|sizes| sizes[1].saturating_sub(sizes[0]) < MAX_GROWTH_KB)
    };
    while sizes.len() < ROUNDS && !has_stopped(&sizes) {
        (0..VALUES).for_each(|_| histogram.record(1.0));
        sizes.push(resident_kilobytes());
        thread::sleep(ROUND_PAUSE);
    }
    assert!(has_stopped(&sizes), "resident kilobytes after each round: {sizes:?}");
}
