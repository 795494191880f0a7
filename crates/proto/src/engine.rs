//! Messages between entries or stewards and model engines.
//!
//! Completions follow the OpenAI format, with the extensions that batching engines publish:
//! priority, cache salt, resuming a stream, and the stream position in each chunk.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// Body fields that the entry adds to a completion request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineExtension {
    /// Priority in the engine's queue; lower values run first.
    #[serde(default)]
    pub priority: i32,
    /// Salt of the cache keys, which separates the caches of workspaces and weights versions.
    #[serde(default)]
    pub cache_salt: String,
    /// Chained hashes of the prompt pieces, first piece first, as decimal text.
    #[serde_as(as = "Vec<DisplayFromStr>")]
    #[serde(default)]
    pub piece_hashes: Vec<u64>,
    /// Number of tokens that earlier attempts have delivered; generation continues after them.
    #[serde(default)]
    pub resume_offset: u32,
    /// Text of the tokens that earlier attempts have delivered.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resume_text: String,
}

/// Position of a chunk in its stream, sent in the `position` field of each chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkPosition {
    /// Attempt that the chunk belongs to, as sent in `x-attempt-id`.
    pub attempt: String,
    /// Number of generated tokens before this chunk.
    pub offset: u32,
    /// Number of tokens in this chunk.
    pub tokens: u32,
    /// Number of prompt pieces found in the engine's cache; only in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hit_pieces: Option<u32>,
}

/// One event of the stream in which an engine reports changes of its cache.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which increases by one with each event of an incarnation; a gap shows lost
    /// events.
    pub sequence: u64,
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// What changed.
    #[serde(flatten)]
    pub change: CacheChange,
}

/// A change of an engine's cache.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum CacheChange {
    /// Prompt pieces were added to the cache.
    Stored {
        /// Chained hashes of the pieces, first piece first.
        #[serde_as(as = "Vec<DisplayFromStr>")]
        hashes: Vec<u64>,
    },
    /// Prompt pieces were evicted from the cache.
    Removed {
        /// Chained hashes of the pieces.
        #[serde_as(as = "Vec<DisplayFromStr>")]
        hashes: Vec<u64>,
    },
    /// The whole cache was dropped.
    Cleared,
}

/// Load report of an engine (`GET /load`), which lags behind the actual load.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of prompt tokens that wait for prefill.
    pub waiting_tokens: u64,
    /// Maximum number of requests in a batch.
    pub slots: u32,
}

/// State of an engine (`GET /state`), which stewards read to check the effect of an order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineState {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Loaded models with their weights versions.
    pub models: Vec<LoadedModel>,
    /// Whether the engine is loading weights.
    pub loading: bool,
    /// Role of the engine, such as `unified`, `prefill` or `decode`.
    pub role: String,
    /// Highest fencing number seen; absent if the engine ignores fencing numbers.
    pub fencing: Option<u64>,
}

/// A model in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: String,
    /// Version of the model's weights.
    pub version: u64,
    /// Names of the loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Order to an engine (`POST /orders`). It states the target state, so it is safe to repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load this version of the model with exactly these adapters.
    HoldModel(LoadedModel),
    /// Change to this role.
    TakeRole {
        /// Name of the role, as in [`EngineState::role`].
        role: String,
    },
}
