//! Where the KV cache of a prompt's shared parts is, or should be.

use super::{
    BackendServer, CacheConfidence, CacheSource, LONG_PROMPT_TOKENS, PlacementPlanner,
    PlacementRequest, ServerAvailability, ServerRegistry, StoreId,
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
    /// Members of the long-prompt pool.
    pub long_prompt_servers: Vec<ServerKey>,
    pub is_long_prompt: bool,
    /// Stores of KV cache that hold some of the prompt, for each weights version that a server has.
    pub stored: Vec<StoredPrefix>,
    /// The store that the prefix belongs to, for each of these versions.
    pub store_homes: Vec<(WeightsVersion, StoreId)>,
}

/// A store of KV cache that is known to hold the first `tokens` of a prompt.
#[derive(Debug, Clone)]
pub(super) struct StoredPrefix {
    pub store: StoreId,
    pub data_centre: String,
    pub version: WeightsVersion,
    pub tokens: u32,
}

impl PrefixContext {
    fn store_home(&self, version: WeightsVersion) -> Option<StoreId> {
        let home = self.store_homes.iter().find(|(known, _)| *known == version);
        home.map(|(_, store)| *store)
    }

    /// Returns the store that holds most of the prompt, of several that hold as much the one in the
    /// same data centre.
    fn best_store(&self, version: WeightsVersion, data_centre: &str) -> Option<&StoredPrefix> {
        let known = self.stored.iter().filter(|stored| stored.version == version);
        known.max_by_key(|stored| (stored.tokens, stored.data_centre == data_centre))
    }

    fn stored_at(&self, version: WeightsVersion, store: StoreId) -> u32 {
        let mut known = self.stored.iter();
        let known = known.find(|stored| stored.version == version && stored.store == store);
        known.map_or(0, |stored| stored.tokens)
    }
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
    /// Store to which it should save the shared parts.
    pub save_to_store: Option<StoreId>,
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
        let mut versions: Vec<WeightsVersion> = Vec::new();
        for (key, server) in registry.usable(request.service) {
            let Some(version) = server.weights_version(model) else { continue };
            if !versions.contains(&version) {
                versions.push(version);
            }
            let salt = cache_salt(request.cache_scope, version);
            let confidence = CacheConfidence::Confirmed;
            let held = self.cache.cached_tokens(now, key, salt, request.prompt, confidence);
            // A fetch from a server that does not respond costs some hundred ms.
            if !server.silence.is_silent()
                && held > context.holder.map_or(0, |holder| holder.tokens)
            {
                context.holder = Some(CacheHolder { server: key, version, tokens: held });
            }
            let is_usable = !server.health.in_backoff(now) && !server.silence.is_silent();
            if server.availability == ServerAvailability::Ready && is_usable {
                let number = rendezvous_score(server.listing.instance.as_bytes(), 0);
                ranked.push((rendezvous_score(POOL_RANKING_KEY, number), key, version));
            }
        }
        self.add_stores(now, request, &versions, &mut context);
        ranked.sort_unstable_by_key(|(score, key, _)| (std::cmp::Reverse(*score), *key));
        let size = self.long_prompt_pool.size(now, ranked.len(), request.nodes).min(ranked.len());
        context.long_prompt_servers = ranked[..size].iter().map(|(_, key, _)| *key).collect();
        context.is_long_prompt = is_long_prompt;
        let preferred = if is_long_prompt { &ranked[..size] } else { &ranked[size..] };
        let newest = preferred.iter().map(|(_, _, version)| *version).max();
        let Some(prefix_id) = request.prompt.prefix_id() else { return context };
        let prefix = (prefix_id ^ request.cache_scope).to_le_bytes();
        let candidates = preferred.iter().filter(|(_, _, version)| Some(*version) == newest);
        let scored = candidates.map(|(number, key, _)| (rendezvous_score(&prefix, *number), *key));
        context.home = scored.max().map(|(_, key)| key);
        context
    }

    fn add_stores(
        &self,
        now: ClockTime,
        request: &PlacementRequest<'_>,
        versions: &[WeightsVersion],
        context: &mut PrefixContext,
    ) {
        let Some(prefix_id) = request.prompt.prefix_id() else { return };
        for version in versions.iter().copied() {
            let salt = cache_salt(request.cache_scope, version);
            let home = self.stores.home(now, prefix_id ^ salt);
            context.store_homes.extend(home.map(|site| (version, site.id)));
            for site in self.stores.usable(now) {
                let tokens = self.cache.stored_tokens(now, site.id, salt, request.prompt);
                if tokens > 0 {
                    let (store, data_centre) = (site.id, site.data_centre.clone());
                    context.stored.push(StoredPrefix { store, data_centre, version, tokens });
                }
            }
        }
    }

    /// Returns where a server gets the shared parts of a prompt from.
    pub(super) fn prefix_source(
        &self,
        now: ClockTime,
        (server, known): (ServerKey, &BackendServer),
        request: &PlacementRequest<'_>,
        context: &PrefixContext,
        version: WeightsVersion,
    ) -> PrefixSource {
        let prompt = request.prompt;
        let salt = cache_salt(request.cache_scope, version);
        let confidence = CacheConfidence::Expected;
        let held = self.cache.cached_tokens(now, server, salt, prompt, confidence);
        let store = context.best_store(version, &known.listing.data_centre);
        let stored = store.map_or(0, |stored| stored.tokens);
        let home = context.store_home(version);
        let shared = prompt.shared_tokens();
        let holder = context.holder.filter(|known| known.version == version && known.tokens > held);
        let (source, source_tokens) = match holder {
            Some(holder) if holder.tokens >= stored => {
                (Some(CacheSource::Server(holder.server)), holder.tokens)
            }
            _ if stored > held => (store.map(|stored| CacheSource::Store(stored.store)), stored),
            // The store may hold more than this node knows, as after a restart; asking is cheap.
            _ if held < shared => (home.map(CacheSource::Store), held),
            _ => (None, held),
        };
        let cached_tokens = held.max(source_tokens);
        PrefixSource {
            cached_tokens,
            fetched_tokens: cached_tokens - held,
            fetch_from: source,
            save_to_store: home.filter(|home| context.stored_at(version, *home) < shared),
        }
    }
}

/// Salt that separates the KV cache of different scopes and weights versions.
pub fn cache_salt(cache_scope: u64, version: WeightsVersion) -> u64 {
    rendezvous_score(&version.0.to_le_bytes(), cache_scope)
}
