//! What a node knows of the servers that ended while they ran one request.
//!
//! A record is a pair of sets that only grow, so that nodes can merge what they know in any order
//! and any number of times, and agree once each has received the reports of the others.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::crash_tracker::MAX_CRASHES;
use crate::suspects::SuspectFingerprint;

/// Maximum number of server incarnations in each set of a record. Nodes that run the request at the
/// same time can crash more servers than [`MAX_CRASHES`].
const MAX_INCARNATIONS: usize = 16;

/// Numbers of server incarnations, the same on all nodes.
type IncarnationSet = SmallVec<[u64; MAX_CRASHES]>;

/// The crashes of one request, as nodes tell each other and keep them in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: SuspectFingerprint,
    /// Server incarnations that ended while they ran the request.
    pub crashed: Vec<u64>,
    /// Those of them that the request did not crash, since it has completed later.
    pub withdrawn: Vec<u64>,
}

/// The crashes of one request. Invariant: neither set has duplicates.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct CrashRecord {
    crashed: IncarnationSet,
    withdrawn: IncarnationSet,
}

impl CrashRecord {
    /// Number of server incarnations that the request has crashed.
    pub fn crash_count(&self) -> usize {
        self.crashed.iter().filter(|server| !self.withdrawn.contains(server)).count()
    }

    /// Number under which a crash in a run that starts now is counted. A server may start again
    /// while its list entry cannot change, so a run that starts after a crash of `incarnation` was
    /// counted runs in a later incarnation.
    pub fn current_incarnation(&self, incarnation: u64) -> u64 {
        let mut current = incarnation;
        while self.crashed.contains(&current) {
            current = current.wrapping_add(1);
        }
        current
    }

    /// Adds a crash. Returns whether it is new.
    pub fn add_crash(&mut self, incarnation: u64) -> bool {
        insert(&mut self.crashed, incarnation)
    }

    /// Withdraws all crashes known so far. Returns whether there were any.
    pub fn withdraw(&mut self) -> bool {
        let count = self.crash_count();
        for incarnation in self.crashed.clone() {
            insert(&mut self.withdrawn, incarnation);
        }
        count > 0
    }

    /// Adds what a report says. Returns whether anything in it is new.
    pub fn merge(&mut self, report: &CrashReport) -> bool {
        let before = self.clone();
        for &incarnation in &report.crashed {
            insert(&mut self.crashed, incarnation);
        }
        for &incarnation in &report.withdrawn {
            insert(&mut self.withdrawn, incarnation);
        }
        *self != before
    }

    /// Whether everything in this record is also in `other`.
    pub fn is_within(&self, other: &CrashRecord) -> bool {
        self.crashed.iter().all(|server| other.crashed.contains(server))
            && self.withdrawn.iter().all(|server| other.withdrawn.contains(server))
    }

    /// Whether everything in this record is also in a report.
    pub fn is_within_report(&self, report: &CrashReport) -> bool {
        self.crashed.iter().all(|server| report.crashed.contains(server))
            && self.withdrawn.iter().all(|server| report.withdrawn.contains(server))
    }

    /// The record as a report.
    pub fn report(&self, fingerprint: SuspectFingerprint) -> CrashReport {
        let (crashed, withdrawn) = (self.crashed.to_vec(), self.withdrawn.to_vec());
        CrashReport { fingerprint, crashed, withdrawn }
    }
}

/// Adds an incarnation to a set that has room for it. Returns whether the set has changed.
fn insert(set: &mut IncarnationSet, incarnation: u64) -> bool {
    let is_new = !set.contains(&incarnation) && set.len() < MAX_INCARNATIONS;
    if is_new {
        set.push(incarnation);
    }
    is_new
}
