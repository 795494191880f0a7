//! Counts use in a sliding window, in bounded memory.

use std::time::Duration;

use crate::clock::ClockTime;

/// Use in a sliding window, counted in `N + 1` buckets of `window / N` each.
///
/// A use counts until its whole bucket has left the window. The total is therefore never below the
/// true use, and a use counts at most `window / N` too long.
#[derive(Debug, Clone)]
pub struct UsageWindow<const N: usize> {
    /// Width of a bucket in microseconds.
    width: u64,
    /// Number of the newest bucket: its start time divided by `width`.
    newest: u64,
    /// Ring buffer of the last `N + 1` buckets; bucket `n` is at index `n % buckets.len()`.
    buckets: Vec<u64>,
    /// Invariant: the sum of all buckets.
    total: u64,
}

impl<const N: usize> UsageWindow<N> {
    /// Creates an empty window.
    pub fn new(window: Duration) -> Self {
        // Rounded up, because with narrower buckets a use would stop counting too early.
        let width = (window.as_micros() as u64).div_ceil(N as u64).max(1);
        UsageWindow { width, newest: 0, buckets: vec![0; N + 1], total: 0 }
    }

    /// Returns the use that counts in the window that ends at `now`.
    pub fn total(&mut self, now: ClockTime) -> u64 {
        self.advance(now);
        self.total
    }

    /// Records a use.
    pub fn add(&mut self, now: ClockTime, amount: u64) {
        self.advance(now);
        // If `now` is before the newest bucket, the use is added to that bucket and counts longer.
        let slot = (self.newest % self.buckets.len() as u64) as usize;
        self.buckets[slot] += amount;
        self.total += amount;
    }

    /// Subtracts `amount` from a use that was recorded at `at`, if that use still counts.
    pub fn refund(&mut self, now: ClockTime, at: ClockTime, amount: u64) {
        self.advance(now);
        let number = at.as_micros() / self.width;
        if number + (self.buckets.len() as u64) <= self.newest || number > self.newest {
            return;
        }
        let slot = (number % self.buckets.len() as u64) as usize;
        let amount = amount.min(self.buckets[slot]);
        self.buckets[slot] -= amount;
        self.total -= amount;
    }

    /// Returns how long it takes until `amount` of the use no longer counts; `None` if the total is
    /// less.
    pub fn time_until_freed(&mut self, now: ClockTime, amount: u64) -> Option<Duration> {
        self.advance(now);
        let length = self.buckets.len() as u64;
        let mut freed = 0;
        for age in (0..length).rev() {
            let Some(number) = self.newest.checked_sub(age) else { continue };
            freed += self.buckets[(number % length) as usize];
            if freed >= amount {
                let end = ClockTime::from_micros((number + length) * self.width);
                return Some(end.since(now));
            }
        }
        None
    }

    /// Moves the window forward to `now` and clears the buckets that leave it.
    fn advance(&mut self, now: ClockTime) {
        let number = now.as_micros() / self.width;
        let length = self.buckets.len() as u64;
        if number <= self.newest {
            return;
        }
        if number - self.newest >= length {
            self.buckets.fill(0);
            self.total = 0;
        } else {
            for entered in self.newest + 1..=number {
                let slot = (entered % length) as usize;
                self.total -= std::mem::take(&mut self.buckets[slot]);
            }
        }
        self.newest = number;
    }
}
