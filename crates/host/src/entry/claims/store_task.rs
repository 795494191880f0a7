//! The task that makes a desk's calls to the key-value service.

use std::{sync::Arc, time::Duration};

use carobvane_core::{
    claims::{BatchItem, CLAIM_WRITES_PER_SECOND, ClaimKey},
    clock::ClockTime,
};
use tokio::sync::mpsc;

use super::{
    StoreCall, StoreReply,
    codec::{batch_transaction, existing_claims, key_text},
};
use crate::{
    clock,
    entry::shared::EntryShared,
    keyvalue::{KeyvalueClient, KeyvalueError, KeyvalueSettings},
};

/// How long claims and stored results are kept at least. A resend after that may run again. At 400
/// bookings a second an hour is 1.4 million keys.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(3_600);
/// Claims are written under a lease that is at most this old, so they live between
/// [`CLAIM_RETENTION`] and this much longer.
const LEASE_ROTATION: Duration = Duration::from_secs(600);

/// Longest time for one call. It is shorter than the coordinator's own timeout, so that the
/// coordinator gets a failure instead of giving up a call that is still in progress.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// HTTP status of a call above the service's rate.
const TOO_MANY_REQUESTS: u16 = 429;

/// Starts the task on the current arbiter.
pub fn start_store_task(
    shared: Arc<EntryShared>,
    url: &str,
    calls: mpsc::UnboundedReceiver<StoreCall>,
) {
    // The coordinator limits its own rate, so the client's limit only has to be above that.
    let settings = KeyvalueSettings {
        timeout: CALL_TIMEOUT,
        writes_per_second: CLAIM_WRITES_PER_SECOND as u32 + 1,
        ..KeyvalueSettings::new(url)
    };
    let task = ClaimStoreTask { client: KeyvalueClient::new(settings), lease: None };
    actix_rt::spawn(task.run(shared, calls));
}

struct ClaimStoreTask {
    client: KeyvalueClient,
    /// The present lease and when it was granted.
    lease: Option<(i64, ClockTime)>,
}

impl ClaimStoreTask {
    async fn run(
        mut self,
        shared: Arc<EntryShared>,
        mut calls: mpsc::UnboundedReceiver<StoreCall>,
    ) {
        while let Some(call) = calls.recv().await {
            let (call_id, result) = match call {
                StoreCall::Write { call_id, items } => (call_id, self.write(&items).await),
                StoreCall::ReadBack { call_id, keys } => (call_id, self.read_back(&keys).await),
            };
            let reply = result.unwrap_or_else(|error| {
                log::warn!(error:% = error; "failed to record calls");
                StoreReply::Lost
            });
            shared.claims.on_reply(call_id, reply);
        }
    }

    async fn write(&mut self, items: &[BatchItem]) -> Result<StoreReply, KeyvalueError> {
        let lease = self.lease().await;
        let transaction = batch_transaction(items, lease)
            .map_err(|error| KeyvalueError::NotSent(error.to_string()))?;
        let result = self.client.txn(transaction).await;
        if let Err(KeyvalueError::Refused { status, .. }) = result
            && status != TOO_MANY_REQUESTS
        {
            // A restored service does not know the lease.
            self.lease = None;
        }
        let result = result?;
        if result.succeeded {
            return Ok(StoreReply::Acknowledged(result.revision));
        }
        let keys = items.iter().map(BatchItem::key).collect::<Vec<_>>();
        Ok(StoreReply::Existing(result.revision, existing_claims(&keys, result.values)))
    }

    async fn read_back(&self, keys: &[ClaimKey]) -> Result<StoreReply, KeyvalueError> {
        let texts = keys.iter().map(key_text).collect::<Vec<_>>();
        let (values, revision) = self.client.get_many(&texts).await?;
        Ok(StoreReply::Existing(revision, existing_claims(keys, values)))
    }

    /// The lease for claims written now; 0 if none can be had, then they are kept for ever.
    async fn lease(&mut self) -> i64 {
        let now = clock::now();
        if let Some((lease, granted)) = self.lease
            && now.since(granted) < LEASE_ROTATION
        {
            return lease;
        }
        let seconds = (CLAIM_RETENTION + LEASE_ROTATION).as_secs() as u32;
        match self.client.lease_grant(seconds).await {
            Ok(grant) => {
                self.lease = Some((grant.id, now));
                grant.id
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to get a lease for claims");
                self.lease.map_or(0, |(lease, _)| lease)
            }
        }
    }
}
