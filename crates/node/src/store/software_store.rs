//! Keeps the software versions of services in the platform's store, so that nodes know at which version
//! streams began after all of them have started again.
//!
//! A write is carried out only if the record is as its writer knows it, so a late one replaces nothing
//! newer.

use std::{rc::Rc, time::Duration};

use carobvane_core::{ids::ServerKey, traffic::SoftwareRecord};
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::{
    adapter::{PlatformAdapter, StoreCall, StoreItem, StoreReply, StoreRevision, StoreWrite},
    clock,
    fleet::members::MemberRecord,
    node::{Node, NodeState},
    store::{
        client::{CALL_TIMEOUT, StoreCallError, StoreClient},
        store_sync,
    },
};

/// Prefix of the keys of the records; the name of the service follows.
const SOFTWARE_PREFIX: &str = "carobvane/software/";
/// Maximum number of records in one transaction; the store accepts 32 entries.
const MAX_BATCH: usize = 16;
/// Longest time between two looks for records to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Bounds of the pause before a record is created, which is not urgent and which all nodes may want.
const CREATION_PAUSE_MIN: Duration = Duration::from_millis(500);
const CREATION_PAUSE_MAX: Duration = Duration::from_millis(1_500);
/// Nodes but the first watcher write a record only if it is still wanted after this time.
const OTHER_GRACE: Duration = Duration::from_secs(2);

/// Whether a key is that of a record.
pub fn is_software_key(key: &str) -> bool {
    key.starts_with(SOFTWARE_PREFIX)
}

/// Applies a record that was written. Its versions count as listed now, so that a node that has missed
/// them does not take them out of the record.
pub fn apply_record(node: &Node, state: &mut NodeState, item: &StoreItem) {
    let Some(service) = item.key.strip_prefix(SOFTWARE_PREFIX) else { return };
    let record = match serde_json::from_slice::<SoftwareRecord>(&item.value) {
        Ok(record) => record,
        Err(cause) => {
            log::warn!(key = item.key, cause:% = cause; "failed to read the software versions of a service");
            state.software_records.remove(service);
            return;
        }
    };
    for software in &record.versions {
        state.streams.on_listed(clock::now(), service, software.as_deref());
    }
    state.software_records.insert(service.to_string(), record);
    node.software_wake.notify_one();
}

/// Forgets a record that was removed.
pub fn remove_record(node: &Node, state: &mut NodeState, key: &str) {
    if let Some(service) = key.strip_prefix(SOFTWARE_PREFIX) {
        state.software_records.remove(service);
        node.software_wake.notify_one();
    }
}

/// Returns the usable servers of a service at which no stream may begin yet; none if there is no other one.
pub fn barred_servers(state: &NodeState, service: &str) -> Vec<ServerKey> {
    let Some(record) = state.software_records.get(service) else { return Vec::new() };
    if state.streams.versions(service).all(|software| record.names(software)) {
        return Vec::new();
    }
    let now = clock::now();
    let mut usable = 0;
    let mut barred = Vec::new();
    for (key, server) in state.registry.usable(service) {
        usable += 1;
        let software = server.listing.software.as_deref();
        if !record.names(software) && !state.streams.has_waited(now, service, software) {
            barred.push(key);
        }
    }
    if barred.len() < usable { barred } else { Vec::new() }
}

/// Takes the versions of the records for complete, after all items were read from the store itself. They
/// are not if a node is registered whose build keeps no records.
pub fn trust_records(state: &mut NodeState) {
    let now = clock::now();
    if !state.members.all_record_software() {
        log::info!("records of software versions are not used: a node keeps none");
        return;
    }
    let era = state.mirror.revision.era;
    for (service, record) in &state.software_records {
        if record.era == era && !state.streams.is_complete_for(now, service) {
            log::info!(service = service, versions:? = record.versions; "read the software versions of a service");
            state.streams.on_complete_record(now, service, record);
        }
    }
}

/// Writes records that differ from what this node knows, until the process ends.
pub async fn write_records<A: PlatformAdapter>(node: Rc<Node>, store: Rc<StoreClient<A>>) {
    let mut wanted_since = None;
    let mut written_at = StoreRevision::default();
    loop {
        // Looks again after a while as well, since versions expire.
        let _woken = timeout(CHECK_INTERVAL, node.software_wake.notified()).await;
        if node.state.borrow().mirror.revision < written_at {
            continue;
        }
        let wanted = wanted_records(&node);
        if wanted.is_empty() {
            wanted_since = None;
            continue;
        }
        let waited = clock::now().since(*wanted_since.get_or_insert(clock::now()));
        if !store_sync::is_first_watcher(&node) && waited < OTHER_GRACE {
            continue;
        }
        if wanted.iter().any(|(_, revision, _)| *revision == 0) {
            let pauses = CREATION_PAUSE_MIN..CREATION_PAUSE_MAX;
            let pause = node.state.borrow_mut().rng.random_range(pauses);
            sleep(pause).await;
        }
        match write_batch(&node, &store).await {
            Ok(Some(revision)) => written_at = revision,
            // The copy of the store is older than the store.
            Ok(None) => sleep(CHECK_INTERVAL).await,
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to write software versions");
                sleep(CHECK_INTERVAL).await;
            }
        }
    }
}

/// Returns the records to be written, each with its key and the revision of what it replaces.
fn wanted_records(node: &Node) -> Vec<(String, u64, SoftwareRecord)> {
    let state = node.state.borrow();
    let is_registered = state.mirror.items.contains_key(&MemberRecord::key(&node.settings.name));
    if !state.is_store_reachable() || !is_registered {
        return Vec::new();
    }
    let (now, era) = (clock::now(), state.mirror.revision.era);
    let wanted = state.streams.services().into_iter().filter_map(|service| {
        let key = format!("{SOFTWARE_PREFIX}{service}");
        let stored = state.software_records.get(service);
        let wanted = state.streams.wanted_record(now, service, stored, era)?;
        let revision = state.mirror.items.get(&key).map_or(0, |item| item.revision);
        Some((key, revision, wanted))
    });
    wanted.take(MAX_BATCH).collect()
}

/// Writes the records that are wanted now. Returns the revision at which the store has taken them.
async fn write_batch<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
) -> Result<Option<StoreRevision>, StoreCallError> {
    let wanted = wanted_records(node);
    // Revisions in the conditions are those of the copy's era.
    let era = node.state.borrow().mirror.revision.era;
    if wanted.is_empty() || era != store.era() {
        return Ok(None);
    }
    let expected = wanted.iter().map(|(key, revision, _)| (key.clone(), *revision)).collect();
    let writes = wanted.iter().map(|(key, _, record)| StoreWrite {
        key: key.clone(),
        // Names always have a JSON form.
        value: serde_json::to_vec(record).unwrap_or_default(),
        lease: None,
    });
    let call = StoreCall::Transact { expected, writes: writes.collect() };
    let StoreReply::Written { revision } = store.call(&call, CALL_TIMEOUT).await? else {
        return Ok(None);
    };
    log::info!(records:? = wanted, revision; "wrote the software versions of services");
    metrics::counter!("carobvane_software_records_total").increment(1);
    Ok(Some(StoreRevision { era, number: revision }))
}
