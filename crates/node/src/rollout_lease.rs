//! Acquires and renews the rollout lease, whose holder orders servers to load weights.
//!
//! Only the holder renews the lease, so its lifetime can be short: a lost holder is replaced in
//! little more than a second.

use std::{cell::Cell, rc::Rc, time::Duration};

use carobvane_core::{clock::ClockTime, ids::ServerKey, orders::LeaseEvent, traffic::LinkState};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    adapter::{PlatformAdapter, StoreAdapter, StoreCall, StoreReply, StoreRevision, StoreWrite},
    clock,
    members::{LEASE_HOLDER_KEY, RECENT_ORDERS_KEY, ROLLOUT_LEASE_LIFETIME},
    node::{Node, NodeState},
    store::{StoreCallError, StoreClient},
    store_sync,
};

/// Time between two renewals. Two may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest random pause before a vacant lease is acquired, so that nodes do not all try at once.
const ACQUIRE_JITTER: Duration = Duration::from_millis(120);
/// Nodes that do not watch the store try to acquire the lease only after it has been vacant for
/// this long.
const NON_WATCHER_DELAY: Duration = Duration::from_millis(1_500);

/// Number of bits of a fencing token that hold the revision at which the lease was acquired; the era of
/// the store is above them. JSON numbers are exact up to 53 bits.
const FENCING_REVISION_BITS: u32 = 40;

/// This node's rollout lease; empty while the node does not hold it.
#[derive(Debug, Default)]
pub struct RolloutLease {
    lease: Cell<Option<u64>>,
    /// When the last successful grant or renewal was sent; the lease is counted from then.
    sent_at: Cell<ClockTime>,
    /// Era of the store that granted the lease.
    era: Cell<u64>,
}

/// Returns the fencing token of a lease. It grows although revisions are given out again after the
/// store was restored from an older copy.
fn fencing_token(acquired: StoreRevision) -> u64 {
    (acquired.era << FENCING_REVISION_BITS) | acquired.number
}

/// Returns when the lease with a fencing token was acquired.
fn acquired_revision(fencing: u64) -> StoreRevision {
    let era = fencing >> FENCING_REVISION_BITS;
    StoreRevision { era, number: fencing & ((1 << FENCING_REVISION_BITS) - 1) }
}

/// Servers that were ordered to load weights lately. The holder writes this record before it sends
/// orders, on the condition that it still holds the lease.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
struct RecentOrders {
    instances: Vec<String>,
    /// Era of the store in which the record was written.
    #[serde(default)]
    era: u64,
}

/// Acquires the rollout lease when it is vacant and renews it, until the node drains.
pub async fn maintain_lease<A: PlatformAdapter>(
    node: Rc<Node>,
    store: Rc<StoreClient<A>>,
    lease: Rc<RolloutLease>,
) {
    let mut vacant_since = None;
    while !node.draining.get() {
        if lease.lease.get().is_some() && lease.era.get() != store.era() {
            log::warn!(granted_in = lease.era.get(), era = store.era(); "the rollout lease is from before the store was restored");
            lease.lease.set(None);
            node.state.borrow_mut().rollout.on_lease_event(clock::now(), LeaseEvent::Lost);
        }
        if node.state.borrow().links.state() == LinkState::Lost {
            if lease.lease.get().is_some() {
                log::warn!("this node reaches no server; releasing the rollout lease");
                release(&node, &store, &lease).await;
            }
            vacant_since = None;
            sleep(RENEW_INTERVAL).await;
            continue;
        }
        if let Some(id) = lease.lease.get() {
            renew(&node, &store, &lease, id).await;
            if node.state.borrow().rollout.has_lease_expired(clock::now()) {
                log::warn!(lease = id; "renewed the rollout lease too late; releasing it");
                release(&node, &store, &lease).await;
            }
            sleep(RENEW_INTERVAL).await;
            continue;
        }
        let jitter = node.state.borrow_mut().rng.random_range(Duration::ZERO..ACQUIRE_JITTER);
        sleep(jitter + ACQUIRE_JITTER / 4).await;
        if !is_vacant(&node, &store) {
            vacant_since = None;
            continue;
        }
        let now = clock::now();
        let waited = now.since(*vacant_since.get_or_insert(now));
        if !store_sync::is_watcher(&node) && waited < NON_WATCHER_DELAY {
            continue;
        }
        match try_acquire(&node, &store, &lease).await {
            Ok(Acquisition::Contended) => sleep(RENEW_INTERVAL).await,
            Ok(Acquisition::Ended) => {}
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to acquire the rollout lease");
                lease.lease.set(None);
            }
        }
    }
}

/// Gives up the rollout lease, so that another node can acquire it at once.
pub async fn release<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
    lease: &RolloutLease,
) {
    node.state.borrow_mut().rollout.on_lease_event(clock::now(), LeaseEvent::Lost);
    let Some(id) = lease.lease.take() else { return };
    if let Err(cause) = store.call(&StoreCall::Release { lease: id }, CALL_TIMEOUT).await {
        log::warn!(cause:% = cause; "failed to release the rollout lease");
    }
}

/// Records which servers were ordered lately and which are to be ordered now. Returns whether the
/// orders may be sent.
pub async fn record_orders<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
    fencing: u64,
) -> bool {
    let record = {
        let state = node.state.borrow();
        let recent = state.rollout.recently_ordered(clock::now());
        let instances = recent.into_iter().filter_map(|key| state.instance_name(key)).collect();
        RecentOrders { instances, era: acquired_revision(fencing).era }
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let write = StoreWrite { key: RECENT_ORDERS_KEY.to_string(), value, lease: None };
    let acquired = acquired_revision(fencing);
    let expected = vec![(LEASE_HOLDER_KEY.to_string(), acquired.number)];
    match store.call(&StoreCall::Transact { expected, writes: vec![write] }, CALL_TIMEOUT).await {
        // In another era the same revision is not that of this lease.
        Ok(StoreReply::Written { .. }) if store.era() == acquired.era => true,
        Ok(reply) => {
            log::warn!(fencing, reply:? = reply; "another node holds the rollout lease");
            node.state.borrow_mut().rollout.on_lease_event(clock::now(), LeaseEvent::Lost);
            false
        }
        Err(cause) => {
            log::warn!(fencing, cause:% = cause; "failed to record orders");
            false
        }
    }
}

fn is_vacant<A: StoreAdapter>(node: &Node, store: &StoreClient<A>) -> bool {
    let state = node.state.borrow();
    let revision = state.mirror.revision;
    let known = state.is_store_reachable() && revision.number > 0 && revision.era == store.era();
    known && !state.mirror.items.contains_key(LEASE_HOLDER_KEY)
}

/// How an attempt to acquire the lease has ended.
enum Acquisition {
    /// Another node was faster, which this node's copy of the store does not show yet.
    Contended,
    /// With the lease, or without need for a further pause.
    Ended,
}

/// Acquires the lease, provided that no other node has written the holder key meanwhile.
async fn try_acquire<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
    lease: &RolloutLease,
) -> Result<Acquisition, StoreCallError> {
    let lifetime = ROLLOUT_LEASE_LIFETIME.max(node.settings.bounds.min_lease_lifetime);
    let sent_at = clock::now();
    let reply = store.call(&StoreCall::Grant { lifetime }, CALL_TIMEOUT).await?;
    let StoreReply::Leased { lease: id, .. } = reply else { return Ok(Acquisition::Ended) };
    let era = store.era();
    if !is_vacant(node, store) {
        // The lease that was just granted is not used; it expires by itself.
        return Ok(Acquisition::Ended);
    }
    let value = format!("{} {}", node.settings.name, node.incarnation).into_bytes();
    let write = StoreWrite { key: LEASE_HOLDER_KEY.to_string(), value, lease: Some(id) };
    let expected = vec![(LEASE_HOLDER_KEY.to_string(), 0)];
    let call = StoreCall::Transact { expected, writes: vec![write] };
    // If the response to this write is lost, the key stays with a lease that nobody renews, so it
    // vanishes soon.
    let StoreReply::Written { revision } = store.call(&call, CALL_TIMEOUT).await? else {
        return Ok(Acquisition::Contended);
    };
    if store.era() == era {
        lease.lease.set(Some(id));
        lease.era.set(era);
        lease.sent_at.set(sent_at);
        on_acquired(node, StoreRevision { era, number: revision }, sent_at);
    }
    Ok(Acquisition::Ended)
}

fn on_acquired(node: &Rc<Node>, acquired: StoreRevision, sent_at: ClockTime) {
    let now = clock::now();
    let fencing = fencing_token(acquired);
    let state = &mut *node.state.borrow_mut();
    state.rollout.on_lease_event(now, LeaseEvent::Acquired { fencing, sent_at });
    match state.recently_ordered(acquired.era) {
        Ok(None) => {
            log::info!(fencing; "acquired the rollout lease; earlier orders may be missing from the restored store");
        }
        Ok(Some(ordered)) => {
            log::info!(fencing, left_alone = ordered.len(); "acquired the rollout lease");
            state.rollout.take_over(now, ordered);
        }
        Err(cause) => {
            log::warn!(fencing, cause:% = cause; "acquired the rollout lease; failed to read earlier orders");
        }
    }
    node.rollout_wake.notify_one();
}

async fn renew<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
    lease: &RolloutLease,
    id: u64,
) {
    let sent_at = clock::now();
    let event = match store.call(&StoreCall::Renew { lease: id }, CALL_TIMEOUT).await {
        Ok(StoreReply::NoLease) => {
            log::warn!(lease = id; "the rollout lease has expired");
            lease.lease.set(None);
            LeaseEvent::Lost
        }
        Ok(_) => {
            lease.sent_at.set(sent_at);
            LeaseEvent::Renewed { sent_at }
        }
        Err(cause) => {
            log::debug!(cause:% = cause; "failed to renew the rollout lease");
            return;
        }
    };
    node.state.borrow_mut().rollout.on_lease_event(clock::now(), event);
}

impl NodeState {
    /// Returns the servers that the previous holder may have ordered lately; `None` if that is not
    /// known, since the record was written before the store was restored from an older copy, or may
    /// be missing for this reason.
    fn recently_ordered(&self, era: u64) -> Result<Option<Vec<ServerKey>>, serde_json::Error> {
        let Some(item) = self.mirror.items.get(RECENT_ORDERS_KEY) else {
            return Ok((era == 0).then(Vec::new));
        };
        let record: RecentOrders = serde_json::from_slice(&item.value)?;
        if record.era != era {
            return Ok(None);
        }
        let servers = record.instances.iter().filter_map(|instance| self.registry.key_of(instance));
        Ok(Some(servers.collect()))
    }
}
