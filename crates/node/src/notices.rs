//! What nodes tell each other about backend servers, as datagrams.
//!
//! Notices only help: a lost one costs a worse choice of a server, never a wrong answer. That is
//! why they need neither connections nor acknowledgements.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{
    ids::WeightsVersion,
    suspects::SuspectFingerprint,
    traffic::{CacheConfidence, PromptPart, ServerLoad},
};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    cache_events, clock, fleet,
    node::Node,
    wire::{NodeWire, StoreEvent},
};

/// Most bytes of a datagram, below the usual size of a packet.
const DATAGRAM_BYTES: usize = 1_200;
/// Notices that arise within this time are sent together.
const GATHER_TIME: Duration = Duration::from_millis(4);
/// The same in a fleet of [`LARGE_FLEET`] nodes and more.
const LARGE_GATHER_TIME: Duration = Duration::from_millis(100);
/// Nodes from which on notices are gathered for longer.
const LARGE_FLEET: usize = 40;

/// What a node tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum NodeNotice {
    /// A server is to load weights and takes no requests meanwhile.
    Loading {
        /// Instance of the server.
        instance: String,
        /// How long it may take at most.
        longest: Duration,
    },
    /// A server takes requests again.
    Released {
        /// Instance of the server.
        instance: String,
    },
    /// A server holds new weights.
    Loaded {
        /// Instance of the server.
        instance: String,
        /// The model.
        model: String,
        /// The version.
        version: WeightsVersion,
    },
    /// A request with a prompt was sent to a server.
    Sent {
        /// Instance of the server.
        instance: String,
        /// Number of the request.
        request: u64,
        /// Prompt tokens that the server has to read.
        tokens: u32,
        /// Identity under which it will hold `parts`.
        salt: u64,
        /// Shared parts of the prompt.
        parts: Vec<PromptPart>,
    },
    /// A server answered a request.
    Answered {
        /// Instance of the server.
        instance: String,
        /// Number of the request.
        request: u64,
        /// Its load, if it told.
        load: Option<ServerLoad>,
        /// Identity under which it now holds `parts`.
        salt: u64,
        /// Shared parts of the prompt; empty if the request failed.
        parts: Vec<PromptPart>,
        /// Whether the server saves the parts to the store of KV cache.
        saves: bool,
    },
    /// An engine keeps parts, or has dropped them.
    Cached {
        /// Instance of the engine.
        instance: String,
        /// Identities of the parts under their salts.
        parts: Vec<u64>,
        /// Whether they are kept.
        held: bool,
    },
    /// The store of KV cache can be used, or not.
    CacheStore {
        /// Whether it answers.
        up: bool,
        /// Number of its life.
        epoch: u64,
    },
    /// A server did not answer.
    Silent {
        /// Instance of the server.
        instance: String,
    },
    /// All changes that a revision of the platform's store brought.
    Changed {
        /// Revision of the change before.
        after: u64,
        /// The changes; a lease that ends removes several keys at one revision.
        events: Vec<StoreEvent>,
    },
    /// There is a change in the platform's store that is too large for a notice.
    Behind {
        /// Its revision.
        revision: u64,
    },
    /// A run of a request broke at a server.
    Crash {
        /// The request.
        fingerprint: SuspectFingerprint,
        /// The server's life.
        life: u64,
    },
}

/// Applies a notice, of another node or of this one.
pub fn apply(node: &Rc<Node>, notice: NodeNotice) {
    let now = clock::now();
    if let NodeNotice::Cached { instance, parts, held } = &notice {
        return cache_events::on_notice(node, instance, parts, *held);
    }
    let state = &mut *node.state.borrow_mut();
    match notice {
        NodeNotice::Loading { instance, longest } => {
            if let Some(server) = state.roster.get_instance_mut(&instance) {
                server.loading_until = now + longest;
            }
        }
        NodeNotice::Released { instance } => {
            if let Some(server) = state.roster.get_instance_mut(&instance) {
                server.loading_until = now;
            }
        }
        NodeNotice::Loaded { instance, model, version } => {
            if let Some(key) = state.roster.key_of(&instance) {
                state.on_weights(key, &model, version);
            }
        }
        NodeNotice::Sent { instance, request, tokens, salt, parts } => {
            let Some(key) = state.roster.key_of(&instance) else { return };
            if let Some(server) = state.roster.get_mut(key) {
                server.prefill_backlog.add(now, request, tokens);
            }
            state.planner.cache.record(now, key, salt, &parts, CacheConfidence::Expected);
        }
        NodeNotice::CacheStore { up, epoch } => state.on_cache_store(up, epoch),
        NodeNotice::Answered { instance, request, load, salt, parts, saves } => {
            let Some(key) = state.roster.key_of(&instance) else { return };
            let Some(server) = state.roster.get_mut(key) else { return };
            server.prefill_backlog.remove(request);
            if let Some(load) = load {
                server.health.on_load_report(now, load);
            }
            state.planner.cache.record(now, key, salt, &parts, CacheConfidence::Confirmed);
            if saves {
                state.planner.cache.record_stored(now, salt, &parts);
            }
        }
        NodeNotice::Silent { instance } => {
            if let Some(server) = state.roster.get_instance_mut(&instance) {
                server.health.on_peer_no_response(now);
            }
        }
        // The part that follows the store takes these.
        NodeNotice::Changed { .. } | NodeNotice::Behind { .. } | NodeNotice::Cached { .. } => {}
        NodeNotice::Crash { fingerprint, life } => {
            state.crashes.on_crash(now, fingerprint, life);
        }
    }
}

/// Sends notices to the other nodes until the process ends.
pub async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        node.outbox_wake.notified().await;
        let others = other_nodes(&node);
        let large = others.len() >= LARGE_FLEET;
        sleep(if large { LARGE_GATHER_TIME } else { GATHER_TIME }).await;
        let notices = std::mem::take(&mut *node.outbox.borrow_mut());
        for datagram in pack(&notices) {
            for address in &others {
                // A full link drops datagrams as well; both are only counted.
                if socket.try_send_to(&datagram, *address).is_err() {
                    metrics::counter!("carobvane_notices_unsent_total").increment(1);
                }
            }
        }
    }
}

/// Applies the notices of other nodes until the process ends.
pub async fn receive<W: NodeWire>(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                match postcard::from_bytes::<Vec<NodeNotice>>(&buffer[..length]) {
                    Ok(notices) => {
                        notices.into_iter().for_each(|notice| receive_one::<W>(&node, notice))
                    }
                    Err(cause) => {
                        log::debug!(from:% = from, cause:% = cause; "failed to decode notices")
                    }
                }
            }
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to receive notices");
                sleep(GATHER_TIME).await;
            }
        }
    }
}

fn receive_one<W: NodeWire>(node: &Rc<Node>, notice: NodeNotice) {
    match notice {
        NodeNotice::Changed { after, events } => fleet::apply_change::<W>(node, after, events),
        NodeNotice::Behind { revision } => fleet::catch_up(node, revision),
        notice => apply(node, notice),
    }
}

/// Whether a notice fits into a datagram.
pub fn fits(notice: &NodeNotice) -> bool {
    encode(std::slice::from_ref(notice)).len() <= DATAGRAM_BYTES
}

/// Packs notices into as few datagrams as hold them.
fn pack(notices: &[NodeNotice]) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut from = 0;
    while from < notices.len() {
        let mut count = (notices.len() - from).min(16);
        let mut bytes = encode(&notices[from..from + count]);
        while bytes.len() > DATAGRAM_BYTES && count > 1 {
            count /= 2;
            bytes = encode(&notices[from..from + count]);
        }
        if bytes.len() <= DATAGRAM_BYTES {
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

fn other_nodes(node: &Rc<Node>) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let others = state.members.live().filter(|record| record.name != node.settings.name);
    others.map(|record| record.notices).collect()
}
