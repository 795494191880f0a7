//! Messages of model engines.
//!
//! Completions follow the OpenAI shape with the extensions that batching engines publish:
//! priority, cache salt, resume, and stream positions in each chunk.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// Body fields that the entry adds to a completion request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EngineExtension {
    /// Lower runs first.
    #[serde(default)]
    pub priority: i32,
    /// Separates the caches of workspaces and weights versions.
    #[serde(default)]
    pub cache_salt: String,
    /// The prompt's chained piece hashes, root first, as decimal text.
    #[serde_as(as = "Vec<DisplayFromStr>")]
    #[serde(default)]
    pub piece_hashes: Vec<u64>,
    /// Tokens that an earlier attempt has delivered; generation continues after them.
    #[serde(default)]
    pub resume_offset: u32,
    /// Text of the tokens that an earlier attempt has delivered.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resume_text: String,
}

/// Position of a chunk in its stream, in each chunk's `position` field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkPosition {
    /// The attempt as sent in `x-attempt-id`.
    pub attempt: String,
    /// Tokens of the answer before this chunk.
    pub offset: u32,
    /// Tokens in this chunk.
    pub tokens: u32,
    /// Prompt pieces found in the engine's cache; in the first chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hit_pieces: Option<u32>,
}

/// One entry of an engine's cache event stream.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one for each event in one life of the engine.
    pub sequence: u64,
    /// The engine's life.
    pub incarnation: u64,
    /// What changed.
    #[serde(flatten)]
    pub change: CacheChange,
}

/// A change of an engine's cache.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum CacheChange {
    /// Pieces entered the cache.
    Stored {
        /// Their hashes, root first.
        #[serde_as(as = "Vec<DisplayFromStr>")]
        hashes: Vec<u64>,
    },
    /// Pieces left the cache.
    Removed {
        /// Their hashes.
        #[serde_as(as = "Vec<DisplayFromStr>")]
        hashes: Vec<u64>,
    },
    /// The whole cache was dropped.
    Cleared,
}

/// An engine's load report (`GET /load`); lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's life.
    pub incarnation: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_tokens: u64,
    /// Largest batch.
    pub slots: u32,
}

/// An engine's state (`GET /state`), read back after an order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine's life.
    pub incarnation: u64,
    /// Models with their loaded weights versions.
    pub models: Vec<LoadedModel>,
    /// Whether a load is in progress.
    pub loading: bool,
    /// The engine's role, such as `unified`, `prefill` or `decode`.
    pub role: String,
    /// Highest fencing number seen; absent if the engine ignores fencing numbers.
    pub fencing: Option<u64>,
}

/// A model in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub model: String,
    /// The weights version.
    pub version: u64,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// An order (`POST /orders`): the state that is wanted, safe to repeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Hold this version of this model with exactly these adapters.
    HoldModel(LoadedModel),
    /// Take this role.
    TakeRole {
        /// The role's name.
        role: String,
    },
}
