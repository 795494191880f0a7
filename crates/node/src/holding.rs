//! Takes the order duty when it is free, and keeps it by a short lease.
//!
//! The lease is renewed by the holder alone, so its lifetime can be short: a lost holder is replaced
//! in little more than a second.

use std::{cell::Cell, rc::Rc, time::Duration};

use carobvane_core::{clock::ClockTime, ids::ServerKey, orders::LeaseEvent};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    clock, fleet,
    members::{HOLDER_KEY, ORDERED_KEY},
    node::{Node, NodeState},
    store::{StoreClient, StoreFailure},
    wire::{NodeWire, StoreCall, StoreReply, StoreWrite},
};

/// Lifetime of the holder's lease.
pub const LEASE_TIME: Duration = Duration::from_millis(1_400);
/// Time between two renewals: two may fail before the lease ends.
const RENEW_TIME: Duration = Duration::from_millis(400);
/// Longest time for a call.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Longest pause before a free duty is taken, so that nodes do not all try at once.
const TAKE_JITTER: Duration = Duration::from_millis(120);
/// Time that the duty has to be free until nodes take it that do not watch the store.
const LAST_RESORT_TIME: Duration = Duration::from_millis(1_500);

/// The lease of the duty.
#[derive(Debug, Default)]
pub struct DutyLease {
    lease: Cell<Option<u64>>,
    /// When the last successful grant or renewal was sent.
    sent_at: Cell<ClockTime>,
}

/// Servers that the holder has ordered lately. It is written before orders leave, under the
/// condition that the writer still holds the duty.
#[derive(Debug, Default, Serialize, Deserialize)]
struct OrderedRecord {
    instances: Vec<String>,
}

/// Takes and keeps the duty until the process ends.
pub async fn hold_duty<W: NodeWire>(
    node: Rc<Node>,
    store: Rc<StoreClient<W>>,
    lease: Rc<DutyLease>,
) {
    let mut free_since = None;
    while !node.draining.get() {
        if let Some(id) = lease.lease.get() {
            renew(&node, &store, &lease, id).await;
            if node.state.borrow().rollout.has_lease_lapsed(clock::now()) {
                log::warn!(lease = id; "renewed the order duty too late; giving it back");
                release(&node, &store, &lease).await;
            }
            sleep(RENEW_TIME).await;
            continue;
        }
        let jitter = node.state.borrow_mut().rng.random_range(Duration::ZERO..TAKE_JITTER);
        sleep(jitter + TAKE_JITTER / 4).await;
        if !is_free(&node) {
            free_since = None;
            continue;
        }
        let now = clock::now();
        let waited = now.since(*free_since.get_or_insert(now));
        if !fleet::is_watcher(&node) && waited < LAST_RESORT_TIME {
            continue;
        }
        if let Err(cause) = take(&node, &store, &lease).await {
            log::debug!(cause:% = cause; "failed to take the order duty");
            lease.lease.set(None);
        }
    }
}

/// Ends the duty of this node, so that another one takes it at once.
pub async fn release<W: NodeWire>(node: &Rc<Node>, store: &StoreClient<W>, lease: &DutyLease) {
    node.state.borrow_mut().rollout.on_lease_event(clock::now(), LeaseEvent::Lost);
    let Some(id) = lease.lease.take() else { return };
    if let Err(cause) = store.call(&StoreCall::Release { lease: id }, CALL_TIME).await {
        log::warn!(cause:% = cause; "failed to end the lease of the order duty");
    }
}

/// Writes down which servers were ordered lately and are to be ordered now. Returns whether the
/// orders may leave.
pub async fn record_orders<W: NodeWire>(
    node: &Rc<Node>,
    store: &StoreClient<W>,
    fencing: u64,
) -> bool {
    let record = {
        let state = node.state.borrow();
        let recent = state.rollout.recently_ordered(clock::now());
        let instances = recent.into_iter().filter_map(|key| state.instance(key)).collect();
        OrderedRecord { instances }
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let write = StoreWrite { key: ORDERED_KEY.to_string(), value, lease: None };
    let expected = vec![(HOLDER_KEY.to_string(), fencing)];
    match store.call(&StoreCall::Transact { expected, writes: vec![write] }, CALL_TIME).await {
        Ok(StoreReply::Written { .. }) => true,
        Ok(reply) => {
            log::warn!(fencing, reply:? = reply; "the order duty is another node's");
            node.state.borrow_mut().rollout.on_lease_event(clock::now(), LeaseEvent::Lost);
            false
        }
        Err(cause) => {
            log::warn!(fencing, cause:% = cause; "failed to write down orders");
            false
        }
    }
}

fn is_free(node: &Node) -> bool {
    let state = node.state.borrow();
    let known = state.is_store_up() && state.mirror.revision > 0;
    known && !state.mirror.items.contains_key(HOLDER_KEY)
}

async fn take<W: NodeWire>(
    node: &Rc<Node>,
    store: &StoreClient<W>,
    lease: &DutyLease,
) -> Result<(), StoreFailure> {
    let lifetime = LEASE_TIME.max(node.settings.bounds.shortest_lease);
    let sent_at = clock::now();
    let reply = store.call(&StoreCall::Grant { lifetime }, CALL_TIME).await?;
    let StoreReply::Leased { lease: id, .. } = reply else { return Ok(()) };
    if !is_free(node) {
        // The lease ends by itself.
        return Ok(());
    }
    let value = format!("{} {}", node.settings.name, node.incarnation).into_bytes();
    let write = StoreWrite { key: HOLDER_KEY.to_string(), value, lease: Some(id) };
    let expected = vec![(HOLDER_KEY.to_string(), 0)];
    let call = StoreCall::Transact { expected, writes: vec![write] };
    // A write whose answer is lost leaves a key that nobody renews; it is gone soon.
    if let StoreReply::Written { revision } = store.call(&call, CALL_TIME).await? {
        lease.lease.set(Some(id));
        lease.sent_at.set(sent_at);
        on_taken(node, revision, sent_at);
    }
    Ok(())
}

fn on_taken(node: &Rc<Node>, fencing: u64, sent_at: ClockTime) {
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    state.rollout.on_lease_event(now, LeaseEvent::Acquired { fencing, sent_at });
    match state.ordered_lately() {
        Ok(ordered) => {
            log::info!(fencing, left_alone = ordered.len(); "took the order duty");
            state.rollout.take_over(now, ordered);
        }
        Err(cause) => {
            log::warn!(fencing, cause:% = cause; "took the order duty; failed to read earlier orders");
        }
    }
    node.duty_wake.notify_one();
}

async fn renew<W: NodeWire>(node: &Rc<Node>, store: &StoreClient<W>, lease: &DutyLease, id: u64) {
    let sent_at = clock::now();
    let event = match store.call(&StoreCall::Renew { lease: id }, CALL_TIME).await {
        Ok(StoreReply::NoLease) => {
            log::warn!(lease = id; "the lease of the order duty has ended");
            lease.lease.set(None);
            LeaseEvent::Lost
        }
        Ok(_) => {
            lease.sent_at.set(sent_at);
            LeaseEvent::Renewed { sent_at }
        }
        Err(cause) => {
            log::debug!(cause:% = cause; "failed to renew the lease of the order duty");
            return;
        }
    };
    node.state.borrow_mut().rollout.on_lease_event(clock::now(), event);
}

impl NodeState {
    /// Servers that the holder before may have ordered lately.
    fn ordered_lately(&self) -> Result<Vec<ServerKey>, serde_json::Error> {
        let Some(item) = self.mirror.items.get(ORDERED_KEY) else { return Ok(Vec::new()) };
        let record: OrderedRecord = serde_json::from_slice(&item.value)?;
        Ok(record.instances.iter().filter_map(|instance| self.roster.key_of(instance)).collect())
    }

    fn instance(&self, server: ServerKey) -> Option<String> {
        self.roster.get(server).map(|server| server.listing.instance.clone())
    }
}
