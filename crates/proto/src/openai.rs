//! OpenAI-compatible HTTP API for callers, and the additions of carobvane to it.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Completion request, with the fields that the router reads. All others are passed on unchanged.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Prompt; only in requests to `/v1/completions`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Messages; only in requests to `/v1/chat/completions`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<ChatMessage>>,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Options of the stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Chat message.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text, or a list of content parts.
    #[serde(default)]
    pub content: Value,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Options of a streamed response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether the stream ends with a chunk that has the token counts.
    #[serde(default)]
    pub include_usage: bool,
}

/// Token counts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct TokenUsage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Sum of both counts.
    pub total_tokens: u32,
}

/// Whether a request that was rejected or failed has run on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
}

impl RunOutcome {
    /// Returns the value in error bodies and in the header `x-outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            RunOutcome::NotRun => "not_run",
            RunOutcome::OutcomeUnknown => "outcome_unknown",
        }
    }
}

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error.
    pub error: ErrorDetail,
}

/// Error in the OpenAI format, with the request's outcome added.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Description for people; the wording may change.
    pub message: String,
    /// Class of the error, such as `invalid_request_error`.
    pub r#type: String,
    /// Stable code of the error, such as `model_not_found`.
    pub code: String,
    /// Parameter that caused the error, if it was one.
    pub param: Option<String>,
    /// Whether the request has run.
    pub outcome: RunOutcome,
}

/// Response to `POST /v1/permits`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitResponse {
    /// Single-use permits, each for the header `x-permit`.
    pub permits: Vec<String>,
    /// Base URL of the entry that accepts these permits.
    pub entry: Option<String>,
}

/// Response to `GET /v1/entries`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryList {
    /// Entries that the caller should use, in order of preference.
    pub entries: Vec<EntryAddress>,
    /// Time for which the caller may use this response, in seconds.
    pub lifetime_seconds: u64,
}

/// Address of an entry that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryAddress {
    /// Base URL of the entry.
    pub url: String,
    /// Name of the data centre that the entry is in.
    pub data_centre: String,
}
