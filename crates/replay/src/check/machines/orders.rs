//! Orders: few loads at once, and no server stays in the state of an older holder.
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
/// First server that ignores fencing tokens.
const FIRST_UNFENCED_SERVER: usize = 5;
const MAX_LOADS: usize = 2;
/// Longest load in microseconds.
const MAX_LOAD_MICROS: u64 = 8_000_000;
const MODEL: &str = "m";

/// The machine `orders`.
pub struct OrdersMachine {
    bug: Option<OrdersBug>,
    /// What is left of the first holder's lease at the start.
    initial_lease_micros: u64,
}

/// Planted bugs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrdersBug {
    /// A holder does not notice the end of its lease, and its successor does not wait. Either
    /// one alone is made up for by the other.
    TwoHolders,
    /// A server's load is not noticed.
    UnseenLoad,
}

/// Messages between nodes.
#[derive(Debug, Clone)]
pub enum OrdersMessage {
    /// Asks for the lease.
    Acquire(ClockTime),
    /// Keeps the lease with this token alive.
    Renew(u64, ClockTime),
    /// What the service says of the lease.
    Lease(LeaseEvent),
    /// The wanted weights version.
    WantedVersion(u64),
    /// Reads a server; carries the reader's clock.
    Read(ClockTime),
    /// A server's state for a read.
    Reading(ClockTime, WeightsStatus),
    /// An order. Its connection is closed `ORDER_TIMEOUT` after it was sent.
    Order {
        /// The token.
        fencing: u64,
        /// The wanted state.
        order: EngineWeights,
        /// True time of sending.
        sent_at: ClockTime,
    },
    /// A server's answer to an order.
    Outcome(OrderOutcome),
}

/// One node.
pub enum OrdersNode {
    /// The key-value service.
    Service(LeaseStore),
    /// A steward with the version that it wants.
    Steward(Box<OrderController>, u64),
    /// An engine.
    Engine(EngineNode),
}

/// The lease at the service.
#[derive(Debug, Default)]
pub struct LeaseStore {
    holder: Option<(usize, u64, ClockTime)>,
    revision: u64,
    wanted: u64,
}

/// An engine's state.
#[derive(Debug, Default)]
pub struct EngineNode {
    held: Option<EngineWeights>,
    /// The load in progress with its true end.
    loading: Option<(EngineWeights, ClockTime)>,
    fencing: u64,
    /// Orders received, by their time of sending: a connection delivers a request once.
    received_orders: Vec<ClockTime>,
}

type Context<'a> = StepContext<'a, OrdersMessage>;

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
            // The history begins with a holder whose wait is over, in the middle of its lease.
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
            loads if loads > MAX_LOADS => Err(format!("{loads} loads at once")),
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
                return Err(format!("server {index} holds {held:?} of {wanted} after settling"));
            }
        }
        Ok(())
    }
}
