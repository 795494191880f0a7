//! The accepted lists as plain data.
//!
//! All collections are ordered maps or sets, so that equal lists have the same bytes and digest
//! regardless of the order in which operators wrote them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::version::{KeyHash, ListDigest};
use crate::{ids::NodeId, plans::PlanLimits};

/// Name of a data centre.
pub type DataCentre = String;

/// All accepted lists of one deployment.
///
/// Invariant: names are unique within each map. `carobvane-lists` checks references between maps (a
/// workspace's plan, a grant's plan) before a version is accepted. Readers must treat a dangling
/// reference as "nothing is allowed".
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ListDocument {
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceEntry>,
    /// Plans by name.
    pub plans: BTreeMap<String, PlanEntry>,
    /// Grants by plan name. A plan without a grant may use nothing.
    pub grants: BTreeMap<String, GrantEntry>,
    /// Backend servers by name.
    pub servers: BTreeMap<String, BackendServer>,
    /// Wanted model weights by model name.
    pub weights: BTreeMap<String, ModelWeights>,
    /// Entry VMs by name.
    pub entries: BTreeMap<String, EntryVm>,
}

/// A customer's workspace.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceEntry {
    /// Hashes of the bearer keys that identify the workspace. More than one is valid while a
    /// customer rotates a key.
    pub key_hashes: BTreeSet<KeyHash>,
    /// Name of the workspace's plan.
    pub plan: String,
}

/// A plan, whose limits apply to the total usage of all its workspaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlanEntry {
    /// Limits over all entries together.
    pub limits: PlanLimits,
    /// Weight in fair queueing relative to the other plans; at least 1.
    pub weight: u32,
}

/// Models, services and adapters that one plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GrantEntry {
    /// Names of allowed models.
    pub models: BTreeSet<String>,
    /// Names of allowed services.
    pub services: BTreeSet<String>,
    /// Names of allowed adapters.
    pub adapters: BTreeSet<String>,
}

/// A backend server of the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendServer {
    /// Numeric IP address and port, such as `127.0.0.1:8101`.
    pub address: String,
    /// Whether the server runs a model engine or a plain service.
    pub role: ServerRole,
    /// Data centre that the server runs in.
    pub data_centre: DataCentre,
    /// Whether the server rejects orders that carry an outdated fencing token.
    pub checks_fencing: bool,
    /// Maximum number of concurrent requests; at least 1.
    pub slots: u32,
}

/// Kind of software that a backend server runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// An inference engine; the value is the name of its model.
    Engine(String),
    /// A plain service; the value is the service's name.
    Service(String),
}

/// The weights that every engine of a model should load.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ModelWeights {
    /// Version of the weights.
    pub version: u64,
    /// Names of the adapters to load with these weights.
    pub adapters: BTreeSet<String>,
}

/// A VM that runs an entry, the process that accepts clients' requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryVm {
    /// Number of the node, unique in the deployment and stable across restarts.
    pub node: NodeId,
    /// Numeric IP address and port that clients connect to.
    pub http_address: String,
    /// Numeric IP address and port that other entries and the VM's steward connect to.
    pub peer_address: String,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentre,
}

impl ListDocument {
    /// Returns the canonical bytes of the document, its postcard encoding.
    pub fn canonical_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("encoding to memory does not fail")
    }

    /// Returns the BLAKE3 digest of the canonical bytes.
    pub fn digest(&self) -> ListDigest {
        ListDigest(*blake3::hash(&self.canonical_bytes()).as_bytes())
    }

    /// Finds the workspace that the hash of a bearer key identifies.
    ///
    /// Compares against every key in constant time, so that the response time reveals nothing about
    /// the stored hashes.
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

    /// Finds the entry VM with the given node number.
    pub fn entry_by_node(&self, node: NodeId) -> Option<(&str, &EntryVm)> {
        let (name, entry) = self.entries.iter().find(|(_, entry)| entry.node == node)?;
        Some((name.as_str(), entry))
    }
}
