//! A simulated key-value store of the users' platform, with revisions, leases and long-polling
//! watches.

mod address;
mod handlers;
mod lost_calls;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use actix_web::{App, middleware::from_fn, web};
use serde_json::Value;
use tokio::sync::watch;

use self::{
    address::StoreAddress,
    handlers::{
        grant_lease, list_range, name_era, renew_lease, revoke_lease, transact, watch_prefix,
    },
    lost_calls::LostCalls,
};
use crate::util::{self, RunningServer, lock};

/// Fault injected into the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// The store works.
    #[default]
    None,
    /// Every call is refused with status 503.
    Busy,
    /// No call is ever answered.
    Silent,
    /// Transactions take effect, but their connection closes without a response.
    LoseAcknowledgements,
}

#[derive(Debug, Clone)]
struct StoredItem {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A copy of a store's content, from which it can be restored.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    items: BTreeMap<String, StoredItem>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    revision: u64,
}

#[derive(Debug, Default)]
struct StoreCore {
    items: BTreeMap<String, StoredItem>,
    /// Changes in revision order: revision, key and the new item, or `None` for a removal.
    history: Vec<(u64, String, Option<StoredItem>)>,
    /// Changes up to this revision are no longer in the history.
    compacted_revision: u64,
    revision: u64,
    /// Number of times that the store was restored from a copy, in all responses.
    era: u64,
    /// Expiry time and time to live by lease id.
    leases: BTreeMap<u64, (Instant, Duration)>,
    fault: StoreFault,
    /// Number of calls by kind, refused and unanswered ones included.
    calls: BTreeMap<&'static str, u64>,
    /// Number of renewals of each lease.
    renewals: BTreeMap<u64, u64>,
    /// Calls that get no answer.
    lost_calls: LostCalls,
}

impl StoreCore {
    /// Writes `(key, value, lease)` rows and removes keys at one new revision, which is returned.
    fn write(&mut self, writes: Vec<(String, Vec<u8>, u64)>, removed: &[String]) -> u64 {
        self.revision += 1;
        for (key, value, lease) in writes {
            let created = self.items.get(&key).map_or(self.revision, |item| item.created);
            let item = StoredItem { value, revision: self.revision, created, lease };
            self.items.insert(key.clone(), item.clone());
            self.history.push((self.revision, key, Some(item)));
        }
        for key in removed {
            if self.items.remove(key).is_some() {
                self.history.push((self.revision, key.clone(), None));
            }
        }
        self.revision
    }

    /// Ends a lease and removes its keys at one revision. Returns whether the lease existed.
    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.write(Vec::new(), &keys);
        }
        known
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    /// Counts a call and returns the current fault. Leases expire here, when the store is used.
    fn record_call(&mut self, call: &'static str) -> StoreFault {
        self.expire_leases();
        *self.calls.entry(call).or_default() += 1;
        self.fault
    }
}

#[derive(Debug)]
struct StoreShared {
    core: Mutex<StoreCore>,
    /// Latest revision. Sent after every change, also of the fault, to wake waiting watches.
    changed: watch::Sender<u64>,
}

impl StoreShared {
    fn change<T>(&self, change: impl FnOnce(&mut StoreCore) -> T) -> T {
        let mut core = lock(&self.core);
        let result = change(&mut core);
        let revision = core.revision;
        drop(core);
        self.changed.send_replace(revision);
        result
    }
}

/// Handle of a running store. Clones refer to the same store.
#[derive(Debug, Clone)]
pub struct StoreHandle {
    shared: Arc<StoreShared>,
    server: RunningServer,
    address: Arc<StoreAddress>,
}

/// Starts an empty store inside the caller's actix system. Fails if no port can be bound.
pub async fn start_store() -> io::Result<StoreHandle> {
    let core = StoreCore { revision: 1, ..StoreCore::default() };
    let shared = Arc::new(StoreShared { core: Mutex::new(core), changed: watch::channel(1).0 });
    serve(shared, BTreeMap::new())
}

/// Serves a store at a new address.
fn serve(shared: Arc<StoreShared>, values: BTreeMap<String, Vec<u8>>) -> io::Result<StoreHandle> {
    let address = Arc::new(StoreAddress::new(values));
    let listener = util::listen(util::ephemeral_addr())?;
    let data = web::Data::from(shared.clone());
    let address_data = web::Data::from(address.clone());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(address_data.clone())
            .app_data(web::JsonConfig::default().limit(util::MAX_BODY_BYTES))
            .route("/kv-range", web::get().to(list_range))
            .route("/kv-watch", web::get().to(watch_prefix))
            .route("/kv-txn", web::post().to(transact))
            .route("/kv-lease", web::post().to(grant_lease))
            .route("/kv-keep/{lease}", web::post().to(renew_lease))
            .route("/kv-lease-end/{lease}", web::delete().to(revoke_lease))
            .wrap(from_fn(name_era))
    };
    let server = crate::serve!(listener, app);
    Ok(StoreHandle { shared, server, address })
}

impl StoreHandle {
    /// Returns the address on which the store listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Starts to serve the same store at a further address, at which it returns other values of some
    /// keys. Fails if no port can be bound.
    pub fn with_overrides(&self, values: BTreeMap<String, Value>) -> io::Result<StoreHandle> {
        let values = values.into_iter().map(|(key, value)| (key, value.to_string().into_bytes()));
        serve(self.shared.clone(), values.collect())
    }

    /// Writes a key as JSON without a lease, as the operator or a backend server does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().into_bytes());
    }

    /// Writes a key without a lease. The bytes need not be valid JSON.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) {
        self.shared.change(|core| core.write(vec![(key.to_string(), value, 0)], &[]));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.remove_all(&[key]);
    }

    /// Removes several keys at one revision.
    pub fn remove_all(&self, keys: &[&str]) {
        let keys: Vec<String> = keys.iter().map(|key| key.to_string()).collect();
        self.shared.change(|core| core.write(Vec::new(), &keys));
    }

    /// Sets the current fault and wakes waiting watches.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.change(|core| core.fault = fault);
    }

    /// Discards the history. Watches that start at an earlier revision get status 410.
    pub fn compact(&self) {
        self.shared.change(|core| {
            core.compacted_revision = core.revision;
            core.history.clear();
        });
    }

    /// Copies the content of the store.
    pub fn copy(&self) -> StoreCopy {
        let core = lock(&self.shared.core);
        let (items, leases) = (core.items.clone(), core.leases.clone());
        StoreCopy { items, leases, revision: core.revision }
    }

    /// Replaces the content by that of a copy. What was written since is gone, leases too, and
    /// revisions are given out again. The era rises.
    pub fn restore(&self, copy: &StoreCopy) {
        self.shared.change(|core| {
            core.items = copy.items.clone();
            core.leases = copy.leases.clone();
            core.revision = copy.revision;
            core.history.clear();
            core.compacted_revision = copy.revision;
            core.era += 1;
        });
    }

    /// Returns the value of a key, if it exists and its lease has not expired.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let mut core = lock(&self.shared.core);
        core.expire_leases();
        core.items.get(key).map(|item| item.value.clone())
    }

    /// Returns the lease that a key is attached to, if the key exists; 0 for none.
    pub fn lease_of(&self, key: &str) -> Option<u64> {
        let mut core = lock(&self.shared.core);
        core.expire_leases();
        core.items.get(key).map(|item| item.lease)
    }

    /// Returns the latest revision.
    pub fn revision(&self) -> u64 {
        lock(&self.shared.core).revision
    }

    /// Returns the revision at which a key was last written; 0 if it does not exist.
    pub fn revision_of(&self, key: &str) -> u64 {
        let mut core = lock(&self.shared.core);
        core.expire_leases();
        core.items.get(key).map_or(0, |item| item.revision)
    }

    /// Returns whether a key begins with this prefix.
    pub fn has_prefix(&self, prefix: &str) -> bool {
        lock(&self.shared.core).items.keys().any(|key| key.starts_with(prefix))
    }

    /// Returns the number of calls of a kind so far: `range`, `watch`, `transact`, `grant`, `keep`
    /// or `end`.
    pub fn calls(&self, kind: &str) -> u64 {
        lock(&self.shared.core).calls.get(kind).copied().unwrap_or(0)
    }

    /// Returns how often the lease that a key is attached to was renewed.
    pub fn renewals(&self, key: &str) -> u64 {
        let lease = self.lease_of(key).unwrap_or(0);
        lock(&self.shared.core).renewals.get(&lease).copied().unwrap_or(0)
    }

    /// Waits until a condition on the store holds. It is evaluated after each change.
    pub async fn wait_until(&self, condition: impl Fn(&StoreHandle) -> bool) {
        let mut changed = self.shared.changed.subscribe();
        while !condition(self) {
            changed.borrow_and_update();
            if condition(self) || changed.changed().await.is_err() {
                return;
            }
        }
    }
}
