//! Acquires and renews the rollout lease, whose holder orders servers to load weights.
//!
//! Only the holder renews the lease, so its lifetime can be short: a lost holder is replaced in
//! little more than a second.

use std::{cell::Cell, rc::Rc, time::Duration};

use carobvane_core::{clock::ClockTime, orders::LeaseEvent, traffic::LinkState};
use futures::{StreamExt, stream::FuturesUnordered};
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::{
    adapter::{PlatformAdapter, StoreAdapter, StoreCall, StoreReply, StoreRevision, StoreWrite},
    clock,
    fleet::members::{LEASE_HOLDER_KEY, RECENT_ORDERS_KEY, ROLLOUT_LEASE_LIFETIME},
    node::Node,
    rollout::order_record::{EarlierOrders, OrderRecord},
    store::{
        client::{StoreCallError, StoreClient},
        store_sync,
    },
};

/// Time between an answered renewal and the next one.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// A renewal is sent again if it has no answer after this time.
const RENEW_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of times that a renewal is sent, all before the lease expires.
const MAX_RENEWALS: u32 = 4;
/// Timeout of a call to the store.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);
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
    /// Era of the store that granted the lease.
    era: Cell<u64>,
    /// The record of ordered servers that belongs to the lease.
    pub record: OrderRecord,
}

/// Returns the fencing token of a lease. It grows although revisions are given out again after the
/// store was restored from an older copy.
fn fencing_token(acquired: StoreRevision) -> u64 {
    (acquired.era << FENCING_REVISION_BITS) | acquired.number
}

/// Returns when the lease with a fencing token was acquired.
pub fn acquired_revision(fencing: u64) -> StoreRevision {
    let era = fencing >> FENCING_REVISION_BITS;
    StoreRevision { era, number: fencing & ((1 << FENCING_REVISION_BITS) - 1) }
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
    // The earlier orders that this node knows of have to be the last ones.
    let earlier = EarlierOrders::read(&node.state.borrow().mirror, era);
    let expected =
        vec![(LEASE_HOLDER_KEY.to_string(), 0), (RECENT_ORDERS_KEY.to_string(), earlier.revision)];
    let call = StoreCall::Transact { expected, writes: vec![write] };
    // If the response to this write is lost, the key stays with a lease that nobody renews, so it
    // vanishes soon.
    let StoreReply::Written { revision } = store.call(&call, CALL_TIMEOUT).await? else {
        return Ok(Acquisition::Contended);
    };
    if store.era() == era {
        lease.lease.set(Some(id));
        lease.era.set(era);
        let fencing = fencing_token(StoreRevision { era, number: revision });
        lease.record.on_acquired(fencing, earlier.revision);
        on_acquired(node, fencing, sent_at, earlier);
    }
    Ok(Acquisition::Ended)
}

fn on_acquired(node: &Rc<Node>, fencing: u64, sent_at: ClockTime, earlier: EarlierOrders) {
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    state.rollout.on_lease_event(now, LeaseEvent::Acquired { fencing, sent_at });
    match earlier.instances {
        Ok(None) => {
            log::info!(fencing; "acquired the rollout lease; earlier orders may be missing from the restored store");
        }
        Ok(Some(ordered)) => {
            log::info!(fencing, left_alone = ordered.len(), record = earlier.revision; "acquired the rollout lease");
            state.rollout.take_over(now, ordered);
        }
        Err(cause) => {
            log::warn!(fencing, cause:% = cause; "acquired the rollout lease; failed to read earlier orders");
        }
    }
    node.rollout_wake.notify_one();
}

/// Renews the lease. While a renewal has no answer, it is sent again beside the earlier ones.
async fn renew<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
    lease: &RolloutLease,
    id: u64,
) {
    let mut renewals = FuturesUnordered::new();
    for _ in 0..MAX_RENEWALS {
        if node.state.borrow().rollout.has_lease_expired(clock::now()) {
            return;
        }
        renewals.push(send_renewal(store, id));
        let retry_at = Instant::now() + RENEW_RETRY_INTERVAL;
        while let Ok(Some(answer)) = timeout_at(retry_at, renewals.next()).await {
            let Some(event) = answer else { continue };
            if event == LeaseEvent::Lost {
                log::warn!(lease = id; "the rollout lease has expired");
                lease.lease.set(None);
            }
            node.state.borrow_mut().rollout.on_lease_event(clock::now(), event);
            return;
        }
        sleep_until(retry_at).await;
    }
}

/// Sends a renewal. Returns `None` if it got no answer.
async fn send_renewal<A: PlatformAdapter>(store: &StoreClient<A>, id: u64) -> Option<LeaseEvent> {
    let sent_at = clock::now();
    match store.call(&StoreCall::Renew { lease: id }, CALL_TIMEOUT).await {
        Ok(StoreReply::NoLease) => Some(LeaseEvent::Lost),
        Ok(_) => Some(LeaseEvent::Renewed { sent_at }),
        Err(cause) => {
            log::debug!(cause:% = cause; "failed to renew the rollout lease");
            None
        }
    }
}
