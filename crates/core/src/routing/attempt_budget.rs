//! Limits the extra attempts (retries, hedges and resumes) that an entry makes.

use std::time::Duration;

use super::CostParts;
use crate::clock::ClockTime;

/// Length of the sliding window in seconds, with one bucket per second.
const WINDOW_SECONDS: usize = 10;
/// Extra attempts allowed per request in the window.
const EXTRA_ATTEMPT_SHARE: f32 = 0.05;
/// Extra attempts always allowed in the window. This covers the batch of one engine, so that all
/// its requests can be resumed when it crashes; with 4, three of four were aborted.
const MIN_EXTRA_ATTEMPTS: u32 = 16;
/// Share of the budget that hedges may use up. The rest is reserved for retries and resumes,
/// without which a caller gets an error.
const HEDGE_BUDGET_SHARE: f32 = 0.5;
/// A hedge starts when the first token takes this many times the expected time.
const HEDGE_FACTOR: f32 = 2.5;
/// Minimum delay of a hedge in milliseconds.
const HEDGE_MIN_MS: f32 = 50.0;

/// The shared budget of retries, hedges and resumes: 5 % of the requests of the last 10 s, but at
/// least `MIN_EXTRA_ATTEMPTS`.
#[derive(Debug, Clone, Default)]
pub struct AttemptBudget {
    buckets: [BudgetBucket; WINDOW_SECONDS],
}

#[derive(Debug, Clone, Copy, Default)]
struct BudgetBucket {
    second: u64,
    requests: u32,
    extra: u32,
}

impl AttemptBudget {
    /// Creates a budget without any counted requests.
    pub fn new() -> AttemptBudget {
        AttemptBudget::default()
    }

    /// Counts a request. Its extra attempts are not counted here.
    pub fn count_request(&mut self, now: ClockTime) {
        self.bucket(now).requests += 1;
    }

    /// Takes a retry or a resume from the budget. Returns false and takes nothing if the budget is
    /// exhausted.
    pub fn try_take_retry(&mut self, now: ClockTime) -> bool {
        self.try_take(now, 1.0)
    }

    /// Takes a hedge from the budget. Returns false and takes nothing if `HEDGE_BUDGET_SHARE` of
    /// the budget is used up.
    pub fn try_take_hedge(&mut self, now: ClockTime) -> bool {
        self.try_take(now, HEDGE_BUDGET_SHARE)
    }

    fn try_take(&mut self, now: ClockTime, share: f32) -> bool {
        let second = now.as_micros() / 1_000_000;
        let recent =
            self.buckets.iter().filter(|bucket| bucket.second + WINDOW_SECONDS as u64 > second);
        let (requests, extra) = recent.fold((0, 0), |(requests, extra), bucket| {
            (requests + bucket.requests, extra + bucket.extra)
        });
        let allowed =
            (MIN_EXTRA_ATTEMPTS as f32).max(requests as f32 * EXTRA_ATTEMPT_SHARE) * share;
        if extra >= allowed as u32 {
            return false;
        }
        self.bucket(now).extra += 1;
        true
    }

    fn bucket(&mut self, now: ClockTime) -> &mut BudgetBucket {
        let second = now.as_micros() / 1_000_000;
        let bucket = &mut self.buckets[(second % WINDOW_SECONDS as u64) as usize];
        if bucket.second != second {
            *bucket = BudgetBucket { second, ..BudgetBucket::default() };
        }
        bucket
    }
}

/// Returns how long to wait for the first token before a request with this expected cost is hedged.
pub fn hedge_delay(cost: &CostParts) -> Duration {
    let delay_ms = (cost.first_token_ms() * HEDGE_FACTOR).max(HEDGE_MIN_MS);
    Duration::from_secs_f32(delay_ms / 1_000.0)
}
