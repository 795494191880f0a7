//! Records what attempts show of the servers: their health, and lost connections.

use std::rc::Rc;

use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    traffic::{LinkFailure, PlacementChoice},
};

use crate::{
    client::request_context::RequestContext,
    clock,
    fleet::node_notice::NodeNotice,
    node::{Node, NodeState},
    server::{links, pool::CONNECT_TIMEOUT, silent_servers},
};

/// Records that a server did not respond in time, unless it was heard from since `since`.
pub fn record_timeout(node: &Rc<Node>, server: ServerKey, since: ClockTime) {
    if let Some(known) = node.state.borrow_mut().registry.get_mut(server)
        && !known.health.was_seen_since(since)
    {
        known.health.on_no_response(clock::now());
    }
    silent_servers::note_failure(node, server, since, false);
    links::record_failure(node, server, LinkFailure::Silent);
}

/// Records that this node has as many connections to a server as it may open. That says nothing to other
/// nodes.
pub fn record_pool_full(node: &Rc<Node>, server: ServerKey) {
    if let Some(known) = node.state.borrow_mut().registry.get_mut(server) {
        known.health.on_no_response(clock::now());
    }
}

/// Records that a server sent no usable response, and informs the other nodes.
pub fn record_unusable(node: &Rc<Node>, server: ServerKey) {
    let state = &mut *node.state.borrow_mut();
    if let Some(known) = state.registry.get_mut(server) {
        known.health.on_no_response(clock::now());
    }
    tell_unresponsive(node, state, server);
}

/// Records that a connection to a server broke or could not be opened.
pub fn record_lost(node: &Rc<Node>, server: ServerKey, failure: LinkFailure) {
    let now = clock::now();
    let since = if failure == LinkFailure::ConnectTimedOut { now - CONNECT_TIMEOUT } else { now };
    silent_servers::note_failure(node, server, since, false);
    if let Some(known) = node.state.borrow_mut().registry.get_mut(server) {
        known.health.on_no_response(clock::now());
        known.health.on_connection_lost(clock::now());
    }
    links::record_failure(node, server, failure);
}

/// Tells the other nodes that a server does not respond.
pub fn tell_unresponsive(node: &Node, state: &NodeState, server: ServerKey) {
    let Some(instance) = state.instance_name(server) else { return };
    log::info!(server = instance; "telling other nodes that a server does not respond");
    metrics::counter!("carobvane_silent_servers_total", "source" => "own").increment(1);
    node.broadcast(NodeNotice::Silent { instance });
}

/// Logs and counts an attempt that brought no response for the client.
pub fn log_failure(
    context: &RequestContext,
    instance: &str,
    choice: &PlacementChoice,
    cause: &str,
) {
    log::info!(
        request = context.info.request_id, server = instance, cause = cause,
        attempt = context.history.attempts + 1, expected_ms = choice.base_latency_ms;
        "attempt failed"
    );
    metrics::counter!("carobvane_failed_attempts_total").increment(1);
}
