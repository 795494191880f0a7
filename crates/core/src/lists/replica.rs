//! The active version of one node.

use std::collections::VecDeque;

use super::{DeltaError, ListDelta, ListDocument, ListSnapshot, ListVersion};

/// Deltas kept to repair peers that lag by a few versions; older gaps take a snapshot.
pub const MAX_HISTORY_DELTAS: usize = 64;

/// What became of an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is active now.
    Accepted,
    /// The held version is the same or a later one.
    AlreadyHeld,
    /// It is later, but cannot be built from the held document: a snapshot is needed.
    NeedsSnapshot,
    /// Another document has the same number and the held one supersedes it.
    ConflictRejected,
    /// The document does not match its digest; it is dropped.
    DigestMismatch,
}

/// Holds the active snapshot and accepts only versions that outrank it.
#[derive(Debug, Clone, Default)]
pub struct ListReplica {
    /// Invariant: only ever replaced by a version that supersedes it.
    current: ListSnapshot,
    /// Deltas that led to `current`, oldest first. Invariant: consecutive, the last one ends at
    /// `current.version`.
    history: VecDeque<ListDelta>,
}

impl ListReplica {
    /// Creates a holder of the empty version 0.
    pub fn new() -> ListReplica {
        ListReplica::default()
    }

    /// The active version.
    pub fn version(&self) -> ListVersion {
        self.current.version
    }

    /// The active document.
    pub fn document(&self) -> &ListDocument {
        &self.current.document
    }

    /// The active document with its version.
    pub fn snapshot(&self) -> &ListSnapshot {
        &self.current
    }

    /// Whether an accepted version is held at all.
    pub fn is_ready(&self) -> bool {
        self.current.version.number > 0
    }

    /// Offers the change to a later version.
    pub fn apply_delta(&mut self, delta: &ListDelta) -> ApplyOutcome {
        if let Some(outcome) = self.rejection(&delta.to) {
            return outcome;
        }
        match delta.apply(&self.current) {
            Ok(snapshot) => {
                self.current = snapshot;
                self.history.push_back(delta.clone());
                if self.history.len() > MAX_HISTORY_DELTAS {
                    self.history.pop_front();
                }
                ApplyOutcome::Accepted
            }
            Err(DeltaError::WrongBase | DeltaError::WrongDigest) => ApplyOutcome::NeedsSnapshot,
        }
    }

    /// Offers a whole later version.
    pub fn apply_snapshot(&mut self, snapshot: &ListSnapshot) -> ApplyOutcome {
        if let Some(outcome) = self.rejection(&snapshot.version) {
            return outcome;
        }
        if !snapshot.is_consistent() {
            return ApplyOutcome::DigestMismatch;
        }
        self.current = snapshot.clone();
        self.history.clear();
        ApplyOutcome::Accepted
    }

    /// The deltas that lead from `have` to the held version, if all are kept.
    pub fn deltas_since(&self, have: &ListVersion) -> Option<Vec<ListDelta>> {
        let start = self.history.iter().position(|delta| {
            (delta.from.number, delta.from.digest) == (have.number, have.digest)
        })?;
        Some(self.history.iter().skip(start).cloned().collect())
    }

    fn rejection(&self, offered: &ListVersion) -> Option<ApplyOutcome> {
        let held = &self.current.version;
        if offered.supersedes(held) {
            return None;
        }
        let conflict = offered.number == held.number && offered.digest != held.digest;
        Some(if conflict { ApplyOutcome::ConflictRejected } else { ApplyOutcome::AlreadyHeld })
    }
}
