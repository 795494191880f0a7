//! The own units of an entry while list versions change.
//!
//! A list version may move units between home entries. An entry that loses units stops using them
//! at once. An entry that gains units uses them only after every entry that loses some has
//! confirmed that it no longer uses or lends them.

use crate::ids::NodeId;

/// The base units of this entry in a list version that may still be active at other entries.
#[derive(Debug, Clone)]
pub(super) struct ShareVersion {
    /// Number of the list version.
    pub version: u64,
    /// Base units for each limit, in the order of `LimitKind::ALL`.
    pub base: [u64; 3],
    /// Entries that must confirm the version before earlier ones stop counting. Invariant: empty in
    /// the first element of [`ShareVersions`].
    pub awaited: Vec<NodeId>,
    /// Whether this is the first version after a start of the process. A confirmation then counts
    /// only if the confirming entry does not run a later version than this entry.
    pub restart: bool,
}

/// The base units of one plan in all list versions that still count, oldest first.
#[derive(Debug, Clone)]
pub(super) struct ShareVersions {
    /// Invariant: not empty; the last element belongs to the active list version.
    versions: Vec<ShareVersion>,
}

impl ShareVersions {
    /// Creates the state of a plan of which this entry has no units.
    pub fn new() -> ShareVersions {
        let first = ShareVersion { version: 0, base: [0; 3], awaited: Vec::new(), restart: false };
        ShareVersions { versions: vec![first] }
    }

    /// Returns the base units that this entry may use: the lowest of all versions that still count.
    pub fn usable(&self) -> [u64; 3] {
        let mut base = self.versions[0].base;
        for version in &self.versions[1..] {
            for (lowest, amount) in base.iter_mut().zip(version.base) {
                *lowest = amount.min(*lowest);
            }
        }
        base
    }

    /// Returns the base units of the active version.
    pub fn latest(&self) -> [u64; 3] {
        self.versions[self.versions.len() - 1].base
    }

    /// Returns the list version that last changed the shares.
    pub fn version(&self) -> u64 {
        self.versions[self.versions.len() - 1].version
    }

    /// Adds the base units of a new version.
    pub fn push(&mut self, version: ShareVersion) {
        self.versions.push(version);
        self.drop_confirmed();
    }

    /// Returns the entries that have yet to confirm a version. An entry may occur more than once.
    pub fn awaited(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.versions.iter().flat_map(|version| version.awaited.iter().copied())
    }

    /// Whether `node` has yet to confirm the first version after a start of this process.
    pub fn awaits_restart(&self, node: NodeId) -> bool {
        self.versions.iter().any(|version| version.restart && version.awaited.contains(&node))
    }

    /// Applies a confirmation of `node`, which runs `active_version` and no longer uses or lends
    /// units that it lost in versions up to `reduced_version`. `own` is the version that this entry
    /// runs.
    pub fn confirm(&mut self, node: NodeId, active_version: u64, reduced_version: u64, own: u64) {
        for version in &mut self.versions {
            if version.version <= reduced_version && (!version.restart || active_version <= own) {
                version.awaited.retain(|awaited| *awaited != node);
            }
        }
        self.drop_confirmed();
    }

    /// Stops waiting for the confirmation of a node that no longer exists.
    pub fn stop_awaiting(&mut self, node: NodeId) {
        for version in &mut self.versions {
            version.awaited.retain(|awaited| *awaited != node);
        }
        self.drop_confirmed();
    }

    /// Whether all entries have confirmed the active version.
    pub fn is_confirmed(&self) -> bool {
        self.versions.len() == 1
    }

    /// Removes the versions that precede a confirmed one.
    fn drop_confirmed(&mut self) {
        while self.versions.len() > 1 && self.versions[1].awaited.is_empty() {
            self.versions.remove(0);
        }
    }
}
