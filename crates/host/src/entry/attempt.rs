//! One attempt of a completion on one engine: the HTTP request and the stream of chunks.

use std::time::Duration;

use actix_web::http::StatusCode;
use bytes::Bytes;
use carobvane_core::streams::AttemptFault;
use carobvane_proto::{engine::ChunkPosition, headers, openai::TokenUsage};
use eventsource_stream::{EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{
    event_limit::{EventBytesError, limit_events},
    send_error::is_not_sent,
};

/// Timeout for a connection to a backend server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without data from an engine before the attempt counts as failed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time from `[DONE]` to the end of the body.
const END_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest error body that is read from an engine, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// A completion request for an engine.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// URL of the completion endpoint of the engine.
    pub url: String,
    /// Id of the attempt, unique in the fleet.
    pub attempt_id: String,
    /// Id of the request.
    pub request_id: String,
    /// Version of the weights that the answer must come from.
    pub weights_version: u64,
    /// JSON body.
    pub body: Bytes,
}

/// A chunk of an engine's answer, in the OpenAI format with the engine's extensions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineChunk {
    /// Position of the chunk in the stream. Removed before the chunk goes to the client.
    #[serde(default, skip_serializing)]
    pub position: Option<ChunkPosition>,
    /// Token counts, sent in the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
    /// Choices. Chunks with text have exactly one.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// All other fields, passed on unchanged.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// One choice of a chunk.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Text, in a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Part of the message, in a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// Why the answer ended, set in the last chunk with text.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// All other fields, passed on unchanged.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Part of a chat message.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ChatDelta {
    /// Text of this part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
    /// All other fields, passed on unchanged.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl ChunkChoice {
    /// Returns the text of this choice, from the field that its endpoint uses.
    pub fn content(&self) -> &str {
        let delta = self.delta.as_ref().and_then(|delta| delta.content.as_deref());
        self.text.as_deref().or(delta).unwrap_or_default()
    }
}

impl EngineChunk {
    /// Returns the text of the first choice.
    pub fn content(&self) -> &str {
        self.choices.first().map_or("", ChunkChoice::content)
    }

    /// Returns why the answer ended, if this chunk ends it.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choices.first().and_then(|choice| choice.finish_reason.as_deref())
    }
}

impl AttemptError {
    /// Returns the kind of fault, which decides whether the request is retried or resumed.
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

    /// Returns whether a crash of the server can have caused this error. awc reports a connection
    /// that closes in the middle of a body as the end of the body, so a truncated stream counts
    /// too.
    pub fn may_be_crash(&self) -> bool {
        matches!(self, AttemptError::Broken(_) | AttemptError::Truncated | AttemptError::TimedOut)
    }
}

/// An event in an engine's stream.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// A chunk of the answer.
    Chunk(EngineChunk),
    /// The engine has sent `[DONE]`.
    Done,
}

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection could be made, so no byte of the request was sent.
    NotSent(String),
    /// The engine refused the request, which proves that it did not run.
    Rejected {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        message: String,
    },
    /// The connection broke after the request may have been sent.
    Broken(String),
    /// The engine responded with an error that does not say whether the request ran.
    ServerError(u16),
    /// The stream ended without `[DONE]` or before its last token.
    Truncated,
    /// The engine sent something that is not a valid chunk, or left out tokens.
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
            AttemptError::Broken(cause) => write!(f, "connection broke: {cause}"),
            AttemptError::ServerError(status) => write!(f, "engine responded with status {status}"),
            AttemptError::Truncated => write!(f, "stream ended before the answer was complete"),
            AttemptError::InvalidChunk(cause) => write!(f, "engine sent an invalid chunk: {cause}"),
            AttemptError::TimedOut => write!(f, "engine sent nothing for {SILENCE_TIMEOUT:?}"),
        }
    }
}

/// The response of an engine. Dropping it closes the connection, which cancels the engine's work.
pub struct EngineStream<S> {
    /// Incarnation of the engine process, from a response header. `None` if the header is absent.
    pub incarnation: Option<u64>,
    events: S,
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
///
/// Distinguishes a request that was not sent, one that the engine refused, and one that may have
/// run.
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
    let events = limit_events(response).eventsource().map(|event| match event {
        Ok(event) if event.data == "[DONE]" => Ok(AttemptEvent::Done),
        Ok(event) => serde_json::from_str(&event.data)
            .map(AttemptEvent::Chunk)
            .map_err(|error| AttemptError::InvalidChunk(error.to_string())),
        Err(EventStreamError::Transport(error @ EventBytesError::EventTooLong)) => {
            Err(AttemptError::InvalidChunk(error.to_string()))
        }
        Err(error) => Err(AttemptError::Broken(error.to_string())),
    });
    Ok(EngineStream { incarnation, events: Box::pin(events) })
}

impl<S> EngineStream<S>
where
    S: Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin,
{
    /// Reads the rest of the body after `[DONE]`, so that the connection can be reused. A
    /// connection that is dropped before the end of the body is closed.
    pub async fn read_to_end(mut self) {
        let rest = async { while self.events.next().await.is_some() {} };
        tokio::time::timeout(END_TIMEOUT, rest).await.ok();
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks or ends, is silent for too long, or contains an invalid chunk.
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
