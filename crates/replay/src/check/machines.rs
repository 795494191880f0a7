//! The machines that `carobvane-replay check` runs.

pub mod claims;
pub mod streams;
pub mod suspects;

use super::MachineEntry;

/// Every machine, in the order of the report.
pub fn all() -> Vec<MachineEntry> {
    vec![
        MachineEntry::of::<claims::ClaimMachine>(),
        MachineEntry::of::<streams::StreamMachine>(),
        MachineEntry::of::<suspects::SuspectMachine>(),
    ]
}
