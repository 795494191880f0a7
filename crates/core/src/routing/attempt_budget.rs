//! One budget for all extra attempts.

use std::time::Duration;

use super::CostParts;
use crate::clock::ClockTime;

/// Seconds over which the budget is counted, one bucket each.
const WINDOW_SECONDS: usize = 10;
/// Extra attempts allowed for each request.
const EXTRA_ATTEMPT_SHARE: f32 = 0.05;
/// Extra attempts always allowed in the window: the batch of one engine, so that all its requests
/// can be resumed when it crashes. With 4, three of four were cut off.
const MIN_EXTRA_ATTEMPTS: u32 = 16;
/// Part of the budget that hedges may use; the rest is left for retries and resumes, without which
/// a caller gets an error.
const HEDGE_BUDGET_SHARE: f32 = 0.5;
/// A hedge starts when the first token takes this many times the expected time.
const HEDGE_FACTOR: f32 = 2.5;
/// Shortest time in ms before a hedge starts.
const HEDGE_MIN_MS: f32 = 50.0;

/// The shared budget of retries, hedges and resumes: 5 % of the requests of the last 10 s.
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
    /// Creates an unused budget.
    pub fn new() -> AttemptBudget {
        AttemptBudget::default()
    }

    /// Counts a request, not its extra attempts.
    pub fn count_request(&mut self, now: ClockTime) {
        self.bucket(now).requests += 1;
    }

    /// Takes a retry or a resume from the budget. Returns false, and takes nothing, when the budget
    /// is used up.
    pub fn try_take_retry(&mut self, now: ClockTime) -> bool {
        self.try_take(now, 1.0)
    }

    /// Takes a hedge from the budget, unless half of the budget is used up.
    pub fn try_take_hedge(&mut self, now: ClockTime) -> bool {
        self.try_take(now, HEDGE_BUDGET_SHARE)
    }

    fn try_take(&mut self, now: ClockTime, part: f32) -> bool {
        let second = now.as_micros() / 1_000_000;
        let recent =
            self.buckets.iter().filter(|bucket| bucket.second + WINDOW_SECONDS as u64 > second);
        let (requests, extra) = recent.fold((0, 0), |(requests, extra), bucket| {
            (requests + bucket.requests, extra + bucket.extra)
        });
        let allowed = (MIN_EXTRA_ATTEMPTS as f32).max(requests as f32 * EXTRA_ATTEMPT_SHARE) * part;
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

/// How long to wait for the first token before hedging a request with this expected cost.
pub fn hedge_delay(cost: &CostParts) -> Duration {
    let delay_ms = (cost.first_token_ms() * HEDGE_FACTOR).max(HEDGE_MIN_MS);
    Duration::from_secs_f32(delay_ms / 1_000.0)
}
