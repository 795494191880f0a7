//! What is known of the servers of a service together.

use std::collections::HashMap;

use super::{LearntValue, ServerModel};
use crate::clock::ClockTime;

/// Prefill rate assumed before any was observed, in tokens per ms.
const PREFILL_TOKENS_PER_MS: f64 = 36.0;
/// Time to the first event without any prompt to prefill, assumed before any was observed, in ms.
const FIRST_EVENT_MS: f64 = 12.0;
/// Time of a request to a plain service at an idle server before any was observed, in ms.
const PLAIN_REQUEST_MS: f64 = 40.0;
/// Time to fetch KV cache from elsewhere before any was observed: a fixed part and a part for each
/// token, in ms.
const FETCH_MS: f64 = 4.0;
const FETCH_TOKEN_MS: f64 = 0.006;
/// The medians are computed again after one response for this many servers, since that takes time in
/// proportion to the servers.
const SERVERS_PER_RESPONSE: u32 = 8;

/// Speed of a server, or the typical one of a service's servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSpeed {
    /// Prompt tokens that are prefilled in a ms.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first event without any prompt to prefill, in ms.
    pub first_event_ms: f64,
    /// Time of a request at an idle plain server, in ms.
    pub plain_ms: f64,
    /// Time to fetch KV cache relative to the assumed one.
    pub fetch_factor: f64,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        ServerSpeed {
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
            first_event_ms: FIRST_EVENT_MS,
            plain_ms: PLAIN_REQUEST_MS,
            fetch_factor: 1.0,
        }
    }
}

impl ServerSpeed {
    /// Time to fetch KV cache of some tokens, in ms.
    pub fn fetch_ms(&self, tokens: u32) -> f64 {
        if tokens == 0 {
            return 0.0;
        }
        (FETCH_MS + f64::from(tokens) * FETCH_TOKEN_MS) * self.fetch_factor
    }
}

/// Medians over the servers of one service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceModel {
    median: ServerSpeed,
    /// Fetching depends on the links more than on a server.
    fetch_factor: LearntValue,
    /// Responses since the medians were computed.
    responses: u32,
    /// Servers of which the medians were computed.
    servers: u32,
}

/// The services' models.
#[derive(Debug, Clone, Default)]
pub struct ServiceModels {
    by_name: HashMap<String, ServiceModel>,
}

impl ServiceModels {
    /// Returns the speed to assume of a server of which nothing is known.
    pub fn median(&self, service: &str) -> ServerSpeed {
        self.by_name.get(service).map(|model| model.median).unwrap_or_default()
    }

    /// Records that fetches took `ratio` times as long as expected.
    pub fn on_fetched(&mut self, now: ClockTime, service: &str, ratio: f64, share: f64) {
        let model = self.by_name.entry(service.to_string()).or_default();
        model.fetch_factor.observe(now, 1.0, ratio, share);
        model.median.fetch_factor = model.fetch_factor.get(now, 1.0);
    }

    /// Computes the medians again if that is due, after a response.
    pub fn refresh<'a>(
        &mut self,
        now: ClockTime,
        service: &str,
        servers: impl Iterator<Item = &'a ServerModel>,
    ) {
        let model = self.by_name.entry(service.to_string()).or_default();
        model.responses += 1;
        if model.responses * SERVERS_PER_RESPONSE < model.servers {
            return;
        }
        (model.responses, model.servers) = (0, 0);
        let (mut rates, mut steps, mut plain) = (Vec::new(), Vec::new(), Vec::new());
        let known = &mut model.median;
        for server in servers {
            model.servers += 1;
            let speed = server.speed(now, known);
            rates.extend(server.prefill_rate.is_learnt().then_some(speed.prefill_tokens_per_ms));
            steps.extend(server.first_event.is_learnt().then_some(speed.first_event_ms));
            plain.extend(server.plain.is_learnt().then_some(speed.plain_ms));
        }
        known.prefill_tokens_per_ms = median(&mut rates).unwrap_or(known.prefill_tokens_per_ms);
        known.first_event_ms = median(&mut steps).unwrap_or(known.first_event_ms);
        known.plain_ms = median(&mut plain).unwrap_or(known.plain_ms);
    }
}

fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len() / 2;
    (!values.is_empty()).then(|| *values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
