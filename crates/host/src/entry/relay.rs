//! Carries one completion through: choose an engine, relay its stream, retry or resume.

use std::{sync::Arc, time::Duration};

use carobvane_core::{
    streams::{NextStep, StreamAssembler, StreamSpec},
    suspects::{RunEnd, SuspectFingerprint},
};
use carobvane_proto::{engine::EngineExtension, openai::TokenUsage};
use serde_json::{Map, Value};
use tokio::sync::oneshot;

use super::{
    active::ActiveLists,
    attempt::AttemptError,
    error::{CallerError, ErrorCode},
    placement::{PlacementError, place},
    plans::PlanTicket,
    relay_attempt::{AttemptEnd, RelayAttempt},
    shared::EntryShared,
    sink::ChunkSink,
};

/// A completion that has been admitted.
pub struct RelayRequest {
    /// Name of the request.
    pub id: String,
    /// The caller's workspace.
    pub workspace: String,
    /// The model's name.
    pub model: String,
    /// Path of the endpoint.
    pub path: &'static str,
    /// The caller's body, as it goes to the engine.
    pub body: Map<String, Value>,
    /// The caller's body and workspace, for the count of crashes.
    pub fingerprint: SuspectFingerprint,
    /// Fields that the entry adds.
    pub extension: EngineExtension,
    /// The weights version of the answer.
    pub weights: u64,
    /// The lists under which the request was admitted.
    pub lists: Arc<ActiveLists>,
    /// Tokens of the prompt, as reserved.
    pub prompt_tokens: u64,
    /// The units of the plan.
    pub ticket: PlanTicket,
}

/// A request on its way.
pub(super) struct RelayState {
    /// What has reached the caller.
    pub(super) stream: StreamAssembler,
    /// Token counts from the engine.
    pub(super) usage: TokenUsage,
    excluded: Vec<String>,
    last_error: Option<AttemptError>,
    /// Resolve when the other entries know of this request's crashes.
    told: Vec<oneshot::Receiver<()>>,
}

/// Relays a completion into `sink`.
pub async fn relay<K: ChunkSink>(
    shared: Arc<EntryShared>,
    client: awc::Client,
    mut request: RelayRequest,
    mut sink: K,
) {
    let _guard = shared.begin_request();
    request.ticket.set_used(0);
    let spec = StreamSpec {
        weights_version: request.weights,
        cache_salt: request.extension.cache_salt.clone(),
    };
    let mut state = RelayState {
        stream: StreamAssembler::new(shared.own, shared.next_stream(), spec),
        usage: TokenUsage::default(),
        excluded: Vec::new(),
        last_error: None,
        told: Vec::new(),
    };
    let end = relay_attempts(&shared, &client, &request, &mut state, &mut sink).await;
    request.ticket.set_used(used_tokens(&request, &state));
    let outcome = match end {
        RelayEnd::Complete => {
            sink.finish(state.usage).await.ok();
            "complete"
        }
        RelayEnd::CallerGone => {
            log::info!(request = request.id; "caller has gone");
            "caller_gone"
        }
        RelayEnd::Failed(error) => {
            // A caller that resends at another entry must find the crash known there.
            for told in state.told {
                told.await.ok();
            }
            sink.fail(error).await;
            "failed"
        }
    };
    metrics::counter!("carobvane_requests_total", "outcome" => outcome).increment(1);
}

/// Tokens to settle: the engine's count, or the prompt and what was delivered.
fn used_tokens(request: &RelayRequest, state: &RelayState) -> u64 {
    match state.usage.total_tokens {
        0 if state.stream.may_have_run() => {
            request.prompt_tokens + u64::from(state.stream.delivered())
        }
        total => u64::from(total),
    }
}

enum RelayEnd {
    Complete,
    CallerGone,
    Failed(CallerError),
}

async fn relay_attempts<K: ChunkSink>(
    shared: &EntryShared,
    client: &awc::Client,
    request: &RelayRequest,
    state: &mut RelayState,
    sink: &mut K,
) -> RelayEnd {
    loop {
        let Some(start) = state.stream.open() else {
            return RelayEnd::Failed(final_error(state));
        };
        let mut placement = match place(shared, client, request, &state.excluded).await {
            Ok(placement) => placement,
            Err(PlacementError::NoServer) => return RelayEnd::Failed(final_error(state)),
            Err(PlacementError::Refused(error)) => {
                return RelayEnd::Failed(refusal(error, state));
            }
        };
        log::info!(
            request = request.id, workspace = request.workspace, model = request.model,
            server = placement.server, attempt = start.id.number, offset = start.resume.offset;
            "routed"
        );
        let id = start.id;
        let attempt = RelayAttempt { shared, client, request, start, placement: &mut placement };
        let end = attempt.relay(state, sink).await;
        let error = match end {
            AttemptEnd::Complete => {
                shared.suspects.end(placement.leave(shared), RunEnd::Completed);
                return RelayEnd::Complete;
            }
            AttemptEnd::CallerGone => {
                shared.suspects.end(placement.leave(shared), RunEnd::Ended);
                return RelayEnd::CallerGone;
            }
            AttemptEnd::Failed(error) => error,
        };
        log::warn!(
            request = request.id, server = placement.server, attempt = id.number, error:% = error;
            "attempt failed"
        );
        let crashed = error.may_be_crash() && !placement.is_alive(client, request).await;
        let run_end = if crashed { RunEnd::Crashed } else { RunEnd::Ended };
        state.excluded.push(placement.server.clone());
        state.told.extend(shared.suspects.end(placement.leave(shared), run_end));
        let step = state.stream.fail(id, error.fault());
        state.last_error = Some(error);
        match step {
            NextStep::Complete => return RelayEnd::Complete,
            NextStep::Resume | NextStep::Wait => {}
            NextStep::Stop(_) => return RelayEnd::Failed(final_error(state)),
        }
    }
}

/// The error for a suspect that may not run, after attempts that may have run.
fn refusal(error: CallerError, state: &RelayState) -> CallerError {
    if state.stream.may_have_run() {
        CallerError::unknown(error.code, error.message)
    } else {
        error
    }
}

fn final_error(state: &RelayState) -> CallerError {
    let message = match &state.last_error {
        Some(error) => error.to_string(),
        None => "no backend server can take the request".to_string(),
    };
    if state.stream.delivered() > 0 {
        return CallerError::unknown(ErrorCode::StreamBroken, message);
    }
    if state.stream.may_have_run() {
        return CallerError::unknown(ErrorCode::BackendFailed, message);
    }
    CallerError::not_run(ErrorCode::NoServer, message).with_retry_after(Duration::from_secs(1))
}
