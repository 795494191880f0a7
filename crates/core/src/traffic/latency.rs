//! Estimates of how long servers take for requests.

use std::time::Duration;

use super::{
    BackendServer, PlacementChoice,
    server_model::{LatencyParts, ServerSpeed, prefill_work},
};
use crate::clock::ClockTime;

/// Slowdown of a plain server whose slots are all in use, as a share of the time when idle.
const FULL_SLOTS_SLOWDOWN: f64 = 0.4;
/// Delay of a prefill by each request that runs at the server, as a share of a decode step.
const RUNNING_REQUEST_STEPS: f64 = 0.05;

/// What an engine has to do before the first event of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct PromptWork {
    /// Prompt tokens that it holds or fetches.
    pub cached_tokens: u32,
    /// Tokens of these that it fetches.
    pub fetched_tokens: u32,
    /// Time of the fetch by what is known of the links, in ms.
    pub link_ms: f64,
    pub prompt_tokens: u32,
    /// Tokens of prompts that are prefilled before.
    pub ahead_tokens: u64,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}

/// Time that an engine of this speed takes to prefill a prompt whose first tokens it has cached.
pub(super) fn prefill_ms(speed: &ServerSpeed, cached_tokens: u32, prompt_tokens: u32) -> f64 {
    prefill_work(cached_tokens, prompt_tokens) / speed.prefill_tokens_per_ms
}

/// Parts of the time until the first event of a request at an engine.
pub(super) fn engine_parts(
    now: ClockTime,
    server: &BackendServer,
    speed: &ServerSpeed,
    work: &PromptWork,
) -> LatencyParts {
    let wait_ms = work.ahead_tokens as f64 / speed.prefill_tokens_per_ms;
    let steps = 1.0 + f64::from(work.queued) + f64::from(work.running) * RUNNING_REQUEST_STEPS;
    let pace = pace_factor(now, server);
    LatencyParts {
        prefill_ms: (wait_ms + prefill_ms(speed, work.cached_tokens, work.prompt_tokens)) * pace,
        wait_ms: wait_ms * pace,
        // The learnt time contains transfers that other nodes have started; `link_ms` those of this node.
        fetch_ms: speed.fetch_ms(work.fetched_tokens).max(work.link_ms),
        step_ms: steps * speed.first_event_ms * pace,
        pace,
    }
}

/// Requests that run or wait at a server: what it reported, and what was sent there since.
pub(super) fn busy_requests(now: ClockTime, server: &BackendServer) -> u32 {
    let reported = server.health.load_report(now).zip(server.health.load_reported_at(now));
    let known = match reported {
        Some((load, at)) => {
            load.running.saturating_add(load.waiting) + server.prefill_backlog.sent_since(at)
        }
        None => server.prefill_backlog.len(now),
    };
    known.max(server.in_flight)
}

/// Factor on the usual duration of work at a server, from its latest load report; 1 without one.
pub(super) fn pace_factor(now: ClockTime, server: &BackendServer) -> f64 {
    let load = server.health.load_report(now);
    let percent = load.map_or(100, |load| load.pace_percent);
    // The reported value changes several times a second, so only half of its deviation counts.
    (0.5 + f64::from(percent) / 200.0).clamp(0.7, 3.0)
}

/// Expected time of a request at a plain server, in ms, if it takes `idle_ms` at an idle one.
pub(super) fn plain_request_ms(now: ClockTime, server: &BackendServer, idle_ms: f64) -> f64 {
    let busy = busy_requests(now, server);
    let slots = server.listing.slots.max(1);
    let queued = (busy + 1).saturating_sub(slots);
    let wait_ms = f64::from(queued) / f64::from(slots) * idle_ms;
    idle_ms * (1.0 + FULL_SLOTS_SLOWDOWN * f64::from(busy.min(slots)) / f64::from(slots)) + wait_ms
}

/// Expected time until the response, or the first event of a stream.
pub(super) fn expected_latency(choice: &PlacementChoice) -> Duration {
    Duration::from_secs_f64((choice.base_latency_ms / 1_000.0).clamp(0.0, 3_600.0))
}
