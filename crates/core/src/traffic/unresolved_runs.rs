//! Runs that ended without a response, of which it is not yet known whether the server ended too.
//!
//! A server that falls silent breaks no connection. The run times out, or its client leaves first.
//! Any response that shows the server alive after the run resolves it, and so does the end of the
//! server. A server that stays silent is to be connected to, once for all runs.

use std::time::Duration;

use super::crash_messages::ServerRun;
use crate::{
    clock::ClockTime,
    ids::ServerKey,
    suspects::{SuspectFingerprint, refuting_runs},
};

/// A server that shows no sign of life for this long after a run is connected to. A sound one may be
/// silent for a second or so.
const SILENCE_PERIOD: Duration = Duration::from_secs(2);
/// How long the end of a server is attributed to a run that ended without a response before it.
const RUN_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of unresolved runs. When full, the oldest is dropped.
const MAX_RUNS: usize = 1_024;

#[derive(Debug, Clone)]
struct UnresolvedRun {
    run: ServerRun,
    ended_at: ClockTime,
    /// Whether the server was connected to, or is being connected to.
    is_checked: bool,
}

/// Runs that ended without a response, oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct UnresolvedRuns {
    runs: Vec<UnresolvedRun>,
}

impl UnresolvedRuns {
    /// Adds a run that has just ended.
    pub fn add(&mut self, now: ClockTime, run: ServerRun) {
        if self.runs.len() >= MAX_RUNS {
            self.runs.remove(0);
        }
        self.runs.push(UnresolvedRun { run, ended_at: now, is_checked: false });
    }

    /// Drops the runs that ended at or after `since`.
    pub fn forget(&mut self, since: ClockTime) {
        self.runs.retain(|known| known.ended_at < since);
    }

    /// Number of unresolved runs with a suspect.
    pub fn count(&self, fingerprint: SuspectFingerprint) -> usize {
        self.runs.iter().filter(|known| known.run.has_suspect(fingerprint)).count()
    }

    /// Records that a run with a suspect has completed, and removes the suspect from the runs that enough
    /// completed ones speak against.
    pub fn add_completed(&mut self, fingerprint: SuspectFingerprint, completed: &ServerRun) {
        let required = refuting_runs(fingerprint.kind());
        for known in &mut self.runs {
            let is_same_build = known.run.build.is_refuted_at(completed.build);
            known.run.suspects.retain(|suspect| {
                if suspect.fingerprint == fingerprint {
                    suspect.completed.add(completed.number, is_same_build);
                }
                suspect.completed.same_build_count() < required
            });
        }
        self.runs.retain(|known| !known.run.suspects.is_empty());
    }

    /// Drops the runs that ended before `alive_at`, at which their server was alive. A server that
    /// shows itself only after it was connected to may have restarted in between.
    pub fn resolve_alive(&mut self, server: ServerKey, alive_at: ClockTime) {
        self.runs.retain(|known| {
            known.run.server != server || known.is_checked || known.ended_at >= alive_at
        });
    }

    /// Removes and returns the runs at a server that has ended.
    pub fn take_ended(&mut self, server: ServerKey) -> Vec<ServerRun> {
        self.take(|known| known.run.server == server)
    }

    /// Removes and returns the runs at a server whose connections break or cannot be opened. A run
    /// after which a connection could still be opened stays unresolved.
    pub fn take_lost(&mut self, server: ServerKey) -> Vec<ServerRun> {
        self.take(|known| known.run.server == server && !known.is_checked)
    }

    /// Resolves the check of a server. If no connection could be opened, removes and returns its
    /// checked runs.
    pub fn take_checked(&mut self, server: ServerKey, reachable: bool) -> Vec<ServerRun> {
        if reachable {
            return Vec::new();
        }
        self.take(|known| known.run.server == server && known.is_checked)
    }

    /// Drops expired runs and returns the servers to connect to, each once.
    pub fn tick(&mut self, now: ClockTime) -> Vec<ServerKey> {
        self.runs.retain(|known| now.since(known.ended_at) < RUN_LIFETIME);
        let mut silent = Vec::new();
        for known in &mut self.runs {
            if known.is_checked || now.since(known.ended_at) < SILENCE_PERIOD {
                continue;
            }
            known.is_checked = true;
            if !silent.contains(&known.run.server) {
                silent.push(known.run.server);
            }
        }
        silent
    }

    fn take(&mut self, matches: impl Fn(&UnresolvedRun) -> bool) -> Vec<ServerRun> {
        let (taken, kept) = std::mem::take(&mut self.runs).into_iter().partition(matches);
        self.runs = kept;
        let taken: Vec<UnresolvedRun> = taken;
        taken.into_iter().map(|known| known.run).collect()
    }
}
