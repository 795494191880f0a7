//! A rate limit on calls.

use std::time::Duration;

use carobvane_core::clock::ClockTime;

/// Admits at most `rate` calls a second, with a burst of one second's calls.
#[derive(Debug, Clone)]
pub struct CallBudget {
    /// Calls a second; at least 1.
    rate: u32,
    /// Invariant: at most one second's worth, in millionths of a call.
    available: u64,
    updated: ClockTime,
}

/// One call in the unit of [`CallBudget::available`].
const MICROCALLS: u64 = 1_000_000;

impl CallBudget {
    /// Creates a full budget of `rate` calls a second.
    pub fn new(rate: u32, now: ClockTime) -> CallBudget {
        let rate = rate.max(1);
        CallBudget { rate, available: u64::from(rate) * MICROCALLS, updated: now }
    }

    /// Takes one call, or returns how long to wait before the next attempt.
    pub fn take(&mut self, now: ClockTime) -> Result<(), Duration> {
        let elapsed = now.since(self.updated).as_micros() as u64;
        let limit = u64::from(self.rate) * MICROCALLS;
        let gained = elapsed.saturating_mul(u64::from(self.rate));
        self.available = self.available.saturating_add(gained).min(limit);
        self.updated = self.updated.max(now);
        if self.available >= MICROCALLS {
            self.available -= MICROCALLS;
            return Ok(());
        }
        let missing = MICROCALLS - self.available;
        Err(Duration::from_micros(missing.div_ceil(u64::from(self.rate))))
    }
}
