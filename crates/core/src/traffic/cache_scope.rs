//! Which requests may share cached prompt parts.

use std::collections::BTreeSet;

use super::WorkspaceSpec;
use crate::rendezvous::rendezvous_score;

/// Node for which the names of workspaces are scored; other scores of names use other ones.
const WORKSPACE_NODE: u64 = 1;

/// A group of requests that share KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheScope {
    /// Requests of all workspaces but the isolated ones. The number stands for the set of these, and is 0
    /// if none is isolated. Invariant: no request of a workspace in the set has this scope.
    Shared(u64),
    /// Requests of the isolated workspace with this name.
    Isolated(String),
}

impl CacheScope {
    /// Returns the number under which the cached parts of the scope are recorded.
    pub fn number(&self) -> u64 {
        match self {
            CacheScope::Shared(number) => *number,
            CacheScope::Isolated(workspace) => {
                rendezvous_score(workspace.as_bytes(), WORKSPACE_NODE)
            }
        }
    }
}

/// The isolated workspaces of a configuration.
#[derive(Debug, Clone, Default)]
pub struct IsolatedSet {
    names: BTreeSet<String>,
    /// Invariant: derived from `names` alone, so that it is the same at all nodes and at any time.
    number: u64,
}

impl IsolatedSet {
    /// Collects the isolated ones of some workspaces.
    pub fn of<'a>(workspaces: impl IntoIterator<Item = &'a WorkspaceSpec>) -> IsolatedSet {
        let isolated = workspaces.into_iter().filter(|workspace| workspace.isolated);
        let names: BTreeSet<String> = isolated.map(|workspace| workspace.name.clone()).collect();
        IsolatedSet { number: set_number(&names), names }
    }

    /// Returns the scope of a request of a workspace. One that was isolated when the request was admitted
    /// stays so for this request.
    pub fn scope_of(&self, workspace: Option<&WorkspaceSpec>) -> CacheScope {
        let is_isolated = |spec: &&WorkspaceSpec| spec.isolated || self.names.contains(&spec.name);
        match workspace.filter(is_isolated) {
            Some(workspace) => CacheScope::Isolated(workspace.name.clone()),
            None => CacheScope::Shared(self.number),
        }
    }
}

/// Returns the number of a set of names; 0 only for the empty one.
fn set_number(names: &BTreeSet<String>) -> u64 {
    if names.is_empty() {
        return 0;
    }
    let mut hasher = blake3::Hasher::new();
    for name in names {
        // With their lengths, no two sets are the same bytes.
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
    }
    let mut number = [0; size_of::<u64>()];
    hasher.finalize_xof().fill(&mut number);
    u64::from_le_bytes(number).max(1)
}
