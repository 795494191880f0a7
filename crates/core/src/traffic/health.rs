//! Health of one incarnation of a backend server, as a node observes it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// Backoff after the first request without a response; doubles with each further one in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Longest such backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Backoff after a server rejected a request because it was full or busy.
const REJECTION_BACKOFF: Duration = Duration::from_millis(150);
/// Longest time for which a server gets no requests because it asked for rest. One that asks for more is
/// asked again after this time.
const MAX_REST: Duration = Duration::from_secs(600);
/// How long a server stays suspected after it did not respond to another node.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(1_500);
/// Weight of the newest outcome in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.15;
/// Half-life of the failure rate. The rate has to decay with time, because a server that gets no
/// requests cannot lower it by successes.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// A load report older than this is ignored.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// A server that has ended needs at least this long to start again.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);
/// Time after the end of a server by which its listing has changed: it is removed after three missing
/// heartbeats, or renewed when the server starts again.
const RELISTING_TIME: Duration = Duration::from_secs(6);

/// Load that a server reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct ServerLoad {
    /// Number of running requests.
    #[n(0)]
    pub running: u32,
    /// Number of waiting requests.
    #[n(1)]
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    #[n(2)]
    pub slots: u32,
    /// Current duration of work in percent of the usual one; 100 if the server does not report it.
    #[n(3)]
    pub pace_percent: u32,
}

/// Request outcomes and load of one incarnation of a server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    /// Number of requests in a row that got no response.
    unanswered: u32,
    backoff_until: ClockTime,
    /// Until when the server wants no requests from this node. Invariant: never moves back, whatever other
    /// requests show meanwhile.
    rests_until: ClockTime,
    /// When this node last learned that the server responded, to itself or to another node.
    last_seen_at: ClockTime,
    /// When a connection to the server broke or could not be opened, unless the server responded
    /// before it can have started again.
    broke_at: Option<ClockTime>,
    /// End of the suspicion that failures at other nodes raised.
    suspected_until: ClockTime,
    /// Share of recent requests that failed, from 0 to 1.
    failure_rate: f64,
    failure_rate_at: ClockTime,
    load_report: Option<(ServerLoad, ClockTime)>,
}

impl ServerHealth {
    /// Records a response.
    pub fn on_response(&mut self, now: ClockTime) {
        self.unanswered = 0;
        self.backoff_until = ClockTime::ZERO;
        self.suspected_until = ClockTime::ZERO;
        self.on_seen(now);
        self.record_outcome(now, 0.0);
    }

    /// Records that the server, which was silent, responds again, to this node or another one.
    pub fn on_back(&mut self) {
        self.unanswered = 0;
        self.backoff_until = ClockTime::ZERO;
        self.suspected_until = ClockTime::ZERO;
        self.failure_rate = 0.0;
    }

    /// Records an error response that the server sent after it ran a request.
    pub fn on_error_response(&mut self, now: ClockTime) {
        self.unanswered = 0;
        self.record_outcome(now, 1.0);
    }

    /// Whether the server has responded since `since`, to this node or another one.
    pub fn was_seen_since(&self, since: ClockTime) -> bool {
        self.last_seen_at > since
    }

    /// Records an attempt without a usable response.
    pub fn on_no_response(&mut self, now: ClockTime) {
        self.record_outcome(now, 1.0);
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.unanswered.min(8));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.unanswered += 1;
    }

    /// Records that another node got no response from the server.
    pub fn on_peer_no_response(&mut self, now: ClockTime) {
        self.suspected_until = now + SUSPICION_LIFETIME;
    }

    /// Whether another node recently got no response.
    pub fn is_suspected(&self, now: ClockTime) -> bool {
        now < self.suspected_until
    }

    /// Records that the server rejected a request without running it.
    pub fn on_rejected(&mut self, now: ClockTime) {
        self.backoff_until = self.backoff_until.max(now + REJECTION_BACKOFF);
    }

    /// Records that the server wants no requests from this node for some time.
    pub fn on_rest_requested(&mut self, now: ClockTime, rest: Duration) {
        self.rests_until = self.rests_until.max(now + rest.min(MAX_REST));
    }

    /// Returns the rest of the time for which the server wants no requests from this node.
    pub fn rest_left(&self, now: ClockTime) -> Duration {
        self.rests_until.since(now)
    }

    /// Whether the server wants no requests from this node now.
    pub fn is_at_rest(&self, now: ClockTime) -> bool {
        now < self.rests_until
    }

    /// Records a load report.
    pub fn on_load_report(&mut self, now: ClockTime, load: ServerLoad) {
        self.load_report = Some((load, now));
        self.on_seen(now);
    }

    /// Forgets failures that were not due to the server.
    pub fn forget_failures(&mut self) {
        self.unanswered = 0;
        self.backoff_until = ClockTime::ZERO;
        self.broke_at = None;
        self.failure_rate = 0.0;
    }

    /// Records that a connection to the server broke or could not be opened.
    pub fn on_connection_lost(&mut self, now: ClockTime) {
        self.broke_at = Some(now);
    }

    /// Whether another incarnation of the server may have started that its listing does not name.
    /// `is_listing_current` is whether changes of listings reach this node.
    pub fn may_have_restarted(&self, now: ClockTime, is_listing_current: bool) -> bool {
        self.broke_at.is_some_and(|at| {
            let waited = now.since(at);
            waited >= MIN_RESTART_TIME && (!is_listing_current || waited < RELISTING_TIME)
        })
    }

    fn on_seen(&mut self, now: ClockTime) {
        self.last_seen_at = now;
        if self.broke_at.is_some_and(|at| now.since(at) < MIN_RESTART_TIME) {
            self.broke_at = None;
        }
    }

    /// Whether the server should get no requests until its backoff or its rest ends.
    pub fn in_backoff(&self, now: ClockTime) -> bool {
        now < self.backoff_until || self.is_at_rest(now)
    }

    /// Whether the last attempt got no response. Such a server is probed by one request at a time.
    pub fn is_unresponsive(&self) -> bool {
        self.unanswered > 0
    }

    /// Share of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: ClockTime) -> f64 {
        let halves =
            now.since(self.failure_rate_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(halves)
    }

    /// The last load report, unless it is too old.
    pub fn load_report(&self, now: ClockTime) -> Option<ServerLoad> {
        self.load_report
            .filter(|(_, at)| now.since(*at) < LOAD_REPORT_LIFETIME)
            .map(|(load, _)| load)
    }

    /// When the last load report arrived, unless it is too old.
    pub fn load_reported_at(&self, now: ClockTime) -> Option<ClockTime> {
        self.load_report.map(|(_, at)| at).filter(|at| now.since(*at) < LOAD_REPORT_LIFETIME)
    }

    fn record_outcome(&mut self, now: ClockTime, failed: f64) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate * (1.0 - AVERAGE_WEIGHT) + failed * AVERAGE_WEIGHT;
        self.failure_rate_at = now;
    }
}
