//! Handles one client request, from its head to the final response.

use std::{future::Future, rc::Rc, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    rendezvous::rendezvous_score,
    suspects::{RequestSuspects, SuspectFingerprint},
    traffic::{AttemptHistory, AttemptOutcome, CrashVerdict, NextStep, PromptShape, SoftwareRule},
};
use http::{Request, Response, StatusCode, Uri, request::Parts};
use hyper::body::Incoming;

use crate::{
    adapter::{PlatformAdapter, RequestInfo},
    client::{
        body::ResponseBody,
        forward::{self, ForwardResult, HopInfo},
        local_response::{
            LOST_STREAM_RETRY, LocalResponse, STOPPING_RETRY, UNKNOWN_STREAM_RETRY,
            give_up_response, local_response, refusal_response, route_error_response,
            suspect_response, timeout_response,
        },
        relay,
        request_body::read_body,
        request_context::RequestContext,
        request_log::log_end,
        responses, stream_origin,
    },
    clock,
    fleet::workspace_limits,
    node::Node,
    server::{
        attempt::{Attempt, AttemptResult},
        checked_response::ServerStream,
        crashes,
        server_choice::OpenError,
    },
};

/// A client is answered this much before its own deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(25);

/// Handles one client request and returns the final response.
pub async fn handle<A: PlatformAdapter>(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    handle_from::<A>(node, request, None).await
}

/// Handles a client request that another node has passed on.
pub async fn handle_forwarded<A: PlatformAdapter>(
    node: Rc<Node>,
    request: Request<Incoming>,
    hop: HopInfo,
) -> Response<ResponseBody> {
    if let Some(reason) = forward::refusal(&node, &hop) {
        return forward::unserved(reason);
    }
    handle_from::<A>(node, request, Some(hop)).await
}

async fn handle_from<A: PlatformAdapter>(
    node: Rc<Node>,
    request: Request<Incoming>,
    hop: Option<HopInfo>,
) -> Response<ResponseBody> {
    let arrived_at = clock::now();
    let (head, body) = request.into_parts();
    if node.closing.get() {
        // The process may exit before a new request would end.
        log::info!(path = head.uri.path(); "refused a request: this node is stopping");
        return local_response(LocalResponse::NotRun("node_stops", STOPPING_RETRY));
    }
    let info = match A::decode_request(&head) {
        Ok(mut info) => {
            if let Some(hop) = &hop {
                info.deadline = Some(hop.left);
                info.last_event = hop.last_event;
            }
            info
        }
        Err(error) => {
            log::info!(error:? = error, path = head.uri.path(); "refused a malformed request");
            return responses::failure(StatusCode::BAD_REQUEST, "malformed_request", None);
        }
    };
    let context = match admit(&node, arrived_at, head, info, body, hop.is_some()).await {
        Ok(context) => context,
        Err((id, local)) => {
            log::info!(request = id, answer:? = local; "refused a request");
            return local_response(local);
        }
    };
    let mut context = Box::new(context);
    if let Some(hop) = hop {
        context.history = hop.history;
        context.software = hop.software;
        context.is_forwarded = true;
    }
    let request_id = context.info.request_id.clone();
    match run::<A>(&node, &mut context).await {
        Ok(RunOutcome::Complete(response)) => {
            log_end(&context, response.status().as_u16(), "answered");
            response
        }
        Ok(RunOutcome::Forwarded(response)) => {
            if is_refusal(response.status()) {
                workspace_limits::give_back(&node, &mut context.tokens);
            }
            forward::log_forwarded(&context, response.status());
            response
        }
        Ok(RunOutcome::Stream(stream)) => relay::start::<A>(node, *context, stream),
        Err(local) => {
            if local.is_not_run() {
                workspace_limits::give_back(&node, &mut context.tokens);
            }
            if let Some(reason) = forward::give_back(&node, &context) {
                log::info!(request = request_id, reason; "gave a request back to the node that passed it on");
                return forward::unserved(reason);
            }
            let response = local_response(local);
            log::info!(request = request_id, answer:? = local; "answered a request itself");
            log_end(&context, response.status().as_u16(), "failed");
            response
        }
    }
}

/// Response of the server that ran the request.
enum RunOutcome {
    /// The whole response.
    Complete(Response<ResponseBody>),
    /// A stream whose head has arrived.
    Stream(ServerStream),
    /// The response of another node.
    Forwarded(Response<ResponseBody>),
}

/// Routes a request, reads its body, and rejects it if it is known to crash servers.
async fn admit(
    node: &Rc<Node>,
    arrived_at: ClockTime,
    head: Parts,
    info: RequestInfo,
    body: Incoming,
    is_forwarded: bool,
) -> Result<RequestContext, (String, LocalResponse)> {
    let id = info.request_id.clone();
    let refused = |local| (id.clone(), local);
    let (rule, workspace, service, limits) = {
        let state = node.state.borrow();
        let found = state.routes.find(&info.host, head.uri.path(), info.key.as_deref());
        let found = found.map_err(|error| refused(route_error_response(error)))?;
        let key = info.prompt.prefix_id().unwrap_or_else(|| rendezvous_score(id.as_bytes(), 0));
        let service = found.rule.pick_service(key).to_string();
        (found.rule.clone(), found.workspace.cloned(), service, state.routes.limits())
    };
    let deadline = info.deadline.unwrap_or(rule.timeout);
    let response_due = arrived_at + rule.timeout.min(deadline.saturating_sub(DEADLINE_MARGIN));
    let left = response_due.since(clock::now());
    let body = read_body(&id, body, limits.max_body_bytes, left, node.body_memory.as_ref());
    let body = unless_closed(node, body).await.map_err(refused)?;
    let name = workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
    let suspects = request_suspects(name, &head.uri, &body, &info.prompt);
    let cache_scope = {
        let now = clock::now();
        let state = &mut *node.state.borrow_mut();
        state.on_request(now, &service, &node.settings.bounds);
        state.planner.on_prompt(now, &service, &info.prompt, rule.target_event_gap);
        let verdict = crashes::check_verdict(node, state, &id, &service, &suspects);
        if verdict != CrashVerdict::Allow {
            return Err(refused(suspect_response(verdict, false)));
        }
        state.routes.cache_scope(workspace.as_ref())
    };
    // The node that has passed a request on has obtained its tokens.
    let limited = workspace.as_ref().filter(|_| !is_forwarded);
    let tokens = workspace_limits::reserve(node, &info, limited, &rule, response_due);
    let tokens = unless_closed(node, tokens).await.map_err(refused)?;
    Ok(RequestContext {
        head,
        body,
        rule,
        service,
        workspace,
        arrived_at,
        response_due,
        deadline: arrived_at + deadline,
        suspects,
        software: SoftwareRule::Any,
        cache_scope,
        tried_servers: Vec::new(),
        history: AttemptHistory::default(),
        tokens,
        is_forwarded: false,
        tried_nodes: Vec::new(),
        info,
    })
}

/// Waits for what a request needs before it is sent, but refuses the request once the node closes: the
/// process may exit before the request would end.
async fn unless_closed<T>(
    node: &Node,
    waiting: impl Future<Output = Result<T, LocalResponse>>,
) -> Result<T, LocalResponse> {
    tokio::select! {
        biased;
        () = node.wait_closed() => Err(LocalResponse::NotRun("node_stops", STOPPING_RETRY)),
        done = waiting => done,
    }
}

/// Whether a response guarantees that the request has not run and never will.
fn is_refusal(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn request_suspects(
    workspace: &str,
    uri: &Uri,
    body: &[u8],
    prompt: &PromptShape,
) -> RequestSuspects {
    let mut bytes = uri.to_string().into_bytes();
    bytes.push(0);
    bytes.extend_from_slice(body);
    let request = SuspectFingerprint::new(workspace, &bytes);
    let parts = prompt.shared_parts().iter();
    RequestSuspects::new(request, parts.map(|part| SuspectFingerprint::of_part(part.id)))
}

/// Sends the request to servers until one responds or no further attempt is allowed.
async fn run<A: PlatformAdapter>(
    node: &Rc<Node>,
    context: &mut RequestContext,
) -> Result<RunOutcome, LocalResponse> {
    if context.software == SoftwareRule::Any {
        context.software = stream_origin::find_rule(node, context).await;
    }
    check_software(node, context)?;
    loop {
        if forward::is_due(node, context) {
            match forward::forward::<A>(node, context).await {
                ForwardResult::Response(response) => {
                    let (now, bounds) = (clock::now(), &node.settings.bounds);
                    let state = &mut *node.state.borrow_mut();
                    state.on_request_passed_on(now, &context.service, bounds);
                    return Ok(RunOutcome::Forwarded(response));
                }
                ForwardResult::Ended(end) => {
                    finish_attempt(node, context, end)?;
                    continue;
                }
                ForwardResult::NoNode => {}
            }
        }
        let opened = if context.history.may_have_run {
            Attempt::open(node, context).await
        } else {
            unless_closed(node, async { Ok(Attempt::open(node, context).await) }).await?
        };
        let attempt = match opened {
            Ok(attempt) => attempt,
            Err(OpenError::Ended(end)) => {
                record_end(context, end)?;
                continue;
            }
            Err(OpenError::Refused(refusal)) => {
                check_software(node, context)?;
                return Err(refusal_response(&context.history, refusal));
            }
            Err(OpenError::Suspect(verdict)) => {
                return Err(suspect_response(verdict, context.history.may_have_run));
            }
        };
        let end = match attempt.send::<A>(node, context, context.info.last_event).await {
            AttemptResult::Complete(response) => return Ok(RunOutcome::Complete(response)),
            AttemptResult::Stream(stream) => return Ok(RunOutcome::Stream(stream)),
            AttemptResult::Failed(response) => {
                match context.history.on_attempt_end(&context.rule, AttemptOutcome::Failed) {
                    NextStep::Retry if take_retry_budget(node, context) => continue,
                    _ => return Ok(RunOutcome::Complete(response)),
                }
            }
            AttemptResult::Ended(end) => end,
        };
        finish_attempt(node, context, end)?;
    }
}

/// Records how an attempt ended. Fails with the final response if no further one is allowed.
fn finish_attempt(
    node: &Rc<Node>,
    context: &mut RequestContext,
    end: AttemptOutcome,
) -> Result<(), LocalResponse> {
    if context.time_left(clock::now()).is_zero() {
        context.history.on_attempt_end(&context.rule, end);
        return Err(timeout_response(&context.history));
    }
    record_end(context, end)?;
    if context.history.is_retry() && !take_retry_budget(node, context) {
        return Err(give_up_response(&context.history, end));
    }
    Ok(())
}

/// Rejects a stream that a client takes up again although no server can continue it.
fn check_software(node: &Node, context: &RequestContext) -> Result<(), LocalResponse> {
    let rejection = match &context.software {
        SoftwareRule::Any => return Ok(()),
        SoftwareRule::Unknown => {
            LocalResponse::NotRun("stream_version_unknown", UNKNOWN_STREAM_RETRY)
        }
        SoftwareRule::Only(software) => {
            let registry = &node.state.borrow().registry;
            if registry.has_usable_software(&context.service, software) {
                return Ok(());
            }
            LocalResponse::NotRun("stream_version_gone", LOST_STREAM_RETRY)
        }
    };
    let may_have_run = context.history.may_have_run;
    Err(if may_have_run { LocalResponse::Unknown("outcome_unknown") } else { rejection })
}

/// Takes one retry from the retry budget of the fleet. Returns whether there was one left.
fn take_retry_budget(node: &Rc<Node>, context: &RequestContext) -> bool {
    let now = clock::now();
    let allowed = node.state.borrow_mut().take_retry(now, &context.service, &node.settings.bounds);
    if !allowed {
        log::info!(request = context.info.request_id, service = context.service; "retry budget is spent");
        metrics::counter!("carobvane_retry_budget_spent_total").increment(1);
    }
    allowed
}

fn record_end(context: &mut RequestContext, end: AttemptOutcome) -> Result<(), LocalResponse> {
    match context.history.on_attempt_end(&context.rule, end) {
        NextStep::Retry => Ok(()),
        NextStep::ForwardError | NextStep::Fail(_) => Err(give_up_response(&context.history, end)),
    }
}
