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
pub struct NodeIncarnation {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: IncarnationId,
}

define_key!(
    /// A model in the local table.
    ModelKey
);

/// A version of a model's weights; a later version has a higher number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct WeightsVersion(pub u64);

/// The network address of a backend server, as a number that all entries derive alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AddressId(pub u64);

impl AddressId {
    /// Derives the number from the address text, such as `127.0.0.1:8000`.
    pub fn from_address(address: &str) -> AddressId {
        let digest = blake3::hash(address.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        AddressId(u64::from_le_bytes(first))
    }
}
