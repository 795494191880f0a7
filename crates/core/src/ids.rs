//! Identifiers that several modules share.

use serde::{Deserialize, Serialize};

use crate::define_key;

define_key!(
    /// Key of a backend server in this process's server table.
    ServerKey
);
define_key!(
    /// Key of a workspace in this process's workspace table.
    WorkspaceKey
);
define_key!(
    /// Key of a request in progress at this entry.
    RequestKey
);

/// Number of a node, that is, an entry or steward process. It is set in the settings and stable
/// across restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NodeId(pub u32);

/// One run of a process from start to exit. A later run of the same node has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct IncarnationId(pub u64);

/// One incarnation of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// Number of the node.
    pub node: NodeId,
    /// Incarnation of the node's process.
    pub incarnation: IncarnationId,
}

define_key!(
    /// Key of a model in this process's model table.
    ModelKey
);

/// Version of a model's weights; a later version has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
#[cbor(transparent)]
pub struct WeightsVersion(#[n(0)] pub u64);

/// Number that identifies the network address of a backend server. All entries derive the same
/// number from the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AddressId(pub u64);

impl AddressId {
    /// Derives the number from an address such as `127.0.0.1:8000`.
    pub fn from_address(address: &str) -> AddressId {
        let digest = blake3::hash(address.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        AddressId(u64::from_le_bytes(first))
    }
}
