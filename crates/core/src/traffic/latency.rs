//! Estimates of how long servers take for requests.

use std::time::Duration;

use super::{BackendServer, PlacementChoice};
use crate::clock::ClockTime;

/// Prefill rate assumed for an engine before its own latency has been observed, in tokens per ms.
const PREFILL_TOKENS_PER_MS: f64 = 36.0;
/// Slowdown of a plain server whose slots are all in use, as a share of the time when idle.
const FULL_SLOTS_SLOWDOWN: f64 = 0.4;
/// Attention time for one pair of a prefilled token and an earlier token of the prompt, in ms.
const ATTENTION_PAIR_MS: f64 = 0.74e-6;

/// Time that an engine takes to prefill a prompt whose first tokens it has cached, in ms.
pub(super) fn prefill_ms(cached_tokens: u32, prompt_tokens: u32) -> f64 {
    let cached = f64::from(cached_tokens.min(prompt_tokens));
    let total = f64::from(prompt_tokens);
    (total - cached) / PREFILL_TOKENS_PER_MS
        + (total * total - cached * cached) / 2.0 * ATTENTION_PAIR_MS
}

/// Factor on the usual duration of work at a server, from its latest load report; 1 without one.
pub(super) fn pace_factor(now: ClockTime, server: &BackendServer) -> f64 {
    let load = server.health.load_report(now);
    let percent = load.map_or(100, |load| load.pace_percent);
    // The reported value changes several times a second, so only half of its deviation counts.
    (0.5 + f64::from(percent) / 200.0).clamp(0.7, 3.0)
}

/// Time that an engine takes to prefill the prompts that were sent to it before, in ms.
pub(super) fn backlog_ms(now: ClockTime, server: &BackendServer) -> f64 {
    server.prefill_backlog.tokens(now) as f64 / PREFILL_TOKENS_PER_MS
}

/// Expected time of a request at a plain server, in ms, if it takes `idle_ms` at an idle one.
pub(super) fn plain_request_ms(now: ClockTime, server: &BackendServer, idle_ms: f64) -> f64 {
    let load = server.health.load_report(now).unwrap_or_default();
    let busy = (load.running + load.waiting).max(server.in_flight);
    let slots = server.listing.slots.max(1);
    let queued = (busy + 1).saturating_sub(slots);
    let wait_ms = f64::from(queued) / f64::from(slots) * idle_ms;
    idle_ms * (1.0 + FULL_SLOTS_SLOWDOWN * f64::from(busy.min(slots)) / f64::from(slots)) + wait_ms
}

/// Expected time until the response, or the first event of a stream.
pub(super) fn expected_latency(server: &BackendServer, choice: &PlacementChoice) -> Duration {
    let ms = choice.base_latency_ms * server.health.latency_ratio();
    Duration::from_secs_f64((ms / 1_000.0).clamp(0.0, 3_600.0))
}
