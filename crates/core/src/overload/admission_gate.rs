//! Decides on the requests to one service.

use std::time::Duration;

use rand::Rng;

use super::{
    AdmissionDecision, AdmissionRequest, AdmissionVerdict, FairShares, FleetPressure,
    PressureReport, ReturnSchedule, ReturnWindow, WaitQueue, WaitTicket,
    pressure_report::MAX_RANKS, rank_demand::RankDemand,
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
/// A request that has waited at the node may fill this part of its target, by its expected latency.
const WAITED_FRACTION: f64 = 0.75;
/// Part of its target that a request waits at the node at most.
const QUEUE_FRACTION: f64 = 0.25;
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
    queue: WaitQueue,
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
        self.update_told_ranks(now);
        if request.ticket.is_none() {
            self.record(now, request);
        }
        let pressure = self.pressure.pressure(now);
        let excess = self.shares.excess(now, &request.groups);
        let position = self.demand.position(request.rank, excess);
        let is_starved = pressure > 0.0 && self.shares.is_starved(now, &request.groups);
        let mut verdict = AdmissionVerdict {
            decision: AdmissionDecision::Admit,
            pressure,
            position,
            is_starved,
            wait: request.wait(),
            max_wait: self.max_wait(now, request, pressure, position, is_starved),
        };
        let ticket = request.ticket;
        let ticket = ticket.unwrap_or_else(|| self.queue.ticket(request.rank, request.is_return));
        let has_room = verdict.wait <= verdict.max_wait && request.idle <= request.time_left;
        let is_next = is_starved || pressure == 0.0 || self.queue.place(ticket) == 0;
        if has_room && is_next {
            self.queue.leave(ticket);
            self.returns.on_admitted(now, position, request.is_return);
            self.shares.on_admitted(now, &request.groups, request.server_ms);
        } else if let Some(interval) = self.wait(now, request, &verdict, ticket) {
            verdict.decision = AdmissionDecision::Wait(interval, ticket);
        } else {
            self.queue.leave(ticket);
            self.demand.on_refused(request.rank);
            let delay = self.retry_delay(now, request, &verdict, rng);
            verdict.decision = AdmissionDecision::Refuse(delay);
        }
        verdict
    }

    fn record(&mut self, now: ClockTime, request: &AdmissionRequest) {
        let wait = request.wait();
        let room = target_room(request);
        self.demand.record(now, request.rank, request.server_ms, room);
        let tightest = self.demand.tightest_room(request.rank, room);
        self.pressure.own.on_wait(now, wait, tightest);
        self.shares.on_request(now, &request.groups, request.server_ms);
    }

    /// Returns the longest expected wait with which a request is admitted.
    fn max_wait(
        &mut self,
        now: ClockTime,
        request: &AdmissionRequest,
        pressure: f64,
        position: f64,
        is_starved: bool,
    ) -> Duration {
        let room = target_room(request);
        let tightest = self.demand.tightest_room(request.rank, room);
        // More urgent requests must still be on time behind this one.
        let behind = tightest.saturating_sub(if tightest < room { request.idle } else { ZERO });
        let room = room.mul_f64(1.0 - pressure) + behind.mul_f64(pressure);
        let mut share = 1.0 - PRESSURE_CUT * pressure * position;
        share *= 1.0 - pressure * self.demand.refused_before(request.rank);
        if request.elapsed + request.idle > request.target {
            share *= 1.0 - LATE_CUT * pressure;
        }
        if !request.is_return {
            share *= 1.0 - self.returns.reserved_share(now, position);
        }
        let max_wait = room.mul_f64(share).min(request.time_left.saturating_sub(request.idle));
        if is_starved {
            max_wait.max(starved_room(request))
        } else if pressure == 0.0 {
            max_wait.max(late_room(request))
        } else {
            max_wait
        }
    }

    /// Lets a request wait if it will probably be sent while it can be on time. Returns when it looks
    /// for a server again.
    fn wait(
        &mut self,
        now: ClockTime,
        request: &AdmissionRequest,
        verdict: &AdmissionVerdict,
        ticket: WaitTicket,
    ) -> Option<Duration> {
        let known = self.queue.waits_until(ticket);
        if request.ticket.is_some() && known.is_none() {
            return None;
        }
        let until = known.unwrap_or(now + patience(request, verdict.max_wait));
        let fall = self.pressure.own.time_to_fall(verdict.wait.saturating_sub(verdict.max_wait));
        let gap = Duration::from_secs_f64(1.0 / self.returns.rate(now).max(1.0));
        let place = self.queue.place(ticket);
        let needed = fall.max(gap * place as u32);
        if needed.is_zero() && place == 0 || now + needed >= until {
            return None;
        }
        let has_entered = known.is_some() || self.queue.enter(now, ticket, until);
        has_entered.then(|| WaitQueue::interval(place, gap).min(until.since(now)))
    }

    fn retry_delay(
        &mut self,
        now: ClockTime,
        request: &AdmissionRequest,
        verdict: &AdmissionVerdict,
        rng: &mut impl Rng,
    ) -> Duration {
        let excess = verdict.wait.saturating_sub(verdict.max_wait);
        let fall = self.pressure.own.time_to_fall(excess);
        let earliest = fall.mul_f64(1.0 + (LAST_RANK_DELAY - 1.0) * verdict.position);
        let latest = request.client_time_left / CLIENT_WAIT_PART;
        self.returns.promise(now, ReturnWindow { earliest, latest }, verdict.position, rng)
    }

    /// Removes a request from the queue whose client has left.
    pub fn on_left(&mut self, ticket: WaitTicket) {
        self.queue.leave(ticket);
    }

    /// Number of requests that wait at this node.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
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

/// Decides on a request that continues, by the time that it has left and without regard to the pressure:
/// its client may have part of the response.
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
        wait: request.wait(),
        max_wait: bound.saturating_sub(request.idle),
    }
}

/// Longest expected wait of a request without pressure that has enough time left. What is learnt of a
/// rank does not depend on the time left, since a single request that is nearly out of time says
/// nothing about the others.
fn target_room(request: &AdmissionRequest) -> Duration {
    let bound = request.target.mul_f64(TARGET_FRACTION).max(request.idle.mul_f64(IDLE_FACTOR));
    bound.saturating_sub(request.idle)
}

/// Longest expected wait of a request that may be a little late, since its server's queue is the
/// only long one.
fn late_room(request: &AdmissionRequest) -> Duration {
    let bound = request.target.mul_f64(LATE_FACTOR);
    bound.min(request.time_left.mul_f64(LATE_TIME_FRACTION)).saturating_sub(request.idle)
}

/// Longest wait at the node of a request that is sent when it is expected to wait for `max_wait` at
/// the server: a short one, after which it is still well within its target.
fn patience(request: &AdmissionRequest, max_wait: Duration) -> Duration {
    let bound = request.target.mul_f64(WAITED_FRACTION).min(request.time_left);
    let left = bound.saturating_sub(request.elapsed + request.idle + max_wait);
    left.min(request.target.mul_f64(QUEUE_FRACTION))
}

/// Longest expected wait of a request of a group below its minimum share.
fn starved_room(request: &AdmissionRequest) -> Duration {
    let room = request.target.mul_f64(STARVED_FRACTION).saturating_sub(request.idle);
    room.max(target_room(request)).min(request.time_left.saturating_sub(request.idle))
}
