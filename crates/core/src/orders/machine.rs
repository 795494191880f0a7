//! The order machine of one steward.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng;

use super::{
    HoldOrder, LEASE_TIME, LeaseEvent, LeaseState, OrderEffect, OrderOutcome, REQUEST_TIMEOUT,
    ServerReading,
};
use crate::{
    clock::{ClockTime, TimerQueue},
    lists::{ListDocument, ServerRole},
};

/// A load that has not ended after this time is over: the server is gone.
pub const MAX_LOAD_TIME: Duration = Duration::from_secs(60);
/// Time between two renewals: two may be lost before the lease ends.
const RENEW_TIME: Duration = Duration::from_millis(1_500);
/// Attempts at a free lease are spread over this time.
const ACQUIRE_JITTER: Duration = Duration::from_secs(1);
/// A node that does not hold the lease looks again after this time, in case a watch was lost.
const RECHECK_TIME: Duration = Duration::from_secs(30);
/// Time between two readings of a server with an order in progress.
const READ_BACK_TIME: Duration = Duration::from_millis(250);
/// Time between two readings of a server without one. At most `SWEEP_READS` servers are read in
/// it, so that 12,000 servers take five minutes and stay under 1 % of a core.
const SWEEP_TIME: Duration = Duration::from_secs(5);
const SWEEP_READS: usize = 200;

#[derive(Debug, Clone, PartialEq, Eq)]
enum OrderTimer {
    /// With its due time; only the one that was set last counts.
    Acquire(ClockTime),
    /// With the token, so that the timers of an earlier lease end.
    Renew(u64),
    Sweep(u64),
    ReadBack(String),
}

#[derive(Debug, Clone)]
struct OpenOrder {
    sent_at: ClockTime,
    order: HoldOrder,
}

/// Decides orders; idle unless this node holds the lease.
#[derive(Debug, Clone)]
pub struct OrderMachine {
    lease: LeaseState,
    /// Whether this node is one of those that take the lease.
    candidate: bool,
    max_loads: usize,
    wanted: BTreeMap<String, HoldOrder>,
    readings: BTreeMap<String, (ServerReading, ClockTime)>,
    /// Orders that may cause a load. Invariant: with the servers that load without one, at most
    /// `max_loads`.
    open: BTreeMap<String, OpenOrder>,
    /// When the next attempt at the lease is due.
    acquire_at: ClockTime,
    /// When servers that could not be read cannot be loading for the predecessor any more.
    unread_until: ClockTime,
    /// Where the next sweep starts.
    cursor: String,
    timers: TimerQueue<OrderTimer>,
}

impl OrderMachine {
    /// Creates a machine that causes at most `max_loads` loads at once.
    pub fn new(max_loads: usize) -> OrderMachine {
        OrderMachine {
            lease: LeaseState::default(),
            candidate: false,
            max_loads,
            wanted: BTreeMap::new(),
            readings: BTreeMap::new(),
            open: BTreeMap::new(),
            acquire_at: ClockTime::ZERO,
            unread_until: ClockTime::ZERO,
            cursor: String::new(),
            timers: TimerQueue::new(),
        }
    }

    /// Takes the wanted state from the lists.
    pub fn apply(&mut self, now: ClockTime, document: &ListDocument) -> Vec<OrderEffect> {
        let wanted = document.servers.iter().filter_map(|(name, server)| {
            let ServerRole::Engine(model) = &server.role else { return None };
            let weights = document.weights.get(model)?;
            let order = HoldOrder {
                model: model.clone(),
                version: weights.version,
                adapters: weights.adapters.clone(),
            };
            Some((name.clone(), order))
        });
        self.wanted = wanted.collect();
        self.readings.retain(|name, _| self.wanted.contains_key(name));
        self.send_orders(now)
    }

    /// Sets whether this node takes a free lease. One that stops being a candidate lets its
    /// lease end.
    pub fn set_candidate(&mut self, now: ClockTime, candidate: bool, rng: &mut impl Rng) {
        if candidate && !self.candidate {
            self.open_acquire(now, rng);
        }
        self.candidate = candidate;
    }

    /// The fencing token, if this node holds the lease.
    pub fn fencing(&self, now: ClockTime) -> Option<u64> {
        self.lease.fencing(now)
    }

    /// Servers whose last reading is not the wanted state.
    pub fn behind(&self) -> impl Iterator<Item = &str> {
        let differs = |(name, order): &(&String, &HoldOrder)| {
            self.readings.get(*name).and_then(|(reading, _)| reading.held.as_ref()) != Some(*order)
        };
        self.wanted.iter().filter(differs).map(|(name, _)| name.as_str())
    }

    /// Handles what the host learned about the lease.
    pub fn on_lease(
        &mut self,
        now: ClockTime,
        event: LeaseEvent,
        rng: &mut impl Rng,
    ) -> Vec<OrderEffect> {
        self.lease.on_event(now, event);
        match event {
            LeaseEvent::Acquired { fencing, .. } => {
                self.readings.clear();
                self.open.clear();
                self.timers.schedule(now + RENEW_TIME, OrderTimer::Renew(fencing));
                // The state is read when the predecessor's orders have arrived.
                let order_from = self.lease.order_from();
                self.timers.schedule(order_from, OrderTimer::Sweep(fencing));
                self.unread_until = order_from + MAX_LOAD_TIME;
            }
            LeaseEvent::Free | LeaseEvent::Lost if self.candidate => self.open_acquire(now, rng),
            LeaseEvent::Taken => self.set_acquire(now + RECHECK_TIME),
            _ => {}
        }
        Vec::new()
    }

    /// Handles a server's state, read by a request that was sent at `asked_at`.
    ///
    /// An answer says nothing of an order that was sent after its request.
    pub fn on_reading(
        &mut self,
        now: ClockTime,
        asked_at: ClockTime,
        server: &str,
        reading: ServerReading,
    ) -> Vec<OrderEffect> {
        let newer = self.readings.get(server).is_none_or(|(_, at)| *at <= asked_at);
        if !self.wanted.contains_key(server) || !newer {
            return Vec::new();
        }
        if let Some(open) = self.open.get(server) {
            let reached = reading.held.as_ref() == Some(&open.order) && asked_at >= open.sent_at;
            // Without a load and without the state, the order may still be on its way.
            let over = asked_at.since(open.sent_at) > REQUEST_TIMEOUT;
            if !reading.loading && (reached || over) {
                self.open.remove(server);
            }
        }
        if reading.loading && !self.open.contains_key(server) {
            self.read_back(now, server);
        }
        self.readings.insert(server.to_string(), (reading, asked_at));
        self.send_orders(now)
    }

    /// Handles the result of an order.
    pub fn on_outcome(&mut self, now: ClockTime, server: &str, outcome: OrderOutcome) {
        if outcome == OrderOutcome::StaleFencing {
            self.lease.step_down();
            return;
        }
        self.read_back(now, server);
    }

    /// A server restarted or was reported by an entry: its state is read.
    pub fn on_hint(&mut self, now: ClockTime, server: &str) -> Vec<OrderEffect> {
        match self.lease.order_fencing(now) {
            Some(_) if self.wanted.contains_key(server) => {
                vec![OrderEffect::Read { server: server.to_string() }]
            }
            _ => Vec::new(),
        }
    }

    /// Time of the next timer.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles due timers.
    pub fn on_timer(&mut self, now: ClockTime, rng: &mut impl Rng) -> Vec<OrderEffect> {
        let mut effects = Vec::new();
        while let Some(timer) = self.timers.pop_due(now) {
            let held = self.lease.fencing(now);
            match timer {
                OrderTimer::Acquire(due)
                    if due == self.acquire_at && self.candidate && held.is_none() =>
                {
                    effects.push(OrderEffect::Acquire);
                    // In case the attempt's result never arrives.
                    let jitter = rng.random_range(0..=ACQUIRE_JITTER.as_micros() as u64);
                    self.set_acquire(now + LEASE_TIME + Duration::from_micros(jitter));
                }
                OrderTimer::Renew(token) if held == Some(token) && self.candidate => {
                    effects.push(OrderEffect::Renew);
                    self.timers.schedule(now + RENEW_TIME, OrderTimer::Renew(token));
                }
                OrderTimer::Renew(_) if held.is_none() && self.candidate => {
                    self.open_acquire(now, rng);
                }
                OrderTimer::Sweep(token) if held == Some(token) => {
                    self.sweep(now, &mut effects);
                    self.timers.schedule(now + SWEEP_TIME, OrderTimer::Sweep(token));
                }
                OrderTimer::ReadBack(server) if held.is_some() && self.is_busy(now, &server) => {
                    effects.push(OrderEffect::Read { server: server.clone() });
                    self.read_back(now, &server);
                }
                _ => {}
            }
        }
        effects
    }

    fn open_acquire(&mut self, now: ClockTime, rng: &mut impl Rng) {
        let jitter = rng.random_range(0..=ACQUIRE_JITTER.as_micros() as u64);
        self.set_acquire(now + Duration::from_micros(jitter));
    }

    fn set_acquire(&mut self, due: ClockTime) {
        self.acquire_at = due;
        self.timers.schedule(due, OrderTimer::Acquire(due));
    }

    fn read_back(&mut self, now: ClockTime, server: &str) {
        let timer = OrderTimer::ReadBack(server.to_string());
        self.timers.schedule(now + READ_BACK_TIME, timer);
    }

    /// Whether a load may be in progress at a server.
    fn is_busy(&self, now: ClockTime, server: &str) -> bool {
        let loading = |(reading, at): &(ServerReading, ClockTime)| {
            reading.loading && now.since(*at) < MAX_LOAD_TIME
        };
        self.open.contains_key(server) || self.readings.get(server).is_some_and(loading)
    }

    /// Reads the next servers in the order of their names, and drops orders that are over.
    fn sweep(&mut self, now: ClockTime, effects: &mut Vec<OrderEffect>) {
        self.open.retain(|_, open| now.since(open.sent_at) < MAX_LOAD_TIME);
        let after = self.wanted.range::<String, _>((
            std::ops::Bound::Excluded(&self.cursor),
            std::ops::Bound::Unbounded,
        ));
        let names: Vec<String> = after
            .chain(self.wanted.iter())
            .map(|(name, _)| name.clone())
            .take(SWEEP_READS.min(self.wanted.len()))
            .collect();
        if let Some(last) = names.last() {
            self.cursor = last.clone();
        }
        effects.extend(names.into_iter().map(|server| OrderEffect::Read { server }));
    }

    /// Sends orders to servers that are behind, as long as loads are free.
    fn send_orders(&mut self, now: ClockTime) -> Vec<OrderEffect> {
        let Some(fencing) = self.lease.order_fencing(now) else { return Vec::new() };
        // A server that was not read may be loading for the predecessor.
        let unread = self.wanted.keys().any(|name| !self.readings.contains_key(name));
        if unread && now < self.unread_until {
            return Vec::new();
        }
        let names: BTreeSet<&String> = self.readings.keys().chain(self.open.keys()).collect();
        let busy: BTreeSet<&String> =
            names.into_iter().filter(|name| self.is_busy(now, name)).collect();
        let free = self.max_loads.saturating_sub(busy.len());
        let behind = self.wanted.iter().filter(|(name, order)| {
            let reading = self.readings.get(*name);
            let behind = reading.is_some_and(|(reading, _)| reading.held.as_ref() != Some(*order));
            behind && !busy.contains(name)
        });
        let orders: Vec<(String, HoldOrder)> =
            behind.take(free).map(|(name, order)| (name.clone(), order.clone())).collect();
        let mut effects = Vec::new();
        for (server, order) in orders {
            self.open.insert(server.clone(), OpenOrder { sent_at: now, order: order.clone() });
            effects.push(OrderEffect::Send { server, fencing, order });
        }
        effects
    }
}
