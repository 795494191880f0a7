//! Tracks which nodes are live, suspect, draining or dead, and derives discovery responses from it.
//!
//! Members are probed with a SWIM-style protocol. The VM list and failed calls are only hints: they
//! cause a probe or a suspicion, but never declare a member dead on their own.

mod directory;
mod drain;
mod failure_detector;
mod leaving;
mod messages;
mod table;
#[cfg(test)]
mod tests;

pub use directory::{DISCOVERY_LIFETIME, EntryDirectory, WATCHERS_PER_DATA_CENTRE};
pub use drain::{DrainEffect, DrainPhase, DrainState};
pub use failure_detector::FailureDetector;
pub use leaving::{LeaveNotice, LeavingServers, ServerId};
pub use messages::{
    LOAD_SUMMARY_BYTES, MemberChange, MemberEffect, MemberMessage, MemberStatus, ProbePayload,
    VmState,
};
pub use table::{MemberRecord, MemberTable};
