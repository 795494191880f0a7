//! Notices that nodes send to each other about backend servers and store changes, as UDP datagrams.
//!
//! A lost notice costs a worse choice of a server, never a wrong response. That is why notices need
//! neither connections nor acknowledgements. Crash records, which later notices repeat whole, are
//! also kept in the platform's store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::traffic::CacheConfidence;
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    adapter::PlatformAdapter, cache_events, clock, crashes, links, node::Node,
    node_notice::NodeNotice, server_limits, server_signals, store_sync, stream_origin,
};

/// Maximum size of a datagram, below the usual packet size.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Notices that arise within this time are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// The same delay in a fleet of at least [`LARGE_FLEET_NODES`] nodes.
const LARGE_FLEET_BATCH_DELAY: Duration = Duration::from_millis(100);
/// A server was alive this long before a notice that it responded, at the latest. Longer than any
/// batch delay and the time on the way.
const NOTICE_AGE: Duration = Duration::from_millis(250);
/// Number of other nodes from which on the longer batch delay applies.
const LARGE_FLEET_NODES: usize = 40;

/// Applies a notice from another node or from this one.
pub fn apply(node: &Rc<Node>, notice: NodeNotice) {
    let now = clock::now();
    if let NodeNotice::Cached { instance, parts, held } = &notice {
        return cache_events::apply_notice(node, instance, parts, *held);
    }
    let state = &mut *node.state.borrow_mut();
    match notice {
        NodeNotice::Loading { instance, longest } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                server.loading_until = now + longest;
            }
        }
        NodeNotice::Released { instance } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                server.loading_until = now;
            }
        }
        NodeNotice::Loaded { instance, model, version } => {
            if let Some(key) = state.registry.key_of(&instance) {
                state.update_weights(key, &model, version);
            }
        }
        NodeNotice::Sent { instance, request, tokens, salt, parts } => {
            let Some(key) = state.registry.key_of(&instance) else { return };
            if let Some(server) = state.registry.get_mut(key) {
                server.prefill_backlog.add(now, request, tokens);
            }
            state.planner.cache.record(now, key, salt, &parts, CacheConfidence::Expected);
        }
        NodeNotice::CacheStore { up, epoch } => state.update_cache_store(up, epoch),
        NodeNotice::Answered { instance, request, load, salt, parts, saves } => {
            let Some(key) = state.registry.key_of(&instance) else { return };
            let Some(server) = state.registry.get_mut(key) else { return };
            server.prefill_backlog.remove(request);
            if let Some(load) = load {
                server.health.on_load_report(now, load);
                state.crashes.on_server_alive(key, now - NOTICE_AGE);
            }
            state.planner.cache.record(now, key, salt, &parts, CacheConfidence::Confirmed);
            if saves {
                state.planner.cache.record_stored(now, salt, &parts);
            }
        }
        NodeNotice::Leaving { instance, started_at_ms } => {
            server_signals::apply_leaving(state, &instance, started_at_ms);
        }
        NodeNotice::Silent { instance } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                if !server.health.is_suspected(now) {
                    log::info!(server = instance; "another node got no response from a server");
                }
                metrics::counter!("carobvane_silent_servers_total", "source" => "peer")
                    .increment(1);
                server.health.on_peer_no_response(now);
                server.health.on_connection_lost(now);
            }
        }
        NodeNotice::StreamOrigin { stream, software: Some(software) } => {
            state.streams.record(now, stream, &software);
        }
        NodeNotice::Brittle { service, limit } => {
            server_limits::apply_brittle(node, state, &service, limit);
        }
        NodeNotice::InFlight { instance, sender, count } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                server.brittle.on_told_in_flight(now, sender, count);
            }
        }
        NodeNotice::Rejected { instance, waiting } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                server.brittle.on_rejected(now, waiting);
            }
        }
        NodeNotice::Unlinked { name } => state.members.on_unlinked(now, name),
        // Store changes are applied by `store_sync`, cache events above, queries by `receive_notice`.
        NodeNotice::Changed { .. }
        | NodeNotice::Behind { .. }
        | NodeNotice::Cached { .. }
        | NodeNotice::StreamWanted { .. }
        | NodeNotice::LinksWanted
        | NodeNotice::Links { .. }
        | NodeNotice::StreamOrigin { software: None, .. } => {}
        NodeNotice::Crashes(report) => crashes::apply_notice(node, state, &report),
        NodeNotice::Limited { instance, sender, statement, sent } => {
            server_limits::apply_notice(node, state, &instance, statement, (sender, sent));
        }
    }
}

/// Sends queued notices to the other nodes until the process ends.
pub async fn send_batches(node: Rc<Node>) {
    loop {
        node.outbox_wake.notified().await;
        let others = other_node_addresses(&node);
        let large = others.len() >= LARGE_FLEET_NODES;
        let delay = sleep(if large { LARGE_FLEET_BATCH_DELAY } else { BATCH_DELAY });
        tokio::select! {
            () = delay => {}
            () = node.outbox_flush.notified() => {}
        }
        let notices = std::mem::take(&mut *node.outbox.borrow_mut());
        for datagram in pack_datagrams(&notices) {
            for address in &others {
                send_datagram(&node.notice_socket, &datagram, *address);
            }
        }
    }
}

/// Applies the notices of other nodes until the process ends.
pub async fn receive_batches<A: PlatformAdapter>(node: Rc<Node>) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        match node.notice_socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                match postcard::from_bytes::<Vec<NodeNotice>>(&buffer[..length]) {
                    Ok(notices) => notices
                        .into_iter()
                        .for_each(|notice| receive_notice::<A>(&node, from, notice)),
                    Err(cause) => {
                        log::debug!(from:% = from, cause:% = cause; "failed to decode notices")
                    }
                }
            }
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to receive notices");
                sleep(BATCH_DELAY).await;
            }
        }
    }
}

fn receive_notice<A: PlatformAdapter>(node: &Rc<Node>, from: SocketAddr, notice: NodeNotice) {
    match notice {
        NodeNotice::StreamWanted { stream, service } => {
            stream_origin::answer(node, from, stream, &service);
        }
        NodeNotice::LinksWanted => drop(actix_rt::spawn(links::answer(node.clone(), from))),
        NodeNotice::Links { reaches } => links::on_answer(node, from, reaches),
        NodeNotice::StreamOrigin { stream, software } => {
            stream_origin::on_answer(node, from, stream, software);
        }
        NodeNotice::Changed { after, events } => {
            store_sync::apply_announced_change::<A>(node, after, events)
        }
        NodeNotice::Behind { revision } => store_sync::schedule_catch_up(node, revision),
        notice => apply(node, notice),
    }
}

/// Sends a notice to some nodes at once.
pub fn send_to(node: &Node, addresses: impl IntoIterator<Item = SocketAddr>, notice: &NodeNotice) {
    let datagram = encode(std::slice::from_ref(notice));
    for address in addresses {
        send_datagram(&node.notice_socket, &datagram, address);
    }
}

/// Sends a datagram. A full link drops datagrams as well; one that could not be sent is only counted.
fn send_datagram(socket: &UdpSocket, datagram: &[u8], address: SocketAddr) {
    if socket.try_send_to(datagram, address).is_err() {
        metrics::counter!("carobvane_notices_unsent_total").increment(1);
    }
}

/// Whether a notice fits into one datagram.
pub fn fits_datagram(notice: &NodeNotice) -> bool {
    encode(std::slice::from_ref(notice)).len() <= MAX_DATAGRAM_BYTES
}

/// Packs notices into datagrams. A notice that exceeds a datagram by itself is dropped.
fn pack_datagrams(notices: &[NodeNotice]) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut from = 0;
    while from < notices.len() {
        let mut count = (notices.len() - from).min(16);
        let mut bytes = encode(&notices[from..from + count]);
        while bytes.len() > MAX_DATAGRAM_BYTES && count > 1 {
            count /= 2;
            bytes = encode(&notices[from..from + count]);
        }
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            datagrams.push(bytes);
        }
        from += count;
    }
    datagrams
}

fn encode(notices: &[NodeNotice]) -> Vec<u8> {
    postcard::to_stdvec(notices).unwrap_or_else(|cause| {
        log::error!(cause:% = cause; "failed to encode notices");
        Vec::new()
    })
}

fn other_node_addresses(node: &Rc<Node>) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let others = state.members.live().filter(|record| record.name != node.settings.name);
    others.map(|record| record.notice_address).collect()
}
