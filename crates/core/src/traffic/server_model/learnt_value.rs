//! A positive quantity that is learnt from observations of which single ones may be far off.

use std::time::Duration;

use crate::clock::ClockTime;

/// An observation moves the value as if it differed by at most this factor, so that a false or
/// garbled response has a bounded effect.
const MAX_RATIO: f64 = 1.5;
/// Smallest weight of an observation. With it, some twenty observations replace an old value.
const MIN_WEIGHT: f64 = 0.12;
/// The value stays within this factor of the start value that the service gives.
const MAX_DEVIATION: f64 = 6.0;
/// Time without observations in which half of the difference from the start value is forgotten. A server
/// that was slow for a time gets no requests that could show that it no longer is.
const HALF_LIFE: Duration = Duration::from_secs(15);

/// A learnt value, or none before the first observation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LearntValue {
    /// Natural logarithm of the value. Meaningless without observations.
    log: f64,
    /// Sum of the shares with which observations concerned this value.
    observed: f64,
    /// When it was observed last.
    observed_at: ClockTime,
}

impl LearntValue {
    /// Returns the value. It is `start` before the first observation, and returns to `start` without
    /// further ones.
    pub fn get(&self, now: ClockTime, start: f64) -> f64 {
        if self.is_learnt() { self.current_log(now, start).exp() } else { start }
    }

    fn current_log(&self, now: ClockTime, start: f64) -> f64 {
        let halves = now.since(self.observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let base = start.ln();
        if self.is_learnt() { base + (self.log - base) * 0.5_f64.powf(halves) } else { base }
    }

    /// Whether there was an observation.
    pub fn is_learnt(&self) -> bool {
        self.observed > 0.0
    }

    /// Records that the value should be `ratio` times as large. `share`, from 0 to 1, is how much the
    /// observation says about this value.
    pub fn observe(&mut self, now: ClockTime, start: f64, ratio: f64, share: f64) {
        if !ratio.is_finite() || share <= 0.0 {
            return;
        }
        let base = start.ln();
        let log = self.current_log(now, start);
        let step = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        self.observed += share;
        self.observed_at = now;
        let weight = (1.0 / (1.0 + self.observed)).max(MIN_WEIGHT) * share;
        let limit = MAX_DEVIATION.ln();
        self.log = (log + step * weight).clamp(base - limit, base + limit);
    }

    /// Gives the next observations the weight of first ones.
    pub fn relearn(&mut self) {
        self.observed = self.observed.min(1.0);
    }
}
