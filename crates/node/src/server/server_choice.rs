//! Chooses a server for an attempt.

use std::{net::SocketAddr, rc::Rc};

use carobvane_core::{
    ids::ServerKey,
    overload::WaitTicket,
    traffic::{
        AttemptOutcome, CacheSource, CrashVerdict, PlacementChoice, PlacementRefusal,
        PlacementRequest, ServerAvailability, SoftwareRule,
    },
};

use tokio::time::sleep;

use crate::{
    client::request_context::RequestContext,
    clock,
    node::{Node, NodeState},
    server::{
        admission::{self, AdmissionError, WaitingRequest},
        crashes,
        server_limits::{ServerCall, record_call},
    },
    store::software_store,
};

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

/// Chooses a server, and returns the instance name with it. Waits if a server will soon have room.
pub async fn choose_server(
    node: &Rc<Node>,
    context: &mut RequestContext,
) -> Result<(PlacementChoice, String), OpenError> {
    let mut waiting: Option<WaitingRequest> = None;
    loop {
        check_suspect(node, context)?;
        // The configuration may have changed since the request was admitted or last sent.
        context.cache_scope = node.state.borrow().routes.cache_scope(context.workspace.as_ref());
        let ticket = waiting.as_ref().map(|waiting| waiting.ticket);
        match try_choose(node, context, ticket) {
            Ok(chosen) => return Ok(chosen),
            Err(AdmissionError::Refused(refusal)) => return Err(OpenError::Refused(refusal)),
            Err(AdmissionError::Waits(interval, ticket)) => {
                waiting.get_or_insert_with(|| WaitingRequest::new(node, &context.service, ticket));
                sleep(interval).await;
            }
        }
    }
}

fn try_choose(
    node: &Node,
    context: &RequestContext,
    ticket: Option<WaitTicket>,
) -> Result<(PlacementChoice, String), AdmissionError> {
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
        nodes: state.members.live().count().max(1),
    };
    let excluded = excluded_servers(state, context);
    let choice = state.planner.choose(now, &state.registry, &request, &excluded, &mut state.rng)?;
    admission::decide(node, state, context, &choice, ticket)?;
    let server = state.registry.get(choice.server).ok_or(PlacementRefusal::NoServer)?;
    log::info!(
        request = context.info.request_id, server = server.listing.instance, cost_ms = choice.cost_ms,
        expected_ms = choice.base_latency_ms, wait_ms = choice.parts.wait_ms,
        prefill_ms = choice.parts.prefill_ms, fetch_ms = choice.parts.fetch_ms, held_tokens = choice.cached_tokens,
        kv_tokens = choice.kv_held_tokens,
        shared_tokens = choice.shared_tokens, fetches = choice.fetch_from.is_some(),
        fetched_tokens = choice.fetched_tokens,
        saves = choice.save_to_store.is_some(),
        prompt_tokens = context.info.prompt.prompt_tokens, in_flight = server.in_flight,
        weighed = choice.candidate_count, unknown_requests = choice.unknown_requests, config:? = state.routes.version(),
        software:? = server.listing.software, weights:? = choice.weights.map(|version| version.0),
        last_event:? = context.info.last_event,
        first_attempt:? = context.info.first_attempt;
        "server chosen"
    );
    let source = match choice.fetch_from {
        _ if choice.shared_tokens == 0 => "not shared",
        Some(CacheSource::Server(_)) => "server",
        Some(CacheSource::Store(_)) => "store",
        None => "none",
    };
    metrics::counter!("carobvane_kv_sources_total", "source" => source).increment(1);
    let instance = server.listing.instance.clone();
    state.planner.on_fetch_started(now, &state.registry, &context.service, &choice);
    // The request may be sent only later, but no other one must take its place under the limit.
    record_call(node, state, choice.server, ServerCall::Request);
    Ok((choice, instance))
}

/// Servers at which a request must not run: it was tried there, or no stream may begin there yet.
pub fn excluded_servers(state: &NodeState, context: &RequestContext) -> Vec<ServerKey> {
    let mut excluded = context.tried_servers.clone();
    if context.is_stream() && context.software == SoftwareRule::Any {
        excluded.extend(software_store::barred_servers(state, &context.service));
    }
    excluded
}

/// Whether a chosen server still takes requests; it may have said otherwise since it was chosen.
pub fn is_open(node: &Node, server: ServerKey) -> bool {
    let state = node.state.borrow();
    let known = state.registry.get(server);
    known.is_some_and(|known| {
        known.availability != ServerAvailability::Leaving && !known.health.is_at_rest(clock::now())
    })
}

/// Returns where KV cache is fetched from and saved to.
pub fn cache_transfer_addresses(
    node: &Node,
    choice: &PlacementChoice,
) -> (Option<SocketAddr>, Option<SocketAddr>) {
    let now = clock::now();
    let address_of = |store| node.state.borrow().planner.stores.address(now, store);
    let fetch_from = choice.fetch_from.and_then(|from| match from {
        CacheSource::Server(server) => node.server_endpoint(server).map(|(address, _)| address),
        CacheSource::Store(store) => address_of(store),
    });
    (fetch_from, choice.save_to_store.and_then(address_of))
}

/// Returns the software version of a server, unless it may have started again as another one.
pub fn known_software(node: &Node, server: ServerKey) -> Option<String> {
    let registry = &node.state.borrow().registry;
    let known = registry.get(server)?;
    let may_differ = registry.may_have_restarted(clock::now(), known);
    known.listing.software.clone().filter(|_| !may_differ)
}
