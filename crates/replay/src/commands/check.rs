//! `carobvane-replay check`: runs seeded histories of the state machines and checks their
//! invariants.

use std::thread;

use eyre::bail;

use crate::check::{CheckOptions, RegisteredMachine, machines};

/// Default number of histories for each state machine.
pub const DEFAULT_HISTORIES: u64 = 10_000;

/// Flags of the command.
#[derive(Debug, Clone, Default)]
pub struct CheckFlags {
    /// Number of histories for each state machine; [`DEFAULT_HISTORIES`] if absent.
    pub histories: Option<u64>,
    /// Seed of the first history; 1 if absent. Each further history uses the next seed.
    pub seed: Option<u64>,
    /// Name of the only state machine to run; all if absent.
    pub machine: Option<String>,
    /// Name of the planted bug to enable, or `list` to print all of them.
    pub planted_bug: Option<String>,
}

/// Runs the state machines and prints one line for each. Returns whether every invariant held.
///
/// # Errors
///
/// No state machine or planted bug has the given name.
pub fn check_machines(flags: &CheckFlags) -> eyre::Result<bool> {
    let planted_bug = flags.planted_bug.as_deref();
    let mut selected = machines::all();
    if let Some(name) = &flags.machine {
        selected.retain(|machine| machine.name == name);
        if selected.is_empty() {
            bail!("state machine {name:?} does not exist");
        }
    }
    if planted_bug == Some("list") {
        for machine in &selected {
            for bug in &machine.bugs {
                println!("{} {bug}", machine.name);
            }
        }
        return Ok(true);
    }
    if let Some(bug) = planted_bug {
        selected.retain(|machine| machine.bugs.contains(&bug));
        if selected.is_empty() {
            bail!("no selected state machine has a planted bug {bug:?}");
        }
    }
    let options = CheckOptions {
        histories: flags.histories.unwrap_or(DEFAULT_HISTORIES),
        seed: flags.seed.unwrap_or(1),
        threads: thread::available_parallelism().map_or(1, |count| count.get()),
        bug: flags.planted_bug.clone(),
        stop_at_first_violation: false,
    };
    let violated = selected
        .iter()
        .map(|machine| run_and_print(machine, &options))
        .filter(|held| !held)
        .count();
    Ok(violated == 0)
}

fn run_and_print(machine: &RegisteredMachine, options: &CheckOptions) -> bool {
    let report = (machine.run)(options);
    println!(
        "{:<10} histories {:>7}  overlapping faults {:>7}  steps {:>9}  faults {:>9}  violations {:>6}",
        report.machine,
        report.histories,
        report.overlapping_histories,
        report.steps,
        report.faults,
        report.violations,
    );
    if let Some(history) = &report.shrunk_history {
        print!("{history}");
    }
    report.violations == 0
}
