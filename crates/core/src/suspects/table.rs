//! The suspects of a node: requests and prompt parts under which servers have ended.

use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

use super::{
    BlamedGroup, CrashEntry, CrashRecord, RequestSuspects, SuspectFingerprint, SuspectKind,
    blame::{BlameCandidate, MIN_BLAMED_CRASHES, find_groups},
};
use crate::clock::ClockTime;

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
}

/// The suspects of a run: the request and the parts of its prompt.
pub type RunSuspects = SmallVec<[RunSuspect; INLINE_SUSPECTS]>;

/// What the crashes say about the prompt parts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartVerdict<'a> {
    /// No part is blamed.
    Clear,
    /// Some parts are blamed together with parts that the request does not have. Its run tells them
    /// apart.
    Unclear(&'a BlamedGroup),
    /// All parts that are blamed together are in the request.
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
            if held == group.parts.len() {
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
        self.change(now, fingerprint, dropped, |record| record.add_crash(entry.server, entry.round))
    }

    /// Adds what a report says of a suspect. Returns whether anything in it is new.
    pub fn merge(
        &mut self,
        now: ClockTime,
        fingerprint: SuspectFingerprint,
        report: &[CrashEntry<I>],
        dropped: &mut Vec<DroppedSuspect>,
    ) -> bool {
        self.change(now, fingerprint, dropped, |record| record.merge(report))
    }

    /// Withdraws all crashes of a suspect. Returns their number.
    pub fn withdraw_all(&mut self, now: ClockTime, fingerprint: SuspectFingerprint) -> usize {
        let Some(known) = self.known.get_mut(&fingerprint) else { return 0 };
        let count = known.record.withdraw_all();
        if count > 0 {
            known.changed_at = now;
            self.update_blame(fingerprint);
        }
        count
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
