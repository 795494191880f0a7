//! Detects requests that crash the servers that run them, from the crashes at all nodes.
//!
//! Crashes are counted by request, at most once for each server incarnation. Only a whole response
//! refutes them: a server that has begun to respond can still end under the request. Requests that
//! merely ran during the crash of a server are therefore still served.

use std::{collections::HashMap, time::Duration};

use super::{
    crash_messages::{CrashEvent, CrashVerdict, RunEnd, ServerRun},
    crash_record::{CrashRecord, CrashReport},
    unresolved_runs::UnresolvedRuns,
};
use crate::{clock::ClockTime, ids::ServerKey, suspects::SuspectFingerprint};

/// A request is rejected after it crashed this many server incarnations.
pub const MAX_CRASHES: usize = 3;
/// How long a request is rejected after its third crash. Doubles with each further crash, which can
/// only happen in the single run that is allowed after this time.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(120);
/// How long a request is remembered after its quarantine, or after a change if it has none.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of tracked requests. When full, one with the fewest crashes is dropped.
const MAX_SUSPECTS: usize = 2_048;
/// Number of crashes from which on a record is kept in the store. After a single crash, all
/// requests that ran at the server have one.
const MIN_LASTING_CRASHES: usize = 2;
/// Number of times a record is sent again after this node has changed it, as notices get lost.
const REPEATS: u8 = 2;

/// How a node came to know of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum RecordOrigin {
    /// Copied from the store or another node, possibly long after the crashes.
    #[default]
    Copied,
    /// Reported by another node when it changed.
    Reported,
    /// This node has run the request.
    Observed,
}

#[derive(Debug, Clone, Default)]
struct TrackedRequest {
    record: CrashRecord,
    /// What the store holds of it.
    stored: CrashRecord,
    changed_at: ClockTime,
    origin: RecordOrigin,
    repeats_left: u8,
}

/// Requests under which servers have ended, and the runs that may still show such an end.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    requests: HashMap<SuspectFingerprint, TrackedRequest>,
    /// Number of runs in progress. Invariant: no entry is 0.
    running: HashMap<SuspectFingerprint, usize>,
    unresolved: UnresolvedRuns,
}

impl CrashTracker {
    /// Whether a request may run.
    pub fn verdict(&self, now: ClockTime, fingerprint: SuspectFingerprint) -> CrashVerdict {
        let known = self.requests.get(&fingerprint);
        if known.is_some_and(|known| now.since(known.changed_at) < known.quarantine()) {
            return CrashVerdict::Reject;
        }
        // After a quarantine, one run is allowed at a time.
        let crashes = self.crash_count(fingerprint).min(MAX_CRASHES - 1);
        let suspected = crashes + self.unresolved.count(fingerprint);
        let running = self.running.get(&fingerprint).copied().unwrap_or(0);
        if suspected > 0 && suspected + running >= MAX_CRASHES {
            return CrashVerdict::Wait;
        }
        CrashVerdict::Allow
    }

    /// Number of server incarnations that a request has crashed.
    pub fn crash_count(&self, fingerprint: SuspectFingerprint) -> usize {
        self.requests.get(&fingerprint).map_or(0, |known| known.record.crash_count())
    }

    /// Largest number of server incarnations that one request has crashed.
    pub fn max_crash_count(&self) -> usize {
        self.requests.values().map(|known| known.record.crash_count()).max().unwrap_or(0)
    }

    /// Records that a run starts at a server. `incarnation` is the number of its incarnation, the
    /// same on all nodes.
    pub fn start_run(
        &mut self,
        fingerprint: SuspectFingerprint,
        server: ServerKey,
        incarnation: u64,
    ) -> ServerRun {
        *self.running.entry(fingerprint).or_default() += 1;
        let known = self.requests.get(&fingerprint);
        let incarnation =
            known.map_or(incarnation, |known| known.record.current_incarnation(incarnation));
        ServerRun { fingerprint, server, incarnation }
    }

    /// Records that a run has ended. `is_listed` is whether the server incarnation is still known.
    pub fn end_run(
        &mut self,
        now: ClockTime,
        run: ServerRun,
        end: RunEnd,
        is_listed: bool,
        events: &mut Vec<CrashEvent>,
    ) {
        self.remove_running(run.fingerprint);
        match end {
            RunEnd::Completed => self.withdraw(now, run.fingerprint, events),
            RunEnd::Refused => {}
            RunEnd::Broken => self.count(now, run, events),
            RunEnd::Unanswered if is_listed => self.unresolved.add(now, run),
            RunEnd::Unanswered => self.count(now, run, events),
        }
    }

    /// Records that a server was alive at `alive_at`, because it responded to something sent then.
    pub fn on_server_alive(&mut self, server: ServerKey, alive_at: ClockTime) {
        self.unresolved.resolve_alive(server, alive_at);
    }

    /// Records that connections to a server break or cannot be opened.
    pub fn on_server_lost(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        events: &mut Vec<CrashEvent>,
    ) {
        let runs = self.unresolved.take_lost(server);
        runs.into_iter().for_each(|run| self.count(now, run, events));
    }

    /// Records that a server incarnation has ended without having announced that it leaves.
    pub fn on_server_ended(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        events: &mut Vec<CrashEvent>,
    ) {
        let runs = self.unresolved.take_ended(server);
        runs.into_iter().for_each(|run| self.count(now, run, events));
    }

    /// Drops what has expired, and returns the silent servers to which a connection is to be opened.
    /// Pass the results to [`CrashTracker::on_server_checked`].
    pub fn tick(&mut self, now: ClockTime) -> Vec<ServerKey> {
        self.requests
            .retain(|_, known| now.since(known.changed_at) < known.quarantine() + CRASH_LIFETIME);
        self.unresolved.tick(now)
    }

    /// Records whether a connection to a silent server could be opened.
    pub fn on_server_checked(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        reachable: bool,
        events: &mut Vec<CrashEvent>,
    ) {
        let runs = self.unresolved.take_checked(server, reachable);
        runs.into_iter().for_each(|run| self.count(now, run, events));
    }

    /// Adds what another node has reported of a request that changed there.
    pub fn merge_reported(
        &mut self,
        now: ClockTime,
        report: &CrashReport,
        events: &mut Vec<CrashEvent>,
    ) {
        let known = self.merge(now, report, RecordOrigin::Reported, events);
        if known.origin == RecordOrigin::Observed && !known.record.is_within_report(report) {
            // The sender lacks something that this node has seen itself.
            known.repeats_left = known.repeats_left.max(1);
        }
    }

    /// Adds what another node knows of a request.
    pub fn merge_copied(
        &mut self,
        now: ClockTime,
        report: &CrashReport,
        events: &mut Vec<CrashEvent>,
    ) {
        self.merge(now, report, RecordOrigin::Copied, events);
    }

    /// Adds what the store holds of a request.
    pub fn merge_stored(
        &mut self,
        now: ClockTime,
        report: &CrashReport,
        events: &mut Vec<CrashEvent>,
    ) {
        let known = self.merge(now, report, RecordOrigin::Copied, events);
        known.stored = CrashRecord::default();
        known.stored.merge(report);
    }

    /// Records that the store no longer holds anything of a request.
    pub fn on_stored_removed(&mut self, fingerprint: SuspectFingerprint) {
        if let Some(known) = self.requests.get_mut(&fingerprint) {
            known.stored = CrashRecord::default();
        }
    }

    /// Returns the records that the store lacks and that this node should write: those that it has
    /// observed, and those reported to it that no other node has written within `grace`.
    pub fn unstored(&self, now: ClockTime, grace: Duration) -> Vec<CrashReport> {
        let missing = self.requests.iter().filter(|(_, known)| {
            let is_due = match known.origin {
                RecordOrigin::Observed => true,
                RecordOrigin::Reported => now.since(known.changed_at) >= grace,
                RecordOrigin::Copied => false,
            };
            let is_lasting = known.record.crash_count() >= MIN_LASTING_CRASHES
                || known.stored != CrashRecord::default();
            is_due && is_lasting && !known.record.is_within(&known.stored)
        });
        missing.map(|(fingerprint, known)| known.record.report(*fingerprint)).collect()
    }

    /// Returns the record of a request for the other nodes.
    pub fn report(&self, fingerprint: SuspectFingerprint) -> Option<CrashReport> {
        self.requests.get(&fingerprint).map(|known| known.record.report(fingerprint))
    }

    /// Returns all records, for a node that has started or was cut off.
    pub fn reports(&self) -> Vec<CrashReport> {
        let known = self.requests.iter();
        known.map(|(fingerprint, known)| known.record.report(*fingerprint)).collect()
    }

    /// Returns the records that are to be sent to the other nodes once more.
    pub fn take_repeats(&mut self) -> Vec<CrashReport> {
        let due = self.requests.iter_mut().filter(|(_, known)| known.repeats_left > 0);
        due.map(|(fingerprint, known)| {
            known.repeats_left -= 1;
            known.record.report(*fingerprint)
        })
        .collect()
    }

    fn merge(
        &mut self,
        now: ClockTime,
        report: &CrashReport,
        origin: RecordOrigin,
        events: &mut Vec<CrashEvent>,
    ) -> &mut TrackedRequest {
        let known = self.request_mut(now, report.fingerprint, events);
        if known.record.merge(report) {
            known.changed_at = now;
            known.origin = known.origin.max(origin);
            let crashes = known.record.crash_count();
            events.push(CrashEvent::Learned { fingerprint: report.fingerprint, crashes });
        }
        known
    }

    fn count(&mut self, now: ClockTime, run: ServerRun, events: &mut Vec<CrashEvent>) {
        let known = self.request_mut(now, run.fingerprint, events);
        if known.record.add_crash(run.incarnation) {
            known.mark_observed(now);
            events.push(CrashEvent::Counted {
                fingerprint: run.fingerprint,
                incarnation: run.incarnation,
                crashes: known.record.crash_count(),
            });
        }
    }

    fn withdraw(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        events: &mut Vec<CrashEvent>,
    ) {
        self.unresolved.remove_request(fingerprint);
        let Some(known) = self.requests.get_mut(&fingerprint) else { return };
        let crashes = known.record.crash_count();
        if known.record.withdraw() {
            known.mark_observed(now);
            events.push(CrashEvent::Withdrawn { fingerprint, crashes });
        }
    }

    fn remove_running(&mut self, fingerprint: SuspectFingerprint) {
        if let Some(running) = self.running.get_mut(&fingerprint) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&fingerprint);
            }
        }
    }

    fn request_mut(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        events: &mut Vec<CrashEvent>,
    ) -> &mut TrackedRequest {
        if !self.requests.contains_key(&fingerprint) && self.requests.len() >= MAX_SUSPECTS {
            self.drop_least_suspect(events);
        }
        self.requests
            .entry(fingerprint)
            .or_insert_with(|| TrackedRequest { changed_at: now, ..TrackedRequest::default() })
    }

    /// Drops the request with the fewest crashes, among those the one that changed first.
    fn drop_least_suspect(&mut self, events: &mut Vec<CrashEvent>) {
        let least = self
            .requests
            .iter()
            .min_by_key(|(_, known)| (known.record.crash_count(), known.changed_at));
        let Some((&fingerprint, known)) = least else { return };
        let crashes = known.record.crash_count();
        self.requests.remove(&fingerprint);
        events.push(CrashEvent::Dropped { fingerprint, crashes });
    }
}

impl TrackedRequest {
    /// How long the request is rejected after its last change.
    fn quarantine(&self) -> Duration {
        match self.record.crash_count().checked_sub(MAX_CRASHES) {
            Some(further) => QUARANTINE_PERIOD * (1 << further),
            None => Duration::ZERO,
        }
    }

    fn mark_observed(&mut self, now: ClockTime) {
        self.changed_at = now;
        self.origin = RecordOrigin::Observed;
        self.repeats_left = REPEATS;
    }
}
