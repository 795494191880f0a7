//! Sends the orders to load weights while this node holds the rollout lease.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{
    ids::{ServerKey, WeightsVersion},
    traffic::{LinkFailure, LoadOrder, OrderReply, RolloutEffect},
};
use http::Response;
use tokio::time::timeout;

use crate::{
    adapter::{OutboundRequest, PlatformAdapter, WeightsOrder},
    clock,
    fleet::{node_notice::NodeNotice, notices},
    node::{Node, NodeState},
    rollout::rollout_lease::RolloutLease,
    server::{
        connection::{ConnectionError, HttpConnection},
        links,
        server_limits::{ServerCall, record_call},
        server_signals::record_signals,
    },
    store::client::{StoreClient, build_request},
};

/// Longest time between two rounds of the rollout planner on the lease holder.
const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// The same interval on the other nodes.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of an order or of a state query.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which a server takes no requests because it loads weights or is about to.
const MAX_LOAD_TIME: Duration = Duration::from_secs(5);
/// Maximum size of a server's state.
const MAX_STATE_BYTES: usize = 1024 * 1024;

/// Sends the orders that the rollout planner decides on, until the process ends.
pub async fn run_rollout<A: PlatformAdapter>(
    node: Rc<Node>,
    store: Rc<StoreClient<A>>,
    lease: Rc<RolloutLease>,
) {
    loop {
        let is_holder = node.state.borrow().rollout.fencing_token(clock::now()).is_some();
        let wait = if is_holder { TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        let _woken = timeout(wait, node.rollout_wake.notified()).await;
        let effects = {
            let state = &mut *node.state.borrow_mut();
            state.rollout.tick(clock::now(), &state.registry, &state.planner.weights)
        };
        let mut orders = Vec::new();
        for effect in effects {
            match effect {
                RolloutEffect::Drain { server } => {
                    let longest = MAX_LOAD_TIME;
                    publish(&node, server, |instance| NodeNotice::Loading { instance, longest });
                }
                RolloutEffect::Undrain { server } => {
                    publish(&node, server, |instance| NodeNotice::Released { instance });
                }
                RolloutEffect::Query { server, model } => {
                    let node = node.clone();
                    actix_rt::spawn(async move { read_state::<A>(&node, server, &model).await });
                }
                RolloutEffect::Order(order) => orders.push(order),
            }
        }
        if !orders.is_empty() {
            actix_rt::spawn(send_orders(node.clone(), store.clone(), lease.clone(), orders));
        }
    }
}

/// Records the orders in the platform's store, then sends them.
async fn send_orders<A: PlatformAdapter>(
    node: Rc<Node>,
    store: Rc<StoreClient<A>>,
    lease: Rc<RolloutLease>,
    orders: Vec<LoadOrder>,
) {
    let Some(fencing) = orders.first().map(|order| order.fencing) else { return };
    if !lease.record.write(&node, &store, fencing).await {
        orders.iter().for_each(|order| on_reply(&node, order.server, &OrderReply::Refused));
        return;
    }
    for order in orders {
        let node = node.clone();
        actix_rt::spawn(async move { send_order::<A>(&node, order).await });
    }
}

async fn send_order<A: PlatformAdapter>(node: &Rc<Node>, order: LoadOrder) {
    let Some((instance, address)) = server_target(node, order.server) else { return };
    let LoadOrder { server, model, version, fencing, expected_sequence: expected } = order;
    let order =
        WeightsOrder { model: &model, version, holder: &node.settings.name, fencing, expected };
    let query = A::encode_weights_order(&order);
    record_call(node, &mut node.state.borrow_mut(), server, ServerCall::Order);
    let guard = || node.state.borrow().rollout.order_fencing_token(clock::now()) == Some(fencing);
    let result = query_server::<A>(node, (server, address), &instance, query, guard).await;
    let reply = match &result {
        Ok(response) => A::decode_order_reply(response.status()),
        Err(cause) if cause.is_unsent() => OrderReply::Refused,
        Err(_) => OrderReply::Unknown,
    };
    let cause = result.err().map(|cause| cause.to_string());
    log::info!(
        instance = instance, model = model, version = version.0, fencing, expected:? = expected,
        reply:? = reply, cause:? = cause;
        "ordered new weights"
    );
    metrics::counter!("carobvane_orders_total").increment(1);
    on_reply(node, server, &reply);
}

async fn read_state<A: PlatformAdapter>(node: &Rc<Node>, server: ServerKey, model: &str) {
    let Some((instance, address)) = server_target(node, server) else { return };
    record_call(node, &mut node.state.borrow_mut(), server, ServerCall::State);
    let query = A::encode_state_query();
    let reply = match query_server::<A>(node, (server, address), &instance, query, || true).await {
        Ok(response) => A::decode_state(response.status(), response.body(), model),
        Err(cause) => {
            log::info!(instance = instance, cause:% = cause; "failed to read a server's state");
            OrderReply::Unknown
        }
    };
    log::debug!(instance = instance, reply:? = reply; "read a server's state");
    if let OrderReply::Reading { version, busy: false, .. } = reply {
        let model = model.to_string();
        publish(node, server, |instance| NodeNotice::Loaded { instance, model, version });
    }
    on_reply(node, server, &reply);
}

/// Applies a notice about a server to this node and broadcasts it to the other nodes.
fn publish(node: &Rc<Node>, server: ServerKey, notice: impl FnOnce(String) -> NodeNotice) {
    let Some((instance, _)) = server_target(node, server) else { return };
    let notice = notice(instance);
    notices::apply(node, notice.clone());
    node.broadcast(notice);
}

fn on_reply(node: &Rc<Node>, server: ServerKey, reply: &OrderReply) {
    let effect = node.state.borrow_mut().rollout.on_reply(clock::now(), server, reply);
    if let Some(RolloutEffect::Undrain { server }) = effect {
        publish(node, server, |instance| NodeNotice::Released { instance });
    }
    node.rollout_wake.notify_one();
}

fn server_target(node: &Rc<Node>, server: ServerKey) -> Option<(String, SocketAddr)> {
    let state = node.state.borrow();
    let listing = &state.registry.get(server)?.listing;
    Some((listing.instance.clone(), listing.address))
}

/// Sends a query to a server. `may_send` is called right before the request is sent; if it returns
/// `false`, nothing is sent.
async fn query_server<A: PlatformAdapter>(
    node: &Node,
    (server, address): (ServerKey, SocketAddr),
    instance: &str,
    query: OutboundRequest,
    may_send: impl Fn() -> bool,
) -> Result<Response<bytes::Bytes>, ConnectionError> {
    let opened = HttpConnection::open(address, ORDER_TIMEOUT).await;
    if opened.is_err() {
        links::record_failure(node, server, LinkFailure::NotConnected);
    }
    let mut connection = opened?;
    links::record_connected(node, server);
    let mut request = build_request(query, address);
    A::set_target_instance(request.headers_mut(), instance);
    if !may_send() {
        return Err(ConnectionError::NotSent("the rollout lease has ended".to_string()));
    }
    let result = connection.call(request, ORDER_TIMEOUT, MAX_STATE_BYTES).await;
    match &result {
        Ok(response) => {
            let head = A::decode_response(response.status(), response.headers());
            record_signals(node, &mut node.state.borrow_mut(), server, "", &head);
        }
        Err(_) => links::record_failure(node, server, LinkFailure::Broken),
    }
    result
}

impl NodeState {
    /// Records that a server holds a version of a model's weights, unless a newer one is known.
    pub fn update_weights(&mut self, server: ServerKey, model: &str, version: WeightsVersion) {
        let Some(known) = self.registry.get_mut(server) else { return };
        let weights = known.listing.weights.iter_mut().find(|weights| weights.model == model);
        let Some(weights) = weights.filter(|weights| weights.version < version) else { return };
        weights.version = version;
        known.loading_until = carobvane_core::clock::ClockTime::ZERO;
        self.planner.cache.remove_server(server);
    }
}
