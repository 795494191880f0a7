//! Chooses the server that runs a request.
//!
//! Each usable server gets a cost in ms that covers the wait for a slot, the prompt tokens to
//! prefill or fetch, its observed latency and failures, and the distance. A shared prefix that no
//! server is known to hold has a home: the first server in rendezvous order. Nodes that don't know
//! each other's choices yet therefore still send the prefix to the same server. Other requests they
//! spread over the cheapest servers (see `placement_spread`).

use std::time::Duration;

use rand::Rng;

use super::{
    BackendServer, CacheMap, CacheStores, KvTransfers, LONG_PROMPT_TOKENS, LongPromptPool,
    PlacementChoice, PlacementRefusal, PlacementRequest, PrefixHeat, PromptShape, ServerRegistry,
    WeightsHistory,
    latency::{expected_latency, prefill_ms},
    placement_limits,
    placement_spread::{RequestRates, draw_server},
    prefix_placement::PrefixContext,
    server_model::ServiceModels,
};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
};

/// Old weights must stay usable for [`WAIT_FACTOR`] times the expected wait plus this margin: under
/// load, a request waits up to twice as long as expected.
const START_MARGIN: Duration = Duration::from_millis(1_200);
const WAIT_FACTOR: f64 = 1.5;
/// Which servers a search for the cheapest one may consider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SearchPass {
    /// Skips servers in backoff, and unresponsive ones that already have a request in flight.
    Normal,
    /// Considers every server that is able to run the request and has not asked for rest.
    LastResort,
}

/// Chooses servers for requests, and keeps the observations that the choice is based on.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    /// Data centre of this node.
    pub(super) data_centre: String,
    /// How long after new weights are announced requests may still start on the old ones.
    pub(super) old_version_lifetime: Duration,
    /// Prompt parts that the engines and the stores of KV cache probably hold.
    pub cache: CacheMap,
    /// The stores of KV cache.
    pub stores: CacheStores,
    /// How often prefixes are asked for.
    pub heat: PrefixHeat,
    /// How long KV cache takes from one server or store to another.
    pub transfers: KvTransfers,
    pub(super) long_prompt_pool: LongPromptPool,
    /// Announced weights versions.
    pub weights: WeightsHistory,
    /// Typical speeds of the services' servers.
    pub(super) services: ServiceModels,
    /// Requests of this and other nodes.
    pub rates: RequestRates,
}

impl PlacementPlanner {
    /// Creates a planner for a node in `data_centre`.
    pub fn new(data_centre: String, old_version_lifetime: Duration) -> PlacementPlanner {
        PlacementPlanner {
            data_centre,
            old_version_lifetime,
            cache: CacheMap::default(),
            stores: CacheStores::default(),
            heat: PrefixHeat::default(),
            transfers: KvTransfers::default(),
            long_prompt_pool: LongPromptPool::default(),
            weights: WeightsHistory::default(),
            services: ServiceModels::default(),
            rates: RequestRates::default(),
        }
    }

    /// Records a client's prompt to a service. The long-prompt pool is sized by these prompts.
    /// `gap` is the longest gap between events with which its stream is on time.
    pub fn on_prompt(
        &mut self,
        now: ClockTime,
        service: &str,
        prompt: &PromptShape,
        gap: Option<Duration>,
    ) {
        if let Some(gap) = gap {
            self.long_prompt_pool.on_gap_target(now, gap);
        }
        if prompt.prompt_tokens >= LONG_PROMPT_TOKENS {
            let speed = self.services.median(service);
            let prefill_ms = prefill_ms(&speed, prompt.shared_tokens(), prompt.prompt_tokens);
            self.long_prompt_pool.on_prompt(now, prefill_ms);
        }
    }

    /// Chooses the cheapest server that is not in `tried`, with the expected latency there. Fails if
    /// no server may be used.
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
        let expected_latency = expected_latency(&choice);
        let idle_ms = choice.idle_latency_ms.clamp(0.0, 3_600_000.0);
        let idle_latency = Duration::from_secs_f64(idle_ms / 1_000.0);
        Ok(PlacementChoice { expected_latency, idle_latency, ..choice })
    }

    #[expect(clippy::too_many_arguments, reason = "the inputs of one decision")]
    fn cheapest(
        &self,
        now: ClockTime,
        registry: &ServerRegistry,
        request: &PlacementRequest<'_>,
        context: &PrefixContext,
        tried: &[ServerKey],
        pass: SearchPass,
        rng: &mut impl Rng,
    ) -> Option<PlacementChoice> {
        let mut candidates = Vec::new();
        for (key, server) in registry.usable(request.service) {
            let is_eligible = self.is_eligible(now, server, request, pass)
                && server.is_within_limits(now, request.nodes, rng)
                && request.software.allows_server(now, registry, server);
            if tried.contains(&key) || !is_eligible {
                continue;
            }
            let choice = self.score(now, key, server, request, context);
            if let (Some(model), Some(version)) = (request.model, choice.weights) {
                let wait = expected_latency(&choice).mul_f64(WAIT_FACTOR) + START_MARGIN;
                if !self.is_current(now + wait, model, version) {
                    continue;
                }
            }
            candidates.push(self.candidate(now, server, request, &choice));
        }
        let candidate_count = candidates.len();
        let unknown = self.rates.unknown_requests(now, request.service, request.nodes);
        let key = draw_server(candidates, unknown, rng)?;
        let choice = self.score(now, key, registry.get(key)?, request, context);
        Some(PlacementChoice { candidate_count, unknown_requests: unknown, ..choice })
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
        // The server would end if the requests of this node alone exceed its memory.
        if request.kv_room(server.kv_memory.own_tokens(now)) == 0 {
            return false;
        }
        let health = &server.health;
        let probed = health.is_unresponsive() && server.in_flight > 0;
        let unusable = health.in_backoff(now) || server.silence.is_silent() || probed;
        if pass == SearchPass::Normal && unusable {
            return false;
        }
        request.model.is_none_or(|model| server.weights_version(model).is_some())
    }
}
