//! Messages between plan limiters and the effects that their hosts carry out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::LimitKind;
use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// How long a borrower may use a loan, measured on its own clock from when it sent the request.
pub const LOAN_DURATION: Duration = Duration::from_secs(2);
/// Divides a waiting time to get the margin for drift between two monotonic clocks. 1/100 is far
/// above the drift of a machine's clock, which stays under 1/1,000.
const DRIFT_DIVISOR: u32 = 100;
/// Added to every waiting time against clock drift and rounding.
const MIN_DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// How long after a grant the lender may use the units itself again. By then the loan has expired
/// and no use under it counts against the limit any more, with a margin for clock drift.
pub fn reclaim_delay(kind: LimitKind) -> Duration {
    with_drift_margin(LOAN_DURATION + kind.window())
}

/// Extends a waiting time by the margin for clock drift.
pub(super) fn with_drift_margin(time: Duration) -> Duration {
    time + time / DRIFT_DIVISOR + MIN_DRIFT_MARGIN
}

/// Identifies a plan in messages by the first bytes of the BLAKE3 hash of its name, which are
/// shorter than the name. `carobvane-lists` rejects lists in which two plans have the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PlanId(pub [u8; 4]);

impl PlanId {
    /// Derives the id of the plan called `name`.
    pub fn from_name(name: &str) -> PlanId {
        let hash = blake3::hash(name.as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        PlanId([first, second, third, fourth])
    }
}

/// A borrower's statement of the units that it holds, and its request for more, for one limit of
/// one plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoanRequest {
    /// Plan that the units belong to.
    pub plan: PlanId,
    /// Limit that the units count against.
    pub kind: LimitKind,
    /// Units of this lender that the borrower still holds; it returns any units above this unused.
    #[serde(rename = "hold")]
    pub held: u64,
    /// Units that the borrower wants in addition to `held`.
    #[serde(rename = "more")]
    pub additional: u64,
    /// Whether the borrower refused requests for lack of units. The lender then does not renew
    /// loans of other borrowers that have more than an equal share.
    #[serde(rename = "short")]
    pub had_refusals: bool,
}

/// A lender's answer to one [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoanGrant {
    /// Plan that the units belong to.
    pub plan: PlanId,
    /// Limit that the units count against.
    pub kind: LimitKind,
    /// Units that the borrower holds from this lender.
    pub amount: u64,
    /// Whether the loan is renewed for [`LOAN_DURATION`] from the request; if not, it keeps its
    /// earlier end.
    pub extended: bool,
}

/// Messages between the limiters of two entries. One message covers all plans.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LimiterMessage {
    /// Loan requests of a borrower.
    #[serde(rename = "Asks")]
    LoanRequests {
        /// Incarnation of the borrower.
        #[serde(rename = "life")]
        incarnation: IncarnationId,
        /// When the message was sent, on the borrower's clock. A lender ignores a message that is
        /// not later than the last one.
        sent_at: ClockTime,
        /// One for each limit of each plan that has something to state.
        #[serde(rename = "asks")]
        requests: Vec<LoanRequest>,
    },
    /// Answers of a lender.
    #[serde(rename = "Grants")]
    LoanGrants {
        /// Incarnation of the lender.
        #[serde(rename = "life")]
        incarnation: IncarnationId,
        /// Incarnation of the borrower that sent the requests.
        to: IncarnationId,
        /// `sent_at` of the requests.
        #[serde(rename = "answers")]
        requested_at: ClockTime,
        /// List version that is active at the lender.
        version: u64,
        /// One for each request.
        grants: Vec<LoanGrant>,
    },
    /// Asks which list versions the receiver has fully applied.
    ConfirmRequest {
        /// Incarnation of the sender. From then on the receiver ignores its earlier incarnations.
        #[serde(rename = "life")]
        incarnation: IncarnationId,
        /// List version that is active at the sender.
        version: u64,
    },
    /// Answer to a [`LimiterMessage::ConfirmRequest`].
    Confirm {
        /// Incarnation of the sender.
        #[serde(rename = "life")]
        incarnation: IncarnationId,
        /// Incarnation that sent the request.
        to: IncarnationId,
        /// List version that is active at the sender.
        #[serde(rename = "running")]
        active_version: u64,
        /// Highest list version up to which the sender uses and lends no units that a version took
        /// from it.
        #[serde(rename = "clean")]
        reduced_version: u64,
        /// Stream units that the sender still holds from the receiver.
        streams: Vec<(PlanId, u64)>,
    },
}

/// An action that the host carries out for a limiter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimiterEffect {
    /// Send a message to another entry.
    Send {
        /// Entry that receives the message.
        to: NodeId,
        /// Message to send.
        message: LimiterMessage,
    },
    /// Borrowed units arrived; queued requests of the plan may be retried.
    UnitsReceived(PlanId),
}

/// The node and incarnation that sent `message`.
pub(super) fn sender_of(from: NodeId, message: &LimiterMessage) -> NodeIncarnation {
    let incarnation = match message {
        LimiterMessage::LoanRequests { incarnation, .. }
        | LimiterMessage::LoanGrants { incarnation, .. }
        | LimiterMessage::ConfirmRequest { incarnation, .. }
        | LimiterMessage::Confirm { incarnation, .. } => *incarnation,
    };
    NodeIncarnation { node: from, incarnation }
}
