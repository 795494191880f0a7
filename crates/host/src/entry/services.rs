//! Calls to plain services under `/v1/services/{service}/{path}`.
//!
//! A call that must not be repeated is recorded before it is sent: by a claim under its
//! `Idempotency-Key`, or by a permit. It runs in a task of its own, so that its result is recorded
//! although its caller may have gone.

use std::{sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        Method,
        header::{HeaderName, HeaderValue},
    },
    web,
};
use carobvane_core::claims::{
    BodyFingerprint, ClaimAnswer, ClaimKey, ClaimRequest, DispatchOutcome, NotRunCause, Permit,
    StoredResponse, UnknownCause,
};
use carobvane_proto::headers;
use tokio::sync::oneshot;

use super::{
    active::{ActiveLists, CallerWorkspace},
    claims::{ClaimSignal, WaitingRequest, not_run_message},
    completions::read_body,
    error::{CallerError, ErrorCode},
    service_call::{CallFailure, SERVICE_TIMEOUT, ServiceAnswer, ServiceCall},
    shared::EntryShared,
};
use crate::clock;

/// Longest wait for a claim to be acknowledged.
const CLAIM_WAIT: Duration = Duration::from_secs(3);
/// Longest wait for a claim when the request also has a permit, which takes over after that.
const PERMIT_CLAIM_WAIT: Duration = Duration::from_millis(500);
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Adds the endpoint.
pub fn configure(config: &mut web::ServiceConfig) {
    config.route("/v1/services/{service}/{path:.*}", web::route().to(call_service));
}

async fn call_service(
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Payload,
    shared: web::Data<EntryShared>,
    client: web::Data<awc::Client>,
) -> Result<HttpResponse, CallerError> {
    let shared = shared.into_inner();
    let (service, path) = path.into_inner();
    let id = shared.request_id(&request);
    let (lists, workspace) = shared.admit(&request)?;
    let granted = lists.grant(&workspace).is_some_and(|grant| grant.services.contains(&service));
    if !granted || lists.services(&service).is_empty() {
        let message = format!("service {service:?} does not exist or the plan may not use it");
        return Err(CallerError::not_run(ErrorCode::ServiceNotFound, message));
    }
    let body = read_body(body, shared.settings.max_body_bytes).await?;
    let _ticket = shared.plans.admit(&workspace, 0, false).await?;
    let call = ServiceCall::new(id.clone(), service, &path, &request, body, Arc::clone(&lists));
    let response = if is_idempotent(request.method()) {
        let _guard = shared.begin_request();
        let answer = call.run(&shared, &client).await.map_err(call_error)?;
        answer.into_response()
    } else {
        let identity = CallIdentity::read(&request, &workspace, &shared, &lists)?;
        run_recorded(shared, client.get_ref().clone(), call, identity, workspace).await?
    };
    let mut response = response;
    if let Ok(value) = id.parse() {
        let name = HeaderName::from_static(headers::REQUEST_ID);
        response.headers_mut().insert(name, value);
    }
    Ok(response)
}

fn is_idempotent(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS, Method::PUT, Method::DELETE].contains(method)
}

/// What names a call that must not be repeated.
struct CallIdentity {
    key: Option<String>,
    /// Redeemed already.
    permit: Option<Permit>,
}

impl CallIdentity {
    fn read(
        request: &HttpRequest,
        workspace: &CallerWorkspace,
        shared: &EntryShared,
        lists: &ActiveLists,
    ) -> Result<CallIdentity, CallerError> {
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let key = header(headers::IDEMPOTENCY_KEY).filter(|key| !key.is_empty());
        let permit = header(headers::PERMIT);
        if key.is_some_and(|key| key.len() > MAX_KEY_BYTES) || (key.is_none() && permit.is_none()) {
            let message = format!(
                "an {} of 1 to {MAX_KEY_BYTES} bytes or an {} is required",
                headers::IDEMPOTENCY_KEY,
                headers::PERMIT
            );
            return Err(CallerError::not_run(ErrorCode::IdempotencyKeyMissing, message));
        }
        let permit =
            permit.map(|text| shared.permits.redeem(text, &workspace.name, lists)).transpose()?;
        Ok(CallIdentity { key: key.map(str::to_string), permit })
    }
}

/// Runs a call that must not be repeated.
async fn run_recorded(
    shared: Arc<EntryShared>,
    client: awc::Client,
    call: ServiceCall,
    identity: CallIdentity,
    workspace: CallerWorkspace,
) -> Result<HttpResponse, CallerError> {
    let (reply, answer) = oneshot::channel();
    actix_rt::spawn(async move {
        let _guard = shared.begin_request();
        let CallIdentity { key, permit } = identity;
        let result = match (key, permit) {
            (None, None) => return,
            (None, Some(permit)) => run_permitted(&shared, &client, &call, &permit).await,
            (Some(key), permit) => {
                let key = ClaimKey::new(&workspace.name, &call.service, &key);
                run_claimed(&shared, &client, &call, key, permit, &reply).await
            }
        };
        reply.send(result).ok();
    });
    answer.await.unwrap_or_else(|_| {
        Err(CallerError::unknown(ErrorCode::ResultUnknown, "the call ended without an answer"))
    })
}

type Reply = oneshot::Sender<Result<HttpResponse, CallerError>>;

async fn run_permitted(
    shared: &EntryShared,
    client: &awc::Client,
    call: &ServiceCall,
    permit: &Permit,
) -> Result<HttpResponse, CallerError> {
    match call.run(shared, client).await {
        Ok(answer) => Ok(answer.into_response()),
        Err(failure) => {
            if matches!(failure, CallFailure::NotRun(_)) {
                shared.permits.restore(permit);
            }
            Err(call_error(failure))
        }
    }
}

/// Runs a call under its claim. With a permit as well, the call runs by the permit when no claim
/// can be made; while claims can be made, they protect the key although a permit is used.
async fn run_claimed(
    shared: &EntryShared,
    client: &awc::Client,
    call: &ServiceCall,
    key: ClaimKey,
    permit: Option<Permit>,
    reply: &Reply,
) -> Result<HttpResponse, CallerError> {
    let fingerprint = BodyFingerprint::new(call.method.as_str(), &call.path, &call.body);
    let wait = if permit.is_some() { PERMIT_CLAIM_WAIT } else { CLAIM_WAIT };
    let dispatch_by = clock::now() + wait;
    let deadline = dispatch_by + SERVICE_TIMEOUT;
    let request = ClaimRequest { key, fingerprint, dispatch_by, deadline };
    let mut own = None;
    let answer = match (&permit, shared.claims.is_down()) {
        (Some(_), true) => ClaimAnswer::NotRun(NotRunCause::StoreDown),
        _ => match shared.claims.submit(request) {
            Ok(waiting) => follow_claim(shared, client, call, waiting, reply, &mut own).await,
            Err(answer) => answer,
        },
    };
    log::info!(request = call.id, answer = answer_name(&answer); "call recorded");
    match (answer, permit) {
        (ClaimAnswer::NotRun(cause), Some(permit)) if cause != NotRunCause::NotSent => {
            run_permitted(shared, client, call, &permit).await
        }
        (ClaimAnswer::NotRun(NotRunCause::NotSent), Some(permit)) => {
            shared.permits.restore(&permit);
            Err(claim_error(ClaimAnswer::NotRun(NotRunCause::NotSent)))
        }
        (ClaimAnswer::Response(response), _) => {
            Ok(own.unwrap_or_else(|| ServiceAnswer::from_stored(response)).into_response())
        }
        (ClaimAnswer::Stored(response), _) => Ok(replayed_response(response)),
        (answer, _) => Err(claim_error(answer)),
    }
}

/// Waits for the claim, sends the call and reports its outcome, until the book has the answer.
/// `own` takes the server's answer with all its headers.
async fn follow_claim(
    shared: &EntryShared,
    client: &awc::Client,
    call: &ServiceCall,
    mut waiting: WaitingRequest,
    reply: &Reply,
    own: &mut Option<ServiceAnswer>,
) -> ClaimAnswer {
    loop {
        match waiting.signals.recv().await {
            Some(ClaimSignal::Answer(answer)) => return answer,
            Some(ClaimSignal::Dispatch { not_after }) => {
                // Nobody waits any more, or the process was paused: the call does not run.
                let outcome = if reply.is_closed() || clock::now() >= not_after {
                    DispatchOutcome::NotRun
                } else {
                    match call.run(shared, client).await {
                        Ok(answer) => {
                            let stored = answer.to_stored();
                            *own = Some(answer);
                            DispatchOutcome::Response(stored)
                        }
                        Err(CallFailure::NotRun(_)) => DispatchOutcome::NotRun,
                        Err(CallFailure::Unknown(_)) => DispatchOutcome::Unknown,
                    }
                };
                shared.claims.dispatched(waiting.handle, outcome);
            }
            None => return ClaimAnswer::OutcomeUnknown(UnknownCause::NoResult),
        }
    }
}

fn replayed_response(response: StoredResponse) -> HttpResponse {
    let mut answer = ServiceAnswer::from_stored(response).into_response();
    let name = HeaderName::from_static(headers::REPLAYED);
    answer.headers_mut().insert(name, HeaderValue::from_static("true"));
    answer
}

fn call_error(failure: CallFailure) -> CallerError {
    match failure {
        CallFailure::NotRun(message) => CallerError::not_run(ErrorCode::NoServer, message),
        CallFailure::Unknown(message) => CallerError::unknown(ErrorCode::BackendFailed, message),
    }
}

fn answer_name(answer: &ClaimAnswer) -> &'static str {
    match answer {
        ClaimAnswer::NotRun(_) => "not_run",
        ClaimAnswer::OutcomeUnknown(_) => "outcome_unknown",
        ClaimAnswer::Response(_) => "response",
        ClaimAnswer::Stored(_) => "stored",
        ClaimAnswer::BodyMismatch => "body_mismatch",
    }
}

fn claim_error(answer: ClaimAnswer) -> CallerError {
    match answer {
        ClaimAnswer::NotRun(NotRunCause::NotSent) => {
            CallerError::not_run(ErrorCode::NoServer, not_run_message(NotRunCause::NotSent))
        }
        ClaimAnswer::NotRun(cause) => {
            CallerError::not_run(ErrorCode::RecordUnavailable, not_run_message(cause))
                .with_retry_after(Duration::from_secs(1))
        }
        ClaimAnswer::BodyMismatch => {
            let message = "the idempotency key was used for a call with another body";
            CallerError::not_run(ErrorCode::IdempotencyMismatch, message)
        }
        ClaimAnswer::OutcomeUnknown(UnknownCause::NoResult) => {
            CallerError::unknown(ErrorCode::BackendFailed, "the server failed during the call")
        }
        ClaimAnswer::OutcomeUnknown(_) | ClaimAnswer::Response(_) | ClaimAnswer::Stored(_) => {
            let message = "a call with this idempotency key may have run";
            CallerError::unknown(ErrorCode::ResultUnknown, message)
        }
    }
}
