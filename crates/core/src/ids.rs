//! Identities shared by all parts.

use serde::{Deserialize, Serialize};

use crate::define_key;

define_key!(
    /// A backend server in the local table.
    ServerKey
);
define_key!(
    /// A workspace in the local table.
    WorkspaceKey
);
define_key!(
    /// A request in progress at this entry.
    RequestKey
);

/// An entry or steward, numbered in its settings; stable over restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u32);

/// One life of a process. A later life of the same node has a higher number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct IncarnationId(pub u64);

/// A node in one of its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeLife {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: IncarnationId,
}
