//! One node's copy of the lists.

use std::collections::VecDeque;

use super::{DeltaError, ListDelta, ListDocument, ListSnapshot, ListVersion};

/// Number of deltas kept for peers that are a few versions behind. Peers that are further behind
/// receive a snapshot.
pub const MAX_HISTORY_DELTAS: usize = 64;

/// Result of applying a delta or a snapshot to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The version is now active.
    Accepted,
    /// The active version is the same or a later one; nothing changed.
    AlreadyHeld,
    /// The delta leads to a later version but does not apply to the active document, so a snapshot
    /// or the deltas in between are needed.
    NeedsSnapshot,
    /// The version has the same number as the active one but another document, and the active one
    /// supersedes it.
    ConflictRejected,
    /// The snapshot's document does not match its digest; the snapshot was discarded.
    DigestMismatch,
}

/// The active snapshot, which only a superseding version replaces.
#[derive(Debug, Clone, Default)]
pub struct ListReplica {
    /// Invariant: replaced only by a version that supersedes it.
    current: ListSnapshot,
    /// Deltas that led to `current`, oldest first. Invariant: the deltas are consecutive and the
    /// last one ends at `current.version`.
    history: VecDeque<ListDelta>,
}

impl ListReplica {
    /// Creates a replica of version 0, the empty document.
    pub fn new() -> ListReplica {
        ListReplica::default()
    }

    /// Returns the active version.
    pub fn version(&self) -> ListVersion {
        self.current.version
    }

    /// Returns the active document.
    pub fn document(&self) -> &ListDocument {
        &self.current.document
    }

    /// Returns the active document with its version.
    pub fn snapshot(&self) -> &ListSnapshot {
        &self.current
    }

    /// Whether any accepted version has been received, that is, whether the version is above 0.
    pub fn is_ready(&self) -> bool {
        self.current.version.number > 0
    }

    /// Activates the version that `delta` leads to, if it supersedes the active one.
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
            Err(DeltaError::BaseMismatch | DeltaError::DigestMismatch) => {
                ApplyOutcome::NeedsSnapshot
            }
        }
    }

    /// Activates the version of `snapshot`, if it supersedes the active one.
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

    /// Returns the deltas that lead from `have` to the active version, or `None` if not all of them
    /// are kept.
    pub fn deltas_since(&self, have: &ListVersion) -> Option<Vec<ListDelta>> {
        let start = self.history.iter().position(|delta| {
            (delta.from.number, delta.from.digest) == (have.number, have.digest)
        })?;
        Some(self.history.iter().skip(start).cloned().collect())
    }

    fn rejection(&self, offered: &ListVersion) -> Option<ApplyOutcome> {
        let active = &self.current.version;
        if offered.supersedes(active) {
            return None;
        }
        let conflict = offered.number == active.number && offered.digest != active.digest;
        Some(if conflict { ApplyOutcome::ConflictRejected } else { ApplyOutcome::AlreadyHeld })
    }
}
