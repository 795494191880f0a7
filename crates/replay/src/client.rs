//! A caller: sends requests to entries and checks every answer against what the engines compute.

use std::time::{Duration, Instant};

use carobvane_proto::openai::{ErrorBody, RunOutcome};
use carobvane_standin::engine::answer::{answer_seed, answer_text};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use serde_json::{Value, json};

/// Longest wait for one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A completion to ask for.
#[derive(Debug, Clone)]
pub struct CompletionCall {
    /// Base URL of the entry.
    pub entry: String,
    /// Bearer key.
    pub key: String,
    /// The model.
    pub model: String,
    /// Weights version that the answer must come from.
    pub weights: u64,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer.
    pub tokens: u32,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// The whole answer, checked against the expected text.
    Complete {
        /// Time to the first token.
        first_token: Duration,
        /// Time to the end.
        total: Duration,
    },
    /// An error that says whether the request ran.
    Refused {
        /// The stable code.
        code: String,
        /// Whether the request ran.
        outcome: RunOutcome,
    },
    /// The connection broke before the end, which callers can see.
    Broken(String),
    /// An answer that claims to be complete and is not, or has the wrong text.
    Wrong(String),
}

impl CallResult {
    /// Whether the caller was told the truth: a whole answer, an error or a visible break.
    pub fn is_valid(&self) -> bool {
        !matches!(self, CallResult::Wrong(_))
    }
}

/// Streams a completion and checks it.
pub async fn stream_completion(client: &awc::Client, call: &CompletionCall) -> CallResult {
    let started = Instant::now();
    let sending = client
        .post(format!("{}/v1/completions", call.entry))
        .bearer_auth(&call.key)
        .timeout(CALL_TIMEOUT)
        .send_json(&json!({
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.tokens,
            "stream": true,
        }));
    let mut response = match sending.await {
        Ok(response) => response,
        Err(error) => return CallResult::Broken(error.to_string()),
    };
    if !response.status().is_success() {
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.unwrap_or_default();
        return parse_error(&body);
    }
    let mut answer = StreamedAnswer::default();
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else { return CallResult::Broken("stream broke".to_string()) };
        if event.data == "[DONE]" {
            let result = answer.verify(call, started);
            // A connection that is dropped before the body's end cannot be used again.
            while events.next().await.is_some() {}
            return result;
        }
        if let Err(result) = answer.push_event(&event.data, started) {
            return result;
        }
    }
    CallResult::Broken("stream ended without [DONE]".to_string())
}

#[derive(Default)]
struct StreamedAnswer {
    text: String,
    first_token: Option<Duration>,
    finished: bool,
}

impl StreamedAnswer {
    fn push_event(&mut self, data: &str, started: Instant) -> Result<(), CallResult> {
        let chunk: Value = serde_json::from_str(data)
            .map_err(|error| CallResult::Wrong(format!("invalid chunk: {error}")))?;
        if chunk.get("error").is_some() {
            return Err(parse_error(data.as_bytes()));
        }
        if let Some(text) = chunk["choices"][0]["text"].as_str() {
            self.first_token.get_or_insert_with(|| started.elapsed());
            self.text.push_str(text);
        }
        self.finished |= chunk["choices"][0]["finish_reason"].is_string();
        Ok(())
    }

    fn verify(self, call: &CompletionCall, started: Instant) -> CallResult {
        let seed = answer_seed(&call.model, call.weights, &call.prompt);
        let expected = answer_text(seed, 0, call.tokens);
        if !self.finished {
            return CallResult::Wrong("[DONE] without a finish reason".to_string());
        }
        if self.text != expected {
            let (got, want) = (self.text.len(), expected.len());
            return CallResult::Wrong(format!("text of {got} bytes differs, expected {want}"));
        }
        let total = started.elapsed();
        CallResult::Complete { first_token: self.first_token.unwrap_or(total), total }
    }
}

/// A call of a plain service that must run at most once.
#[derive(Debug, Clone)]
pub struct BookingCall {
    /// Base URL of the entry.
    pub entry: String,
    /// Bearer key.
    pub key: String,
    /// The service.
    pub service: String,
    /// Names the booking in `Idempotency-Key`.
    pub booking: String,
}

/// Sends a booking once.
pub async fn send_booking(client: &awc::Client, call: &BookingCall) -> CallResult {
    let started = Instant::now();
    let sending = client
        .post(format!("{}/v1/services/{}/bookings", call.entry, call.service))
        .bearer_auth(&call.key)
        .insert_header(("idempotency-key", call.booking.as_str()))
        .timeout(CALL_TIMEOUT)
        .send_json(&json!({ "booking": call.booking }));
    let mut response = match sending.await {
        Ok(response) => response,
        Err(error) => return CallResult::Broken(error.to_string()),
    };
    let body = match response.body().limit(MAX_RESPONSE_BYTES).await {
        Ok(body) => body,
        Err(error) => return CallResult::Broken(error.to_string()),
    };
    if response.status().is_success() {
        let total = started.elapsed();
        CallResult::Complete { first_token: total, total }
    } else {
        parse_error(&body)
    }
}

fn parse_error(body: &[u8]) -> CallResult {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => CallResult::Refused { code: body.error.code, outcome: body.error.outcome },
        Err(error) => CallResult::Wrong(format!("error without an outcome: {error}")),
    }
}
