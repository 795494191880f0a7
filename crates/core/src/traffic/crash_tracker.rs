//! Detects requests that crash the servers that run them, from the crashes at all nodes.
//!
//! Crashes are counted by request, at most once for each server incarnation. The count of a
//! request that completes is cleared, so that requests that merely ran during a crash of the
//! server are still served.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{clock::ClockTime, suspects::SuspectFingerprint};

/// A request is rejected after it crashed this many server incarnations.
const MAX_CRASHES: usize = 3;
/// How long a request is rejected after its last crash.
const CRASH_LIFETIME: Duration = Duration::from_secs(120);
/// Maximum number of tracked requests. When full, the one with the oldest first crash is dropped.
const MAX_SUSPECTS: usize = 2_048;

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may run.
    Allow,
    /// The request must not run, because it has crashed too many servers.
    Reject,
}

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    /// Numbers of the crashed server incarnations, the same on all nodes. Invariant: no duplicates.
    incarnations: Vec<u64>,
    last_at: ClockTime,
}

/// Effect of a crash on the tracker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashCount {
    /// Whether the crash was not known before.
    pub is_new: bool,
    /// Number of server incarnations that the request has crashed.
    pub crashes: usize,
    /// Request that was dropped to make room.
    pub dropped: Option<SuspectFingerprint>,
}

/// Crashes by request.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    records: HashMap<SuspectFingerprint, CrashRecord>,
    /// Tracked fingerprints in the order of their first crash.
    order: VecDeque<SuspectFingerprint>,
}

impl CrashTracker {
    /// Whether a request may run.
    pub fn verdict(&self, now: ClockTime, fingerprint: SuspectFingerprint) -> CrashVerdict {
        match self.records.get(&fingerprint) {
            Some(record)
                if record.incarnations.len() >= MAX_CRASHES
                    && now.since(record.last_at) < CRASH_LIFETIME =>
            {
                CrashVerdict::Reject
            }
            _ => CrashVerdict::Allow,
        }
    }

    /// Number of server incarnations that a request has crashed.
    pub fn crash_count(&self, fingerprint: SuspectFingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, |record| record.incarnations.len())
    }

    /// Largest number of server incarnations that one request has crashed.
    pub fn max_crash_count(&self) -> usize {
        self.records.values().map(|record| record.incarnations.len()).max().unwrap_or(0)
    }

    /// Records that a request crashed a server incarnation.
    pub fn on_crash(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        incarnation: u64,
    ) -> CrashCount {
        let mut dropped = None;
        if !self.records.contains_key(&fingerprint) {
            if self.order.len() >= MAX_SUSPECTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.records.remove(&oldest);
                dropped = Some(oldest);
            }
            self.order.push_back(fingerprint);
        }
        let record = self.records.entry(fingerprint).or_default();
        record.last_at = now;
        let is_new = !record.incarnations.contains(&incarnation);
        if is_new {
            record.incarnations.push(incarnation);
        }
        CrashCount { is_new, crashes: record.incarnations.len(), dropped }
    }

    /// Clears a request that completed. Returns the number of its crashes; 0 if it was not tracked.
    pub fn on_completed(&mut self, fingerprint: SuspectFingerprint) -> usize {
        let Some(record) = self.records.remove(&fingerprint) else { return 0 };
        self.order.retain(|other| *other != fingerprint);
        record.incarnations.len()
    }
}
