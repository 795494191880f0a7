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
    BackendServer, CacheMap, LONG_PROMPT_TOKENS, LongPromptPool, PlacementChoice, PlacementRefusal,
    PlacementRequest, PromptShape, ServerRegistry, WeightsHistory,
    latency::{expected_latency, prefill_ms},
    placement_limits::{self, MIN_RETRY_AFTER},
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
/// A request may always take this multiple of its time at an idle server, so that a long prompt is
/// not refused merely for its length.
const IDLE_FACTOR: f64 = 1.3;
/// Longest retry delay that a refused client is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

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
    /// Prompt parts that the engines and the store of KV cache probably hold.
    pub cache: CacheMap,
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
        let expected = expected_latency(&choice);
        let idle = choice.idle_latency_ms * IDLE_FACTOR / 1_000.0;
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
        if pass == SearchPass::Normal && (health.in_backoff(now) || probed) {
            return false;
        }
        request.model.is_none_or(|model| server.weights_version(model).is_some())
    }
}
