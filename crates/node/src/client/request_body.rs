//! Reads the bodies of client requests.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    body_budget::are_chunks_too_small,
    body_memory::{BodyMemory, NoMemory},
    local_response::LocalResponse,
};

/// Retry hint while there is no memory for a body. Bodies without progress are dropped within it.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);
/// Memory that is reserved at once for a body whose length is not announced, in bytes.
const FIRST_BYTES: usize = 4 * 1024;

/// Why a body was not read to its end.
enum BodyError {
    TooLarge,
    ChunksTooSmall,
    NoMemory(NoMemory),
    Unreadable(String),
}

/// Reads the client's request body. A request whose body did not arrive in full has not run. A body
/// that is announced too large is refused before any byte of it is read.
pub async fn read_body(
    id: &str,
    body: Incoming,
    max_bytes: usize,
    within: Duration,
    memory: Option<&Arc<BodyMemory>>,
) -> Result<Bytes, LocalResponse> {
    let reading = async {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(BodyError::TooLarge);
        }
        match memory {
            Some(memory) => {
                let max_bytes = max_bytes.min(memory.max_body_bytes());
                read_within_budget(body, max_bytes, memory).await
            }
            None => read_unbudgeted(body, max_bytes).await,
        }
    };
    let refused = |status, code| Err(LocalResponse::Refused(status, code));
    match timeout(within, reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(BodyError::TooLarge)) => refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        Ok(Err(BodyError::ChunksTooSmall)) => refused(StatusCode::BAD_REQUEST, "chunks_too_small"),
        Ok(Err(BodyError::NoMemory(NoMemory::Full))) => {
            Err(LocalResponse::NotRun("no_memory_for_body", NO_MEMORY_RETRY))
        }
        Ok(Err(BodyError::NoMemory(NoMemory::Stalled))) => {
            refused(StatusCode::REQUEST_TIMEOUT, "body_without_progress")
        }
        Ok(Err(BodyError::Unreadable(cause))) => {
            log::info!(request = id, cause = cause; "failed to read a request's body");
            refused(StatusCode::BAD_REQUEST, "body_unreadable")
        }
        Err(_) => refused(StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
    }
}

async fn read_unbudgeted(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(cause) if cause.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(cause) => Err(BodyError::Unreadable(cause.to_string())),
    }
}

/// Reads a body into one buffer: its frames, which may be as small as a byte, would hold the buffers
/// of the connection.
async fn read_within_budget(
    mut body: Incoming,
    max_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().exact().map(|length| length as usize);
    if announced == Some(0) {
        return Ok(Bytes::new());
    }
    let share = memory.open();
    let mut bytes = Vec::with_capacity(announced.unwrap_or(FIRST_BYTES).min(FIRST_BYTES));
    let mut chunks = 0;
    loop {
        let frame = tokio::select! {
            biased;
            () = share.wait_dropped() => return Err(BodyError::NoMemory(NoMemory::Stalled)),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|cause| BodyError::Unreadable(cause.to_string()))?;
        // Trailers are of no use here; the HTTP library bounds them.
        let Ok(data) = frame.into_data() else { continue };
        let size = bytes.len() + data.len();
        if size > max_bytes {
            return Err(BodyError::TooLarge);
        }
        chunks += 1;
        if announced.is_none() && are_chunks_too_small(chunks, size) {
            return Err(BodyError::ChunksTooSmall);
        }
        share.grow(size).await.map_err(BodyError::NoMemory)?;
        if let Some(announced) = announced.filter(|_| size > bytes.capacity()) {
            // Memory that is not written to does not count as the process's.
            bytes.reserve_exact(announced - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    share.finish(bytes).map_err(BodyError::NoMemory)
}
