//! Measures how the time of a check grows with the number of servers.
//!
//! Run with `cargo bench -p carobvane-lists`. Checking ten times as many servers should take about
//! ten times as long. It took about a hundred times as long when the lines were counted for each
//! position.

use std::{
    fmt::Write,
    time::{Duration, Instant},
};

use carobvane_lists::{ListFiles, check_files};

/// Number of servers in the small fleet.
const SMALL_FLEET: u32 = 1_200;
/// Number of servers in the large fleet.
const LARGE_FLEET: u32 = 12_000;
/// Number of runs per fleet.
const RUNS: usize = 7;

fn fleet_with_servers(servers: u32) -> ListFiles {
    let mut fleet = String::from(
        "data_centres = [\"a\"]\n[weights.m]\nversion = 1\n[entry.e]\nnode = 1\n\
         http = \"10.0.0.1:1\"\npeer = \"10.0.0.1:2\"\ndata_centre = \"a\"\n",
    );
    for number in 0..servers {
        let (high, low) = (number / 250, number % 250);
        let _ = write!(
            fleet,
            "[server.engine-{number:05}]\nmodel = \"m\"\naddress = \"10.1.{high}.{low}:8000\"\n\
             data_centre = \"a\"\nslots = 32\n"
        );
    }
    ListFiles { plans: Some(String::new()), grants: Some(String::new()), fleet: Some(fleet) }
}

/// Returns the median, shortest and longest time of a check.
fn measure(texts: &ListFiles) -> [Duration; 3] {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            let checked = check_files(texts);
            let elapsed = start.elapsed();
            assert_eq!(checked.findings, []);
            elapsed
        })
        .collect();
    times.sort();
    [times[RUNS / 2], times[0], times[RUNS - 1]]
}

fn main() {
    let small = measure(&fleet_with_servers(SMALL_FLEET));
    let large = measure(&fleet_with_servers(LARGE_FLEET));
    for (servers, [median, shortest, longest]) in [(SMALL_FLEET, small), (LARGE_FLEET, large)] {
        println!("{servers} servers: median {median:?}, from {shortest:?} to {longest:?}");
    }
    println!("ratio of medians: {:.1}", large[0].as_secs_f64() / small[0].as_secs_f64());
}
