//! Relays the stream of one attempt to the client.

use std::time::{Duration, Instant};

use carobvane_core::{
    routing::DispatchKey,
    streams::{AttemptFault, AttemptId, ChunkAction, StreamChunk},
};
use futures::Stream;

use super::{
    attempt::{AttemptError, AttemptEvent, EngineChunk},
    attempt_start::StartedAttempt,
    relay::RelayState,
    shared::EntryShared,
    sink::{ChunkSink, ClientDisconnected},
};
use crate::clock;

/// Chunks between two reports of the gap between tokens to the router, so that most chunks take no
/// lock.
const CHUNKS_PER_GAP_REPORT: usize = 16;

/// How the relay of one attempt ended.
pub enum AttemptOutcome {
    /// The client has the whole answer.
    Complete,
    /// The attempt failed; another one may continue the answer.
    Failed(AttemptError),
    /// The client has disconnected.
    ClientDisconnected,
}

/// Measures the gap between the chunks of an attempt, as the lower quartile of each
/// [`CHUNKS_PER_GAP_REPORT`] gaps.
struct TokenGapMeter {
    dispatch: DispatchKey,
    last: Instant,
    gaps: [Duration; CHUNKS_PER_GAP_REPORT],
    /// Number of gaps measured since the last report.
    chunks: usize,
}

impl TokenGapMeter {
    fn new(dispatch: DispatchKey) -> TokenGapMeter {
        TokenGapMeter {
            dispatch,
            last: Instant::now(),
            gaps: [Duration::ZERO; CHUNKS_PER_GAP_REPORT],
            chunks: 0,
        }
    }

    fn record_chunk(&mut self, shared: &EntryShared) {
        let now = Instant::now();
        self.gaps[self.chunks] = now - self.last;
        (self.last, self.chunks) = (now, self.chunks + 1);
        if self.chunks < CHUNKS_PER_GAP_REPORT {
            return;
        }
        self.chunks = 0;
        self.gaps.sort_unstable();
        let gap = self.gaps[CHUNKS_PER_GAP_REPORT / 4];
        shared.routing().router.record_token_gap(clock::now(), self.dispatch, gap);
    }
}

/// Relays the stream of a started attempt until it ends.
pub async fn relay_stream<S, K>(
    shared: &EntryShared,
    started: &mut StartedAttempt<S>,
    state: &mut RelayState,
    sink: &mut K,
) -> AttemptOutcome
where
    S: Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin,
    K: ChunkSink,
{
    let dispatch = started.launched.placement.routed.dispatch;
    let attempt = started.launched.start.id;
    let mut meter = TokenGapMeter::new(dispatch);
    let mut first = Some(std::mem::replace(&mut started.first, AttemptEvent::Done));
    loop {
        let event = match first.take() {
            Some(event) => Ok(event),
            None => started.stream.next().await,
        };
        let chunk = match event {
            Ok(AttemptEvent::Chunk(chunk)) => chunk,
            Ok(AttemptEvent::Done) => {
                return match state.stream.end_attempt(attempt) {
                    Ok(()) => AttemptOutcome::Complete,
                    Err(_) => AttemptOutcome::Failed(AttemptError::Truncated),
                };
            }
            Err(error) => return AttemptOutcome::Failed(error),
        };
        match accept_chunk(&chunk, state) {
            Ok(true) => {
                meter.record_chunk(shared);
                if sink.send_chunk(chunk).await == Err(ClientDisconnected) {
                    return AttemptOutcome::ClientDisconnected;
                }
            }
            Ok(false) => {}
            Err(error) => return AttemptOutcome::Failed(error),
        }
    }
}

/// Checks a chunk against the stream and returns whether it goes to the client. Fails if the chunk
/// shows that the attempt cannot continue.
fn accept_chunk(chunk: &EngineChunk, state: &mut RelayState) -> Result<bool, AttemptError> {
    if let Some(usage) = chunk.usage {
        state.usage = usage;
    }
    let Some(position) = &chunk.position else {
        // The chunk with the token counts has no position. A chunk with text but without a position
        // cannot be put in order and is dropped; the tokens missing afterwards fail the attempt.
        return Ok(chunk.choices.is_empty());
    };
    let Ok(attempt) = position.attempt.parse::<AttemptId>() else { return Ok(false) };
    let positioned = StreamChunk {
        offset: position.offset,
        tokens: position.tokens,
        text: chunk.content(),
        has_finish_reason: chunk.finish_reason().is_some(),
    };
    match state.stream.accept_chunk(attempt, positioned) {
        ChunkAction::Deliver { .. } => Ok(true),
        ChunkAction::Drop(_) => Ok(false),
        ChunkAction::Fail(AttemptFault::MissingTokens) => {
            let cause =
                format!("expected offset {}, got {}", state.stream.delivered(), position.offset);
            Err(AttemptError::InvalidChunk(cause))
        }
        ChunkAction::Fail(_) => Err(AttemptError::InvalidChunk("inconsistent chunk".to_string())),
    }
}
