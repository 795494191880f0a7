//! Test of the memory that metrics take.

use std::{fs, thread, time::Duration};

use carobvane_host::telemetry;

/// Number of values in each round. They take 16 MB as long as they are kept.
const VALUES: usize = 1_000_000;
/// Longer than the time between two folds.
const ROUND_PAUSE: Duration = Duration::from_secs(7);
/// The second round reuses the memory of the first one.
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
    for _ in 0..2 {
        (0..VALUES).for_each(|_| histogram.record(1.0));
        sizes.push(resident_kilobytes());
        thread::sleep(ROUND_PAUSE);
    }
    let growth = sizes[1].saturating_sub(sizes[0]);
    assert!(growth < MAX_GROWTH_KB, "resident kilobytes after each round: {sizes:?}");
}
