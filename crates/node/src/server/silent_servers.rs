//! Reports, probes and avoids servers that do not respond, together with the other nodes.
//!
//! [`carobvane_core::traffic::ServerSilence`] decides; this module observes and tells.

use std::{future::Future, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    rendezvous::node_rank,
    traffic::{LinkFailure, LinkState, PROBERS, SilenceChange},
};
use http::Response;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep_until, timeout};

use crate::{
    adapter::PlatformAdapter,
    client::request_context::RequestContext,
    clock,
    fleet::{node_notice::NodeNotice, notice_transport::NoticeSender},
    node::{Node, NodeState},
    server::{
        connection::{ConnectionError, HttpConnection},
        links, server_choice,
        server_limits::{ServerCall, record_call},
        server_signals::record_signals,
    },
    store::client::build_request,
};

/// Longest time between two looks at the servers of which there are reports.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// A probe without a response for this long is reported.
const PROBE_REPORT_DELAY: Duration = Duration::from_millis(300);
/// A probe waits this much longer, since a server that was suspended answers what it got meanwhile.
const PROBE_EXTRA_TIME: Duration = Duration::from_millis(600);
/// Time between two searches for another server for a request whose server is silent.
pub const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of the response to a probe.
const MAX_PROBE_BYTES: usize = 64 * 1024;

/// What a request that waits for its response has to know.
#[derive(Debug)]
pub struct ResponseWait<'a> {
    /// The request.
    pub context: &'a RequestContext,
    /// Server that it was sent to.
    pub server: ServerKey,
    /// When it was sent.
    pub sent_at: ClockTime,
    /// Time without a response after which it casts doubt on the server.
    pub overdue_after: Duration,
    /// Time without a response after which it moves to another server, if there is one that may run it; `None`
    /// if it may run at this one only.
    pub move_after: Option<Duration>,
}

/// Waits for the response to a request. Ends like a timeout if the server is silent, or takes too long, and
/// the request may run elsewhere. Without another server, the request waits for this one.
pub async fn wait_for_response(
    node: &Rc<Node>,
    wait: &ResponseWait<'_>,
    sending: impl Future<Output = Result<Response<Incoming>, ConnectionError>>,
) -> Result<Response<Incoming>, ConnectionError> {
    let mut sending = pin!(sending);
    let mut is_reported = false;
    let mut overdue_at = Instant::now() + wait.overdue_after;
    let late_at = wait.move_after.map(|after| Instant::now() + after);
    let mut next_search = late_at;
    loop {
        let mut turned = pin!(node.silence_wake.notified());
        turned.as_mut().enable();
        let is_late = late_at.is_some_and(|at| Instant::now() >= at);
        if moves_away(node, wait, is_late) {
            return Err(ConnectionError::TimedOut);
        }
        tokio::select! {
            biased;
            response = &mut sending => return response,
            () = turned => {}
            () = sleep_until(overdue_at), if !is_reported => {
                is_reported = report_overdue(node, wait);
                overdue_at = Instant::now() + wait.overdue_after;
            }
            () = sleep_until(next_search.unwrap_or_else(Instant::now)), if next_search.is_some() => {
                next_search = Some(Instant::now() + SEARCH_INTERVAL);
            }
        }
    }
}

fn moves_away(node: &Node, wait: &ResponseWait<'_>, is_late: bool) -> bool {
    if wait.move_after.is_none() {
        return false;
    }
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    let is_silent = state.registry.get(wait.server).is_some_and(|known| known.silence.is_silent());
    let moves = (is_silent || is_late)
        && has_other_server(state, wait.context, now)
        && state.has_retry(now, &wait.context.service, &node.settings.bounds);
    if moves && is_silent {
        let (id, instance) = (&wait.context.info.request_id, state.instance_name(wait.server));
        log::info!(request = id, server:? = instance; "a request leaves a silent server");
        metrics::counter!("carobvane_silent_server_moves_total").increment(1);
    }
    moves
}

/// Whether a server that has not been tried may run a request now.
fn has_other_server(state: &NodeState, context: &RequestContext, now: ClockTime) -> bool {
    let registry = &state.registry;
    let excluded = server_choice::excluded_servers(state, context);
    registry.usable(&context.service).any(|(key, server)| {
        !excluded.contains(&key)
            && !server.silence.is_silent()
            && !server.health.is_at_rest(now)
            && context.software.allows_server(now, registry, server)
    })
}

/// Reports a server whose response is overdue and that no node has heard meanwhile. Returns whether it did.
fn report_overdue(node: &Rc<Node>, wait: &ResponseWait<'_>) -> bool {
    let since = wait.sent_at.max(clock::now() - wait.overdue_after);
    let is_heard = node
        .state
        .borrow()
        .registry
        .get(wait.server)
        .is_none_or(|known| known.silence.was_heard_since(since));
    if is_heard {
        return false;
    }
    note_failure(node, wait.server, since, false);
    links::record_failure(node, wait.server, LinkFailure::Silent);
    true
}

/// Records that a request or probe, sent at `since`, got no response. [`report_failure`] follows once the
/// links of this node are known to work.
pub fn note_failure(node: &Node, server: ServerKey, since: ClockTime, is_probe: bool) {
    if let Some(known) = node.state.borrow_mut().registry.get_mut(server) {
        known.silence.on_own_failure(since, is_probe);
    }
}

/// Reports a server that did not respond, which was not due to the links of this node.
pub fn report_failure(node: &Node, state: &mut NodeState, server: ServerKey) {
    let now = clock::now();
    let links = state.links.state();
    let Some(known) = state.registry.get_mut(server) else { return };
    let Some(since) = known.silence.take_own_failure() else { return };
    if links == LinkState::Lost {
        return;
    }
    known.silence.on_report(now, node.incarnation, since);
    let instance = known.listing.instance.clone();
    update(node, state, server);
    if state.report_rule.may_report(now, links, state.members.live().count()) {
        let unheard = now.since(since);
        log::info!(server = instance, unheard_ms = unheard.as_millis() as u64; "reporting a server that does not respond");
        metrics::counter!("carobvane_silence_reports_total", "source" => "own").increment(1);
        node.broadcast(NodeNotice::Reachability { instance, unheard: Some(unheard) });
    }
}

/// Records that a server responded to this node, and tells the others if any of them got no response.
pub fn on_heard(node: &Node, state: &mut NodeState, server: ServerKey) {
    let Some(known) = state.registry.get_mut(server) else { return };
    let was_suspected = known.silence.is_suspected();
    let instance = was_suspected.then(|| known.listing.instance.clone());
    apply_heard(node, state, server, clock::now());
    if let Some(instance) = instance {
        node.broadcast(NodeNotice::Reachability { instance, unheard: None });
    }
}

/// Records that a server was heard at `at`, by this node or another one.
pub fn apply_heard(node: &Node, state: &mut NodeState, server: ServerKey, at: ClockTime) {
    let Some(known) = state.registry.get_mut(server) else { return };
    let was_suspected = known.silence.is_suspected();
    known.silence.on_heard(at);
    if was_suspected {
        update(node, state, server);
    }
}

/// Records that a notice of another node has arrived.
pub fn on_peer_heard(node: &Node) {
    node.state.borrow_mut().report_rule.on_peer_heard(clock::now());
}

/// Applies what another node has found out about a server.
pub fn apply_notice(node: &Node, from: NoticeSender, instance: &str, unheard: Option<Duration>) {
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    let Some(key) = state.registry.key_of(instance) else { return };
    let Some(unheard) = unheard else { return apply_heard(node, state, key, now) };
    if let Some(known) = state.registry.get_mut(key) {
        metrics::counter!("carobvane_silence_reports_total", "source" => "peer").increment(1);
        known.silence.on_report(now, from.number(), now - unheard);
        update(node, state, key);
    }
}

/// Decides whether a server is silent after what is known of it has changed.
fn update(node: &Node, state: &mut NodeState, server: ServerKey) {
    let now = clock::now();
    let nodes = state.members.linked(now).count();
    let Some(known) = state.registry.get_mut(server) else {
        state.suspected_servers.remove(&server);
        return;
    };
    let change = known.silence.update(now, nodes);
    let instance = known.listing.instance.as_str();
    match change {
        Some(SilenceChange::Silent(observers)) => {
            log::warn!(server = instance, observers; "server is silent; it gets no requests");
            metrics::counter!("carobvane_silence_changes_total", "to" => "silent").increment(1);
            node.silence_wake.notify_waiters();
        }
        Some(SilenceChange::Back) => {
            log::info!(server = instance; "server is no longer silent");
            metrics::counter!("carobvane_silence_changes_total", "to" => "back").increment(1);
            known.health.on_back();
        }
        None => {}
    }
    let is_suspected = known.silence.is_suspected();
    match is_suspected {
        true if state.suspected_servers.insert(server) => node.probe_wake.notify_one(),
        true => {}
        false => drop(state.suspected_servers.remove(&server)),
    }
}

/// Probes the servers that are assigned to this node while there are reports of them, until the process
/// ends.
pub async fn watch<A: PlatformAdapter>(node: Rc<Node>) {
    loop {
        drop(timeout(WATCH_INTERVAL, node.probe_wake.notified()).await);
        let due = {
            let state = &mut *node.state.borrow_mut();
            let suspected: Vec<ServerKey> = state.suspected_servers.iter().copied().collect();
            suspected.iter().for_each(|server| update(&node, state, *server));
            take_due_probes(&node, state)
        };
        for (server, address, instance) in due {
            let node = node.clone();
            actix_rt::spawn(async move { probe::<A>(&node, server, address, &instance).await });
        }
    }
}

fn take_due_probes(node: &Node, state: &mut NodeState) -> Vec<(ServerKey, SocketAddr, String)> {
    let now = clock::now();
    if state.suspected_servers.is_empty() || state.links.state() == LinkState::Lost {
        return Vec::new();
    }
    let names: Vec<&str> = state.members.linked(now).map(|member| member.name.as_str()).collect();
    let mut due = Vec::new();
    for server in &state.suspected_servers {
        let Some(known) = state.registry.get_mut(*server) else { continue };
        let instance = &known.listing.instance;
        let rank = node_rank(instance.as_bytes(), &node.settings.name, names.iter().copied());
        let is_allowed = known.limit.wait(now).is_zero() && !known.health.is_at_rest(now);
        if rank < PROBERS && is_allowed && known.silence.probes.is_due(now, rank, names.len()) {
            due.push((*server, known.listing.address, instance.clone()));
        }
    }
    due
}

/// Asks a server for its state on a new connection.
async fn probe<A: PlatformAdapter>(
    node: &Rc<Node>,
    server: ServerKey,
    address: SocketAddr,
    instance: &str,
) {
    let sent_at = clock::now();
    record_call(node, &mut node.state.borrow_mut(), server, ServerCall::State);
    metrics::counter!("carobvane_silent_server_probes_total").increment(1);
    let mut call = pin!(call_server::<A>(node, server, address, instance));
    let mut result = timeout(PROBE_REPORT_DELAY, &mut call).await;
    if result.is_err() {
        report_probe(node, server, sent_at);
        result = timeout(PROBE_EXTRA_TIME, &mut call).await;
    }
    let answered = result.is_ok_and(|answered| answered);
    log::info!(server = instance, answered, took_ms = clock::now().since(sent_at).as_millis() as u64; "probed a server");
    if !answered {
        report_probe(node, server, sent_at);
    }
}

fn report_probe(node: &Node, server: ServerKey, sent_at: ClockTime) {
    note_failure(node, server, sent_at, true);
    links::record_failure(node, server, LinkFailure::Silent);
}

/// Returns whether the server answered, whatever its answer is.
async fn call_server<A: PlatformAdapter>(
    node: &Node,
    server: ServerKey,
    address: SocketAddr,
    instance: &str,
) -> bool {
    let time_limit = PROBE_REPORT_DELAY + PROBE_EXTRA_TIME;
    let Ok(mut connection) = HttpConnection::open(address, time_limit).await else { return false };
    let mut request = build_request(A::encode_state_query(), address);
    A::set_target_instance(request.headers_mut(), instance);
    let Ok(response) = connection.call(request, time_limit, MAX_PROBE_BYTES).await else {
        return false;
    };
    let head = A::decode_response(response.status(), response.headers());
    let state = &mut *node.state.borrow_mut();
    links::record_heard(node, state, server);
    record_signals(node, state, server, "", &head);
    true
}
