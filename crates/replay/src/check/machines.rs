//! The machines that `carobvane-replay check` runs.

pub mod claims;

use super::MachineEntry;

/// Every machine, in the order of the report.
pub fn all() -> Vec<MachineEntry> {
    vec![MachineEntry::of::<claims::ClaimMachine>()]
}
