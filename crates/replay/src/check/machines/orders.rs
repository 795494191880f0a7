//! Checks that orders never make more than `MAX_LOADS` servers load weights at once, and that
//! every server ends up with the wanted version although the lease has changed hands.
//!
//! Node 0 is the key-value service with the lease and the wanted version. Nodes 1 and 2 are
//! stewards. Nodes 3 to 6 are engines, of which 5 and 6 ignore fencing tokens.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    lists::{BackendServer, ListDocument, ModelWeights, ServerRole},
    orders::{
        EngineWeights, LEASE_LIFETIME, LeaseEvent, ORDER_TIMEOUT, OrderController, OrderEffect,
        OrderOutcome, PREDECESSOR_WAIT, WeightsStatus,
    },
};
use rand::Rng;

use crate::check::{CheckedMachine, StepContext};

const STEWARDS: std::ops::RangeInclusive<usize> = 1..=2;
const SERVERS: std::ops::RangeInclusive<usize> = 3..=6;
/// First node of the servers that ignore fencing tokens.
const FIRST_UNFENCED_SERVER: usize = 5;
/// Largest number of servers that may load weights at the same time.
const MAX_LOADS: usize = 2;
/// Longest time that an engine takes to load weights, in microseconds.
const MAX_LOAD_MICROS: u64 = 8_000_000;
const MODEL: &str = "m";

/// Holds what is drawn once for each history; the invariant is evaluated on the nodes.
pub struct OrdersMachine {
    bug: Option<OrdersBug>,
    /// Time until the lease of the first holder ends when the history begins, in microseconds.
    initial_lease_micros: u64,
}

/// Bugs that can be planted in a steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrdersBug {
    /// A holder does not notice the end of its lease, and its successor does not wait before its
    /// first order. Both are needed, because either rule alone keeps the invariant.
    TwoHolders,
    /// The steward ignores that a server is loading weights.
    UnseenLoad,
}

/// A message between nodes. A steward's messages carry its own time, which the reply repeats.
#[derive(Debug, Clone)]
pub enum OrdersMessage {
    /// Steward to service: requests the lease.
    Acquire(ClockTime),
    /// Steward to service: renews the lease that has this fencing token.
    Renew(u64, ClockTime),
    /// Service to steward: the lease is free, or the answer to a request for it.
    Lease(LeaseEvent),
    /// Service to steward: the wanted weights version.
    WantedVersion(u64),
    /// Steward to engine: reads the engine's state.
    Read(ClockTime),
    /// Engine to steward: the time of the read, and the engine's state.
    Reading(ClockTime, WeightsStatus),
    /// Steward to engine: an order. It has no effect if it arrives [`ORDER_TIMEOUT`] after it was
    /// sent or later, because the connection is closed by then.
    Order {
        /// Fencing token of the sender's lease.
        fencing: u64,
        /// The weights that the engine must hold.
        order: EngineWeights,
        /// The scheduler's time when the order was sent.
        sent_at: ClockTime,
    },
    /// Engine to steward: the answer to an order.
    Outcome(OrderOutcome),
}

/// The state of one node.
pub enum OrdersNode {
    /// The key-value service, which never crashes.
    Service(LeaseStore),
    /// A steward and the latest wanted version that it knows.
    Steward(Box<OrderController>, u64),
    /// An engine, which loses its weights in a crash.
    Engine(EngineNode),
}

/// State of the key-value service: the lease's holder with its fencing token and the end of its
/// lease, and the wanted version.
#[derive(Debug, Default)]
pub struct LeaseStore {
    holder: Option<(usize, u64, ClockTime)>,
    revision: u64,
    wanted: u64,
}

/// State of an engine.
#[derive(Debug, Default)]
pub struct EngineNode {
    held: Option<EngineWeights>,
    /// The weights being loaded, and the scheduler's time at which the load ends.
    loading: Option<(EngineWeights, ClockTime)>,
    fencing: u64,
    /// Times at which the received orders were sent. An order whose time is known is a duplicate
    /// and is ignored, because a connection delivers a request only once.
    received_orders: Vec<ClockTime>,
}

type Context<'a> = StepContext<'a, OrdersMessage>;

/// Returns lists that want this weights version on all servers.
fn document(version: u64) -> ListDocument {
    let server = |index: usize| BackendServer {
        address: String::new(),
        role: ServerRole::Engine(MODEL.to_string()),
        data_centre: String::new(),
        checks_fencing: index < FIRST_UNFENCED_SERVER,
        slots: 1,
    };
    ListDocument {
        servers: SERVERS.map(|index| (index.to_string(), server(index))).collect(),
        weights: [(MODEL.to_string(), ModelWeights { version, ..Default::default() })].into(),
        ..ListDocument::default()
    }
}

impl OrdersMachine {
    fn apply_effects(
        &self,
        effects: Vec<OrderEffect>,
        context: &mut Context<'_>,
        token: Option<u64>,
    ) {
        let index = |server: &str| server.parse::<usize>().unwrap_or(0);
        for effect in effects {
            match effect {
                OrderEffect::Acquire => context.send(0, OrdersMessage::Acquire(context.now)),
                OrderEffect::Renew => {
                    let token = token.unwrap_or_default();
                    context.send(0, OrdersMessage::Renew(token, context.now));
                }
                OrderEffect::Read { server } => {
                    context.send(index(&server), OrdersMessage::Read(context.now));
                }
                OrderEffect::Send { server, fencing, order } => {
                    let sent_at = context.global_now;
                    let message = OrdersMessage::Order { fencing, order, sent_at };
                    context.send(index(&server), message);
                }
            }
        }
    }

    fn receive_at_steward(
        &self,
        controller: &mut OrderController,
        wanted: &mut u64,
        from: usize,
        message: OrdersMessage,
        context: &mut Context<'_>,
    ) {
        let now = context.now;
        let server = from.to_string();
        let effects = match message {
            OrdersMessage::Lease(LeaseEvent::Free | LeaseEvent::Lost)
                if self.bug == Some(OrdersBug::TwoHolders) && controller.fencing(now).is_some() =>
            {
                Vec::new()
            }
            OrdersMessage::Lease(event) => {
                let acquired = matches!(event, LeaseEvent::Acquired { .. });
                let skips_wait = acquired && self.bug == Some(OrdersBug::TwoHolders);
                let at = if skips_wait { now - PREDECESSOR_WAIT } else { now };
                controller.on_lease(at, event, context.rng)
            }
            OrdersMessage::WantedVersion(version) if version > *wanted => {
                *wanted = version;
                controller.apply(now, &document(version))
            }
            OrdersMessage::Reading(requested_at, mut status) => {
                status.loading &= self.bug != Some(OrdersBug::UnseenLoad);
                controller.on_weights_status(now, requested_at, &server, status)
            }
            OrdersMessage::Outcome(outcome) => {
                controller.on_order_outcome(now, &server, outcome);
                Vec::new()
            }
            _ => Vec::new(),
        };
        self.apply_effects(effects, context, controller.fencing(now));
    }
}

impl LeaseStore {
    fn receive(&mut self, from: usize, message: OrdersMessage, context: &mut Context<'_>) {
        match message {
            OrdersMessage::Acquire(sent_at) => {
                let event = match self.holder {
                    Some(_) => LeaseEvent::HeldByOther,
                    None => {
                        self.revision += 1;
                        self.holder = Some((from, self.revision, context.now + LEASE_LIFETIME));
                        LeaseEvent::Acquired { fencing: self.revision, sent_at }
                    }
                };
                context.send(from, OrdersMessage::Lease(event));
                context.send(from, OrdersMessage::WantedVersion(self.wanted));
            }
            OrdersMessage::Renew(token, sent_at) => {
                let event = match &mut self.holder {
                    Some((_, fencing, end)) if *fencing == token => {
                        *end = context.now + LEASE_LIFETIME;
                        LeaseEvent::Renewed { sent_at }
                    }
                    _ => LeaseEvent::Lost,
                };
                context.send(from, OrdersMessage::Lease(event));
                context.send(from, OrdersMessage::WantedVersion(self.wanted));
            }
            _ => {}
        }
    }
}

impl EngineNode {
    fn receive(&mut self, from: usize, message: OrdersMessage, context: &mut Context<'_>) {
        match message {
            OrdersMessage::Read(requested_at) => {
                let status =
                    WeightsStatus { held: self.held.clone(), loading: self.loading.is_some() };
                context.send(from, OrdersMessage::Reading(requested_at, status));
            }
            OrdersMessage::Order { fencing, order, sent_at }
                if context.global_now.since(sent_at) < ORDER_TIMEOUT
                    && !self.received_orders.contains(&sent_at) =>
            {
                self.received_orders.push(sent_at);
                let stale = context.index < FIRST_UNFENCED_SERVER && fencing < self.fencing;
                let outcome = match stale {
                    true => OrderOutcome::StaleFencing,
                    false => OrderOutcome::Accepted,
                };
                if !stale {
                    self.fencing = fencing;
                    let micros = context.rng.random_range(1..=MAX_LOAD_MICROS);
                    let end = context.global_now + Duration::from_micros(micros);
                    let known =
                        self.loading.as_ref().map(|(order, _)| order).or(self.held.as_ref());
                    if known != Some(&order) {
                        self.held = None;
                        self.loading = Some((order, end));
                    }
                }
                context.send(from, OrdersMessage::Outcome(outcome));
            }
            _ => {}
        }
    }
}

impl CheckedMachine for OrdersMachine {
    type Node = OrdersNode;
    type Message = OrdersMessage;
    type Bug = OrdersBug;

    const NAME: &'static str = "orders";
    const BUGS: &'static [(&'static str, OrdersBug)] =
        &[("two-holders", OrdersBug::TwoHolders), ("unseen-load", OrdersBug::UnseenLoad)];
    const NODES: usize = 7;
    const FAULT_FREE_NODES: usize = 1;
    const MAX_ADVANCE_MICROS: u64 = 4_000_000;

    fn create(bug: Option<OrdersBug>) -> OrdersMachine {
        OrdersMachine { bug, initial_lease_micros: 0 }
    }

    fn start(&mut self, context: &mut Context<'_>, _previous: Option<OrdersNode>) -> OrdersNode {
        let first = context.incarnation.incarnation.0 == 1;
        if context.index == 0 {
            self.initial_lease_micros =
                context.rng.random_range(0..LEASE_LIFETIME.as_micros() as u64);
            let end = context.now + Duration::from_micros(self.initial_lease_micros);
            let holder = Some((1, 1, end));
            return OrdersNode::Service(LeaseStore { holder, revision: 1, wanted: 1 });
        }
        if SERVERS.contains(&context.index) {
            return OrdersNode::Engine(EngineNode::default());
        }
        let mut controller = OrderController::new(MAX_LOADS);
        controller.set_candidate(context.now, true, context.rng);
        if first && context.index == 1 {
            // The history begins in the middle of the first holder's lease, after its wait for its
            // predecessor.
            let remaining = Duration::from_micros(self.initial_lease_micros);
            let sent_at = context.now + remaining - LEASE_LIFETIME;
            let event = LeaseEvent::Acquired { fencing: 1, sent_at };
            controller.on_lease(context.now - PREDECESSOR_WAIT, event, context.rng);
        }
        controller.apply(context.now, &document(1));
        OrdersNode::Steward(Box::new(controller), 1)
    }

    fn receive(
        &mut self,
        node: &mut OrdersNode,
        from: usize,
        message: OrdersMessage,
        context: &mut Context<'_>,
    ) {
        match node {
            OrdersNode::Service(store) => store.receive(from, message, context),
            OrdersNode::Engine(engine) => engine.receive(from, message, context),
            OrdersNode::Steward(controller, wanted) => {
                self.receive_at_steward(controller, wanted, from, message, context);
            }
        }
    }

    fn tick(&mut self, node: &mut OrdersNode, context: &mut Context<'_>) {
        match node {
            OrdersNode::Service(store) => {
                if store.holder.is_some_and(|(_, _, end)| end <= context.now) {
                    store.holder = None;
                    STEWARDS.for_each(|steward| {
                        context.send(steward, OrdersMessage::Lease(LeaseEvent::Free));
                    });
                }
            }
            OrdersNode::Engine(engine) => {
                if engine.loading.as_ref().is_some_and(|(_, end)| *end <= context.global_now) {
                    engine.held = engine.loading.take().map(|(order, _)| order);
                }
            }
            OrdersNode::Steward(controller, ..) => {
                if self.bug == Some(OrdersBug::TwoHolders) {
                    let event = LeaseEvent::Renewed { sent_at: context.now };
                    controller.on_lease(context.now, event, context.rng);
                }
                let effects = controller.on_timer(context.now, context.rng);
                self.apply_effects(effects, context, controller.fencing(context.now));
            }
        }
    }

    fn perform_action(&mut self, node: &mut OrdersNode, context: &mut Context<'_>) {
        if let OrdersNode::Service(store) = node {
            store.wanted += 1;
            for steward in STEWARDS {
                context.send(steward, OrdersMessage::WantedVersion(store.wanted));
            }
        }
    }

    fn check_invariant(&self, nodes: &[Option<OrdersNode>], now: ClockTime) -> Result<(), String> {
        let loads = nodes.iter().flatten().filter(|node| match node {
            OrdersNode::Engine(engine) => {
                engine.loading.as_ref().is_some_and(|(_, end)| *end > now)
            }
            _ => false,
        });
        match loads.count() {
            loads if loads > MAX_LOADS => Err(format!("{loads} servers load weights at once")),
            _ => Ok(()),
        }
    }

    fn check_after_settling(
        &self,
        nodes: &[Option<OrdersNode>],
        _now: ClockTime,
    ) -> Result<(), String> {
        let Some(Some(OrdersNode::Service(store))) = nodes.first() else { return Ok(()) };
        for (index, node) in nodes.iter().enumerate() {
            let Some(OrdersNode::Engine(engine)) = node else { continue };
            let held = engine.held.as_ref().map(|order| order.version);
            if held != Some(store.wanted) {
                let wanted = store.wanted;
                return Err(format!(
                    "server {index} holds version {held:?} after settling, wanted is {wanted}"
                ));
            }
        }
        Ok(())
    }
}
