//! The accepted lists: what is active, and how a new version reaches every node.
//!
//! Operators' lists become one [`ListDocument`]. Each accepted change has a [`ListVersion`] and a
//! [`ListDelta`] against its parent. A holder accepts only a higher version, so an accepted
//! change is never reverted by a late or repeated message.

mod delta;
mod document;
mod holder;
mod spread;
#[cfg(test)]
mod tests;
mod version;

pub use delta::{DeltaError, ListDelta, MapDelta};
pub use document::{
    BackendServer, DataCentre, EntryVm, GrantEntry, ListDocument, ModelWeights, PlanEntry,
    ServerRole, WorkspaceEntry,
};
pub use holder::{ListHolder, OfferOutcome};
pub use spread::{
    ListMessage, ListSpread, REPAIR_TIMEOUT, SERVICE_READ_JITTER, ServiceReport, SpreadEffect,
};
pub use version::{KeyHash, ListDigest, ListSnapshot, ListVersion, VersionSummary};
