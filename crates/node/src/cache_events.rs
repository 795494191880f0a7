//! Follows what engines keep in memory.
//!
//! Requests show what an engine has read, and not what it has dropped since. A belief that
//! outlives its part sends a prompt to be read again where another engine still holds it. Engines
//! admit few followers, so one node follows each engine and tells the others.

use std::{cell::RefCell, collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{ids::ServerKey, rendezvous::rendezvous_score, traffic::CacheChanges};
use tokio::time::sleep;

use crate::{
    channel::HttpChannel,
    clock,
    node::Node,
    notices::NodeNotice,
    salt::read_salt,
    store::build_request,
    wire::{CacheFeed, NodeWire},
};

/// Time between two looks at which engines this node follows.
const ASSIGN_TIME: Duration = Duration::from_millis(500);
/// Longest time that an engine holds a question back while it has no events.
const HOLD_TIME: Duration = Duration::from_millis(1_000);
/// Longest time for an answer, and for a connection.
const ANSWER_TIME: Duration = Duration::from_millis(2_000);
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Pause after an engine that did not answer.
const RETRY_TIME: Duration = Duration::from_millis(1_000);
/// Pause between two answers, in which further events gather.
const GATHER_TIME: Duration = Duration::from_millis(50);
/// Most bytes of an answer.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Parts in a notice at most, so that it fits into a datagram.
const NOTICE_PARTS: usize = 64;

/// Follows the engines of this node until the process ends.
pub async fn follow<W: NodeWire>(node: Rc<Node>) {
    let followed: Rc<RefCell<HashSet<String>>> = Rc::default();
    loop {
        sleep(ASSIGN_TIME).await;
        for instance in own_engines(&node) {
            if followed.borrow_mut().insert(instance.clone()) {
                let (node, followed) = (node.clone(), followed.clone());
                actix_rt::spawn(async move {
                    follow_engine::<W>(&node, &instance).await;
                    followed.borrow_mut().remove(&instance);
                });
            }
        }
    }
}

/// Instances of the engines that this node follows.
fn own_engines(node: &Node) -> Vec<String> {
    let state = node.state.borrow();
    let engines = state.roster.iter().filter(|(_, server)| server.has_kv_cache());
    let instances = engines.map(|(_, server)| server.listing.instance.as_str());
    instances.filter(|instance| is_own(node, instance)).map(str::to_string).collect()
}

fn is_own(node: &Node, instance: &str) -> bool {
    let state = node.state.borrow();
    let score =
        |name: &str| rendezvous_score(instance.as_bytes(), rendezvous_score(name.as_bytes(), 0));
    let own = score(&node.settings.name);
    !state.members.live().any(|member| score(&member.name) > own)
}

async fn follow_engine<W: NodeWire>(node: &Rc<Node>, instance: &str) {
    let mut since = 0;
    let mut epoch = None;
    let mut channel = None;
    while let Some((key, address)) = engine(node, instance).filter(|_| is_own(node, instance)) {
        let Some(feed) = ask::<W>(&mut channel, instance, address, since).await else {
            channel = None;
            sleep(RETRY_TIME).await;
            continue;
        };
        let restarted = epoch.is_some_and(|known| known != feed.epoch);
        epoch = Some(feed.epoch);
        if restarted {
            since = 0;
            continue;
        }
        since = feed.next;
        if feed.lost {
            log::info!(server = instance, next = feed.next; "missed cache events");
        }
        let news = node.state.borrow_mut().planner.cache.apply_events(
            clock::now(),
            key,
            feed.events
                .iter()
                .filter_map(|event| Some((read_salt(&event.salt)? ^ event.part, event.held))),
        );
        tell(node, instance, &news);
        sleep(GATHER_TIME).await;
    }
}

fn engine(node: &Node, instance: &str) -> Option<(ServerKey, SocketAddr)> {
    let state = node.state.borrow();
    let key = state.roster.key_of(instance)?;
    Some((key, state.roster.get(key)?.listing.address))
}

async fn ask<W: NodeWire>(
    channel: &mut Option<HttpChannel>,
    instance: &str,
    address: SocketAddr,
    since: u64,
) -> Option<CacheFeed> {
    let mut used = match channel.take().filter(HttpChannel::is_ready) {
        Some(kept) => kept,
        None => HttpChannel::open(address, CONNECT_TIME).await.ok()?,
    };
    let mut request = build_request(W::write_cache_events(since), address);
    W::name_instance(request.headers_mut(), instance);
    W::hold_events(request.headers_mut(), HOLD_TIME);
    let answer = used.call(request, ANSWER_TIME, ANSWER_BYTES).await.ok()?;
    *channel = Some(used);
    W::read_cache_events(answer.status(), answer.body())
}

/// Tells the other nodes what they cannot know from requests.
fn tell(node: &Node, instance: &str, news: &CacheChanges) {
    for (parts, held) in [(&news.added, true), (&news.removed, false)] {
        for parts in parts.chunks(NOTICE_PARTS) {
            let (instance, parts) = (instance.to_string(), parts.to_vec());
            node.tell_nodes(NodeNotice::Cached { instance, parts, held });
        }
    }
}

/// Takes what another node has learned of an engine.
pub fn on_notice(node: &Rc<Node>, instance: &str, parts: &[u64], held: bool) {
    let state = &mut *node.state.borrow_mut();
    if let Some(key) = state.roster.key_of(instance) {
        let events = parts.iter().map(|&part| (part, held));
        state.planner.cache.apply_events(clock::now(), key, events);
    }
}
