//! Runs a non-idempotent request at most once.
//!
//! Before a request is dispatched, the entry creates a claim: a key in the key-value service,
//! written on condition that it does not exist yet. [`ClaimCoordinator`] decides when claims are
//! written, what a lost acknowledgement means and what each caller is answered. [`PermitRegistry`]
//! lets requests run while the key-value service is down.
//!
//! A request runs at most once because the key-value service accepts only one creation of a key,
//! the value names one writer (node, incarnation and sequence number), a writer stands for one
//! waiting request, and a dispatched request never returns to a phase before the dispatch. A
//! request whose claim belongs to another writer is never dispatched, whether or not that claim has
//! a result.
//!
//! An answer of `not_run` is true because only a request that has not been dispatched gets it, and
//! the same step moves that request out of the phases from which it can be dispatched. A claim that
//! it leaves behind names a writer that no longer stands for any request.

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
    /// Identifies a request in a [`ClaimCoordinator`].
    ClaimHandle
);

/// Writes per second that the entries of the fleet share. The key-value service is to get at most
/// 40; the rest is left for writes that entries make at once after they have written nothing for a
/// while.
pub const CLAIM_WRITES_PER_SECOND: u64 = 36;
/// Most operations in a batch, which is the default limit of the key-value service for a
/// transaction.
pub const MAX_BATCH_ITEMS: usize = 128;
/// Operations of a batch that are reserved for results and releases if some are waiting.
pub const RESERVED_BATCH_ITEMS: usize = 32;
/// Response bytes after which a batch takes no further result. Base64 is applied twice on the way,
/// and the key-value service refuses requests above 1.5 MiB.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;
/// Most requests in a coordinator, including those whose result waits to be stored. A further
/// request gets `not_run`.
pub const MAX_CLAIMS: usize = 4_096;
/// Largest response that is stored. A caller that resends a request with a larger response gets
/// `outcome_unknown`.
pub const MAX_STORED_RESPONSE_BYTES: usize = 32 * 1024;
/// Most response bytes that wait to be stored. A response beyond this is not stored, and callers
/// that resend its request get `outcome_unknown`.
pub const MAX_PENDING_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Time after which a call to the key-value service without an answer counts as lost.
pub const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wait before the first read-back after a lost call; doubled with each further loss in a row.
pub const FIRST_READ_BACK_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait before a read-back.
pub const MAX_READ_BACK_BACKOFF: Duration = Duration::from_millis(1_000);
/// Lost calls in a row after which the key-value service counts as down.
pub const DOWN_AFTER_LOST_CALLS: u32 = 3;
/// Most requests that wait to be claimed while the key-value service is down. Further ones get
/// `not_run` at once instead of waiting until their deadline.
pub const MAX_WAITING_WHILE_DOWN: usize = 8;
/// How long a dispatched request is kept after its deadline, so that a late result is still stored.
pub const LATE_RESULT_GRACE: Duration = Duration::from_secs(60);
/// How long no claims are created after the revision of the key-value service has gone back, such
/// as when it was restored from a backup. Claims may have been lost with it, so a request that is
/// resent within this time could run twice.
pub const RESTORE_PAUSE: Duration = Duration::from_secs(120);

/// A non-idempotent request that is to be claimed and dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key of the claim, the same for every resend of one call.
    pub key: ClaimKey,
    /// Digest of the request's method, path and body.
    pub fingerprint: BodyFingerprint,
    /// From this time on the request is not dispatched. If it still waits, it is answered by then.
    pub dispatch_by: ClockTime,
    /// A dispatched request is answered by this time, which is not before `dispatch_by`.
    pub deadline: ClockTime,
}

/// One operation of a batch. Each operation of a batch has a different key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchItem {
    /// Creates a claim if the key does not exist.
    Create {
        /// Key to create.
        key: ClaimKey,
        /// Value to write.
        record: ClaimRecord,
    },
    /// Replaces a claim by its result if the key's revision is still `revision`.
    Store {
        /// Key of the claim.
        key: ClaimKey,
        /// Revision at which the claim was created.
        revision: i64,
        /// Value to write, with the result.
        record: ClaimRecord,
    },
    /// Deletes the claim of a request that did not run, if its value is still `record`.
    Release {
        /// Key of the claim.
        key: ClaimKey,
        /// Value that the key must have.
        record: ClaimRecord,
    },
}

impl BatchItem {
    /// Returns the key that the operation is about.
    pub fn key(&self) -> ClaimKey {
        match self {
            BatchItem::Create { key, .. }
            | BatchItem::Store { key, .. }
            | BatchItem::Release { key, .. } => *key,
        }
    }
}

/// An action that the host carries out for the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Send one transaction. If the condition of every item holds, all are written; if not, nothing
    /// is written and the transaction returns the existing values of all keys.
    Write {
        /// Identifies the call when its result is reported.
        call_id: u64,
        /// Operations of the transaction.
        items: Vec<BatchItem>,
    },
    /// Read keys in one call, to learn whether a lost write took effect.
    ReadBack {
        /// Identifies the call when its result is reported.
        call_id: u64,
        /// Keys of the lost write.
        keys: Vec<ClaimKey>,
    },
    /// Send the request to a server unless `not_after` has been reached. The host reports a
    /// [`DispatchOutcome`] in either case.
    Dispatch {
        /// Identifies the request, as returned by [`ClaimCoordinator::submit`].
        handle: ClaimHandle,
        /// Time from which the request must not be sent.
        not_after: ClockTime,
    },
    /// Answer the caller. Each request gets exactly one answer.
    Answer {
        /// Identifies the request, as returned by [`ClaimCoordinator::submit`].
        handle: ClaimHandle,
        /// Answer to send.
        answer: ClaimAnswer,
    },
}

/// The result of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The server answered with this response.
    Response(StoredResponse),
    /// The request did not run: no byte of it left the entry, or the server's response proves it.
    NotRun,
    /// The request may have run, but there is no response.
    Unknown,
}

/// The answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This request did not run and never will.
    NotRun(NotRunCause),
    /// A request with this key may have run, or may still run.
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
    /// The key-value service does not answer, and too many requests wait for it already.
    StoreDown,
    /// The key-value service has gone back to an older state; see [`RESTORE_PAUSE`].
    StoreRestored,
    /// The claim was not acknowledged before [`ClaimRequest::dispatch_by`].
    Expired,
    /// The claim of an earlier request with this key, which did not run, is still to be deleted.
    ReleasePending,
    /// The request was dispatched, but did not run on any server.
    NotSent,
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// A request with this key is already in progress at this entry.
    InProgress,
    /// The claim belongs to another writer, which has not stored a result.
    ClaimedElsewhere,
    /// The request was dispatched, but no response arrived before its deadline.
    LateResult,
    /// The request was dispatched, but the connection to the server failed before a response.
    NoResult,
}
