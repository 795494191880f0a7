//! Node states, messages and the observer, which records attempts, runs and answers.

use std::collections::{HashMap, HashSet};

use carobvane_core::{
    claims::{
        BatchItem, ClaimAnswer, ClaimCoordinator, ClaimHandle, ClaimKey, ClaimRecord,
        ExistingClaim, Permit, PermitRegistry, StoredResponse,
    },
    ids::NodeIncarnation,
};

/// Records every attempt and which attempt of a call ran, and checks each run and answer against
/// them.
pub struct ClaimMachine {
    pub(super) bug: Option<ClaimBug>,
    pub(super) attempts: HashMap<u64, AttemptRecord>,
    /// The attempt that ran, for each call.
    pub(super) runs: HashMap<CallIdentity, u64>,
    pub(super) violation: Option<String>,
}

/// One sending of a call by a caller.
pub(super) struct AttemptRecord {
    pub(super) call: CallIdentity,
    pub(super) body: u8,
    /// The entry incarnation that received the attempt.
    pub(super) entry_incarnation: Option<NodeIncarnation>,
    pub(super) answer: Option<ClaimAnswer>,
    pub(super) ran: bool,
}

/// Identifies a call. All attempts of a call together may run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallIdentity {
    /// The idempotency key that the call carries.
    Key(u8),
    /// The entry incarnation that issued the call's permit, and the permit's serial number.
    Permit(NodeIncarnation, u64),
}

/// Bugs that can be planted in an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimBug {
    /// The entry dispatches a request before the store has acknowledged its claim.
    DispatchBeforeAck,
    /// The entry treats a claim of another writer as its own.
    ForeignAsOwn,
    /// The entry reports a dispatch with an unknown outcome as not run.
    UnknownAsNotRun,
    /// The entry answers `not_run` instead of `outcome_unknown`, for example when the result is
    /// late.
    LateAsNotRun,
    /// The entry redeems permits of its earlier incarnations.
    PermitOfEarlierLife,
}

/// The state of one node.
pub enum ClaimNode {
    /// The key-value store, which keeps its state across crashes.
    Store {
        /// The claims, each with the revision at which it was last written.
        values: HashMap<ClaimKey, (i64, ClaimRecord)>,
        /// Revision of the last write.
        revision: i64,
    },
    /// The plain service with the attempts that it has run. It keeps its state across crashes.
    Service(HashSet<u64>),
    /// All callers. They keep their state across crashes.
    Callers {
        /// Permits that the callers have received. A permit may be used several times.
        permits: Vec<Permit>,
        /// Number of different idempotency keys used so far.
        keys: u8,
    },
    /// An entry, which loses its state in a crash.
    Entry(Box<EntryNode>),
}

/// State of an entry.
pub struct EntryNode {
    pub(super) coordinator: ClaimCoordinator,
    pub(super) registry: PermitRegistry,
    pub(super) attempts: HashMap<ClaimHandle, u64>,
    /// Attempts with a permit that have been dispatched and not yet completed.
    pub(super) running_permit_attempts: HashSet<u64>,
}

/// A message between nodes. Messages from the store and the service repeat the entry incarnation
/// that they answer.
#[derive(Debug, Clone)]
pub enum ClaimMessage {
    /// Caller to entry: the attempt, its call, body and permit.
    Submit(u64, CallIdentity, u8, Option<Permit>),
    /// Caller to entry: requests a permit.
    RequestPermit,
    /// Entry to caller: a new permit.
    IssuedPermit(Permit),
    /// Entry to store: a transaction, with the sender's incarnation and the id of the store call.
    Write(NodeIncarnation, u64, Vec<BatchItem>),
    /// Entry to store: reads claims, with the sender's incarnation and the id of the store call.
    ReadBack(NodeIncarnation, u64, Vec<ClaimKey>),
    /// Store to entry: the transaction succeeded at this revision.
    Written(NodeIncarnation, u64, i64),
    /// Store to entry: the claims that exist at this revision, after a read or after a transaction
    /// whose conditions did not hold.
    Existing(NodeIncarnation, u64, i64, Vec<ExistingClaim>),
    /// Entry to service: runs an attempt. The handle is absent if the attempt has a permit.
    Dispatch(NodeIncarnation, u64, Option<ClaimHandle>),
    /// Service to entry: the attempt has run.
    Completed(NodeIncarnation, u64, Option<ClaimHandle>),
}

impl ClaimMachine {
    /// Records that the service ran an attempt. It is a violation if the attempt has been answered
    /// `not_run` or if another attempt of the call has run.
    pub(super) fn record_run(&mut self, attempt: u64) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        record.ran = true;
        if let Some(ClaimAnswer::NotRun(cause)) = &record.answer {
            self.violation = Some(format!("attempt {attempt} ran after not_run ({cause:?})"));
        }
        if let Some(earlier) = self.runs.insert(record.call, attempt) {
            self.violation =
                Some(format!("{:?} ran as attempts {earlier} and {attempt}", record.call));
        }
    }

    /// Records the answer to an attempt. It is a violation if the attempt has an answer already, if
    /// the answer denies a run that took place, or if a response does not come from the attempt
    /// that ran or belongs to another body.
    pub(super) fn record_answer(&mut self, attempt: u64, answer: ClaimAnswer) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        let violation = match &answer {
            _ if record.answer.is_some() => Some("was answered twice".to_owned()),
            ClaimAnswer::NotRun(_) | ClaimAnswer::BodyMismatch if record.ran => {
                Some(format!("ran and was answered {answer:?}"))
            }
            ClaimAnswer::Response(response) | ClaimAnswer::Stored(response) => {
                let ran = self.runs.get(&record.call).copied().unwrap_or(u64::MAX);
                let body = self.attempts.get(&ran).map(|ran| ran.body);
                (*response != response_of(ran) || body != Some(self.attempts[&attempt].body))
                    .then(|| format!("was answered {answer:?}, but attempt {ran} ran"))
            }
            _ => None,
        };
        if let Some(violation) = violation {
            self.violation = Some(format!("attempt {attempt} {violation}"));
        }
        if let Some(record) = self.attempts.get_mut(&attempt) {
            record.answer = Some(answer);
        }
    }
}

/// Returns the service's response to an attempt. The body identifies the attempt.
pub(super) fn response_of(attempt: u64) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: String::new(),
        body: attempt.to_le_bytes().to_vec(),
    }
}
