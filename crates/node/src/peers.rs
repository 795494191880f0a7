//! Reads another node's copy of the platform's store while the store does not respond, and what it
//! knows beyond the store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;

use crate::{
    adapter::{OutboundRequest, StoreRevision},
    connection::{ConnectionError, HttpConnection},
    node::Node,
    store::build_request,
    store_mirror::StoreMirror,
};

/// Path under which a node serves its copy; the query is the revision that the reader already has.
pub const MIRROR_PATH: &str = "/mirror";
/// Path under which a node serves what it knows beyond the platform's store.
pub const KNOWLEDGE_PATH: &str = "/knowledge";
/// Timeout of connecting to a node, and of the exchange with it.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a copy.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Reads the copy of a randomly chosen node, or of a seed node if no other node is known. Returns
/// `None` if there is none to ask or its copy is not newer than the revision `known`.
pub async fn read_mirror(
    node: &Rc<Node>,
    known: StoreRevision,
) -> Result<Option<StoreMirror>, ConnectionError> {
    read_from_any(node, format!("{MIRROR_PATH}?{}-{}", known.era, known.number)).await
}

/// Reads what a randomly chosen node, or a seed node if no other node is known, knows beyond the
/// platform's store. Returns `None` if there is none to ask.
pub async fn read_knowledge<K: DeserializeOwned>(
    node: &Rc<Node>,
) -> Result<Option<K>, ConnectionError> {
    read_from_any(node, KNOWLEDGE_PATH.to_string()).await
}

async fn read_from_any<T: DeserializeOwned>(
    node: &Rc<Node>,
    target: String,
) -> Result<Option<T>, ConnectionError> {
    let mut addresses = other_node_addresses(node);
    if addresses.is_empty() {
        addresses.clone_from(&node.settings.seed_addresses);
        addresses.retain(|address| *address != node.settings.peer_address);
    }
    let chosen = addresses.choose(&mut node.state.borrow_mut().rng).copied();
    let Some(address) = chosen else { return Ok(None) };
    let query = OutboundRequest { method: Method::GET, target, body: Bytes::new() };
    let response = exchange(address, query).await?;
    if response.status() != StatusCode::OK {
        return Ok(None);
    }
    let value = postcard::from_bytes(response.body());
    value.map(Some).map_err(|cause| ConnectionError::Broken(cause.to_string()))
}

async fn exchange(
    address: SocketAddr,
    query: OutboundRequest,
) -> Result<Response<Bytes>, ConnectionError> {
    let mut connection = HttpConnection::open(address, PEER_TIMEOUT).await?;
    connection.call(build_request(query, address), PEER_TIMEOUT, MAX_MESSAGE_BYTES).await
}

fn other_node_addresses(node: &Rc<Node>) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let others = state.members.live().filter(|record| record.name != node.settings.name);
    others.map(|record| record.peer_address).collect()
}
