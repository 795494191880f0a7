//! Inputs and results of the decision on admission.

use std::time::Duration;

use super::{RequestGroups, RequestRank, WaitTicket};

/// A request for which a server has been chosen.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// Its rank.
    pub rank: RequestRank,
    /// Groups that have a minimum share.
    pub groups: RequestGroups,
    /// Server time that it takes, in ms.
    pub server_ms: f64,
    /// Expected time to the response or first event at the chosen server.
    pub expected: Duration,
    /// Part of `expected` that it would take at an idle server.
    pub idle: Duration,
    /// Time within which the response should arrive, counted from its arrival.
    pub target: Duration,
    /// Time since its arrival.
    pub elapsed: Duration,
    /// Time until its final response is due.
    pub time_left: Duration,
    /// Time until the client gives up.
    pub client_time_left: Duration,
    /// Whether it continues a stream that has begun, or retries a resumable request that may have run.
    pub continues: bool,
    /// Whether its client was probably refused before.
    pub is_return: bool,
    /// Its place in the queue if it has waited at this node; `None` at its first decision.
    pub ticket: Option<WaitTicket>,
}

impl AdmissionRequest {
    /// Expected wait at the server chosen for it.
    pub fn wait(&self) -> Duration {
        self.expected.saturating_sub(self.idle)
    }
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it.
    Admit,
    /// Look for a server again after this time, and then decide with this ticket.
    Wait(Duration, WaitTicket),
    /// Refuse it; the client may retry after this time.
    Refuse(Duration),
}

/// A decision, with what it is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionVerdict {
    /// The decision.
    pub decision: AdmissionDecision,
    /// Pressure of the service, from 0 to 1.
    pub pressure: f64,
    /// Place of the request among all work for the service: 0 is the most urgent, 1 the least.
    pub position: f64,
    /// Whether it has more room because one of its groups gets less than its minimum share.
    pub is_starved: bool,
    /// Expected wait at the chosen server.
    pub wait: Duration,
    /// Longest expected wait with which it is admitted.
    pub max_wait: Duration,
}
