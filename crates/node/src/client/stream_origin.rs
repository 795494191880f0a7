//! Finds out at which software version a stream began that a client takes up again, and shares it
//! with the nodes at which that may happen.
//!
//! The nodes that hold the record of a stream are the same for every node that asks. A stream whose
//! version nobody knows does not continue, unless its service had only one.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    traffic::{SoftwareRule, StreamKey},
};
use tokio::time::{Instant, timeout_at};

use crate::{
    client::request_context::RequestContext,
    clock,
    fleet::{
        node_notice::NodeNotice,
        notice_transport::{self, NoticeSender},
        notices,
    },
    node::{Node, NodeState},
};

/// Time between two queries for the same stream, as datagrams get lost.
const QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// Number of times that a node is asked.
const QUERY_ROUNDS: u32 = 5;
/// What this node knows of the listed servers is trusted for this long after it was last compared with
/// the store or with another node.
const MIRROR_LIFETIME: Duration = Duration::from_secs(4);

/// Returns at which software versions a request may run. Asks other nodes if that is not known.
pub async fn find_rule(node: &Rc<Node>, context: &RequestContext) -> SoftwareRule {
    let info = &context.info;
    let continues = info.last_event.is_some() || info.first_attempt.is_some();
    if !context.is_stream() || !continues {
        return SoftwareRule::Any;
    }
    // Of a stream whose first attempt is not named, other nodes can only tell the service's version.
    let first_attempt = info.first_attempt.as_ref().unwrap_or(&info.request_id);
    let stream = StreamKey::of_attempt(first_attempt);
    let recorded = node.state.borrow().streams.origin(stream).map(str::to_string);
    let software = match recorded {
        Some(software) => Some(software),
        None => ask_nodes(node, context, stream).await,
    };
    log::info!(
        request = info.request_id, first_attempt:? = info.first_attempt, software:? = software,
        last_event:? = info.last_event;
        "client continues a stream"
    );
    let label = if software.is_some() { "known" } else { "unknown" };
    metrics::counter!("carobvane_resumed_streams_total", "software" => label).increment(1);
    software.map_or(SoftwareRule::Unknown, SoftwareRule::Only)
}

/// Returns the version of a stream as far as this node knows it, for another node or without one.
fn known_version(state: &NodeState, stream: StreamKey, service: &str) -> Option<String> {
    let now = clock::now();
    let recorded = state.streams.origin(stream);
    let is_current = now.since(state.mirror_checked_at) < MIRROR_LIFETIME;
    let only = state.streams.only_version(now, service).filter(|_| is_current);
    recorded.or(only).map(str::to_string)
}

/// Records at which software version the first event of a stream came, and shares it. `software` is
/// `None` if the version is not known.
pub fn record(node: &Node, context: &mut RequestContext, software: Option<&str>) {
    if context.software == SoftwareRule::Any {
        let software = software.map(str::to_string);
        context.software = software.map_or(SoftwareRule::Unknown, SoftwareRule::Only);
    }
    let SoftwareRule::Only(software) = &context.software else { return };
    let first_attempt = context.info.first_attempt.as_ref();
    let stream = StreamKey::of_attempt(first_attempt.unwrap_or(&context.info.request_id));
    node.state.borrow_mut().streams.record(clock::now(), stream, software);
    share(node, stream, software.clone());
}

/// Sends the record of a stream to its holders, whatever versions are listed: a server of another one
/// may join, or this node end, at any moment.
fn share(node: &Node, stream: StreamKey, software: String) {
    let holders = replicas(node, &node.state.borrow(), stream);
    let others = node.state.borrow().members.live().count().saturating_sub(1);
    let notice = NodeNotice::StreamOrigin { stream, software: Some(software) };
    if holders.len() == others {
        // Joins other notices in their datagrams.
        node.broadcast(notice);
    } else {
        notice_transport::send_to(node, holders, &notice);
    }
}

/// Answers another node that wants to know the version of a stream.
pub fn answer(node: &Node, from: NoticeSender, stream: StreamKey, service: &str) {
    let software = known_version(&node.state.borrow(), stream, service);
    notice_transport::reply(node, from, &NodeNotice::StreamOrigin { stream, software });
}

/// Applies what another node knows of a stream.
pub fn on_answer(node: &Rc<Node>, from: SocketAddr, stream: StreamKey, software: Option<String>) {
    if software.is_none()
        && let Some(query) = node.stream_queries.borrow_mut().get_mut(&stream)
    {
        query.unknown_at.insert(from);
    }
    notices::apply(node, NodeNotice::StreamOrigin { stream, software });
    node.stream_wake.notify_waiters();
}

/// Keeps the known software versions up to date.
pub fn tick(state: &mut NodeState, now: ClockTime) {
    for (_, server) in state.registry.iter() {
        let listing = &server.listing;
        state.streams.on_listed(now, &listing.service, listing.software.as_deref());
    }
    state.streams.expire(now);
}

/// Asks the nodes that hold the record of a stream until one knows it, none does, or the time for it
/// ends. This node may know of one version only because it is out of step, and servers of another one
/// began the stream, so its own knowledge counts only if it is the only node.
async fn ask_nodes(node: &Rc<Node>, context: &RequestContext, stream: StreamKey) -> Option<String> {
    let asked = replicas(node, &node.state.borrow(), stream);
    if asked.is_empty() {
        return known_version(&node.state.borrow(), stream, &context.service);
    }
    let _waiting = QueryGuard::start(node, stream);
    for _ in 0..QUERY_ROUNDS {
        let service = context.service.clone();
        let query = NodeNotice::StreamWanted { stream, service };
        notice_transport::send_to(node, asked.iter().copied(), &query);
        let next_round = Instant::now() + QUERY_INTERVAL;
        loop {
            let answered = node.stream_wake.notified();
            if let Some(known) = node.state.borrow().streams.origin(stream) {
                return Some(known.to_string());
            }
            let unknown_at =
                node.stream_queries.borrow().get(&stream).map_or(0, |query| query.unknown_at.len());
            if unknown_at >= asked.len() {
                return None;
            }
            if timeout_at(next_round, answered).await.is_err() {
                break;
            }
        }
    }
    None
}

/// Returns the addresses of the other nodes that hold the record of a stream.
fn replicas(node: &Node, state: &NodeState, stream: StreamKey) -> Vec<SocketAddr> {
    let others = || state.members.live().filter(|member| member.name != node.settings.name);
    let chosen = stream.replicas(others().map(|member| member.name.as_str()));
    let addresses = others().filter(|member| chosen.contains(&member.name.as_str()));
    addresses.map(|member| member.notice_address).collect()
}

/// Keeps a query while a request waits for it.
struct QueryGuard<'a> {
    node: &'a Node,
    stream: StreamKey,
}

impl<'a> QueryGuard<'a> {
    fn start(node: &'a Node, stream: StreamKey) -> QueryGuard<'a> {
        node.stream_queries.borrow_mut().entry(stream).or_default().waiting += 1;
        QueryGuard { node, stream }
    }
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        let queries = &mut *self.node.stream_queries.borrow_mut();
        let Some(query) = queries.get_mut(&self.stream) else { return };
        query.waiting -= 1;
        if query.waiting == 0 {
            queries.remove(&self.stream);
        }
    }
}
