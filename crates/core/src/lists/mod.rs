//! The accepted lists: what is active, and how a new version reaches every node.
//!
//! Operators' lists become one [`ListDocument`]. Each accepted change has a [`ListVersion`] and a
//! [`ListDelta`] against its parent. A holder accepts only a higher version, so an accepted
//! change is never reverted by a late or repeated message.

mod delta;
mod document;
mod replica;
mod replicator;
#[cfg(test)]
mod tests;
mod version;

pub use delta::{DeltaError, ListDelta, MapDelta};
pub use document::{
    BackendServer, DataCentre, EntryVm, GrantEntry, ListDocument, ModelWeights, PlanEntry,
    ServerRole, WorkspaceEntry,
};
pub use replica::{ApplyOutcome, ListReplica};
pub use replicator::{
    KEY_VALUE_READ_JITTER, KeyValueReport, ListMessage, ListReplicator, REPAIR_TIMEOUT,
    ReplicationEffect,
};
pub use version::{KeyHash, ListDigest, ListSnapshot, ListVersion, VersionSummary};
