//! A tracker of crashes, its servers and the time.

use std::time::Duration;

use carobvane_core::{
    arena::KeyArena,
    clock::ClockTime,
    ids::ServerKey,
    suspects::{ServerBuild, SuspectFingerprint},
    traffic::{CrashEvent, CrashTracker, CrashVerdict, RunEnd},
};

/// Time by which a silent server has been found out.
pub const SILENCE: Duration = Duration::from_millis(2_100);
/// Number of other requests that fill the table of a tracker.
pub const FLOOD: usize = 2_048;

/// Number of whole responses that refute the crashes of a request.
pub const REFUTING_RUNS: usize = 8;
/// Build of all servers.
pub const BUILD: ServerBuild = ServerBuild::UNKNOWN;

pub fn millis(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

pub fn request(number: usize) -> SuspectFingerprint {
    SuspectFingerprint::new("workspace", &number.to_le_bytes())
}

/// A tracker, its servers and the time.
pub struct Fixture {
    pub tracker: CrashTracker,
    pub servers: Vec<ServerKey>,
    pub events: Vec<CrashEvent>,
    pub now: ClockTime,
}

impl Fixture {
    pub fn new() -> Fixture {
        let mut arena = KeyArena::<ServerKey, ()>::default();
        let servers = (0..8).map(|_| arena.insert(())).collect();
        let (tracker, events) = (CrashTracker::default(), Vec::new());
        Fixture { tracker, servers, events, now: millis(1_000) }
    }

    /// Runs a request at the server with this number.
    pub fn run(&mut self, number: usize, server: usize, end: RunEnd) {
        let key = self.servers[server];
        let run = self.tracker.start_run(&request(number).into(), key, incarnation(server), BUILD);
        self.tracker.end_run(self.now, run, end, true, &mut self.events);
    }

    /// Runs a request at server 5 as often as it takes to refute its crashes.
    pub fn complete(&mut self, number: usize) {
        (0..REFUTING_RUNS).for_each(|_| self.run(number, 5, RunEnd::Completed));
    }

    /// Lets so much time pass that completed runs say nothing of the next crash.
    pub fn forget_runs(&mut self) {
        for _ in 0..2 {
            self.advance(Duration::from_secs(5));
            self.tracker.tick(self.now);
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    pub fn crashes(&self) -> usize {
        self.tracker.crash_count(request(0))
    }

    pub fn verdict(&self) -> CrashVerdict {
        self.tracker.verdict(self.now, &request(0).into(), |_| 0, |_| None).verdict
    }
}

/// Number of the incarnation of a server, the same on all nodes.
pub fn incarnation(server: usize) -> u64 {
    1_000 * (server as u64 + 1)
}
