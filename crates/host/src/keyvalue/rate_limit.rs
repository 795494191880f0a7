//! A rate limit on calls.

use std::time::Duration;

use carobvane_core::clock::ClockTime;

/// Admits at most `rate` calls a second, with a burst of one second's calls.
#[derive(Debug, Clone)]
pub struct CallRateLimiter {
    /// Calls a second; at least 1.
    rate: u32,
    /// Invariant: at most one second's worth, in millionths of a call.
    microcalls: u64,
    last_refill: ClockTime,
}

/// One call in the unit of [`CallRateLimiter::microcalls`].
const MICROCALLS_PER_CALL: u64 = 1_000_000;

impl CallRateLimiter {
    /// Creates a full budget of `rate` calls a second.
    pub fn new(rate: u32, now: ClockTime) -> CallRateLimiter {
        let rate = rate.max(1);
        CallRateLimiter {
            rate,
            microcalls: u64::from(rate) * MICROCALLS_PER_CALL,
            last_refill: now,
        }
    }

    /// Takes one call, or returns how long to wait before the next attempt.
    pub fn try_acquire(&mut self, now: ClockTime) -> Result<(), Duration> {
        let elapsed = now.since(self.last_refill).as_micros() as u64;
        let limit = u64::from(self.rate) * MICROCALLS_PER_CALL;
        let gained = elapsed.saturating_mul(u64::from(self.rate));
        self.microcalls = self.microcalls.saturating_add(gained).min(limit);
        self.last_refill = self.last_refill.max(now);
        if self.microcalls >= MICROCALLS_PER_CALL {
            self.microcalls -= MICROCALLS_PER_CALL;
            return Ok(());
        }
        let missing = MICROCALLS_PER_CALL - self.microcalls;
        Err(Duration::from_micros(missing.div_ceil(u64::from(self.rate))))
    }
}
