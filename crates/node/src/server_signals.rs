//! Applies what a server says of itself in any answer: that it leaves, or that it wants rest.

use carobvane_core::ids::ServerKey;

use crate::{
    adapter::{RequestedRest, ResponseInfo},
    node::NodeState,
};

/// Records what an answer says. `request` is the id of the client's request that it belongs to, or empty.
pub fn record_signals(
    state: &mut NodeState,
    server: ServerKey,
    request: &str,
    head: &ResponseInfo,
) {
    let Some(known) = state.registry.get(server) else { return };
    let instance = &known.listing.instance;
    let standing = known.availability;
    if head.leaving {
        log::info!(request = request, server = instance, standing:? = standing; "server says that it leaves");
        metrics::counter!("carobvane_server_signals_total", "signal" => "leaving").increment(1);
    }
    match head.rest {
        RequestedRest::None => {}
        RequestedRest::For(rest) => {
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
