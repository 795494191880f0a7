//! A simulated fleet: nodes with clocks of their own, a network that delays, loses and reorders, and the
//! platform's store with the nodes' records.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::super::{
    LimitMessage, LimitUnit, NodeName, PurchaseStep, TokenReceipt, WorkspaceId, WorkspaceLimit,
    WorkspaceLimiter,
};
use crate::clock::ClockTime;

pub const WINDOW: Duration = Duration::from_secs(8);
pub const WORKSPACE: WorkspaceId = WorkspaceId(7);
const MS: u64 = 1_000;
const LEASE: u64 = 2_500 * MS;
const RENEW_INTERVAL: u64 = 900 * MS;
const TICK: u64 = 100 * MS;

/// Returns a limit in tokens.
pub fn limit(rate: f64, burst: f64) -> WorkspaceLimit {
    WorkspaceLimit { rate, burst, unit: LimitUnit::Token, plain_tokens: 1.0 }
}

#[derive(Debug)]
enum SimEvent {
    Deliver {
        from: usize,
        message: LimitMessage,
    },
    Tick,
    Renew,
    /// The node reads the records in the store.
    ReadMembers,
    Config(u64, WorkspaceLimit),
    Arrive {
        amount: f64,
        patience: u64,
    },
    Poll(u64),
}

#[derive(Debug)]
struct QueuedEvent {
    at: u64,
    order: u64,
    node: usize,
    incarnation: u64,
    event: SimEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A node, alive or not.
#[derive(Debug)]
pub struct SimNode {
    limiter: Option<WorkspaceLimiter>,
    incarnation: u64,
    frozen_until: u64,
    purchases: BTreeMap<u64, f64>,
    is_reading: bool,
    /// Whether it is cut off from the store.
    pub without_store: bool,
    /// Nodes of different groups do not reach each other.
    pub group: u32,
}

/// The simulated fleet.
pub struct FleetSim {
    pub now: u64,
    pub nodes: Vec<SimNode>,
    pub rng: SmallRng,
    pub loss: f64,
    pub store_down: bool,
    /// Time and amount of each admitted request.
    pub sent: Vec<(u64, f64)>,
    pub refused: usize,
    pub unanswered: usize,
    pub messages: u64,
    first_start: bool,
    config: (u64, WorkspaceLimit),
    limits: Vec<(u64, WorkspaceLimit)>,
    records: BTreeMap<usize, (u64, u64)>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    order: u64,
    names: BTreeMap<NodeName, usize>,
}

fn name(node: usize) -> NodeName {
    NodeName::from_name(&format!("node-{node}"))
}

impl FleetSim {
    /// Starts all nodes within a second.
    pub fn start(seed: u64, nodes: usize, limit: WorkspaceLimit, first_start: bool) -> FleetSim {
        let node = |_| SimNode {
            limiter: None,
            incarnation: 0,
            frozen_until: 0,
            purchases: BTreeMap::new(),
            is_reading: false,
            without_store: false,
            group: 0,
        };
        let mut sim = FleetSim {
            now: 0,
            nodes: (0..nodes).map(node).collect(),
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            store_down: false,
            sent: Vec::new(),
            refused: 0,
            unanswered: 0,
            messages: 0,
            first_start,
            config: (1, limit),
            limits: vec![(0, limit)],
            records: BTreeMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            names: (0..nodes).map(|node| (name(node), node)).collect(),
        };
        (0..nodes).for_each(|node| sim.restart(node));
        sim.first_start = false;
        sim
    }

    /// The clock of a node: each has another origin, and they drift.
    fn clock(&self, node: usize) -> ClockTime {
        let drift = 1.0 + (node % 7) as f64 * 1e-5;
        ClockTime::from_micros((node as u64 + 1) * 977_000_000 + (self.now as f64 * drift) as u64)
    }

    fn push(&mut self, delay: u64, node: usize, event: SimEvent) {
        self.order += 1;
        let incarnation = self.nodes[node].incarnation;
        let at = self.now + delay;
        let queued = QueuedEvent { at, order: self.order, node, incarnation, event };
        self.queue.push(Reverse(queued));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].limiter = None;
        self.nodes[node].incarnation += 1;
        self.nodes[node].purchases.clear();
    }

    /// Starts a node anew; its former incarnation ends.
    pub fn restart(&mut self, node: usize) {
        self.kill(node);
        let incarnation = self.nodes[node].incarnation;
        let id = incarnation * 10_007 + node as u64;
        let mut limiter = WorkspaceLimiter::new(name(node), id, WINDOW, self.first_start);
        let (version, limit) = self.config;
        limiter.set_limits(self.clock(node), version, BTreeMap::from([(WORKSPACE, limit)]));
        self.nodes[node].limiter = Some(limiter);
        self.nodes[node].is_reading = false;
        self.nodes[node].frozen_until = 0;
        let delay = self.rng.random_range(0..300 * MS);
        self.push(delay, node, SimEvent::Renew);
        self.push(delay, node, SimEvent::Tick);
    }

    pub fn freeze(&mut self, node: usize, length: u64) {
        self.nodes[node].frozen_until = self.now + length;
    }

    pub fn is_alive(&self, node: usize) -> bool {
        self.nodes[node].limiter.is_some()
    }

    /// Changes the limit. Nodes learn of it within a second, unless they are cut off from the store.
    pub fn set_limit(&mut self, limit: WorkspaceLimit) {
        self.config = (self.config.0 + 1, limit);
        self.limits.push((self.now, limit));
        for node in 0..self.nodes.len() {
            let delay = self.rng.random_range(0..1_000 * MS);
            self.push(delay, node, SimEvent::Config(self.config.0, limit));
        }
    }

    /// Lets a request arrive at a node.
    pub fn request(&mut self, node: usize, amount: f64, patience_ms: u64) {
        self.push(0, node, SimEvent::Arrive { amount, patience: patience_ms * MS });
    }

    /// Runs until a time in milliseconds.
    pub fn run_to(&mut self, ms: u64) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= ms * MS) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = self.now.max(next.at);
            self.expire_records();
            let node = &self.nodes[next.node];
            if node.incarnation != next.incarnation || node.limiter.is_none() {
                continue;
            }
            if node.frozen_until > self.now {
                let delay = node.frozen_until - self.now;
                self.push(delay, next.node, next.event);
                continue;
            }
            self.apply(next.node, next.event);
            self.flush(next.node);
        }
        self.now = ms * MS;
    }

    fn limiter(&mut self, node: usize) -> &mut WorkspaceLimiter {
        self.nodes[node].limiter.as_mut().expect("the node is alive")
    }

    fn apply(&mut self, node: usize, event: SimEvent) {
        let clock = self.clock(node);
        match event {
            SimEvent::Tick => {
                self.limiter(node).tick(clock);
                self.push(TICK, node, SimEvent::Tick);
            }
            SimEvent::Renew => self.renew(node),
            SimEvent::ReadMembers => {
                self.nodes[node].is_reading = false;
                if self.reaches_store(node) {
                    self.read_members(node);
                }
            }
            SimEvent::Config(version, limit) => {
                let limits = BTreeMap::from([(WORKSPACE, limit)]);
                self.limiter(node).set_limits(clock, version, limits);
            }
            SimEvent::Arrive { amount, patience } => {
                let latest = clock + Duration::from_micros(patience);
                let mut rng = SmallRng::seed_from_u64(self.rng.random());
                let id = self.limiter(node).begin(WORKSPACE, amount, latest, &mut rng);
                self.nodes[node].purchases.insert(id, amount);
                self.advance(node, id);
            }
            SimEvent::Poll(id) => self.advance(node, id),
            SimEvent::Deliver { from, message } => {
                if let Some(id) = self.limiter(node).on_message(clock, name(from), &message) {
                    self.advance(node, id);
                }
            }
        }
    }

    fn advance(&mut self, node: usize, id: u64) {
        let Some(amount) = self.nodes[node].purchases.get(&id).copied() else { return };
        let clock = self.clock(node);
        let (step, _) = self.limiter(node).advance(clock, id);
        match step {
            PurchaseStep::Wait(until) => {
                let delay = until.since(clock).as_micros() as u64 + 1;
                self.push(delay, node, SimEvent::Poll(id));
                return;
            }
            PurchaseStep::Admitted(receipt) => self.run_request(node, amount, receipt),
            PurchaseStep::Refused(_) => self.refused += 1,
            PurchaseStep::Unanswered => self.unanswered += 1,
        }
        self.nodes[node].purchases.remove(&id);
    }

    /// Sends an admitted request. One in 20 is not run and gives its tokens back.
    fn run_request(&mut self, node: usize, amount: f64, receipt: TokenReceipt) {
        if self.rng.random_bool(0.05) {
            self.limiter(node).give_back(receipt);
        } else {
            self.sent.push((self.now, amount));
        }
    }

    fn flush(&mut self, from: usize) {
        for (to, message) in self.limiter(from).take_messages() {
            let Some(to) = self.names.get(&to).copied() else { continue };
            if to != from {
                self.messages += 1;
                let is_cut = self.nodes[to].group != self.nodes[from].group;
                if is_cut || self.rng.random_bool(self.loss) {
                    continue;
                }
            }
            let delay = if to == from { 0 } else { self.rng.random_range(200..1_500) };
            self.push(delay, to, SimEvent::Deliver { from, message });
        }
    }

    fn reaches_store(&self, node: usize) -> bool {
        !self.store_down && !self.nodes[node].without_store
    }

    fn renew(&mut self, node: usize) {
        let clock = self.clock(node);
        if self.reaches_store(node) {
            let incarnation = self.nodes[node].incarnation;
            let is_new = self.records.get(&node).is_none_or(|(known, _)| *known != incarnation);
            self.records.insert(node, (incarnation, self.now + LEASE));
            if is_new {
                self.announce();
            }
            self.limiter(node).on_renewed(clock, clock - Duration::from_millis(2));
            // The node also reads the store now and then, so that it has what it missed.
            self.send_members(node);
        }
        self.push(RENEW_INTERVAL, node, SimEvent::Renew);
    }

    fn expire_records(&mut self) {
        if self.store_down {
            return;
        }
        let now = self.now;
        let before = self.records.len();
        self.records.retain(|_, (_, until)| *until > now);
        if self.records.len() < before {
            self.announce();
        }
    }

    fn announce(&mut self) {
        for node in 0..self.nodes.len() {
            if self.reaches_store(node) {
                self.send_members(node);
            }
        }
    }

    fn send_members(&mut self, node: usize) {
        if !std::mem::replace(&mut self.nodes[node].is_reading, true) {
            let delay = self.rng.random_range(MS..60 * MS);
            self.push(delay, node, SimEvent::ReadMembers);
        }
    }

    fn read_members(&mut self, node: usize) {
        let clock = self.clock(node);
        let members = self.records.iter().map(|(node, (incarnation, _))| {
            (name(*node), incarnation * 10_007 + *node as u64, true)
        });
        let members: Vec<_> = members.collect();
        self.limiter(node).set_members(clock, members);
    }

    /// Returns the largest share of the bound that was used in a window.
    pub fn largest_share(&self) -> f64 {
        let window = WINDOW.as_micros() as u64;
        let (mut first, mut sum, mut largest) = (0, 0.0, 0.0_f64);
        for (at, amount) in &self.sent {
            sum += amount;
            while self.sent[first].0 + window <= *at {
                sum -= self.sent[first].1;
                first += 1;
            }
            largest = largest.max(sum / self.bound(at.saturating_sub(window), *at));
        }
        largest
    }

    /// The largest bound of those in force in a span. A limit is in force until 3 s after the next one
    /// was set.
    fn bound(&self, from: u64, to: u64) -> f64 {
        let ends = self.limits.iter().skip(1).map(|(at, _)| at + 3_000 * MS).chain([u64::MAX]);
        let in_force = self.limits.iter().zip(ends);
        let in_force = in_force.filter(|((at, _), end)| *at <= to && *end > from);
        let bounds =
            in_force.map(|((_, limit), _)| limit.rate * WINDOW.as_secs_f64() + limit.burst);
        bounds.fold(0.0, f64::max)
    }

    /// Returns the amount admitted within a span, in milliseconds.
    pub fn used(&self, from: u64, to: u64) -> f64 {
        let sent = self.sent.iter().filter(|(at, _)| (from * MS..to * MS).contains(at));
        sent.map(|(_, amount)| amount).sum()
    }
}
