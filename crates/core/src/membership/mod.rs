//! Which nodes are live, suspect, draining or dead, and what follows from it.
//!
//! Members are probed in the manner of SWIM. The VM list and the node's own failed calls are
//! hints: they cause a probe or a suspicion, never a death by themselves.

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
