//! The accepted lists as plain data.
//!
//! All collections are ordered maps or sets, so that equal lists have equal bytes and one digest,
//! whatever the order in which the operators wrote them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::version::{KeyHash, ListDigest};
use crate::{ids::NodeId, plans::PlanLimits};

/// Name of a data centre.
pub type DataCentre = String;

/// All accepted lists of one deployment.
///
/// Invariant: names are unique within each map; references between maps (a workspace's plan, a
/// grant's plan) are checked by `carobvane-lists` before a version is accepted. Readers treat a
/// missing reference as "nothing is allowed".
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ListDocument {
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceEntry>,
    /// Plans by name.
    pub plans: BTreeMap<String, PlanEntry>,
    /// What each plan may use, by plan name. A plan without an entry may use nothing.
    pub grants: BTreeMap<String, GrantEntry>,
    /// Backend servers by name.
    pub servers: BTreeMap<String, BackendServer>,
    /// Wanted weights by model name.
    pub weights: BTreeMap<String, ModelWeights>,
    /// Entry VMs by name.
    pub entries: BTreeMap<String, EntryVm>,
}

/// A customer's workspace.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkspaceEntry {
    /// Hashes of the bearer keys that identify the workspace. Several are valid at once while a
    /// customer replaces a key.
    pub key_hashes: BTreeSet<KeyHash>,
    /// Name of the workspace's plan.
    pub plan: String,
}

/// A plan: the limits of all its workspaces together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlanEntry {
    /// Fleet-wide limits.
    pub limits: PlanLimits,
    /// Share in weighted fair queueing, relative to the other plans; at least 1.
    pub weight: u32,
}

/// What one plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GrantEntry {
    /// Model names.
    pub models: BTreeSet<String>,
    /// Service names.
    pub services: BTreeSet<String>,
    /// Adapter names.
    pub adapters: BTreeSet<String>,
}

/// A backend server of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Numeric IP address and port, such as `127.0.0.1:8101`.
    pub address: String,
    /// What the server runs.
    pub role: ServerRole,
    /// The server's data centre.
    pub data_centre: DataCentre,
    /// Whether the server rejects orders with a stale fencing number.
    pub checks_fencing: bool,
    /// Most requests that the server runs at once; at least 1.
    pub slots: u32,
}

/// What a backend server runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// A model engine; the value is the model's name.
    Engine(String),
    /// A plain service; the value is the service's name.
    Service(String),
}

/// The weights that every engine of a model should hold.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ModelWeights {
    /// Weights version.
    pub version: u64,
    /// Adapters to hold with it.
    pub adapters: BTreeSet<String>,
}

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// The node's number, unique and stable over restarts.
    pub node: NodeId,
    /// Numeric address and port towards callers.
    pub http_address: String,
    /// Numeric address and port towards other entries and the local steward.
    pub peer_address: String,
    /// The VM's data centre.
    pub data_centre: DataCentre,
}

impl ListDocument {
    /// The document's canonical bytes: its postcard encoding.
    pub fn canonical_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("encoding to memory does not fail")
    }

    /// BLAKE3 over the canonical bytes.
    pub fn digest(&self) -> ListDigest {
        ListDigest(*blake3::hash(&self.canonical_bytes()).as_bytes())
    }

    /// The workspace that a bearer key's hash identifies.
    ///
    /// Every key is compared in time that does not depend on where the hashes differ.
    pub fn workspace_by_key(&self, hash: &KeyHash) -> Option<(&str, &WorkspaceEntry)> {
        let mut found = None;
        for (name, workspace) in &self.workspaces {
            for key in &workspace.key_hashes {
                if key.matches(hash) {
                    found = Some((name.as_str(), workspace));
                }
            }
        }
        found
    }

    /// The entry VM of a node number.
    pub fn entry_by_node(&self, node: NodeId) -> Option<(&str, &EntryVm)> {
        let (name, entry) = self.entries.iter().find(|(_, entry)| entry.node == node)?;
        Some((name.as_str(), entry))
    }
}
