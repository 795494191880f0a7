//! A node's copy of the platform's store, and which changes it admits.
//!
//! Changes come from the node's own watch, in notices of other nodes, and with whole copies, so a change
//! may arrive after later ones. Within one era of the store, the copy has everything up to its revision:
//! an item from before that it lacks has been removed since.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::adapter::{StoreEvent, StoreItem, StoreRevision};

/// A copy of the platform's store, from which other nodes can start.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoreMirror {
    /// Revision up to which the items are complete.
    pub revision: StoreRevision,
    /// Items by their keys. Those of a copy that was read page by page may be newer than its revision.
    pub items: BTreeMap<String, StoreItem>,
}

/// Changes that follow a revision of the store, none of them missing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Revision that the changes follow.
    pub after: StoreRevision,
    /// The changes, oldest first.
    pub events: Vec<StoreEvent>,
    /// Number of the revision, in the era of `after`, up to which they are complete.
    pub complete_to: u64,
}

/// Why changes cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchError {
    /// Earlier changes are missing.
    Gap,
    /// They are from another era of the store, whose revisions are other ones.
    OtherEra,
}

impl fmt::Display for BatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BatchError::Gap => "earlier changes are missing",
            BatchError::OtherEra => "changes of another era of the store",
        })
    }
}

impl std::error::Error for BatchError {}

impl StoreMirror {
    /// Returns those changes of a batch that the copy does not have yet.
    pub fn admit(&self, batch: ChangeBatch) -> Result<Vec<StoreEvent>, BatchError> {
        if batch.after.era != self.revision.era {
            return Err(BatchError::OtherEra);
        }
        if batch.after > self.revision {
            return Err(BatchError::Gap);
        }
        let mut events = batch.events;
        events.retain(|event| event.revision() > self.revision.number);
        Ok(events)
    }

    /// Returns the changes that turn this copy into a later one, removals first; `None` if the other one is
    /// older. Revisions of different eras cannot be compared, so all items of a later era are changes.
    pub fn changes_to(&self, other: &StoreMirror) -> Option<Vec<StoreEvent>> {
        if other.revision < self.revision {
            return None;
        }
        let is_same_era = other.revision.era == self.revision.era;
        let complete_to = if is_same_era { self.revision.number } else { 0 };
        let revision = other.revision.number;
        let gone = self.items.keys().filter(|key| !other.items.contains_key(*key));
        let gone = gone.map(|key| StoreEvent::Removed { key: key.clone(), revision });
        let written = other.items.values().filter(|item| item.revision > complete_to);
        Some(gone.chain(written.cloned().map(StoreEvent::Put)).collect())
    }
}

#[cfg(test)]
mod tests;
