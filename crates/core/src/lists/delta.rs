//! The difference between two versions.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use super::{
    BackendServer, EntryVm, GrantEntry, ListDocument, ListSnapshot, ListVersion, ModelWeights,
    PlanEntry, WorkspaceEntry,
};

/// Changes of one map: entries to put and keys to remove.
///
/// Invariant: no key stands in both.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta<V> {
    /// New or changed entries.
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
    /// The changes from `old` to `new`.
    pub fn between(old: &BTreeMap<String, V>, new: &BTreeMap<String, V>) -> MapDelta<V> {
        let put = new.iter().filter(|(key, value)| old.get(*key) != Some(value));
        let remove = old.keys().filter(|key| !new.contains_key(*key));
        MapDelta {
            put: put.map(|(key, value)| (key.clone(), value.clone())).collect(),
            remove: remove.cloned().collect(),
        }
    }

    /// Carries out the changes.
    pub fn apply(&self, map: &mut BTreeMap<String, V>) {
        for key in &self.remove {
            map.remove(key);
        }
        for (key, value) in &self.put {
            map.insert(key.clone(), value.clone());
        }
    }

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

/// One accepted change: what leads from the document of `from` to that of `to`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ListDelta {
    /// The version that the delta applies to.
    pub from: ListVersion,
    /// The version that results. Invariant: its number is higher than that of `from`.
    pub to: ListVersion,
    /// Changed workspaces.
    pub workspaces: MapDelta<WorkspaceEntry>,
    /// Changed plans.
    pub plans: MapDelta<PlanEntry>,
    /// Changed grants.
    pub grants: MapDelta<GrantEntry>,
    /// Changed backend servers.
    pub servers: MapDelta<BackendServer>,
    /// Changed weights.
    pub weights: MapDelta<ModelWeights>,
    /// Changed entry VMs.
    pub entries: MapDelta<EntryVm>,
}

/// Why a delta does not apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The held version is not the one the delta starts from.
    WrongBase,
    /// The document that results has another digest than the delta names.
    WrongDigest,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DeltaError::WrongBase => "delta starts from another version than the one held",
            DeltaError::WrongDigest => "document after the delta does not match its digest",
        })
    }
}

impl std::error::Error for DeltaError {}

impl ListDelta {
    /// The delta from `base` to the version that follows it with `document`.
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

    /// The snapshot that results from `base`.
    pub fn apply(&self, base: &ListSnapshot) -> Result<ListSnapshot, DeltaError> {
        if self.from.number != base.version.number || self.from.digest != base.version.digest {
            return Err(DeltaError::WrongBase);
        }
        let mut document = base.document.clone();
        self.workspaces.apply(&mut document.workspaces);
        self.plans.apply(&mut document.plans);
        self.grants.apply(&mut document.grants);
        self.servers.apply(&mut document.servers);
        self.weights.apply(&mut document.weights);
        self.entries.apply(&mut document.entries);
        if document.digest() != self.to.digest {
            return Err(DeltaError::WrongDigest);
        }
        Ok(ListSnapshot { version: self.to, document })
    }

    /// Whether no list changes.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
            && self.plans.is_empty()
            && self.grants.is_empty()
            && self.servers.is_empty()
            && self.weights.is_empty()
            && self.entries.is_empty()
    }
}
