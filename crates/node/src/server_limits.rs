//! Keeps the requests to servers within the limits that they name, and counts the calls to servers.

use std::rc::Rc;

use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    rendezvous::node_rank,
    traffic::{LimitRank, LimitStatement},
};

use crate::{
    adapter::NamedLimit,
    clock,
    node::{Node, NodeState},
    notices::NodeNotice,
};

/// The cache events of a server with a lower limit are not read, in requests a second: reading them
/// takes about one request a second.
const MIN_FOLLOWED_RATE: f64 = 10.0;

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
    let Some(known) = state.registry.get_mut(server) else { return };
    if known.limit.on_sent(clock::now()) {
        metrics::counter!("carobvane_limited_calls_total", "call" => call.label()).increment(1);
        broadcast_limit(node, state, server);
    }
}

/// Whether the cache events of a server may be read now.
pub fn may_read_events(state: &NodeState, server: ServerKey) -> bool {
    let Some(known) = state.registry.get(server) else { return false };
    let is_followed = known.limit.rate().is_none_or(|rate| rate >= MIN_FOLLOWED_RATE);
    is_followed && known.limit.wait(clock::now()).is_zero()
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
    node.broadcast_at_once(NodeNotice::Limited {
        instance: known.listing.instance.clone(),
        sender: node.incarnation,
        statement: known.limit.statement(),
        sent: known.limit.own_sent(),
    });
}

fn update_rank(node: &Node, state: &mut NodeState, server: ServerKey) {
    let Some(known) = state.registry.get_mut(server) else { return };
    let others = state.members.live().map(|member| member.name.as_str());
    let position = node_rank(known.listing.instance.as_bytes(), &node.settings.name, others);
    known.limit.set_rank(LimitRank { position });
}
