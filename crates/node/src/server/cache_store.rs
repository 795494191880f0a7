//! Monitors whether the KV cache stores respond.
//!
//! An engine that is told to fetch from a store that is down waits for it, and a store that comes
//! back is empty. One node queries the stores and informs the others.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::traffic::{StoreId, StoreSite};
use futures::future::join_all;
use tokio::time::sleep;

use crate::{
    adapter::{CacheEventBatch, PlatformAdapter},
    clock,
    fleet::{node_notice::NodeNotice, notices},
    node::{Node, NodeState},
    server::connection::HttpConnection,
    store::{client::build_request, store_sync},
};

/// Time between two queries of a store.
const QUERY_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout of a query. A store counts as down after two failed ones in a row.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// What this node needs to query one store again.
#[derive(Debug, Default)]
struct StoreQuery {
    connection: Option<HttpConnection>,
    since: u64,
    failures: u32,
}

/// Queries the KV cache stores, while this node is the first that reaches servers, until the process ends.
pub async fn monitor<A: PlatformAdapter>(node: Rc<Node>) {
    let mut queries: HashMap<StoreId, StoreQuery> = HashMap::new();
    loop {
        sleep(QUERY_INTERVAL).await;
        if !store_sync::is_first_linked(&node) {
            queries.clear();
            continue;
        }
        let sites: Vec<StoreSite> =
            node.state.borrow().planner.stores.configured().cloned().collect();
        queries.retain(|id, _| sites.iter().any(|site| site.id == *id));
        for site in &sites {
            queries.entry(site.id).or_default();
        }
        // A store that is slow must not delay the reports of the others.
        join_all(queries.iter_mut().filter_map(|(id, query)| {
            let site = sites.iter().find(|site| site.id == *id)?;
            Some(check_store::<A>(&node, site, query))
        }))
        .await;
    }
}

async fn check_store<A: PlatformAdapter>(
    node: &Rc<Node>,
    site: &StoreSite,
    query: &mut StoreQuery,
) {
    let Some(batch) = query_store::<A>(site.address, query).await else {
        query.failures += 1;
        if query.failures > 1 {
            publish(node, site.id, false, 0);
        }
        return;
    };
    query.failures = 0;
    query.since = batch.next;
    publish(node, site.id, true, batch.epoch);
}

async fn query_store<A: PlatformAdapter>(
    address: SocketAddr,
    query: &mut StoreQuery,
) -> Option<CacheEventBatch> {
    let mut used = match query.connection.take().filter(HttpConnection::is_ready) {
        Some(kept) => kept,
        None => HttpConnection::open(address, RESPONSE_TIMEOUT).await.ok()?,
    };
    let request = build_request(A::encode_cache_events_query(query.since), address);
    let response = used.call(request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await.ok()?;
    query.connection = Some(used);
    A::decode_cache_events(response.status(), response.body())
}

/// Tells all nodes whether a store responds. Nodes of earlier builds know only the first store, and
/// take every `CacheStore` notice for a report of it.
fn publish(node: &Rc<Node>, store: StoreId, up: bool, epoch: u64) {
    let is_first = node.state.borrow().planner.stores.first() == Some(store);
    let notice = match is_first {
        true => NodeNotice::CacheStore { up, epoch },
        false => NodeNotice::FurtherStore { store: store.0, up, epoch },
    };
    notices::apply(node, notice.clone());
    node.broadcast(notice);
}

/// Applies a report of a store, and forgets what was saved there if it has restarted.
pub fn apply_report(state: &mut NodeState, store: StoreId, up: bool, epoch: u64) {
    let Some(change) = state.planner.stores.on_report(clock::now(), store, up, epoch) else {
        return;
    };
    if change.emptied {
        state.planner.cache.clear_store(store);
    }
    if change.turned || change.emptied {
        let mut sites = state.planner.stores.configured();
        let address = sites.find(|site| site.id == store).map(|site| site.address);
        log::info!(store:? = address, up, epoch, emptied = change.emptied; "KV cache store changed");
        metrics::counter!("carobvane_cache_store_changes_total", "up" => up.to_string())
            .increment(1);
    }
}
