//! Serves calls to plain services under `/v1/services/{service}/{path}`.
//!
//! A non-idempotent call is protected before it is sent: by a claim under its `Idempotency-Key`, or
//! by a permit. It runs in a task of its own, so that its result is recorded even if the client
//! disconnects.

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
    active_lists::{ActiveLists, ClientWorkspace},
    claims::{ClaimSignal, WaitingRequest, not_run_message},
    completions::read_body,
    error::{ApiError, ErrorCode},
    service_call::{CallFailure, SERVICE_TIMEOUT, ServiceCall, ServiceResponse},
    shared::EntryShared,
};
use crate::clock;

/// Longest wait for a claim to be acknowledged.
const CLAIM_WAIT: Duration = Duration::from_secs(3);
/// Longest wait for a claim if the request also has a permit. After that the call runs with the
/// permit.
const PERMIT_CLAIM_WAIT: Duration = Duration::from_millis(500);
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Registers the endpoint.
pub fn configure(config: &mut web::ServiceConfig) {
    config.route("/v1/services/{service}/{path:.*}", web::route().to(serve_call));
}

async fn serve_call(
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Payload,
    shared: web::Data<EntryShared>,
    client: web::Data<awc::Client>,
) -> Result<HttpResponse, ApiError> {
    let shared = shared.into_inner();
    let (service, path) = path.into_inner();
    let id = shared.request_id(&request);
    let (lists, workspace) = shared.authenticate(&request)?;
    let granted = lists.grant(&workspace).is_some_and(|grant| grant.services.contains(&service));
    if !granted || lists.service_servers(&service).is_empty() {
        let message = format!("service {service:?} does not exist or the plan may not use it");
        return Err(ApiError::not_run(ErrorCode::ServiceNotFound, message));
    }
    let body = read_body(body, shared.settings.max_body_bytes).await?;
    let _reservation = shared.plans.admit(&workspace, 0, false).await?;
    let call = ServiceCall::new(id.clone(), service, &path, &request, body, Arc::clone(&lists));
    let response = if is_idempotent(request.method()) {
        let _guard = shared.begin_request();
        let response = call.run(&shared, &client).await.map_err(call_error)?;
        response.into_response()
    } else {
        let identity = CallIdentity::read(&request, &workspace, &shared, &lists)?;
        run_non_idempotent(shared, client.get_ref().clone(), call, identity, workspace).await?
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

/// Idempotency key and permit of a non-idempotent call, of which at least one is present.
struct CallIdentity {
    /// The idempotency key, as the client sent it.
    key: Option<String>,
    /// The permit, already redeemed.
    permit: Option<Permit>,
}

impl CallIdentity {
    fn read(
        request: &HttpRequest,
        workspace: &ClientWorkspace,
        shared: &EntryShared,
        lists: &ActiveLists,
    ) -> Result<CallIdentity, ApiError> {
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let key = header(headers::IDEMPOTENCY_KEY).filter(|key| !key.is_empty());
        let permit = header(headers::PERMIT);
        if key.is_some_and(|key| key.len() > MAX_KEY_BYTES) || (key.is_none() && permit.is_none()) {
            let message = format!(
                "an {} of 1 to {MAX_KEY_BYTES} bytes or an {} is required",
                headers::IDEMPOTENCY_KEY,
                headers::PERMIT
            );
            return Err(ApiError::not_run(ErrorCode::IdempotencyKeyMissing, message));
        }
        let permit =
            permit.map(|text| shared.permits.redeem(text, &workspace.name, lists)).transpose()?;
        Ok(CallIdentity { key: key.map(str::to_string), permit })
    }
}

/// Runs a non-idempotent call in a task of its own and waits for its result.
async fn run_non_idempotent(
    shared: Arc<EntryShared>,
    client: awc::Client,
    call: ServiceCall,
    identity: CallIdentity,
    workspace: ClientWorkspace,
) -> Result<HttpResponse, ApiError> {
    let (reply, answer) = oneshot::channel();
    actix_rt::spawn(async move {
        let _guard = shared.begin_request();
        let CallIdentity { key, permit } = identity;
        let result = match (key, permit) {
            (None, None) => return,
            (None, Some(permit)) => run_with_permit(&shared, &client, &call, &permit).await,
            (Some(key), permit) => {
                let key = ClaimKey::new(&workspace.name, &call.service, &key);
                run_with_claim(&shared, &client, &call, key, permit, &reply).await
            }
        };
        reply.send(result).ok();
    });
    answer.await.unwrap_or_else(|_| {
        Err(ApiError::unknown(ErrorCode::ResultUnknown, "the call ended without a response"))
    })
}

/// Sends the result to the handler; closed once the client has disconnected.
type ReplySender = oneshot::Sender<Result<HttpResponse, ApiError>>;

/// Runs a call under a redeemed permit, which becomes valid again if the call did not run.
async fn run_with_permit(
    shared: &EntryShared,
    client: &awc::Client,
    call: &ServiceCall,
    permit: &Permit,
) -> Result<HttpResponse, ApiError> {
    match call.run(shared, client).await {
        Ok(response) => Ok(response.into_response()),
        Err(failure) => {
            if matches!(failure, CallFailure::NotRun(_)) {
                shared.permits.restore(permit);
            }
            Err(call_error(failure))
        }
    }
}

/// Runs a call under a claim of its idempotency key. If no claim can be made, a request that also
/// has a permit runs with it. While claims work, the key is claimed although there is a permit, so
/// that the key stays protected.
async fn run_with_claim(
    shared: &EntryShared,
    client: &awc::Client,
    call: &ServiceCall,
    key: ClaimKey,
    permit: Option<Permit>,
    reply: &ReplySender,
) -> Result<HttpResponse, ApiError> {
    let fingerprint = BodyFingerprint::new(call.method.as_str(), &call.path, &call.body);
    let wait = if permit.is_some() { PERMIT_CLAIM_WAIT } else { CLAIM_WAIT };
    let dispatch_by = clock::now() + wait;
    let deadline = dispatch_by + SERVICE_TIMEOUT;
    let request = ClaimRequest { key, fingerprint, dispatch_by, deadline };
    let mut own_response = None;
    let answer = match (&permit, shared.claims.is_store_down()) {
        (Some(_), true) => ClaimAnswer::NotRun(NotRunCause::StoreDown),
        _ => match shared.claims.submit(request) {
            Ok(waiting) => {
                execute_claim(shared, client, call, waiting, reply, &mut own_response).await
            }
            Err(answer) => answer,
        },
    };
    log::info!(request = call.id, answer = answer_name(&answer); "recorded call finished");
    match (answer, permit) {
        (ClaimAnswer::NotRun(cause), Some(permit)) if cause != NotRunCause::NotSent => {
            run_with_permit(shared, client, call, &permit).await
        }
        (ClaimAnswer::NotRun(NotRunCause::NotSent), Some(permit)) => {
            shared.permits.restore(&permit);
            Err(claim_error(ClaimAnswer::NotRun(NotRunCause::NotSent)))
        }
        (ClaimAnswer::Response(response), _) => Ok(own_response
            .unwrap_or_else(|| ServiceResponse::from_stored(response))
            .into_response()),
        (ClaimAnswer::Stored(response), _) => Ok(replayed_response(response)),
        (answer, _) => Err(claim_error(answer)),
    }
}

/// Waits for the claim, sends the call and reports its outcome to the coordinator, until the
/// coordinator has the answer. Stores the server's response with all its headers in `own_response`,
/// because the answer holds only what is recorded.
async fn execute_claim(
    shared: &EntryShared,
    client: &awc::Client,
    call: &ServiceCall,
    mut waiting: WaitingRequest,
    reply: &ReplySender,
    own_response: &mut Option<ServiceResponse>,
) -> ClaimAnswer {
    loop {
        match waiting.signals.recv().await {
            Some(ClaimSignal::Answer(answer)) => return answer,
            Some(ClaimSignal::Dispatch { not_after }) => {
                // The client has disconnected, or the process was paused past the deadline: the
                // call does not run.
                let outcome = if reply.is_closed() || clock::now() >= not_after {
                    DispatchOutcome::NotRun
                } else {
                    match call.run(shared, client).await {
                        Ok(response) => {
                            let stored = response.to_stored();
                            *own_response = Some(response);
                            DispatchOutcome::Response(stored)
                        }
                        Err(CallFailure::NotRun(_)) => DispatchOutcome::NotRun,
                        Err(CallFailure::Unknown(_)) => DispatchOutcome::Unknown,
                    }
                };
                shared.claims.on_dispatched(waiting.handle, outcome);
            }
            None => return ClaimAnswer::OutcomeUnknown(UnknownCause::NoResult),
        }
    }
}

fn replayed_response(response: StoredResponse) -> HttpResponse {
    let mut answer = ServiceResponse::from_stored(response).into_response();
    let name = HeaderName::from_static(headers::REPLAYED);
    answer.headers_mut().insert(name, HeaderValue::from_static("true"));
    answer
}

fn call_error(failure: CallFailure) -> ApiError {
    match failure {
        CallFailure::NotRun(message) => ApiError::not_run(ErrorCode::NoServer, message),
        CallFailure::Unknown(message) => ApiError::unknown(ErrorCode::BackendFailed, message),
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

fn claim_error(answer: ClaimAnswer) -> ApiError {
    match answer {
        ClaimAnswer::NotRun(NotRunCause::NotSent) => {
            ApiError::not_run(ErrorCode::NoServer, not_run_message(NotRunCause::NotSent))
        }
        ClaimAnswer::NotRun(cause) => {
            ApiError::not_run(ErrorCode::RecordUnavailable, not_run_message(cause))
                .with_retry_after(Duration::from_secs(1))
        }
        ClaimAnswer::BodyMismatch => {
            let message = "the idempotency key was used for a call with another body";
            ApiError::not_run(ErrorCode::IdempotencyMismatch, message)
        }
        ClaimAnswer::OutcomeUnknown(UnknownCause::NoResult) => {
            ApiError::unknown(ErrorCode::BackendFailed, "the server failed during the call")
        }
        ClaimAnswer::OutcomeUnknown(_) | ClaimAnswer::Response(_) | ClaimAnswer::Stored(_) => {
            let message = "a call with this idempotency key may have run";
            ApiError::unknown(ErrorCode::ResultUnknown, message)
        }
    }
}
