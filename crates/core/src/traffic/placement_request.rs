//! Inputs and results of the choice of a server.

use std::time::Duration;

use super::{LatencyParts, PromptShape, SoftwareRule, StoreId};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
};

/// A request that needs a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Name of the service whose servers may run it.
    pub service: &'a str,
    /// Model that it asks for; `None` on a plain service.
    pub model: Option<&'a str>,
    /// Shape of its prompt; empty on a plain service.
    pub prompt: &'a PromptShape,
    /// Scope of its KV cache; differs between workspaces that must not share cache entries.
    pub cache_scope: u64,
    /// Its priority at the servers; 0 is the most urgent.
    pub priority: u8,
    /// KV memory of each server of the service in tokens; 0 if unknown.
    pub kv_capacity: u64,
    /// Software versions of servers at which it may run.
    pub software: &'a SoftwareRule,
    /// Size of the request body in bytes.
    pub bytes: usize,
    /// Number of live nodes that share the clients' requests.
    pub nodes: usize,
}

impl PlacementRequest<'_> {
    /// Tokens that the request holds at a server at most.
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt.prompt_tokens) + u64::from(self.prompt.max_output_tokens)
    }

    /// Number of such requests that fit into a server's memory beside `held` tokens.
    pub(super) fn kv_room(&self, held: u64) -> u32 {
        if self.kv_capacity == 0 {
            return u32::MAX;
        }
        let room = self.kv_capacity.saturating_sub(held) / self.kv_tokens().max(1);
        u32::try_from(room).unwrap_or(u32::MAX)
    }
}

/// The chosen server, with the estimates behind the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementChoice {
    /// Server to send the request to.
    pub server: ServerKey,
    /// Cost by which servers are compared.
    pub cost_ms: f64,
    /// Expected time to the response or the first event.
    pub base_latency_ms: f64,
    /// Part of `base_latency_ms` that the request would take at an idle server.
    pub idle_latency_ms: f64,
    /// Parts of `base_latency_ms` at an engine; zero at a plain server.
    pub parts: LatencyParts,
    /// Expected time to the response or the first event.
    pub expected_latency: Duration,
    /// Part of `expected_latency` that the request would take at an idle server.
    pub idle_latency: Duration,
    /// Prompt tokens that the server probably holds or can fetch, and so need not prefill.
    pub cached_tokens: u32,
    /// Tokens that requests hold at the server, as far as known.
    pub kv_held_tokens: u64,
    /// Prompt tokens that other prompts may share.
    pub shared_tokens: u32,
    /// Where the server may fetch KV cache that it lacks.
    pub fetch_from: Option<CacheSource>,
    /// Tokens that it is expected to fetch from there.
    pub fetched_tokens: u32,
    /// Store of KV cache to which the server should save the shared parts, because it lacks some.
    pub save_to_store: Option<StoreId>,
    /// Weights version of the model at the server; `None` on a plain service.
    pub weights: Option<WeightsVersion>,
    /// Latest start of the request; `None` unless the server's weights have been replaced.
    pub start_by: Option<ClockTime>,
    /// Number of servers that were compared.
    pub candidate_count: usize,
    /// Estimated number of requests that other nodes have sent and this one does not know of.
    pub unknown_requests: f64,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementRefusal {
    /// No server of the service may be used.
    NoServer,
    /// All are too busy; the client may retry after this time.
    Busy(Duration),
    /// All have got as many requests as they take; the client may retry after this time.
    Limited(Duration),
    /// Those that could run the request have asked for rest; the client may retry after this time.
    AtRest(Duration),
}

/// Where a server may fetch KV cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CacheSource {
    /// Another engine.
    Server(ServerKey),
    /// A store of KV cache.
    Store(StoreId),
}
