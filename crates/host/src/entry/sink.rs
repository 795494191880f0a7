//! Destinations of a relayed answer: a stream of server-sent events or one JSON body.

use bytes::Bytes;
use carobvane_proto::openai::TokenUsage;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use super::{attempt::EngineChunk, error::ApiError};

/// Most chunks that wait for a slow client. A full channel stops reading from the engine, which
/// bounds the memory of a stream.
pub const SINK_CAPACITY: usize = 32;

/// The client has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientDisconnected;

/// Receives the chunks of one answer, each exactly once and in order.
pub trait ChunkSink {
    /// Passes on the next chunk.
    async fn send_chunk(&mut self, chunk: EngineChunk) -> Result<(), ClientDisconnected>;

    /// Ends a complete answer with its token counts.
    async fn finish(self, usage: TokenUsage) -> Result<(), ClientDisconnected>;

    /// Ends an answer that failed.
    async fn fail(self, error: ApiError);
}

/// What the handler waits for before it responds: the channel of the body, or an error before the
/// first chunk.
pub type StreamHead = Result<mpsc::Receiver<Bytes>, ApiError>;

/// Streams the answer to the client as server-sent events.
pub struct StreamSink {
    head: Option<(oneshot::Sender<StreamHead>, mpsc::Receiver<Bytes>)>,
    sender: mpsc::Sender<Bytes>,
    include_usage: bool,
}

impl StreamSink {
    /// Creates a sink and the receiver of its head. `include_usage` says whether the chunk with the
    /// token counts is passed on.
    pub fn new(include_usage: bool) -> (StreamSink, oneshot::Receiver<StreamHead>) {
        let (sender, receiver) = mpsc::channel(SINK_CAPACITY);
        let (head, head_receiver) = oneshot::channel();
        (StreamSink { head: Some((head, receiver)), sender, include_usage }, head_receiver)
    }

    async fn send(&mut self, data: &[u8]) -> Result<(), ClientDisconnected> {
        if let Some((head, receiver)) = self.head.take() {
            head.send(Ok(receiver)).map_err(|_| ClientDisconnected)?;
        }
        let mut event = Vec::with_capacity(data.len() + 8);
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(data);
        event.extend_from_slice(b"\n\n");
        self.sender.send(event.into()).await.map_err(|_| ClientDisconnected)
    }
}

impl ChunkSink for StreamSink {
    async fn send_chunk(&mut self, chunk: EngineChunk) -> Result<(), ClientDisconnected> {
        if chunk.choices.is_empty() && !self.include_usage {
            return Ok(());
        }
        let data = serde_json::to_vec(&chunk).unwrap_or_default();
        self.send(&data).await
    }

    async fn finish(mut self, _usage: TokenUsage) -> Result<(), ClientDisconnected> {
        self.send(b"[DONE]").await
    }

    async fn fail(mut self, error: ApiError) {
        if let Some((head, _)) = self.head.take() {
            head.send(Err(error)).ok();
            return;
        }
        // The status line was already sent, so the error is sent as an event and `[DONE]` is left
        // out.
        let data = serde_json::to_vec(&error.body()).unwrap_or_default();
        self.send(&data).await.ok();
    }
}

/// Collects the answer into one JSON body.
pub struct BodySink {
    head: oneshot::Sender<Result<Value, ApiError>>,
    is_chat: bool,
    text: String,
    finish_reason: Option<String>,
    first: Option<EngineChunk>,
}

impl BodySink {
    /// Creates a sink and the receiver of the body. `is_chat` selects the format of chat
    /// completions.
    pub fn new(is_chat: bool) -> (BodySink, oneshot::Receiver<Result<Value, ApiError>>) {
        let (head, receiver) = oneshot::channel();
        let sink =
            BodySink { head, is_chat, text: String::new(), finish_reason: None, first: None };
        (sink, receiver)
    }
}

impl ChunkSink for BodySink {
    async fn send_chunk(&mut self, chunk: EngineChunk) -> Result<(), ClientDisconnected> {
        if self.head.is_closed() {
            return Err(ClientDisconnected);
        }
        self.text.push_str(chunk.content());
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = Some(reason.to_string());
        }
        self.first.get_or_insert(chunk);
        Ok(())
    }

    async fn finish(self, usage: TokenUsage) -> Result<(), ClientDisconnected> {
        let mut body = self.first.map(|chunk| chunk.rest).unwrap_or_default();
        let choice = if self.is_chat {
            json!({
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": self.finish_reason,
            })
        } else {
            json!({ "index": 0, "text": self.text, "finish_reason": self.finish_reason })
        };
        let object = if self.is_chat { "chat.completion" } else { "text_completion" };
        body.insert("object".to_string(), object.into());
        body.insert("choices".to_string(), json!([choice]));
        body.insert("usage".to_string(), json!(usage));
        self.head.send(Ok(Value::Object(body))).map_err(|_| ClientDisconnected)
    }

    async fn fail(self, error: ApiError) {
        self.head.send(Err(error)).ok();
    }
}
