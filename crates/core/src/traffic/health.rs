//! What a node has seen of one life of a backend server.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// First pause after a server did not answer; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Pause after a server rejected a request because it was full or busy.
const REJECTION_BACKOFF: Duration = Duration::from_millis(150);
/// Time for which a server is suspected that did not answer another node.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(1_500);
/// Weight of the newest outcome in the averages.
const AVERAGE_WEIGHT: f64 = 0.15;
/// Time in which half of the remembered failures are forgotten, since a server that gets no
/// requests shows no success.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Age up to which a load report describes the present.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

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
    unanswered: u32,
    backoff_until: ClockTime,
    /// When the server last told anything, to this node or another one.
    last_seen_at: ClockTime,
    /// Until when other nodes' failures count.
    suspected_until: ClockTime,
    /// Share of recent requests that failed, from 0 to 1.
    failure_rate: f64,
    failure_rate_at: ClockTime,
    /// Observed latency as a multiple of the predicted one; 0 if unknown.
    latency_ratio: f64,
    load_report: Option<(ServerLoad, ClockTime)>,
}

impl ServerHealth {
    /// Notes an answer that took `ratio` times as long as predicted.
    pub fn on_response(&mut self, now: ClockTime, ratio: f64) {
        self.unanswered = 0;
        self.backoff_until = ClockTime::ZERO;
        self.suspected_until = ClockTime::ZERO;
        self.last_seen_at = now;
        self.record_outcome(now, 0.0);
        let ratio = ratio.clamp(0.1, 50.0);
        self.latency_ratio = if self.latency_ratio == 0.0 {
            ratio
        } else {
            self.latency_ratio * (1.0 - AVERAGE_WEIGHT) + ratio * AVERAGE_WEIGHT
        };
    }

    /// Notes a failure that the server answered after running a request.
    pub fn on_error_response(&mut self, now: ClockTime) {
        self.unanswered = 0;
        self.record_outcome(now, 1.0);
    }

    /// Whether the server has told anything since `since`, to this node or another one.
    pub fn was_seen_since(&self, since: ClockTime) -> bool {
        self.last_seen_at > since
    }

    /// Notes an attempt without a usable answer.
    pub fn on_no_response(&mut self, now: ClockTime) {
        self.record_outcome(now, 1.0);
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.unanswered.min(8));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.unanswered += 1;
    }

    /// Notes that another node got no answer from the server.
    pub fn on_peer_no_response(&mut self, now: ClockTime) {
        self.suspected_until = now + SUSPICION_LIFETIME;
    }

    /// Whether another node has got no answer lately.
    pub fn is_suspected(&self, now: ClockTime) -> bool {
        now < self.suspected_until
    }

    /// Notes that the server rejected a request without running it.
    pub fn on_rejected(&mut self, now: ClockTime) {
        self.backoff_until = self.backoff_until.max(now + REJECTION_BACKOFF);
    }

    /// Notes a load report.
    pub fn on_load_report(&mut self, now: ClockTime, load: ServerLoad) {
        self.load_report = Some((load, now));
        self.last_seen_at = now;
    }

    /// Whether requests are kept away for now.
    pub fn in_backoff(&self, now: ClockTime) -> bool {
        now < self.backoff_until
    }

    /// Whether the last attempts brought no answer, so that one request at a time tests it.
    pub fn is_unresponsive(&self) -> bool {
        self.unanswered > 0
    }

    /// Share of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: ClockTime) -> f64 {
        let halves =
            now.since(self.failure_rate_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(halves)
    }

    /// Observed latency as a multiple of the predicted one.
    pub fn latency_ratio(&self) -> f64 {
        if self.latency_ratio == 0.0 { 1.0 } else { self.latency_ratio }
    }

    /// The last load report, if it is fresh.
    pub fn load_report(&self, now: ClockTime) -> Option<ServerLoad> {
        self.load_report
            .filter(|(_, at)| now.since(*at) < LOAD_REPORT_LIFETIME)
            .map(|(load, _)| load)
    }

    fn record_outcome(&mut self, now: ClockTime, failed: f64) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate * (1.0 - AVERAGE_WEIGHT) + failed * AVERAGE_WEIGHT;
        self.failure_rate_at = now;
    }
}
