//! At most one run of a non-idempotent request.
//!
//! A claim is a key in the key-value service that is written by a create-only compare before the
//! request is dispatched. [`ClaimCoordinator`] decides when claims are written, what a lost
//! acknowledgement means and what each caller is answered; [`PermitRegistry`] covers outages of the
//! key-value service.
//!
//! Why a request runs at most once: the service accepts one creation of a key, the created value
//! names one writer id (entry, incarnation, sequence), a writer id belongs to one waiting request,
//! and that request leaves the phases before dispatch for good when it is dispatched. A claim
//! that another writer id holds is never dispatched, with or without a result.
//!
//! Why `not_run` is true: it is answered only to a request that has not been dispatched, and the
//! answer moves the request out of the phases from which it can be dispatched, in the same step.
//! The claim that it may leave behind names a writer id that no request has any more.

mod call;
mod coordinator;
mod permits;
mod record;

pub use coordinator::{ClaimCoordinator, ClaimStats};
pub use permits::{
    MAX_OPEN_PERMITS, PERMIT_LIFETIME, Permit, PermitError, PermitRegistry, RedeemOutcome,
};
pub use record::{
    BodyFingerprint, ClaimKey, ClaimRecord, ClaimState, ClaimWriter, ExistingClaim, StoredResponse,
};

use std::time::Duration;

use crate::{clock::ClockTime, define_key};

define_key!(
    /// A request that waits in a [`ClaimCoordinator`].
    ClaimHandle
);

/// Writes a second of the whole fleet. The target is 40; the rest is left for the first write of
/// each entry after a quiet spell.
pub const CLAIM_WRITES_PER_SECOND: u64 = 36;
/// Most operations in a batch; the key-value service's default limit for a transaction.
pub const MAX_BATCH_ITEMS: usize = 128;
/// Operations of a batch that are kept for results and releases when some wait.
pub const RESERVED_BATCH_ITEMS: usize = 32;
/// Most response bytes in a batch. Base64 is applied twice on the way, and the service refuses
/// requests above 1.5 MiB.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;
/// Most requests in a coordinator, results that wait to be stored included. A further request gets
/// `not_run`.
pub const MAX_CLAIMS: usize = 4_096;
/// Largest response that is stored. The resend of a request with a larger one gets
/// `outcome_unknown`.
pub const MAX_STORED_RESPONSE_BYTES: usize = 32 * 1024;
/// Most response bytes that wait to be stored. Beyond this a response is not stored, and resends
/// get `outcome_unknown`.
pub const MAX_PENDING_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// A call to the key-value service without an answer for this long counts as lost.
pub const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wait before the first read-back of a lost write.
pub const FIRST_READ_BACK_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait between two read-backs.
pub const MAX_READ_BACK_BACKOFF: Duration = Duration::from_millis(1_000);
/// Consecutive lost calls after which the service counts as down.
pub const DOWN_AFTER_LOST_CALLS: u32 = 3;
/// Requests that may wait while the service is down. Further ones get `not_run` at once instead of
/// waiting for their deadline.
pub const MAX_WAITING_WHILE_DOWN: usize = 8;
/// How long a dispatched request is remembered after its deadline, for a late result.
pub const LATE_RESULT_GRACE: Duration = Duration::from_secs(60);
/// How long no new claims are made after the service's revision went back. Claims may have
/// vanished with it, so a resend within this time could run twice.
pub const RESTORE_PAUSE: Duration = Duration::from_secs(120);

/// A non-idempotent request that wants to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Names the logical call.
    pub key: ClaimKey,
    /// The request's content.
    pub fingerprint: BodyFingerprint,
    /// The request is not dispatched from this time on; it is answered by then if it waits.
    pub dispatch_by: ClockTime,
    /// A dispatched request is answered by this time; at least `dispatch_by`.
    pub deadline: ClockTime,
}

/// One operation of a batch. No two operations of a batch have the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchItem {
    /// Creates a claim if the key does not exist.
    Create {
        /// The key.
        key: ClaimKey,
        /// The value.
        record: ClaimRecord,
    },
    /// Replaces a claim by its result if the key's revision is still `revision`.
    Store {
        /// The key.
        key: ClaimKey,
        /// Revision at which the claim was created.
        revision: i64,
        /// The value.
        record: ClaimRecord,
    },
    /// Deletes a claim that did not run, if its value is still `record`.
    Release {
        /// The key.
        key: ClaimKey,
        /// The value.
        record: ClaimRecord,
    },
}

impl BatchItem {
    /// The key of the operation.
    pub fn key(&self) -> ClaimKey {
        match self {
            BatchItem::Create { key, .. }
            | BatchItem::Store { key, .. }
            | BatchItem::Release { key, .. } => *key,
        }
    }
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Send one transaction: every item's condition must hold, else nothing is written and the
    /// existing values of all keys are returned.
    Write {
        /// Names the call in the reply.
        call_id: u64,
        /// The operations.
        items: Vec<BatchItem>,
    },
    /// Read the keys in one call.
    ReadBack {
        /// Names the call in the reply.
        call_id: u64,
        /// The keys.
        keys: Vec<ClaimKey>,
    },
    /// Send the request to a server unless `not_after` has been reached, then report a
    /// [`DispatchOutcome`] in any case.
    Dispatch {
        /// The request.
        handle: ClaimHandle,
        /// End of the request's wait.
        not_after: ClockTime,
    },
    /// Answer the caller. Given once for each handle.
    Answer {
        /// The request.
        handle: ClaimHandle,
        /// The answer.
        answer: ClaimAnswer,
    },
}

/// How a dispatch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The server answered.
    Response(StoredResponse),
    /// No byte of the request left the entry, or the server's response proves that it did not run.
    NotRun,
    /// Anything else.
    Unknown,
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This request did not run and never will.
    NotRun(NotRunCause),
    /// A request with this key may have run.
    OutcomeUnknown(UnknownCause),
    /// The server's response to this request.
    Response(StoredResponse),
    /// The response to an earlier request with the same key and content.
    Stored(StoredResponse),
    /// An earlier request with the same key had other content; this one did not run.
    BodyMismatch,
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunCause {
    /// The coordinator holds [`MAX_CLAIMS`] requests.
    Full,
    /// The key-value service does not answer.
    StoreDown,
    /// The key-value service went back to an older state; see [`RESTORE_PAUSE`].
    StoreRestored,
    /// The deadline passed before the claim was acknowledged.
    Expired,
    /// An earlier request with this key, which did not run, is still being cleaned up.
    ReleasePending,
    /// No server took the request.
    NotSent,
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// A request with this key is in progress at this entry.
    InProgress,
    /// Another writer holds the claim and has stored no result.
    ClaimedElsewhere,
    /// The deadline passed after the dispatch.
    LateResult,
    /// The connection to the server failed after the dispatch.
    NoResult,
}
