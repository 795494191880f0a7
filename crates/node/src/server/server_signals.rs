//! Applies what a server says of itself in any answer: that it leaves, or that it wants rest.

use std::time::Duration;

use carobvane_core::ids::ServerKey;

use crate::{
    adapter::{RequestedRest, ResponseInfo},
    clock,
    fleet::node_notice::NodeNotice,
    node::{Node, NodeState},
    server::silent_servers,
};

/// The other nodes are told of a server that leaves for this long, as datagrams get lost.
const REPEAT_PERIOD: Duration = Duration::from_secs(2);

/// Records what an answer says. `request` is the id of the client's request that it belongs to, or empty.
pub fn record_signals(
    node: &Node,
    state: &mut NodeState,
    server: ServerKey,
    request: &str,
    head: &ResponseInfo,
) {
    silent_servers::on_heard(node, state, server);
    if head.leaving {
        record_leaving(node, state, server, request);
    }
    let Some(known) = state.registry.get_mut(server) else { return };
    let instance = &known.listing.instance;
    match head.rest {
        RequestedRest::None => {}
        RequestedRest::For(rest) => {
            known.health.on_rest_requested(clock::now(), rest);
            let rest_ms = rest.as_millis() as u64;
            log::info!(request = request, server = instance, rest_ms; "server asks for rest");
            metrics::counter!("carobvane_server_signals_total", "signal" => "rest").increment(1);
        }
        RequestedRest::Unreadable => {
            log::info!(request = request, server = instance; "failed to read for how long a server asks for rest");
            metrics::counter!("carobvane_server_signals_total", "signal" => "unreadable")
                .increment(1);
        }
    }
}

/// Stops sending requests to a server that has said that it leaves, and tells the other nodes.
fn record_leaving(node: &Node, state: &mut NodeState, server: ServerKey, request: &str) {
    metrics::counter!("carobvane_server_signals_total", "signal" => "leaving").increment(1);
    let Some(known) = state.registry.get(server) else { return };
    let (instance, standing) = (known.listing.instance.clone(), known.availability);
    let started_at_ms = known.listing.started_at_ms;
    if state.registry.on_said_leaving(clock::now(), &instance, started_at_ms, true) {
        log::info!(request = request, server = instance, standing:? = standing; "server says that it leaves");
        node.broadcast(NodeNotice::Leaving { instance, started_at_ms });
    }
}

/// Applies that a server has said to another node that it leaves.
pub fn apply_leaving(state: &mut NodeState, instance: &str, started_at_ms: u64) {
    if state.registry.on_said_leaving(clock::now(), instance, started_at_ms, false) {
        log::info!(server = instance, started_at_ms; "another node heard that a server leaves");
    }
}

/// Tells the other nodes again of the servers that leave.
pub fn tick(node: &Node) {
    let state = &mut *node.state.borrow_mut();
    let now = clock::now();
    state.registry.expire_leaving(now);
    for (instance, started_at_ms) in state.registry.leaving_notices().own_lately(now, REPEAT_PERIOD)
    {
        let instance = instance.to_string();
        node.broadcast(NodeNotice::Leaving { instance, started_at_ms });
    }
}
