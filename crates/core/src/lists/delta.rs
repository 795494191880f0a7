//! Differences between list versions, so that a change need not transfer the whole document.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use super::{
    BackendServer, EntryVm, GrantEntry, ListDocument, ListSnapshot, ListVersion, ModelWeights,
    PlanEntry, WorkspaceEntry,
};

/// Changes to one map of the document.
///
/// Invariant: no key is in both `put` and `remove`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MapDelta<V> {
    /// Entries to insert or overwrite.
    pub put: BTreeMap<String, V>,
    /// Keys to remove.
    pub remove: Vec<String>,
}

impl<V> Default for MapDelta<V> {
    fn default() -> Self {
        MapDelta { put: BTreeMap::new(), remove: Vec::new() }
    }
}

impl<V: Clone + PartialEq> MapDelta<V> {
    /// Computes the changes from `old` to `new`.
    pub fn between(old: &BTreeMap<String, V>, new: &BTreeMap<String, V>) -> MapDelta<V> {
        let put = new.iter().filter(|(key, value)| old.get(*key) != Some(value));
        let remove = old.keys().filter(|key| !new.contains_key(*key));
        MapDelta {
            put: put.map(|(key, value)| (key.clone(), value.clone())).collect(),
            remove: remove.cloned().collect(),
        }
    }

    /// Applies the changes to `map`.
    pub fn apply(&self, map: &mut BTreeMap<String, V>) {
        for key in &self.remove {
            map.remove(key);
        }
        for (key, value) in &self.put {
            map.insert(key.clone(), value.clone());
        }
    }

    /// Whether there is no change.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

/// One accepted change, which leads from the document of version `from` to that of version `to`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ListDelta {
    /// The version that the delta applies to.
    pub from: ListVersion,
    /// The resulting version. Invariant: its number is higher than that of `from`.
    pub to: ListVersion,
    /// Changes to the workspaces.
    pub workspaces: MapDelta<WorkspaceEntry>,
    /// Changes to the plans.
    pub plans: MapDelta<PlanEntry>,
    /// Changes to the grants.
    pub grants: MapDelta<GrantEntry>,
    /// Changes to the backend servers.
    pub servers: MapDelta<BackendServer>,
    /// Changes to the wanted model weights.
    pub weights: MapDelta<ModelWeights>,
    /// Changes to the entry VMs.
    pub entries: MapDelta<EntryVm>,
}

/// Reason why a delta could not be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The base is not the version that the delta starts from.
    BaseMismatch,
    /// The resulting document does not have the digest that the delta states.
    DigestMismatch,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DeltaError::BaseMismatch => "delta does not start from the given version",
            DeltaError::DigestMismatch => "document after the delta does not match its digest",
        })
    }
}

impl std::error::Error for DeltaError {}

impl ListDelta {
    /// Computes the delta from `base` to its successor version with `document`.
    pub fn next(base: &ListSnapshot, document: &ListDocument) -> ListDelta {
        let old = &base.document;
        ListDelta {
            from: base.version,
            to: base.version.next(document),
            workspaces: MapDelta::between(&old.workspaces, &document.workspaces),
            plans: MapDelta::between(&old.plans, &document.plans),
            grants: MapDelta::between(&old.grants, &document.grants),
            servers: MapDelta::between(&old.servers, &document.servers),
            weights: MapDelta::between(&old.weights, &document.weights),
            entries: MapDelta::between(&old.entries, &document.entries),
        }
    }

    /// Applies the delta to `base` and returns the resulting snapshot.
    ///
    /// # Errors
    ///
    /// Fails if `base` is not the version that the delta starts from, or if the result does not
    /// have the stated digest.
    pub fn apply(&self, base: &ListSnapshot) -> Result<ListSnapshot, DeltaError> {
        if self.from.number != base.version.number || self.from.digest != base.version.digest {
            return Err(DeltaError::BaseMismatch);
        }
        let mut document = base.document.clone();
        self.workspaces.apply(&mut document.workspaces);
        self.plans.apply(&mut document.plans);
        self.grants.apply(&mut document.grants);
        self.servers.apply(&mut document.servers);
        self.weights.apply(&mut document.weights);
        self.entries.apply(&mut document.entries);
        if document.digest() != self.to.digest {
            return Err(DeltaError::DigestMismatch);
        }
        Ok(ListSnapshot { version: self.to, document })
    }

    /// Whether the delta changes none of the lists.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
            && self.plans.is_empty()
            && self.grants.is_empty()
            && self.servers.is_empty()
            && self.weights.is_empty()
            && self.entries.is_empty()
    }
}
