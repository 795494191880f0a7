//! Runs many histories of a machine on several threads and shrinks a history that violates the
//! invariant.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use super::{CheckedMachine, History, HistoryOutcome, run_history};

/// Which histories to run, and how.
#[derive(Debug, Clone)]
pub struct CheckOptions {
    /// Number of histories to run.
    pub histories: u64,
    /// Seed of the first history. Each further history has the next higher seed.
    pub seed: u64,
    /// Number of worker threads; 0 counts as 1.
    pub threads: usize,
    /// Name of the planted bug to run with. The machine runs without a bug if it has none of this
    /// name.
    pub bug: Option<String>,
    /// Whether to start no further history after a violation.
    pub stop_at_first_violation: bool,
}

/// Results of all histories of one machine.
#[derive(Debug, Clone, Default)]
pub struct MachineReport {
    /// The machine's name.
    pub machine: &'static str,
    /// Number of histories that were run.
    pub histories: u64,
    /// Number of histories in which faults of two different kinds are active at the same step.
    pub overlapping_histories: u64,
    /// Number of steps in all histories, without the settling at the end.
    pub steps: u64,
    /// Number of faults that took effect in all histories.
    pub faults: u64,
    /// Number of histories that violated the invariant.
    pub violations: u64,
    /// Description of the violating history with the lowest seed, after shrinking. `None` if no
    /// history violated the invariant.
    pub shrunk_history: Option<String>,
}

/// A machine that the command line can run.
pub struct RegisteredMachine {
    /// The machine's name on the command line.
    pub name: &'static str,
    /// Names of the machine's planted bugs.
    pub bugs: Vec<&'static str>,
    /// Runs histories of the machine.
    pub run: fn(&CheckOptions) -> MachineReport,
}

impl RegisteredMachine {
    /// Registers machine `M`.
    pub fn of<M: CheckedMachine>() -> RegisteredMachine {
        RegisteredMachine {
            name: M::NAME,
            bugs: M::BUGS.iter().map(|(name, _)| *name).collect(),
            run: run_machine::<M>,
        }
    }
}

/// Runs histories of machine `M` and describes the violation with the lowest seed.
pub fn run_machine<M: CheckedMachine>(options: &CheckOptions) -> MachineReport {
    let bug = options
        .bug
        .as_deref()
        .and_then(|wanted| M::BUGS.iter().find(|(name, _)| *name == wanted).map(|(_, bug)| *bug));
    let next_history = AtomicU64::new(0);
    let total = Mutex::new((MachineReport { machine: M::NAME, ..Default::default() }, None));
    thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                let (report, lowest_seed) = run_worker::<M>(options, bug, &next_history);
                let mut total = total.lock().expect("no worker panics while it holds the lock");
                total.0.histories += report.histories;
                total.0.overlapping_histories += report.overlapping_histories;
                total.0.steps += report.steps;
                total.0.faults += report.faults;
                total.0.violations += report.violations;
                total.1 = [total.1, lowest_seed].into_iter().flatten().min();
            });
        }
    });
    let (mut report, lowest_seed) = total.into_inner().expect("workers have ended");
    report.shrunk_history = lowest_seed.map(|seed| {
        let history = History::generate(seed, M::NODES, M::FAULT_FREE_NODES);
        describe_violation::<M>(&shrink::<M>(history, bug), bug)
    });
    report
}

/// Runs histories, whose numbers it takes from the shared counter `next_history`, until none is
/// left. Returns the totals and the lowest seed of a violation.
fn run_worker<M: CheckedMachine>(
    options: &CheckOptions,
    bug: Option<M::Bug>,
    next_history: &AtomicU64,
) -> (MachineReport, Option<u64>) {
    let mut report = MachineReport::default();
    let mut lowest_seed = None;
    loop {
        let number = next_history.fetch_add(1, Ordering::Relaxed);
        if number >= options.histories {
            return (report, lowest_seed);
        }
        let seed = options.seed.wrapping_add(number);
        let history = History::generate(seed, M::NODES, M::FAULT_FREE_NODES);
        let outcome = run_history::<M>(&history, bug, false);
        report.histories += 1;
        report.overlapping_histories += u64::from(history.has_overlap());
        report.steps += outcome.steps;
        report.faults += outcome.faults;
        if outcome.violation.is_some() {
            report.violations += 1;
            if options.stop_at_first_violation {
                next_history.store(options.histories, Ordering::Relaxed);
            }
            lowest_seed = Some(lowest_seed.map_or(seed, |known: u64| known.min(seed)));
        }
    }
}

/// Removes every fault and every range of steps without which the history still violates the
/// invariant. The ranges are halved down to single steps; this is repeated until nothing more can
/// be removed.
pub fn shrink<M: CheckedMachine>(mut history: History, bug: Option<M::Bug>) -> History {
    let is_violated = |history: &History| run_history::<M>(history, bug, false).violation.is_some();
    loop {
        let before = (history.steps.len(), history.faults.len());
        for position in (0..history.faults.len()).rev() {
            let mut shorter = history.clone();
            shorter.faults.remove(position);
            if is_violated(&shorter) {
                history = shorter;
            }
        }
        let mut chunk = (history.steps.len() / 2).max(1);
        loop {
            let mut start = 0;
            while start < history.steps.len() {
                let mut shorter = history.clone();
                let end = (start + chunk).min(history.steps.len());
                shorter.steps.drain(start..end);
                if is_violated(&shorter) {
                    history = shorter;
                } else {
                    start = end;
                }
            }
            if chunk == 1 {
                break;
            }
            chunk /= 2;
        }
        if before == (history.steps.len(), history.faults.len()) {
            return history;
        }
    }
}

/// Runs the history again with a trace and renders the violation, the faults and the trace.
fn describe_violation<M: CheckedMachine>(history: &History, bug: Option<M::Bug>) -> String {
    let HistoryOutcome { violation, trace, .. } = run_history::<M>(history, bug, true);
    let mut text = format!(
        "{}: violation with seed {}: {}\n{} steps, {} faults after shrinking\n",
        M::NAME,
        history.seed,
        violation.unwrap_or_default(),
        history.steps.len(),
        history.faults.len(),
    );
    for fault in &history.faults {
        text.push_str(&format!(
            "  fault {} in steps {}..{}\n",
            fault.kind, fault.start_step, fault.end_step
        ));
    }
    for line in trace {
        text.push_str("  ");
        text.push_str(&line);
        text.push('\n');
    }
    text
}
