//! Crash counts of one entry.

use std::collections::HashMap;

use smallvec::SmallVec;

use super::{
    MAX_CRASHES, MAX_DEAD_LIVES, MAX_REPORTED_CRASHES, MAX_SUSPECTS, REPORT_RETRY, REPORT_WAIT,
    RunEnd, SUSPECT_LIFETIME, ServerCrash, ServerLife, SuspectAdmission, SuspectEffect,
    SuspectFingerprint, SuspectMessage,
};
use crate::{
    clock::{ClockTime, TimerQueue},
    ids::NodeId,
};

/// Knows which requests have crashed servers.
#[derive(Debug, Clone, Default)]
pub struct SuspectRegistry {
    records: HashMap<SuspectFingerprint, SuspectRecord>,
    /// Requests that run, by server.
    running: HashMap<ServerLife, Vec<SuspectFingerprint>>,
    /// Server lives with a counted crash, and when this entry learned of it. A request that was
    /// sent after that cannot have caused the death.
    dead: HashMap<ServerLife, ClockTime>,
    /// Other entries that serve.
    peers: Vec<NodeId>,
    reports: HashMap<u64, OpenReport>,
    next_report: u64,
    timers: TimerQueue<SuspectTimer>,
}

#[derive(Debug, Clone)]
struct SuspectRecord {
    /// Invariant: no life twice, and none that is also in `withdrawn`.
    crashes: SmallVec<[ServerLife; MAX_CRASHES]>,
    /// Lives whose crashes were withdrawn, so that a late report does not count them again.
    withdrawn: SmallVec<[ServerLife; MAX_CRASHES]>,
    last_change: ClockTime,
}

#[derive(Debug, Clone)]
struct OpenReport {
    crashes: Vec<ServerCrash>,
    waiting: Vec<NodeId>,
    give_up: ClockTime,
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

    /// Sets the other entries that may serve. Reports no longer wait for others.
    pub fn set_peers(&mut self, peers: Vec<NodeId>, effects: &mut Vec<SuspectEffect>) {
        for report in self.reports.values_mut() {
            report.waiting.retain(|node| peers.contains(node));
        }
        self.peers = peers;
        self.settle(effects);
    }

    /// Tells an entry that has joined all that this one knows.
    pub fn peer_joined(&self, to: NodeId, effects: &mut Vec<SuspectEffect>) {
        let known = self.records.iter().flat_map(|(&fingerprint, record)| {
            record.crashes.iter().map(move |&server| ServerCrash { fingerprint, server })
        });
        let known = known.collect::<Vec<_>>();
        for crashes in known.chunks(MAX_REPORTED_CRASHES) {
            let message = SuspectMessage::Report { id: 0, crashes: crashes.to_vec() };
            effects.push(SuspectEffect::Send { to, message });
        }
    }

    /// Whether and how a request may run.
    pub fn admit(&self, fingerprint: SuspectFingerprint) -> SuspectAdmission {
        match self.crashes(fingerprint) {
            0 => SuspectAdmission::Run,
            count if count >= MAX_CRASHES => SuspectAdmission::Reject,
            _ if self.is_running(fingerprint) => SuspectAdmission::Busy,
            _ => SuspectAdmission::RunAlone,
        }
    }

    /// Number of crashes of a request.
    pub fn crashes(&self, fingerprint: SuspectFingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, |record| record.crashes.len())
    }

    /// When this entry learned that a server's life has ended.
    pub fn died_at(&self, server: ServerLife) -> Option<ClockTime> {
        self.dead.get(&server).copied()
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a report still waits for acknowledgements.
    pub fn is_open(&self, report: u64) -> bool {
        self.reports.contains_key(&report)
    }

    /// A request starts on a server.
    pub fn begin(&mut self, fingerprint: SuspectFingerprint, server: ServerLife) {
        self.running.entry(server).or_default().push(fingerprint);
    }

    /// A request has ended on a server. After a crash the caller must not be told before the
    /// returned report is settled.
    pub fn end(
        &mut self,
        fingerprint: SuspectFingerprint,
        server: ServerLife,
        end: RunEnd,
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
            RunEnd::Ended => None,
            RunEnd::Completed => {
                let known = self.records.get(&fingerprint).map(|record| record.crashes.clone());
                let crashes = known.into_iter().flatten();
                self.withdraw(
                    crashes.map(|server| ServerCrash { fingerprint, server }).collect(),
                    now,
                    effects,
                );
                None
            }
            RunEnd::Crashed => self.report(vec![ServerCrash { fingerprint, server }], now, effects),
        }
    }

    /// A server is known to have died: every request that runs there is a suspect.
    pub fn server_died(
        &mut self,
        server: ServerLife,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) -> Option<u64> {
        let running = self.running.remove(&server)?;
        let crash = |fingerprint| ServerCrash { fingerprint, server };
        self.report(running.into_iter().map(crash).collect(), now, effects)
    }

    /// A server has answered a request that was sent to it at `sent`. Crashes of this life that
    /// were counted before are none; an answer to an older request proves nothing.
    pub fn server_alive(
        &mut self,
        server: ServerLife,
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
        self.withdraw(crashes.collect(), now, effects);
    }

    /// Handles a message of another entry.
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
                    self.count(crash, now);
                }
                if id != 0 {
                    let crashes = self.known_of(&crashes);
                    let message = SuspectMessage::Acknowledge { id, crashes };
                    effects.push(SuspectEffect::Send { to: from, message });
                }
            }
            SuspectMessage::Acknowledge { id, crashes } => {
                for crash in crashes {
                    self.count(crash, now);
                }
                if let Some(report) = self.reports.get_mut(&id) {
                    report.waiting.retain(|node| *node != from);
                    self.settle(effects);
                }
            }
            SuspectMessage::Withdraw { crashes } => {
                for crash in crashes {
                    self.uncount(crash, now);
                }
            }
        }
    }

    /// The time of the next call of [`SuspectRegistry::tick`].
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles what is due.
    pub fn tick(&mut self, now: ClockTime, effects: &mut Vec<SuspectEffect>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                SuspectTimer::Report(id) => self.report_due(id, now, effects),
                SuspectTimer::Expire(fingerprint) => self.expire(fingerprint, now),
            }
        }
    }

    fn is_running(&self, fingerprint: SuspectFingerprint) -> bool {
        self.running.values().any(|running| running.contains(&fingerprint))
    }

    fn known_of(&self, crashes: &[ServerCrash]) -> Vec<ServerCrash> {
        let mut fingerprints = crashes.iter().map(|crash| crash.fingerprint).collect::<Vec<_>>();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let known = fingerprints.into_iter().filter_map(|fingerprint| {
            let record = self.records.get(&fingerprint)?;
            Some(record.crashes.iter().map(move |&server| ServerCrash { fingerprint, server }))
        });
        known.flatten().collect()
    }

    fn report(
        &mut self,
        crashes: Vec<ServerCrash>,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) -> Option<u64> {
        for &crash in &crashes {
            self.count(crash, now);
        }
        self.next_report += 1;
        let id = self.next_report;
        let report =
            OpenReport { crashes, waiting: self.peers.clone(), give_up: now + REPORT_WAIT };
        self.reports.insert(id, report);
        self.report_due(id, now, effects);
        Some(id)
    }

    /// Sends a report to the entries that have not acknowledged it.
    fn report_due(&mut self, id: u64, now: ClockTime, effects: &mut Vec<SuspectEffect>) {
        let Some(report) = self.reports.get(&id) else { return };
        if report.waiting.is_empty() || now >= report.give_up {
            let everywhere = report.waiting.is_empty();
            self.reports.remove(&id);
            effects.push(SuspectEffect::Settled { report: id, everywhere });
            return;
        }
        for &to in &report.waiting {
            let message = SuspectMessage::Report { id, crashes: report.crashes.clone() };
            effects.push(SuspectEffect::Send { to, message });
        }
        self.timers.schedule(report.give_up.min(now + REPORT_RETRY), SuspectTimer::Report(id));
    }

    /// Closes reports that nobody has to acknowledge any more.
    fn settle(&mut self, effects: &mut Vec<SuspectEffect>) {
        self.reports.retain(|&report, open| {
            if open.waiting.is_empty() {
                effects.push(SuspectEffect::Settled { report, everywhere: true });
            }
            !open.waiting.is_empty()
        });
    }

    fn count(&mut self, crash: ServerCrash, now: ClockTime) {
        self.note_dead(crash.server, now);
        let record = self.record(crash.fingerprint, now);
        let known = record.crashes.contains(&crash.server)
            || record.withdrawn.contains(&crash.server)
            || record.crashes.len() >= MAX_CRASHES;
        if !known {
            record.crashes.push(crash.server);
            record.last_change = now;
        }
    }

    fn note_dead(&mut self, server: ServerLife, now: ClockTime) {
        if self.dead.contains_key(&server) {
            return;
        }
        if self.dead.len() >= MAX_DEAD_LIVES
            && let Some((&oldest, _)) = self.dead.iter().min_by_key(|(_, died)| **died)
        {
            self.dead.remove(&oldest);
        }
        self.dead.insert(server, now);
    }

    fn uncount(&mut self, crash: ServerCrash, now: ClockTime) {
        let record = self.record(crash.fingerprint, now);
        record.crashes.retain(|server| *server != crash.server);
        if !record.withdrawn.contains(&crash.server) {
            if record.withdrawn.len() >= MAX_CRASHES {
                record.withdrawn.remove(0);
            }
            record.withdrawn.push(crash.server);
        }
    }

    fn withdraw(
        &mut self,
        crashes: Vec<ServerCrash>,
        now: ClockTime,
        effects: &mut Vec<SuspectEffect>,
    ) {
        if crashes.is_empty() {
            return;
        }
        for &crash in &crashes {
            self.uncount(crash, now);
        }
        for &to in &self.peers {
            let message = SuspectMessage::Withdraw { crashes: crashes.clone() };
            effects.push(SuspectEffect::Send { to, message });
        }
    }

    fn record(&mut self, fingerprint: SuspectFingerprint, now: ClockTime) -> &mut SuspectRecord {
        if !self.records.contains_key(&fingerprint) {
            if self.records.len() >= MAX_SUSPECTS {
                let oldest = self.records.iter().min_by_key(|(_, record)| record.last_change);
                if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
                    self.records.remove(&oldest);
                }
            }
            self.timers.schedule(now + SUSPECT_LIFETIME, SuspectTimer::Expire(fingerprint));
        }
        self.records.entry(fingerprint).or_insert_with(|| SuspectRecord {
            crashes: SmallVec::new(),
            withdrawn: SmallVec::new(),
            last_change: now,
        })
    }

    fn expire(&mut self, fingerprint: SuspectFingerprint, now: ClockTime) {
        let Some(record) = self.records.get(&fingerprint) else { return };
        let due = record.last_change + SUSPECT_LIFETIME;
        if due <= now {
            self.records.remove(&fingerprint);
        } else {
            self.timers.schedule(due, SuspectTimer::Expire(fingerprint));
        }
    }
}
