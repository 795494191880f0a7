//! The machines that `carobvane-replay check` runs.

pub mod claims;
pub mod lists;
pub mod orders;
pub mod shares;
pub mod streams;
pub mod suspects;

use super::MachineEntry;

/// Every machine, in the order of the report.
pub fn all() -> Vec<MachineEntry> {
    vec![
        MachineEntry::of::<claims::ClaimMachine>(),
        MachineEntry::of::<shares::SharesMachine>(),
        MachineEntry::of::<lists::ListsMachine>(),
        MachineEntry::of::<orders::OrdersMachine>(),
        MachineEntry::of::<streams::StreamMachine>(),
        MachineEntry::of::<suspects::SuspectMachine>(),
    ]
}
