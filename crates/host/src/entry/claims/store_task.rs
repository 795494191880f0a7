//! The task that makes the calls of the claim coordinator to the key-value service.

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

/// Minimum time for which claims and stored results are kept. A request that is repeated later may
/// run again. At 400 bookings a second, an hour amounts to 1.4 million keys.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum age of the lease under which claims are written. Claims therefore live between
/// [`CLAIM_RETENTION`] and this much longer.
const LEASE_ROTATION: Duration = Duration::from_secs(600);

/// Timeout of one call. It is shorter than the coordinator's own timeout, so that the coordinator
/// learns of a failure instead of giving up a call that is still in progress.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// HTTP status with which the service rejects calls above its rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// Starts the task on the current arbiter. It ends when the sender of `calls` is dropped.
pub fn start_store_task(
    shared: Arc<EntryShared>,
    url: &str,
    calls: mpsc::UnboundedReceiver<StoreCall>,
) {
    // The coordinator limits its own rate, so the limit of the client only has to be higher.
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
    /// Id of the lease for new claims, and the time at which it was granted.
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
                log::warn!(error:% = error; "failed to write or read claims");
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
            // The service may have been restored to a state without the lease, so a new one is
            // requested.
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

    /// Returns the id of the lease for claims written now. If a new lease cannot be granted,
    /// returns the old one, or 0 if there is none; claims without a lease are kept forever.
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
