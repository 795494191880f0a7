//! Joins the limits of workspaces to the node: its clock, its list of nodes, its notices and requests.
//!
//! All decisions are in [`WorkspaceLimiter`].

mod exchange;
mod reserve;
#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use carobvane_core::{
    clock::ClockTime,
    plans::workspace_limit::{
        LimitSetting, NodeName, WorkspaceId, WorkspaceLimit, WorkspaceLimiter,
    },
    traffic::TrafficConfig,
};
use tokio::{sync::Notify, time::interval};

pub use self::{
    exchange::receive,
    reserve::{give_back, reserve},
};
use crate::{
    clock,
    node::{Node, NodeState},
    settings::NodeSettings,
};

/// Time between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The limits of workspaces at this node.
#[derive(Debug)]
pub struct WorkspaceLimits {
    limiter: RefCell<WorkspaceLimiter>,
    own: NodeName,
    /// Notice addresses of the nodes that grant tokens.
    addresses: RefCell<HashMap<NodeName, SocketAddr>>,
    /// Wake the requests that wait for tokens, by the numbers of their purchases.
    waiting: RefCell<HashMap<u64, Rc<Notify>>>,
    /// Number of slots that this node grants for, as logged last.
    logged_slots: Cell<usize>,
}

impl WorkspaceLimits {
    /// Creates the state of a node that starts.
    pub fn new(settings: &NodeSettings, incarnation: u64) -> WorkspaceLimits {
        let own = NodeName::from_name(&settings.name);
        let window = settings.bounds.limit_window;
        let limiter = WorkspaceLimiter::new(own, incarnation, window, settings.first_start);
        WorkspaceLimits {
            limiter: RefCell::new(limiter),
            own,
            addresses: RefCell::default(),
            waiting: RefCell::default(),
            logged_slots: Cell::new(0),
        }
    }

    fn sync_members(&self, now: ClockTime, state: &NodeState) {
        let mut members = Vec::new();
        let mut addresses = self.addresses.borrow_mut();
        addresses.clear();
        for (record, is_live) in state.members.granters() {
            let name = NodeName::from_name(&record.name);
            addresses.insert(name, record.notice_address);
            members.push((name, record.incarnation, is_live));
        }
        self.limiter.borrow_mut().set_members(now, members);
    }
}

/// Looks at what is due until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        let now = clock::now();
        node.limits.sync_members(now, &node.state.borrow());
        node.limits.limiter.borrow_mut().tick(now);
        exchange::dispatch(&node);
        log_slots(&node);
    }
}

fn log_slots(node: &Node) {
    let slots = node.limits.limiter.borrow().held_slots();
    if node.limits.logged_slots.replace(slots) != slots {
        log::info!(slots; "slots of workspaces' limits that this node grants for changed");
        metrics::gauge!("carobvane_workspace_limit_slots").set(slots as f64);
    }
}

/// Records that the store has renewed or written this node's record by a call sent at `sent_at`.
pub fn on_renewed(node: &Node, sent_at: ClockTime) {
    if !node.draining.get() {
        node.limits.limiter.borrow_mut().on_renewed(clock::now(), sent_at);
    }
}

/// Stops granting, since this node stops.
pub fn on_stopping(node: &Node) {
    node.limits.limiter.borrow_mut().on_stopping(clock::now());
}

/// Applies the limits of the configuration in force.
pub fn on_config(node: &Node, state: &NodeState) {
    let Some(version) = state.routes.version() else { return };
    let now = clock::now();
    node.limits.sync_members(now, state);
    let mut limits: BTreeMap<WorkspaceId, WorkspaceLimit> = BTreeMap::new();
    for workspace in state.routes.workspaces() {
        let Some(limit) = workspace.limit.limit() else { continue };
        limits.insert(WorkspaceId::from_name(&workspace.name), *limit);
        let name = workspace.name.clone();
        metrics::gauge!("carobvane_workspace_limit", "workspace" => name).set(limit.rate);
    }
    node.limits.limiter.borrow_mut().set_limits(now, version, limits);
}

/// Logs limits of a configuration that cannot be used, unless the configuration is too old to apply.
pub fn log_problems(config: &TrafficConfig, in_force: Option<u64>) {
    if in_force.is_some_and(|version| config.version <= version) {
        return;
    }
    for workspace in config.workspaces.iter().flatten() {
        if let LimitSetting::Invalid(problem) = workspace.limit {
            log::error!(
                version = config.version, workspace = workspace.name, problem:% = problem;
                "limit of a workspace is invalid; its limit stays as it was"
            );
        }
    }
}
