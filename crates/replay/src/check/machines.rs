//! The machines that `carobvane-replay check` runs.

mod lists;
mod orders;
mod shares;

use super::MachineEntry;

pub use lists::ListsMachine;
pub use orders::OrdersMachine;
pub use shares::SharesMachine;

/// Every machine, in the order of the report.
pub fn all() -> Vec<MachineEntry> {
    vec![
        MachineEntry::of::<SharesMachine>(),
        MachineEntry::of::<ListsMachine>(),
        MachineEntry::of::<OrdersMachine>(),
    ]
}
