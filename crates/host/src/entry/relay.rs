//! Carries one completion through: choose an engine, relay its stream, retry or resume.

use std::{sync::Arc, time::Duration};

use carobvane_core::{
    streams::{NextStep, StreamAssembler, StreamSpec},
    suspects::{RunEnd, SuspectAdmission, SuspectFingerprint},
};
use carobvane_proto::{engine::EngineExtension, openai::TokenUsage};
use serde_json::{Map, Value};
use tokio::sync::oneshot;

use super::{
    active::ActiveLists,
    attempt::AttemptError,
    error::{CallerError, ErrorCode},
    plans::PlanTicket,
    relay_attempt::{AttemptEnd, RelayAttempt},
    shared::EntryShared,
    sink::ChunkSink,
};

/// Longest wait of a suspect for a server without requests. After that it shares a server with
/// requests that are no suspects, because under load no server would ever be free.
const ALONE_WAIT: Duration = Duration::from_millis(300);
/// Interval at which a suspect looks for a server.
const ALONE_POLL: Duration = Duration::from_millis(10);
/// When to come back with a suspect that runs already.
const BUSY_RETRY: Duration = Duration::from_secs(1);

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
        let admission = shared.suspects.admit(request.fingerprint);
        if let Some(error) = refusal(admission, state) {
            return RelayEnd::Failed(error);
        }
        let Some(start) = state.stream.open() else {
            return RelayEnd::Failed(final_error(state));
        };
        let Some(server) = choose_server(shared, request, admission, &state.excluded).await else {
            return RelayEnd::Failed(final_error(state));
        };
        log::info!(
            request = request.id, workspace = request.workspace, model = request.model,
            server = server, attempt = start.id.number, offset = start.resume.offset; "routed"
        );
        let id = start.id;
        shared.pool().begin(&server);
        let mut run = shared.suspects.begin(request.fingerprint, &server);
        let run_on = &mut run;
        let attempt = RelayAttempt { shared, client, request, server: &server, start, run: run_on };
        let end = attempt.relay(state, sink).await;
        shared.pool().end(&server);
        if admission == SuspectAdmission::RunAlone {
            shared.pool().end_suspect(&server);
        }
        let error = match end {
            AttemptEnd::Complete => {
                shared.suspects.end(run, RunEnd::Completed);
                return RelayEnd::Complete;
            }
            AttemptEnd::CallerGone => {
                shared.suspects.end(run, RunEnd::Ended);
                return RelayEnd::CallerGone;
            }
            AttemptEnd::Failed(error) => error,
        };
        log::warn!(
            request = request.id, server = server, attempt = id.number, error:% = error;
            "attempt failed"
        );
        state.told.extend(shared.suspects.end(run, error.run_end()));
        let step = state.stream.fail(id, error.fault());
        state.excluded.push(server);
        state.last_error = Some(error);
        match step {
            NextStep::Complete => return RelayEnd::Complete,
            NextStep::Resume | NextStep::Wait => {}
            NextStep::Stop(_) => return RelayEnd::Failed(final_error(state)),
        }
    }
}

/// The error for a suspect that may not run.
fn refusal(admission: SuspectAdmission, state: &RelayState) -> Option<CallerError> {
    let error = match admission {
        SuspectAdmission::Run | SuspectAdmission::RunAlone => return None,
        SuspectAdmission::Busy => {
            CallerError::not_run(ErrorCode::Overloaded, "the same request runs alone already")
                .with_retry_after(BUSY_RETRY)
        }
        SuspectAdmission::Reject => CallerError::not_run(
            ErrorCode::CrashesServers,
            "backend servers have crashed while they ran this request",
        ),
    };
    Some(match &state.last_error {
        Some(_) => {
            CallerError { retry_after: None, ..CallerError::unknown(error.code, error.message) }
        }
        None => error,
    })
}

async fn choose_server(
    shared: &EntryShared,
    request: &RelayRequest,
    admission: SuspectAdmission,
    excluded: &[String],
) -> Option<String> {
    let names = request.lists.engines(&request.model);
    if admission != SuspectAdmission::RunAlone {
        return shared.pool().choose(names, excluded).map(str::to_string);
    }
    let waiting = async {
        loop {
            if let Some(server) = shared.pool().choose_for_suspect(names, excluded, false) {
                return server;
            }
            tokio::time::sleep(ALONE_POLL).await;
        }
    };
    match tokio::time::timeout(ALONE_WAIT, waiting).await {
        Ok(server) => Some(server),
        Err(_) => shared.pool().choose_for_suspect(names, excluded, true),
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
