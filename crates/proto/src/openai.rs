//! The OpenAI-compatible surface towards callers.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The fields of a completion request that the router reads; the rest passes through.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model's name.
    pub model: String,
    /// Prompt of `/v1/completions`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Messages of `/v1/chat/completions`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<ChatMessage>>,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Options of the stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// A chat message. The content may be text or a list of parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text or content parts.
    #[serde(default)]
    pub content: Value,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Options of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether a last chunk carries the token counts.
    #[serde(default)]
    pub include_usage: bool,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Their sum.
    pub total_tokens: u32,
}

/// Whether a refused or failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
}

impl RunOutcome {
    /// The name in errors and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            RunOutcome::NotRun => "not_run",
            RunOutcome::OutcomeUnknown => "outcome_unknown",
        }
    }
}

/// The body of an error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// An error in the OpenAI shape, with the request's outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// What went wrong, for a person.
    pub message: String,
    /// The class, such as `invalid_request_error`.
    pub r#type: String,
    /// A stable code, such as `model_not_found`.
    pub code: String,
    /// The parameter at fault.
    pub param: Option<String>,
    /// Whether the request ran.
    pub outcome: RunOutcome,
}

/// The answer of `POST /v1/permits`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// Single-use permits, each for the header `x-permit`.
    pub permits: Vec<String>,
    /// Base URL of the entry that redeems them.
    pub entry: Option<String>,
}

/// The answer of `GET /v1/entries`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// Entries to use, best first.
    pub entries: Vec<EntryAddress>,
    /// How long the answer may be kept, in seconds.
    pub lifetime_seconds: u64,
}

/// An entry VM that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Base URL.
    pub url: String,
    /// The entry's data centre.
    pub data_centre: String,
}
