//! How long servers take, as far as it is known without asking them.

use super::BackendServer;
use crate::clock::ClockTime;

/// Prompt tokens that an engine reads in a ms before its own pace has been observed.
const PREFILL_TOKENS_PER_MS: f64 = 36.0;
/// Part by which work takes longer at a plain server whose slots are all in use.
const FULL_SLOTS_SLOWDOWN: f64 = 0.4;
/// Time of one pair of a read token and a token before it, in ms.
const ATTENTION_PAIR_MS: f64 = 0.74e-6;

/// Time that an engine takes to read a prompt of which it holds the first tokens, in ms.
pub(super) fn prefill_ms(held_tokens: u32, prompt_tokens: u32) -> f64 {
    let held = f64::from(held_tokens.min(prompt_tokens));
    let all = f64::from(prompt_tokens);
    (all - held) / PREFILL_TOKENS_PER_MS + (all * all - held * held) / 2.0 * ATTENTION_PAIR_MS
}

/// How long work takes at a server now, as far as it has told lately; 1 as usual.
pub(super) fn pace_factor(now: ClockTime, server: &BackendServer) -> f64 {
    let load = server.health.load_report(now);
    let percent = load.map_or(100, |load| load.pace_percent);
    // The figure changes several times a second, so only half of it is believed.
    (0.5 + f64::from(percent) / 200.0).clamp(0.7, 3.0)
}

/// Time that an engine takes to read tokens that other requests have brought, in ms.
pub(super) fn backlog_ms(now: ClockTime, server: &BackendServer) -> f64 {
    server.prefill_backlog.tokens(now) as f64 / PREFILL_TOKENS_PER_MS
}

/// Time of a request at a plain server, in ms, if it takes `work` there without others.
pub(super) fn plain_request_ms(now: ClockTime, server: &BackendServer, work: f64) -> f64 {
    let load = server.health.load_report(now).unwrap_or_default();
    let busy = (load.running + load.waiting).max(server.in_flight);
    let slots = server.listing.slots.max(1);
    let queued = (busy + 1).saturating_sub(slots);
    let wait = f64::from(queued) / f64::from(slots) * work;
    work * (1.0 + FULL_SLOTS_SLOWDOWN * f64::from(busy.min(slots)) / f64::from(slots)) + wait
}
