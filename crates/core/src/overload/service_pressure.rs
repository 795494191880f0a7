//! How close the queues of a service's servers are to what requests may wait.

use std::time::Duration;

use crate::clock::ClockTime;

/// Time constant with which observations are forgotten, in seconds. Shorter than the time in which a
/// burst fills the queues up to the bound, longer than the time between two load reports.
const TIME_CONSTANT_S: f64 = 1.0;
/// Weight of the assumption that queues are empty.
const PRIOR_WEIGHT: f64 = 0.5;
/// Queues up to this share of the bound cause no pressure.
const FREE_FILL: f64 = 0.5;
/// What a rejection by a server counts as: more than a full queue, since the estimate was too low.
const REJECTION_FILL: f64 = 1.5;
/// Largest fill that counts, so that one wrong estimate does not decide for a second.
const MAX_FILL: f64 = 2.0;
/// Slowest rate at which backlogs are assumed to fall, in ms a ms.
const MIN_FALL_RATE: f64 = 0.2;
/// Time over which waits are averaged to see whether they fall.
const FALL_WINDOW: Duration = Duration::from_millis(250);

/// Pressure of one service, as this node sees it.
#[derive(Debug, Clone)]
pub struct ServicePressure {
    /// Sum of the observed fills, and their number, both decayed.
    fills: f64,
    weight: f64,
    updated_at: ClockTime,
    /// Sum in ms and number of the waits since `window_start`.
    window_waits: f64,
    window_count: f64,
    window_start: ClockTime,
    /// Mean wait of the window before, in ms.
    last_wait: Option<f64>,
    /// Average decrease of the expected wait, in ms a ms.
    fall_rate: f64,
}

impl Default for ServicePressure {
    fn default() -> ServicePressure {
        ServicePressure {
            fills: 0.0,
            weight: 0.0,
            updated_at: ClockTime::ZERO,
            window_waits: 0.0,
            window_count: 0.0,
            window_start: ClockTime::ZERO,
            last_wait: None,
            fall_rate: 0.5,
        }
    }
}

impl ServicePressure {
    /// Records the expected wait at the best server for a request that may wait for `room`.
    pub fn on_wait(&mut self, now: ClockTime, wait: Duration, room: Duration) {
        let fill = wait.as_secs_f64() / room.as_secs_f64().max(0.001);
        self.record(now, fill.min(MAX_FILL));
        self.observe_fall(now, wait.as_secs_f64() * 1_000.0);
    }

    /// Records that a server rejected a request because it was full.
    pub fn on_rejected(&mut self, now: ClockTime) {
        self.record(now, REJECTION_FILL);
    }

    /// Returns the pressure: 0 while the queues are well below the bound, 1 when they reach it.
    pub fn pressure(&self, now: ClockTime) -> f64 {
        let decay = self.decay(now);
        let fill = self.fills * decay / (self.weight * decay + PRIOR_WEIGHT);
        ((fill - FREE_FILL) / (1.0 - FREE_FILL)).clamp(0.0, 1.0)
    }

    /// Returns how long the best server's backlog takes to fall by `excess`.
    pub fn time_to_fall(&self, excess: Duration) -> Duration {
        excess.div_f64(self.fall_rate.clamp(MIN_FALL_RATE, 1.0))
    }

    fn record(&mut self, now: ClockTime, fill: f64) {
        let decay = self.decay(now);
        self.fills = self.fills * decay + fill;
        self.weight = self.weight * decay + 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    fn decay(&self, now: ClockTime) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT_S).exp()
    }

    fn observe_fall(&mut self, now: ClockTime, wait_ms: f64) {
        let passed = now.since(self.window_start);
        if passed >= FALL_WINDOW && self.window_count > 0.0 {
            let mean = self.window_waits / self.window_count;
            if let Some(last) = self.last_wait.filter(|_| passed < FALL_WINDOW * 4) {
                let rate = (last - mean) / (passed.as_secs_f64() * 1_000.0);
                self.fall_rate += (rate.clamp(0.0, 1.0) - self.fall_rate) * 0.3;
            }
            self.last_wait = Some(mean);
            (self.window_waits, self.window_count) = (0.0, 0.0);
        }
        if self.window_count == 0.0 {
            self.window_start = now;
        }
        self.window_waits += wait_ms;
        self.window_count += 1.0;
    }
}
