//! What a node has seen of one life of a backend server.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// First pause after a server did not answer; doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Pause after a server rejected a request because it was full or busy.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a server is suspected that did not answer another node.
const SUSPECT_TIME: Duration = Duration::from_millis(1_500);
/// Weight of the newest outcome in the averages.
const NEWEST: f64 = 0.15;
/// Time in which half of the remembered failures are forgotten, since a server that gets no
/// requests shows no success.
const FORGIVE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Age up to which a load report describes the present.
const LOAD_LIFETIME: Duration = Duration::from_millis(1_500);

/// Load as a server reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Duration of work in percent of the usual one; 100 if not reported.
    pub pace_percent: u32,
}

/// Outcomes and load of one server life.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    /// Failures in a row without any answer.
    silent: u32,
    paused_until: ClockTime,
    /// When the server last told anything, to this node or another one.
    heard_at: ClockTime,
    /// Until when other nodes' failures count.
    suspected_until: ClockTime,
    /// Share of recent requests that failed, from 0 to 1.
    failure_share: f64,
    failure_at: ClockTime,
    /// Observed latency as a multiple of the predicted one; 0 if unknown.
    slowness: f64,
    load: Option<(ServerLoad, ClockTime)>,
}

impl ServerHealth {
    /// Notes an answer that took `ratio` times as long as predicted.
    pub fn on_answer(&mut self, now: ClockTime, ratio: f64) {
        self.silent = 0;
        self.paused_until = ClockTime::ZERO;
        self.suspected_until = ClockTime::ZERO;
        self.heard_at = now;
        self.note(now, 0.0);
        let ratio = ratio.clamp(0.1, 50.0);
        self.slowness = if self.slowness == 0.0 {
            ratio
        } else {
            self.slowness * (1.0 - NEWEST) + ratio * NEWEST
        };
    }

    /// Notes a failure that the server answered after running a request.
    pub fn on_failed(&mut self, now: ClockTime) {
        self.silent = 0;
        self.note(now, 1.0);
    }

    /// Whether the server has told anything since `since`, to this node or another one.
    pub fn was_heard_since(&self, since: ClockTime) -> bool {
        self.heard_at > since
    }

    /// Notes an attempt without a usable answer.
    pub fn on_silent(&mut self, now: ClockTime) {
        self.note(now, 1.0);
        let pause = FIRST_PAUSE * 2_u32.pow(self.silent.min(8));
        self.paused_until = now + pause.min(MAX_PAUSE);
        self.silent += 1;
    }

    /// Notes that another node got no answer from the server.
    pub fn on_silence_elsewhere(&mut self, now: ClockTime) {
        self.suspected_until = now + SUSPECT_TIME;
    }

    /// Whether another node has got no answer lately.
    pub fn is_suspected(&self, now: ClockTime) -> bool {
        now < self.suspected_until
    }

    /// Notes that the server rejected a request without running it.
    pub fn on_rejected(&mut self, now: ClockTime) {
        self.paused_until = self.paused_until.max(now + FULL_PAUSE);
    }

    /// Notes a load report.
    pub fn on_load(&mut self, now: ClockTime, load: ServerLoad) {
        self.load = Some((load, now));
        self.heard_at = now;
    }

    /// Whether requests are kept away for now.
    pub fn is_paused(&self, now: ClockTime) -> bool {
        now < self.paused_until
    }

    /// Whether the last attempts brought no answer, so that one request at a time tests it.
    pub fn is_doubtful(&self) -> bool {
        self.silent > 0
    }

    /// Share of recent requests that failed, from 0 to 1.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        let halves = now.since(self.failure_at).as_secs_f64() / FORGIVE_HALF_LIFE.as_secs_f64();
        self.failure_share * 0.5_f64.powf(halves)
    }

    /// Observed latency as a multiple of the predicted one.
    pub fn slowness(&self) -> f64 {
        if self.slowness == 0.0 { 1.0 } else { self.slowness }
    }

    /// The last load report, if it is fresh.
    pub fn load(&self, now: ClockTime) -> Option<ServerLoad> {
        self.load.filter(|(_, at)| now.since(*at) < LOAD_LIFETIME).map(|(load, _)| load)
    }

    fn note(&mut self, now: ClockTime, failed: f64) {
        let share = self.failure_share(now);
        self.failure_share = share * (1.0 - NEWEST) + failed * NEWEST;
        self.failure_at = now;
    }
}
