//! The record of the servers that were ordered to load weights lately, in the platform's store.
//!
//! A holder of the rollout lease writes it before it sends orders, and the next holder leaves the servers
//! in it alone for a while. A write may be carried out late, so each one has two conditions: the node
//! still holds the lease, and the record is the one that it knows. The lease is acquired on the
//! condition that the record is the one that the new holder has read.

use std::{cell::Cell, rc::Rc};

use carobvane_core::orders::LeaseEvent;
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use crate::{
    adapter::{PlatformAdapter, StoreAdapter, StoreCall, StoreReply, StoreWrite},
    clock,
    fleet::members::{LEASE_HOLDER_KEY, RECENT_ORDERS_KEY},
    node::Node,
    rollout::rollout_lease::{CALL_TIMEOUT, acquired_revision},
    store::{
        client::{StoreCallError, StoreClient},
        store_mirror::StoreMirror,
    },
};

/// Number of writes before the orders are given up, as a late write of this node may come between.
const MAX_WRITES: u32 = 2;

/// Servers that were ordered to load weights lately.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
struct RecentOrders {
    instances: Vec<String>,
    /// Era of the store in which the record was written.
    #[serde(default)]
    era: u64,
}

/// What a node knows of the record before it acquires the lease.
#[derive(Debug)]
pub struct EarlierOrders {
    /// Revision of the record; 0 if it does not exist.
    pub revision: u64,
    /// Instance names of the servers that the previous holder may have ordered lately; `None` if they
    /// are not known, since the record is from before the store was restored from an older copy, or may
    /// be missing for this reason.
    pub instances: Result<Option<Vec<String>>, serde_json::Error>,
}

impl EarlierOrders {
    /// Reads the record from a copy of the store. `era` is that of the store.
    pub fn read(mirror: &StoreMirror, era: u64) -> EarlierOrders {
        let Some(item) = mirror.items.get(RECENT_ORDERS_KEY) else {
            return EarlierOrders { revision: 0, instances: Ok((era == 0).then(Vec::new)) };
        };
        let record = serde_json::from_slice::<RecentOrders>(&item.value);
        let instances = record.map(|record| (record.era == era).then_some(record.instances));
        EarlierOrders { revision: item.revision, instances }
    }
}

/// The record as the holder of a lease last knew it.
#[derive(Debug, Clone, Copy)]
struct KnownRecord {
    /// Fencing token of the lease.
    fencing: u64,
    /// Revision of the record; 0 if it does not exist.
    revision: u64,
}

/// Writes the record while this node holds the lease.
#[derive(Debug, Default)]
pub struct OrderRecord {
    /// Empty while a write has no answer.
    known: Cell<Option<KnownRecord>>,
    /// Held during a write, so that there is only one at a time.
    writing: Mutex<()>,
}

impl OrderRecord {
    /// Begins with the record on whose revision the lease was acquired.
    pub fn on_acquired(&self, fencing: u64, revision: u64) {
        self.known.set(Some(KnownRecord { fencing, revision }));
    }

    /// Records which servers were ordered lately and which are to be ordered now. Returns whether the
    /// orders may be sent.
    pub async fn write<A: PlatformAdapter>(
        &self,
        node: &Rc<Node>,
        store: &StoreClient<A>,
        fencing: u64,
    ) -> bool {
        let _turn = self.writing.lock().await;
        for _ in 0..MAX_WRITES {
            if node.state.borrow().rollout.order_fencing_token(clock::now()) != Some(fencing) {
                return false;
            }
            match self.try_write(node, store, fencing).await {
                Ok(WriteOutcome::Written) => return true,
                Ok(WriteOutcome::Replaced) => {
                    log::info!(fencing; "a late write has replaced the record of orders");
                }
                Ok(WriteOutcome::NotHolder) => {
                    log::warn!(fencing; "another node holds the rollout lease");
                    let state = &mut *node.state.borrow_mut();
                    let now = clock::now();
                    if state.rollout.fencing_token(now) == Some(fencing) {
                        state.rollout.on_lease_event(now, LeaseEvent::Lost);
                    }
                    return false;
                }
                Err(cause) => {
                    log::warn!(fencing, cause:% = cause; "failed to record orders");
                    return false;
                }
            }
        }
        false
    }

    async fn try_write<A: PlatformAdapter>(
        &self,
        node: &Rc<Node>,
        store: &StoreClient<A>,
        fencing: u64,
    ) -> Result<WriteOutcome, StoreCallError> {
        let acquired = acquired_revision(fencing);
        // The record is not known until this write is answered: it may be carried out at any time.
        let known = self.known.take().filter(|known| known.fencing == fencing);
        let revision = match known {
            Some(known) => known.revision,
            None => read_revision(store, RECENT_ORDERS_KEY).await?,
        };
        let instances = node.state.borrow().rollout.recently_ordered(clock::now());
        let record = RecentOrders { instances, era: acquired.era };
        // Names and numbers always have a JSON form.
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let write = StoreWrite { key: RECENT_ORDERS_KEY.to_string(), value, lease: None };
        let expected = vec![
            (LEASE_HOLDER_KEY.to_string(), acquired.number),
            (RECENT_ORDERS_KEY.to_string(), revision),
        ];
        let call = StoreCall::Transact { expected, writes: vec![write] };
        let reply = store.call(&call, CALL_TIMEOUT).await?;
        // In another era the same revision is not that of this lease.
        if store.era() != acquired.era {
            return Ok(WriteOutcome::NotHolder);
        }
        match reply {
            StoreReply::Written { revision } => {
                self.known.set(Some(KnownRecord { fencing, revision }));
                Ok(WriteOutcome::Written)
            }
            _ if read_revision(store, LEASE_HOLDER_KEY).await? == acquired.number => {
                Ok(WriteOutcome::Replaced)
            }
            _ => Ok(WriteOutcome::NotHolder),
        }
    }
}

/// How a write of the record was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    /// The record is written.
    Written,
    /// This node holds the lease, but the record is another one than it knew.
    Replaced,
    /// This node does not hold the lease any more.
    NotHolder,
}

/// Reads the revision of a key; 0 if it does not exist.
async fn read_revision<A: StoreAdapter>(
    store: &StoreClient<A>,
    key: &str,
) -> Result<u64, StoreCallError> {
    let call = StoreCall::Range { prefix: key.to_string(), after: None };
    let reply = store.call(&call, CALL_TIMEOUT).await?;
    let StoreReply::Page { items, .. } = reply else { return Ok(0) };
    Ok(items.iter().find(|item| item.key == key).map_or(0, |item| item.revision))
}
