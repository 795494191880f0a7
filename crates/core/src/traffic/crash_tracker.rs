//! Requests that crash the servers that run them, counted over all nodes.
//!
//! Every broken run counts once for its request and the server's life. A request that completes is
//! cleared, so that innocent requests that ran beside a crash are still answered.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{clock::ClockTime, suspects::SuspectFingerprint};

/// Broken runs at different server lives after which a request runs no more.
const MAX_CRASHES: usize = 3;
/// How long a request is remembered after its last broken run.
const CRASH_LIFETIME: Duration = Duration::from_secs(120);
/// Most requests that are remembered. When full, the oldest is forgotten.
const MAX_SUSPECTS: usize = 2_048;

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Like any other.
    Allow,
    /// Never: it has broken too many servers.
    Reject,
}

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    /// Server lives, by a number that all nodes derive alike. Invariant: none twice.
    incarnations: Vec<u64>,
    last_at: ClockTime,
}

/// Broken runs by request.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    records: HashMap<SuspectFingerprint, CrashRecord>,
    /// Fingerprints in the order of their first crash.
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

    /// Counts a broken run at a server life. Returns whether it was not known.
    pub fn on_crash(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        incarnation: u64,
    ) -> bool {
        if !self.records.contains_key(&fingerprint) {
            if self.order.len() >= MAX_SUSPECTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.records.remove(&oldest);
            }
            self.order.push_back(fingerprint);
        }
        let record = self.records.entry(fingerprint).or_default();
        record.last_at = now;
        if record.incarnations.contains(&incarnation) {
            return false;
        }
        record.incarnations.push(incarnation);
        true
    }

    /// A request completed: it crashes no server. Returns whether it was suspected.
    pub fn on_completed(&mut self, fingerprint: SuspectFingerprint) -> bool {
        let known = self.records.remove(&fingerprint).is_some();
        if known {
            self.order.retain(|other| *other != fingerprint);
        }
        known
    }
}
