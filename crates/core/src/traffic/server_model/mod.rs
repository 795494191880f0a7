//! What each server's own responses show of its speed.
//!
//! Load pattern: servers of unequal speed, of which some change it, restart, load new weights or send
//! false responses, and whose requests wait behind those of other nodes.
//!
//! The time to the first event contains the wait behind the prompts sent before, the request's own
//! prefill, a decode step and, with some, a fetch. An observation changes each of these estimates in
//! proportion to its part of the expected time. It counts less if most of that was waiting, since the
//! node knows the prompts of other nodes only in part.

mod kv_memory;
mod learnt_value;
mod service_model;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::{
    kv_memory::KvMemory,
    learnt_value::LearntValue,
    service_model::{ServerSpeed, ServiceModels},
};
use super::{PlacementChoice, PlacementPlanner, ServerRegistry};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
};

/// Attention work for a pair of a prefilled token and an earlier one of the prompt, in tokens.
const ATTENTION_PAIR_TOKENS: f64 = 2.66e-5;
/// Least share with which a request that waited behind others counts.
const MIN_BUSY_SHARE: f64 = 0.2;
/// Least part of an observed time that remains if the parts which are not learnt are subtracted.
const MIN_REST: f64 = 0.2;

/// Work to prefill a prompt whose first tokens are cached, in tokens of a short prompt.
pub(super) fn prefill_work(cached_tokens: u32, prompt_tokens: u32) -> f64 {
    let cached = f64::from(cached_tokens.min(prompt_tokens));
    let total = f64::from(prompt_tokens);
    total - cached + (total * total - cached * cached) / 2.0 * ATTENTION_PAIR_TOKENS
}

/// Parts of an expected time, in ms. Invariant: `wait_ms` is a part of `prefill_ms`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyParts {
    /// Time to prefill the prompt and those sent before it.
    pub prefill_ms: f64,
    /// Time to prefill the prompts sent before it.
    pub wait_ms: f64,
    /// Time to fetch KV cache.
    pub fetch_ms: f64,
    /// Time of decode steps of this and other requests.
    pub step_ms: f64,
    /// Factor for the server's pace that the parts except the fetch contain.
    pub pace: f64,
}

/// Learnt speed of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerModel {
    pub(super) prefill_rate: LearntValue,
    pub(super) first_event: LearntValue,
    pub(super) plain: LearntValue,
    weights: Option<WeightsVersion>,
}

impl ServerModel {
    /// Returns the learnt speed. What is not known is `typical`.
    pub fn speed(&self, now: ClockTime, typical: &ServerSpeed) -> ServerSpeed {
        ServerSpeed {
            prefill_tokens_per_ms: self.prefill_rate.get(now, typical.prefill_tokens_per_ms),
            first_event_ms: self.first_event.get(now, typical.first_event_ms),
            plain_ms: self.plain.get(now, typical.plain_ms),
            fetch_factor: typical.fetch_factor,
        }
    }

    /// Records a response at a server whose service has the typical speed `typical`. `own_share` is the
    /// part of the prefill work that was the request's own.
    fn on_sample(
        &mut self,
        now: ClockTime,
        typical: &ServerSpeed,
        sample: SpeedSample,
        own_share: f64,
    ) {
        let speed = self.speed(now, typical);
        let took_ms = f64::from(sample.took_us.max(1)) / 1_000.0;
        if sample.work_tokens == 0 {
            return self.plain.observe(now, typical.plain_ms, took_ms / speed.plain_ms, own_share);
        }
        let prefill_ms = f64::from(sample.work_tokens) / speed.prefill_tokens_per_ms;
        let expected_ms = prefill_ms + speed.first_event_ms;
        let share = own_share.clamp(MIN_BUSY_SHARE, 1.0) / expected_ms;
        let ratio = took_ms / expected_ms;
        let rate = typical.prefill_tokens_per_ms;
        self.prefill_rate.observe(now, rate, 1.0 / ratio, share * prefill_ms);
        let step_ms = typical.first_event_ms;
        self.first_event.observe(now, step_ms, ratio, share * speed.first_event_ms);
    }

    fn on_weights(&mut self, weights: Option<WeightsVersion>) {
        if self.weights != weights {
            self.weights = weights;
            self.prefill_rate.relearn();
            self.first_event.relearn();
        }
    }
}

/// What a response showed of a server's speed, at usual pace. Nodes tell each other, since one alone
/// gets too few responses of each server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct SpeedSample {
    /// Tokens that the engine prefilled for the request and those before it; 0 at a plain server.
    #[n(0)]
    pub work_tokens: u32,
    /// Time for these and one decode step, or of the request at an idle plain server, in µs.
    #[n(1)]
    pub took_us: u32,
}

impl SpeedSample {
    fn new(choice: &PlacementChoice, speed: &ServerSpeed, took_ms: f64) -> SpeedSample {
        let parts = choice.parts;
        let (work, took_ms) = match choice.weights {
            Some(_) => {
                let steps_ms = parts.step_ms - speed.first_event_ms * parts.pace;
                let other_ms = steps_ms.max(0.0) + parts.fetch_ms;
                let rest_ms = (took_ms - other_ms).max(took_ms * MIN_REST) / parts.pace.max(0.1);
                (parts.prefill_ms / parts.pace.max(0.1) * speed.prefill_tokens_per_ms, rest_ms)
            }
            None => {
                let slowdown = choice.base_latency_ms / speed.plain_ms.max(0.1);
                (0.0, took_ms / slowdown.max(0.1))
            }
        };
        let work_tokens = if choice.weights.is_some() { work.max(1.0) } else { 0.0 };
        SpeedSample { work_tokens: work_tokens as u32, took_us: (took_ms * 1_000.0) as u32 }
    }
}

impl PlacementPlanner {
    /// Records how long a server took to send the first event of a stream, or the response of a plain
    /// service. Returns what the other nodes should know of it.
    pub fn on_response(
        &mut self,
        now: ClockTime,
        registry: &mut ServerRegistry,
        service: &str,
        choice: &PlacementChoice,
        took: Duration,
    ) -> Option<SpeedSample> {
        let took_ms = (took.as_secs_f64() * 1_000.0).max(0.1);
        let typical = self.services.median(service);
        let server = registry.get_mut(choice.server)?;
        let parts = choice.parts;
        let own_share = match choice.weights {
            Some(_) => 1.0 - parts.wait_ms / parts.prefill_ms.max(0.1),
            None => 2.0 - choice.base_latency_ms / choice.idle_latency_ms.max(0.1),
        };
        server.model.on_weights(choice.weights);
        let sample = SpeedSample::new(choice, &server.model.speed(now, &typical), took_ms);
        if parts.fetch_ms > 0.0 {
            let ratio = took_ms / choice.base_latency_ms.max(0.1);
            let share = own_share.max(0.0) * parts.fetch_ms / choice.base_latency_ms.max(0.1);
            self.services.on_fetched(now, service, ratio, share);
        }
        self.on_sample(now, registry, choice.server, sample, own_share);
        Some(sample)
    }

    /// Records what a response showed to this node or another one.
    pub fn on_sample(
        &mut self,
        now: ClockTime,
        registry: &mut ServerRegistry,
        server: ServerKey,
        sample: SpeedSample,
        own_share: f64,
    ) {
        let Some(known) = registry.get_mut(server) else { return };
        let typical = self.services.median(&known.listing.service);
        let own_share = own_share.clamp(MIN_BUSY_SHARE, 1.0);
        known.model.on_sample(now, &typical, sample, own_share);
        let service = known.listing.service.clone();
        let models = registry.usable(&service).map(|(_, server)| &server.model);
        self.services.refresh(now, &service, models);
    }

    /// Returns the typical speed of a service's servers.
    pub fn typical_speed(&self, service: &str) -> ServerSpeed {
        self.services.median(service)
    }

    /// Returns the learnt speed of a server of a service.
    pub fn speed_of(&self, now: ClockTime, service: &str, model: &ServerModel) -> ServerSpeed {
        model.speed(now, &self.services.median(service))
    }
}
