//! What nodes tell each other: copies of the platform's items, servers that load weights, and
//! requests that crash servers. All of it only helps; nothing depends on its arrival.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use carobvane_core::{ids::WeightsVersion, suspects::SuspectFingerprint};
use futures::future::join_all;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    answers,
    body::AnswerBody,
    channel::{ChannelError, HttpChannel, read_whole},
    clock,
    fleet::StoreMirror,
    ingress::RequestHandler,
    node::Node,
    store::build_request,
    wire::WireQuery,
};

/// Path of the copy of the platform's items.
const MIRROR_PATH: &str = "/mirror";
/// Path of notices.
const NOTICE_PATH: &str = "/notices";
/// Longest time for one exchange with a node.
const PEER_TIME: Duration = Duration::from_millis(600);
/// Most bytes of a message.
const MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Notices that arise within this time are sent together.
const GATHER_TIME: Duration = Duration::from_millis(2);

/// What a node tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerNotice {
    /// A server was ordered to load weights and takes no requests meanwhile.
    Loading {
        /// Instance of the server.
        instance: String,
        /// How long it is expected to take.
        expected: Duration,
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
    /// A run of a request broke at a server.
    Crash {
        /// The request.
        fingerprint: SuspectFingerprint,
        /// The server's life.
        life: u64,
    },
}

/// Answers other nodes.
pub struct PeerHandler {
    /// This node.
    pub node: Rc<Node>,
}

impl RequestHandler for PeerHandler {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, MIRROR_PATH) => self.send_mirror(&request),
            (&Method::POST, NOTICE_PATH) => self.take_notices(request).await,
            _ => answers::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl PeerHandler {
    fn send_mirror(&self, request: &Request<Incoming>) -> Response<AnswerBody> {
        let known = request.uri().query().and_then(|query| query.parse().ok()).unwrap_or(0);
        let state = self.node.state.borrow();
        if state.mirror.revision <= known {
            return answers::empty(StatusCode::NO_CONTENT);
        }
        match postcard::to_stdvec(&state.mirror) {
            Ok(bytes) => Response::new(AnswerBody::whole(bytes)),
            Err(cause) => {
                log::error!(cause:% = cause; "failed to encode the copy of the store");
                answers::empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    async fn take_notices(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let decoded = match read_whole(request.into_body(), MESSAGE_BYTES).await {
            Ok(body) => postcard::from_bytes::<Vec<PeerNotice>>(&body),
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to read notices");
                return answers::empty(StatusCode::BAD_REQUEST);
            }
        };
        match decoded {
            Ok(notices) => {
                notices.into_iter().for_each(|notice| apply(&self.node, notice));
                answers::empty(StatusCode::NO_CONTENT)
            }
            Err(cause) => {
                log::warn!(cause:% = cause; "failed to decode notices");
                answers::empty(StatusCode::BAD_REQUEST)
            }
        }
    }
}

/// Applies a notice, of another node or of this one.
pub fn apply(node: &Rc<Node>, notice: PeerNotice) {
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    match notice {
        PeerNotice::Loading { instance, expected } => {
            let server = state.roster.key_of(&instance).and_then(|key| state.roster.get_mut(key));
            if let Some(server) = server {
                server.loading_until = now + expected;
            }
        }
        PeerNotice::Loaded { instance, model, version } => {
            if let Some(key) = state.roster.key_of(&instance) {
                state.on_weights(key, &model, version);
            }
        }
        PeerNotice::Crash { fingerprint, life } => {
            state.crashes.on_crash(now, fingerprint, life);
        }
    }
}

/// Sends notices to the other nodes until the process ends.
pub async fn send_notices(node: Rc<Node>) {
    loop {
        node.outbox_wake.notified().await;
        sleep(GATHER_TIME).await;
        let notices = std::mem::take(&mut *node.outbox.borrow_mut());
        match postcard::to_stdvec(&notices) {
            Ok(body) => {
                let body = Bytes::from(body);
                let others = other_nodes(&node);
                join_all(others.into_iter().map(|address| send_to(address, body.clone()))).await;
            }
            Err(cause) => log::error!(cause:% = cause; "failed to encode notices"),
        }
    }
}

async fn send_to(address: SocketAddr, body: Bytes) {
    let query = WireQuery { method: Method::POST, target: NOTICE_PATH.to_string(), body };
    if let Err(cause) = exchange(address, query).await {
        log::debug!(to:% = address, cause:% = cause; "failed to send notices");
    }
}

/// Reads another node's copy of the platform's items if it is newer than `known`.
pub async fn read_mirror(node: &Rc<Node>, known: u64) -> Result<Option<StoreMirror>, ChannelError> {
    let mut addresses = other_nodes(node);
    if addresses.is_empty() {
        addresses.clone_from(&node.settings.seeds);
        addresses.retain(|address| *address != node.settings.peers);
    }
    let chosen = addresses.choose(&mut node.state.borrow_mut().rng).copied();
    let Some(address) = chosen else { return Ok(None) };
    let target = format!("{MIRROR_PATH}?{known}");
    let query = WireQuery { method: Method::GET, target, body: Bytes::new() };
    let answer = exchange(address, query).await?;
    if answer.status() != StatusCode::OK {
        return Ok(None);
    }
    let mirror = postcard::from_bytes(answer.body());
    mirror.map(Some).map_err(|cause| ChannelError::Broken(cause.to_string()))
}

async fn exchange(address: SocketAddr, query: WireQuery) -> Result<Response<Bytes>, ChannelError> {
    let mut channel = HttpChannel::open(address, PEER_TIME).await?;
    channel.call(build_request(query, address), PEER_TIME, MESSAGE_BYTES).await
}

fn other_nodes(node: &Rc<Node>) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let others = state.members.live().filter(|record| record.name != node.settings.name);
    others.map(|record| record.peers).collect()
}
