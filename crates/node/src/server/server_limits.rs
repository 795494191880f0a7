//! Keeps the requests to servers within the limits that they name, and counts the calls to servers.

use std::{rc::Rc, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    rendezvous::node_rank,
    traffic::{LimitRank, LimitStatement, ServerLoad},
};

use crate::{
    adapter::NamedLimit,
    clock,
    fleet::node_notice::NodeNotice,
    node::{Node, NodeState},
};

/// The cache events of a server with a lower limit are not read, in requests a second: reading them
/// takes about one request a second.
const MIN_FOLLOWED_RATE: f64 = 10.0;

/// Time between two notices that the servers of a service are brittle.
const BRITTLE_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a node calls a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerCall {
    /// To run a client's request.
    Request,
    /// To read cache events.
    CacheEvents,
    /// To read its state.
    State,
    /// To order weights.
    Order,
}

impl ServerCall {
    fn label(self) -> &'static str {
        match self {
            ServerCall::Request => "request",
            ServerCall::CacheEvents => "cache events",
            ServerCall::State => "state",
            ServerCall::Order => "order",
        }
    }
}

/// Counts a call to a server, against its limit as well, and informs the other nodes if it has one.
pub fn record_call(node: &Node, state: &mut NodeState, server: ServerKey, call: ServerCall) {
    metrics::counter!("carobvane_server_calls_total", "call" => call.label()).increment(1);
    let nodes = state.members.live().count();
    let Some(known) = state.registry.get_mut(server) else { return };
    if call == ServerCall::Request {
        let now = clock::now();
        let occupancy = known.occupancy(now, nodes);
        known.brittle.on_sent(now, occupancy);
    }
    if known.limit.on_sent(clock::now()) {
        metrics::counter!("carobvane_limited_calls_total", "call" => call.label()).increment(1);
        broadcast_limit(node, state, server);
    }
}

/// Whether the cache events of a server may be read now.
pub fn may_read_events(state: &NodeState, server: ServerKey) -> bool {
    let Some(known) = state.registry.get(server) else { return false };
    let is_followed = known.limit.rate().is_none_or(|rate| rate >= MIN_FOLLOWED_RATE);
    let now = clock::now();
    is_followed && known.limit.wait(now).is_zero() && !known.health.is_at_rest(now)
}

/// Records what a response says about the limit of its server. `sent_at` is when its request was
/// sent.
pub fn record_named_limit(
    node: &Node,
    state: &mut NodeState,
    server: ServerKey,
    request_id: &str,
    limit: NamedLimit,
    sent_at: ClockTime,
) {
    let now = clock::now();
    let Some(known) = state.registry.get_mut(server) else { return };
    let before = known.limit.rate();
    let rate = match limit {
        NamedLimit::None => None,
        NamedLimit::PerSecond(rate) => Some(rate),
        NamedLimit::Unreadable => {
            let instance = &known.listing.instance;
            log::debug!(request = request_id, server = instance; "failed to read a server's limit");
            return;
        }
    };
    if known.limit.on_response(now, sent_at, rate) {
        log_change(state, server, request_id, before);
        update_rank(node, state, server);
        broadcast_limit(node, state, server);
    }
}

/// Records that a response named the rejections that its server bears, and tells the other nodes at times.
pub fn record_max_rejections(node: &Node, state: &mut NodeState, server: ServerKey, limit: u32) {
    let Some(service) = state.registry.get(server).map(|known| known.listing.service.clone())
    else {
        return;
    };
    let now = clock::now();
    apply_brittle(node, state, &service, limit);
    let told_at = state.brittle_told_at.entry(service.clone()).or_default();
    if now.since(*told_at) >= BRITTLE_NOTICE_INTERVAL {
        *told_at = now;
        node.broadcast(NodeNotice::Brittle { service, limit });
    }
}

/// Applies that the servers of a service fall over if they reject more than `limit` requests in a second.
pub fn apply_brittle(node: &Node, state: &mut NodeState, service: &str, limit: u32) {
    let now = clock::now();
    let nodes = state.members.live().count();
    for server in state.registry.keys_of_service(service) {
        let rank = limit_rank(node, state, server);
        let Some(known) = state.registry.get_mut(server) else { continue };
        if !known.brittle.is_brittle(now) {
            let instance = &known.listing.instance;
            log::info!(server = instance, limit; "server is brittle");
        }
        known.brittle.on_named(now, limit, rank, nodes);
    }
}

/// Records that a server rejected a request, and tells the other nodes if the server is brittle.
pub fn record_rejection(
    node: &Node,
    state: &mut NodeState,
    server: ServerKey,
    load: Option<ServerLoad>,
) {
    let now = clock::now();
    let waiting = load.map(|load| load.waiting);
    let Some(known) = state.registry.get_mut(server) else { return };
    known.brittle.on_rejected(now, waiting);
    if known.brittle.is_brittle(now) {
        metrics::counter!("carobvane_brittle_rejections_total").increment(1);
        let instance = known.listing.instance.clone();
        node.broadcast(NodeNotice::Rejected { instance, waiting });
    }
}

/// Applies what another node knows of the limit of a server, and has sent to it: the incarnation of
/// that node and the number of its requests.
pub fn apply_notice(
    node: &Node,
    state: &mut NodeState,
    instance: &str,
    statement: LimitStatement,
    (sender, sent): (u64, u64),
) {
    let now = clock::now();
    let Some(server) = state.registry.key_of(instance) else { return };
    let Some(known) = state.registry.get_mut(server) else { return };
    let before = known.limit.rate();
    let changed = known.limit.on_told(now, statement);
    known.limit.on_other_sent(now, sender, sent);
    if changed {
        log_change(state, server, "", before);
        update_rank(node, state, server);
    }
}

fn log_change(state: &NodeState, server: ServerKey, request_id: &str, before: Option<f64>) {
    let Some(known) = state.registry.get(server) else { return };
    let (instance, now) = (&known.listing.instance, known.limit.rate());
    log::info!(request = request_id, server = instance, before:? = before, now:? = now; "server named another limit");
    metrics::counter!("carobvane_named_limits_total").increment(1);
}

/// Tells the other nodes again of the requests to limited servers, as notices get lost, and follows
/// changes of the nodes that share the limits.
pub fn tick(node: &Rc<Node>) {
    let state = &mut *node.state.borrow_mut();
    let servers: Vec<ServerKey> = state.registry.iter().map(|(key, _)| key).collect();
    let mut limited_count = 0;
    for server in servers {
        let Some(known) = state.registry.get_mut(server) else { continue };
        let is_told_again = known.limit.take_repeat();
        if known.limit.rate().is_some() {
            limited_count += 1;
            update_rank(node, state, server);
        }
        if is_told_again {
            broadcast_limit(node, state, server);
        }
    }
    metrics::gauge!("carobvane_limited_servers").set(f64::from(limited_count));
}

fn broadcast_limit(node: &Node, state: &NodeState, server: ServerKey) {
    let Some(known) = state.registry.get(server) else { return };
    node.broadcast(NodeNotice::Limited {
        instance: known.listing.instance.clone(),
        sender: node.incarnation,
        statement: known.limit.statement(),
        sent: known.limit.own_sent(),
    });
}

fn update_rank(node: &Node, state: &mut NodeState, server: ServerKey) {
    let rank = limit_rank(node, state, server);
    if let Some(known) = state.registry.get_mut(server) {
        known.limit.set_rank(rank);
    }
}

/// Returns the place of this node among those that share the limits of a server.
fn limit_rank(node: &Node, state: &NodeState, server: ServerKey) -> LimitRank {
    let Some(known) = state.registry.get(server) else { return LimitRank::default() };
    let others = state.members.live().map(|member| member.name.as_str());
    let position = node_rank(known.listing.instance.as_bytes(), &node.settings.name, others);
    LimitRank { position }
}
