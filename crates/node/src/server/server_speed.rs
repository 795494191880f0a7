//! Records how fast servers are, and reports it.

use std::time::Duration;

use carobvane_core::{
    ids::ServerKey,
    traffic::{PlacementChoice, SpeedSample},
};

use crate::{clock, node::NodeState};

/// Records how long a server took for the first event of a stream or a plain response, and reports the
/// typical speed of its service. Returns what the other nodes should know.
pub fn record_speed(
    state: &mut NodeState,
    service: &str,
    choice: &PlacementChoice,
    took: Duration,
) -> Option<SpeedSample> {
    let NodeState { planner, registry, .. } = state;
    let sample = planner.on_response(clock::now(), registry, service, choice, took);
    let speed = planner.typical_speed(service);
    let gauge = |name: &'static str, value: f64| {
        metrics::gauge!(name, "service" => service.to_string()).set(value);
    };
    if choice.weights.is_some() {
        gauge("carobvane_service_prefill_tokens_per_ms", speed.prefill_tokens_per_ms);
        gauge("carobvane_service_first_event_ms", speed.first_event_ms);
    } else {
        gauge("carobvane_service_plain_ms", speed.plain_ms);
    }
    sample
}

/// Records what a response showed to another node. `own_tokens` is the part of the prefilled tokens that
/// was its request's own, if known.
pub fn apply_sample(
    state: &mut NodeState,
    server: ServerKey,
    sample: SpeedSample,
    own_tokens: Option<u32>,
) {
    let work = f64::from(sample.work_tokens.max(1));
    let own_share = own_tokens.map_or(0.0, |tokens| f64::from(tokens) / work);
    let own_share = if sample.work_tokens == 0 { 1.0 } else { own_share };
    let NodeState { planner, registry, .. } = state;
    planner.on_sample(clock::now(), registry, server, sample, own_share);
}
