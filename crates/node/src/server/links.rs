//! Finds out whether this node or the servers are to blame when it reaches none of them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{
    ids::ServerKey,
    traffic::{BLAME_DELAY, BlamedServer, LinkCheck, LinkFailure, LinkState},
};
use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    clock,
    fleet::{
        node_notice::NodeNotice,
        notice_transport::{self, NoticeSender},
    },
    node::{Node, NodeState},
    server::{crashes, pool::CONNECT_TIMEOUT, server_outcomes, silent_servers},
    tcp,
};

/// Longest time between two looks at whether a check is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Links are noticed as lost at most this long after they were. Runs that ended without a response in this
/// time say nothing about their servers.
const LOSS_NOTICE_TIME: Duration = Duration::from_secs(5);
/// Number of servers that a check tries to reach.
const CHECKED_SERVERS: usize = 4;
/// Number of other nodes that a check asks.
const ASKED_NODES: usize = 8;
/// Number of times that they are asked, as datagrams get lost, and the time between.
const ASK_ROUNDS: u32 = 4;
const ASK_INTERVAL: Duration = Duration::from_millis(110);

/// Records that a server failed, as this node sees it. The server is blamed once the links are known to
/// work.
pub fn record_failure(node: &Node, server: ServerKey, failure: LinkFailure) {
    let state = &mut *node.state.borrow_mut();
    let has_others = state.registry.has_others(server);
    state.links.on_failure(clock::now(), server, failure, has_others);
    node.links_wake.notify_one();
    blame_servers(node, state);
}

/// Records that a server responded over an open connection.
pub fn record_heard(node: &Node, state: &mut NodeState, server: ServerKey) {
    state.links.on_heard(clock::now(), server);
    silent_servers::on_heard(node, state, server);
    blame_servers(node, state);
}

/// Records that a connection to a server was opened.
pub fn record_connected(node: &Node, server: ServerKey) {
    let state = &mut *node.state.borrow_mut();
    let before = state.links.state();
    state.links.on_connected(clock::now(), server);
    blame_servers(node, state);
    apply_state(node, state, before);
}

/// Tells other nodes of the servers that are to blame for failures, and counts the crashes of those
/// whose connections broke.
fn blame_servers(node: &Node, state: &mut NodeState) {
    for BlamedServer { server, failure } in state.links.take_blamed() {
        if failure == LinkFailure::Unreachable {
            crashes::record_unreachable(node, state, server);
        }
        if failure.shows_silence() {
            server_outcomes::tell_unresponsive(node, state, server);
        }
        silent_servers::report_failure(node, state, server);
        if failure.shows_end() {
            crashes::record_server_lost(node, state, server);
        }
    }
}

/// Checks the links whenever they are in doubt or lost, until the process ends.
pub async fn watch(node: Rc<Node>) {
    loop {
        // The wait ends early when the links come into doubt.
        if timeout(CHECK_INTERVAL, node.links_wake.notified()).await.is_ok() {
            // Usually, another server is heard in this time.
            sleep(BLAME_DELAY).await;
        }
        if !node.state.borrow().links.needs_check(clock::now()) {
            continue;
        }
        let check = check(&node).await;
        apply_check(&node, check);
        if node.state.borrow().links.state() == LinkState::Lost {
            node.broadcast(NodeNotice::Unlinked { name: node.settings.name.clone() });
            sleep(CHECK_INTERVAL).await;
        }
    }
}

async fn check(node: &Rc<Node>) -> LinkCheck {
    if reaches_server(node).await {
        return LinkCheck::Reached;
    }
    let is_lost = node.state.borrow().links.state() == LinkState::Lost;
    if is_lost || others_reach(node).await {
        return LinkCheck::OthersReach;
    }
    LinkCheck::NobodyReaches
}

fn apply_check(node: &Node, check: LinkCheck) {
    let state = &mut *node.state.borrow_mut();
    let before = state.links.state();
    state.links.on_checked(clock::now(), check);
    log::info!(check:? = check; "checked the links to the servers");
    blame_servers(node, state);
    apply_state(node, state, before);
}

/// Applies what follows from a change of the state of the links.
fn apply_state(node: &Node, state: &mut NodeState, before: LinkState) {
    let now = state.links.state();
    if now == before {
        return;
    }
    log::warn!(before:? = before, now:? = now; "links to the servers changed");
    metrics::gauge!("carobvane_links_lost").set(f64::from(u8::from(now == LinkState::Lost)));
    match (before, now) {
        // They may look open although nothing comes over them any more.
        (_, LinkState::Lost) => {
            node.pool.close_idle();
            state.crashes.on_links_lost(clock::now() - LOSS_NOTICE_TIME);
        }
        (LinkState::Lost, _) => forgive_servers(state),
        _ => {}
    }
}

/// Forgets failures of servers that were due to this node's links.
fn forgive_servers(state: &mut NodeState) {
    let servers: Vec<ServerKey> = state.registry.iter().map(|(key, _)| key).collect();
    for key in servers {
        if let Some(server) = state.registry.get_mut(key) {
            server.health.forget_failures();
        }
    }
}

/// Tries to connect to some servers at the same time. Returns whether one of them is reached.
async fn reaches_server(node: &Rc<Node>) -> bool {
    let servers: Vec<(ServerKey, SocketAddr)> = {
        let state = &mut *node.state.borrow_mut();
        let known = state.registry.iter().map(|(key, server)| (key, server.listing.address));
        known.choose_multiple(&mut state.rng, CHECKED_SERVERS)
    };
    let attempts = servers.into_iter().map(|(key, address)| async move {
        let opened = timeout(CONNECT_TIMEOUT, tcp::connect(address)).await;
        opened.is_ok_and(|opened| opened.is_ok()).then_some(key)
    });
    let mut attempts: FuturesUnordered<_> = attempts.collect();
    while let Some(reached) = attempts.next().await {
        if let Some(server) = reached {
            record_connected(node, server);
            return true;
        }
    }
    false
}

/// Asks other nodes whether they reach a server. Returns whether one does.
async fn others_reach(node: &Rc<Node>) -> bool {
    let asked: Vec<SocketAddr> = {
        let state = &mut *node.state.borrow_mut();
        let others = state.members.live().filter(|member| member.name != node.settings.name);
        others.map(|member| member.notice_address).choose_multiple(&mut state.rng, ASKED_NODES)
    };
    node.link_answers.borrow_mut().clear();
    for _ in 0..ASK_ROUNDS {
        notice_transport::send_to(node, asked.iter().copied(), &NodeNotice::LinksWanted);
        let next_round = Instant::now() + ASK_INTERVAL;
        loop {
            let answered = node.links_answered.notified();
            {
                let answers = node.link_answers.borrow();
                if answers.values().any(|reaches| *reaches) {
                    return true;
                }
                if answers.len() >= asked.len() {
                    return false;
                }
            }
            if timeout_at(next_round, answered).await.is_err() {
                break;
            }
        }
    }
    false
}

/// Answers another node that wants to know whether this one reaches a server.
pub async fn answer(node: Rc<Node>, from: NoticeSender) {
    let reaches =
        node.state.borrow().links.serves_others(clock::now()) || reaches_server(&node).await;
    notice_transport::reply(&node, from, &NodeNotice::Links { reaches });
}

/// Records whether another node reaches a server.
pub fn on_answer(node: &Node, from: SocketAddr, reaches: bool) {
    node.link_answers.borrow_mut().insert(from, reaches);
    node.links_answered.notify_waiters();
}
