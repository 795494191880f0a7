//! One attempt at a completion on one engine.

use std::time::Duration;

use actix_web::http::StatusCode;
use bytes::Bytes;
use carobvane_core::streams::AttemptFault;
use carobvane_proto::{engine::ChunkPosition, headers, openai::TokenUsage};
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::send_error::is_not_sent;

/// Longest time to connect to a backend server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without a byte from an engine before the attempt counts as failed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time from `[DONE]` to the body's end.
const END_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest error body that is read from an engine, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// A completion to send to an engine.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// URL of the completion endpoint.
    pub url: String,
    /// Name of the request and of this attempt.
    pub attempt_id: String,
    /// Name of the request.
    pub request_id: String,
    /// The weights version that the answer must come from.
    pub weights_version: u64,
    /// The body.
    pub body: Bytes,
}

/// A chunk of an engine's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineChunk {
    /// Where the chunk stands in the stream.
    #[serde(default, skip_serializing)]
    pub position: Option<ChunkPosition>,
    /// Token counts, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
    /// Choices; one in each chunk with text.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// A choice of a chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Text of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Message part of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// Why the answer ended, in its last chunk with text.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// A part of a chat message.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ChatDelta {
    /// Text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl ChunkChoice {
    /// The text of this choice, wherever the endpoint puts it.
    pub fn content(&self) -> &str {
        let delta = self.delta.as_ref().and_then(|delta| delta.content.as_deref());
        self.text.as_deref().or(delta).unwrap_or_default()
    }
}

impl EngineChunk {
    /// The text of the first choice.
    pub fn content(&self) -> &str {
        self.choices.first().map_or("", ChunkChoice::content)
    }

    /// Why the answer ended, if this chunk ends it.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choices.first().and_then(|choice| choice.finish_reason.as_deref())
    }
}

impl AttemptError {
    /// The fault as the stream's assembler knows it.
    pub fn fault(&self) -> AttemptFault {
        match self {
            AttemptError::NotSent(_) | AttemptError::Rejected { .. } => AttemptFault::NotRun,
            AttemptError::Broken(_) | AttemptError::ServerError(_) | AttemptError::TimedOut => {
                AttemptFault::Broken
            }
            AttemptError::Truncated => AttemptFault::Truncated,
            AttemptError::InvalidChunk(_) => AttemptFault::InvalidChunk,
        }
    }

    /// Whether a server's death looks like this. awc reports a connection that closes in the
    /// middle of a body as the body's end.
    pub fn may_be_crash(&self) -> bool {
        matches!(self, AttemptError::Broken(_) | AttemptError::Truncated | AttemptError::TimedOut)
    }
}

/// What an engine sends next.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// A chunk.
    Chunk(EngineChunk),
    /// The engine has ended its stream with `[DONE]`.
    Done,
}

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection, so no byte of the request has left.
    NotSent(String),
    /// The engine refused the request, which proves that it did not run.
    Rejected {
        /// HTTP status.
        status: u16,
        /// The engine's reason.
        message: String,
    },
    /// The connection broke.
    Broken(String),
    /// The engine answered with an error that does not say whether the request ran.
    ServerError(u16),
    /// The stream ended without `[DONE]`.
    Truncated,
    /// The engine sent something that is no chunk.
    InvalidChunk(String),
    /// The engine sent nothing for [`SILENCE_TIMEOUT`].
    TimedOut,
}

impl std::fmt::Display for AttemptError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AttemptError::NotSent(cause) => write!(f, "failed to connect: {cause}"),
            AttemptError::Rejected { status, message } => {
                write!(f, "engine refused with status {status}: {message}")
            }
            AttemptError::Broken(cause) => write!(f, "stream broke: {cause}"),
            AttemptError::ServerError(status) => write!(f, "engine answered with status {status}"),
            AttemptError::Truncated => write!(f, "stream ended early"),
            AttemptError::InvalidChunk(cause) => write!(f, "engine sent an invalid chunk: {cause}"),
            AttemptError::TimedOut => write!(f, "engine sent nothing for {SILENCE_TIMEOUT:?}"),
        }
    }
}

/// The answer of an engine. Dropping it closes the connection, which cancels the engine's work.
pub struct EngineStream<S> {
    /// The engine's life, as it says in the answer.
    pub incarnation: Option<u64>,
    events: S,
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// Tells apart a request that was not sent, one that the engine refused, and one that may run.
pub async fn open_attempt(
    client: &awc::Client,
    request: &AttemptRequest,
) -> Result<
    EngineStream<impl Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin + use<>>,
    AttemptError,
> {
    let sending = client
        .post(&request.url)
        .insert_header(("content-type", "application/json"))
        .insert_header((headers::REQUEST_ID, request.request_id.as_str()))
        .insert_header((headers::ATTEMPT_ID, request.attempt_id.as_str()))
        .insert_header((headers::WEIGHTS_VERSION, request.weights_version.to_string()))
        .timeout(SILENCE_TIMEOUT)
        .send_body(request.body.clone());
    let mut response = sending.await.map_err(send_error)?;
    if response.status() != StatusCode::OK {
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_ERROR_BYTES).await.unwrap_or_default();
        let message = String::from_utf8_lossy(&body).into_owned();
        return Err(if response.status().is_client_error() || status == 503 {
            AttemptError::Rejected { status, message }
        } else {
            AttemptError::ServerError(status)
        });
    }
    let incarnation = response
        .headers()
        .get(headers::INCARNATION)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let events = response.eventsource().map(|event| match event {
        Ok(event) if event.data == "[DONE]" => Ok(AttemptEvent::Done),
        Ok(event) => serde_json::from_str(&event.data)
            .map(AttemptEvent::Chunk)
            .map_err(|error| AttemptError::InvalidChunk(error.to_string())),
        Err(error) => Err(AttemptError::Broken(error.to_string())),
    });
    Ok(EngineStream { incarnation, events: Box::pin(events) })
}

impl<S> EngineStream<S>
where
    S: Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin,
{
    /// Reads what follows `[DONE]`, so that the connection can be used again: one that is dropped
    /// before the body's end is closed.
    pub async fn read_to_end(mut self) {
        let rest = async { while self.events.next().await.is_some() {} };
        tokio::time::timeout(END_TIMEOUT, rest).await.ok();
    }

    /// The next event.
    ///
    /// # Errors
    ///
    /// The stream broke, was silent for too long, or sent something that is no chunk.
    pub async fn next(&mut self) -> Result<AttemptEvent, AttemptError> {
        match tokio::time::timeout(SILENCE_TIMEOUT, self.events.next()).await {
            Ok(Some(event)) => event,
            Ok(None) => Err(AttemptError::Truncated),
            Err(_) => Err(AttemptError::TimedOut),
        }
    }
}

fn send_error(error: awc::error::SendRequestError) -> AttemptError {
    use awc::error::SendRequestError;
    match error {
        error if is_not_sent(&error) => AttemptError::NotSent(error.to_string()),
        SendRequestError::Timeout => AttemptError::TimedOut,
        other => AttemptError::Broken(other.to_string()),
    }
}
