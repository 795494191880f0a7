//! The lists that operators maintain, and their replication to every node.
//!
//! The operators' lists form one [`ListDocument`]. Each accepted change has a [`ListVersion`] and a
//! [`ListDelta`] against its parent version. A [`ListReplica`] accepts only superseding versions,
//! so a late or repeated message never reverts an accepted change.

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
