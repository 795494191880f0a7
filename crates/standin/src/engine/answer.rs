//! Deterministic completions and their SSE chunks.
//!
//! A token depends only on the model, the weights version, the prompt and its position, so that a
//! completion resumed on another engine continues with identical text.

use actix_web::web::Bytes;
use carobvane_proto::{engine::ChunkPosition, openai::TokenUsage};
use serde_json::{Value, json};

use crate::util::{hash_parts, mix};

/// Response format, named after the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFormat {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// Content of one completion and the identifiers in its chunks.
#[derive(Debug, Clone)]
pub struct AnswerText {
    /// Response format.
    pub format: AnswerFormat,
    /// Attempt id sent in each chunk.
    pub attempt: String,
    /// Model name sent in each chunk.
    pub model: String,
    /// Seed of the token texts, from [`answer_seed`].
    pub seed: u64,
}

/// Derives the seed of the token texts of a completion.
pub fn answer_seed(model: &str, version: u64, prompt: &str) -> u64 {
    hash_parts(&[model.as_bytes(), &version.to_le_bytes(), prompt.as_bytes()])
}

/// Returns the text of the token at `index`.
pub fn token_text(seed: u64, index: u32) -> String {
    format!("{:05x} ", mix(seed ^ mix(u64::from(index))) & 0xf_ffff)
}

/// Returns the text of the tokens in `from..to`.
pub fn answer_text(seed: u64, from: u32, to: u32) -> String {
    (from..to).map(|index| token_text(seed, index)).collect()
}

impl AnswerText {
    /// Returns the SSE event with the tokens in `from..to`. `hit_pieces` is set in the first one.
    pub fn tokens(&self, from: u32, to: u32, hit_pieces: Option<u32>) -> Bytes {
        let text = answer_text(self.seed, from, to);
        let position = ChunkPosition {
            attempt: self.attempt.clone(),
            offset: from,
            tokens: to - from,
            hit_pieces,
        };
        sse_frame(&self.chunk(json!([self.choice(&text, None)]), &position, None))
    }

    /// Returns the events after the last token: the finish reason, the usage and `[DONE]`.
    pub fn final_chunks(
        &self,
        offset: u32,
        prompt_tokens: u32,
        hit_pieces: Option<u32>,
    ) -> Vec<Bytes> {
        let position =
            ChunkPosition { attempt: self.attempt.clone(), offset, tokens: 0, hit_pieces };
        let usage = usage(prompt_tokens, offset);
        vec![
            sse_frame(&self.chunk(json!([self.choice("", Some("length"))]), &position, None)),
            sse_frame(&self.chunk(json!([]), &position, Some(usage))),
            Bytes::from_static(b"data: [DONE]\n\n"),
        ]
    }

    /// Returns the whole completion as one JSON document, for requests without `stream`.
    pub fn document(&self, tokens: u32, prompt_tokens: u32) -> Value {
        let text = answer_text(self.seed, 0, tokens);
        let (object, choice) = match self.format {
            AnswerFormat::Text => {
                ("text_completion", json!({"index": 0, "text": text, "finish_reason": "length"}))
            }
            AnswerFormat::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "length",
                }),
            ),
        };
        json!({
            "id": format!("cmpl-{}", self.attempt),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": usage(prompt_tokens, tokens),
        })
    }

    fn choice(&self, text: &str, finish: Option<&str>) -> Value {
        match self.format {
            AnswerFormat::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
            AnswerFormat::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
            }
        }
    }

    fn chunk(&self, choices: Value, position: &ChunkPosition, usage: Option<TokenUsage>) -> Value {
        let object = match self.format {
            AnswerFormat::Text => "text_completion",
            AnswerFormat::Chat => "chat.completion.chunk",
        };
        let mut chunk = json!({
            "id": format!("cmpl-{}", self.attempt),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": choices,
            "position": position,
        });
        if let Some(usage) = usage {
            chunk["usage"] = json!(usage);
        }
        chunk
    }
}

fn usage(prompt_tokens: u32, completion_tokens: u32) -> TokenUsage {
    TokenUsage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
}

/// Encodes a JSON value as one SSE event.
pub fn sse_frame(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}
