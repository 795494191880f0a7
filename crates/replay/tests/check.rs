//! Tests of the scheduler of `carobvane-replay check` with a small machine, and of the machines for
//! claims, streams and suspects.

use carobvane_core::clock::ClockTime;
use carobvane_replay::check::{
    CheckOptions, CheckedMachine, History, RegisteredMachine, StepContext,
    machines::{claims::ClaimMachine, streams::StreamMachine, suspects::SuspectMachine},
    run_machine,
};

/// Every node sends numbered messages to node 0, which counts each of them once and ignores
/// duplicates. The planted bug counts duplicates too.
struct CountingMachine {
    bug: Option<CountingBug>,
    counts: Vec<(usize, u64, u32)>,
}

#[derive(Debug, Clone, Copy)]
enum CountingBug {
    CountDuplicates,
}

#[derive(Default)]
struct CountingNode {
    next: u64,
    seen: Vec<(usize, u64)>,
}

impl CheckedMachine for CountingMachine {
    type Node = CountingNode;
    type Message = u64;
    type Bug = CountingBug;

    const NAME: &'static str = "counting";
    const BUGS: &'static [(&'static str, CountingBug)] =
        &[("count-duplicates", CountingBug::CountDuplicates)];
    const NODES: usize = 3;
    const FAULT_FREE_NODES: usize = 1;
    const MAX_ADVANCE_MICROS: u64 = 1_000;

    fn create(bug: Option<CountingBug>) -> CountingMachine {
        CountingMachine { bug, counts: Vec::new() }
    }

    fn start(
        &mut self,
        _: &mut StepContext<'_, u64>,
        previous: Option<CountingNode>,
    ) -> CountingNode {
        previous.unwrap_or_default()
    }

    fn receive(
        &mut self,
        node: &mut CountingNode,
        from: usize,
        message: u64,
        _: &mut StepContext<'_, u64>,
    ) {
        if node.seen.contains(&(from, message)) && self.bug.is_none() {
            return;
        }
        node.seen.push((from, message));
        match self.counts.iter_mut().find(|(node, number, _)| (*node, *number) == (from, message)) {
            Some((_, _, count)) => *count += 1,
            None => self.counts.push((from, message, 1)),
        }
    }

    fn tick(&mut self, _: &mut CountingNode, _: &mut StepContext<'_, u64>) {}

    fn perform_action(&mut self, node: &mut CountingNode, context: &mut StepContext<'_, u64>) {
        node.next += 1;
        context.send(0, node.next);
    }

    fn check_invariant(&self, _: &[Option<CountingNode>], _: ClockTime) -> Result<(), String> {
        match self.counts.iter().find(|(_, _, count)| *count > 1) {
            Some((node, number, count)) => {
                Err(format!("message {number} of node {node} counted {count} times"))
            }
            None => Ok(()),
        }
    }
}

fn options(bug: Option<&str>) -> CheckOptions {
    CheckOptions {
        histories: 200,
        seed: 1,
        threads: 2,
        bug: bug.map(str::to_owned),
        stop_at_first_violation: false,
    }
}

/// Guards against a scheduler that reports violations of a correct machine, or that injects too few
/// faults or overlapping faults.
#[test]
fn correct_machine_has_no_violations() {
    let report = run_machine::<CountingMachine>(&options(None));
    assert_eq!((report.histories, report.violations), (200, 0));
    assert!(
        report.overlapping_histories >= 100,
        "{} histories with overlap",
        report.overlapping_histories
    );
    assert!(report.faults > 1_000, "{} faults", report.faults);
}

/// Guards against a scheduler that misses a planted bug, or that does not shrink the history to the
/// few steps and the kind of fault that cause the violation.
#[test]
fn planted_bug_is_found_and_shrunk() {
    let report = run_machine::<CountingMachine>(&options(Some("count-duplicates")));
    assert!(report.violations > 0);
    let shrunk_history = report.shrunk_history.expect("a violation has a shrunk history");
    let summary = shrunk_history.lines().nth(1).unwrap_or_default();
    let steps = summary.split(' ').next().and_then(|count| count.parse::<usize>().ok());
    assert!(steps.is_some_and(|steps| steps <= 6), "{shrunk_history}");
    assert!(shrunk_history.contains("fault duplicate"), "{shrunk_history}");
}

/// Guards against generated histories that do not depend on their seed alone, and against seeds
/// without an effect.
#[test]
fn same_seed_generates_same_history() {
    assert_eq!(History::generate(7, 4, 1), History::generate(7, 4, 1));
    assert_ne!(History::generate(7, 4, 1), History::generate(8, 4, 1));
}

/// Guards against decision code that violates its invariant, and against a machine that does not
/// detect a violation.
#[test]
fn machines_keep_invariants_and_detect_planted_bugs() {
    // The other machines are tested in `state_machines.rs`.
    let entries = [
        RegisteredMachine::of::<ClaimMachine>(),
        RegisteredMachine::of::<StreamMachine>(),
        RegisteredMachine::of::<SuspectMachine>(),
    ];
    for entry in entries {
        let report = (entry.run)(&options(None));
        assert_eq!(report.violations, 0, "{}", report.shrunk_history.unwrap_or_default());
        for bug in entry.bugs {
            let options = CheckOptions {
                histories: 4_000,
                stop_at_first_violation: true,
                ..options(Some(bug))
            };
            assert!((entry.run)(&options).violations > 0, "{bug} is not detected");
        }
    }
}
