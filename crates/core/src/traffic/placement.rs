//! Chooses the server that runs a request.
//!
//! Each usable server gets a cost in ms that covers the wait for a slot, the prompt tokens to
//! prefill or fetch, its observed latency and failures, and the distance. A shared prefix that no
//! server is known to hold has a home: the first server in rendezvous order. Nodes that don't know
//! each other's choices yet therefore still send the prefix to the same server.

use std::{collections::HashMap, time::Duration};

use rand::Rng;

use super::{
    BackendServer, CacheConfidence, CacheMap, CacheSource, LONG_PROMPT_TOKENS, LongPromptPool,
    PlacementChoice, PlacementRefusal, PlacementRequest, PromptShape, ServerAvailability,
    ServerRegistry, WeightsHistory,
    latency::{backlog_ms, expected_latency, pace_factor, plain_request_ms, prefill_ms},
    placement_limits::{self, MIN_RETRY_AFTER},
};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    rendezvous::rendezvous_score,
};

/// Time to fetch KV cache from another server: a fixed part and a part for each token, in ms.
const FETCH_MS: f64 = 4.0;
const FETCH_TOKEN_MS: f64 = 0.006;
/// Cost of each shared token that has to be prefilled, in ms, beyond its prefill time.
const RECOMPUTE_TOKEN_MS: f64 = 0.04;
/// Share of a long prompt's prefill time that counts as cost for each running request it delays.
const STALL_COST_SHARE: f64 = 0.1;
/// Cost of a long prompt outside the long-prompt pool, or of a short one inside it, in ms.
const WRONG_POOL_MS: f64 = 80.0;
/// Cost advantage of the home of a prefix that no server is known to hold, in ms.
const HOME_BONUS_MS: f64 = 30.0;
/// Rendezvous key that ranks the servers for the long-prompt pool.
const POOL_RANKING_KEY: &[u8] = b"prefill lane";
/// Time to the first event without any prompt to prefill, in ms.
const FIRST_EVENT_MS: f64 = 12.0;
/// Delay of a prefill by each request that runs at the server, in ms.
const RUNNING_REQUEST_MS: f64 = 0.6;
/// Assumed time of a request to a plain service before any was observed, in ms.
const PLAIN_REQUEST_MS: f64 = 40.0;
/// Cost of a server in another data centre beyond its latency, in ms: that traffic is expensive.
const REMOTE_REQUEST_MS: f64 = 6.0;
/// Further cost of another data centre for each 1,000 bytes of the request, in ms.
const REMOTE_KB_MS: f64 = 1.2;
/// Cost of a server with a failure rate of 1, in ms; less in proportion to the rate.
const FAILURE_MS: f64 = 1_500.0;
/// Cost of probing a server that is unresponsive, suspected or no longer listed, in ms.
const PROBE_MS: f64 = 400.0;
/// Cost of a server whose weights have been replaced, in ms.
const OLD_WEIGHTS_MS: f64 = 250.0;
/// Upper bound of the random cost that breaks ties, in ms. Closer costs count as equal.
const TIE_BREAK_MS: f64 = 0.5;
/// How long after new weights are announced servers with old ones cost nothing extra.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_millis(1_000);
/// Old weights must stay usable for [`WAIT_FACTOR`] times the expected wait plus this margin: under
/// load, a request waits up to twice as long as expected.
const START_MARGIN: Duration = Duration::from_millis(1_200);
const WAIT_FACTOR: f64 = 1.5;
/// A request that has not started this long before its server's old weights expire is withdrawn.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(300);
/// A request may always take this multiple of its time at an idle server, so that a long prompt is
/// not refused merely for its length.
const IDLE_FACTOR: f64 = 1.3;
/// Longest retry delay that a refused client is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A server that is known to hold the first `tokens` of a prompt in its KV cache.
#[derive(Debug, Clone, Copy)]
struct CacheHolder {
    server: ServerKey,
    version: WeightsVersion,
    tokens: u32,
}

/// Which servers a search for the cheapest one may consider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SearchPass {
    /// Skips servers in backoff, and unresponsive ones that already have a request in flight.
    Normal,
    /// Considers every server that is able to run the request and has not asked for rest.
    LastResort,
}

/// Facts about a request that are the same for all its candidate servers.
#[derive(Debug, Clone, Default)]
struct RequestContext {
    /// The server that holds most of the prompt; `None` if none is known to hold any of it.
    holder: Option<CacheHolder>,
    /// Server that all nodes prefer for the shared prefix while none is known to hold any of it.
    home: Option<ServerKey>,
    /// Members of the long-prompt pool.
    long_prompt_servers: Vec<ServerKey>,
    is_long_prompt: bool,
}

/// Chooses servers for requests, and keeps the observations that the choice is based on.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    /// Data centre of this node.
    data_centre: String,
    /// How long after new weights are announced requests may still start on the old ones.
    old_version_lifetime: Duration,
    /// Prompt parts that the engines and the store of KV cache probably hold.
    pub cache: CacheMap,
    long_prompt_pool: LongPromptPool,
    /// Announced weights versions.
    pub weights: WeightsHistory,
    /// Moving average of the response time of each plain service, in ms.
    plain_service_ms: HashMap<String, f64>,
}

impl PlacementPlanner {
    /// Creates a planner for a node in `data_centre`.
    pub fn new(data_centre: String, old_version_lifetime: Duration) -> PlacementPlanner {
        PlacementPlanner {
            data_centre,
            old_version_lifetime,
            cache: CacheMap::default(),
            long_prompt_pool: LongPromptPool::default(),
            weights: WeightsHistory::default(),
            plain_service_ms: HashMap::new(),
        }
    }

    /// Records how long a plain service took to respond to a request after it was sent.
    pub fn on_plain_response(&mut self, service: &str, took: Duration) {
        let ms = took.as_secs_f64() * 1_000.0;
        let average = self.plain_service_ms.entry(service.to_string()).or_insert(ms);
        // The low weight keeps one slow response from making all servers look slow.
        *average += (ms - *average) * 0.05;
    }

    /// Records a client's prompt. The long-prompt pool is sized by these prompts.
    pub fn on_prompt(&mut self, now: ClockTime, prompt: &PromptShape) {
        if prompt.prompt_tokens >= LONG_PROMPT_TOKENS {
            self.long_prompt_pool
                .on_prompt(now, prefill_ms(prompt.shared_tokens(), prompt.prompt_tokens));
        }
    }

    /// Chooses the cheapest server that is not in `tried`. Fails if no server may be used, or if
    /// the request would wait too long at the cheapest one.
    pub fn choose(
        &self,
        now: ClockTime,
        registry: &ServerRegistry,
        request: &PlacementRequest<'_>,
        tried: &[ServerKey],
        rng: &mut impl Rng,
    ) -> Result<PlacementChoice, PlacementRefusal> {
        let context = self.context(now, registry, request);
        let best = self.cheapest(now, registry, request, &context, tried, SearchPass::Normal, rng);
        // A server that may not respond is better than none.
        let best = best.or_else(|| {
            self.cheapest(now, registry, request, &context, tried, SearchPass::LastResort, rng)
        });
        let Some(choice) = best else {
            return Err(placement_limits::refusal(now, registry, request, tried, rng));
        };
        let server = registry.get(choice.server).ok_or(PlacementRefusal::NoServer)?;
        let expected = expected_latency(server, &choice);
        let idle = choice.idle_latency_ms * server.health.latency_ratio() * IDLE_FACTOR / 1_000.0;
        let idle = Duration::from_secs_f64(idle.clamp(0.0, 3_600.0));
        let max_wait = request.max_wait.max(idle).min(request.time_left);
        if expected > max_wait {
            let excess = expected - max_wait;
            return Err(PlacementRefusal::Busy(excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)));
        }
        Ok(choice)
    }

    #[expect(clippy::too_many_arguments, reason = "the inputs of one decision")]
    fn cheapest(
        &self,
        now: ClockTime,
        registry: &ServerRegistry,
        request: &PlacementRequest<'_>,
        context: &RequestContext,
        tried: &[ServerKey],
        pass: SearchPass,
        rng: &mut impl Rng,
    ) -> Option<PlacementChoice> {
        let mut best: Option<(f64, PlacementChoice)> = None;
        let mut candidate_count = 0;
        for (key, server) in registry.usable(request.service) {
            let is_eligible = self.is_eligible(now, server, request, pass)
                && server.is_within_limits(now, request.nodes, rng)
                && request.software.allows_server(now, registry, server);
            if tried.contains(&key) || !is_eligible {
                continue;
            }
            let choice = self.score(now, key, server, request, context);
            if let (Some(model), Some(version)) = (request.model, choice.weights) {
                let wait = expected_latency(server, &choice).mul_f64(WAIT_FACTOR) + START_MARGIN;
                if !self.is_current(now + wait, model, version) {
                    continue;
                }
            }
            candidate_count += 1;
            // The random part spreads the nodes over servers of equal cost.
            let drawn_cost = choice.cost_ms + rng.random_range(0.0..TIE_BREAK_MS);
            if best.is_none_or(|(lowest, _)| drawn_cost < lowest) {
                best = Some((drawn_cost, choice));
            }
        }
        best.map(|(_, choice)| PlacementChoice { candidate_count, ..choice })
    }

    /// Collects the facts that are the same for all candidate servers.
    fn context(
        &self,
        now: ClockTime,
        registry: &ServerRegistry,
        request: &PlacementRequest<'_>,
    ) -> RequestContext {
        let mut context = RequestContext::default();
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

    /// Whether a weights version may still be used for a request that starts at `start`.
    fn is_current(&self, start: ClockTime, model: &str, version: WeightsVersion) -> bool {
        let replaced_at = self.weights.replaced_at(model, version);
        replaced_at.is_none_or(|at| start.since(at) < self.old_version_lifetime)
    }

    fn is_eligible(
        &self,
        now: ClockTime,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
        pass: SearchPass,
    ) -> bool {
        if now < server.loading_until || server.health.is_at_rest(now) {
            return false;
        }
        let health = &server.health;
        let probed = health.is_unresponsive() && server.in_flight > 0;
        if pass == SearchPass::Normal && (health.in_backoff(now) || probed) {
            return false;
        }
        request.model.is_none_or(|model| server.weights_version(model).is_some())
    }

    fn score(
        &self,
        now: ClockTime,
        key: ServerKey,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
        context: &RequestContext,
    ) -> PlacementChoice {
        let weights = request.model.and_then(|model| server.weights_version(model));
        let mut choice = PlacementChoice {
            server: key,
            cost_ms: 0.0,
            base_latency_ms: 0.0,
            idle_latency_ms: 0.0,
            cached_tokens: 0,
            shared_tokens: request.prompt.shared_tokens(),
            fetch_from: None,
            save_to_store: false,
            start_by: None,
            weights,
            candidate_count: 0,
        };
        match weights {
            Some(version) => self.score_engine(now, server, request, context, version, &mut choice),
            None => {
                choice.idle_latency_ms = self.plain_service_ms(request.service);
                choice.base_latency_ms = plain_request_ms(now, server, choice.idle_latency_ms);
                choice.cost_ms = choice.base_latency_ms;
            }
        }
        choice.cost_ms *= server.health.latency_ratio() * pace_factor(now, server);
        choice.cost_ms += server.health.failure_rate(now) * FAILURE_MS;
        let suspected = server.health.is_unresponsive() || server.health.is_suspected(now);
        if suspected || server.availability == ServerAvailability::Lapsed {
            choice.cost_ms += PROBE_MS;
        }
        if server.listing.data_centre != self.data_centre {
            choice.cost_ms += REMOTE_REQUEST_MS + REMOTE_KB_MS * request.bytes as f64 / 1_000.0;
        }
        if let (Some(model), Some(version)) = (request.model, weights) {
            choice.cost_ms += self.old_weights_cost_ms(now, model, version);
            let replaced_at = self.weights.replaced_at(model, version);
            choice.start_by =
                replaced_at.map(|at| at + self.old_version_lifetime - OLD_WEIGHTS_MARGIN);
        }
        choice
    }

    fn score_engine(
        &self,
        now: ClockTime,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
        context: &RequestContext,
        version: WeightsVersion,
        choice: &mut PlacementChoice,
    ) {
        let prompt = request.prompt;
        let salt = cache_salt(request.cache_scope, version);
        let confidence = CacheConfidence::Expected;
        let held = self.cache.cached_tokens(now, choice.server, salt, prompt, confidence);
        let stored =
            if request.has_cache_store { self.cache.stored_tokens(now, salt, prompt) } else { 0 };
        let shared = prompt.shared_tokens();
        choice.save_to_store = request.has_cache_store && stored < shared;
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
        choice.fetch_from = source;
        choice.cached_tokens = held.max(source_tokens);
        let fetched = choice.cached_tokens - held;
        let prefill_ms = prefill_ms(choice.cached_tokens, prompt.prompt_tokens);
        let fetch_ms =
            if fetched > 0 { FETCH_MS + f64::from(fetched) * FETCH_TOKEN_MS } else { 0.0 };
        let load = server.health.load_report(now).unwrap_or_default();
        let running = (load.running + load.waiting).max(server.in_flight);
        let queued = running.saturating_sub(server.listing.slots.max(1)) + load.waiting;
        let backlog_ms = backlog_ms(now, server);
        choice.idle_latency_ms = FIRST_EVENT_MS + prefill_ms + fetch_ms;
        choice.base_latency_ms = choice.idle_latency_ms
            + backlog_ms
            + f64::from(queued) * FIRST_EVENT_MS
            + f64::from(running) * RUNNING_REQUEST_MS;
        let recomputed = shared.saturating_sub(choice.cached_tokens);
        choice.cost_ms = choice.base_latency_ms + f64::from(recomputed) * RECOMPUTE_TOKEN_MS;
        if context.is_long_prompt {
            // Every stream at the server waits during the prefill.
            choice.cost_ms += f64::from(running) * prefill_ms * STALL_COST_SHARE;
        }
        if context.long_prompt_servers.contains(&choice.server) != context.is_long_prompt {
            choice.cost_ms += WRONG_POOL_MS;
        }
        if context.holder.is_none() && context.home == Some(choice.server) {
            choice.cost_ms -= HOME_BONUS_MS;
        }
    }

    fn old_weights_cost_ms(&self, now: ClockTime, model: &str, version: WeightsVersion) -> f64 {
        let replaced_at = self.weights.replaced_at(model, version);
        let old = replaced_at.is_some_and(|at| now.since(at) > OLD_WEIGHTS_GRACE);
        if old { OLD_WEIGHTS_MS } else { 0.0 }
    }

    fn plain_service_ms(&self, service: &str) -> f64 {
        self.plain_service_ms.get(service).copied().unwrap_or(PLAIN_REQUEST_MS)
    }
}

/// Salt that separates the KV cache of different scopes and weights versions.
pub fn cache_salt(cache_scope: u64, version: WeightsVersion) -> u64 {
    rendezvous_score(&version.0.to_le_bytes(), cache_scope)
}
