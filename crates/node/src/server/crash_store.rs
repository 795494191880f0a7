//! Keeps the records of requests and prompt parts that crashed several servers in the platform's
//! store, so that a node that starts knows them.
//!
//! A record only grows, and each write holds all that was read, under the condition that nobody
//! has written since. A write that takes effect late therefore takes nothing back. Records have a
//! lease, and the nodes write them again until they forget them.

use std::{rc::Rc, str::FromStr, time::Duration};

use carobvane_core::{
    suspects::{CrashEntry, SuspectFingerprint},
    traffic::{CRASH_LIFETIME, CrashReport},
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    adapter::{PlatformAdapter, StoreCall, StoreReply, StoreWrite},
    clock,
    node::{Node, NodeState},
    server::crashes,
    store::{
        client::{CALL_TIMEOUT, StoreCallError, StoreClient},
        store_sync,
    },
};

/// Prefix of the keys of crash records.
const CRASH_PREFIX: &str = "carobvane/crashes/";
/// Maximum number of records in one transaction; the store accepts 32 entries.
const MAX_BATCH: usize = 16;
/// Bounds of the pause before records are written, in which others may join them.
const WRITE_DELAY_MIN: Duration = Duration::from_millis(10);
const WRITE_DELAY_MAX: Duration = Duration::from_millis(60);
/// A watcher of the store writes a record that was reported to it if the nodes that observed the
/// crashes have not written it within this time.
const WATCHER_GRACE: Duration = Duration::from_secs(2);
/// The same for the other nodes, of which there may be many.
const OTHER_GRACE: Duration = Duration::from_secs(8);
/// Value of a crash record in the store; its key has the suspect.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct StoredCrashes {
    crashes: Vec<CrashEntry<u64>>,
}

/// Whether a key is that of a crash record.
pub fn is_crash_key(key: &str) -> bool {
    key.starts_with(CRASH_PREFIX)
}

/// Decodes the key of a crash record. Returns `None` if it names no suspect.
pub fn decode_key(key: &str) -> Option<SuspectFingerprint> {
    SuspectFingerprint::from_str(key.strip_prefix(CRASH_PREFIX)?).ok()
}

/// Decodes a crash record. The error says what is wrong with it.
pub fn decode_record(key: &str, value: &[u8]) -> Result<CrashReport, String> {
    let fingerprint = decode_key(key).ok_or("the key names no suspect")?;
    let stored: StoredCrashes = serde_json::from_slice(value).map_err(|cause| cause.to_string())?;
    Ok(CrashReport { fingerprint, crashes: stored.crashes })
}

/// Writes records that the store lacks, until the process ends.
pub async fn write_records<A: PlatformAdapter>(node: Rc<Node>, store: Rc<StoreClient<A>>) {
    loop {
        node.crash_store_wake.notified().await;
        if missing_records(&node).is_empty() {
            continue;
        }
        let pause = node.state.borrow_mut().rng.random_range(WRITE_DELAY_MIN..WRITE_DELAY_MAX);
        sleep(pause).await;
        for batch in missing_records(&node).chunks(MAX_BATCH) {
            match write_batch(&node, &store, batch).await {
                Ok(true) => {}
                // The copy of the store is older than the store; the next tick tries again.
                Ok(false) => break,
                Err(cause) => {
                    log::debug!(cause:% = cause; "failed to write crash records");
                    break;
                }
            }
        }
    }
}

fn missing_records(node: &Node) -> Vec<CrashReport> {
    let grace = if store_sync::is_watcher(node) { WATCHER_GRACE } else { OTHER_GRACE };
    let state = node.state.borrow();
    if !state.is_store_reachable() || state.mirror.revision.number == 0 {
        return Vec::new();
    }
    state.crashes.unstored(clock::now(), grace)
}

/// Writes some records. Returns whether the store has taken them.
async fn write_batch<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
    batch: &[CrashReport],
) -> Result<bool, StoreCallError> {
    let grant = StoreCall::Grant { lifetime: CRASH_LIFETIME };
    let StoreReply::Leased { lease, .. } = store.call(&grant, CALL_TIMEOUT).await? else {
        return Ok(false);
    };
    // Revisions in the conditions are those of the copy's era.
    let era = node.state.borrow().mirror.revision.era;
    if era != store.era() {
        return Ok(false);
    }
    let call = encode_batch(&node.state.borrow(), lease, batch);
    let StoreReply::Written { revision } = store.call(&call, CALL_TIMEOUT).await? else {
        return Ok(false);
    };
    if era != store.era() {
        return Ok(false);
    }
    log::info!(records = batch.len(), revision, lease; "wrote crash records");
    let state = &mut *node.state.borrow_mut();
    for report in batch {
        crashes::apply_stored(node, state, report);
    }
    Ok(true)
}

fn encode_batch(state: &NodeState, lease: u64, batch: &[CrashReport]) -> StoreCall {
    let mut expected = Vec::new();
    let mut writes = Vec::new();
    for report in batch {
        let key = format!("{CRASH_PREFIX}{}", report.fingerprint);
        let revision = state.mirror.items.get(&key).map_or(0, |item| item.revision);
        let stored = StoredCrashes { crashes: report.crashes.clone() };
        // Numbers always have a JSON form.
        let value = serde_json::to_vec(&stored).unwrap_or_default();
        expected.push((key.clone(), revision));
        writes.push(StoreWrite { key, value, lease: Some(lease) });
    }
    StoreCall::Transact { expected, writes }
}
