//! What follows a failed attempt: another one, or a final answer that promises no more than is
//! known.

use super::RouteRule;

/// How an attempt at a server ended without an answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
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
pub enum CallerFailure {
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
    PassOn,
    /// Give up.
    Fail(CallerFailure),
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunHistory {
    /// Servers that may have started to run the request.
    pub runs: u32,
    /// Attempts that reached a server.
    pub arrivals: u32,
    /// All attempts.
    pub attempts: u32,
    /// Whether some attempt may have run.
    pub may_have_run: bool,
}

/// Attempts after which a request is given up even if none reached a server.
const MAX_ATTEMPTS: u32 = 6;
/// Servers that may reject a request before it is given up.
const MAX_ARRIVALS: u32 = 4;

impl RunHistory {
    /// Whether the next send is a repeated one for the retry budget.
    pub fn is_repeat(&self) -> bool {
        self.arrivals > 0
    }

    /// Counts an attempt that has ended, and decides what follows. `rule` is the request's route.
    pub fn after(&mut self, rule: &RouteRule, end: AttemptEnd) -> NextStep {
        self.attempts += 1;
        let ran = matches!(end, AttemptEnd::Failed | AttemptEnd::Unknown);
        if end != AttemptEnd::NotSent {
            self.arrivals += 1;
        }
        if ran {
            self.runs += 1;
            self.may_have_run = true;
        }
        if self.may_try_again(rule) {
            return NextStep::Retry;
        }
        self.give_up(end)
    }

    /// What the caller is told when no further attempt can be made after `end`.
    pub fn give_up(&self, end: AttemptEnd) -> NextStep {
        match end {
            AttemptEnd::Failed => NextStep::PassOn,
            _ if self.may_have_run => NextStep::Fail(CallerFailure::Unknown),
            _ => NextStep::Fail(CallerFailure::NotRun),
        }
    }

    fn may_try_again(&self, rule: &RouteRule) -> bool {
        let bounded = self.attempts < MAX_ATTEMPTS && self.arrivals < MAX_ARRIVALS;
        let repeatable = !self.may_have_run || rule.may_repeat();
        bounded && repeatable && self.runs < rule.max_servers.max(1)
    }
}
