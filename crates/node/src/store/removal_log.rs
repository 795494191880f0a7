//! Keys that were removed from the platform's store lately.
//!
//! A node's copy of the store shows which items were written after a revision, but not which were removed.
//! With this log, a node can tell another one all changes after a revision.

use std::collections::VecDeque;

use crate::{
    adapter::{StoreEvent, StoreRevision},
    store::store_mirror::{ChangeBatch, StoreMirror},
};

/// Maximum number of removals that are kept. The oldest ones are dropped first.
const MAX_REMOVALS: usize = 2_048;

#[derive(Debug, Clone)]
struct RemovedKey {
    key: String,
    revision: u64,
}

/// The latest removals of one era of the store.
#[derive(Debug, Clone, Default)]
pub struct RemovalLog {
    /// Revision after which no removal is missing.
    complete_after: StoreRevision,
    /// Invariant: in the order in which they became known, all after `complete_after`.
    removals: VecDeque<RemovedKey>,
}

impl RemovalLog {
    /// Starts again after a whole copy of the store was applied.
    pub fn reset(&mut self, revision: StoreRevision) {
        self.complete_after = revision;
        self.removals.clear();
    }

    /// Records a removal.
    pub fn on_removed(&mut self, key: &str, revision: u64) {
        if revision <= self.complete_after.number {
            return;
        }
        if self.removals.len() >= MAX_REMOVALS
            && let Some(dropped) = self.removals.pop_front()
        {
            let number = self.complete_after.number.max(dropped.revision);
            self.complete_after.number = number;
        }
        self.removals.push_back(RemovedKey { key: key.to_string(), revision });
    }

    /// Returns the changes that lead from a revision to a copy of the store; `None` if the copy is not newer
    /// or some of the changes are not known any more.
    pub fn changes_after(&self, after: StoreRevision, mirror: &StoreMirror) -> Option<ChangeBatch> {
        let is_known = after.era == self.complete_after.era && after >= self.complete_after;
        if !is_known || mirror.revision.era != after.era || mirror.revision <= after {
            return None;
        }
        let written = mirror.items.values().filter(|item| item.revision > after.number);
        let removed = self.removals.iter().filter(|removed| removed.revision > after.number);
        let removed = removed.map(|removed| StoreEvent::Removed {
            key: removed.key.clone(),
            revision: removed.revision,
        });
        let mut events: Vec<StoreEvent> =
            written.cloned().map(StoreEvent::Put).chain(removed).collect();
        events.sort_by_key(StoreEvent::revision);
        Some(ChangeBatch { after, events, complete_to: mirror.revision.number })
    }
}

#[cfg(test)]
mod tests;
