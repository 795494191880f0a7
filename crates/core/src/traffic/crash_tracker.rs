//! Detects requests and prompt parts that crash the servers that run them, from the crashes at all
//! nodes.
//!
//! Crashes are counted by request and by prompt part, at most once for each server incarnation. Only
//! whole responses refute them: a server that has begun to respond can still end under the request. A
//! request may crash the servers of one build, some of the servers, or servers in some of its runs, and
//! complete otherwise; several whole responses from servers of the same build refute a crash. Requests that merely ran during the crash of a server are therefore still served.

use std::{collections::HashMap, time::Duration};

use super::{
    crash_messages::{CrashEvent, RunEnd, ServerRun},
    crash_sharing::{RecordOrigin, SharingState},
    crash_verdict::request_quarantine,
    recent_runs::RecentRuns,
    unresolved_runs::UnresolvedRuns,
};
use crate::{
    clock::ClockTime,
    ids::ServerKey,
    rendezvous::rendezvous_score,
    suspects::{
        BlamedGroup, CompletedRun, CrashEntry, CrashRecord, RequestSuspects, RunSuspect,
        ServerBuild, SuspectFingerprint, SuspectKind, SuspectTable, part_quarantine, refuting_runs,
    },
};

/// How long a suspect is remembered after its quarantine, or after a change if it has none.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of tracked requests, and of tracked parts. When full, one with the fewest crashes
/// is dropped.
const MAX_SUSPECTS: usize = 2_048;
/// Suspects under which servers have ended, and the runs that may still show such an end.
#[derive(Debug, Clone)]
pub struct CrashTracker {
    pub(super) suspects: SuspectTable<u64>,
    /// Invariant: has an entry for each suspect of `suspects`, and no other.
    pub(super) sharing: HashMap<SuspectFingerprint, SharingState>,
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
