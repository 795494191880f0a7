//! Monitors whether the KV cache store responds.
//!
//! An engine that is told to fetch from a store that is down waits for it, and a store that comes
//! back is empty. One node queries the store and informs the others.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    adapter::{CacheEventBatch, PlatformAdapter},
    fleet::{node_notice::NodeNotice, notices},
    node::Node,
    server::connection::HttpConnection,
    store::{client::build_request, store_sync},
};

/// Time between two queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout of a query. The store counts as down after two failed ones in a row.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Queries the KV cache store, while this node is the first that reaches servers, until the process ends.
pub async fn monitor<A: PlatformAdapter>(node: Rc<Node>) {
    let mut since = 0;
    let mut connection = None;
    let mut failures = 0;
    loop {
        sleep(QUERY_INTERVAL).await;
        if !store_sync::is_first_linked(&node) {
            connection = None;
            continue;
        }
        let Some(batch) = query_store::<A>(&node, &mut connection, since).await else {
            failures += 1;
            if failures > 1 {
                publish(&node, false, 0);
            }
            continue;
        };
        failures = 0;
        since = batch.next;
        publish(&node, true, batch.epoch);
    }
}

async fn query_store<A: PlatformAdapter>(
    node: &Rc<Node>,
    connection: &mut Option<HttpConnection>,
    since: u64,
) -> Option<CacheEventBatch> {
    let address = node.state.borrow().routes.cache_store()?;
    let mut used = match connection.take().filter(HttpConnection::is_ready) {
        Some(kept) => kept,
        None => HttpConnection::open(address, RESPONSE_TIMEOUT).await.ok()?,
    };
    let request = build_request(A::encode_cache_events_query(since), address);
    let response = used.call(request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await.ok()?;
    *connection = Some(used);
    A::decode_cache_events(response.status(), response.body())
}

fn publish(node: &Rc<Node>, up: bool, epoch: u64) {
    let notice = NodeNotice::CacheStore { up, epoch };
    notices::apply(node, notice.clone());
    node.broadcast(notice);
}
