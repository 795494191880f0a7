//! What the check observes: attempts, runs and answers.

use std::collections::{HashMap, HashSet};

use carobvane_core::{
    claims::{
        BatchItem, ClaimAnswer, ClaimCoordinator, ClaimHandle, ClaimKey, ClaimRecord,
        ExistingClaim, Permit, PermitRegistry, StoredResponse,
    },
    ids::NodeIncarnation,
};

/// The observer of the machine.
pub struct ClaimMachine {
    pub(super) bug: Option<ClaimBug>,
    pub(super) attempts: HashMap<u64, AttemptRecord>,
    /// Attempts that ran, by call.
    pub(super) runs: HashMap<CallIdentity, u64>,
    pub(super) violation: Option<String>,
}

pub(super) struct AttemptRecord {
    pub(super) call: CallIdentity,
    pub(super) body: u8,
    /// The entry life that has taken it.
    pub(super) entry_incarnation: Option<NodeIncarnation>,
    pub(super) answer: Option<ClaimAnswer>,
    pub(super) ran: bool,
}

/// What must run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallIdentity {
    /// An idempotency key.
    Key(u8),
    /// A permit of an entry life.
    Permit(NodeIncarnation, u64),
}

/// A planted bug.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimBug {
    /// The entry dispatches before the write is acknowledged.
    DispatchBeforeAck,
    /// The entry takes another writer's claim for its own.
    ForeignAsOwn,
    /// The entry reports a failed dispatch as not run.
    UnknownAsNotRun,
    /// The entry answers a late result with `not_run`.
    LateAsNotRun,
    /// The entry redeems permits of its earlier incarnations.
    PermitOfEarlierLife,
}

/// The state of one node.
pub enum ClaimNode {
    /// The key-value store; survives crashes.
    Store {
        /// Values with their revisions.
        values: HashMap<ClaimKey, (i64, ClaimRecord)>,
        /// The last revision.
        revision: i64,
    },
    /// The plain service; survives crashes.
    Service(HashSet<u64>),
    /// All callers; survive crashes.
    Callers {
        /// Permits that they hold.
        permits: Vec<Permit>,
        /// Idempotency keys used so far.
        keys: u8,
    },
    /// An entry.
    Entry(Box<EntryNode>),
}

/// An entry's state.
pub struct EntryNode {
    pub(super) coordinator: ClaimCoordinator,
    pub(super) registry: PermitRegistry,
    pub(super) attempts: HashMap<ClaimHandle, u64>,
    /// Attempts with a permit that run.
    pub(super) running_permit_attempts: HashSet<u64>,
}

/// A message between nodes.
#[derive(Debug, Clone)]
pub enum ClaimMessage {
    /// Caller to entry.
    Submit(u64, CallIdentity, u8, Option<Permit>),
    /// Caller to entry.
    RequestPermit,
    /// Entry to caller.
    IssuedPermit(Permit),
    /// Entry to store.
    Write(NodeIncarnation, u64, Vec<BatchItem>),
    /// Entry to store.
    ReadBack(NodeIncarnation, u64, Vec<ClaimKey>),
    /// Store to entry.
    Written(NodeIncarnation, u64, i64),
    /// Store to entry.
    Existing(NodeIncarnation, u64, i64, Vec<ExistingClaim>),
    /// Entry to service.
    Dispatch(NodeIncarnation, u64, Option<ClaimHandle>),
    /// Service to entry.
    Completed(NodeIncarnation, u64, Option<ClaimHandle>),
}

impl ClaimMachine {
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

/// The service's response to an attempt.
pub(super) fn response_of(attempt: u64) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: String::new(),
        body: attempt.to_le_bytes().to_vec(),
    }
}
