//! The suspects of a node: requests and prompt parts under which servers have ended.

use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

use super::{
    BlamedGroup, CompletedRuns, Completion, CrashEntry, CrashRecord, RequestSuspects, ServerBuild,
    SuspectFingerprint, SuspectKind,
    blame::{BlameCandidate, MIN_BLAMED_CRASHES, find_groups},
};
use crate::clock::ClockTime;

/// A part without a completed run explains crashes of another one if it has at least this many crashes.
const MIN_CRASHES_EXPLAINING: usize = 2;
/// The same as a share of the other one's crashes, numerator and denominator.
const MIN_SHARE_EXPLAINED: (usize, usize) = (1, 2);

/// Number of suspects of a run that are stored without an allocation.
const INLINE_SUSPECTS: usize = 4;

#[derive(Debug, Clone)]
struct KnownSuspect<I> {
    record: CrashRecord<I>,
    changed_at: ClockTime,
}

/// A suspect in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSuspect {
    /// The suspect.
    pub fingerprint: SuspectFingerprint,
    /// Round of the crash if the server ends under the run.
    pub round: u8,
    /// Whether the number of such runs in progress matters: the suspect is a request, or a part
    /// that could be blamed when the run began.
    pub is_counted: bool,
    /// Runs with the suspect that completed after this one had ended.
    pub completed: CompletedRuns,
}

/// The suspects of a run: the request and the parts of its prompt.
pub type RunSuspects = SmallVec<[RunSuspect; INLINE_SUSPECTS]>;

/// A run that has completed.
#[derive(Debug, Clone, Copy)]
pub struct CompletedRun<'a> {
    /// Identifies the run on all nodes.
    pub number: u64,
    /// Build of its server.
    pub build: ServerBuild,
    /// Its request and the parts of its prompt.
    pub suspects: &'a RunSuspects,
}

/// What the crashes say about the prompt parts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartVerdict<'a> {
    /// No part is blamed.
    Clear,
    /// Some parts are blamed together with parts that the request does not have, or in doubt. Its run
    /// tells more.
    Unclear(&'a BlamedGroup),
    /// All parts that are blamed together are in the request, and there is no doubt.
    Blamed(&'a BlamedGroup),
}

/// A suspect that was dropped to make room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DroppedSuspect {
    /// The suspect.
    pub fingerprint: SuspectFingerprint,
    /// Number of its crashes.
    pub crashes: usize,
}

/// Crash records of requests and parts. `I` identifies a server incarnation in the same way on all
/// nodes.
#[derive(Debug, Clone)]
pub struct SuspectTable<I> {
    known: HashMap<SuspectFingerprint, KnownSuspect<I>>,
    /// Number of known requests and of known parts. Invariant: neither exceeds `capacity`.
    requests: usize,
    parts: usize,
    capacity: usize,
    /// Invariant: the known parts with at least [`MIN_BLAMED_CRASHES`] crashes.
    candidates: Vec<SuspectFingerprint>,
    /// Invariant: what [`find_groups`] returns for the candidates.
    groups: Vec<BlamedGroup>,
}

impl<I: Copy + Eq> SuspectTable<I> {
    /// Creates an empty table for `capacity` requests and as many parts. When it is full, a suspect
    /// with the fewest crashes is dropped.
    pub fn new(capacity: usize) -> SuspectTable<I> {
        SuspectTable {
            known: HashMap::new(),
            requests: 0,
            parts: 0,
            capacity,
            candidates: Vec::new(),
            groups: Vec::new(),
        }
    }

    /// Returns the record of a suspect.
    pub fn record(&self, fingerprint: SuspectFingerprint) -> Option<&CrashRecord<I>> {
        self.known.get(&fingerprint).map(|known| &known.record)
    }

    /// Iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = (SuspectFingerprint, &CrashRecord<I>)> {
        self.known.iter().map(|(fingerprint, known)| (*fingerprint, &known.record))
    }

    /// Returns the number of server incarnations that a suspect has crashed.
    pub fn crash_count(&self, fingerprint: SuspectFingerprint) -> usize {
        self.record(fingerprint).map_or(0, CrashRecord::crash_count)
    }

    /// Returns the suspects of a run that starts now.
    pub fn run_suspects(&self, suspects: &RequestSuspects) -> RunSuspects {
        let run_suspects = suspects.iter().map(|fingerprint| RunSuspect {
            fingerprint,
            round: self.record(fingerprint).map_or(0, CrashRecord::round).saturating_add(1),
            is_counted: fingerprint.kind() == SuspectKind::Request
                || self.is_candidate(fingerprint),
            completed: CompletedRuns::default(),
        });
        run_suspects.collect()
    }

    /// Returns when the record of a suspect changed last.
    pub fn changed_at(&self, fingerprint: SuspectFingerprint) -> Option<ClockTime> {
        self.known.get(&fingerprint).map(|known| known.changed_at)
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether a part has so many crashes that it may be blamed.
    fn is_candidate(&self, part: SuspectFingerprint) -> bool {
        self.candidates.contains(&part)
    }

    /// Whether a part is in a group that is blamed.
    pub fn is_blamed(&self, part: SuspectFingerprint) -> bool {
        self.groups.iter().any(|group| group.parts.contains(&part))
    }

    /// Returns the groups of parts that are blamed, most crashes first.
    pub fn blamed_groups(&self) -> &[BlamedGroup] {
        &self.groups
    }

    /// Judges the parts of a request by their crashes.
    pub fn judge_parts(&self, parts: &[SuspectFingerprint]) -> PartVerdict<'_> {
        let mut verdict = PartVerdict::Clear;
        for group in &self.groups {
            let held = group.parts.iter().filter(|part| parts.contains(part)).count();
            if held == group.parts.len() && !group.is_doubtful {
                return PartVerdict::Blamed(group);
            }
            if held > 0 && verdict == PartVerdict::Clear {
                verdict = PartVerdict::Unclear(group);
            }
        }
        verdict
    }

    /// Counts a crash. Returns whether the record has changed.
    pub fn count_crash(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        entry: CrashEntry<I>,
        dropped: &mut Vec<DroppedSuspect>,
    ) -> bool {
        self.change(now, fingerprint, dropped, |record| record.add_crash(entry))
    }

    /// Adds what a report says of a suspect. Returns whether anything in it is new.
    pub fn merge(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        report: &[CrashEntry<I>],
        dropped: &mut Vec<DroppedSuspect>,
    ) -> bool {
        let crashes_before = self.crash_entries(fingerprint);
        let mut is_new = false;
        self.change(now, fingerprint, dropped, |record| {
            is_new = record.merge(report);
            record.withdraw_refuted(fingerprint.kind());
            record.crash_entries() != crashes_before
        });
        if is_new {
            self.update_blame(fingerprint);
        }
        is_new
    }

    /// Records that a run of some suspects completed at a server of `build`, which withdraws the crashes
    /// of one of them that `required` such runs speak against. `number` identifies the run on all nodes.
    pub fn add_completed(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        run: &CompletedRun<'_>,
        required: u32,
    ) -> Completion {
        if !self.known.contains_key(&fingerprint) {
            return Completion::default();
        }
        let explained = self.explained_crashes(fingerprint, run.suspects);
        let Some(known) = self.known.get_mut(&fingerprint) else { return Completion::default() };
        let completion = known.record.add_completed(run.number, run.build, |server| {
            // A part that was not in the run explains this crash better.
            if explained.contains(&server) { 1 } else { required }
        });
        if completion.withdrawn > 0 {
            known.changed_at = now;
        }
        if completion.is_new {
            self.update_blame(fingerprint);
        }
        completion
    }

    /// Returns the server incarnations that ended under parts which explain the crashes of this one better,
    /// since they were not in the run that has completed and no run with them has.
    fn explained_crashes(
        &self,
        fingerprint: SuspectFingerprint,
        suspects: &RunSuspects,
    ) -> SmallVec<[I; 8]> {
        let crash_count = self.crash_count(fingerprint);
        if fingerprint.kind() == SuspectKind::Request || crash_count == 0 {
            return SmallVec::new();
        }
        let least = (crash_count * MIN_SHARE_EXPLAINED.0).div_ceil(MIN_SHARE_EXPLAINED.1);
        let is_present = |part| suspects.iter().any(|suspect| suspect.fingerprint == part);
        let others = self.known.iter().filter(|(part, known)| {
            part.kind() == SuspectKind::Part
                && known.record.crash_count() >= least.max(MIN_CRASHES_EXPLAINING)
                && known.record.crashes().all(|crash| crash.completed.same_build_count() == 0)
                && !is_present(**part)
        });
        let crashes = others.flat_map(|(_, known)| known.record.crashes());
        crashes.map(|crash| crash.server).collect()
    }

    /// Returns the server incarnations and rounds of the crashes of a suspect.
    fn crash_entries(&self, fingerprint: SuspectFingerprint) -> SmallVec<[(I, u8); 8]> {
        self.record(fingerprint).map(CrashRecord::crash_entries).unwrap_or_default()
    }

    /// Withdraws the crash of one server incarnation, also if it is reported only later.
    pub fn withdraw_crash(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        server: I,
        dropped: &mut Vec<DroppedSuspect>,
    ) {
        self.change(now, fingerprint, dropped, |record| {
            record.withdraw(server);
            false
        });
        self.update_blame(fingerprint);
    }

    /// Drops the suspects whose record changed `lifetime` ago; the lifetime depends on the record.
    pub fn expire(
        &mut self,
        now: ClockTime,
        lifetime: impl Fn(SuspectFingerprint, &CrashRecord<I>) -> Duration,
    ) {
        let expired = self.known.iter().filter(|(fingerprint, known)| {
            now.since(known.changed_at) >= lifetime(**fingerprint, &known.record)
        });
        let expired: Vec<_> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        expired.into_iter().for_each(|fingerprint| self.remove(fingerprint));
    }

    /// Applies a change to a record, which is created if needed.
    fn change(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        dropped: &mut Vec<DroppedSuspect>,
        change: impl FnOnce(&mut CrashRecord<I>) -> bool,
    ) -> bool {
        if !self.known.contains_key(&fingerprint) {
            self.make_room(fingerprint.kind(), dropped);
            *self.count_mut(fingerprint.kind()) += 1;
        }
        let known = self
            .known
            .entry(fingerprint)
            .or_insert_with(|| KnownSuspect { record: CrashRecord::default(), changed_at: now });
        let changed = change(&mut known.record);
        if changed {
            known.changed_at = now;
            self.update_blame(fingerprint);
        }
        changed
    }

    /// Drops a suspect.
    pub fn remove(&mut self, fingerprint: SuspectFingerprint) {
        if self.known.remove(&fingerprint).is_some() {
            *self.count_mut(fingerprint.kind()) -= 1;
            self.update_blame(fingerprint);
        }
    }

    /// Drops the suspect of a kind with the fewest crashes if the table is full of them, among
    /// those the one that changed first.
    fn make_room(&mut self, kind: SuspectKind, dropped: &mut Vec<DroppedSuspect>) {
        if *self.count_mut(kind) < self.capacity {
            return;
        }
        let same_kind = self.known.iter().filter(|(fingerprint, _)| fingerprint.kind() == kind);
        let least =
            same_kind.min_by_key(|(_, known)| (known.record.crash_count(), known.changed_at));
        let Some((&fingerprint, known)) = least else { return };
        dropped.push(DroppedSuspect { fingerprint, crashes: known.record.crash_count() });
        self.remove(fingerprint);
    }

    fn count_mut(&mut self, kind: SuspectKind) -> &mut usize {
        match kind {
            SuspectKind::Request => &mut self.requests,
            SuspectKind::Part => &mut self.parts,
        }
    }

    /// Restores the invariants of the candidates and groups after a change of a record.
    fn update_blame(&mut self, fingerprint: SuspectFingerprint) {
        if fingerprint.kind() == SuspectKind::Request {
            return;
        }
        let was_candidate = self.is_candidate(fingerprint);
        self.candidates.retain(|part| *part != fingerprint);
        let is_candidate = self.crash_count(fingerprint) >= MIN_BLAMED_CRASHES;
        if is_candidate {
            self.candidates.push(fingerprint);
        }
        if was_candidate || is_candidate {
            self.groups = find_groups(self.blame_candidates());
        }
    }

    fn blame_candidates(&self) -> Vec<BlameCandidate<I>> {
        let known = self.candidates.iter().filter_map(|part| Some((part, self.known.get(part)?)));
        known
            .filter_map(|(part, known)| BlameCandidate::new(*part, &known.record, known.changed_at))
            .collect()
    }
}
