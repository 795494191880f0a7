//! Reads another node's copy of the platform's store while the store does not respond, and what it
//! knows beyond the store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Response, StatusCode, header};
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;

use crate::{
    adapter::{OutboundRequest, StoreRevision},
    fleet::{
        peer_knowledge::PeerKnowledge,
        wire::{WireFormat, legacy},
    },
    node::Node,
    server::connection::{ConnectionError, HttpConnection},
    store::{
        client::build_request,
        store_mirror::{ChangeBatch, StoreMirror},
    },
};

/// Path under which a node serves its copy; the query is the revision that the reader already has.
pub const MIRROR_PATH: &str = "/mirror";
/// Path under which a node serves the changes after the revision in the query.
pub const CHANGES_PATH: &str = "/changes";
/// Path under which a node serves what it knows beyond the platform's store.
pub const KNOWLEDGE_PATH: &str = "/knowledge";
/// Type of the answers that this build reads; those of earlier builds name none.
pub const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Timeout of connecting to a node, and of each part of its answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a copy.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Reads the copy of a randomly chosen node, or of a seed node if no other node is known. Returns
/// `None` if there is none to ask or its copy is not newer than the revision `known`.
pub async fn read_mirror(
    node: &Rc<Node>,
    known: StoreRevision,
) -> Result<Option<StoreMirror>, ConnectionError> {
    let target = format!("{MIRROR_PATH}?{}-{}", known.era, known.number);
    let Some(response) = ask_any(node, target).await? else { return Ok(None) };
    if is_json(&response) {
        return decode_json(response.body()).map(Some);
    }
    // The earlier formats do not differ here.
    postcard::from_bytes(response.body()).map(Some).map_err(broken)
}

/// Reads the changes after the revision `known` from another node. Returns `None` if it has none, or is of
/// a build that does not serve them.
pub async fn read_changes(
    address: SocketAddr,
    known: StoreRevision,
) -> Result<Option<ChangeBatch>, ConnectionError> {
    let response = ask(address, format!("{CHANGES_PATH}?{}-{}", known.era, known.number)).await?;
    let has_changes = response.status() == StatusCode::OK && is_json(&response);
    has_changes.then(|| decode_json(response.body())).transpose()
}

/// Reads what a randomly chosen node, or a seed node if no other node is known, knows beyond the
/// platform's store. Returns `None` if there is none to ask.
pub async fn read_knowledge(node: &Rc<Node>) -> Result<Option<PeerKnowledge>, ConnectionError> {
    let Some(response) = ask_any(node, KNOWLEDGE_PATH.to_string()).await? else { return Ok(None) };
    if is_json(&response) {
        return decode_json(response.body()).map(Some);
    }
    let decoded = legacy::decode_knowledge(response.body());
    decoded.map(|(knowledge, _)| Some(knowledge)).map_err(broken)
}

/// Asks a node of an earlier build what it knows, and returns the format of its answer.
pub async fn read_legacy_format(address: SocketAddr) -> Result<WireFormat, ConnectionError> {
    let response = ask(address, KNOWLEDGE_PATH.to_string()).await?;
    if is_json(&response) {
        return Ok(WireFormat::Cbor);
    }
    legacy::decode_knowledge(response.body()).map(|(_, format)| format).map_err(broken)
}

fn is_json(response: &Response<Bytes>) -> bool {
    response.headers().get(header::CONTENT_TYPE).is_some_and(|kind| kind == JSON)
}

fn decode_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ConnectionError> {
    serde_json::from_slice(body).map_err(broken)
}

fn broken(cause: impl std::fmt::Display) -> ConnectionError {
    ConnectionError::Broken(cause.to_string())
}

/// Asks a randomly chosen node, or a seed node if no other node is known. Returns `None` if there is
/// none to ask, or it has no answer.
async fn ask_any(
    node: &Rc<Node>,
    target: String,
) -> Result<Option<Response<Bytes>>, ConnectionError> {
    let mut addresses = other_node_addresses(node);
    if addresses.is_empty() {
        addresses.clone_from(&node.settings.seed_addresses);
        addresses.retain(|address| *address != node.settings.peer_address);
    }
    let chosen = addresses.choose(&mut node.state.borrow_mut().rng).copied();
    let Some(address) = chosen else { return Ok(None) };
    let response = ask(address, target).await?;
    Ok(Some(response).filter(|response| response.status() == StatusCode::OK))
}

/// Asks one node. Nodes of earlier builds ignore which type of answer is wanted.
async fn ask(address: SocketAddr, target: String) -> Result<Response<Bytes>, ConnectionError> {
    let query = OutboundRequest { method: Method::GET, target, body: Bytes::new() };
    let mut request = build_request(query, address);
    request.headers_mut().insert(header::ACCEPT, JSON);
    let mut connection = HttpConnection::open(address, PEER_TIMEOUT).await?;
    connection.call(request, PEER_TIMEOUT, MAX_MESSAGE_BYTES).await
}

fn other_node_addresses(node: &Rc<Node>) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let others = state.members.live().filter(|record| record.name != node.settings.name);
    others.map(|record| record.peer_address).collect()
}
