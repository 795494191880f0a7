//! Decides what follows a failed attempt: a retry, or a final response that claims no more than is
//! known about whether the request ran.

use serde::{Deserialize, Serialize};

use super::RouteRule;

/// How an attempt at a server ended without a successful response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request was sent, because no connection was established.
    NotSent,
    /// The server responded that it did not run the request.
    Rejected,
    /// The server ran the request and responded with an error.
    Failed,
    /// The response was lost, truncated or unreadable; the request may have run.
    Unknown,
}

/// What a client is told when there is no server response to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFailure {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another server. Costs retry budget if any attempt reached a server.
    Retry,
    /// Forward the server's error response.
    ForwardError,
    /// Give up and respond to the client with this failure.
    Fail(RequestFailure),
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptHistory {
    /// Number of attempts that may have run the request.
    pub runs: u32,
    /// Number of attempts that reached a server.
    pub deliveries: u32,
    /// Number of all attempts.
    pub attempts: u32,
    /// Whether any attempt may have run the request.
    pub may_have_run: bool,
}

/// A request is given up after this many attempts, even if none reached a server.
const MAX_ATTEMPTS: u32 = 6;
/// A request is given up after this many attempts that reached a server, even if all were rejected.
const MAX_DELIVERIES: u32 = 4;

impl AttemptHistory {
    /// Whether the next attempt counts as a retry for the retry budget.
    pub fn is_retry(&self) -> bool {
        self.deliveries > 0
    }

    /// Counts an attempt that ended with `outcome`, and decides what follows. `rule` is the route
    /// of the request.
    pub fn on_attempt_end(&mut self, rule: &RouteRule, outcome: AttemptOutcome) -> NextStep {
        self.attempts += 1;
        let ran = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Unknown);
        if outcome != AttemptOutcome::NotSent {
            self.deliveries += 1;
        }
        if ran {
            self.runs += 1;
            self.may_have_run = true;
        }
        if self.allows_retry(rule) {
            return NextStep::Retry;
        }
        self.final_step(outcome)
    }

    /// What to do if no further attempt can be made after one that ended with `outcome`.
    pub fn final_step(&self, outcome: AttemptOutcome) -> NextStep {
        match outcome {
            AttemptOutcome::Failed => NextStep::ForwardError,
            _ if self.may_have_run => NextStep::Fail(RequestFailure::Unknown),
            _ => NextStep::Fail(RequestFailure::NotRun),
        }
    }

    fn allows_retry(&self, rule: &RouteRule) -> bool {
        let within_limits = self.attempts < MAX_ATTEMPTS && self.deliveries < MAX_DELIVERIES;
        let rerunnable = !self.may_have_run || rule.may_rerun();
        within_limits && rerunnable && self.runs < rule.max_servers.max(1)
    }
}
