//! Where the KV cache of a prompt's shared parts is, or should be.

use super::{
    BackendServer, CacheConfidence, CacheSource, LONG_PROMPT_TOKENS, PlacementChoice,
    PlacementPlanner, PlacementRequest, ServerAvailability, ServerRegistry, StoreId,
    latency::prefill_ms, placement_score::RECOMPUTE_TOKEN_MS, prefix_heat::MAX_COPIES,
    server_model::ServerSpeed,
};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    rendezvous::rendezvous_score,
};

/// Rendezvous key that ranks the servers for the long-prompt pool.
const POOL_RANKING_KEY: &[u8] = b"prefill lane";
/// Cost advantage of the home of a prefix that no server is known to hold, in ms.
const HOME_BONUS_MS: f64 = 30.0;
/// Cost advantage of the server next in order, if the first one is too loaded, in ms.
const SECOND_HOME_BONUS_MS: f64 = 15.0;
/// Number of engines among which the source of a fetch is chosen.
const MAX_SOURCES: usize = 8;
/// Largest cost advantage of a server that should get a copy of a hot prefix, in ms. A fetch that takes longer
/// costs the request more than the copy is worth.
const MAX_COPY_BONUS_MS: f64 = 100.0;

/// Facts about a request that are the same for all its candidate servers.
#[derive(Debug, Clone, Default)]
pub(super) struct PrefixContext {
    /// Whether a responding server is known to hold some of the prompt.
    pub is_held: bool,
    /// Servers that all nodes prefer for the shared prefix, the first and second one first. Invariant: at
    /// most [`MAX_COPIES`].
    pub homes: Vec<ServerKey>,
    /// Number of these that should hold the prefix, by the rate of its requests.
    pub copies: usize,
    /// Members of the long-prompt pool; empty if none is needed.
    pub long_prompt_servers: Vec<ServerKey>,
    pub is_long_prompt: bool,
    /// Responding engines and stores that hold some of the prompt. Invariant: at most [`MAX_SOURCES`] engines.
    pub sources: Vec<KnownSource>,
    /// The store that the prefix belongs to and its data centre, for each version that a server has.
    pub store_homes: Vec<(WeightsVersion, StoreId, u64)>,
}

/// An engine or store that is known to hold the first `tokens` of a prompt.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownSource {
    pub source: CacheSource,
    /// Number of its data centre.
    pub centre: u64,
    pub version: WeightsVersion,
    pub tokens: u32,
}

impl PrefixContext {
    /// Adds an engine; if there are too many, those that hold least are left out.
    fn add_engine(&mut self, engine: KnownSource) {
        if self.sources.len() < MAX_SOURCES {
            self.sources.push(engine);
        } else if let Some(least) = self.sources.iter_mut().min_by_key(|known| known.tokens)
            && least.tokens < engine.tokens
        {
            *least = engine;
        }
    }

    fn store_home(&self, version: WeightsVersion) -> Option<(StoreId, u64)> {
        let home = self.store_homes.iter().find(|(known, ..)| *known == version);
        home.map(|(_, store, centre)| (*store, *centre))
    }

    fn tokens_at(&self, version: WeightsVersion, source: CacheSource) -> u32 {
        let mut known = self.sources.iter();
        let known = known.find(|known| known.version == version && known.source == source);
        known.map_or(0, |known| known.tokens)
    }

    /// Cost advantage of a server that all nodes prefer for the prefix, in ms, if a fetch by it takes
    /// `fetch_ms`.
    pub(super) fn home_bonus_ms(&self, server: ServerKey, fetch_ms: f64) -> f64 {
        let Some(position) = self.homes.iter().position(|home| *home == server) else { return 0.0 };
        if !self.is_held {
            return [HOME_BONUS_MS, SECOND_HOME_BONUS_MS].get(position).copied().unwrap_or(0.0);
        }
        // Without the fetch, a server that is to hold a copy costs as much as one that does.
        match position {
            position if position < self.copies => fetch_ms.min(MAX_COPY_BONUS_MS),
            0 | 1 => fetch_ms.min(SECOND_HOME_BONUS_MS),
            _ => 0.0,
        }
    }
}

/// Number of a data centre, for comparisons.
fn centre_number(data_centre: &str) -> u64 {
    rendezvous_score(data_centre.as_bytes(), 0)
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
    /// Time of the fetch in ms.
    pub fetch_ms: f64,
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
            if !server.silence.is_silent() && held > 0 {
                context.is_held = true;
                let source = CacheSource::Server(key);
                let centre = centre_number(&server.listing.data_centre);
                context.add_engine(KnownSource { source, centre, version, tokens: held });
            }
            let is_usable = !server.health.in_backoff(now) && !server.silence.is_silent();
            if server.availability == ServerAvailability::Ready && is_usable {
                let number = rendezvous_score(server.listing.instance.as_bytes(), 0);
                ranked.push((rendezvous_score(POOL_RANKING_KEY, number), key, version));
            }
        }
        self.add_stores(now, request, &versions, &mut context);
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
        let mut scored: Vec<(u64, ServerKey)> = scored.collect();
        if scored.len() > MAX_COPIES {
            scored.select_nth_unstable_by_key(MAX_COPIES, |home| std::cmp::Reverse(*home));
            scored.truncate(MAX_COPIES);
        }
        scored.sort_unstable_by_key(|home| std::cmp::Reverse(*home));
        context.homes = scored.into_iter().map(|(_, key)| key).collect();
        if let Some(version) = newest {
            let heat_key = prefix_id ^ cache_salt(request.cache_scope, version);
            let prompt = request.prompt;
            let speed = self.services.median(request.service);
            let prompt_ms = prefill_ms(&speed, prompt.shared_tokens(), prompt.prompt_tokens);
            context.copies = self.heat.copies(now, heat_key, prompt_ms);
        }
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
            let home = home.map(|site| (version, site.id, centre_number(&site.data_centre)));
            context.store_homes.extend(home);
            for site in self.stores.usable(now) {
                let tokens = self.cache.stored_tokens(now, site.id, salt, request.prompt);
                if tokens > 0 {
                    let source = CacheSource::Store(site.id);
                    let centre = centre_number(&site.data_centre);
                    context.sources.push(KnownSource { source, centre, version, tokens });
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
        let shared = prompt.shared_tokens();
        let centre = centre_number(&known.listing.data_centre);
        let home = context.store_home(version);
        let save_to_store = home
            .map(|(store, _)| store)
            .filter(|store| context.tokens_at(version, CacheSource::Store(*store)) < shared);
        let local = PrefixSource {
            cached_tokens: held,
            fetched_tokens: 0,
            fetch_from: None,
            fetch_ms: 0.0,
            save_to_store,
        };
        let speed = self.speed_of(now, request.service, &known.model);
        // The gain of a fetch: the prefill that it spares, less its own time.
        let fetch = |source: CacheSource, tokens: u32, is_remote: bool| {
            let fetched = tokens.saturating_sub(held);
            let took = self.transfers.fetch_ms(now, request.service, source, fetched, is_remote)?;
            let gain_ms = spared_ms(&speed, held, tokens, prompt.prompt_tokens) - took;
            (fetched > 0 && gain_ms > 0.0).then_some((gain_ms, took, source, tokens))
        };
        let sources = context.sources.iter().filter(|known| known.version == version);
        let mut sources = sources.filter(|known| known.tokens > held).peekable();
        if sources.peek().is_none() {
            // The store may hold more than this node knows, as after a restart; asking is cheap.
            let asked = home.filter(|(store, place)| {
                fetch(CacheSource::Store(*store), shared, *place != centre).is_some()
            });
            return PrefixSource {
                fetch_from: asked.map(|(store, _)| CacheSource::Store(store)),
                ..local
            };
        }
        let fetches =
            sources.filter_map(|known| fetch(known.source, known.tokens, known.centre != centre));
        match fetches.max_by(|one, other| one.0.total_cmp(&other.0)) {
            Some((_, fetch_ms, source, tokens)) => PrefixSource {
                cached_tokens: tokens,
                fetched_tokens: tokens - held,
                fetch_from: Some(source),
                fetch_ms,
                save_to_store,
            },
            None => local,
        }
    }
}

impl PlacementPlanner {
    /// Records that a chosen server is told to fetch, so that later fetches from the same source count the
    /// wait for its link.
    pub fn on_fetch_started(
        &mut self,
        now: ClockTime,
        registry: &ServerRegistry,
        service: &str,
        choice: &PlacementChoice,
    ) {
        let Some(source) = choice.fetch_from.filter(|_| choice.fetched_tokens > 0) else { return };
        let centre_of = |server| {
            registry.get(server).map(|known: &BackendServer| known.listing.data_centre.as_str())
        };
        let of_source = match source {
            CacheSource::Server(server) => centre_of(server),
            CacheSource::Store(store) => {
                let mut sites = self.stores.configured();
                sites.find(|site| site.id == store).map(|site| site.data_centre.as_str())
            }
        };
        let is_remote = of_source != centre_of(choice.server);
        self.transfers.on_started(now, service, source, choice.fetched_tokens, is_remote);
    }
}

/// Time that a server spares if it holds `tokens` rather than `held` tokens of a prompt, in ms.
fn spared_ms(speed: &ServerSpeed, held: u32, tokens: u32, prompt_tokens: u32) -> f64 {
    let computed =
        prefill_ms(speed, held, prompt_tokens) - prefill_ms(speed, tokens, prompt_tokens);
    computed + f64::from(tokens.saturating_sub(held)) * RECOMPUTE_TOKEN_MS
}

/// Salt that separates the KV cache of different scopes and weights versions.
pub fn cache_salt(cache_scope: u64, version: WeightsVersion) -> u64 {
    rendezvous_score(&version.0.to_le_bytes(), cache_scope)
}
