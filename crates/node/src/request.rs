//! One caller's request, from its head to its final answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    rendezvous::rendezvous_score,
    suspects::SuspectFingerprint,
    traffic::{
        AttemptHistory, AttemptOutcome, CrashVerdict, NextStep, PlacementRefusal, RequestFailure,
        RouteError, RouteKind, RouteRule, WorkspaceSpec,
    },
};
use http::{Request, Response, StatusCode, Uri, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    answers,
    attempt::{Attempt, AttemptResult},
    body::AnswerBody,
    clock,
    node::Node,
    relay,
    salt::cache_scope,
    wire::{CallerCall, NodeWire},
};

/// A caller is answered this much before its own deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(25);
/// When a caller whose request found no usable server may return.
const NO_SERVER_RETRY: Duration = Duration::from_millis(400);
/// When a caller may return to a node that knows no configuration yet.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);
/// When a caller may return that asked a node that stops: it connects to another one.
const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// When a caller whose request crashes servers may return.
const SUSPECT_RETRY: Duration = Duration::from_secs(60);

/// A request that may run, with all that its attempts need.
#[derive(Debug)]
pub struct RequestJob {
    /// The caller's headers and target.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// What the head says.
    pub call: CallerCall,
    /// Its route.
    pub rule: RouteRule,
    /// Its service.
    pub service: String,
    /// Its workspace.
    pub workspace: Option<WorkspaceSpec>,
    /// When its head had been read.
    pub arrived: ClockTime,
    /// When its final answer is due.
    pub ends: ClockTime,
    /// When the caller's deadline ends.
    pub deadline: ClockTime,
    /// Identity in the count of crashes.
    pub fingerprint: SuspectFingerprint,
    /// Scope of its KV cache.
    pub cache_scope: u64,
    /// Servers that it has been sent to.
    pub tried: Vec<ServerKey>,
    /// Its attempts.
    pub history: AttemptHistory,
}

impl RequestJob {
    /// Time until the final answer is due.
    pub fn time_left(&self, now: ClockTime) -> Duration {
        self.ends.since(now)
    }

    /// Rank among all requests; a workspace's takes the place of its route's.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        workspace.unwrap_or(self.rule.priority)
    }

    /// Whether its answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.rule.kind == RouteKind::Streaming
    }
}

/// Final answers that the node gives itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnAnswer {
    /// Not run; may be sent again after this time.
    NotRun(&'static str, Duration),
    /// The outcome is not known.
    Unknown(&'static str),
    /// Time is over and the request may have run.
    TimedOut,
    /// Not allowed.
    Refused(StatusCode, &'static str),
}

/// Answers one request.
pub async fn answer<W: NodeWire>(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    if node.closing.get() {
        // The process may end before a new request does.
        log::info!(path = head.uri.path(); "refused a request: this node stops");
        return own_answer(OwnAnswer::NotRun("node_stops", STOPPING_RETRY));
    }
    let call = match W::read_call(&head) {
        Ok(call) => call,
        Err(error) => {
            log::info!(error:? = error, path = head.uri.path(); "refused a malformed request");
            return answers::failure(StatusCode::BAD_REQUEST, "malformed_request", None);
        }
    };
    let job = match admit(&node, arrived, head, call, body).await {
        Ok(job) => job,
        Err((id, own)) => {
            log::info!(request = id, answer:? = own; "refused a request");
            return own_answer(own);
        }
    };
    let mut job = Box::new(job);
    let request_id = job.call.request_id.clone();
    match run::<W>(&node, &mut job).await {
        Ok(Ran::Whole(response)) => {
            log_end(&job, response.status().as_u16(), "answered");
            response
        }
        Ok(Ran::Stream(response, attempt)) => relay::start::<W>(node, *job, response, *attempt),
        Err(own) => {
            let response = own_answer(own);
            log::info!(request = request_id, answer:? = own; "answered a request itself");
            log_end(&job, response.status().as_u16(), "failed");
            response
        }
    }
}

/// How a request ran.
enum Ran {
    /// With a whole answer.
    Whole(Response<AnswerBody>),
    /// With a stream that has begun.
    Stream(Response<Incoming>, Box<Attempt>),
}

async fn admit(
    node: &Rc<Node>,
    arrived: ClockTime,
    head: Parts,
    call: CallerCall,
    body: Incoming,
) -> Result<RequestJob, (String, OwnAnswer)> {
    let id = call.request_id.clone();
    let refuse = |own| (id.clone(), own);
    let (rule, workspace, service, limits) = {
        let state = node.state.borrow();
        let found = state.routes.find(&call.host, head.uri.path(), call.key.as_deref());
        let found = found.map_err(|error| refuse(route_answer(error)))?;
        let key = call.prompt.prefix_id().unwrap_or_else(|| rendezvous_score(id.as_bytes(), 0));
        let service = found.rule.pick_service(key).to_string();
        (found.rule.clone(), found.workspace.cloned(), service, state.routes.limits())
    };
    let deadline = call.deadline.unwrap_or(rule.timeout);
    let ends = arrived + rule.timeout.min(deadline.saturating_sub(DEADLINE_MARGIN));
    let left = ends.since(clock::now());
    let body = read_body(&id, body, limits.max_body_bytes, left).await.map_err(refuse)?;
    let name = workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
    let fingerprint = fingerprint(name, &head.uri, &body);
    let cache_scope = cache_scope(workspace.as_ref());
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    state.on_request(now, &service, &node.settings.bounds);
    state.planner.on_prompt(now, &call.prompt);
    if state.crashes.verdict(now, fingerprint) == CrashVerdict::Reject {
        return Err(refuse(OwnAnswer::NotRun("request_crashes_servers", SUSPECT_RETRY)));
    }
    Ok(RequestJob {
        head,
        body,
        rule,
        service,
        workspace,
        arrived,
        ends,
        deadline: arrived + deadline,
        fingerprint,
        cache_scope,
        tried: Vec::new(),
        history: AttemptHistory::default(),
        call,
    })
}

/// Reads a caller's body. A request whose body does not come whole has not run.
async fn read_body(
    id: &str,
    body: Incoming,
    most_bytes: usize,
    within: Duration,
) -> Result<Bytes, OwnAnswer> {
    match timeout(within, Limited::new(body, most_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => {
            Err(OwnAnswer::Refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"))
        }
        Ok(Err(cause)) => {
            log::info!(request = id, cause:% = cause; "failed to read a request's body");
            Err(OwnAnswer::Refused(StatusCode::BAD_REQUEST, "body_unreadable"))
        }
        Err(_) => Err(OwnAnswer::Refused(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    }
}

fn fingerprint(workspace: &str, uri: &Uri, body: &[u8]) -> SuspectFingerprint {
    let mut bytes = uri.to_string().into_bytes();
    bytes.push(0);
    bytes.extend_from_slice(body);
    SuspectFingerprint::new(workspace, &bytes)
}

/// Sends a request to servers until one answers or no further attempt is allowed.
async fn run<W: NodeWire>(node: &Rc<Node>, job: &mut RequestJob) -> Result<Ran, OwnAnswer> {
    loop {
        let attempt = match Attempt::open(node, job).await {
            Ok(attempt) => attempt,
            Err(Ok(end)) => {
                step(job, end)?;
                continue;
            }
            Err(Err(refusal)) => return Err(refusal_answer(job, refusal)),
        };
        let end = match attempt.send::<W>(node, job, job.call.last_event).await {
            AttemptResult::Whole(response) => return Ok(Ran::Whole(response)),
            AttemptResult::Stream(response, attempt) => {
                return Ok(Ran::Stream(response, attempt));
            }
            AttemptResult::Failed(response) => {
                match job.history.on_attempt_end(&job.rule, AttemptOutcome::Failed) {
                    NextStep::Retry if may_repeat(node, job) => continue,
                    _ => return Ok(Ran::Whole(response)),
                }
            }
            AttemptResult::Ended(end) => end,
        };
        if job.time_left(clock::now()).is_zero() {
            job.history.on_attempt_end(&job.rule, end);
            return Err(timed_out(job));
        }
        step(job, end)?;
        if job.history.is_retry() && !may_repeat(node, job) {
            return Err(given_up(job, end));
        }
    }
}

/// Takes a repeated send from the fleet's budget.
fn may_repeat(node: &Rc<Node>, job: &RequestJob) -> bool {
    let now = clock::now();
    let allowed = node.state.borrow_mut().take_repeat(now, &job.service, &node.settings.bounds);
    if !allowed {
        log::info!(request = job.call.request_id, service = job.service; "retry budget is spent");
        metrics::counter!("carobvane_retry_budget_spent_total").increment(1);
    }
    allowed
}

fn step(job: &mut RequestJob, end: AttemptOutcome) -> Result<(), OwnAnswer> {
    match job.history.on_attempt_end(&job.rule, end) {
        NextStep::Retry => Ok(()),
        NextStep::ForwardError | NextStep::Fail(_) => Err(given_up(job, end)),
    }
}

fn given_up(job: &RequestJob, end: AttemptOutcome) -> OwnAnswer {
    match job.history.final_step(end) {
        NextStep::Fail(RequestFailure::NotRun) => {
            OwnAnswer::NotRun("servers_rejected", NO_SERVER_RETRY)
        }
        _ => OwnAnswer::Unknown("outcome_unknown"),
    }
}

fn timed_out(job: &RequestJob) -> OwnAnswer {
    if job.history.may_have_run {
        OwnAnswer::TimedOut
    } else {
        OwnAnswer::NotRun("no_time_left", NO_SERVER_RETRY)
    }
}

fn refusal_answer(job: &RequestJob, refusal: PlacementRefusal) -> OwnAnswer {
    if job.history.may_have_run {
        return OwnAnswer::Unknown("outcome_unknown");
    }
    match refusal {
        PlacementRefusal::NoServer => OwnAnswer::NotRun("no_server", NO_SERVER_RETRY),
        PlacementRefusal::Busy(wait) => OwnAnswer::NotRun("servers_busy", wait),
    }
}

fn route_answer(error: RouteError) -> OwnAnswer {
    match error {
        RouteError::NoConfig => OwnAnswer::NotRun("no_configuration", NO_CONFIG_RETRY),
        RouteError::NoRoute => OwnAnswer::Refused(StatusCode::NOT_FOUND, "no_route"),
        RouteError::UnknownKey => OwnAnswer::Refused(StatusCode::UNAUTHORIZED, "unknown_key"),
    }
}

fn own_answer(own: OwnAnswer) -> Response<AnswerBody> {
    let (status, code, wait) = match own {
        OwnAnswer::NotRun(code, wait) => (StatusCode::SERVICE_UNAVAILABLE, code, Some(wait)),
        OwnAnswer::Unknown(code) => (StatusCode::BAD_GATEWAY, code, None),
        OwnAnswer::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "deadline_exceeded", None),
        OwnAnswer::Refused(status, code) => (status, code, None),
    };
    metrics::counter!("carobvane_own_answers_total", "code" => code).increment(1);
    answers::failure(status, code, wait)
}

/// Logs the end of a request.
pub fn log_end(job: &RequestJob, status: u16, outcome: &'static str) {
    let now = clock::now();
    let took_ms = now.since(job.arrived).as_millis() as u64;
    let workspace = job.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
    log::info!(
        request = job.call.request_id, route = job.rule.name, workspace = workspace,
        service = job.service, status, outcome, took_ms, attempts = job.history.attempts,
        arrivals = job.history.deliveries;
        "request ended"
    );
    metrics::counter!("carobvane_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("carobvane_request_seconds").record(now.since(job.arrived).as_secs_f64());
}
