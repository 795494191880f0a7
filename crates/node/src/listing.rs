//! Keeps this node listed in the platform's store.

use std::{cell::Cell, rc::Rc, time::Duration};

use rand::Rng;
use tokio::time::{Instant, timeout_at};

use crate::{
    members::{LEASE_TIME, MemberRecord},
    node::Node,
    store::{CALL_TIME, StoreClient, StoreFailure},
    wire::{NodeWire, StoreCall, StoreReply, StoreWrite},
};

/// Time between two renewals: one may fail before the lease ends.
const RENEW_TIME: Duration = Duration::from_millis(900);
/// Longest pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);

/// The lease of this node's record.
#[derive(Debug, Default)]
pub struct ListingLease {
    lease: Cell<Option<u64>>,
}

/// Keeps the node listed until the process ends.
pub async fn keep_listed<W: NodeWire>(
    node: Rc<Node>,
    store: Rc<StoreClient<W>>,
    lease: Rc<ListingLease>,
) {
    let mut due = Instant::now();
    loop {
        // Woken early when the record was removed although this node lives.
        let _woken = timeout_at(due, node.listing_wake.notified()).await;
        if node.draining.get() {
            return;
        }
        let result = match lease.lease.get() {
            Some(id) if is_listed(&node) => renew(&node, &store, &lease, id).await,
            _ => enlist(&node, &store, &lease).await,
        };
        let pause = match result {
            Ok(()) => RENEW_TIME,
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to keep this node listed");
                node.on_store(false);
                node.state.borrow_mut().rng.random_range(PAUSE / 3..PAUSE)
            }
        };
        due = Instant::now() + pause;
    }
}

/// Ends the lease, so that the node's record is gone at once.
pub async fn release<W: NodeWire>(store: &StoreClient<W>, lease: &ListingLease) {
    let Some(id) = lease.lease.take() else { return };
    if let Err(cause) = store.call(&StoreCall::Release { lease: id }, CALL_TIME).await {
        log::warn!(cause:% = cause; "failed to end the lease of this node's record");
    }
}

fn is_listed(node: &Node) -> bool {
    let state = node.state.borrow();
    // Without a view of the store, the lease alone tells.
    let known = state.mirror.revision > 0 && state.is_store_up();
    !known || state.mirror.items.contains_key(&MemberRecord::key(&node.settings.name))
}

async fn renew<W: NodeWire>(
    node: &Rc<Node>,
    store: &StoreClient<W>,
    lease: &ListingLease,
    id: u64,
) -> Result<(), StoreFailure> {
    let reply = store.call(&StoreCall::Renew { lease: id }, CALL_TIME).await?;
    node.on_store(true);
    if reply == StoreReply::NoLease {
        log::warn!(lease = id; "the lease of this node's record has ended");
        lease.lease.set(None);
        node.listing_wake.notify_one();
    }
    Ok(())
}

async fn enlist<W: NodeWire>(
    node: &Rc<Node>,
    store: &StoreClient<W>,
    lease: &ListingLease,
) -> Result<(), StoreFailure> {
    let lifetime = LEASE_TIME.max(node.settings.bounds.shortest_lease);
    let id = match lease.lease.get() {
        Some(id) => id,
        None => {
            let reply = store.call(&StoreCall::Grant { lifetime }, CALL_TIME).await?;
            let StoreReply::Leased { lease: id, .. } = reply else { return Ok(()) };
            lease.lease.set(Some(id));
            id
        }
    };
    let settings = &node.settings;
    let record = MemberRecord {
        name: settings.name.clone(),
        incarnation: node.incarnation,
        callers: settings.callers,
        peers: settings.peers,
        notices: settings.notices,
        link_mbps: settings.link_mbps,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let write = StoreWrite { key: MemberRecord::key(&record.name), value, lease: Some(id) };
    let call = StoreCall::Transact { expected: Vec::new(), writes: vec![write] };
    match store.call(&call, CALL_TIME).await? {
        StoreReply::Written { .. } => log::info!(lease = id; "listed this node"),
        reply => {
            log::warn!(lease = id, reply:? = reply; "failed to list this node");
            lease.lease.set(None);
        }
    }
    node.on_store(true);
    Ok(())
}
