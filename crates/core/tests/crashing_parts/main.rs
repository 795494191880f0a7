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

/// Returns the conditions under which a request crashes servers, in histories like `around`.
fn conditions(around: Case) -> impl Iterator<Item = Case> {
    let weights_period = Some(Duration::from_secs(5));
    let software = [
        ("new software, half", Releases::Half),
        ("new software, one", Releases::One),
        ("new software, rolling", Releases::Rolling),
    ];
    let software = software.map(|(name, releases)| {
        let condition = Condition::NewSoftware;
        Case { name, condition, releases, ..around }
    });
    let weights =
        Case { name: "odd weights", condition: Condition::OddWeights, weights_period, ..around };
    software.into_iter().chain([weights])
}

/// Returns conditions that nodes cannot know of.
fn hidden_conditions(around: Case) -> impl Iterator<Item = Case> {
    let hidden = [("some servers", Condition::SomeServers), ("some runs", Condition::SomeRuns)];
    hidden.into_iter().map(move |(name, condition)| Case { name, condition, ..around })
}

/// Guards against a part or a request that goes on crashing the servers of some builds because it
/// completes at those of others in between, and against rejecting sound requests that share parts with it.
#[test]
fn request_that_crashes_some_builds_is_rejected() {
    let surroundings = [CALM, Case { repeated: true, ..CALM }];
    let cases: Vec<_> = surroundings.into_iter().flat_map(conditions).collect();
    check_histories(&cases, SEEDS);
}

/// Guards against the same request, whole, that completes now and then at servers of the same build.
#[test]
fn repeated_request_that_crashes_now_and_then_is_rejected() {
    let around = Case { repeated: true, ..CALM };
    check_histories(&hidden_conditions(around).collect::<Vec<_>>(), SEEDS);
}

/// Guards against rejecting a request, or all with a part, long after new software at all servers has
/// mended what crashed them, and against crashing servers of the new software again and again.
#[test]
fn request_that_new_software_has_fixed_is_served_again() {
    let condition = Condition::OldSoftware;
    let releases = Releases::Fix;
    let mut failures = Vec::new();
    for repeated in [false, true] {
        for seed in 0..SEEDS {
            let case = Case { repeated, condition, releases, ..CALM };
            let outcome = Simulation::new(case, seed).play();
            let judged = outcome.fixed_allowed + outcome.fixed_rejected;
            let share = outcome.fixed_allowed as f64 / judged.max(1) as f64;
            if outcome.late_runs > MAX_LATER_RUNS || share < MIN_SOUND_SHARE {
                failures.push(format!("repeated {repeated}, seed {seed}: {outcome:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against crashing servers again and again because each release may have fixed the request.
#[test]
fn request_that_no_release_has_fixed_is_rejected() {
    let around = Case { name: "new software", releases: Releases::Fix, ..CALM };
    let newer = Case { name: "newer software", releases: Releases::Rolling, ..CALM };
    let cases = [around, newer].map(|case| [case, Case { repeated: true, ..case }]);
    check_histories(&cases.concat(), SEEDS);
}

/// Guards against the same with servers that end for other reasons, lost datagrams, restarts and cuts.
#[test]
fn crashing_request_is_rejected_although_it_completes_elsewhere() {
    let surroundings = [
        CALM,
        Case { waves: true, ..CALM },
        Case { loss: 0.2, restarts: true, cuts: true, ..CALM },
        Case { repeated: true, ..CALM },
        Case { repeated: true, waves: true, ..CALM },
        Case { repeated: true, loss: 0.2, restarts: true, cuts: true, ..CALM },
    ];
    let cases = surroundings.into_iter();
    let cases = cases.flat_map(|around| conditions(around).chain(hidden_conditions(around)));
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
                let Case { name, repeated, waves, restarts, .. } = case;
                let around = format!("repeated {repeated}, waves {waves}, restarts {restarts}");
                failures.push(format!("{name}, {around}, seed {seed}: {outcome:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
