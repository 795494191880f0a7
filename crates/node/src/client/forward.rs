//! Passes a client's request on to another node while this node reaches no server.
//!
//! The other node handles the request like that of a client, but never passes it on again. It is told
//! what was tried so far and how much time is left, so that all bounds hold over both nodes.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use carobvane_core::traffic::{AttemptHistory, AttemptOutcome, LinkState, SoftwareRule};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout},
};

use crate::{
    adapter::PlatformAdapter,
    client::{
        body::{ResponseBody, StreamChunk},
        headers::{is_hop_by_hop, origin_form},
        request_context::RequestContext,
        request_log::log_end,
        responses,
    },
    clock,
    node::Node,
    server::{checked_response::CheckedHead, connection::ConnectionError, pool::PooledConnection},
};

/// Header with the [`HopInfo`] of a request that a node passes on.
const HOP: HeaderName = HeaderName::from_static("carobvane-hop");
/// Header of a response from a node that did not handle the request; its value says why.
const UNSERVED: HeaderName = HeaderName::from_static("carobvane-unserved");
/// Number of nodes that a request is offered to.
const MAX_NODES: usize = 3;
/// Number of connections that a node opens to another one.
const MAX_CONNECTIONS: u32 = 256;
/// Maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// The rest of a response from a node that did not handle the request is read for at most this long.
const UNSERVED_TIMEOUT: Duration = Duration::from_millis(100);
/// Chunks queued for a client that reads slowly.
const MAX_QUEUED_CHUNKS: usize = 16;

/// What a node tells another one of a request that it passes on.
#[serde_as]
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct HopInfo {
    /// Time until the response is due, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub left: Duration,
    /// Version of the configuration in force at the sender.
    pub config: Option<u64>,
    /// What the attempts so far have shown.
    pub history: AttemptHistory,
    /// Software versions of servers at which the request may run.
    pub software: SoftwareRule,
    /// Id of the last event that the client has received.
    pub last_event: Option<u64>,
    /// The client's `Connection` header.
    connection: Option<String>,
}

/// How passing a request on ended.
pub enum ForwardResult {
    /// With the other node's response.
    Response(Response<ResponseBody>),
    /// Without one.
    Ended(AttemptOutcome),
    /// There is no node left to which it can be passed on.
    NoNode,
}

/// Whether the next attempt at a request is left to another node.
pub fn is_due(node: &Node, context: &RequestContext) -> bool {
    let links = node.state.borrow().links.state();
    let is_needed = match links {
        LinkState::Working => false,
        LinkState::Doubtful => context.history.attempts > 0,
        LinkState::Lost => true,
    };
    is_needed && !context.is_forwarded && context.tried_nodes.len() < MAX_NODES
}

/// Passes a request on to one other node.
pub async fn forward<A: PlatformAdapter>(
    node: &Rc<Node>,
    context: &mut RequestContext,
) -> ForwardResult {
    let Some((name, address)) = choose_node(node, context) else { return ForwardResult::NoNode };
    context.tried_nodes.push(name.clone());
    log::info!(
        request = context.info.request_id, to = name, attempts = context.history.attempts,
        left_ms = context.time_left(clock::now()).as_millis() as u64;
        "passing a request on to another node"
    );
    let result = exchange::<A>(node, context, address).await;
    let outcome = match &result {
        Ok(_) => "response",
        Err(AttemptOutcome::NotSent) => "not handled",
        Err(_) => "unknown",
    };
    metrics::counter!("carobvane_forwarded_requests_total", "outcome" => outcome).increment(1);
    result.map_or_else(ForwardResult::Ended, ForwardResult::Response)
}

/// Reads what the sender of a request that was passed on has told, and restores the client's headers.
/// Returns `None` if the request was not passed on by a node.
pub fn take_hop(headers: &mut HeaderMap) -> Option<HopInfo> {
    let value = headers.remove(HOP)?;
    let hop: HopInfo = serde_json::from_slice(value.as_bytes()).ok()?;
    if let Some(value) = &hop.connection
        && let Ok(value) = HeaderValue::from_str(value)
    {
        headers.insert(header::CONNECTION, value);
    }
    Some(hop)
}

/// Returns why this node does not handle a request that another one passes on; `None` if it does.
pub fn refusal(node: &Node, hop: &HopInfo) -> Option<&'static str> {
    let state = node.state.borrow();
    if node.draining.get() {
        return Some("node stops");
    }
    if state.links.state() == LinkState::Lost {
        return Some("links lost");
    }
    (state.routes.version() < hop.config).then_some("older configuration")
}

/// Returns why a request that another node has passed on, and that has not run, is left to a further
/// node; `None` if this node's response to it is final.
pub fn give_back(node: &Node, context: &RequestContext) -> Option<&'static str> {
    let is_linked = node.state.borrow().links.state() == LinkState::Working;
    let is_due = context.is_forwarded && !context.history.may_have_run && !is_linked;
    is_due.then_some("links in doubt")
}

/// Returns the response to a request that this node does not handle.
pub fn unserved(reason: &'static str) -> Response<ResponseBody> {
    let mut response = responses::empty(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(UNSERVED, HeaderValue::from_static(reason));
    response
}

fn choose_node(node: &Node, context: &RequestContext) -> Option<(String, SocketAddr)> {
    let state = &mut *node.state.borrow_mut();
    let others = state.members.linked(clock::now()).filter(|member| {
        member.name != node.settings.name && !context.tried_nodes.contains(&member.name)
    });
    others.map(|member| (member.name.clone(), member.peer_address)).choose(&mut state.rng)
}

async fn exchange<A: PlatformAdapter>(
    node: &Rc<Node>,
    context: &RequestContext,
    address: SocketAddr,
) -> Result<Response<ResponseBody>, AttemptOutcome> {
    let failed = |cause: ConnectionError| {
        let id = &context.info.request_id;
        log::info!(request = id, cause:% = cause; "failed to pass a request on");
        if cause.is_unsent() { AttemptOutcome::NotSent } else { AttemptOutcome::Unknown }
    };
    let taken = node.node_pool.take(address, address, MAX_CONNECTIONS).await;
    let mut connection = taken.map_err(failed)?;
    let request = build_request(node, context);
    let left = context.time_left(clock::now());
    let response = connection.connection.send(request, left).await.map_err(failed)?;
    if let Some(reason) = response.headers().get(UNSERVED) {
        let id = &context.info.request_id;
        log::info!(request = id, reason:? = reason; "another node did not handle a request");
        let body = response.into_body();
        let reading = connection.connection.read_body(body, MAX_RESPONSE_BYTES, None);
        if timeout(UNSERVED_TIMEOUT, reading).await.is_ok_and(|read| read.is_ok()) {
            connection.return_to_pool(None);
        }
        return Err(AttemptOutcome::NotSent);
    }
    let checked = CheckedHead::of_node::<A>(response, &context.info.request_id);
    let (head, body) =
        checked.map_err(|error| failed(ConnectionError::Invalid(error.to_string())))?;
    if context.is_stream() && head.is_success() {
        return Ok(pass_stream(context, &head, body, connection));
    }
    let memory = Some(node.response_memory.share());
    let reading = connection.connection.read_body(body, MAX_RESPONSE_BYTES, memory);
    let read = timeout(context.time_left(clock::now()), reading).await;
    let body = read.unwrap_or(Err(ConnectionError::TimedOut)).map_err(failed)?;
    connection.return_to_pool(None);
    Ok(head.client_response(ResponseBody::whole(body)))
}

fn build_request(node: &Node, context: &RequestContext) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.head.method.clone();
    *request.uri_mut() = origin_form(&context.head.uri);
    let headers = request.headers_mut();
    let own = [HOP, header::CONTENT_LENGTH, header::EXPECT];
    for (name, value) in &context.head.headers {
        if !is_hop_by_hop(name) && !own.contains(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    let connection = context.head.headers.get_all(header::CONNECTION).iter();
    let connection: Vec<&str> = connection.filter_map(|value| value.to_str().ok()).collect();
    let hop = HopInfo {
        left: context.time_left(clock::now()),
        config: node.state.borrow().routes.version(),
        history: context.history,
        software: context.software.clone(),
        last_event: context.info.last_event,
        connection: (!connection.is_empty()).then(|| connection.join(",")),
    };
    let encoded = serde_json::to_string(&hop).unwrap_or_default();
    match HeaderValue::from_str(&encoded) {
        Ok(value) => drop(headers.insert(HOP, value)),
        Err(cause) => log::error!(cause:% = cause; "failed to encode a request for another node"),
    }
    request
}

/// Forwards a streamed response in a separate task.
fn pass_stream(
    context: &RequestContext,
    head: &CheckedHead,
    mut body: Incoming,
    connection: PooledConnection<SocketAddr>,
) -> Response<ResponseBody> {
    let (chunk_sender, queue) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let response = head.client_response(ResponseBody::Stream(queue));
    let deadline = Instant::now() + context.time_left(clock::now());
    let id = context.info.request_id.clone();
    actix_rt::spawn(async move {
        let passing = pass_chunks(&connection, &mut body, &chunk_sender);
        let outcome = tokio::select! {
            biased;
            () = chunk_sender.closed() => "caller left",
            passed = passing => match passed {
                Ok(()) => "answered",
                Err(cause) => {
                    log::info!(request = id, cause:% = cause; "stream of another node broke off");
                    "broken off"
                }
            },
            () = sleep_until(deadline) => "timed out",
        };
        log::info!(request = id, outcome; "stream of another node ended");
        if outcome == "answered" {
            connection.return_to_pool(None);
            // Fails only if the client has left.
            drop(chunk_sender.send(StreamChunk::End).await);
        }
    });
    response
}

async fn pass_chunks(
    connection: &PooledConnection<SocketAddr>,
    body: &mut Incoming,
    chunk_sender: &mpsc::Sender<StreamChunk>,
) -> Result<(), ConnectionError> {
    while let Some(data) = connection.connection.read_part(body).await? {
        // If the client has left, the caller ends this.
        drop(chunk_sender.send(StreamChunk::Data(data)).await);
    }
    Ok(())
}

/// Logs the end of a request that another node has answered.
pub fn log_forwarded(context: &RequestContext, status: StatusCode) {
    log_end(context, status.as_u16(), "answered by another node");
}
