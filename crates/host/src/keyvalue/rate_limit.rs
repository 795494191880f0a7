//! Token bucket that limits the rate of calls.

use std::time::Duration;

use carobvane_core::clock::ClockTime;

/// Admits `rate` calls per second on average, with bursts of up to one second's worth of calls.
#[derive(Debug, Clone)]
pub struct CallRateLimiter {
    /// Calls per second; at least 1.
    rate: u32,
    /// Calls that may be made now, in millionths of a call. Invariant: at most `rate` calls.
    microcalls: u64,
    last_refill: ClockTime,
}

/// One call, in the unit of [`CallRateLimiter::microcalls`].
const MICROCALLS_PER_CALL: u64 = 1_000_000;

impl CallRateLimiter {
    /// Creates a limiter of `rate` calls per second, with its whole burst available; a rate of 0
    /// counts as 1.
    pub fn new(rate: u32, now: ClockTime) -> CallRateLimiter {
        let rate = rate.max(1);
        CallRateLimiter {
            rate,
            microcalls: u64::from(rate) * MICROCALLS_PER_CALL,
            last_refill: now,
        }
    }

    /// Counts one call against the limit, or returns how long to wait before trying again.
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
