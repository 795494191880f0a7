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
    pub mutate: Option<String>,
}

/// Runs the state machines and prints one line for each. Returns whether every invariant held.
///
/// # Errors
///
/// No state machine or planted bug has the given name.
pub fn check_machines(flags: &CheckFlags) -> eyre::Result<bool> {
    let mutate = flags.mutate.as_deref();
    let mut entries = machines::all();
    if let Some(name) = &flags.machine {
        entries.retain(|entry| entry.name == name);
        if entries.is_empty() {
            bail!("state machine {name:?} does not exist");
        }
    }
    if mutate == Some("list") {
        for entry in &entries {
            for bug in &entry.bugs {
                println!("{} {bug}", entry.name);
            }
        }
        return Ok(true);
    }
    if let Some(bug) = mutate {
        entries.retain(|entry| entry.bugs.contains(&bug));
        if entries.is_empty() {
            bail!("planted bug {bug:?} does not exist");
        }
    }
    let options = CheckOptions {
        histories: flags.histories.unwrap_or(DEFAULT_HISTORIES),
        seed: flags.seed.unwrap_or(1),
        threads: thread::available_parallelism().map_or(1, |count| count.get()),
        bug: flags.mutate.clone(),
        stop_at_first_violation: false,
    };
    let violated =
        entries.iter().map(|entry| run_entry(entry, &options)).filter(|held| !held).count();
    Ok(violated == 0)
}

fn run_entry(entry: &RegisteredMachine, options: &CheckOptions) -> bool {
    let report = (entry.run)(options);
    println!(
        "{:<10} histories {:>7}  overlapping faults {:>7}  steps {:>9}  faults {:>9}  violations {:>6}",
        report.machine,
        report.histories,
        report.overlapping_histories,
        report.steps,
        report.faults,
        report.violations,
    );
    if let Some(example) = &report.shrunk_history {
        print!("{example}");
    }
    report.violations == 0
}
