//! Requests that crash servers, whole or with a prompt part that does, at a simulated fleet of nodes.

mod cases;
mod simulation;

use std::time::Duration;

use crate::{
    cases::{CALM, CASES, Case, Condition, Releases},
    simulation::Simulation,
};

/// Number of requests that may reach servers after the last allowed crash and the time to settle.
const MAX_LATER_RUNS: usize = 3;
/// Share of the sound requests that must be allowed to run while the others keep coming.
const MIN_SOUND_SHARE: f64 = 0.5;
/// Number of histories of each case.
const SEEDS: u64 = 10;
/// The same where the crashes depend on a condition, of which there are more cases.
const CONDITION_SEEDS: u64 = 3;

/// Guards against a prompt part that goes on crashing servers, at any node, and against rejecting
/// sound requests that share parts with it.
#[test]
fn crashing_part_is_rejected_and_the_parts_beside_it_are_served() {
    check_histories(&CASES, SEEDS);
}

/// Guards against a part or a request that goes on crashing servers because it completes at others in
/// between, or now and then, and against rejecting sound requests that share parts with it.
#[test]
fn crashing_request_is_rejected_although_it_completes_elsewhere() {
    let weights_period = Some(Duration::from_secs(5));
    let conditions = [
        Case {
            name: "new software, half",
            condition: Condition::NewSoftware,
            releases: Releases::Half,
            ..CALM
        },
        Case {
            name: "new software, one",
            condition: Condition::NewSoftware,
            releases: Releases::One,
            ..CALM
        },
        Case {
            name: "new software, rolling",
            condition: Condition::NewSoftware,
            releases: Releases::Rolling,
            ..CALM
        },
        Case { name: "odd weights", condition: Condition::OddWeights, weights_period, ..CALM },
        Case { name: "some servers", condition: Condition::SomeServers, ..CALM },
        Case { name: "some runs", condition: Condition::SomeRuns, ..CALM },
    ];
    let surroundings = [
        CALM,
        Case { waves: true, ..CALM },
        Case { loss: 0.2, restarts: true, cuts: true, ..CALM },
        Case { repeated: true, ..CALM },
        Case { repeated: true, waves: true, ..CALM },
        Case { repeated: true, loss: 0.2, restarts: true, cuts: true, ..CALM },
    ];
    let cases = surroundings.iter().flat_map(|around| {
        conditions.iter().map(|case| {
            let Case { name, condition, releases, weights_period, .. } = *case;
            Case { name, condition, releases, weights_period, ..*around }
        })
    });
    check_histories(&cases.collect::<Vec<_>>(), CONDITION_SEEDS);
}

fn check_histories(cases: &[Case], seeds: u64) {
    let mut failures = Vec::new();
    for &case in cases {
        for seed in 0..seeds {
            let outcome = Simulation::new(case, seed).play();
            let judged = outcome.sound_allowed + outcome.sound_rejected;
            let share = outcome.sound_allowed as f64 / judged.max(1) as f64;
            let is_served = judged < 20 || share >= MIN_SOUND_SHARE;
            if outcome.late_runs > MAX_LATER_RUNS || !is_served {
                failures.push(format!("{case:?}, seed {seed}: {outcome:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
