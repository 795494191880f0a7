//! Cost and expected time of a request at one server.

use std::time::Duration;

use super::{
    BackendServer, PlacementChoice, PlacementPlanner, PlacementRequest, ServerAvailability,
    latency::{backlog_ms, pace_factor, plain_request_ms, prefill_ms},
    prefix_placement::{PrefixContext, PrefixSource},
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
            cached_tokens: 0,
            shared_tokens: request.prompt.shared_tokens(),
            fetch_from: None,
            fetched_tokens: 0,
            save_to_store: None,
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
        let prefill_ms = prefill_ms(choice.cached_tokens, prompt.prompt_tokens);
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
        choice.cost_ms -= context.home_bonus_ms(choice.server, fetch_ms);
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
