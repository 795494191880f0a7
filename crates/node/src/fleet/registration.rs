//! Keeps this node registered in the platform's store.

use std::{cell::Cell, rc::Rc, time::Duration};

use rand::Rng;
use tokio::time::{Instant, timeout_at};

use crate::{
    adapter::{PlatformAdapter, StoreCall, StoreReply, StoreRevision, StoreWrite},
    clock,
    fleet::{
        members::{LEASE_LIFETIME, MemberRecord},
        wire::READABLE_FORMATS,
        workspace_limits,
    },
    node::Node,
    store::client::{CALL_TIMEOUT, StoreCallError, StoreClient},
};

/// Time between two renewals. One may fail before the lease expires.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// Longest pause after a failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Lease that the record of this node is attached to.
#[derive(Debug, Default)]
pub struct RegistrationLease {
    lease: Cell<Option<u64>>,
    /// Era of the store that granted the lease. In a later one, its id may be that of another lease.
    era: Cell<u64>,
    /// When the record was written last. A copy of the store from before that lacks it.
    written_at: Cell<StoreRevision>,
}

/// Keeps the node registered until it drains.
pub async fn maintain_registration<A: PlatformAdapter>(
    node: Rc<Node>,
    store: Rc<StoreClient<A>>,
    lease: Rc<RegistrationLease>,
) {
    let mut next_attempt_at = Instant::now();
    loop {
        // The wait ends early if the record was removed although this node is alive.
        let _woken = timeout_at(next_attempt_at, node.registration_wake.notified()).await;
        if node.draining.get() {
            return;
        }
        if lease.lease.get().is_some() && lease.era.get() != store.era() {
            log::warn!(granted_in = lease.era.get(), era = store.era(); "the lease of this node's record is from before the store was restored");
            lease.lease.set(None);
        }
        let result = match lease.lease.get() {
            Some(id) if is_registered(&node, &lease) => renew(&node, &store, &lease, id).await,
            _ => register(&node, &store, &lease).await,
        };
        let pause = match result {
            Ok(()) => RENEW_INTERVAL,
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to keep this node registered");
                node.on_store_call_failed();
                node.state.borrow_mut().rng.random_range(MAX_RETRY_PAUSE / 3..MAX_RETRY_PAUSE)
            }
        };
        next_attempt_at = Instant::now() + pause;
    }
}

/// Ends the lease, so that the node's record vanishes at once.
pub async fn release<A: PlatformAdapter>(store: &StoreClient<A>, lease: &RegistrationLease) {
    let Some(id) = lease.lease.take() else { return };
    if let Err(cause) = store.call(&StoreCall::Release { lease: id }, CALL_TIMEOUT).await {
        log::warn!(cause:% = cause; "failed to release the lease of this node's record");
    }
}

fn is_registered(node: &Node, lease: &RegistrationLease) -> bool {
    let state = node.state.borrow();
    if state.mirror.revision < lease.written_at.get() {
        return true;
    }
    // Without a current copy of the store, only the lease tells whether the node is registered.
    let known = state.mirror.revision.number > 0 && state.is_store_reachable();
    !known || state.mirror.items.contains_key(&MemberRecord::key(&node.settings.name))
}

async fn renew<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
    lease: &RegistrationLease,
    id: u64,
) -> Result<(), StoreCallError> {
    let sent_at = clock::now();
    let reply = store.call(&StoreCall::Renew { lease: id }, CALL_TIMEOUT).await?;
    node.on_store_answered();
    if reply == StoreReply::NoLease {
        log::warn!(lease = id; "the lease of this node's record has expired");
        lease.lease.set(None);
        node.registration_wake.notify_one();
    } else {
        workspace_limits::on_renewed(node, sent_at);
    }
    Ok(())
}

async fn register<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
    lease: &RegistrationLease,
) -> Result<(), StoreCallError> {
    let lifetime = LEASE_LIFETIME.max(node.settings.bounds.min_lease_lifetime);
    let id = match lease.lease.get() {
        Some(id) => id,
        None => {
            let reply = store.call(&StoreCall::Grant { lifetime }, CALL_TIMEOUT).await?;
            let StoreReply::Leased { lease: id, .. } = reply else { return Ok(()) };
            lease.lease.set(Some(id));
            lease.era.set(store.era());
            id
        }
    };
    let settings = &node.settings;
    let record = MemberRecord {
        name: settings.name.clone(),
        incarnation: node.incarnation,
        client_address: settings.client_address,
        peer_address: settings.peer_address,
        notice_address: settings.notice_address,
        link_mbps: settings.link_mbps,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        formats: READABLE_FORMATS.to_vec(),
        grants_tokens: true,
        records_software: true,
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let write = StoreWrite { key: MemberRecord::key(&record.name), value, lease: Some(id) };
    let call = StoreCall::Transact { expected: Vec::new(), writes: vec![write] };
    let sent_at = clock::now();
    match store.call(&call, CALL_TIMEOUT).await? {
        StoreReply::Written { revision } => {
            workspace_limits::on_renewed(node, sent_at);
            lease.written_at.set(StoreRevision { era: lease.era.get(), number: revision });
            log::info!(lease = id; "registered this node");
        }
        reply => {
            log::warn!(lease = id, reply:? = reply; "failed to register this node");
            lease.lease.set(None);
        }
    }
    node.on_store_answered();
    Ok(())
}
