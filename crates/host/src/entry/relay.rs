//! Carries one completion through: choose an engine, relay its stream, retry or resume.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use carobvane_core::routing::{DispatchKey, FailureKind};
use carobvane_proto::{engine::EngineExtension, openai::TokenUsage};
use futures::Stream;
use serde_json::{Map, Value};

use super::{
    active::ActiveLists,
    attempt::{AttemptError, AttemptEvent, EngineChunk},
    error::{CallerError, ErrorCode},
    launch::{
        AttemptNames, StartedAttempt, attempt_failed, log_decision, route_attempt, start_attempt,
    },
    routes::RouteQuery,
    shared::EntryShared,
    sink::{CallerGone, ChunkSink},
};
use crate::clock;

/// Attempts at one request, resumes included.
const MAX_ATTEMPTS: u32 = 4;
/// Chunks between two reports of the gap between tokens, so that most chunks take no lock.
const GAP_CHUNKS: u32 = 16;

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
    /// Fields that the entry adds.
    pub extension: EngineExtension,
    /// The weights version of the answer.
    pub weights: u64,
    /// What routing needs.
    pub query: RouteQuery,
    /// The lists under which the request was admitted.
    pub lists: Arc<ActiveLists>,
}

/// What has reached the caller.
#[derive(Debug, Default)]
pub struct DeliveredAnswer {
    /// Tokens.
    pub tokens: u32,
    /// Their text.
    pub text: String,
    finished: bool,
    usage: TokenUsage,
}

/// Why the relay of one attempt ended.
enum AttemptEnd {
    Complete,
    Failed(AttemptError),
    CallerGone,
}

/// What the attempts so far prove.
#[derive(Debug, Default)]
struct AttemptRecord {
    /// Whether some attempt may have run. Once true it stays true, whatever later attempts prove.
    may_have_run: bool,
    last: Option<AttemptError>,
}

impl AttemptRecord {
    fn add(&mut self, error: AttemptError) {
        self.may_have_run |= !proves_not_run(&error);
        self.last = Some(error);
    }

    /// Whether the next attempt places no extra load, because the last one placed none.
    fn next_is_free(&self) -> bool {
        self.last.as_ref().is_none_or(proves_not_run)
    }
}

fn proves_not_run(error: &AttemptError) -> bool {
    matches!(error, AttemptError::NotSent(_) | AttemptError::Rejected { .. })
}

/// Relays a completion into `sink`.
pub async fn relay<K: ChunkSink>(
    shared: Arc<EntryShared>,
    client: awc::Client,
    request: RelayRequest,
    mut sink: K,
) {
    let _guard = shared.begin_request();
    shared.routes().budget.request_started(clock::now());
    let mut delivered = DeliveredAnswer::default();
    let mut record = AttemptRecord::default();
    let result =
        attempt_until_done(&shared, &client, &request, &mut delivered, &mut record, &mut sink)
            .await;
    let outcome = match result {
        Ok(AttemptEnd::Complete) => {
            sink.finish(delivered.usage).await.ok();
            "complete"
        }
        Ok(_) => {
            log::info!(request = request.id; "caller has gone");
            "caller_gone"
        }
        Err(refusal) => {
            sink.fail(final_error(refusal, record, &delivered)).await;
            "failed"
        }
    };
    metrics::counter!("carobvane_requests_total", "outcome" => outcome).increment(1);
}

/// Runs attempts until the answer is complete, the caller has gone, or no further one is allowed.
async fn attempt_until_done<K: ChunkSink>(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    delivered: &mut DeliveredAnswer,
    record: &mut AttemptRecord,
    sink: &mut K,
) -> Result<AttemptEnd, Option<CallerError>> {
    let mut excluded = Vec::new();
    let mut names = AttemptNames::new();
    for number in 0..MAX_ATTEMPTS {
        if number > 0 && !record.next_is_free() {
            let allowed = shared.routes().budget.try_extra(clock::now());
            if !allowed {
                log::warn!(request = request.id; "no budget for another attempt");
                return Err(None);
            }
        }
        let routed = route_attempt(shared, request, &excluded).await.map_err(Some)?;
        let kind = match (number, delivered.tokens) {
            (0, _) => "first",
            (_, 0) => "retry",
            _ => "resume",
        };
        let candidates = shared.routes().describe(&routed.decision);
        log_decision(&candidates, request, &routed, kind, delivered.tokens);
        let started = start_attempt(shared, client, request, routed, &mut names, delivered).await;
        let mut started = match started {
            Ok(started) => started,
            Err(failures) => {
                for failure in failures {
                    log_failure(request, number, &failure.error);
                    excluded.push(failure.server);
                    record.add(failure.error);
                }
                continue;
            }
        };
        let end = relay_stream(shared, &mut started, delivered, sink).await;
        let (now, routed) = (clock::now(), &started.routed);
        match end {
            AttemptEnd::Complete => {
                shared.routes().finished(now, routed, &request.query, delivered.tokens);
                return Ok(AttemptEnd::Complete);
            }
            AttemptEnd::CallerGone => {
                shared.routes().failed(now, routed, FailureKind::Cancelled);
                return Ok(AttemptEnd::CallerGone);
            }
            AttemptEnd::Failed(error) => {
                attempt_failed(shared, routed, &error);
                log_failure(request, number, &error);
                excluded.push(routed.server);
                // The engine has sent an event, so it has run at least a part.
                record.may_have_run = true;
                record.add(error);
            }
        }
    }
    Err(None)
}

fn log_failure(request: &RelayRequest, number: u32, error: &AttemptError) {
    log::warn!(request = request.id, attempt = number, error:% = error; "attempt failed");
}

/// Measures the mean gap between the tokens of an attempt.
struct GapMeter {
    dispatch: DispatchKey,
    since: Instant,
    chunks: u32,
}

impl GapMeter {
    fn chunk(&mut self, shared: &EntryShared) {
        self.chunks += 1;
        if self.chunks < GAP_CHUNKS {
            return;
        }
        let gap: Duration = self.since.elapsed() / self.chunks;
        shared.routes().router.token_gap(clock::now(), self.dispatch, gap);
        (self.since, self.chunks) = (Instant::now(), 0);
    }
}

async fn relay_stream<S, K>(
    shared: &EntryShared,
    started: &mut StartedAttempt<S>,
    delivered: &mut DeliveredAnswer,
    sink: &mut K,
) -> AttemptEnd
where
    S: Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin,
    K: ChunkSink,
{
    let mut meter =
        GapMeter { dispatch: started.routed.dispatch, since: Instant::now(), chunks: 0 };
    let mut first = Some(std::mem::replace(&mut started.first, AttemptEvent::Done));
    loop {
        let event = match first.take() {
            Some(event) => Ok(event),
            None => started.stream.next().await,
        };
        let chunk = match event {
            Ok(AttemptEvent::Chunk(chunk)) => chunk,
            Ok(AttemptEvent::Done) if delivered.finished => return AttemptEnd::Complete,
            Ok(AttemptEvent::Done) => {
                let cause = "[DONE] without a finish reason".to_string();
                return AttemptEnd::Failed(AttemptError::Broken(cause));
            }
            Err(error) => return AttemptEnd::Failed(error),
        };
        match accept_chunk(&started.name, &chunk, delivered) {
            Ok(true) => {
                meter.chunk(shared);
                if sink.chunk(chunk).await == Err(CallerGone) {
                    return AttemptEnd::CallerGone;
                }
            }
            Ok(false) => {}
            Err(error) => return AttemptEnd::Failed(error),
        }
    }
}

/// Decides whether a chunk is the next one. Duplicates and chunks of other attempts are dropped.
fn accept_chunk(
    attempt: &str,
    chunk: &EngineChunk,
    delivered: &mut DeliveredAnswer,
) -> Result<bool, AttemptError> {
    if let Some(usage) = chunk.usage {
        delivered.usage = usage;
    }
    let Some(position) = &chunk.position else {
        return Ok(chunk.choices.is_empty());
    };
    if position.attempt != attempt || position.offset < delivered.tokens {
        return Ok(false);
    }
    if position.offset > delivered.tokens {
        let cause = format!("expected offset {}, got {}", delivered.tokens, position.offset);
        return Err(AttemptError::Garbage(cause));
    }
    if delivered.finished {
        return Ok(false);
    }
    delivered.tokens += position.tokens;
    delivered.text.push_str(chunk.content());
    delivered.finished = chunk.finish_reason().is_some();
    Ok(true)
}

/// The error of a request without a complete answer. `refusal` is set if the last step was refused
/// before anything was sent.
fn final_error(
    refusal: Option<CallerError>,
    record: AttemptRecord,
    delivered: &DeliveredAnswer,
) -> CallerError {
    let message = match (&refusal, &record.last) {
        (_, Some(error)) => error.to_string(),
        (Some(refusal), None) => refusal.message.clone(),
        (None, None) => "no backend server can take the request".to_string(),
    };
    if delivered.tokens > 0 {
        return CallerError::unknown(ErrorCode::StreamBroken, message);
    }
    if record.may_have_run {
        return CallerError::unknown(ErrorCode::BackendFailed, message);
    }
    refusal.unwrap_or_else(|| {
        CallerError::not_run(ErrorCode::NoServer, message).with_retry_after(Duration::from_secs(1))
    })
}
