//! Chooses a server for an attempt.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{
    ids::ServerKey,
    traffic::{
        AttemptOutcome, CacheSource, CrashVerdict, PlacementChoice, PlacementRefusal,
        PlacementRequest, ServerAvailability, SoftwareRule,
    },
};

use crate::{
    client::request_context::RequestContext,
    clock,
    node::Node,
    server::{
        crashes,
        server_limits::{ServerCall, record_call},
    },
};

/// A request is sent only if its expected wait is at most this fraction of the target latency:
/// under overload the actual wait is about a third longer than the expected one.
const MAX_WAIT_FRACTION: f64 = 0.7;

/// Why no attempt could be opened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OpenError {
    /// The connection to the chosen server could not be opened.
    Ended(AttemptOutcome),
    /// No server was chosen.
    Refused(PlacementRefusal),
    /// The request must not run, at least not now, since it crashed servers.
    Suspect(CrashVerdict),
}

/// Checks whether the request may run.
pub fn check_suspect(node: &Node, context: &RequestContext) -> Result<(), OpenError> {
    let state = node.state.borrow();
    let id = &context.info.request_id;
    match crashes::check_verdict(node, &state, id, &context.service, &context.suspects) {
        CrashVerdict::Allow => Ok(()),
        verdict => Err(OpenError::Suspect(verdict)),
    }
}

/// Chooses a server, and returns the instance name with it.
pub fn choose_server(
    node: &Rc<Node>,
    context: &RequestContext,
) -> Result<(PlacementChoice, String), PlacementRefusal> {
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    let request = PlacementRequest {
        service: &context.service,
        model: context.info.model.as_deref(),
        prompt: &context.info.prompt,
        cache_scope: context.cache_scope.number(),
        priority: context.priority(),
        kv_capacity: state.routes.kv_capacity(&context.service),
        software: &context.software,
        bytes: context.body.len(),
        has_cache_store: state.cache_store().is_some(),
        nodes: state.members.live().count().max(1),
        max_wait: max_expected_wait(context),
        time_left: context.time_left(now),
    };
    let choice = state.planner.choose(
        now,
        &state.registry,
        &request,
        &context.tried_servers,
        &mut state.rng,
    )?;
    let server = state.registry.get(choice.server).ok_or(PlacementRefusal::NoServer)?;
    log::info!(
        request = context.info.request_id, server = server.listing.instance, cost_ms = choice.cost_ms,
        expected_ms = choice.base_latency_ms, wait_ms = choice.parts.wait_ms,
        prefill_ms = choice.parts.prefill_ms, fetch_ms = choice.parts.fetch_ms, held_tokens = choice.cached_tokens,
        kv_tokens = choice.kv_held_tokens,
        shared_tokens = choice.shared_tokens, fetches = choice.fetch_from.is_some(),
        prompt_tokens = context.info.prompt.prompt_tokens, in_flight = server.in_flight,
        weighed = choice.candidate_count, unknown_requests = choice.unknown_requests, config:? = state.routes.version(),
        software:? = server.listing.software, weights:? = choice.weights.map(|version| version.0),
        last_event:? = context.info.last_event,
        first_attempt:? = context.info.first_attempt;
        "server chosen"
    );
    let instance = server.listing.instance.clone();
    // The request may be sent only later, but no other one must take its place under the limit.
    record_call(node, state, choice.server, ServerCall::Request);
    Ok((choice, instance))
}

/// Whether a chosen server still takes requests; it may have said otherwise since it was chosen.
pub fn is_open(node: &Node, server: ServerKey) -> bool {
    let state = node.state.borrow();
    let known = state.registry.get(server);
    known.is_some_and(|known| {
        known.availability != ServerAvailability::Leaving && !known.health.is_at_rest(clock::now())
    })
}

/// Returns the longest expected wait at which a request is still sent. One that would be late only
/// delays those that can still be on time; its client is told when to retry instead. A stream that
/// continues has no other servers to go to.
fn max_expected_wait(context: &RequestContext) -> Duration {
    if context.software != SoftwareRule::Any {
        return context.time_left(clock::now()).mul_f64(MAX_WAIT_FRACTION);
    }
    context.rule.target_latency.mul_f64(MAX_WAIT_FRACTION)
}

/// Returns where KV cache is fetched from and saved to.
pub fn cache_transfer_addresses(
    node: &Node,
    choice: &PlacementChoice,
) -> (Option<SocketAddr>, Option<SocketAddr>) {
    let store = node.state.borrow().cache_store();
    let fetch_from = choice.fetch_from.and_then(|from| match from {
        CacheSource::Server(server) => node.server_endpoint(server).map(|(address, _)| address),
        CacheSource::Store => store,
    });
    (fetch_from, store.filter(|_| choice.save_to_store))
}
