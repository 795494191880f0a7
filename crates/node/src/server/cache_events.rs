//! Follows which prompt parts engines keep in their KV cache.
//!
//! Requests show what an engine has read, but not what it has dropped since. A record that outlives
//! its part sends a prompt to an engine that has to read it again, although another engine still
//! holds it. Engines admit few followers, so one node follows each engine and broadcasts the
//! changes.

use std::{cell::RefCell, collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{
    ids::ServerKey,
    rendezvous::rendezvous_score,
    traffic::{CacheChanges, LinkState},
};
use tokio::time::sleep;

use crate::{
    adapter::{CacheEventBatch, PlatformAdapter},
    clock,
    fleet::node_notice::NodeNotice,
    node::Node,
    server::{
        cache_salt::parse_salt,
        connection::HttpConnection,
        server_limits::{self, ServerCall, record_call},
        server_signals::record_signals,
    },
    store::client::build_request,
};

/// Time between two checks which engines this node follows.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which an engine holds back its response while it has no events.
const LONG_POLL_TIME: Duration = Duration::from_millis(1_000);
/// Timeouts of a response and of opening a connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after an engine did not respond.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause between two responses, in which further events accumulate.
const BATCH_PAUSE: Duration = Duration::from_millis(50);
/// Pause while a server's limit leaves no room to read its events.
const LIMITED_PAUSE: Duration = Duration::from_millis(500);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of parts in a notice, so that it fits into a datagram.
const MAX_NOTICE_PARTS: usize = 64;

/// Follows the engines that are assigned to this node until the process ends.
pub async fn follow_engines<A: PlatformAdapter>(node: Rc<Node>) {
    let followed: Rc<RefCell<HashSet<String>>> = Rc::default();
    loop {
        sleep(ASSIGNMENT_INTERVAL).await;
        for instance in assigned_engines(&node) {
            if followed.borrow_mut().insert(instance.clone()) {
                let (node, followed) = (node.clone(), followed.clone());
                actix_rt::spawn(async move {
                    follow_engine::<A>(&node, &instance).await;
                    followed.borrow_mut().remove(&instance);
                });
            }
        }
    }
}

/// Returns the instance names of the engines that this node follows.
fn assigned_engines(node: &Node) -> Vec<String> {
    let state = node.state.borrow();
    let engines = state.registry.iter().filter(|(_, server)| server.has_kv_cache());
    let instances = engines.map(|(_, server)| server.listing.instance.as_str());
    instances.filter(|instance| is_assigned(node, instance)).map(str::to_string).collect()
}

fn is_assigned(node: &Node, instance: &str) -> bool {
    let state = node.state.borrow();
    let score =
        |name: &str| rendezvous_score(instance.as_bytes(), rendezvous_score(name.as_bytes(), 0));
    let own = score(&node.settings.name);
    let is_linked = state.links.state() != LinkState::Lost;
    is_linked && !state.members.linked(clock::now()).any(|member| score(&member.name) > own)
}

async fn follow_engine<A: PlatformAdapter>(node: &Rc<Node>, instance: &str) {
    let mut since = 0;
    let mut epoch = None;
    let mut connection = None;
    while let Some((key, address)) = engine(node, instance).filter(|_| is_assigned(node, instance))
    {
        if !server_limits::may_read_events(&node.state.borrow(), key) {
            sleep(LIMITED_PAUSE).await;
            continue;
        }
        record_call(node, &mut node.state.borrow_mut(), key, ServerCall::CacheEvents);
        let Some(batch) =
            poll_events::<A>(node, &mut connection, (key, address), instance, since).await
        else {
            connection = None;
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let restarted = epoch.is_some_and(|known| known != batch.epoch);
        epoch = Some(batch.epoch);
        if restarted {
            since = 0;
            drop_parts(node, key, instance);
            continue;
        }
        since = batch.next;
        if batch.lost {
            log::info!(server = instance, next = batch.next; "missed cache events");
        }
        let changes = node.state.borrow_mut().planner.cache.apply_events(
            clock::now(),
            key,
            batch
                .events
                .iter()
                .filter_map(|event| Some((parse_salt(&event.salt)? ^ event.part, event.held))),
        );
        broadcast_changes(node, instance, &changes);
        sleep(BATCH_PAUSE).await;
    }
}

fn engine(node: &Node, instance: &str) -> Option<(ServerKey, SocketAddr)> {
    let state = node.state.borrow();
    let key = state.registry.key_of(instance)?;
    Some((key, state.registry.get(key)?.listing.address))
}

async fn poll_events<A: PlatformAdapter>(
    node: &Node,
    connection: &mut Option<HttpConnection>,
    (server, address): (ServerKey, SocketAddr),
    instance: &str,
    since: u64,
) -> Option<CacheEventBatch> {
    let mut used = match connection.take().filter(HttpConnection::is_ready) {
        Some(kept) => kept,
        None => HttpConnection::open(address, CONNECT_TIMEOUT).await.ok()?,
    };
    let mut request = build_request(A::encode_cache_events_query(since), address);
    A::set_target_instance(request.headers_mut(), instance);
    A::set_long_poll(request.headers_mut(), LONG_POLL_TIME);
    let response = used.call(request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await.ok()?;
    let head = A::decode_response(response.status(), response.headers());
    record_signals(node, &mut node.state.borrow_mut(), server, "", &head);
    *connection = Some(used);
    A::decode_cache_events(response.status(), response.body())
}

/// Drops what an engine held before it started again, and tells the other nodes.
fn drop_parts(node: &Node, server: ServerKey, instance: &str) {
    let cache = &mut node.state.borrow_mut().planner.cache;
    let held = cache.confirmed_parts(server);
    let events = held.into_iter().map(|part| (part, false));
    let changes = cache.apply_events(clock::now(), server, events);
    log::info!(server = instance, parts = changes.removed.len(); "an engine has started again with an empty cache");
    broadcast_changes(node, instance, &changes);
}

/// Broadcasts the changes that other nodes cannot infer from requests.
fn broadcast_changes(node: &Node, instance: &str, changes: &CacheChanges) {
    for (parts, held) in [(&changes.added, true), (&changes.removed, false)] {
        for parts in parts.chunks(MAX_NOTICE_PARTS) {
            let (instance, parts) = (instance.to_string(), parts.to_vec());
            node.broadcast(NodeNotice::Cached { instance, parts, held });
        }
    }
}

/// Applies what another node has learned about an engine.
pub fn apply_notice(node: &Rc<Node>, instance: &str, parts: &[u64], held: bool) {
    let state = &mut *node.state.borrow_mut();
    if let Some(key) = state.registry.key_of(instance) {
        let events = parts.iter().map(|&part| (part, held));
        state.planner.cache.apply_events(clock::now(), key, events);
    }
}
