//! State of a node, shared by all its tasks on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
};

use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    orders::LeaseTimes,
    rendezvous::rendezvous_score,
    suspects::BlamedGroup,
    traffic::{
        BudgetShare, CrashTracker, PlacementPlanner, ReportRule, RetryBudget, RolloutPlanner,
        RolloutSettings, RouteTable, ServerLinks, ServerRegistry, SoftwareRecord, StoreOutage,
        StreamKey, StreamOrigins, SuspensionDetector, WatchReports,
    },
};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    adapter::{StoreItem, StoreRevision},
    client::{
        body_budget::memory_plan::MemoryPlan, body_memory::BodyMemory, ingress,
        stream_query::StreamQuery,
    },
    clock,
    fleet::{
        members::{MemberTable, ROLLOUT_LEASE_LIFETIME},
        node_notice::NodeNotice,
        notice_transport::NoticeRelay,
        workspace_limits::WorkspaceLimits,
    },
    server::{admission::AdmissionState, pool::ConnectionPool, response_memory::ResponseMemory},
    settings::{NodeBounds, NodeSettings},
    store::{removal_log::RemovalLog, store_availability, store_mirror::StoreMirror},
};

/// The holder regards the lease as ended this much earlier than the store does.
const LEASE_MARGIN: std::time::Duration = std::time::Duration::from_millis(250);
/// A node may open at least this many connections to one server.
const MIN_SERVER_CONNECTIONS: u32 = 2;

/// Everything that the node's decisions are based on.
pub struct NodeState {
    /// Routes and limits of the configuration in force.
    pub routes: RouteTable,
    /// Known backend servers.
    pub registry: ServerRegistry,
    /// Chooses a server for each request.
    pub planner: PlacementPlanner,
    /// Decides which requests are sent under overload.
    pub admission: AdmissionState,
    /// Decides which servers to order to load weights.
    pub rollout: RolloutPlanner,
    /// Requests under which servers have ended, to reject those that crash servers.
    pub crashes: CrashTracker,
    /// Prompt parts blamed for crashes, as logged last.
    pub logged_blame: Vec<BlamedGroup>,
    /// Software versions at which streams began.
    pub streams: StreamOrigins,
    /// Software versions of services, as the platform's store has them.
    pub software_records: BTreeMap<String, SoftwareRecord>,
    /// When this node last compared its copy of the store with the store or with another node.
    pub mirror_checked_at: ClockTime,
    /// When the platform's store had nothing newer than this node's copy of it, as this node or a
    /// watcher has found.
    pub store_checked_at: ClockTime,
    /// Whether this node reaches the servers.
    pub links: ServerLinks,
    /// Servers of which there are reports that they do not respond.
    pub suspected_servers: BTreeSet<ServerKey>,
    /// Whether this node may report servers to others.
    pub report_rule: ReportRule,
    /// When the other nodes were told last that the servers of a service are brittle.
    pub brittle_told_at: HashMap<String, ClockTime>,
    /// Known nodes, this one included.
    pub members: MemberTable,
    /// Copy of the platform's store.
    pub mirror: StoreMirror,
    /// Keys that were removed from it lately.
    pub removals: RemovalLog,
    /// Entries of the operator that were in force when the store was restored without them, by their
    /// keys.
    pub lost_entries: BTreeMap<String, StoreItem>,
    /// Keys of the servers' entries that were removed lately, and when.
    pub removed_entries: BTreeMap<String, ClockTime>,
    /// Notices that this node was suspended.
    pub suspension: SuspensionDetector,
    /// Source of randomness for all decisions.
    pub rng: SmallRng,
    retry_budgets: HashMap<String, RetryBudget>,
    /// When this node first read the list of nodes from the platform's store.
    members_known_at: Option<ClockTime>,
    /// Time from then until this node may spend its part of the slack of the retry budget.
    slack_delay: std::time::Duration,
    /// Whether the platform's store is away.
    pub store_outage: StoreOutage,
}

/// A running node.
pub struct Node {
    /// Settings, with the ports that the system assigned.
    pub settings: NodeSettings,
    /// Distinguishes this run of the process from earlier ones of the same node.
    pub incarnation: u64,
    /// State behind the decisions. Never borrowed across an await.
    pub state: RefCell<NodeState>,
    /// Division of the memory that the node holds for others; `None` without a limit in the settings.
    pub memory_plan: Option<MemoryPlan>,
    /// Memory for the bodies of requests; `None` without a limit in the settings.
    pub body_memory: Option<Arc<BodyMemory>>,
    /// Memory for servers' responses.
    pub response_memory: Arc<ResponseMemory>,
    /// Open connections of each client address, if their number is limited.
    pub address_connections: RefCell<HashMap<IpAddr, u32>>,
    /// Connections to backend servers.
    pub pool: Rc<ConnectionPool<ServerKey>>,
    /// Connections to other nodes, by their addresses.
    pub node_pool: Rc<ConnectionPool<SocketAddr>>,
    /// Requests being handled on all listeners.
    pub in_flight: Cell<u32>,
    /// Open connections accepted by all listeners.
    pub connections: Cell<u32>,
    /// Set when the node begins to stop: it leaves the directory, and clients are asked to close
    /// their connections.
    pub draining: Rc<Cell<bool>>,
    /// Set when the node closes idle connections and refuses new requests.
    pub closing: Cell<bool>,
    /// Wakes the listeners when the node closes.
    closing_wake: Notify,
    /// Wakes the task that runs the rollout.
    pub rollout_wake: Notify,
    /// Wakes the task that keeps this node registered.
    pub registration_wake: Notify,
    /// Wakes the task that synchronises with the store.
    pub catch_up_wake: Notify,
    /// Wakes the task that writes crash records to the store.
    pub crash_store_wake: Notify,
    /// Wakes the task that writes the software versions of services to the store.
    pub software_wake: Notify,
    /// Newest revision of the store that a watcher has announced.
    pub announced_revision: Cell<StoreRevision>,
    /// How long the reports of watchers are under way.
    pub watch_reports: RefCell<WatchReports>,
    /// UDP socket for notices to and from other nodes.
    pub notice_socket: Rc<UdpSocket>,
    /// Queries of other nodes for the software versions of streams.
    pub stream_queries: RefCell<HashMap<StreamKey, StreamQuery>>,
    /// Wakes the requests that wait for such a query.
    pub stream_wake: Notify,
    /// Wakes the task that checks the links to the servers.
    pub links_wake: Notify,
    /// Wakes the requests that wait for a server when one has turned silent.
    pub silence_wake: Notify,
    /// Wakes the task that probes servers.
    pub probe_wake: Notify,
    /// Whether other nodes reach a server, by their addresses, as they told this check.
    pub link_answers: RefCell<HashMap<SocketAddr, bool>>,
    /// Wakes the check when another node has answered.
    pub links_answered: Notify,
    /// Notices that this node relays, and what that depends on.
    pub relay: RefCell<NoticeRelay>,
    /// Limits of workspaces over all nodes together.
    pub limits: WorkspaceLimits,
    /// Number of the next segment of notices.
    segment_number: Cell<u64>,
    /// Notices for the other nodes, to be sent as one batch.
    pub outbox: RefCell<Vec<NodeNotice>>,
    /// Wakes the task that sends notices.
    pub outbox_wake: Notify,
    /// Makes the task send the queued notices at once.
    pub outbox_flush: Notify,
}

impl Node {
    /// Creates a node without any knowledge of the fleet. `seed` becomes the incarnation and seeds
    /// the random numbers.
    pub fn new(settings: NodeSettings, notice_socket: Rc<UdpSocket>, seed: u64) -> Node {
        let bounds = settings.bounds;
        let lease = LeaseTimes {
            lifetime: ROLLOUT_LEASE_LIFETIME.max(bounds.min_lease_lifetime),
            margin: LEASE_MARGIN,
            predecessor_wait: bounds.holder_gap,
        };
        // Before the first start, no earlier run can have spent retries.
        let slack_delay =
            if settings.first_start { Default::default() } else { bounds.retry_window };
        let mut streams = StreamOrigins::default();
        streams.on_start(clock::now(), settings.first_start);
        let state = NodeState {
            streams,
            software_records: BTreeMap::new(),
            links: ServerLinks::default(),
            brittle_told_at: HashMap::new(),
            suspected_servers: BTreeSet::new(),
            report_rule: ReportRule::default(),
            mirror_checked_at: ClockTime::ZERO,
            store_checked_at: ClockTime::ZERO,
            routes: RouteTable::default(),
            registry: ServerRegistry::default(),
            planner: PlacementPlanner::new(settings.data_centre.clone(), bounds.version_time),
            admission: AdmissionState::default(),
            rollout: RolloutPlanner::new(RolloutSettings {
                lease,
                handover_gap: bounds.holder_gap,
                old_version_lifetime: bounds.version_time,
            }),
            crashes: CrashTracker::new(seed),
            logged_blame: Vec::new(),
            members: MemberTable::default(),
            mirror: StoreMirror::default(),
            removals: RemovalLog::default(),
            lost_entries: BTreeMap::new(),
            removed_entries: BTreeMap::new(),
            suspension: SuspensionDetector::default(),
            rng: SmallRng::seed_from_u64(seed),
            retry_budgets: HashMap::new(),
            members_known_at: None,
            slack_delay,
            store_outage: StoreOutage::new(clock::now(), store_availability::lapse_time(&bounds)),
        };
        let max_connections = ingress::max_connections(&settings);
        let memory_plan =
            settings.memory_bytes.map(|bytes| MemoryPlan::new(bytes, max_connections));
        Node {
            limits: WorkspaceLimits::new(&settings, seed),
            settings,
            incarnation: seed,
            state: RefCell::new(state),
            memory_plan,
            body_memory: memory_plan.map(|plan| BodyMemory::new(plan.bodies)),
            response_memory: Arc::new(ResponseMemory::with_plan(memory_plan)),
            address_connections: RefCell::default(),
            pool: Rc::default(),
            node_pool: Rc::default(),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            draining: Rc::new(Cell::new(false)),
            closing: Cell::new(false),
            closing_wake: Notify::new(),
            rollout_wake: Notify::new(),
            registration_wake: Notify::new(),
            catch_up_wake: Notify::new(),
            crash_store_wake: Notify::new(),
            software_wake: Notify::new(),
            announced_revision: Cell::default(),
            watch_reports: RefCell::default(),
            notice_socket,
            stream_queries: RefCell::default(),
            stream_wake: Notify::new(),
            links_wake: Notify::new(),
            silence_wake: Notify::new(),
            probe_wake: Notify::new(),
            link_answers: RefCell::default(),
            links_answered: Notify::new(),
            relay: RefCell::default(),
            segment_number: Cell::new(0),
            outbox: RefCell::default(),
            outbox_wake: Notify::new(),
            outbox_flush: Notify::new(),
        }
    }

    /// Closes idle connections and accepts no new ones.
    pub fn close(&self) {
        self.closing.set(true);
        self.closing_wake.notify_waiters();
    }

    /// Waits until the node closes.
    pub async fn wait_closed(&self) {
        let wake = self.closing_wake.notified();
        if !self.closing.get() {
            wake.await;
        }
    }

    /// Queues a notice for all other nodes. An urgent one is sent without waiting for others to join it.
    pub fn broadcast(&self, notice: NodeNotice) {
        let is_urgent = notice.is_urgent();
        self.outbox.borrow_mut().push(notice);
        self.outbox_wake.notify_one();
        if is_urgent {
            self.outbox_flush.notify_one();
        }
    }

    /// Returns the number of the next segment of notices.
    pub fn next_segment_number(&self) -> u64 {
        let number = self.segment_number.get();
        self.segment_number.set(number + 1);
        number
    }

    /// Returns the address of a server and the number of connections that this node may open to it.
    pub fn server_endpoint(&self, server: ServerKey) -> Option<(SocketAddr, u32)> {
        let state = self.state.borrow();
        let listing = &state.registry.get(server)?.listing;
        let max_connections =
            state.routes.service(&listing.service).map_or(0, |spec| spec.max_connections);
        let nodes = state.members.recent_node_count() as u32;
        Some((listing.address, (max_connections / nodes.max(1)).max(MIN_SERVER_CONNECTIONS)))
    }
}

impl NodeState {
    /// Records that this node is active, and logs a suspension that has ended.
    pub fn on_active(&mut self, now: ClockTime) {
        if let Some(length) = self.suspension.on_active(now) {
            log::warn!(length_ms = length.as_millis() as u64; "this node was suspended");
        }
    }

    /// Records that the list of nodes was read from the platform's store.
    pub fn on_members_read(&mut self, now: ClockTime) {
        self.members_known_at.get_or_insert(now);
    }

    /// Counts a client request to a service, which adds to the retry budget.
    pub fn on_request(&mut self, now: ClockTime, service: &str, bounds: &NodeBounds) {
        let share = self.budget_share(bounds);
        self.budget(service).on_request(now, &share);
    }

    /// Takes back a client request that another node counts.
    pub fn on_request_passed_on(&mut self, now: ClockTime, service: &str, bounds: &NodeBounds) {
        let share = self.budget_share(bounds);
        self.budget(service).on_request_passed_on(now, &share);
    }

    /// Takes a retry at a service from the budget. Returns whether there was one left.
    pub fn take_retry(&mut self, now: ClockTime, service: &str, bounds: &NodeBounds) -> bool {
        let share = self.budget_share(bounds);
        self.budget(service).try_spend(now, &share)
    }

    /// Whether a retry at a service is left in the budget.
    pub fn has_retry(&mut self, now: ClockTime, service: &str, bounds: &NodeBounds) -> bool {
        let share = self.budget_share(bounds);
        self.budget(service).remaining(now, &share) >= 1.0
    }

    fn budget_share(&self, bounds: &NodeBounds) -> BudgetShare {
        BudgetShare {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            nodes: self.members.recent_node_count(),
            slack_from: self.members_known_at.map(|known_at| known_at + self.slack_delay),
        }
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        self.retry_budgets.entry(service.to_string()).or_default()
    }

    /// Returns the instance name of a server, unless that incarnation has ended.
    pub fn instance_name(&self, server: ServerKey) -> Option<String> {
        self.registry.get(server).map(|server| server.listing.instance.clone())
    }

    /// Returns a number for a server's incarnation that all nodes derive in the same way.
    pub fn incarnation_id(&self, server: ServerKey) -> Option<u64> {
        let listing = &self.registry.get(server)?.listing;
        Some(rendezvous_score(listing.instance.as_bytes(), listing.started_at_ms))
    }
}
