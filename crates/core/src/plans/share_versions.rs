//! Base units over list versions.
//!
//! A version may move units between home entries. The entry that loses units stops using them at
//! once; the entry that gains them waits until every loser has confirmed.

use crate::ids::NodeId;

/// The base share of one version that other entries may still run.
#[derive(Debug, Clone)]
pub(super) struct ShareVersion {
    pub version: u64,
    pub base: [u64; 3],
    /// Entries whose confirmation the version waits for. Invariant: empty in the first version.
    pub awaited: Vec<NodeId>,
    /// The first version of a life: confirmations must not be ahead of this entry's version.
    pub restart: bool,
}

/// The versions of one plan, oldest first.
#[derive(Debug, Clone)]
pub(super) struct ShareVersions {
    /// Invariant: not empty; the last version is the active version's.
    versions: Vec<ShareVersion>,
}

impl ShareVersions {
    /// A plan without units.
    pub fn new() -> ShareVersions {
        let first = ShareVersion { version: 0, base: [0; 3], awaited: Vec::new(), restart: false };
        ShareVersions { versions: vec![first] }
    }

    /// The lowest base of all versions.
    pub fn usable(&self) -> [u64; 3] {
        let mut base = self.versions[0].base;
        for version in &self.versions[1..] {
            for (lowest, amount) in base.iter_mut().zip(version.base) {
                *lowest = amount.min(*lowest);
            }
        }
        base
    }

    /// The base of the active version.
    pub fn latest(&self) -> [u64; 3] {
        self.versions[self.versions.len() - 1].base
    }

    /// The version that last changed the shares.
    pub fn version(&self) -> u64 {
        self.versions[self.versions.len() - 1].version
    }

    /// Adds a new version.
    pub fn push(&mut self, version: ShareVersion) {
        self.versions.push(version);
        self.drop_confirmed();
    }

    /// Entries whose confirmation is awaited.
    pub fn awaited(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.versions.iter().flat_map(|version| version.awaited.iter().copied())
    }

    /// Whether `node` is awaited after a restart.
    pub fn awaits_restart(&self, node: NodeId) -> bool {
        self.versions.iter().any(|version| version.restart && version.awaited.contains(&node))
    }

    /// Takes the confirmation of `node`, which runs `active_version` and has completed its reductions up to `reduced_version`.
    pub fn confirm(&mut self, node: NodeId, active_version: u64, reduced_version: u64, own: u64) {
        for version in &mut self.versions {
            if version.version <= reduced_version && (!version.restart || active_version <= own) {
                version.awaited.retain(|awaited| *awaited != node);
            }
        }
        self.drop_confirmed();
    }

    /// Stops waiting for a node that is gone.
    pub fn stop_awaiting(&mut self, node: NodeId) {
        for version in &mut self.versions {
            version.awaited.retain(|awaited| *awaited != node);
        }
        self.drop_confirmed();
    }

    /// Whether no version waits.
    pub fn is_confirmed(&self) -> bool {
        self.versions.len() == 1
    }

    fn drop_confirmed(&mut self) {
        while self.versions.len() > 1 && self.versions[1].awaited.is_empty() {
            self.versions.remove(0);
        }
    }
}
