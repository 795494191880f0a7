//! Final responses that the node generates itself, and which of them follows from what is known about
//! whether the request ran.

use std::time::Duration;

use carobvane_core::traffic::{
    AttemptHistory, AttemptOutcome, CrashVerdict, NextStep, PlacementRefusal, RequestFailure,
    RouteError,
};
use http::{Response, StatusCode};

use crate::client::{body::ResponseBody, responses};

/// Retry hint for a request that found no usable server.
const NO_SERVER_RETRY: Duration = Duration::from_millis(400);
/// Retry hint from a node that has not received a configuration yet.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);
/// Retry hint from a node that is shutting down. It is short, since the client connects to another
/// node.
pub const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// Retry hint for a stream while no node that can be reached knows its software version.
pub const UNKNOWN_STREAM_RETRY: Duration = Duration::from_secs(1);
/// Retry hint for a stream of whose software version no server is left.
pub const LOST_STREAM_RETRY: Duration = Duration::from_secs(60);
/// Retry hint for a request while it is not known whether it crashes servers.
const UNRESOLVED_RETRY: Duration = Duration::from_secs(1);
/// Retry hint for a request that crashes servers.
const SUSPECT_RETRY: Duration = Duration::from_secs(60);

/// Final responses that the node generates itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalResponse {
    /// The request was not run and may be repeated after this time.
    NotRun(&'static str, Duration),
    /// The request was not run, since its workspace has used its limit; it may be repeated after this
    /// time.
    OverLimit(Duration),
    /// It is not known whether the request ran.
    Unknown(&'static str),
    /// The deadline passed, and the request may have run.
    TimedOut,
    /// The request is invalid or not permitted.
    Refused(StatusCode, &'static str),
}

impl LocalResponse {
    /// Whether no server has run the request or will run it.
    pub fn is_not_run(&self) -> bool {
        matches!(self, LocalResponse::NotRun(..) | LocalResponse::OverLimit(_))
    }
}

/// Returns the response to a request of which the last attempt ended with `end`.
pub fn give_up_response(history: &AttemptHistory, end: AttemptOutcome) -> LocalResponse {
    match history.final_step(end) {
        NextStep::Fail(RequestFailure::NotRun) => {
            LocalResponse::NotRun("servers_rejected", NO_SERVER_RETRY)
        }
        _ => LocalResponse::Unknown("outcome_unknown"),
    }
}

/// Returns the response to a request whose time is over.
pub fn timeout_response(history: &AttemptHistory) -> LocalResponse {
    if history.may_have_run {
        LocalResponse::TimedOut
    } else {
        LocalResponse::NotRun("no_time_left", NO_SERVER_RETRY)
    }
}

/// Returns the response to a request for which no server was chosen.
pub fn refusal_response(history: &AttemptHistory, refusal: PlacementRefusal) -> LocalResponse {
    if history.may_have_run {
        return LocalResponse::Unknown("outcome_unknown");
    }
    match refusal {
        PlacementRefusal::NoServer => LocalResponse::NotRun("no_server", NO_SERVER_RETRY),
        PlacementRefusal::Busy(wait) => LocalResponse::NotRun("servers_busy", wait),
        PlacementRefusal::Limited(wait) => LocalResponse::NotRun("servers_at_their_limit", wait),
        PlacementRefusal::AtRest(wait) => LocalResponse::NotRun("servers_at_rest", wait),
    }
}

/// Returns the response to a request that must not run, or run again, since it crashed servers.
pub fn suspect_response(verdict: CrashVerdict, may_have_run: bool) -> LocalResponse {
    let (code, retry) = match verdict {
        CrashVerdict::Wait => ("request_may_crash_servers", UNRESOLVED_RETRY),
        CrashVerdict::Allow | CrashVerdict::Reject => ("request_crashes_servers", SUSPECT_RETRY),
    };
    if may_have_run { LocalResponse::Unknown(code) } else { LocalResponse::NotRun(code, retry) }
}

/// Returns the response to a request that no route takes.
pub fn route_error_response(error: RouteError) -> LocalResponse {
    match error {
        RouteError::NoConfig => LocalResponse::NotRun("no_configuration", NO_CONFIG_RETRY),
        RouteError::NoRoute => LocalResponse::Refused(StatusCode::NOT_FOUND, "no_route"),
        RouteError::UnknownKey => LocalResponse::Refused(StatusCode::UNAUTHORIZED, "unknown_key"),
    }
}

/// Builds the response, and counts it.
pub fn local_response(local: LocalResponse) -> Response<ResponseBody> {
    let (status, code, wait) = match local {
        LocalResponse::NotRun(code, wait) => (StatusCode::SERVICE_UNAVAILABLE, code, Some(wait)),
        LocalResponse::OverLimit(wait) => {
            (StatusCode::TOO_MANY_REQUESTS, "workspace_over_limit", Some(wait))
        }
        LocalResponse::Unknown(code) => (StatusCode::BAD_GATEWAY, code, None),
        LocalResponse::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "deadline_exceeded", None),
        LocalResponse::Refused(status, code) => (status, code, None),
    };
    metrics::counter!("carobvane_own_answers_total", "code" => code).increment(1);
    responses::failure(status, code, wait)
}
