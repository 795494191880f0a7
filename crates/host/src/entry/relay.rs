//! Serves one completion: chooses an engine, relays its stream, and retries or resumes after a
//! failure.

use std::{sync::Arc, time::Duration};

use carobvane_core::{
    ids::ServerKey,
    routing::FailureKind,
    streams::{AttemptFault, FailureAction, StreamAssembler, StreamSpec},
    suspects::{EndReason, RequestSuspects},
};
use carobvane_proto::{admin::DecisionReport, engine::EngineExtension, openai::TokenUsage};
use serde_json::{Map, Value};
use tokio::sync::oneshot;

use super::{
    active_lists::ActiveLists,
    attempt::AttemptError,
    attempt_start::{LaunchedAttempt, record_decision, start_attempt},
    error::{ApiError, ErrorCode},
    placement::{Placement, is_same_incarnation, place_attempt},
    plans::ReservationGuard,
    relay_attempt::{AttemptOutcome, relay_stream},
    routing::RouteQuery,
    shared::EntryShared,
    sink::ChunkSink,
};
use crate::clock;

/// A completion that has passed authentication and plan limits.
pub struct RelayRequest {
    /// Id of the request.
    pub id: String,
    /// Name of the client's workspace.
    pub workspace: String,
    /// Name of the model.
    pub model: String,
    /// Path of the endpoint, which is the same on the engine.
    pub path: &'static str,
    /// Body that is sent to the engine, without the fields of `extension`.
    pub body: Map<String, Value>,
    /// Fingerprint of the workspace and the client's body, under which crashes of servers are
    /// counted.
    pub suspects: RequestSuspects,
    /// Fields that the entry adds to the body of each attempt.
    pub extension: EngineExtension,
    /// Version of the weights that the answer must come from, also after a resume.
    pub weights_version: u64,
    /// Inputs of the routing decision.
    pub query: RouteQuery,
    /// Lists that were in force when the request was admitted.
    pub lists: Arc<ActiveLists>,
    /// Reserved units of the plan, settled with the tokens used when the request ends.
    pub reservation: ReservationGuard,
}

/// Progress of a completion across its attempts.
pub struct RelayState {
    /// Tracks what was delivered to the client and rejects duplicate, late or missing chunks.
    pub stream: StreamAssembler,
    /// Token counts that the engine reported last.
    pub usage: TokenUsage,
    /// Servers on which an attempt of this request has failed.
    excluded: Vec<ServerKey>,
    /// Error of the last attempt that failed.
    last_error: Option<AttemptError>,
    /// Each resolves when the other entries know of a server crash that this request caused.
    crash_reports: Vec<oneshot::Receiver<()>>,
}

impl RelayState {
    fn new(shared: &EntryShared, request: &RelayRequest) -> RelayState {
        let spec = StreamSpec {
            weights_version: request.weights_version,
            cache_salt: request.extension.cache_salt.clone(),
        };
        RelayState {
            stream: StreamAssembler::new(shared.own, shared.next_stream_number(), spec),
            usage: TokenUsage::default(),
            excluded: Vec::new(),
            last_error: None,
            crash_reports: Vec::new(),
        }
    }

    /// Records the failure of an attempt and returns what to do next.
    pub async fn fail_attempt(
        &mut self,
        shared: &EntryShared,
        client: &awc::Client,
        request: &RelayRequest,
        launched: LaunchedAttempt,
        error: AttemptError,
    ) -> FailureAction {
        let LaunchedAttempt { start, placement: Placement { routed, run, suspect_guard } } =
            launched;
        log::warn!(
            request = request.id, server = routed.name, attempt = start.id.number,
            error:% = error; "attempt failed"
        );
        let kind = match error.fault() {
            AttemptFault::NotRun => FailureKind::Refused,
            _ => FailureKind::Broken,
        };
        {
            let mut routing = shared.routing();
            if matches!(error, AttemptError::NotSent(_)) {
                routing.router.set_server_unreachable(routed.server, true);
            }
            routing.fail_attempt(clock::now(), &routed, kind);
        }
        let crashed =
            error.may_be_crash() && !is_same_incarnation(client, request, &routed.name, &run).await;
        let end = if crashed { EndReason::Crashed } else { EndReason::Incomplete };
        self.crash_reports.extend(shared.suspects.end_run(run, end));
        drop(suspect_guard);
        let name = start.id.to_string();
        shared.decisions().end_attempt(&request.id, &name, error.to_string());
        self.excluded.push(routed.server);
        let action = self.stream.fail_attempt(start.id, error.fault());
        self.last_error = Some(error);
        action
    }

    /// Records that an attempt was cancelled, because another attempt answered first or the client
    /// disconnected.
    pub fn cancel_attempt(&mut self, shared: &EntryShared, launched: LaunchedAttempt) {
        let LaunchedAttempt { start, placement: Placement { routed, run, .. } } = launched;
        shared.routing().fail_attempt(clock::now(), &routed, FailureKind::Cancelled);
        shared.suspects.end_run(run, EndReason::Incomplete);
        self.stream.fail_attempt(start.id, AttemptFault::Broken);
    }

    /// Returns whether another attempt is allowed. It is free if the last one provably did not run,
    /// since it then adds no load; otherwise it draws on the shared budget.
    fn may_continue(&self, shared: &EntryShared, request: &RelayRequest) -> bool {
        let is_free =
            self.last_error.as_ref().is_none_or(|error| error.fault() == AttemptFault::NotRun);
        if is_free || shared.routing().budget.try_take_retry(clock::now()) {
            return true;
        }
        log::warn!(request = request.id; "attempt budget exhausted");
        false
    }

    fn attempt_kind(&self) -> &'static str {
        match (&self.last_error, self.stream.delivered()) {
            (None, _) => "first",
            (_, 0) => "retry",
            _ => "resume",
        }
    }
}

/// Serves a completion and writes its answer or its error to `sink`.
pub async fn relay<K: ChunkSink>(
    shared: Arc<EntryShared>,
    client: awc::Client,
    mut request: RelayRequest,
    mut sink: K,
) {
    let _guard = shared.begin_request();
    request.reservation.set_used_tokens(0);
    shared.routing().budget.count_request(clock::now());
    shared.decisions().begin_request(decision_report(&shared, &request));
    let mut state = RelayState::new(&shared, &request);
    let end = relay_attempts(&shared, &client, &request, &mut state, &mut sink).await;
    request.reservation.set_used_tokens(used_tokens(&request, &state));
    let (outcome, code) = match &end {
        RelayOutcome::Complete => ("complete", None),
        RelayOutcome::ClientDisconnected => ("outcome_unknown", None),
        RelayOutcome::Failed(error) => (error.outcome.as_str(), Some(error.code.as_str())),
    };
    shared.decisions().end_request(&request.id, outcome, code);
    let outcome = match end {
        RelayOutcome::Complete => {
            sink.finish(state.usage).await.ok();
            "complete"
        }
        RelayOutcome::ClientDisconnected => {
            log::info!(request = request.id; "client disconnected");
            "caller_gone"
        }
        RelayOutcome::Failed(error) => {
            log::warn!(
                request = request.id, code = error.code.as_str(),
                outcome = error.outcome.as_str(), cause = error.message; "request failed"
            );
            // The error is held back until the other entries know of the crash, because the client
            // may send the request again to any of them.
            for report in state.crash_reports {
                report.await.ok();
            }
            sink.fail(error).await;
            "failed"
        }
    };
    metrics::counter!("carobvane_requests_total", "outcome" => outcome).increment(1);
}

fn decision_report(shared: &EntryShared, request: &RelayRequest) -> DecisionReport {
    let since_epoch = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    DecisionReport {
        request_id: request.id.clone(),
        node: shared.own.node.0,
        unix_ms: since_epoch.as_millis() as u64,
        workspace: request.workspace.clone(),
        target: format!("model/{}", request.model),
        list_version: request.lists.version.number,
        outcome: "running".to_string(),
        ..DecisionReport::default()
    }
}

/// Returns the tokens to charge: the engine's count, or an estimate from the prompt and the
/// delivered tokens if a request that may have run has no count.
fn used_tokens(request: &RelayRequest, state: &RelayState) -> u64 {
    match state.usage.total_tokens {
        0 if state.stream.may_have_run() => {
            u64::from(request.query.features.prompt_tokens) + u64::from(state.stream.delivered())
        }
        total => u64::from(total),
    }
}

/// How the relay of a completion ended.
enum RelayOutcome {
    Complete,
    ClientDisconnected,
    Failed(ApiError),
}

async fn relay_attempts<K: ChunkSink>(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    state: &mut RelayState,
    sink: &mut K,
) -> RelayOutcome {
    loop {
        if !state.may_continue(shared, request) {
            return RelayOutcome::Failed(final_error(state, None));
        }
        let placement = match place_attempt(shared, client, request, &state.excluded).await {
            Ok(placement) => placement,
            Err(error) => return RelayOutcome::Failed(final_error(state, Some(error))),
        };
        let Some(start) = state.stream.open_attempt() else {
            shared.suspects.end_run(placement.run, EndReason::Incomplete);
            shared.routing().fail_attempt(clock::now(), &placement.routed, FailureKind::Cancelled);
            return RelayOutcome::Failed(final_error(state, None));
        };
        record_decision(shared, request, &placement.routed, state.attempt_kind(), &start);
        let launched = LaunchedAttempt { start, placement };
        let action = match start_attempt(shared, client, request, launched, state).await {
            Ok(mut started) => {
                let end = relay_stream(shared, &mut started, state, sink).await;
                let launched = started.launched;
                match end {
                    AttemptOutcome::Complete => {
                        actix_rt::spawn(started.stream.read_to_end());
                        complete_attempt(shared, request, state, launched);
                        return RelayOutcome::Complete;
                    }
                    AttemptOutcome::ClientDisconnected => {
                        state.cancel_attempt(shared, launched);
                        return RelayOutcome::ClientDisconnected;
                    }
                    AttemptOutcome::Failed(error) => {
                        state.fail_attempt(shared, client, request, launched, error).await
                    }
                }
            }
            Err(action) => action,
        };
        match action {
            FailureAction::Complete => return RelayOutcome::Complete,
            FailureAction::Resume | FailureAction::Wait => {}
            FailureAction::Stop(_) => return RelayOutcome::Failed(final_error(state, None)),
        }
    }
}

fn complete_attempt(
    shared: &EntryShared,
    request: &RelayRequest,
    state: &RelayState,
    launched: LaunchedAttempt,
) {
    let tokens = state.stream.delivered();
    shared.routing().complete_attempt(
        clock::now(),
        &launched.placement.routed,
        &request.query,
        tokens,
    );
    shared.suspects.end_run(launched.placement.run, EndReason::Completed);
    let name = launched.start.id.to_string();
    shared.decisions().end_attempt(&request.id, &name, "complete".to_string());
}

/// Returns the error of a request without a complete answer. `refusal` is set if the last attempt
/// was refused before anything was sent.
fn final_error(state: &RelayState, refusal: Option<ApiError>) -> ApiError {
    let message = match (&state.last_error, &refusal) {
        (Some(error), _) => error.to_string(),
        (None, Some(refusal)) => refusal.message.clone(),
        (None, None) => "no backend server can accept the request".to_string(),
    };
    if let Some(refusal) = &refusal
        && refusal.code == ErrorCode::CrashesServers
        && state.stream.may_have_run()
    {
        return ApiError::unknown(refusal.code, refusal.message.clone());
    }
    if state.stream.delivered() > 0 {
        return ApiError::unknown(ErrorCode::StreamBroken, message);
    }
    if state.stream.may_have_run() {
        return ApiError::unknown(ErrorCode::BackendFailed, message);
    }
    refusal.unwrap_or_else(|| {
        ApiError::not_run(ErrorCode::NoServer, message).with_retry_after(Duration::from_secs(1))
    })
}
