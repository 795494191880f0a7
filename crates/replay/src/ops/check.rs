//! `carobvane-replay check`: seeded histories of the machines.

use std::thread;

use eyre::bail;

use crate::check::{CheckOptions, RegisteredMachine, machines};

/// Histories of each machine unless `--histories` says otherwise.
pub const DEFAULT_HISTORIES: u64 = 10_000;

/// Flags of the command.
#[derive(Debug, Clone, Default)]
pub struct CheckFlags {
    /// Histories of each machine.
    pub histories: Option<u64>,
    /// Seed of the first history.
    pub seed: Option<u64>,
    /// Only this machine.
    pub machine: Option<String>,
    /// The planted bug to run with, or `list`.
    pub mutate: Option<String>,
}

/// Runs the machines and prints one line for each. Returns whether every invariant held.
pub fn check(flags: &CheckFlags) -> eyre::Result<bool> {
    let mutate = flags.mutate.as_deref();
    let mut entries = machines::all();
    if let Some(name) = &flags.machine {
        entries.retain(|entry| entry.name == name);
        if entries.is_empty() {
            bail!("no machine is named {name:?}");
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
            bail!("no machine has a planted bug named {bug:?}");
        }
    }
    let options = CheckOptions {
        histories: flags.histories.unwrap_or(DEFAULT_HISTORIES),
        seed: flags.seed.unwrap_or(1),
        threads: thread::available_parallelism().map_or(1, |count| count.get()),
        bug: flags.mutate.clone(),
        stop_at_first_violation: false,
    };
    let held = entries.iter().map(|entry| run_entry(entry, &options)).filter(|held| !held).count();
    Ok(held == 0)
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
