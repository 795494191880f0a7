//! Keeps the rejections of all nodes together within what a brittle server bears.
//!
//! A brittle server names how many requests it may reject in a second before it falls over. Room for
//! requests to wait may shrink without notice, so a node sends a request only if the server has a free
//! slot as far as all nodes know, or to find that out at a rate that all nodes share.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{ServerLoad, server_limit::LimitRank};
use crate::clock::ClockTime;

/// Time over which a server counts its rejections, and some more for the differences on the way.
const REJECTION_WINDOW: Duration = Duration::from_millis(1_200);
/// A server counts as brittle for this long after a response that says so.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(3);
/// All nodes together stop sending requests once this fraction of the bearable rejections has happened.
const USED_FRACTION: f64 = 0.34;
/// Requests that may wait at a brittle server that has rejected none lately.
const INITIAL_ROOM: u32 = 1;
/// Free slots that are left to other nodes' requests for each rejection. With more of them, more requests
/// meet at the server before their nodes know of each other.
const RESERVE_STEP: f64 = 1.5;
/// Half-life of that reserve.
const RESERVE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Number of nodes that send requests to one server before they know of each other's; more after
/// rejections.
const MIN_CONTENDERS: f64 = 4.0;
/// How long another node's number of requests counts, as the notice that they have ended may be lost.
const IN_FLIGHT_LIFETIME: Duration = Duration::from_secs(2);
/// How long a rejection shows how many requests may wait.
const ROOM_LIFETIME: Duration = Duration::from_secs(4);

/// What nodes know of the requests at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerOccupancy {
    /// Load that the server reported lately; `None` without a report.
    pub load: Option<ServerLoad>,
    /// Number of requests that can run at the same time.
    pub slots: u32,
    /// Requests of this node that have not ended.
    pub in_flight: u32,
    /// Requests of all nodes, as far as known, that the server has not responded to.
    pub unanswered: u32,
    /// Number of nodes that send requests.
    pub nodes: usize,
}

#[derive(Debug, Clone, Copy)]
struct BrittleStatement {
    /// Rejections that the server bears in a second.
    limit: u32,
    heard_at: ClockTime,
}

/// What a node knows of the rejections of one server incarnation.
#[derive(Debug, Clone, Default)]
pub struct BrittleServer {
    statement: Option<BrittleStatement>,
    /// Rejections at all nodes, in the order in which this node learned of them. Invariant: none older
    /// than the window when the last was added.
    rejections: VecDeque<ClockTime>,
    /// Requests that may wait at the server after a rejection, and when it happened; `None` if there was
    /// none lately.
    room: Option<(u32, ClockTime)>,
    /// Free slots that are left to requests of other nodes which are not known yet, as of `reserve_at`.
    reserve: f64,
    reserve_at: ClockTime,
    /// Requests of other nodes that have not ended, by the incarnations of the nodes, and when they told.
    others_in_flight: HashMap<u64, (u32, ClockTime)>,
    /// When this node may next send a request without knowing of a free slot.
    next_probe_at: ClockTime,
}

impl BrittleServer {
    /// Records that the server, or another one of its service, named its limit.
    pub fn on_named(&mut self, now: ClockTime, limit: u32, rank: LimitRank, nodes: usize) {
        if !self.is_brittle(now) {
            // The nodes take turns from the start on.
            let turn = probe_interval(limit, nodes)
                .mul_f64(f64::from(rank.position + 1) / nodes.max(1) as f64);
            self.next_probe_at = now + turn;
        }
        self.statement = Some(BrittleStatement { limit, heard_at: now });
    }

    /// Records that the server rejected a request of this node or of another one. `waiting` is the
    /// number of waiting requests that it reported with it.
    pub fn on_rejected(&mut self, now: ClockTime, waiting: Option<u32>) {
        while self.rejections.front().is_some_and(|at| now.since(*at) >= REJECTION_WINDOW) {
            self.rejections.pop_front();
        }
        self.rejections.push_back(now);
        self.reserve = self.reserve(now) + RESERVE_STEP;
        self.reserve_at = now;
        let room = waiting.unwrap_or(0).saturating_sub(1);
        self.room = Some((self.room(now).unwrap_or(INITIAL_ROOM).min(room), now));
    }

    /// Records how many requests of another node have not ended. `sender` is its incarnation.
    pub fn on_told_in_flight(&mut self, now: ClockTime, sender: u64, count: u32) {
        self.others_in_flight.retain(|_, (_, at)| now.since(*at) < IN_FLIGHT_LIFETIME);
        self.others_in_flight.insert(sender, (count, now));
    }

    /// Whether the server says that it falls over after too many rejections.
    pub fn is_brittle(&self, now: ClockTime) -> bool {
        self.statement.is_some_and(|named| now.since(named.heard_at) < STATEMENT_LIFETIME)
    }

    /// Whether this node may send a request. `draw` is a random number from 0 to 1: when few slots are
    /// free, only some of the nodes use them, since they do not know of each other's requests yet.
    pub fn admits(&self, now: ClockTime, occupancy: ServerOccupancy, draw: f64) -> bool {
        let Some(named) = self.statement.filter(|_| self.is_brittle(now)) else { return true };
        let recent = self.rejections.iter().filter(|at| now.since(**at) < REJECTION_WINDOW);
        let usable = (f64::from(named.limit) * USED_FRACTION).max(1.0);
        if recent.count() as f64 >= usable {
            return false;
        }
        let contenders = (MIN_CONTENDERS + self.reserve(now)).min(occupancy.nodes.max(1) as f64);
        let share = f64::from(self.free_slots(now, occupancy)) / contenders;
        draw < share || now >= self.next_probe_at
    }

    /// Records that this node sends a request.
    pub fn on_sent(&mut self, now: ClockTime, occupancy: ServerOccupancy) {
        let Some(named) = self.statement.filter(|_| self.is_brittle(now)) else { return };
        if self.free_slots(now, occupancy) == 0 {
            self.next_probe_at = now + probe_interval(named.limit, occupancy.nodes);
        }
    }

    /// Number of slots that are probably free, less those for what other nodes send at the same time.
    fn free_slots(&self, now: ClockTime, occupancy: ServerOccupancy) -> u32 {
        let slots = occupancy.slots.max(1);
        let told = self.others_in_flight.values();
        let told = told.filter(|(_, at)| now.since(*at) < IN_FLIGHT_LIFETIME);
        let in_flight = occupancy.in_flight + told.map(|(count, _)| count).sum::<u32>();
        let Some(load) = occupancy.load else {
            // A server that nobody has heard lately is idle, or does not report its load.
            return if self.room(now).is_none() { slots.saturating_sub(in_flight) } else { 0 };
        };
        let room = self.room(now).unwrap_or(INITIAL_ROOM);
        let waiting = load.waiting.max(occupancy.unanswered);
        if waiting > room {
            return 0;
        }
        let taken = (load.running + waiting).max(in_flight);
        let reserve = (self.reserve(now) as u32).min(slots / 2);
        (slots + room).saturating_sub(taken + reserve)
    }

    fn reserve(&self, now: ClockTime) -> f64 {
        let halves = now.since(self.reserve_at).as_secs_f64() / RESERVE_HALF_LIFE.as_secs_f64();
        self.reserve * 0.5_f64.powf(halves)
    }

    fn room(&self, now: ClockTime) -> Option<u32> {
        let known = self.room.filter(|(_, at)| now.since(*at) < ROOM_LIFETIME);
        known.map(|(room, _)| room)
    }
}

/// Time between two requests of one node that are sent without knowing of a free slot. If all are
/// rejected, the nodes together stay far below the limit.
fn probe_interval(limit: u32, nodes: usize) -> Duration {
    let rate = (f64::from(limit) * USED_FRACTION).max(0.5);
    Duration::from_secs_f64(nodes.max(1) as f64 / rate)
}
