//! The state of a node, shared by all its parts on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    orders::LeaseTimes,
    rendezvous::rendezvous_score,
    traffic::{
        BudgetShare, CrashTracker, PlacementPlanner, RetryBudget, RolloutPlanner, RolloutSettings,
        RouteTable, ServerRegistry,
    },
};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::Notify;

use crate::{
    clock,
    fleet::StoreMirror,
    members::MemberBook,
    notices::NodeNotice,
    pool::ChannelPool,
    settings::{NodeBounds, NodeSettings},
};

/// The lease ends this much earlier for its holder than for the store.
const LEASE_MARGIN: std::time::Duration = std::time::Duration::from_millis(250);
/// Fewest connections to one server that a node may open.
const MIN_SERVER_CHANNELS: u32 = 2;

/// What the decisions of a node are based on.
pub struct NodeState {
    /// Configuration in force.
    pub routes: RouteTable,
    /// Backend servers.
    pub roster: ServerRegistry,
    /// Choice of servers.
    pub planner: PlacementPlanner,
    /// Orders to load weights.
    pub rollout: RolloutPlanner,
    /// Requests that crash servers.
    pub crashes: CrashTracker,
    /// Nodes.
    pub members: MemberBook,
    /// Copy of the platform's items.
    pub mirror: StoreMirror,
    /// Life of the store of KV cache; `None` while it does not answer.
    cache_store: Option<u64>,
    /// Randomness of all decisions.
    pub rng: SmallRng,
    budgets: HashMap<String, RetryBudget>,
    /// Whether the store answered the last call.
    store_up: bool,
    store_changed: ClockTime,
}

/// A node.
pub struct Node {
    /// Settings.
    pub settings: NodeSettings,
    /// Number of this life of the node.
    pub incarnation: u64,
    /// State of the decisions. Never borrowed across an await.
    pub state: RefCell<NodeState>,
    /// Connections to backend servers.
    pub pool: Rc<ChannelPool>,
    /// Requests in progress.
    pub in_flight: Cell<u32>,
    /// Connections that others have opened.
    pub connections: Cell<u32>,
    /// Whether the node stops: no new callers are sent to it.
    pub draining: Rc<Cell<bool>>,
    /// Whether idle connections of callers are closed and new requests refused.
    pub closing: Cell<bool>,
    /// Wakes the listeners when the node closes.
    closing_wake: Notify,
    /// Wakes the duty of the holder.
    pub duty_wake: Notify,
    /// Wakes the part that keeps this node listed.
    pub listing_wake: Notify,
    /// Wakes the part that follows the store.
    pub catch_up_wake: Notify,
    /// Newest revision that a watcher has told of.
    pub told_revision: Cell<u64>,
    /// Notices for the other nodes, sent together.
    pub outbox: RefCell<Vec<NodeNotice>>,
    /// Wakes the sender of notices.
    pub outbox_wake: Notify,
}

impl Node {
    /// Creates a node that knows nothing yet.
    pub fn new(settings: NodeSettings, seed: u64) -> Node {
        let bounds = settings.bounds;
        let lease = LeaseTimes {
            lifetime: crate::holding::LEASE_TIME.max(bounds.shortest_lease),
            margin: LEASE_MARGIN,
            predecessor_wait: bounds.holder_gap,
        };
        let state = NodeState {
            routes: RouteTable::default(),
            roster: ServerRegistry::default(),
            planner: PlacementPlanner::new(settings.data_centre.clone(), bounds.version_time),
            rollout: RolloutPlanner::new(RolloutSettings {
                lease,
                handover_gap: bounds.holder_gap,
                old_version_lifetime: bounds.version_time,
            }),
            crashes: CrashTracker::default(),
            members: MemberBook::default(),
            mirror: StoreMirror::default(),
            cache_store: Some(0),
            rng: SmallRng::seed_from_u64(seed),
            budgets: HashMap::new(),
            store_up: false,
            store_changed: clock::now(),
        };
        Node {
            settings,
            incarnation: seed,
            state: RefCell::new(state),
            pool: Rc::default(),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            draining: Rc::new(Cell::new(false)),
            closing: Cell::new(false),
            closing_wake: Notify::new(),
            duty_wake: Notify::new(),
            listing_wake: Notify::new(),
            catch_up_wake: Notify::new(),
            told_revision: Cell::new(0),
            outbox: RefCell::default(),
            outbox_wake: Notify::new(),
        }
    }

    /// Notes whether the store answered a call.
    pub fn on_store(&self, answered: bool) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        if state.store_up == answered {
            return;
        }
        let lasted_ms = now.since(state.store_changed).as_millis() as u64;
        state.store_up = answered;
        state.store_changed = now;
        if answered {
            log::info!(away_ms = lasted_ms; "store answers again");
            state.roster.on_store_reachable(now);
            state.members.on_store_back(now);
        } else {
            log::warn!(answered_ms = lasted_ms; "store does not answer");
            state.roster.on_store_unreachable();
            state.members.on_store_lost();
        }
    }

    /// Closes idle connections and takes no new ones.
    pub fn close(&self) {
        self.closing.set(true);
        self.closing_wake.notify_waiters();
    }

    /// Waits until the node closes.
    pub async fn closed(&self) {
        let wake = self.closing_wake.notified();
        if !self.closing.get() {
            wake.await;
        }
    }

    /// Sends a notice to the other nodes soon.
    pub fn tell_nodes(&self, notice: NodeNotice) {
        self.outbox.borrow_mut().push(notice);
        self.outbox_wake.notify_one();
    }

    /// Address and connection bound of a server.
    pub fn server_address(&self, server: ServerKey) -> Option<(SocketAddr, u32)> {
        let state = self.state.borrow();
        let listing = &state.roster.get(server)?.listing;
        let most = state.routes.service(&listing.service).map_or(0, |spec| spec.max_connections);
        let nodes = state.members.most_nodes() as u32;
        Some((listing.address, (most / nodes.max(1)).max(MIN_SERVER_CHANNELS)))
    }
}

impl NodeState {
    /// Whether the store answered the last call.
    pub fn is_store_up(&self) -> bool {
        self.store_up
    }

    /// Notes whether the store of KV cache answers, and in which life.
    pub fn on_cache_store(&mut self, up: bool, epoch: u64) {
        let now = up.then_some(epoch);
        if self.cache_store == now {
            return;
        }
        // The first life that is learned says nothing of what was saved before.
        let restarted = self.cache_store.is_some_and(|known| known != 0) && now.is_some();
        if restarted || now.is_none() {
            log::info!(up, epoch; "store of KV cache changed");
            self.planner.cache.clear_store();
        }
        self.cache_store = now;
    }

    /// Address of the store of KV cache while it can be used.
    pub fn cache_store(&self) -> Option<SocketAddr> {
        self.cache_store.and_then(|_| self.routes.cache_store())
    }

    /// Counts a caller's request to a service.
    pub fn on_request(&mut self, now: ClockTime, service: &str, bounds: &NodeBounds) {
        let share = self.share(bounds);
        self.budget(service).on_request(now, &share);
    }

    /// Takes a repeated send to a service from the budget.
    pub fn take_repeat(&mut self, now: ClockTime, service: &str, bounds: &NodeBounds) -> bool {
        let share = self.share(bounds);
        self.budget(service).try_spend(now, &share)
    }

    fn share(&self, bounds: &NodeBounds) -> BudgetShare {
        BudgetShare {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            nodes: self.members.most_nodes(),
        }
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        self.budgets.entry(service.to_string()).or_default()
    }

    /// Number of a server's life that all nodes derive alike.
    pub fn life_number(&self, server: ServerKey) -> Option<u64> {
        let listing = &self.roster.get(server)?.listing;
        Some(rendezvous_score(listing.instance.as_bytes(), listing.started_at_ms))
    }
}
