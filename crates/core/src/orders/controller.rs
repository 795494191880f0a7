//! Decides which orders a steward sends, and when it acquires and renews the lease.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng;

use super::{
    EngineWeights, LEASE_LIFETIME, LeaseEvent, LeaseState, ORDER_TIMEOUT, OrderEffect,
    OrderOutcome, WeightsStatus,
};
use crate::{
    clock::{ClockTime, TimerQueue},
    lists::{ListDocument, ServerRole},
};

/// A load that is still unfinished after this time no longer counts: the server is gone.
pub const MAX_LOAD_DURATION: Duration = Duration::from_secs(60);
/// Time between two renewals of the lease. Two in a row may be lost before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest random delay before an attempt to acquire a free lease, so that candidates do not all
/// try at once.
const MAX_ACQUIRE_JITTER: Duration = Duration::from_secs(1);
/// A candidate retries after this time while another node holds the lease, in case the watch that
/// reports its end was lost.
const RECHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two reads of a server that has an order in flight or is loading.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two sweeps, which read servers whether or not they have an order in flight. A sweep
/// reads at most `READS_PER_SWEEP` servers, so that reading 12,000 servers takes five minutes and
/// stays under 1 % of a core.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
const READS_PER_SWEEP: usize = 200;

#[derive(Debug, Clone, PartialEq, Eq)]
enum OrderTimer {
    /// Attempt to acquire the lease, with its due time. Only the attempt that was scheduled last
    /// takes place.
    Acquire(ClockTime),
    /// Renew the lease. The fencing token ends the timers of an earlier lease.
    Renew(u64),
    /// Read the next servers, under the lease with this fencing token.
    Sweep(u64),
    /// Read the server with this name if a load may be in progress there.
    ReadBack(String),
}

/// An order that was sent and may still cause a load.
#[derive(Debug, Clone)]
struct InFlightOrder {
    sent_at: ClockTime,
    order: EngineWeights,
}

/// Decides which servers get orders. It sends none unless this node holds the lease.
#[derive(Debug, Clone)]
pub struct OrderController {
    lease: LeaseState,
    /// Whether this node tries to acquire the lease.
    candidate: bool,
    /// Most servers that may load weights at the same time.
    max_loads: usize,
    /// Weights that each engine should hold, by name.
    target: BTreeMap<String, EngineWeights>,
    /// Latest status of each server, with when its read was sent.
    statuses: BTreeMap<String, (WeightsStatus, ClockTime)>,
    /// Orders that may cause a load, by server. Invariant: together with the servers that load
    /// without an order, at most `max_loads`.
    in_flight: BTreeMap<String, InFlightOrder>,
    /// When the next attempt to acquire the lease is due.
    next_acquire: ClockTime,
    /// From this time on, a server that could not be read cannot still be loading on an order of
    /// the previous holder.
    predecessor_loads_end: ClockTime,
    /// The last server that a sweep has read; the next sweep continues after it.
    last_swept: String,
    timers: TimerQueue<OrderTimer>,
}

impl OrderController {
    /// Creates a controller that lets at most `max_loads` servers load at the same time.
    pub fn new(max_loads: usize) -> OrderController {
        OrderController {
            lease: LeaseState::default(),
            candidate: false,
            max_loads,
            target: BTreeMap::new(),
            statuses: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_acquire: ClockTime::ZERO,
            predecessor_loads_end: ClockTime::ZERO,
            last_swept: String::new(),
            timers: TimerQueue::new(),
        }
    }

    /// Takes the target weights of all engines from the lists.
    pub fn apply(&mut self, now: ClockTime, document: &ListDocument) -> Vec<OrderEffect> {
        let target = document.servers.iter().filter_map(|(name, server)| {
            let ServerRole::Engine(model) = &server.role else { return None };
            let weights = document.weights.get(model)?;
            let order = EngineWeights {
                model: model.clone(),
                version: weights.version,
                adapters: weights.adapters.clone(),
            };
            Some((name.clone(), order))
        });
        self.target = target.collect();
        self.statuses.retain(|name, _| self.target.contains_key(name));
        self.send_orders(now)
    }

    /// Sets whether this node tries to acquire the lease. A holder that stops being a candidate no
    /// longer renews its lease.
    pub fn set_candidate(&mut self, now: ClockTime, candidate: bool, rng: &mut impl Rng) {
        if candidate && !self.candidate {
            self.schedule_acquire(now, rng);
        }
        self.candidate = candidate;
    }

    /// Returns the fencing token if this node holds the lease.
    pub fn fencing(&self, now: ClockTime) -> Option<u64> {
        self.lease.fencing(now)
    }

    /// Returns the servers whose latest status is unknown or differs from the target.
    pub fn outdated_servers(&self) -> impl Iterator<Item = &str> {
        let differs = |(name, order): &(&String, &EngineWeights)| {
            self.statuses.get(*name).and_then(|(status, _)| status.held.as_ref()) != Some(*order)
        };
        self.target.iter().filter(differs).map(|(name, _)| name.as_str())
    }

    /// Handles an event of the lease.
    pub fn on_lease(
        &mut self,
        now: ClockTime,
        event: LeaseEvent,
        rng: &mut impl Rng,
    ) -> Vec<OrderEffect> {
        self.lease.on_event(now, event);
        match event {
            LeaseEvent::Acquired { fencing, .. } => {
                self.statuses.clear();
                self.in_flight.clear();
                self.timers.schedule(now + RENEW_INTERVAL, OrderTimer::Renew(fencing));
                // Reads start once no order of the previous holder can still arrive.
                let orders_allowed_from = self.lease.orders_allowed_from();
                self.timers.schedule(orders_allowed_from, OrderTimer::Sweep(fencing));
                self.predecessor_loads_end = orders_allowed_from + MAX_LOAD_DURATION;
            }
            LeaseEvent::Free | LeaseEvent::Lost if self.candidate => {
                self.schedule_acquire(now, rng)
            }
            LeaseEvent::HeldByOther => self.schedule_acquire_at(now + RECHECK_INTERVAL),
            _ => {}
        }
        Vec::new()
    }

    /// Handles the status of a server, read by a request that was sent at `requested_at`.
    ///
    /// The status says nothing about an order that was sent after the request.
    pub fn on_weights_status(
        &mut self,
        now: ClockTime,
        requested_at: ClockTime,
        server: &str,
        status: WeightsStatus,
    ) -> Vec<OrderEffect> {
        let newer = self.statuses.get(server).is_none_or(|(_, at)| *at <= requested_at);
        if !self.target.contains_key(server) || !newer {
            return Vec::new();
        }
        if let Some(sent) = self.in_flight.get(server) {
            let reached = status.held.as_ref() == Some(&sent.order) && requested_at >= sent.sent_at;
            // A server that neither loads nor holds the target may not have received the order yet;
            // it can still arrive until it is given up.
            let cannot_arrive = requested_at.since(sent.sent_at) > ORDER_TIMEOUT;
            if !status.loading && (reached || cannot_arrive) {
                self.in_flight.remove(server);
            }
        }
        if status.loading && !self.in_flight.contains_key(server) {
            self.schedule_read_back(now, server);
        }
        self.statuses.insert(server.to_string(), (status, requested_at));
        self.send_orders(now)
    }

    /// Handles the result of sending an order.
    pub fn on_order_outcome(&mut self, now: ClockTime, server: &str, outcome: OrderOutcome) {
        if outcome == OrderOutcome::StaleFencing {
            self.lease.step_down();
            return;
        }
        self.schedule_read_back(now, server);
    }

    /// Reads a server ahead of its sweep, such as after it restarted or an entry reported it.
    pub fn refresh_server(&mut self, now: ClockTime, server: &str) -> Vec<OrderEffect> {
        match self.lease.order_fencing(now) {
            Some(_) if self.target.contains_key(server) => {
                vec![OrderEffect::Read { server: server.to_string() }]
            }
            _ => Vec::new(),
        }
    }

    /// Returns when [`OrderController::on_timer`] is to be called next.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles due timers.
    pub fn on_timer(&mut self, now: ClockTime, rng: &mut impl Rng) -> Vec<OrderEffect> {
        let mut effects = Vec::new();
        while let Some(timer) = self.timers.pop_due(now) {
            let held_token = self.lease.fencing(now);
            match timer {
                OrderTimer::Acquire(due)
                    if due == self.next_acquire && self.candidate && held_token.is_none() =>
                {
                    effects.push(OrderEffect::Acquire);
                    // Retries in case the result of this attempt never arrives.
                    let jitter = rng.random_range(0..=MAX_ACQUIRE_JITTER.as_micros() as u64);
                    self.schedule_acquire_at(now + LEASE_LIFETIME + Duration::from_micros(jitter));
                }
                OrderTimer::Renew(token) if held_token == Some(token) && self.candidate => {
                    effects.push(OrderEffect::Renew);
                    self.timers.schedule(now + RENEW_INTERVAL, OrderTimer::Renew(token));
                }
                OrderTimer::Renew(_) if held_token.is_none() && self.candidate => {
                    self.schedule_acquire(now, rng);
                }
                OrderTimer::Sweep(token) if held_token == Some(token) => {
                    self.sweep(now, &mut effects);
                    self.timers.schedule(now + SWEEP_INTERVAL, OrderTimer::Sweep(token));
                }
                OrderTimer::ReadBack(server)
                    if held_token.is_some() && self.is_busy(now, &server) =>
                {
                    effects.push(OrderEffect::Read { server: server.clone() });
                    self.schedule_read_back(now, &server);
                }
                _ => {}
            }
        }
        effects
    }

    /// Schedules an attempt to acquire the lease after a random delay.
    fn schedule_acquire(&mut self, now: ClockTime, rng: &mut impl Rng) {
        let jitter = rng.random_range(0..=MAX_ACQUIRE_JITTER.as_micros() as u64);
        self.schedule_acquire_at(now + Duration::from_micros(jitter));
    }

    /// Schedules an attempt to acquire the lease; it replaces an earlier one.
    fn schedule_acquire_at(&mut self, due: ClockTime) {
        self.next_acquire = due;
        self.timers.schedule(due, OrderTimer::Acquire(due));
    }

    /// Schedules a read of a server that may be loading.
    fn schedule_read_back(&mut self, now: ClockTime, server: &str) {
        let timer = OrderTimer::ReadBack(server.to_string());
        self.timers.schedule(now + READ_BACK_INTERVAL, timer);
    }

    /// Whether a server may be loading weights.
    fn is_busy(&self, now: ClockTime, server: &str) -> bool {
        let loading = |(status, at): &(WeightsStatus, ClockTime)| {
            status.loading && now.since(*at) < MAX_LOAD_DURATION
        };
        self.in_flight.contains_key(server) || self.statuses.get(server).is_some_and(loading)
    }

    /// Reads the next servers in the order of their names, and drops orders in flight whose load
    /// cannot be in progress any more.
    fn sweep(&mut self, now: ClockTime, effects: &mut Vec<OrderEffect>) {
        self.in_flight.retain(|_, sent| now.since(sent.sent_at) < MAX_LOAD_DURATION);
        let after = self.target.range::<String, _>((
            std::ops::Bound::Excluded(&self.last_swept),
            std::ops::Bound::Unbounded,
        ));
        let names: Vec<String> = after
            .chain(self.target.iter())
            .map(|(name, _)| name.clone())
            .take(READS_PER_SWEEP.min(self.target.len()))
            .collect();
        if let Some(last) = names.last() {
            self.last_swept = last.clone();
        }
        effects.extend(names.into_iter().map(|server| OrderEffect::Read { server }));
    }

    /// Sends orders to outdated servers while fewer than `max_loads` servers may be loading.
    fn send_orders(&mut self, now: ClockTime) -> Vec<OrderEffect> {
        let Some(fencing) = self.lease.order_fencing(now) else { return Vec::new() };
        // A server that was not read yet may be loading on an order of the previous holder.
        let any_unread = self.target.keys().any(|name| !self.statuses.contains_key(name));
        if any_unread && now < self.predecessor_loads_end {
            return Vec::new();
        }
        let names: BTreeSet<&String> = self.statuses.keys().chain(self.in_flight.keys()).collect();
        let busy: BTreeSet<&String> =
            names.into_iter().filter(|name| self.is_busy(now, name)).collect();
        let free = self.max_loads.saturating_sub(busy.len());
        let outdated = self.target.iter().filter(|(name, order)| {
            let status = self.statuses.get(*name);
            let outdated = status.is_some_and(|(status, _)| status.held.as_ref() != Some(*order));
            outdated && !busy.contains(name)
        });
        let orders: Vec<(String, EngineWeights)> =
            outdated.take(free).map(|(name, order)| (name.clone(), order.clone())).collect();
        let mut effects = Vec::new();
        for (server, order) in orders {
            self.in_flight
                .insert(server.clone(), InFlightOrder { sent_at: now, order: order.clone() });
            effects.push(OrderEffect::Send { server, fencing, order });
        }
        effects
    }
}
