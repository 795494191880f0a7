//! What a node tells the other nodes and the store of suspects, and what it learns from them.

use std::time::Duration;

use super::{
    CrashTracker,
    crash_messages::{CrashEvent, CrashReport},
};
use crate::{
    clock::ClockTime,
    suspects::{CrashRecord, DroppedSuspect, SuspectFingerprint, SuspectKind},
};

/// Number of crashes from which on the record of a request is kept in the store. After a single
/// crash, all requests that ran at the server have one.
const MIN_LASTING_CRASHES: usize = 2;
/// Number of times a record is sent again after this node has changed it, as notices get lost.
const REPEATS: u8 = 2;

/// How a node came to know of a suspect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RecordOrigin {
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
pub(super) struct SharingState {
    /// What the store holds of it.
    stored: CrashRecord<u64>,
    pub origin: RecordOrigin,
    repeats_left: u8,
}

impl CrashTracker {
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

    pub(super) fn mark_observed(&mut self, fingerprint: SuspectFingerprint) {
        let sharing = self.sharing.entry(fingerprint).or_default();
        sharing.origin = RecordOrigin::Observed;
        sharing.repeats_left = REPEATS;
    }

    pub(super) fn drop_sharing(
        &mut self,
        dropped: &[DroppedSuspect],
        events: &mut Vec<CrashEvent>,
    ) {
        for &DroppedSuspect { fingerprint, crashes } in dropped {
            self.sharing.remove(&fingerprint);
            events.push(CrashEvent::Dropped { fingerprint, crashes });
        }
    }
}

fn report(fingerprint: SuspectFingerprint, record: &CrashRecord<u64>) -> CrashReport {
    CrashReport { fingerprint, crashes: record.entries().to_vec() }
}
