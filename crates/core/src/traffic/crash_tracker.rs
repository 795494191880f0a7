//! Detects requests and prompt parts that crash the servers that run them, from the crashes at all
//! nodes.
//!
//! Crashes are counted by request and by prompt part, at most once for each server incarnation. Only
//! whole responses refute them: a server that has begun to respond can still end under the request. A
//! request may crash the servers of one build, some of the servers, or servers in some of its runs, and
//! complete otherwise; several whole responses from servers of the same build refute a crash. Requests that merely ran during the crash of a server are therefore still served.

use std::{collections::HashMap, time::Duration};

use super::{
    crash_messages::{CrashEvent, CrashReport, RunEnd, ServerRun},
    crash_verdict::request_quarantine,
    recent_runs::RecentRuns,
    unresolved_runs::UnresolvedRuns,
};
use crate::{
    clock::ClockTime,
    ids::ServerKey,
    rendezvous::rendezvous_score,
    suspects::{
        BlamedGroup, CompletedRun, CrashEntry, CrashRecord, DroppedSuspect, RequestSuspects,
        RunSuspect, ServerBuild, SuspectFingerprint, SuspectKind, SuspectTable, part_quarantine,
        refuting_runs,
    },
};

/// How long a suspect is remembered after its quarantine, or after a change if it has none.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of tracked requests, and of tracked parts. When full, one with the fewest crashes
/// is dropped.
const MAX_SUSPECTS: usize = 2_048;
/// Number of crashes from which on the record of a request is kept in the store. After a single
/// crash, all requests that ran at the server have one.
const MIN_LASTING_CRASHES: usize = 2;
/// Number of times a record is sent again after this node has changed it, as notices get lost.
const REPEATS: u8 = 2;

/// How a node came to know of a suspect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum RecordOrigin {
    /// Copied from the store or another node, possibly long after the crashes.
    #[default]
    Copied,
    /// Reported by another node when it changed.
    Reported,
    /// This node has run the suspect.
    Observed,
}

/// What this node still has to tell the other nodes and the store of a suspect.
#[derive(Debug, Clone, Default)]
struct SharingState {
    /// What the store holds of it.
    stored: CrashRecord<u64>,
    origin: RecordOrigin,
    repeats_left: u8,
}

/// Suspects under which servers have ended, and the runs that may still show such an end.
#[derive(Debug, Clone)]
pub struct CrashTracker {
    pub(super) suspects: SuspectTable<u64>,
    /// Invariant: has an entry for each suspect of `suspects`, and no other.
    sharing: HashMap<SuspectFingerprint, SharingState>,
    /// Number of runs in progress: of requests, and of parts that could be blamed when the run
    /// began. Invariant: no entry is 0.
    pub(super) running: HashMap<SuspectFingerprint, usize>,
    pub(super) unresolved: UnresolvedRuns,
    recent: RecentRuns,
    /// Distinguishes the runs of this node from those of others.
    node_number: u64,
    /// Number of runs begun so far.
    next_run: u64,
}

impl Default for CrashTracker {
    fn default() -> CrashTracker {
        CrashTracker {
            suspects: SuspectTable::new(MAX_SUSPECTS),
            sharing: HashMap::new(),
            running: HashMap::new(),
            unresolved: UnresolvedRuns::default(),
            recent: RecentRuns::default(),
            node_number: 0,
            next_run: 0,
        }
    }
}

impl CrashTracker {
    /// Creates a tracker without suspects. `node_number` is another one for each run of each node.
    pub fn new(node_number: u64) -> CrashTracker {
        CrashTracker { node_number, ..CrashTracker::default() }
    }

    /// Number of server incarnations that a suspect has crashed.
    pub fn crash_count(&self, fingerprint: SuspectFingerprint) -> usize {
        self.suspects.crash_count(fingerprint)
    }

    /// Largest number of server incarnations that one request or part has crashed.
    pub fn max_crash_count(&self) -> usize {
        self.suspects.records().map(|(_, record)| record.crash_count()).max().unwrap_or(0)
    }

    /// The groups of parts that are blamed for crashes.
    pub fn blamed_groups(&self) -> &[BlamedGroup] {
        self.suspects.blamed_groups()
    }

    /// Records that a run starts at a server. `incarnation` is the number of its incarnation, the
    /// same on all nodes, and `build` its software and weights.
    pub fn start_run(
        &mut self,
        suspects: &RequestSuspects,
        server: ServerKey,
        incarnation: u64,
        build: ServerBuild,
    ) -> ServerRun {
        let suspects = self.suspects.run_suspects(suspects);
        for suspect in suspects.iter().filter(|suspect| suspect.is_counted) {
            *self.running.entry(suspect.fingerprint).or_default() += 1;
        }
        let incarnation = self.current_incarnation(&suspects, incarnation);
        self.next_run = self.next_run.wrapping_add(1);
        let number = rendezvous_score(&self.next_run.to_le_bytes(), self.node_number);
        ServerRun { server, incarnation, build, number, suspects }
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
        let counted = run.suspects.iter().filter(|suspect| suspect.is_counted);
        counted.for_each(|suspect| self.remove_running(suspect.fingerprint));
        match end {
            RunEnd::Completed => self.add_completed(now, &run, events),
            RunEnd::Refused => {}
            RunEnd::Broken => self.count(now, &run, events),
            RunEnd::Unanswered if is_listed => self.unresolved.add(now, run),
            RunEnd::Unanswered => self.count(now, &run, events),
        }
    }

    /// Forgets the runs that ended without a response at or after `since`, as this node had lost its
    /// links to the servers.
    pub fn on_links_lost(&mut self, since: ClockTime) {
        self.unresolved.forget(since);
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
        runs.iter().for_each(|run| self.count(now, run, events));
    }

    /// Records that a server incarnation has ended without having announced that it leaves.
    pub fn on_server_ended(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        events: &mut Vec<CrashEvent>,
    ) {
        let runs = self.unresolved.take_ended(server);
        runs.iter().for_each(|run| self.count(now, run, events));
    }

    /// Drops what has expired, and returns the silent servers to which a connection is to be opened.
    /// Pass the results to [`CrashTracker::on_server_checked`].
    pub fn tick(&mut self, now: ClockTime) -> Vec<ServerKey> {
        self.suspects
            .expire(now, |fingerprint, record| quarantine(fingerprint, record) + CRASH_LIFETIME);
        let suspects = &self.suspects;
        self.sharing.retain(|fingerprint, _| suspects.record(*fingerprint).is_some());
        self.recent.tick(now);
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
        runs.iter().for_each(|run| self.count(now, run, events));
    }

    /// Adds what another node has reported of a suspect that changed there.
    pub fn merge_reported(
        &mut self,
        now: ClockTime,
        report: &CrashReport,
        events: &mut Vec<CrashEvent>,
    ) {
        self.merge(now, report, RecordOrigin::Reported, events);
        let Some(record) = self.suspects.record(report.fingerprint) else { return };
        let lacks_some = !record.is_within(&report.crashes);
        let sharing = self.sharing.entry(report.fingerprint).or_default();
        if sharing.origin == RecordOrigin::Observed && lacks_some {
            // The sender lacks something that this node has seen itself.
            sharing.repeats_left = sharing.repeats_left.max(1);
        }
    }

    /// Adds what another node knows of a suspect.
    pub fn merge_copied(
        &mut self,
        now: ClockTime,
        report: &CrashReport,
        events: &mut Vec<CrashEvent>,
    ) {
        self.merge(now, report, RecordOrigin::Copied, events);
    }

    /// Adds what the store holds of a suspect.
    pub fn merge_stored(
        &mut self,
        now: ClockTime,
        report: &CrashReport,
        events: &mut Vec<CrashEvent>,
    ) {
        self.merge(now, report, RecordOrigin::Copied, events);
        let stored = &mut self.sharing.entry(report.fingerprint).or_default().stored;
        *stored = CrashRecord::default();
        stored.merge(&report.crashes);
    }

    /// Records that the store no longer holds anything of a suspect.
    pub fn on_stored_removed(&mut self, fingerprint: SuspectFingerprint) {
        if let Some(sharing) = self.sharing.get_mut(&fingerprint) {
            sharing.stored = CrashRecord::default();
        }
    }

    /// Returns the records that the store lacks and that this node should write: those that it has
    /// observed, and those reported to it that no other node has written within `grace`.
    pub fn unstored(&self, now: ClockTime, grace: Duration) -> Vec<CrashReport> {
        let missing = self.sharing.iter().filter(|(fingerprint, sharing)| {
            let changed_at = self.suspects.changed_at(**fingerprint).unwrap_or_default();
            let is_due = match sharing.origin {
                RecordOrigin::Observed => true,
                RecordOrigin::Reported => now.since(changed_at) >= grace,
                RecordOrigin::Copied => false,
            };
            is_due && self.is_lasting(**fingerprint, sharing)
        });
        let reports = missing.filter_map(|(fingerprint, sharing)| {
            let record = self.suspects.record(*fingerprint)?;
            let is_stored = record.is_within(sharing.stored.entries());
            (!is_stored).then(|| report(*fingerprint, record))
        });
        reports.collect()
    }

    /// Returns the record of a suspect for the other nodes.
    pub fn report(&self, fingerprint: SuspectFingerprint) -> Option<CrashReport> {
        self.suspects.record(fingerprint).map(|record| report(fingerprint, record))
    }

    /// Returns all records, for a node that has started or was cut off.
    pub fn reports(&self) -> Vec<CrashReport> {
        self.suspects.records().map(|(fingerprint, record)| report(fingerprint, record)).collect()
    }

    /// Returns the records that are to be sent to the other nodes once more.
    pub fn take_repeats(&mut self) -> Vec<CrashReport> {
        let due = self.sharing.iter_mut().filter(|(_, sharing)| sharing.repeats_left > 0);
        due.filter_map(|(fingerprint, sharing)| {
            sharing.repeats_left -= 1;
            Some(report(*fingerprint, self.suspects.record(*fingerprint)?))
        })
        .collect()
    }

    /// Whether the store should hold a record: that of a suspect that is rejected or is about to be,
    /// and any that it holds already.
    fn is_lasting(&self, fingerprint: SuspectFingerprint, sharing: &SharingState) -> bool {
        let is_suspicious = match fingerprint.kind() {
            SuspectKind::Request => self.crash_count(fingerprint) >= MIN_LASTING_CRASHES,
            SuspectKind::Part => self.suspects.is_blamed(fingerprint),
        };
        is_suspicious || sharing.stored != CrashRecord::default()
    }

    /// Returns the number under which a crash in a run that starts now is counted. A server may
    /// start again while its list entry cannot change, so a run that starts after a crash of
    /// `incarnation` was counted runs in a later incarnation.
    fn current_incarnation(&self, suspects: &[RunSuspect], incarnation: u64) -> u64 {
        let records = suspects.iter().filter_map(|run| self.suspects.record(run.fingerprint));
        let records: Vec<_> = records.collect();
        let mut current = incarnation;
        while records.iter().any(|record| record.contains(current)) {
            current = current.wrapping_add(1);
        }
        current
    }

    fn merge(
        &mut self,
        now: ClockTime,
        report: &CrashReport,
        origin: RecordOrigin,
        events: &mut Vec<CrashEvent>,
    ) {
        let fingerprint = report.fingerprint;
        let mut dropped = Vec::new();
        let changed = self.suspects.merge(now, fingerprint, &report.crashes, &mut dropped);
        self.drop_sharing(&dropped, events);
        let sharing = self.sharing.entry(fingerprint).or_default();
        if changed {
            sharing.origin = sharing.origin.max(origin);
            let crashes = self.crash_count(fingerprint);
            events.push(CrashEvent::Learned { fingerprint, crashes });
        }
    }

    fn count(&mut self, now: ClockTime, run: &ServerRun, events: &mut Vec<CrashEvent>) {
        for suspect in &run.suspects {
            let fingerprint = suspect.fingerprint;
            let mut entry = CrashEntry::new(run.incarnation, suspect.round, run.build);
            let mut completed = self.recent.find(fingerprint, run.build);
            entry.completed = completed.at_other_builds();
            entry.completed.merge(suspect.completed);
            completed.merge(suspect.completed);
            let required = refuting_runs(fingerprint.kind());
            entry.withdrawn = completed.same_build_count() >= required;
            let mut dropped = Vec::new();
            let changed = self.suspects.count_crash(now, fingerprint, entry, &mut dropped);
            self.drop_sharing(&dropped, events);
            if changed && entry.withdrawn {
                self.sharing.entry(fingerprint).or_default().origin = RecordOrigin::Observed;
            } else if changed {
                self.mark_observed(fingerprint);
                events.push(CrashEvent::Counted {
                    fingerprint,
                    incarnation: run.incarnation,
                    build: run.build,
                    crashes: self.crash_count(fingerprint),
                });
            }
        }
    }

    fn add_completed(&mut self, now: ClockTime, run: &ServerRun, events: &mut Vec<CrashEvent>) {
        for suspect in &run.suspects {
            let fingerprint = suspect.fingerprint;
            self.recent.add(fingerprint, run.build, run.number);
            self.unresolved.add_completed(fingerprint, run);
            let required = self.required_runs(now, fingerprint);
            let completed =
                CompletedRun { number: run.number, build: run.build, suspects: &run.suspects };
            let completion = self.suspects.add_completed(now, fingerprint, &completed, required);
            if completion.withdrawn > 0 {
                self.mark_observed(fingerprint);
                let crashes = completion.withdrawn;
                events.push(CrashEvent::Withdrawn { fingerprint, crashes, build: run.build });
            } else if completion.is_new {
                events.push(CrashEvent::Completed { fingerprint });
            }
        }
    }

    /// Returns how many completed runs refute the crashes of a suspect. After its quarantine, the first
    /// one does.
    fn required_runs(&self, now: ClockTime, fingerprint: SuspectFingerprint) -> u32 {
        let changed_at = self.suspects.changed_at(fingerprint).unwrap_or(now);
        let record = self.suspects.record(fingerprint);
        let quarantine = record.map_or(Duration::ZERO, |record| quarantine(fingerprint, record));
        let has_passed = !quarantine.is_zero() && now.since(changed_at) >= quarantine;
        if has_passed { 1 } else { refuting_runs(fingerprint.kind()) }
    }

    fn mark_observed(&mut self, fingerprint: SuspectFingerprint) {
        let sharing = self.sharing.entry(fingerprint).or_default();
        sharing.origin = RecordOrigin::Observed;
        sharing.repeats_left = REPEATS;
    }

    fn drop_sharing(&mut self, dropped: &[DroppedSuspect], events: &mut Vec<CrashEvent>) {
        for &DroppedSuspect { fingerprint, crashes } in dropped {
            self.sharing.remove(&fingerprint);
            events.push(CrashEvent::Dropped { fingerprint, crashes });
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
}

impl ServerRun {
    pub(super) fn has_suspect(&self, fingerprint: SuspectFingerprint) -> bool {
        self.suspects.iter().any(|suspect| suspect.fingerprint == fingerprint)
    }
}

/// How long a suspect is rejected after its last crash.
fn quarantine(fingerprint: SuspectFingerprint, record: &CrashRecord<u64>) -> Duration {
    match fingerprint.kind() {
        SuspectKind::Request => request_quarantine(record.crash_count()),
        SuspectKind::Part => part_quarantine(record.round()),
    }
}

fn report(fingerprint: SuspectFingerprint, record: &CrashRecord<u64>) -> CrashReport {
    CrashReport { fingerprint, crashes: record.entries().to_vec() }
}
