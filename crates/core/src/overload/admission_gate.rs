//! Decides on the requests to one service.

use std::time::Duration;

use rand::Rng;

use super::{
    AdmissionDecision, AdmissionRequest, AdmissionVerdict, FairShares, FleetPressure,
    PressureReport, ReturnSchedule, ReturnWindow, pressure_report::MAX_RANKS,
    rank_demand::RankDemand,
};
use crate::clock::ClockTime;

const ZERO: Duration = Duration::ZERO;

/// A request is sent only if its expected latency is at most this fraction of the target latency:
/// under overload the actual wait is about a third longer than the expected one.
const TARGET_FRACTION: f64 = 0.7;
/// A request may always take this multiple of its time at an idle server, so that a long prompt is
/// not refused merely for its length.
const IDLE_FACTOR: f64 = 1.3;
/// Share of its room that the least urgent request loses at full pressure.
const PRESSURE_CUT: f64 = 0.9;
/// Share of its room that a request loses at full pressure if it cannot be on time any more. Its
/// response is worth a tenth to a third of one on time.
const LATE_CUT: f64 = 0.7;
/// A request of a group below its minimum share may fill this part of its target.
const STARVED_FRACTION: f64 = 0.85;
/// Without pressure, a request that would be a little late may take this multiple of its target.
const LATE_FACTOR: f64 = 1.5;
/// Such a request must be expected within this fraction of the time until it is due.
const LATE_TIME_FRACTION: f64 = 0.5;
/// Time between two updates of what other nodes tell of the ranks.
const TOLD_RANKS_INTERVAL: Duration = Duration::from_millis(250);
/// Clients wait at most this part of the time until they give up.
const CLIENT_WAIT_PART: u32 = 3;
/// Retry delay relative to the time in which the backlog falls, for the least urgent requests.
const LAST_RANK_DELAY: f64 = 2.0;

/// State of the decisions on one service.
#[derive(Debug, Clone, Default)]
pub struct AdmissionGate {
    pressure: FleetPressure,
    told_ranks_at: ClockTime,
    demand: RankDemand,
    returns: ReturnSchedule,
    shares: FairShares,
}

impl AdmissionGate {
    /// Decides on a request, and records it.
    pub fn decide(
        &mut self,
        now: ClockTime,
        request: &AdmissionRequest,
        rng: &mut impl Rng,
    ) -> AdmissionVerdict {
        if request.continues {
            return decide_continued(request);
        }
        let wait = request.expected.saturating_sub(request.idle);
        let room = room(request);
        self.update_told_ranks(now);
        self.demand.record(now, request.rank, request.server_ms, room);
        let tightest = self.demand.tightest_room(request.rank, room);
        if request.idle < request.time_left {
            self.pressure.own.on_wait(now, wait, tightest);
        }
        self.shares.on_request(now, &request.groups, request.server_ms);
        let pressure = self.pressure.pressure(now);
        let excess = self.shares.excess(now, &request.groups);
        let position = self.demand.position(request.rank, excess);
        // More urgent requests must still be on time behind this one.
        let behind = tightest.saturating_sub(if tightest < room { request.idle } else { ZERO });
        let room = room.mul_f64(1.0 - pressure) + behind.mul_f64(pressure);
        let mut max_wait = room.mul_f64(1.0 - PRESSURE_CUT * pressure * position);
        max_wait = max_wait.mul_f64(1.0 - pressure * self.demand.refused_before(request.rank));
        if request.elapsed + request.idle > request.target {
            max_wait = max_wait.mul_f64(1.0 - LATE_CUT * pressure);
        }
        if !request.is_return {
            max_wait = max_wait.mul_f64(1.0 - self.returns.reserved_share(now, position));
        }
        if pressure == 0.0 {
            max_wait = max_wait.max(late_room(request));
        }
        let is_starved = pressure > 0.0 && self.shares.is_starved(now, &request.groups);
        if is_starved {
            max_wait = max_wait.max(starved_room(request));
        }
        let decision = if wait <= max_wait && request.idle <= request.time_left {
            self.returns.on_admitted(now, position, request.is_return);
            self.shares.on_admitted(now, &request.groups, request.server_ms);
            AdmissionDecision::Admit
        } else {
            self.demand.on_refused(request.rank);
            let fall = self.pressure.own.time_to_fall(wait.saturating_sub(max_wait));
            let earliest = fall.mul_f64(1.0 + (LAST_RANK_DELAY - 1.0) * position);
            let latest = request.client_time_left / CLIENT_WAIT_PART;
            AdmissionDecision::Refuse(self.returns.promise(
                now,
                ReturnWindow { earliest, latest },
                position,
                rng,
            ))
        };
        AdmissionVerdict { decision, pressure, position, is_starved, wait, max_wait }
    }

    /// Records that a server rejected a request because it was full.
    pub fn on_rejected(&mut self, now: ClockTime) {
        self.pressure.own.on_rejected(now);
    }

    /// Records what another node sees of the pressure of the service.
    pub fn on_report(&mut self, now: ClockTime, report: PressureReport) {
        self.pressure.on_report(now, report);
    }

    /// Returns the report of this node for the others, if one is due.
    pub fn take_report(
        &mut self,
        now: ClockTime,
        service: &str,
        sender: u64,
    ) -> Option<PressureReport> {
        let pressure = self.pressure.take_report(now)?;
        let ranks = self.demand.report(MAX_RANKS);
        Some(PressureReport { service: service.to_string(), sender, pressure, ranks })
    }

    fn update_told_ranks(&mut self, now: ClockTime) {
        if now.since(self.told_ranks_at) >= TOLD_RANKS_INTERVAL {
            self.told_ranks_at = now;
            self.pressure.expire(now);
            self.demand.set_told(&self.pressure.told_ranks(now));
        }
    }

    /// Returns the pressure of the service, from 0 to 1.
    pub fn pressure(&self, now: ClockTime) -> f64 {
        self.pressure.pressure(now)
    }
}

/// A stream that continues has no other servers to go to, and its client has part of the response.
fn decide_continued(request: &AdmissionRequest) -> AdmissionVerdict {
    let bound = request.time_left.mul_f64(TARGET_FRACTION).max(request.idle.mul_f64(IDLE_FACTOR));
    let bound = bound.min(request.time_left);
    let delay = request.expected.saturating_sub(bound).min(request.client_time_left);
    let decision = if request.expected <= bound {
        AdmissionDecision::Admit
    } else {
        AdmissionDecision::Refuse((delay / CLIENT_WAIT_PART).max(Duration::from_millis(100)))
    };
    AdmissionVerdict {
        decision,
        pressure: 0.0,
        position: 0.0,
        is_starved: false,
        wait: request.expected.saturating_sub(request.idle),
        max_wait: bound.saturating_sub(request.idle),
    }
}

/// Longest expected wait of a request without pressure.
fn room(request: &AdmissionRequest) -> Duration {
    let bound = request.target.mul_f64(TARGET_FRACTION).max(request.idle.mul_f64(IDLE_FACTOR));
    bound.min(request.time_left).saturating_sub(request.idle)
}

/// Longest expected wait of a request that may be a little late, since its server's queue is the
/// only long one.
fn late_room(request: &AdmissionRequest) -> Duration {
    let bound = request.target.mul_f64(LATE_FACTOR);
    bound.min(request.time_left.mul_f64(LATE_TIME_FRACTION)).saturating_sub(request.idle)
}

/// Longest expected wait of a request of a group below its minimum share.
fn starved_room(request: &AdmissionRequest) -> Duration {
    let bound = request.target.mul_f64(STARVED_FRACTION).min(request.time_left);
    bound.saturating_sub(request.idle).max(room(request))
}
