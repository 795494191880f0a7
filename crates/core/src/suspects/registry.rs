//! Counts crashes by request at one entry, and exchanges the counts with the other entries.

use std::collections::HashMap;

use smallvec::SmallVec;

use super::{
    EndReason, MAX_CRASHES, MAX_DEAD_INCARNATIONS, MAX_RECORDED_CRASHES, MAX_REPORTED_CRASHES,
    MAX_SUSPECTS, REPORT_RETRY_INTERVAL, REPORT_TIMEOUT, SUSPECT_LIFETIME, ServerCrash,
    ServerIncarnation, SuspectAdmission, SuspectEffect, SuspectFingerprint, SuspectMessage,
};
use crate::{
    clock::{ClockTime, TimerQueue},
    ids::NodeId,
};

/// Records which requests have crashed servers, and decides whether they may run.
#[derive(Debug, Clone, Default)]
pub struct SuspectRegistry {
    records: HashMap<SuspectFingerprint, SuspectRecord>,
    /// The running requests of each server.
    running: HashMap<ServerIncarnation, Vec<SuspectFingerprint>>,
    /// Server incarnations with a counted crash, and the time at which this entry learned of the
    /// death. A request sent after that time cannot have caused it.
    dead: HashMap<ServerIncarnation, ClockTime>,
    /// The other entries that must acknowledge reports.
    peers: Vec<NodeId>,
    reports: HashMap<u64, PendingReport>,
    next_report: u64,
    timers: TimerQueue<SuspectTimer>,
}

#[derive(Debug, Clone)]
struct SuspectRecord {
    /// Invariant: contains no incarnation twice, and none that is also in `withdrawn`.
    crashes: SmallVec<[ServerIncarnation; MAX_CRASHES]>,
    /// Incarnations whose crashes were withdrawn, so that a delayed report does not count them
    /// again.
    withdrawn: SmallVec<[ServerIncarnation; MAX_CRASHES]>,
    last_change: ClockTime,
}

#[derive(Debug, Clone)]
struct PendingReport {
    crashes: Vec<ServerCrash>,
    unacknowledged: Vec<NodeId>,
    deadline: ClockTime,
}

#[derive(Debug, Clone, Copy)]
enum SuspectTimer {
    Report(u64),
    Expire(SuspectFingerprint),
}

impl SuspectRegistry {
    /// Creates a registry without suspects.
    pub fn new() -> SuspectRegistry {
        SuspectRegistry::default()
    }

    /// Sets the other entries that may serve requests. Open reports no longer wait for entries that
    /// are not in the list.
    pub fn set_peers(&mut self, peers: Vec<NodeId>, effects: &mut Vec<SuspectEffect>) {
        for report in self.reports.values_mut() {
            report.unacknowledged.retain(|node| peers.contains(node));
        }
        self.peers = peers;
        self.close_acknowledged_reports(effects);
    }

    /// Sends all known crashes to an entry that has joined.
    pub fn sync_peer(&self, to: NodeId, effects: &mut Vec<SuspectEffect>) {
        let known = self.records.iter().flat_map(|(&fingerprint, record)| {
            record.crashes.iter().map(move |&server| ServerCrash { fingerprint, server })
        });
        let known = known.collect::<Vec<_>>();
        for crashes in known.chunks(MAX_REPORTED_CRASHES) {
            let message = SuspectMessage::Report { id: 0, crashes: crashes.to_vec() };
            effects.push(SuspectEffect::Send { to, message });
        }
    }

    /// Returns whether and under which restrictions a request may run.
    pub fn admit(&self, fingerprint: SuspectFingerprint) -> SuspectAdmission {
        match self.crash_count(fingerprint) {
            0 => SuspectAdmission::Run,
            count if count >= MAX_CRASHES => SuspectAdmission::Reject,
            _ if self.is_running(fingerprint) => SuspectAdmission::Busy,
            _ => SuspectAdmission::RunAlone,
        }
    }

    /// Returns the number of crashes of a request.
    pub fn crash_count(&self, fingerprint: SuspectFingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, |record| record.crashes.len())
    }

    /// Returns when this entry learned of the death of a server incarnation, or `None` if it counts
    /// as alive.
    pub fn died_at(&self, server: ServerIncarnation) -> Option<ClockTime> {
        self.dead.get(&server).copied()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a report still waits for acknowledgements.
    pub fn is_report_pending(&self, report: u64) -> bool {
        self.reports.contains_key(&report)
    }

    /// Records that a request starts to run on a server.
    pub fn start_run(&mut self, fingerprint: SuspectFingerprint, server: ServerIncarnation) {
        self.running.entry(server).or_default().push(fingerprint);
    }

    /// Records that a request no longer runs on a server. Returns the id of a report after a crash;
    /// the caller must not be told of the failure before that report is closed.
    pub fn end_run(
        &mut self,
        fingerprint: SuspectFingerprint,
        server: ServerIncarnation,
        end: EndReason,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) -> Option<u64> {
        if let Some(running) = self.running.get_mut(&server) {
            if let Some(position) = running.iter().position(|other| *other == fingerprint) {
                running.swap_remove(position);
            }
            if running.is_empty() {
                self.running.remove(&server);
            }
        }
        match end {
            EndReason::Incomplete => None,
            EndReason::Completed => {
                let known = self.records.get(&fingerprint).map(|record| record.crashes.clone());
                let crashes = known.into_iter().flatten();
                self.withdraw_crashes(
                    crashes.map(|server| ServerCrash { fingerprint, server }).collect(),
                    now,
                    effects,
                );
                None
            }
            EndReason::Crashed => {
                self.open_report(vec![ServerCrash { fingerprint, server }], now, effects)
            }
        }
    }

    /// Records that a server died, which makes all requests running there suspects. Returns the id
    /// of the report, or `None` if nothing was running there.
    pub fn record_server_death(
        &mut self,
        server: ServerIncarnation,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) -> Option<u64> {
        let running = self.running.remove(&server)?;
        let crash = |fingerprint| ServerCrash { fingerprint, server };
        self.open_report(running.into_iter().map(crash).collect(), now, effects)
    }

    /// Records that a server answered a request sent at `sent`. If the death of this incarnation
    /// was counted before `sent`, its crashes are withdrawn. An answer to an earlier request proves
    /// nothing, because it may have been sent before the death.
    pub fn record_server_alive(
        &mut self,
        server: ServerIncarnation,
        sent: ClockTime,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) {
        if self.dead.get(&server).is_none_or(|died| *died >= sent) {
            return;
        }
        self.dead.remove(&server);
        let counted = self.records.iter().filter(|(_, record)| record.crashes.contains(&server));
        let crashes = counted.map(|(&fingerprint, _)| ServerCrash { fingerprint, server });
        self.withdraw_crashes(crashes.collect(), now, effects);
    }

    /// Handles a message from another entry.
    pub fn receive(
        &mut self,
        from: NodeId,
        message: SuspectMessage,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) {
        match message {
            SuspectMessage::Report { id, crashes } => {
                for &crash in &crashes {
                    self.count_crash(crash, now);
                }
                if id != 0 {
                    let crashes = self.known_crashes(&crashes);
                    let message = SuspectMessage::Acknowledge { id, crashes };
                    effects.push(SuspectEffect::Send { to: from, message });
                }
            }
            SuspectMessage::Acknowledge { id, crashes } => {
                for crash in crashes {
                    self.count_crash(crash, now);
                }
                if let Some(report) = self.reports.get_mut(&id) {
                    report.unacknowledged.retain(|node| *node != from);
                    self.close_acknowledged_reports(effects);
                }
            }
            SuspectMessage::Withdraw { crashes } => {
                for crash in crashes {
                    self.withdraw_crash(crash, now);
                }
            }
        }
    }

    /// Returns when [`SuspectRegistry::tick`] must be called next, or `None` if no timer is set.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Resends and closes reports and drops expired suspects, as due at `now`.
    pub fn tick(&mut self, now: ClockTime, effects: &mut Vec<SuspectEffect>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                SuspectTimer::Report(id) => self.send_or_close_report(id, now, effects),
                SuspectTimer::Expire(fingerprint) => self.expire_record(fingerprint, now),
            }
        }
    }

    fn is_running(&self, fingerprint: SuspectFingerprint) -> bool {
        self.running.values().any(|running| running.contains(&fingerprint))
    }

    fn known_crashes(&self, crashes: &[ServerCrash]) -> Vec<ServerCrash> {
        let mut fingerprints = crashes.iter().map(|crash| crash.fingerprint).collect::<Vec<_>>();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let known = fingerprints.into_iter().filter_map(|fingerprint| {
            let record = self.records.get(&fingerprint)?;
            Some(record.crashes.iter().map(move |&server| ServerCrash { fingerprint, server }))
        });
        known.flatten().collect()
    }

    fn open_report(
        &mut self,
        crashes: Vec<ServerCrash>,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) -> Option<u64> {
        for &crash in &crashes {
            self.count_crash(crash, now);
        }
        self.next_report += 1;
        let id = self.next_report;
        let report = PendingReport {
            crashes,
            unacknowledged: self.peers.clone(),
            deadline: now + REPORT_TIMEOUT,
        };
        self.reports.insert(id, report);
        self.send_or_close_report(id, now, effects);
        Some(id)
    }

    /// Sends a report to the entries that have not acknowledged it, or closes it if none is left or
    /// the timeout has passed.
    fn send_or_close_report(&mut self, id: u64, now: ClockTime, effects: &mut Vec<SuspectEffect>) {
        let Some(report) = self.reports.get(&id) else { return };
        if report.unacknowledged.is_empty() || now >= report.deadline {
            let acknowledged_by_all = report.unacknowledged.is_empty();
            self.reports.remove(&id);
            effects.push(SuspectEffect::ReportClosed { report: id, acknowledged_by_all });
            return;
        }
        for &to in &report.unacknowledged {
            let message = SuspectMessage::Report { id, crashes: report.crashes.clone() };
            effects.push(SuspectEffect::Send { to, message });
        }
        self.timers
            .schedule(report.deadline.min(now + REPORT_RETRY_INTERVAL), SuspectTimer::Report(id));
    }

    /// Closes reports that no longer wait for an acknowledgement.
    fn close_acknowledged_reports(&mut self, effects: &mut Vec<SuspectEffect>) {
        self.reports.retain(|&report, pending| {
            if pending.unacknowledged.is_empty() {
                effects.push(SuspectEffect::ReportClosed { report, acknowledged_by_all: true });
            }
            !pending.unacknowledged.is_empty()
        });
    }

    fn count_crash(&mut self, crash: ServerCrash, now: ClockTime) {
        self.record_death(crash.server, now);
        let record = self.record_mut(crash.fingerprint, now);
        let known = record.crashes.contains(&crash.server)
            || record.withdrawn.contains(&crash.server)
            || record.crashes.len() >= MAX_RECORDED_CRASHES;
        if !known {
            record.crashes.push(crash.server);
            record.last_change = now;
        }
    }

    fn record_death(&mut self, server: ServerIncarnation, now: ClockTime) {
        if self.dead.contains_key(&server) {
            return;
        }
        if self.dead.len() >= MAX_DEAD_INCARNATIONS
            && let Some((&oldest, _)) = self.dead.iter().min_by_key(|(_, died)| **died)
        {
            self.dead.remove(&oldest);
        }
        self.dead.insert(server, now);
    }

    fn withdraw_crash(&mut self, crash: ServerCrash, now: ClockTime) {
        let record = self.record_mut(crash.fingerprint, now);
        record.crashes.retain(|server| *server != crash.server);
        if !record.withdrawn.contains(&crash.server) {
            if record.withdrawn.len() >= MAX_RECORDED_CRASHES {
                record.withdrawn.remove(0);
            }
            record.withdrawn.push(crash.server);
        }
    }

    fn withdraw_crashes(
        &mut self,
        crashes: Vec<ServerCrash>,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) {
        if crashes.is_empty() {
            return;
        }
        for &crash in &crashes {
            self.withdraw_crash(crash, now);
        }
        for &to in &self.peers {
            let message = SuspectMessage::Withdraw { crashes: crashes.clone() };
            effects.push(SuspectEffect::Send { to, message });
        }
    }

    fn record_mut(
        &mut self,
        fingerprint: SuspectFingerprint,
        now: ClockTime,
    ) -> &mut SuspectRecord {
        if !self.records.contains_key(&fingerprint) {
            if self.records.len() >= MAX_SUSPECTS {
                self.drop_least_suspect();
            }
            self.timers.schedule(now + SUSPECT_LIFETIME, SuspectTimer::Expire(fingerprint));
        }
        self.records.entry(fingerprint).or_insert_with(|| SuspectRecord {
            crashes: SmallVec::new(),
            withdrawn: SmallVec::new(),
            last_change: now,
        })
    }

    /// Drops the record with the fewest crashes, among those the one that changed first.
    fn drop_least_suspect(&mut self) {
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.crashes.len(), record.last_change));
        if let Some(least) = least.map(|(&fingerprint, _)| fingerprint) {
            self.records.remove(&least);
        }
    }

    fn expire_record(&mut self, fingerprint: SuspectFingerprint, now: ClockTime) {
        let Some(record) = self.records.get(&fingerprint) else { return };
        let due = record.last_change + SUSPECT_LIFETIME;
        if due <= now {
            self.records.remove(&fingerprint);
        } else {
            self.timers.schedule(due, SuspectTimer::Expire(fingerprint));
        }
    }
}
