//! The machines that `carobvane-replay check` runs.

pub mod claims;
pub mod lists;
pub mod orders;
pub mod shares;
pub mod streams;
pub mod suspects;

use super::RegisteredMachine;

/// Returns every machine, in the order in which they run and are reported.
pub fn all() -> Vec<RegisteredMachine> {
    vec![
        RegisteredMachine::of::<claims::ClaimMachine>(),
        RegisteredMachine::of::<shares::SharesMachine>(),
        RegisteredMachine::of::<lists::ListsMachine>(),
        RegisteredMachine::of::<orders::OrdersMachine>(),
        RegisteredMachine::of::<streams::StreamMachine>(),
        RegisteredMachine::of::<suspects::SuspectMachine>(),
    ]
}
