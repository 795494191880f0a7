//! Cost and expected time of a request at one server.

use std::time::Duration;

use super::{
    BackendServer, PlacementChoice, PlacementPlanner, PlacementRequest, ServerAvailability,
    latency::{PromptWork, busy_requests, engine_parts, pace_factor, plain_request_ms, prefill_ms},
    placement_spread::Candidate,
    prefix_placement::{PrefixContext, PrefixSource},
    server_model::LatencyParts,
};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
};

/// Cost of each shared token that has to be prefilled, in ms, beyond its prefill time.
pub(super) const RECOMPUTE_TOKEN_MS: f64 = 0.04;
/// Share of a long prompt's prefill time that counts as cost for each running request it delays.
const STALL_COST_SHARE: f64 = 0.1;
/// Cost of a long prompt outside the long-prompt pool, or of a short one inside it, in ms.
const WRONG_POOL_MS: f64 = 80.0;
/// Cost of a server in another data centre beyond its latency, in ms: that traffic is expensive.
const REMOTE_REQUEST_MS: f64 = 6.0;
/// Further cost of another data centre for each 1,000 bytes of the request, in ms.
const REMOTE_KB_MS: f64 = 1.2;
/// Cost of a server without a free slot or memory beyond the wait, in ms: it may reject the request. More than a
/// fetch of a shared prefix takes.
const FULL_SERVER_MS: f64 = 100.0;
/// Cost of a server with a failure rate of 1, in ms; less in proportion to the rate.
const FAILURE_MS: f64 = 1_500.0;
/// Cost of probing a server that is unresponsive, suspected or no longer listed, in ms.
const PROBE_MS: f64 = 400.0;
/// Cost of a silent server, in ms: it is chosen only if no other one is left.
const SILENT_MS: f64 = 60_000.0;
/// Cost of a server whose weights have been replaced, in ms.
const OLD_WEIGHTS_MS: f64 = 250.0;
/// How long after new weights are announced servers with old ones cost nothing extra.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_millis(1_000);
/// A request that has not started this long before its server's old weights expire is withdrawn.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(300);

impl PlacementPlanner {
    pub(super) fn score(
        &self,
        now: ClockTime,
        key: ServerKey,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
        context: &PrefixContext,
    ) -> PlacementChoice {
        let weights = request.model.and_then(|model| server.weights_version(model));
        let mut choice = PlacementChoice {
            server: key,
            cost_ms: 0.0,
            base_latency_ms: 0.0,
            idle_latency_ms: 0.0,
            parts: LatencyParts::default(),
            expected_latency: Duration::ZERO,
            idle_latency: Duration::ZERO,
            cached_tokens: 0,
            kv_held_tokens: 0,
            shared_tokens: request.prompt.shared_tokens(),
            fetch_from: None,
            fetched_tokens: 0,
            save_to_store: None,
            start_by: None,
            weights,
            candidate_count: 0,
            unknown_requests: 0.0,
        };
        match weights {
            Some(version) => self.score_engine(now, server, request, context, version, &mut choice),
            None => {
                let speed = self.speed_of(now, request.service, &server.model);
                choice.idle_latency_ms = speed.plain_ms * pace_factor(now, server);
                choice.base_latency_ms = plain_request_ms(now, server, choice.idle_latency_ms);
                choice.cost_ms = choice.base_latency_ms;
            }
        }
        if is_full(now, server, request) {
            choice.cost_ms += FULL_SERVER_MS;
        }
        choice.cost_ms += server.health.failure_rate(now) * FAILURE_MS;
        let suspected = server.health.is_unresponsive()
            || server.health.is_suspected(now)
            || server.silence.is_suspected();
        if server.silence.is_silent() {
            choice.cost_ms += SILENT_MS;
        }
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
        context: &PrefixContext,
        version: WeightsVersion,
        choice: &mut PlacementChoice,
    ) {
        let prompt = request.prompt;
        let shared = prompt.shared_tokens();
        let prefix = self.prefix_source(now, (choice.server, server), request, context, version);
        let PrefixSource { fetch_ms, .. } = prefix;
        choice.cached_tokens = prefix.cached_tokens;
        choice.fetch_from = prefix.fetch_from;
        choice.fetched_tokens = prefix.fetched_tokens;
        choice.save_to_store = prefix.save_to_store;
        let speed = self.speed_of(now, request.service, &server.model);
        let running = busy_requests(now, server);
        let waiting = running.saturating_sub(server.listing.slots.max(1));
        let (ahead_tokens, waiting_ahead) =
            server.prefill_backlog.ahead(now, request.priority, waiting);
        choice.kv_held_tokens = server.kv_memory.held_tokens(now, running);
        let is_full = is_full(now, server, request);
        let queued = if is_full { 1 + waiting_ahead } else { 0 };
        let work = PromptWork {
            cached_tokens: choice.cached_tokens,
            fetched_tokens: prefix.fetched_tokens,
            link_ms: fetch_ms,
            prompt_tokens: prompt.prompt_tokens,
            ahead_tokens,
            running,
            queued,
        };
        let parts = engine_parts(now, server, &speed, &work);
        let prefill_ms = prefill_ms(&speed, choice.cached_tokens, prompt.prompt_tokens);
        choice.parts = parts;
        choice.base_latency_ms = parts.prefill_ms + parts.fetch_ms + parts.step_ms;
        choice.idle_latency_ms =
            parts.prefill_ms - parts.wait_ms + parts.fetch_ms + speed.first_event_ms;
        let recomputed = shared.saturating_sub(choice.cached_tokens);
        choice.cost_ms = choice.base_latency_ms + f64::from(recomputed) * RECOMPUTE_TOKEN_MS;
        let is_separated = !context.long_prompt_servers.is_empty();
        if context.is_long_prompt && is_separated {
            // Every stream at the server waits during the prefill.
            choice.cost_ms += f64::from(running) * prefill_ms * STALL_COST_SHARE;
        }
        let in_pool = context.long_prompt_servers.contains(&choice.server);
        if is_separated && in_pool != context.is_long_prompt {
            choice.cost_ms += WRONG_POOL_MS;
        }
        choice.cost_ms -= context.home_bonus_ms(choice.server, parts.fetch_ms);
    }

    /// Returns what the search needs of a server to spread requests.
    pub(super) fn candidate(
        &self,
        now: ClockTime,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
        choice: &PlacementChoice,
    ) -> Candidate {
        let speed = self.speed_of(now, request.service, &server.model);
        let slots = server.listing.slots.max(1);
        let step_ms = match choice.weights {
            Some(_) => self.rates.mean_tokens(request.service) / speed.prefill_tokens_per_ms,
            None => speed.plain_ms / f64::from(slots),
        };
        let busy = busy_requests(now, server);
        let room = slots.saturating_sub(busy).min(request.kv_room(choice.kv_held_tokens));
        Candidate { server: choice.server, cost_ms: choice.cost_ms, step_ms, room }
    }

    fn old_weights_cost_ms(&self, now: ClockTime, model: &str, version: WeightsVersion) -> f64 {
        let replaced_at = self.weights.replaced_at(model, version);
        let old = replaced_at.is_some_and(|at| now.since(at) > OLD_WEIGHTS_GRACE);
        if old { OLD_WEIGHTS_MS } else { 0.0 }
    }
}

/// Whether a server has no free slot, or not the memory for a request.
fn is_full(now: ClockTime, server: &BackendServer, request: &PlacementRequest<'_>) -> bool {
    let busy = busy_requests(now, server);
    let held = server.kv_memory.held_tokens(now, busy);
    busy >= server.listing.slots.max(1) || request.kv_room(held) == 0
}
