//! Tests of the machines for plan shares, lists and orders.

use carobvane_replay::check::{
    CheckOptions, RegisteredMachine,
    machines::{lists::ListsMachine, orders::OrdersMachine, shares::SharesMachine},
};

/// Number of histories within which each planted bug must be found.
const SEARCHED_HISTORIES: u64 = 10_000;

fn options(histories: u64, seed: u64, bug: Option<&str>) -> CheckOptions {
    let stop_at_first_violation = bug.is_some();
    CheckOptions {
        histories,
        seed,
        threads: 4,
        bug: bug.map(str::to_owned),
        stop_at_first_violation,
    }
}

/// Guards against decision code that violates its invariant, and against a machine that does not
/// detect a violation. The search for each bug starts at a seed shortly before a history that
/// violates the invariant, which keeps the test short.
#[test]
fn machines_keep_invariants_and_detect_planted_bugs() {
    struct BugCase {
        bug: &'static str,
        seed: u64,
    }
    let shares = [("no-quarantine", 265), ("lend-and-keep", 1), ("false-confirm", 530)];
    let lists = [("take-any", 645), ("blind-apply", 1), ("no-write-back", 1)];
    let orders = [("two-holders", 195), ("unseen-load", 180)];
    let case = |(bug, seed): &(&'static str, u64)| BugCase { bug, seed: *seed };
    let machines = [
        (RegisteredMachine::of::<SharesMachine>(), shares.iter().map(case).collect::<Vec<_>>()),
        (RegisteredMachine::of::<ListsMachine>(), lists.iter().map(case).collect()),
        (RegisteredMachine::of::<OrdersMachine>(), orders.iter().map(case).collect()),
    ];
    for (machine, bugs) in machines {
        let report = (machine.run)(&options(150, 1, None));
        assert_eq!(report.violations, 0, "{}", report.shrunk_history.unwrap_or_default());
        assert_eq!(machine.bugs, bugs.iter().map(|case| case.bug).collect::<Vec<_>>());
        for BugCase { bug, seed } in bugs {
            let report = (machine.run)(&options(SEARCHED_HISTORIES, seed, Some(bug)));
            assert!(report.violations > 0, "{} does not detect {bug}", machine.name);
        }
    }
}
