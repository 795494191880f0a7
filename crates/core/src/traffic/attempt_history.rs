//! What follows a failed attempt: another one, or a final answer that promises no more than is
//! known.

use super::RouteRule;

/// How an attempt at a server ended without an answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request has left: the connection was not established.
    NotSent,
    /// The server answered that it did not run the request.
    Rejected,
    /// The server answered with a failure of its own after running the request.
    Failed,
    /// The answer was lost, cut or unreadable; the request may have run.
    Unknown,
}

/// What a caller is told when no server's answer can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFailure {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send to another server; spends the retry budget if the attempt reached a server.
    Retry,
    /// Pass on the failure that the server answered.
    ForwardError,
    /// Give up.
    Fail(RequestFailure),
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Servers that may have started to run the request.
    pub runs: u32,
    /// Attempts that reached a server.
    pub deliveries: u32,
    /// All attempts.
    pub attempts: u32,
    /// Whether some attempt may have run.
    pub may_have_run: bool,
}

/// Attempts after which a request is given up even if none reached a server.
const MAX_ATTEMPTS: u32 = 6;
/// Servers that may reject a request before it is given up.
const MAX_DELIVERIES: u32 = 4;

impl AttemptHistory {
    /// Whether the next send is a repeated one for the retry budget.
    pub fn is_retry(&self) -> bool {
        self.deliveries > 0
    }

    /// Counts an attempt that has ended, and decides what follows. `rule` is the request's route.
    pub fn on_attempt_end(&mut self, rule: &RouteRule, end: AttemptOutcome) -> NextStep {
        self.attempts += 1;
        let ran = matches!(end, AttemptOutcome::Failed | AttemptOutcome::Unknown);
        if end != AttemptOutcome::NotSent {
            self.deliveries += 1;
        }
        if ran {
            self.runs += 1;
            self.may_have_run = true;
        }
        if self.allows_retry(rule) {
            return NextStep::Retry;
        }
        self.final_step(end)
    }

    /// What the caller is told when no further attempt can be made after `end`.
    pub fn final_step(&self, end: AttemptOutcome) -> NextStep {
        match end {
            AttemptOutcome::Failed => NextStep::ForwardError,
            _ if self.may_have_run => NextStep::Fail(RequestFailure::Unknown),
            _ => NextStep::Fail(RequestFailure::NotRun),
        }
    }

    fn allows_retry(&self, rule: &RouteRule) -> bool {
        let bounded = self.attempts < MAX_ATTEMPTS && self.deliveries < MAX_DELIVERIES;
        let repeatable = !self.may_have_run || rule.may_rerun();
        bounded && repeatable && self.runs < rule.max_servers.max(1)
    }
}
