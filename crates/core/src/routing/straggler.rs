//! Detects slow servers from the entry's own measurements.
//!
//! Load reports show a slow server too late, so they are not used. Each measurement is compared
//! with the typical value of the fleet, which cancels a general error of the cost model.

use std::time::Duration;

use crate::clock::ClockTime;

/// Weight of the newest measurement in a server's moving average.
const SERVER_WEIGHT: f32 = 0.3;
/// Weight of the newest measurement in the fleet's moving average.
const FLEET_WEIGHT: f32 = 0.02;
/// Limit on the natural logarithm of a ratio, so that one outlier moves the averages only so far.
const MAX_LOG_RATIO: f32 = 3.0;
/// Slowdown from which a server is a straggler.
const STRAGGLER_SLOWDOWN: f32 = 2.0;
/// Slowdown below which a probe counts as good. Lower than [`STRAGGLER_SLOWDOWN`], so that a server
/// does not flap between the two states.
const RECOVERED_SLOWDOWN: f32 = 1.4;
/// Slowdown below which costs are not raised. Smaller differences between healthy servers are
/// noise, and moved requests away from servers that hold their prefixes.
const MIN_COUNTED_SLOWDOWN: f32 = 1.5;
/// Number of first tokens before a server can become a straggler.
const MIN_OBSERVATIONS: u32 = 3;
/// Number of consecutive good probes after which a straggler is normal again.
const RECOVERY_PROBES: u8 = 3;
/// Time between probes of a straggler, doubled after each bad probe. At a fixed interval, a
/// permanent straggler received a sixth of the requests of an entry with little traffic.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of doublings of the probe interval, which limits it to 8 s.
const MAX_PROBE_DOUBLINGS: u8 = 5;
/// Time without tokens raises the slowdown when it exceeds this multiple of the longest expected
/// time to first token.
const SILENCE_MULTIPLE: f32 = 2.0;
/// Minimum time without tokens, in milliseconds, that raises the slowdown.
const MIN_SILENCE_MS: f32 = 200.0;
/// Upper limit of the slowdown.
const MAX_SLOWDOWN: f32 = 20.0;
/// Half-life of an observed slowdown without new measurements. Without this decay, a server just
/// below the straggler limit received no requests and could never show that it had recovered.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(4);
/// Times in milliseconds below which the ratio of observation to prediction is mostly noise.
/// Shorter times are raised to this value.
const MIN_PREDICTION_MS: f32 = 5.0;

/// Measurements of the speed of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct StragglerState {
    /// Moving average of the natural logarithm of observed to predicted time to first token.
    first_token_log_ratio: f32,
    /// Moving average of the natural logarithm of the gap between tokens in milliseconds.
    log_gap: Option<f32>,
    observations: u32,
    /// Time of the last measurement.
    last_observed: ClockTime,
    /// Time of the next probe; present only while the server is a straggler.
    next_probe: Option<ClockTime>,
    good_probes: u8,
    bad_probes: u8,
    /// Last time that an attempt made progress or ended, or that the server left the idle state.
    last_progress: ClockTime,
    /// Longest expected time to first token, in milliseconds, since the server was last idle.
    max_expected_ms: f32,
}

impl StragglerState {
    /// Returns whether the server is a straggler.
    pub fn is_straggler(&self) -> bool {
        self.next_probe.is_some()
    }

    /// Returns whether the server is a straggler that is due for a probe.
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

/// The fleet's moving averages, and the rules that compare servers with them.
#[derive(Debug, Clone, Default)]
pub struct StragglerDetector {
    first_token_log_ratio: f32,
    log_gap: Option<f32>,
}

impl StragglerDetector {
    /// Returns how many times slower than its peers a server is, from 1 to `MAX_SLOWDOWN`.
    pub fn slowdown(&self, now: ClockTime, state: &StragglerState, in_flight: u32) -> f32 {
        let mut factor = self.observed_slowdown(state);
        if factor < MIN_COUNTED_SLOWDOWN {
            factor = 1.0;
        }
        if factor > 1.0 {
            let age =
                now.since(state.last_observed).as_secs_f32() / SLOWDOWN_HALF_LIFE.as_secs_f32();
            factor = 1.0 + (factor - 1.0) * (-age).exp2();
        }
        // A probe is costed as if the server were normal; otherwise no probe would ever be sent.
        if state.probe_due(now) && in_flight == 0 {
            factor = 1.0;
        }
        factor.max(state.silence_slowdown(now, in_flight)).clamp(1.0, MAX_SLOWDOWN)
    }

    fn observed_slowdown(&self, state: &StragglerState) -> f32 {
        if state.observations < MIN_OBSERVATIONS {
            return 1.0;
        }
        let first_token = state.first_token_log_ratio - self.first_token_log_ratio;
        let gap = match (state.log_gap, self.log_gap) {
            (Some(server), Some(fleet)) => server - fleet,
            _ => 0.0,
        };
        let log_slowdown = first_token.max(gap);
        // Skips the exponential for the majority of servers, which are not slow: it is a large
        // part of the cost of this function.
        if log_slowdown <= 0.0 { 1.0 } else { log_slowdown.exp().min(MAX_SLOWDOWN) }
    }

    pub(super) fn add_first_token(
        &mut self,
        now: ClockTime,
        state: &mut StragglerState,
        observed_ms: f32,
        predicted_ms: f32,
    ) {
        let log_ratio =
            (observed_ms.max(MIN_PREDICTION_MS) / predicted_ms.max(MIN_PREDICTION_MS)).ln();
        let log_ratio = log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        state.record_progress(now);
        state.observations = state.observations.saturating_add(1);
        state.last_observed = now;
        state.first_token_log_ratio += (log_ratio - state.first_token_log_ratio) * SERVER_WEIGHT;
        if !state.is_straggler() {
            self.first_token_log_ratio += (log_ratio - self.first_token_log_ratio) * FLEET_WEIGHT;
        }
        let good = (log_ratio - self.first_token_log_ratio).exp() < RECOVERED_SLOWDOWN;
        self.update_probe_state(now, state, good);
    }

    pub(super) fn add_token_gap(
        &mut self,
        now: ClockTime,
        state: &mut StragglerState,
        gap_ms: f32,
    ) {
        let log_gap = gap_ms.max(0.1).ln();
        state.record_progress(now);
        state.last_observed = now;
        let fleet = self.log_gap.get_or_insert(log_gap);
        let server = state.log_gap.get_or_insert(*fleet);
        *server += (log_gap - *server).clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO) * SERVER_WEIGHT;
        if state.next_probe.is_none() {
            *fleet += (log_gap - *fleet).clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO) * FLEET_WEIGHT;
        }
        if state.next_probe.is_none() {
            self.update_probe_state(now, state, false);
        }
    }

    fn update_probe_state(&self, now: ClockTime, state: &mut StragglerState, good: bool) {
        if state.next_probe.is_none() {
            if self.observed_slowdown(state) >= STRAGGLER_SLOWDOWN {
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
            state.first_token_log_ratio = self.first_token_log_ratio;
            state.log_gap = self.log_gap;
        }
    }
}
