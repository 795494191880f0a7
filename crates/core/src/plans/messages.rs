//! Messages and effects of plan shares.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::LimitKind;
use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// How long a borrower may use a loan, counted on its own clock from the time of its request.
pub const LOAN_TIME: Duration = Duration::from_secs(2);
/// Part of a waiting time that two monotonic clocks may drift apart: 1/100 is far above the
/// drift of a machine's clock, which stays under 1/1,000.
const DRIFT_DIVISOR: u32 = 100;
/// Fixed part of the margin for clock drift and rounding.
const DRIFT_FLOOR: Duration = Duration::from_millis(50);

/// Time after which no use under a loan can still count: loan time, window and drift margin.
pub fn reclaim_time(kind: LimitKind) -> Duration {
    with_margin(LOAN_TIME + kind.window())
}

/// A waiting time with the margin for clock drift.
pub(super) fn with_margin(time: Duration) -> Duration {
    time + time / DRIFT_DIVISOR + DRIFT_FLOOR
}

/// A plan in messages: the first bytes of its name's BLAKE3 hash, shorter than the name.
/// `carobvane-lists` rejects two plans with one id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlanId(pub [u8; 4]);

impl PlanId {
    /// The id of the plan called `name`.
    pub fn of_name(name: &str) -> PlanId {
        let hash = blake3::hash(name.as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        PlanId([first, second, third, fourth])
    }
}

/// A borrower's statement and request about one limit of one plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareAsk {
    /// The plan.
    pub plan: PlanId,
    /// The limit.
    pub kind: LimitKind,
    /// Units of this lender that the borrower still has; everything above is returned unused.
    pub hold: u64,
    /// Units that it wants beyond these.
    pub more: u64,
    /// Whether requests were refused for want of units, so that other loans should not be renewed.
    pub short: bool,
}

/// A lender's answer about one limit of one plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The plan.
    pub plan: PlanId,
    /// The limit.
    pub kind: LimitKind,
    /// Units that the borrower has from this lender.
    pub amount: u64,
    /// Whether the loan runs anew from the request; if not, the earlier end stays.
    pub extended: bool,
}

/// Messages between the share ledgers of two entries; one batch for all plans.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// Statements and requests of a borrower.
    Asks {
        /// The borrower's life.
        life: IncarnationId,
        /// The borrower's clock. A lender ignores batches that are not later than the last.
        sent_at: ClockTime,
        /// One for each limit.
        asks: Vec<ShareAsk>,
    },
    /// Answers of a lender.
    Grants {
        /// The lender's life.
        life: IncarnationId,
        /// The life that asked.
        to: IncarnationId,
        /// `sent_at` of the asks.
        answers: ClockTime,
        /// List version that the lender runs.
        version: u64,
        /// One for each limit.
        grants: Vec<ShareGrant>,
    },
    /// Asks whether the receiver's reductions up to `version` are complete.
    ConfirmRequest {
        /// The asking life. The receiver then ignores earlier lives of the sender.
        life: IncarnationId,
        /// List version of the asking entry.
        version: u64,
    },
    /// Answer to a confirm request.
    Confirm {
        /// The answering life.
        life: IncarnationId,
        /// The life that asked.
        to: IncarnationId,
        /// List version that the sender runs.
        running: u64,
        /// Highest list version whose reductions are complete at the sender.
        clean: u64,
        /// Stream units of the receiver that the sender still has.
        streams: Vec<(PlanId, u64)>,
    },
}

/// What the host carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShareEffect {
    /// Send a message to another entry.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: ShareMessage,
    },
    /// Units arrived; queued requests of the plan may be tried again.
    Refilled(PlanId),
}

/// A received message without its header.
pub(super) fn life_of(from: NodeId, message: &ShareMessage) -> NodeIncarnation {
    let incarnation = match message {
        ShareMessage::Asks { life, .. }
        | ShareMessage::Grants { life, .. }
        | ShareMessage::ConfirmRequest { life, .. }
        | ShareMessage::Confirm { life, .. } => *life,
    };
    NodeIncarnation { node: from, incarnation }
}
