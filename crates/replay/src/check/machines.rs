//! The machines that `carobvane-replay check` runs.

use super::MachineEntry;

/// Every machine, in the order of the report.
pub fn all() -> Vec<MachineEntry> {
    vec![]
}
