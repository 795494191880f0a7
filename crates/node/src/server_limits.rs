//! Records the limits on requests that servers name, and counts the calls to servers.

use carobvane_core::ids::ServerKey;

use crate::{adapter::NamedLimit, node::NodeState};

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

/// Counts a call to a server.
pub fn record_call(call: ServerCall) {
    metrics::counter!("carobvane_server_calls_total", "call" => call.label()).increment(1);
}

/// Records what a response says about the limit of its server.
pub fn record_named_limit(
    state: &mut NodeState,
    server: ServerKey,
    request_id: &str,
    limit: NamedLimit,
) {
    let Some(known) = state.registry.get_mut(server) else { return };
    let named = match limit {
        NamedLimit::None => None,
        NamedLimit::PerSecond(rate) => Some(rate),
        NamedLimit::Unreadable => {
            let instance = &known.listing.instance;
            log::debug!(request = request_id, server = instance; "failed to read a server's limit");
            return;
        }
    };
    if known.named_limit == named {
        return;
    }
    let (instance, before) = (&known.listing.instance, known.named_limit);
    log::info!(request = request_id, server = instance, before:? = before, now:? = named; "server named another limit");
    metrics::counter!("carobvane_named_limits_total").increment(1);
    known.named_limit = named;
}
