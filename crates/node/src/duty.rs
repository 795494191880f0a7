//! Carries out the orders to load weights while this node has the duty.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{
    ids::{ServerKey, WeightsVersion},
    traffic::{LoadOrder, OrderReply, RolloutEffect},
};
use http::Response;
use tokio::time::timeout;

use crate::{
    channel::{ChannelError, HttpChannel},
    clock, holding,
    node::{Node, NodeState},
    notices::{self, NodeNotice},
    store::{StoreClient, build_request},
    wire::{NodeWire, WeightsOrder, WireQuery},
};

/// Longest time between two looks at what is due.
const TICK_TIME: Duration = Duration::from_millis(60);
/// The same without the duty.
const IDLE_TICK_TIME: Duration = Duration::from_millis(500);
/// Longest time for an order or a reading.
const ORDER_TIME: Duration = Duration::from_millis(400);
/// Longest time for which requests are kept from a server that loads or soon will.
const LONGEST_LOAD: Duration = Duration::from_secs(5);
/// Most bytes of a server's state.
const REPORT_BYTES: usize = 1024 * 1024;

/// Gives orders whenever this node has the duty, until the process ends.
pub async fn give_orders<W: NodeWire>(node: Rc<Node>, store: Rc<StoreClient<W>>) {
    loop {
        let holds = node.state.borrow().rollout.fencing_token(clock::now()).is_some();
        let wait = if holds { TICK_TIME } else { IDLE_TICK_TIME };
        let _woken = timeout(wait, node.duty_wake.notified()).await;
        let effects = {
            let state = &mut *node.state.borrow_mut();
            state.rollout.tick(clock::now(), &state.roster, &state.planner.weights)
        };
        let mut orders = Vec::new();
        for effect in effects {
            match effect {
                RolloutEffect::Drain { server } => {
                    let longest = LONGEST_LOAD;
                    tell(&node, server, |instance| NodeNotice::Loading { instance, longest });
                }
                RolloutEffect::Undrain { server } => {
                    tell(&node, server, |instance| NodeNotice::Released { instance });
                }
                RolloutEffect::Query { server, model } => {
                    let node = node.clone();
                    actix_rt::spawn(async move { read::<W>(&node, server, &model).await });
                }
                RolloutEffect::Order(order) => orders.push(order),
            }
        }
        if !orders.is_empty() {
            actix_rt::spawn(send_orders(node.clone(), store.clone(), orders));
        }
    }
}

/// Writes orders down and sends them.
async fn send_orders<W: NodeWire>(
    node: Rc<Node>,
    store: Rc<StoreClient<W>>,
    orders: Vec<LoadOrder>,
) {
    let Some(fencing) = orders.first().map(|order| order.fencing) else { return };
    if !holding::record_orders(&node, &store, fencing).await {
        orders.iter().for_each(|order| finish(&node, order.server, &OrderReply::Refused));
        return;
    }
    for order in orders {
        let node = node.clone();
        actix_rt::spawn(async move { send_order::<W>(&node, order).await });
    }
}

async fn send_order<W: NodeWire>(node: &Rc<Node>, order: LoadOrder) {
    let Some((instance, address)) = target(node, order.server) else { return };
    let LoadOrder { server, model, version, fencing, expected_sequence: expected } = order;
    let order =
        WeightsOrder { model: &model, version, holder: &node.settings.name, fencing, expected };
    let query = W::write_order(&order);
    let guard = || node.state.borrow().rollout.order_fencing_token(clock::now()) == Some(fencing);
    let answer = ask::<W>(&instance, address, query, guard).await;
    let reply = match &answer {
        Ok(response) => W::read_order(response.status()),
        Err(ChannelError::NotSent(_)) => OrderReply::Refused,
        Err(_) => OrderReply::Unknown,
    };
    let cause = answer.err().map(|cause| cause.to_string());
    log::info!(
        instance = instance, model = model, version = version.0, fencing, expected:? = expected,
        reply:? = reply, cause:? = cause;
        "ordered new weights"
    );
    metrics::counter!("carobvane_orders_total").increment(1);
    finish(node, server, &reply);
}

async fn read<W: NodeWire>(node: &Rc<Node>, server: ServerKey, model: &str) {
    let Some((instance, address)) = target(node, server) else { return };
    let reply = match ask::<W>(&instance, address, W::write_report(), || true).await {
        Ok(response) => W::read_report(response.status(), response.body(), model),
        Err(cause) => {
            log::info!(instance = instance, cause:% = cause; "failed to read a server's state");
            OrderReply::Unknown
        }
    };
    log::debug!(instance = instance, reply:? = reply; "read a server's state");
    if let OrderReply::Reading { version, busy: false, .. } = reply {
        let model = model.to_string();
        tell(node, server, |instance| NodeNotice::Loaded { instance, model, version });
    }
    finish(node, server, &reply);
}

/// Applies a notice on a server and sends it to the other nodes.
fn tell(node: &Rc<Node>, server: ServerKey, notice: impl FnOnce(String) -> NodeNotice) {
    let Some((instance, _)) = target(node, server) else { return };
    let notice = notice(instance);
    notices::apply(node, notice.clone());
    node.tell_nodes(notice);
}

fn finish(node: &Rc<Node>, server: ServerKey, reply: &OrderReply) {
    let effect = node.state.borrow_mut().rollout.on_reply(clock::now(), server, reply);
    if let Some(RolloutEffect::Undrain { server }) = effect {
        tell(node, server, |instance| NodeNotice::Released { instance });
    }
    node.duty_wake.notify_one();
}

fn target(node: &Rc<Node>, server: ServerKey) -> Option<(String, SocketAddr)> {
    let state = node.state.borrow();
    let listing = &state.roster.get(server)?.listing;
    Some((listing.instance.clone(), listing.address))
}

/// Sends a query of our own to a server. `may_send` is asked right before its bytes leave.
async fn ask<W: NodeWire>(
    instance: &str,
    address: SocketAddr,
    query: WireQuery,
    may_send: impl Fn() -> bool,
) -> Result<Response<bytes::Bytes>, ChannelError> {
    let mut channel = HttpChannel::open(address, ORDER_TIME).await?;
    let mut request = build_request(query, address);
    W::name_instance(request.headers_mut(), instance);
    if !may_send() {
        return Err(ChannelError::NotSent("the order duty has ended".to_string()));
    }
    channel.call(request, ORDER_TIME, REPORT_BYTES).await
}

impl NodeState {
    /// Notes that a server holds a version of a model's weights.
    pub fn on_weights(&mut self, server: ServerKey, model: &str, version: WeightsVersion) {
        let Some(known) = self.roster.get_mut(server) else { return };
        let weights = known.listing.weights.iter_mut().find(|weights| weights.model == model);
        let Some(weights) = weights.filter(|weights| weights.version < version) else { return };
        weights.version = version;
        known.loading_until = carobvane_core::clock::ClockTime::ZERO;
        self.planner.cache.remove_server(server);
    }
}
