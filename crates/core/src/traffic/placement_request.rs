//! What a choice of a server needs, and what it says.

use std::time::Duration;

use super::PromptShape;
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
};

/// A request that needs a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that it is for.
    pub service: &'a str,
    /// Model; `None` on a plain service.
    pub model: Option<&'a str>,
    /// Its prompt; empty on a plain service.
    pub prompt: &'a PromptShape,
    /// Scope of its KV cache: differs between workspaces that share none.
    pub cache_scope: u64,
    /// Bytes of the request.
    pub bytes: usize,
    /// Whether a store of KV cache can be used.
    pub has_cache_store: bool,
    /// Nodes that share the callers.
    pub nodes: usize,
    /// Longest wait for an answer that is worth sending it, unless its prompt alone takes longer.
    pub max_wait: Duration,
    /// Time until its answer is due.
    pub time_left: Duration,
}

/// The server that was chosen, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementChoice {
    /// The server.
    pub server: ServerKey,
    /// Its cost.
    pub cost_ms: f64,
    /// Expected time to the answer or the first event, before the server's latency_ratio is applied.
    pub base_latency_ms: f64,
    /// The part of it that the request would take without any others.
    pub unloaded_latency_ms: f64,
    /// Prompt tokens that it is believed to hold or fetch.
    pub cached_tokens: u32,
    /// Tokens of the prompt that other prompts may share.
    pub shared_tokens: u32,
    /// Where missing tokens may be fetched.
    pub fetch_from: Option<CacheSource>,
    /// Whether the store of KV cache lacks the shared parts, so that the server should save them.
    pub save_to_store: bool,
    /// Version of its weights; `None` on a plain service.
    pub weights: Option<WeightsVersion>,
    /// When the request must have begun, since the server's weights have been replaced.
    pub start_deadline: Option<ClockTime>,
    /// Servers that were weighed.
    pub candidate_count: usize,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementRefusal {
    /// No server of the service may be used.
    NoServer,
    /// All are too busy; the caller may return after this time.
    Busy(Duration),
}

/// Where KV cache may be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheSource {
    /// Another engine.
    Server(ServerKey),
    /// The store of KV cache.
    Store,
}
