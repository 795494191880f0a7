//! Carries one completion through: choose an engine, relay its stream, retry or resume.

use std::{sync::Arc, time::Instant};

use carobvane_proto::{engine::EngineExtension, openai::TokenUsage};
use futures::Stream;
use serde_json::{Map, Value};

use super::{
    active::ActiveLists,
    attempt::{
        AttemptError, AttemptEvent, AttemptRequest, EngineChunk, EngineStream, open_attempt,
    },
    error::{CallerError, ErrorCode},
    plans::PlanTicket,
    shared::EntryShared,
    sink::{CallerGone, ChunkSink},
};

/// Attempts at one request, resumes included.
const MAX_ATTEMPTS: u32 = 4;

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
    /// The lists under which the request was admitted.
    pub lists: Arc<ActiveLists>,
    /// Tokens of the prompt, as reserved.
    pub prompt_tokens: u64,
    /// The units of the plan.
    pub ticket: PlanTicket,
}

/// What has reached the caller.
#[derive(Debug, Default)]
struct DeliveredAnswer {
    tokens: u32,
    text: String,
    finished: bool,
    usage: TokenUsage,
}

/// Why the relay of one attempt ended.
enum AttemptEnd {
    Complete,
    Failed(AttemptError),
    CallerGone,
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
    let mut delivered = DeliveredAnswer::default();
    let mut excluded = Vec::new();
    let mut last_error = None;
    for number in 0..MAX_ATTEMPTS {
        let names = request.lists.engines(&request.model);
        let Some(server) = shared.pool().choose(names, &excluded).map(str::to_string) else {
            break;
        };
        log::info!(
            request = request.id, workspace = request.workspace, model = request.model,
            server = server, attempt = number, offset = delivered.tokens; "routed"
        );
        shared.pool().begin(&server);
        let end = run_attempt(&client, &request, &server, number, &mut delivered, &mut sink).await;
        shared.pool().end(&server);
        request.ticket.set_used(used_tokens(&request, &delivered));
        match end {
            AttemptEnd::Complete => {
                metrics::counter!("carobvane_requests_total", "outcome" => "complete").increment(1);
                sink.finish(delivered.usage).await.ok();
                return;
            }
            AttemptEnd::CallerGone => {
                metrics::counter!("carobvane_requests_total", "outcome" => "caller_gone")
                    .increment(1);
                log::info!(request = request.id; "caller has gone");
                return;
            }
            AttemptEnd::Failed(error) => {
                log::warn!(
                    request = request.id, server = server, attempt = number, error:% = error;
                    "attempt failed"
                );
                excluded.push(server);
                last_error = Some(error);
            }
        }
    }
    metrics::counter!("carobvane_requests_total", "outcome" => "failed").increment(1);
    sink.fail(final_error(last_error, &delivered)).await;
}

/// Tokens to settle: the engine's count, or the prompt and what was delivered.
fn used_tokens(request: &RelayRequest, delivered: &DeliveredAnswer) -> u64 {
    match delivered.usage.total_tokens {
        0 => request.prompt_tokens + u64::from(delivered.tokens),
        total => u64::from(total),
    }
}

async fn run_attempt<K: ChunkSink>(
    client: &awc::Client,
    request: &RelayRequest,
    server: &str,
    number: u32,
    delivered: &mut DeliveredAnswer,
    sink: &mut K,
) -> AttemptEnd {
    let Some(target) = request.lists.server(server) else {
        return AttemptEnd::Failed(AttemptError::NotSent("server left the lists".to_string()));
    };
    let attempt = AttemptRequest {
        url: format!("http://{}{}", target.address, request.path),
        attempt: format!("{}-{number}", request.id),
        request: request.id.clone(),
        weights: request.weights,
        body: attempt_body(request, delivered),
    };
    let started = Instant::now();
    match open_attempt(client, &attempt).await {
        Ok(mut stream) => {
            log::debug!(
                request = request.id, server, incarnation = stream.incarnation.unwrap_or(0);
                "engine answers"
            );
            let end = relay_stream(&mut stream, &attempt.attempt, delivered, sink).await;
            metrics::histogram!("carobvane_attempt_seconds")
                .record(started.elapsed().as_secs_f64());
            end
        }
        Err(error) => AttemptEnd::Failed(error),
    }
}

fn attempt_body(request: &RelayRequest, delivered: &DeliveredAnswer) -> bytes::Bytes {
    let extension = EngineExtension {
        resume_offset: delivered.tokens,
        resume_text: delivered.text.clone(),
        ..request.extension.clone()
    };
    let mut body = request.body.clone();
    if let Ok(Value::Object(fields)) = serde_json::to_value(extension) {
        body.extend(fields);
    }
    serde_json::to_vec(&body).unwrap_or_default().into()
}

async fn relay_stream<S, K>(
    stream: &mut EngineStream<S>,
    attempt: &str,
    delivered: &mut DeliveredAnswer,
    sink: &mut K,
) -> AttemptEnd
where
    S: Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin,
    K: ChunkSink,
{
    loop {
        let chunk = match stream.next().await {
            Ok(AttemptEvent::Chunk(chunk)) => chunk,
            Ok(AttemptEvent::Done) if delivered.finished => return AttemptEnd::Complete,
            Ok(AttemptEvent::Done) => {
                let cause = "[DONE] without a finish reason".to_string();
                return AttemptEnd::Failed(AttemptError::Broken(cause));
            }
            Err(error) => return AttemptEnd::Failed(error),
        };
        match accept_chunk(attempt, &chunk, delivered) {
            Ok(true) => {
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

fn final_error(error: Option<AttemptError>, delivered: &DeliveredAnswer) -> CallerError {
    let message = match &error {
        Some(error) => error.to_string(),
        None => "no backend server can take the request".to_string(),
    };
    if delivered.tokens > 0 {
        return CallerError::unknown(ErrorCode::StreamBroken, message);
    }
    match error {
        None | Some(AttemptError::NotSent(_) | AttemptError::Rejected { .. }) => {
            CallerError::not_run(ErrorCode::NoServer, message)
                .with_retry_after(std::time::Duration::from_secs(1))
        }
        Some(_) => CallerError::unknown(ErrorCode::BackendFailed, message),
    }
}
