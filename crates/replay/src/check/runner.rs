//! Runs many histories of a machine on all cores and shrinks a violated one.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use super::{CheckedMachine, History, HistoryOutcome, run_history};

/// What to run.
#[derive(Debug, Clone)]
pub struct CheckOptions {
    /// Number of histories.
    pub histories: u64,
    /// Seed of the first history; later ones count up.
    pub seed: u64,
    /// Worker threads.
    pub threads: usize,
    /// Name of the planted bug.
    pub bug: Option<String>,
    /// Whether the first violation ends the run.
    pub stop_at_first_violation: bool,
}

/// Totals of one machine.
#[derive(Debug, Clone, Default)]
pub struct MachineReport {
    /// The machine's name.
    pub machine: &'static str,
    /// Histories run.
    pub histories: u64,
    /// Histories in which two different faults were active at once.
    pub overlapping_histories: u64,
    /// Steps run.
    pub steps: u64,
    /// Faults injected.
    pub faults: u64,
    /// Histories that violated the invariant.
    pub violations: u64,
    /// The shrunk history of the violation with the lowest seed.
    pub shrunk_history: Option<String>,
}

/// A machine on the command line.
pub struct RegisteredMachine {
    /// Its name.
    pub name: &'static str,
    /// Names of its planted bugs.
    pub bugs: Vec<&'static str>,
    /// Runs its histories.
    pub run: fn(&CheckOptions) -> MachineReport,
}

impl RegisteredMachine {
    /// The entry of machine `M`.
    pub fn of<M: CheckedMachine>() -> RegisteredMachine {
        RegisteredMachine {
            name: M::NAME,
            bugs: M::BUGS.iter().map(|(name, _)| *name).collect(),
            run: run_machine::<M>,
        }
    }
}

/// Runs the histories of machine `M`.
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

/// Takes histories from `next_history` until none is left.
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

/// Removes faults and ever shorter runs of steps as long as the history stays violated.
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
