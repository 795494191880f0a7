//! Copies of the platform's items, which nodes read from each other while the store does not
//! answer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::IndexedRandom;

use crate::{
    answers,
    body::AnswerBody,
    channel::{ChannelError, HttpChannel},
    fleet::StoreMirror,
    ingress::RequestHandler,
    node::Node,
    store::build_request,
    wire::WireQuery,
};

/// Path of the copy of the platform's items.
const MIRROR_PATH: &str = "/mirror";
/// Longest time for one exchange with a node.
const PEER_TIME: Duration = Duration::from_millis(600);
/// Most bytes of a message.
const MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Answers other nodes.
pub struct PeerHandler {
    /// This node.
    pub node: Rc<Node>,
}

impl RequestHandler for PeerHandler {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, MIRROR_PATH) => self.send_mirror(&request),
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
