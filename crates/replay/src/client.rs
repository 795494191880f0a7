//! A client that sends requests to entries and checks every response against the text that the
//! simulated engines generate.

use std::time::{Duration, Instant};

use carobvane_proto::openai::{ErrorBody, RunOutcome};
use carobvane_standin::engine::answer::{answer_seed, answer_text};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use serde_json::{Value, json};

/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A streamed completion request.
#[derive(Debug, Clone)]
pub struct CompletionCall {
    /// Base URL of the entry.
    pub entry: String,
    /// API key of the workspace, sent as a bearer token.
    pub key: String,
    /// Name of the model.
    pub model: String,
    /// Weights version that must have generated the response.
    pub weights: u64,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u32,
}

/// The result of a request as seen by the client.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// A complete response. The text of a completion equals the expected text.
    Complete {
        /// Time until the first token arrived; equals `total` if the response has no tokens.
        first_token: Duration,
        /// Time until the response was complete.
        total: Duration,
    },
    /// An error response that states whether the request ran.
    Refused {
        /// Error code of the response.
        code: String,
        /// Whether the request ran, according to the response.
        outcome: RunOutcome,
    },
    /// The connection or the stream ended early, which a client can detect.
    Broken(String),
    /// A response that looks complete but is not, has the wrong text, or is malformed. A client
    /// could not detect the fault.
    Wrong(String),
}

impl CallResult {
    /// Returns whether the response was correct or its failure detectable: anything but
    /// [`CallResult::Wrong`].
    pub fn is_valid(&self) -> bool {
        !matches!(self, CallResult::Wrong(_))
    }
}

/// Sends a streamed completion request and checks the response.
pub async fn stream_completion(client: &awc::Client, call: &CompletionCall) -> CallResult {
    let started = Instant::now();
    let request = client
        .post(format!("{}/v1/completions", call.entry))
        .bearer_auth(&call.key)
        .timeout(CALL_TIMEOUT)
        .send_json(&json!({
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.tokens,
            "stream": true,
        }));
    let mut response = match request.await {
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
        let Ok(event) = event else {
            return CallResult::Broken("stream ended with an error".to_string());
        };
        if event.data == "[DONE]" {
            let result = answer.verify(call, started);
            // The connection can be reused only if the body is read to its end.
            while events.next().await.is_some() {}
            return result;
        }
        if let Err(result) = answer.push_event(&event.data, started) {
            return result;
        }
    }
    CallResult::Broken("stream ended without [DONE]".to_string())
}

/// The part of a streamed response that has been received.
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
            let (actual_len, expected_len) = (self.text.len(), expected.len());
            return CallResult::Wrong(format!(
                "text differs from the expected one: {actual_len} bytes, expected {expected_len}"
            ));
        }
        let total = started.elapsed();
        CallResult::Complete { first_token: self.first_token.unwrap_or(total), total }
    }
}

/// A booking request to a plain service, which must run at most once.
#[derive(Debug, Clone)]
pub struct BookingCall {
    /// Base URL of the entry.
    pub entry: String,
    /// API key of the workspace, sent as a bearer token.
    pub key: String,
    /// Name of the plain service.
    pub service: String,
    /// Name of the booking, sent as the `Idempotency-Key`.
    pub booking: String,
}

/// Sends a booking request once, without retries.
pub async fn send_booking(client: &awc::Client, call: &BookingCall) -> CallResult {
    let started = Instant::now();
    let request = client
        .post(format!("{}/v1/services/{}/bookings", call.entry, call.service))
        .bearer_auth(&call.key)
        .insert_header(("idempotency-key", call.booking.as_str()))
        .timeout(CALL_TIMEOUT)
        .send_json(&json!({ "booking": call.booking }));
    let mut response = match request.await {
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
