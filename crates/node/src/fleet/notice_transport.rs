//! Sends notices to other nodes and receives theirs, as UDP datagrams.
//!
//! A lost notice costs a worse choice of a server, never a wrong response. That is why notices need
//! neither connections nor acknowledgements. What must reach all nodes is sent again by those who
//! send it, or kept in the platform's store as well.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    traffic::{
        DuplicateFilter, HEARTBEAT_INTERVAL, MIN_RELAYED_NODES, RelayPeer, RelayPlan, RelayTable,
        RelayTarget,
    },
};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    adapter::PlatformAdapter,
    clock,
    fleet::{
        members::MemberRecord,
        node_notice::NodeNotice,
        notices::receive_notice,
        wire::{
            WireFormat,
            batch::{self, BatchRoute, MAX_DATAGRAM_BYTES, SpreadScope},
            legacy,
        },
    },
    node::Node,
    settings::NodeSettings,
};

/// Notices that arise within this time are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// The same delay where notices are relayed; each relay waits as long.
const RELAYED_BATCH_DELAY: Duration = Duration::from_millis(40);

/// The sender of a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoticeSender {
    /// Address of its socket.
    pub address: SocketAddr,
    /// Format in which it writes and reads notices; `None` if that is not known.
    pub format: Option<WireFormat>,
    /// Incarnation of the node that the notice comes from; `None` in formats that do not name it.
    pub origin: Option<u64>,
}

impl NoticeSender {
    /// Number that tells the nodes apart that notices come from.
    pub fn number(&self) -> u64 {
        self.origin.unwrap_or_else(|| {
            carobvane_core::rendezvous::rendezvous_score(self.address.to_string().as_bytes(), 0)
        })
    }
}

/// What this node knows and has to do as a relay of notices.
#[derive(Debug, Default)]
pub struct NoticeRelay {
    table: RelayTable,
    duplicates: DuplicateFilter,
    /// Segments of other nodes to be passed on.
    pending: Vec<RelayedSegment>,
}

/// A segment of another node that this one is asked to relay.
#[derive(Debug)]
struct RelayedSegment {
    route: BatchRoute,
    bytes: Vec<u8>,
}

/// The other nodes, by the formats that they read.
#[derive(Debug, Default)]
struct Receivers {
    current: Vec<SocketAddr>,
    /// What relaying depends on, of the nodes in `current`, in the same order.
    peers: Vec<RelayPeer>,
    /// Nodes of earlier builds, with their formats as far as they are known.
    legacy: Vec<(SocketAddr, Option<WireFormat>)>,
}

impl Receivers {
    fn of_node(node: &Node) -> Receivers {
        let state = node.state.borrow();
        let mut receivers = Receivers::default();
        for other in state.members.receivers() {
            let address = other.record.notice_address;
            if other.record.name == node.settings.name {
                continue;
            }
            match other.format {
                Some(WireFormat::Cbor) => {
                    receivers.current.push(address);
                    receivers.peers.push(relay_peer(other.record, other.known_since));
                }
                format => receivers.legacy.push((address, format)),
            }
        }
        receivers
    }

    fn are_relayed(&self) -> bool {
        self.current.len() + self.legacy.len() >= MIN_RELAYED_NODES
    }
}

fn relay_peer(record: &MemberRecord, known_since: ClockTime) -> RelayPeer {
    let MemberRecord { name, incarnation, data_centre, link_mbps, .. } = record;
    RelayPeer::new(name, *incarnation, data_centre, *link_mbps, known_since)
}

fn own_peer(node: &Node) -> RelayPeer {
    let NodeSettings { name, data_centre, link_mbps, .. } = &node.settings;
    RelayPeer::new(name, node.incarnation, data_centre, *link_mbps, ClockTime::ZERO)
}

fn plan_relays(node: &Node, receivers: &Receivers) -> RelayPlan {
    node.relay.borrow().table.plan(clock::now(), own_peer(node), &receivers.peers)
}

/// Sends queued notices to the other nodes until the process ends.
pub async fn send_batches(node: Rc<Node>) {
    loop {
        node.outbox_wake.notified().await;
        let is_relayed = Receivers::of_node(&node).are_relayed();
        let delay = sleep(if is_relayed { RELAYED_BATCH_DELAY } else { BATCH_DELAY });
        tokio::select! {
            () = delay => {}
            () = node.outbox_flush.notified() => {}
        }
        send(&node, &Receivers::of_node(&node));
    }
}

/// Shows the nodes that rely on this one as a relay that it is alive, until the process ends.
pub async fn send_heartbeats(node: Rc<Node>) {
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        node.relay.borrow_mut().table.expire(clock::now());
        let receivers = Receivers::of_node(&node);
        if !receivers.are_relayed() {
            continue;
        }
        let heartbeat = batch::join_datagram(node.incarnation, BatchRoute::default(), &[]);
        for index in plan_relays(&node, &receivers).heartbeat_targets {
            send_datagram(&node.notice_socket, &heartbeat, receivers.current[index]);
        }
    }
}

/// Sends all queued notices of this node, and those that it relays.
fn send(node: &Node, receivers: &Receivers) {
    let notices = std::mem::take(&mut *node.outbox.borrow_mut());
    for (address, format) in &receivers.legacy {
        send_legacy(&node.notice_socket, *address, *format, &notices);
    }
    let relayed = std::mem::take(&mut node.relay.borrow_mut().pending);
    let plan = plan_relays(node, receivers);
    let (urgent, batched): (Vec<NodeNotice>, Vec<NodeNotice>) =
        notices.into_iter().partition(NodeNotice::is_urgent);
    for (is_urgent, notices) in [(true, urgent), (false, batched)] {
        let sender = BatchSender { node, receivers, plan: &plan, is_urgent };
        let mut numbers = || node.next_segment_number();
        let own = batch::encode_segments(node.incarnation, &mut numbers, &notices);
        let relayed = relayed.iter().filter(|relayed| relayed.route.is_urgent == is_urgent);
        if receivers.are_relayed() {
            sender.send_relayed(own, relayed);
        } else {
            sender.send_all(&own);
            sender.send_relayed(Vec::new(), relayed);
        }
    }
}

/// Sends segments of one urgency.
struct BatchSender<'a> {
    node: &'a Node,
    receivers: &'a Receivers,
    plan: &'a RelayPlan,
    is_urgent: bool,
}

impl BatchSender<'_> {
    /// Sends segments to all other nodes.
    fn send_all(&self, segments: &[Vec<u8>]) {
        self.send_to(SpreadScope::Receiver, 0..self.receivers.current.len(), segments);
    }

    /// Sends this node's segments by way of relays, and relays those of others.
    fn send_relayed<'a>(
        &self,
        own: Vec<Vec<u8>>,
        relayed: impl Iterator<Item = &'a RelayedSegment>,
    ) {
        let mut to_neighbours = Vec::new();
        let mut to_remote = Vec::new();
        for RelayedSegment { route, bytes } in relayed {
            to_neighbours.push(bytes.clone());
            if route.scope == SpreadScope::Fleet {
                to_remote.push(bytes.clone());
            }
        }
        let ways = if self.is_urgent { self.plan.relays.len() } else { 1 };
        for relay in self.plan.relays.iter().take(ways) {
            match relay {
                RelayTarget::Own => {
                    to_neighbours.extend_from_slice(&own);
                    to_remote.extend_from_slice(&own);
                }
                RelayTarget::Peer(index) => self.send_to(SpreadScope::Fleet, [*index], &own),
            }
        }
        let neighbours = self.plan.neighbours.iter().copied();
        self.send_to(SpreadScope::Receiver, neighbours, &to_neighbours);
        let remote_relays = self.plan.remote_relays.iter().copied();
        self.send_to(SpreadScope::DataCentre, remote_relays, &to_remote);
    }

    /// Sends segments to some nodes, by their positions among the receivers.
    fn send_to(
        &self,
        scope: SpreadScope,
        targets: impl IntoIterator<Item = usize>,
        segments: &[Vec<u8>],
    ) {
        let route = BatchRoute { scope, is_urgent: self.is_urgent };
        let datagrams = batch::pack_datagrams(self.node.incarnation, route, segments);
        for index in targets {
            for datagram in &datagrams {
                send_datagram(&self.node.notice_socket, datagram, self.receivers.current[index]);
            }
        }
    }
}

fn send_legacy(
    socket: &UdpSocket,
    address: SocketAddr,
    format: Option<WireFormat>,
    notices: &[NodeNotice],
) {
    for datagram in legacy::pack_datagrams(format, notices) {
        send_datagram(socket, &datagram, address);
    }
}

/// Sends a notice to some nodes at once.
pub fn send_to(node: &Node, addresses: impl IntoIterator<Item = SocketAddr>, notice: &NodeNotice) {
    for address in addresses {
        let format = node.state.borrow().members.format_at(address);
        reply(node, NoticeSender { address, format, origin: None }, notice);
    }
}

/// Sends a notice to the sender of another one, in the format of that.
pub fn reply(node: &Node, to: NoticeSender, notice: &NodeNotice) {
    let notices = std::slice::from_ref(notice);
    if to.format != Some(WireFormat::Cbor) {
        send_legacy(&node.notice_socket, to.address, to.format, notices);
        return;
    }
    let mut numbers = || node.next_segment_number();
    let segments = batch::encode_segments(node.incarnation, &mut numbers, notices);
    for datagram in batch::pack_datagrams(node.incarnation, BatchRoute::default(), &segments) {
        send_datagram(&node.notice_socket, &datagram, to.address);
    }
}

/// Sends a datagram. A full link drops datagrams as well; one that could not be sent is only counted.
fn send_datagram(socket: &UdpSocket, datagram: &[u8], address: SocketAddr) {
    if socket.try_send_to(datagram, address).is_err() {
        metrics::counter!("carobvane_notices_unsent_total").increment(1);
    }
}

/// Whether a notice fits into one datagram of every format.
pub fn fits_datagram(notice: &NodeNotice) -> bool {
    let notices = std::slice::from_ref(notice);
    let fits_legacy = !legacy::pack_datagrams(Some(WireFormat::Postcard), notices).is_empty();
    fits_legacy && !batch::encode_segments(0, &mut || 0, notices).is_empty()
}

/// Applies the notices of other nodes until the process ends.
pub async fn receive_batches<A: PlatformAdapter>(node: Rc<Node>) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        match node.notice_socket.recv_from(&mut buffer).await {
            Ok((length, from)) => receive_datagram::<A>(&node, from, &buffer[..length]),
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to receive notices");
                sleep(BATCH_DELAY).await;
            }
        }
    }
}

fn receive_datagram<A: PlatformAdapter>(node: &Rc<Node>, from: SocketAddr, bytes: &[u8]) {
    let is_legacy = bytes.first().is_some_and(|first| *first <= legacy::MAX_NOTICES);
    if is_legacy {
        let format = node.state.borrow().members.format_at(from);
        match legacy::decode_notices(format, bytes) {
            Ok(notices) => {
                let sender = NoticeSender { address: from, format, origin: None };
                notices.into_iter().for_each(|notice| receive_notice::<A>(node, sender, notice));
            }
            Err(cause) => drop_datagram(from, &cause),
        }
        return;
    }
    match batch::decode_batch(bytes) {
        Ok(decoded) => {
            node.relay.borrow_mut().table.on_heard(clock::now(), decoded.sender);
            for segment in &decoded.segments {
                let is_new =
                    node.relay.borrow_mut().duplicates.is_new(segment.origin, segment.number);
                if is_new && segment.origin != node.incarnation {
                    queue_relayed(node, decoded.route, segment.bytes);
                    receive_segment::<A>(node, from, segment);
                }
            }
        }
        Err(cause) => drop_datagram(from, &cause),
    }
}

/// Queues a segment that this node is asked to relay.
fn queue_relayed(node: &Node, route: BatchRoute, segment: &[u8]) {
    if route.scope == SpreadScope::Receiver {
        return;
    }
    node.relay.borrow_mut().pending.push(RelayedSegment { route, bytes: segment.to_vec() });
    node.outbox_wake.notify_one();
    if route.is_urgent {
        node.outbox_flush.notify_one();
    }
}

fn receive_segment<A: PlatformAdapter>(
    node: &Rc<Node>,
    from: SocketAddr,
    segment: &batch::NoticeSegment<'_>,
) {
    match segment.decode() {
        Ok(decoded) => {
            if decoded.skipped > 0 {
                metrics::counter!("carobvane_notices_skipped_total")
                    .increment(decoded.skipped as u64);
            }
            let origin = Some(segment.origin);
            let sender = NoticeSender { address: from, format: Some(WireFormat::Cbor), origin };
            for notice in decoded.notices {
                receive_notice::<A>(node, sender, notice);
            }
        }
        Err(cause) => drop_datagram(from, &cause),
    }
}

fn drop_datagram(from: SocketAddr, cause: &impl std::fmt::Display) {
    metrics::counter!("carobvane_notices_malformed_total").increment(1);
    log::debug!(from:% = from, cause:% = cause; "failed to decode notices");
}
