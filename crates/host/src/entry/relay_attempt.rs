//! One attempt of a relay.

use std::time::Instant;

use carobvane_core::streams::{AttemptFault, AttemptId, AttemptStart, ChunkVerdict, StreamChunk};
use carobvane_proto::engine::EngineExtension;
use futures::Stream;
use serde_json::Value;

use super::{
    attempt::{
        AttemptError, AttemptEvent, AttemptRequest, EngineChunk, EngineStream, open_attempt,
    },
    relay::{RelayRequest, RelayState},
    shared::EntryShared,
    sink::{CallerGone, ChunkSink},
    suspects::ServerRun,
};

/// Why the relay of one attempt ended.
pub(super) enum AttemptEnd {
    /// The caller has the whole answer.
    Complete,
    /// The attempt failed.
    Failed(AttemptError),
    /// The caller has gone.
    CallerGone,
}

/// An attempt on a chosen server.
pub(super) struct RelayAttempt<'a> {
    /// What the threads of the entry share.
    pub(super) shared: &'a EntryShared,
    /// The HTTP client of this thread.
    pub(super) client: &'a awc::Client,
    /// The request.
    pub(super) request: &'a RelayRequest,
    /// The server's name.
    pub(super) server: &'a str,
    /// Where the attempt begins.
    pub(super) start: AttemptStart,
    /// The run in the count of crashes.
    pub(super) run: &'a mut ServerRun,
}

impl RelayAttempt<'_> {
    /// Sends the request and relays the engine's stream.
    pub(super) async fn relay<K: ChunkSink>(
        self,
        state: &mut RelayState,
        sink: &mut K,
    ) -> AttemptEnd {
        let Some(target) = self.request.lists.server(self.server) else {
            return AttemptEnd::Failed(AttemptError::NotSent("server left the lists".to_string()));
        };
        let attempt = AttemptRequest {
            url: format!("http://{}{}", target.address, self.request.path),
            attempt: self.start.id.to_string(),
            request: self.request.id.clone(),
            weights: self.start.resume.weights_version,
            body: attempt_body(self.request, &self.start),
        };
        let started = Instant::now();
        let mut stream = match open_attempt(self.client, &attempt).await {
            Ok(stream) => stream,
            Err(error) => return AttemptEnd::Failed(error),
        };
        if let Some(incarnation) = stream.incarnation {
            self.shared.suspects.answered(self.run, incarnation);
        }
        let end = relay_stream(&mut stream, self.start.id, state, sink).await;
        metrics::histogram!("carobvane_attempt_seconds").record(started.elapsed().as_secs_f64());
        end
    }
}

fn attempt_body(request: &RelayRequest, start: &AttemptStart) -> bytes::Bytes {
    let extension = EngineExtension {
        resume_offset: start.resume.offset,
        resume_text: start.resume.text.clone(),
        cache_salt: start.resume.cache_salt.clone(),
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
    attempt: AttemptId,
    state: &mut RelayState,
    sink: &mut K,
) -> AttemptEnd
where
    S: Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin,
    K: ChunkSink,
{
    loop {
        let chunk = match stream.next().await {
            Ok(AttemptEvent::Chunk(chunk)) => chunk,
            Ok(AttemptEvent::Done) => {
                return match state.stream.end(attempt) {
                    Ok(()) => AttemptEnd::Complete,
                    Err(_) => AttemptEnd::Failed(AttemptError::Short),
                };
            }
            Err(error) => return AttemptEnd::Failed(error),
        };
        match accept_chunk(&chunk, state) {
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

/// Whether the chunk goes to the caller.
fn accept_chunk(chunk: &EngineChunk, state: &mut RelayState) -> Result<bool, AttemptError> {
    if let Some(usage) = chunk.usage {
        state.usage = usage;
    }
    let Some(position) = &chunk.position else {
        // The chunk with the token counts has no position. Text without a position cannot be
        // put in order, and is dropped; the gap that it leaves fails the attempt.
        return Ok(chunk.choices.is_empty());
    };
    let Ok(attempt) = position.attempt.parse::<AttemptId>() else { return Ok(false) };
    let positioned = StreamChunk {
        offset: position.offset,
        tokens: position.tokens,
        text: chunk.content(),
        finishes: chunk.finish_reason().is_some(),
    };
    match state.stream.accept(attempt, positioned) {
        ChunkVerdict::Deliver { .. } => Ok(true),
        ChunkVerdict::Drop(_) => Ok(false),
        ChunkVerdict::Fail(AttemptFault::Gap) => {
            let cause =
                format!("expected offset {}, got {}", state.stream.delivered(), position.offset);
            Err(AttemptError::Garbage(cause))
        }
        ChunkVerdict::Fail(_) => Err(AttemptError::Garbage("inconsistent chunk".to_string())),
    }
}
