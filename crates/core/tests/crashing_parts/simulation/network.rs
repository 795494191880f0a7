//! How the nodes of the simulated fleet learn of crashes from each other, from the store and from time.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    traffic::{CrashEvent, CrashReport, RunEnd},
};
use rand::Rng;

use super::{SimRun, Simulation, WRITE_GRACE};

impl Simulation {
    /// Sends the records that this node has changed to the other nodes.
    pub(super) fn share(&mut self, node: usize, events: &[CrashEvent]) {
        for event in events {
            if let CrashEvent::Counted { fingerprint, .. }
            | CrashEvent::Withdrawn { fingerprint, .. }
            | CrashEvent::Completed { fingerprint } = event
                && let Some(report) = self.nodes[node].tracker.report(*fingerprint)
            {
                self.broadcast(node, &report);
            }
        }
    }

    pub(super) fn broadcast(&mut self, from: usize, report: &CrashReport) {
        if self.nodes[from].is_cut(self.now) {
            return;
        }
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let delay = Duration::from_millis(self.rng.random_range(5..30));
            let is_lost = self.rng.random_bool(self.case.loss);
            if !is_lost && !self.nodes[to].is_cut(self.now) {
                self.nodes[to].inbox.push((self.now + delay, report.clone()));
            }
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            let (due, waiting) =
                std::mem::take(&mut node.inbox).into_iter().partition(|(at, _)| *at <= now);
            node.inbox = waiting;
            let due: Vec<(ClockTime, CrashReport)> = due;
            for (_, report) in due {
                node.tracker.merge_reported(now, &report, &mut Vec::new());
            }
        }
        let (timed_out, waiting) =
            std::mem::take(&mut self.silent_runs).into_iter().partition(|(at, _)| *at <= now);
        self.silent_runs = waiting;
        let timed_out: Vec<(ClockTime, SimRun)> = timed_out;
        timed_out.into_iter().for_each(|(_, run)| self.end_run(run, RunEnd::Unanswered, true));
        let (ended, silent) =
            std::mem::take(&mut self.silent).into_iter().partition(|(at, _)| *at <= now);
        self.silent = silent;
        let ended: Vec<(ClockTime, usize)> = ended;
        for (_, server) in ended {
            for node in 0..self.nodes.len() {
                let mut events = Vec::new();
                let key = self.servers[server].key;
                self.nodes[node].tracker.on_server_ended(now, key, &mut events);
                self.share(node, &events);
            }
        }
    }

    pub(super) fn tick(&mut self, node: usize) {
        for key in self.nodes[node].tracker.tick(self.now) {
            let server = self.servers.iter().find(|server| server.key == key);
            let is_up = server.is_some_and(|server| server.up_at <= self.now);
            let mut events = Vec::new();
            self.nodes[node].tracker.on_server_checked(self.now, key, is_up, &mut events);
            self.share(node, &events);
        }
        let mut repeats = self.nodes[node].tracker.take_repeats();
        // The order of the records must not decide which datagrams get lost.
        repeats.sort_by_key(|report| report.fingerprint);
        repeats.iter().for_each(|report| self.broadcast(node, report));
        if self.nodes[node].is_cut(self.now) {
            return;
        }
        let mut unstored = self.nodes[node].tracker.unstored(self.now, WRITE_GRACE);
        unstored.sort_by_key(|report| report.fingerprint);
        for report in unstored {
            self.store.insert(report.fingerprint.to_string(), report.clone());
            for other in self.nodes.iter_mut().filter(|other| !other.is_cut(self.now)) {
                other.tracker.merge_stored(self.now, &report, &mut Vec::new());
            }
        }
        let now = self.now;
        if self.nodes[node].reads.iter().any(|at| *at <= now) {
            self.nodes[node].reads.retain(|at| *at > now);
            self.copy_store(node);
            let other = self.rng.random_range(0..self.nodes.len());
            if !self.nodes[other].is_cut(now) {
                let mut reports = self.nodes[other].tracker.reports();
                reports.sort_by_key(|report| report.fingerprint);
                for report in reports {
                    self.nodes[node].tracker.merge_copied(now, &report, &mut Vec::new());
                }
            }
        }
    }

    pub(super) fn copy_store(&mut self, node: usize) {
        for report in self.store.values() {
            self.nodes[node].tracker.merge_stored(self.now, report, &mut Vec::new());
        }
    }
}
