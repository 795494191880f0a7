//! Finds slow servers from the entry's own observations.
//!
//! Load reports show a straggler late, so they are not used. Each observation is compared with the
//! fleet's typical one, which removes a general error of the cost model.

use std::time::Duration;

use crate::clock::ClockTime;

/// Weight of the newest observation of a server.
const SERVER_WEIGHT: f32 = 0.3;
/// Weight of the newest observation in the fleet's typical value.
const FLEET_WEIGHT: f32 = 0.02;
/// A single observation moves the estimates by at most this factor, as a natural logarithm.
const MAX_LOG_RATIO: f32 = 3.0;
/// Slowdown from which a server is a straggler.
const STRAGGLER_FACTOR: f32 = 2.0;
/// Slowdown below which a probe counts as good; lower than the limit above, against flapping.
const RECOVERED_FACTOR: f32 = 1.4;
/// Slowdown that is ignored in costs; smaller differences between healthy servers are noise, and
/// moved requests away from the holders of their prefixes.
const IGNORED_FACTOR: f32 = 1.5;
/// Observations before a server can be a straggler.
const MIN_OBSERVATIONS: u32 = 3;
/// Good probes in a row after which a straggler is normal again.
const RECOVERY_PROBES: u8 = 3;
/// Time between probes of a straggler, doubled after each bad probe. At a fixed interval a lasting
/// straggler got a sixth of the requests of a quiet entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Doublings of the probe interval at most, which gives 8 s.
const MAX_PROBE_DOUBLINGS: u8 = 5;
/// Silence is suspicious from this multiple of the longest expected first token.
const SILENCE_MULTIPLE: f32 = 2.0;
/// Silence in ms that is never suspicious.
const MIN_SILENCE_MS: f32 = 200.0;
/// Largest slowdown that a cost is multiplied with.
const MAX_SLOWDOWN: f32 = 20.0;
/// Time without observations in which a server's slowdown loses half its weight. Without it, a
/// server somewhat below the straggler limit got no request and so could never show that it had
/// recovered.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(4);
/// Predicted times in ms below which the ratio of observation to prediction is mostly noise.
const MIN_PREDICTION_MS: f32 = 5.0;

/// What is known about the speed of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct StragglerState {
    /// Natural logarithm of observed by predicted time to first token.
    first_token_ratio: f32,
    /// Natural logarithm of the inter-token gap in ms.
    gap: Option<f32>,
    observations: u32,
    /// Time of the last observation.
    last_observed: ClockTime,
    /// Present while the server is a straggler: when the next probe is due.
    next_probe: Option<ClockTime>,
    good_probes: u8,
    bad_probes: u8,
    /// Last sign of progress while a request was in flight.
    last_progress: ClockTime,
    /// Longest expected first token in ms since the server was last idle.
    max_expected_ms: f32,
}

impl StragglerState {
    /// Whether the server is a straggler.
    pub fn is_straggler(&self) -> bool {
        self.next_probe.is_some()
    }

    /// Whether a straggler is due for a probe.
    pub fn probe_due(&self, now: ClockTime) -> bool {
        self.next_probe.is_some_and(|due| due <= now)
    }

    pub(super) fn record_dispatch(&mut self, now: ClockTime, in_flight: u32, expected_ms: f32) {
        if in_flight == 0 {
            self.last_progress = now;
            self.max_expected_ms = 0.0;
        }
        self.max_expected_ms = self.max_expected_ms.max(expected_ms);
        if self.next_probe.is_some() {
            self.schedule_probe(now);
        }
    }

    fn schedule_probe(&mut self, now: ClockTime) {
        let doublings = u32::from(self.bad_probes.min(MAX_PROBE_DOUBLINGS));
        self.next_probe = Some(now + PROBE_INTERVAL * (1 << doublings));
    }

    pub(super) fn record_progress(&mut self, now: ClockTime) {
        self.last_progress = now;
    }

    fn silence_slowdown(&self, now: ClockTime, in_flight: u32) -> f32 {
        if in_flight == 0 {
            return 1.0;
        }
        let silent_ms = now.since(self.last_progress).as_secs_f32() * 1_000.0;
        silent_ms / (self.max_expected_ms * SILENCE_MULTIPLE).max(MIN_SILENCE_MS)
    }
}

/// The fleet's typical speed, and the rules that use it.
#[derive(Debug, Clone, Default)]
pub struct StragglerDetector {
    first_token_ratio: f32,
    gap: Option<f32>,
}

impl StragglerDetector {
    /// How many times slower than its peers a server is; at least 1.
    pub fn slowdown(&self, now: ClockTime, state: &StragglerState, in_flight: u32) -> f32 {
        let mut factor = self.observed_slowdown(state);
        if factor < IGNORED_FACTOR {
            factor = 1.0;
        }
        if factor > 1.0 {
            let age =
                now.since(state.last_observed).as_secs_f32() / SLOWDOWN_HALF_LIFE.as_secs_f32();
            factor = 1.0 + (factor - 1.0) * (-age).exp2();
        }
        // A probe is judged as if the server were normal, or no probe would ever be sent.
        if state.probe_due(now) && in_flight == 0 {
            factor = 1.0;
        }
        factor.max(state.silence_slowdown(now, in_flight)).clamp(1.0, MAX_SLOWDOWN)
    }

    fn observed_slowdown(&self, state: &StragglerState) -> f32 {
        if state.observations < MIN_OBSERVATIONS {
            return 1.0;
        }
        let first_token = state.first_token_ratio - self.first_token_ratio;
        let gap = match (state.gap, self.gap) {
            (Some(server), Some(fleet)) => server - fleet,
            _ => 0.0,
        };
        let logarithm = first_token.max(gap);
        // Most servers are not slow, and the exponential is a large part of their cost.
        if logarithm <= 0.0 { 1.0 } else { logarithm.exp().min(MAX_SLOWDOWN) }
    }

    pub(super) fn observe_first_token(
        &mut self,
        now: ClockTime,
        state: &mut StragglerState,
        observed_ms: f32,
        predicted_ms: f32,
    ) {
        let ratio = (observed_ms.max(MIN_PREDICTION_MS) / predicted_ms.max(MIN_PREDICTION_MS)).ln();
        let ratio = ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        state.record_progress(now);
        state.observations = state.observations.saturating_add(1);
        state.last_observed = now;
        state.first_token_ratio += (ratio - state.first_token_ratio) * SERVER_WEIGHT;
        if !state.is_straggler() {
            self.first_token_ratio += (ratio - self.first_token_ratio) * FLEET_WEIGHT;
        }
        let good = (ratio - self.first_token_ratio).exp() < RECOVERED_FACTOR;
        self.update_probe_state(now, state, good);
    }

    pub(super) fn observe_token_gap(
        &mut self,
        now: ClockTime,
        state: &mut StragglerState,
        gap_ms: f32,
    ) {
        let value = gap_ms.max(0.1).ln();
        state.record_progress(now);
        state.last_observed = now;
        let fleet = self.gap.get_or_insert(value);
        let server = state.gap.get_or_insert(*fleet);
        *server += (value - *server).clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO) * SERVER_WEIGHT;
        if state.next_probe.is_none() {
            *fleet += (value - *fleet).clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO) * FLEET_WEIGHT;
        }
        if state.next_probe.is_none() {
            self.update_probe_state(now, state, false);
        }
    }

    fn update_probe_state(&self, now: ClockTime, state: &mut StragglerState, good: bool) {
        if state.next_probe.is_none() {
            if self.observed_slowdown(state) >= STRAGGLER_FACTOR {
                state.good_probes = 0;
                state.bad_probes = 0;
                state.schedule_probe(now);
            }
            return;
        }
        if good {
            state.good_probes += 1;
            state.bad_probes = 0;
        } else {
            state.good_probes = 0;
            state.bad_probes = state.bad_probes.saturating_add(1);
        }
        state.schedule_probe(now);
        if state.good_probes >= RECOVERY_PROBES {
            state.next_probe = None;
            state.first_token_ratio = self.first_token_ratio;
            state.gap = self.gap;
        }
    }
}
