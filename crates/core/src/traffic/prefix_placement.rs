//! Where the KV cache of a prompt's shared parts is, or should be.

use super::{
    CacheConfidence, CacheSource, LONG_PROMPT_TOKENS, PlacementPlanner, PlacementRequest,
    ServerAvailability, ServerRegistry,
};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    rendezvous::rendezvous_score,
};

/// Rendezvous key that ranks the servers for the long-prompt pool.
const POOL_RANKING_KEY: &[u8] = b"prefill lane";

/// A server that is known to hold the first `tokens` of a prompt in its KV cache.
#[derive(Debug, Clone, Copy)]
pub(super) struct CacheHolder {
    pub server: ServerKey,
    pub version: WeightsVersion,
    pub tokens: u32,
}

/// Facts about a request that are the same for all its candidate servers.
#[derive(Debug, Clone, Default)]
pub(super) struct PrefixContext {
    /// The server that holds most of the prompt; `None` if none is known to hold any of it.
    pub holder: Option<CacheHolder>,
    /// Server that all nodes prefer for the shared prefix while none is known to hold any of it.
    pub home: Option<ServerKey>,
    /// Members of the long-prompt pool; empty if none is needed.
    pub long_prompt_servers: Vec<ServerKey>,
    pub is_long_prompt: bool,
}

/// Where a server gets the shared parts of a prompt from.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefixSource {
    /// Tokens that the server probably holds or can fetch.
    pub cached_tokens: u32,
    /// Tokens of these that it has to fetch.
    pub fetched_tokens: u32,
    /// Where it may fetch what it lacks.
    pub fetch_from: Option<CacheSource>,
    /// Whether it should save the shared parts to the store.
    pub save_to_store: bool,
}

impl PlacementPlanner {
    /// Collects the facts that are the same for all candidate servers.
    pub(super) fn context(
        &self,
        now: ClockTime,
        registry: &ServerRegistry,
        request: &PlacementRequest<'_>,
    ) -> PrefixContext {
        let mut context = PrefixContext::default();
        let Some(model) = request.model else { return context };
        let is_long_prompt = request.prompt.prompt_tokens >= LONG_PROMPT_TOKENS;
        let mut ranked: Vec<(u64, ServerKey, WeightsVersion)> = Vec::new();
        for (key, server) in registry.usable(request.service) {
            let Some(version) = server.weights_version(model) else { continue };
            let salt = cache_salt(request.cache_scope, version);
            let confidence = CacheConfidence::Confirmed;
            let held = self.cache.cached_tokens(now, key, salt, request.prompt, confidence);
            if held > context.holder.map_or(0, |holder| holder.tokens) {
                context.holder = Some(CacheHolder { server: key, version, tokens: held });
            }
            if server.availability == ServerAvailability::Ready && !server.health.in_backoff(now) {
                let number = rendezvous_score(server.listing.instance.as_bytes(), 0);
                ranked.push((rendezvous_score(POOL_RANKING_KEY, number), key, version));
            }
        }
        ranked.sort_unstable_by_key(|(score, key, _)| (std::cmp::Reverse(*score), *key));
        let size = match self.long_prompt_pool.is_needed(now, &self.typical_speed(request.service))
        {
            true => self.long_prompt_pool.size(now, ranked.len(), request.nodes).min(ranked.len()),
            false => 0,
        };
        context.long_prompt_servers = ranked[..size].iter().map(|(_, key, _)| *key).collect();
        context.is_long_prompt = is_long_prompt;
        let preferred = if is_long_prompt && size > 0 { &ranked[..size] } else { &ranked[size..] };
        let newest = preferred.iter().map(|(_, _, version)| *version).max();
        let Some(prefix_id) = request.prompt.prefix_id() else { return context };
        let prefix = (prefix_id ^ request.cache_scope).to_le_bytes();
        let candidates = preferred.iter().filter(|(_, _, version)| Some(*version) == newest);
        let scored = candidates.map(|(number, key, _)| (rendezvous_score(&prefix, *number), *key));
        context.home = scored.max().map(|(_, key)| key);
        context
    }

    /// Returns where a server gets the shared parts of a prompt from.
    pub(super) fn prefix_source(
        &self,
        now: ClockTime,
        server: ServerKey,
        request: &PlacementRequest<'_>,
        context: &PrefixContext,
        version: WeightsVersion,
    ) -> PrefixSource {
        let prompt = request.prompt;
        let salt = cache_salt(request.cache_scope, version);
        let confidence = CacheConfidence::Expected;
        let held = self.cache.cached_tokens(now, server, salt, prompt, confidence);
        let stored =
            if request.has_cache_store { self.cache.stored_tokens(now, salt, prompt) } else { 0 };
        let shared = prompt.shared_tokens();
        let holder = context.holder.filter(|known| known.version == version && known.tokens > held);
        let (source, source_tokens) = match holder {
            Some(holder) if holder.tokens >= stored => {
                (Some(CacheSource::Server(holder.server)), holder.tokens)
            }
            _ if stored > held => (Some(CacheSource::Store), stored),
            // The store may hold more than this node knows, as after a restart; asking is cheap.
            _ if held < shared && request.has_cache_store => (Some(CacheSource::Store), held),
            _ => (None, held),
        };
        let cached_tokens = held.max(source_tokens);
        PrefixSource {
            cached_tokens,
            fetched_tokens: cached_tokens - held,
            fetch_from: source,
            save_to_store: request.has_cache_store && stored < shared,
        }
    }
}

/// Salt that separates the KV cache of different scopes and weights versions.
pub fn cache_salt(cache_scope: u64, version: WeightsVersion) -> u64 {
    rendezvous_score(&version.0.to_le_bytes(), cache_scope)
}
