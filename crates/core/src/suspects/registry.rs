//! Counts crashes by request at one entry, and exchanges the counts with the other entries.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::{
    EndReason, MAX_CRASHES, MAX_DEAD_INCARNATIONS, MAX_REPORTED_CRASHES, MAX_SUSPECTS,
    PROBE_STAGGER, PartVerdict, REPORT_RETRY_INTERVAL, REPORT_TIMEOUT, RequestSuspects,
    SUSPECT_LIFETIME, ServerCrash, ServerIncarnation, SuspectAdmission, SuspectEffect,
    SuspectFingerprint, SuspectKind, SuspectMessage, SuspectTable, TEST_STAGGER, part_quarantine,
    running::RunningRequests,
};
use crate::{
    clock::{ClockTime, TimerQueue},
    ids::NodeId,
};

/// Records which requests have crashed servers, and decides whether they may run.
#[derive(Debug, Clone)]
pub struct SuspectRegistry {
    suspects: SuspectTable<ServerIncarnation>,
    running: RunningRequests,
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

impl Default for SuspectRegistry {
    fn default() -> SuspectRegistry {
        SuspectRegistry {
            suspects: SuspectTable::new(MAX_SUSPECTS),
            running: RunningRequests::default(),
            dead: HashMap::new(),
            peers: Vec::new(),
            reports: HashMap::new(),
            next_report: 0,
            timers: TimerQueue::default(),
        }
    }
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
        let known = self.suspects.records();
        let known: Vec<_> = known
            .flat_map(|(fingerprint, record)| ServerCrash::of_record(fingerprint, record))
            .collect();
        for crashes in known.chunks(MAX_REPORTED_CRASHES) {
            let message = SuspectMessage::Report { id: 0, crashes: crashes.to_vec() };
            effects.push(SuspectEffect::Send { to, message });
        }
    }

    /// Returns whether and under which restrictions a request may run. `probe_rank` returns the
    /// position of this entry in the order in which entries may run a suspect after its quarantine.
    pub fn admit(
        &self,
        now: ClockTime,
        suspects: &RequestSuspects,
        probe_rank: impl Fn(SuspectFingerprint) -> u32,
    ) -> SuspectAdmission {
        let of_request = match self.crash_count(suspects.request) {
            0 => SuspectAdmission::Run,
            count if count >= MAX_CRASHES => SuspectAdmission::Reject,
            _ if self.running.has_counted(suspects.request) => SuspectAdmission::Busy,
            _ => SuspectAdmission::RunAlone,
        };
        of_request.max(self.admit_parts(now, &suspects.parts, probe_rank))
    }

    fn admit_parts(
        &self,
        now: ClockTime,
        parts: &[SuspectFingerprint],
        probe_rank: impl Fn(SuspectFingerprint) -> u32,
    ) -> SuspectAdmission {
        let (group, is_whole) = match self.suspects.judge_parts(parts) {
            PartVerdict::Clear => return SuspectAdmission::Run,
            PartVerdict::Unclear(group) => (group, false),
            PartVerdict::Blamed(group) => (group, true),
        };
        let rank = probe_rank(group.parts[0]);
        let waited = now.since(group.changed_at);
        if is_whole && waited < group.quarantine() + PROBE_STAGGER * rank {
            return SuspectAdmission::Reject;
        }
        let is_running = group.parts.iter().any(|part| self.running.has_counted(*part));
        if is_running || waited < TEST_STAGGER * rank {
            return SuspectAdmission::Busy;
        }
        SuspectAdmission::RunAlone
    }

    /// Returns the number of crashes of a suspect.
    pub fn crash_count(&self, fingerprint: SuspectFingerprint) -> usize {
        self.suspects.crash_count(fingerprint)
    }

    /// Returns when this entry learned of the death of a server incarnation, or `None` if it counts
    /// as alive.
    pub fn died_at(&self, server: ServerIncarnation) -> Option<ClockTime> {
        self.dead.get(&server).copied()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a report still waits for acknowledgements.
    pub fn is_report_pending(&self, report: u64) -> bool {
        self.reports.contains_key(&report)
    }

    /// Records that a request starts to run on a server.
    pub fn start_run(&mut self, suspects: &RequestSuspects, server: ServerIncarnation) {
        let run_suspects = self.suspects.run_suspects(suspects);
        self.running.start(server, run_suspects);
    }

    /// Records that a request no longer runs on a server. Returns the id of a report after a crash;
    /// the caller must not be told of the failure before that report is closed.
    pub fn end_run(
        &mut self,
        suspects: &RequestSuspects,
        server: ServerIncarnation,
        end: EndReason,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) -> Option<u64> {
        let run_suspects = self.running.end(server, suspects.request);
        let run_suspects = run_suspects.unwrap_or_else(|| self.suspects.run_suspects(suspects));
        match end {
            EndReason::Incomplete => None,
            EndReason::Completed => {
                let known = run_suspects.iter().filter_map(|suspect| {
                    let record = self.suspects.record(suspect.fingerprint)?;
                    Some(ServerCrash::of_record(suspect.fingerprint, record))
                });
                let crashes = known.flatten().collect();
                self.withdraw_crashes(crashes, now, effects);
                None
            }
            EndReason::Crashed => {
                self.open_report(ServerCrash::of_run(&run_suspects, server).collect(), now, effects)
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
        let running = self.running.remove_server(server)?;
        let crashes = running.iter().flat_map(|run| ServerCrash::of_run(run, server));
        // Parts of several requests are in the report once.
        let crashes: BTreeSet<_> = crashes.collect();
        self.open_report(crashes.into_iter().collect(), now, effects)
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
        let known = self.suspects.records();
        let crashes =
            known.flat_map(|(fingerprint, record)| ServerCrash::of_record(fingerprint, record));
        let crashes = crashes.filter(|crash| crash.server == server).collect();
        self.withdraw_crashes(crashes, now, effects);
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

    fn known_crashes(&self, crashes: &[ServerCrash]) -> Vec<ServerCrash> {
        let mut fingerprints = crashes.iter().map(|crash| crash.fingerprint).collect::<Vec<_>>();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let known = fingerprints.into_iter().filter_map(|fingerprint| {
            Some(ServerCrash::of_record(fingerprint, self.suspects.record(fingerprint)?))
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
        self.watch_expiry(crash.fingerprint, now);
        // A dropped suspect needs no report: the other entries have a table of their own.
        self.suspects.count_crash(now, crash.fingerprint, crash.entry(), &mut Vec::new());
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
        self.watch_expiry(crash.fingerprint, now);
        self.suspects.withdraw_crash(now, crash.fingerprint, crash.server, &mut Vec::new());
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

    /// Sets the timer of a suspect that is not known yet.
    fn watch_expiry(&mut self, fingerprint: SuspectFingerprint, now: ClockTime) {
        if self.suspects.record(fingerprint).is_none() {
            self.timers.schedule(now + SUSPECT_LIFETIME, SuspectTimer::Expire(fingerprint));
        }
    }

    fn expire_record(&mut self, fingerprint: SuspectFingerprint, now: ClockTime) {
        let Some(record) = self.suspects.record(fingerprint) else { return };
        let Some(changed_at) = self.suspects.changed_at(fingerprint) else { return };
        let quarantine = match fingerprint.kind() {
            SuspectKind::Request => Duration::ZERO,
            SuspectKind::Part => part_quarantine(record.round()),
        };
        let due = changed_at + quarantine + SUSPECT_LIFETIME;
        if due <= now {
            self.suspects.remove(fingerprint);
        } else {
            self.timers.schedule(due, SuspectTimer::Expire(fingerprint));
        }
    }
}
