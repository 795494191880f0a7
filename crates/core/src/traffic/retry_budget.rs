//! One node's share of the retry budget of the whole fleet.
//!
//! In each window, the fleet may retry a share of its requests, `ratio`, plus a fixed number, the
//! slack. A node counts only the requests that it received itself and its part of the slack. The
//! sum over all nodes therefore stays within the budget without any coordination. A node that starts
//! gets its part of the slack one window later, as it does not know what it spent before.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockTime;

/// Width of the time buckets in which requests and retries are counted.
const BUCKET_WIDTH: Duration = Duration::from_millis(250);
/// Part of its share that a node may spend. The rest covers nodes that have joined and are not yet
/// counted by the others.
const SPENDABLE_SHARE: f64 = 0.8;

/// Budget of the whole fleet, and the number of nodes that share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShare {
    /// Allowed retries for each request.
    pub ratio: f64,
    /// Allowed retries of all nodes together in a window, beyond the ratio.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Number of nodes that share the slack.
    pub nodes: usize,
    /// When the node gets its part of the slack; `None` if it does not know all nodes yet. An
    /// earlier run of the node may have spent its part in the window that ends before that.
    pub slack_from: Option<ClockTime>,
}

#[derive(Debug, Clone, Copy)]
struct BudgetBucket {
    from: ClockTime,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one node to one service.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    /// Invariant: in ascending order of time, none entirely older than the window.
    buckets: VecDeque<BudgetBucket>,
}

impl RetryBudget {
    /// Counts a client's request.
    pub fn on_request(&mut self, now: ClockTime, share: &BudgetShare) {
        self.bucket(now, share).requests += 1;
    }

    /// Takes back a client's request that another node counts in its own share.
    pub fn on_request_passed_on(&mut self, now: ClockTime, share: &BudgetShare) {
        let bucket = self.bucket(now, share);
        bucket.requests = bucket.requests.saturating_sub(1);
    }

    /// Spends one retry. Returns whether the budget allowed it.
    pub fn try_spend(&mut self, now: ClockTime, share: &BudgetShare) -> bool {
        if self.remaining(now, share) < 1.0 {
            return false;
        }
        self.bucket(now, share).retries += 1;
        true
    }

    /// Number of retries left in the window that ends now; negative if overspent.
    pub fn remaining(&mut self, now: ClockTime, share: &BudgetShare) -> f64 {
        self.bucket(now, share);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let has_slack = share.slack_from.is_some_and(|from| now >= from);
        let slack = if has_slack { share.slack / share.nodes.max(1) as f64 } else { 0.0 };
        SPENDABLE_SHARE * (share.ratio * f64::from(requests) + slack) - f64::from(retries)
    }

    fn bucket(&mut self, now: ClockTime, share: &BudgetShare) -> &mut BudgetBucket {
        // A bucket is kept until its end has left the window.
        let keep = share.window + BUCKET_WIDTH;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.from) > keep) {
            self.buckets.pop_front();
        }
        let fresh = self.buckets.back().is_some_and(|bucket| now.since(bucket.from) < BUCKET_WIDTH);
        if !fresh {
            self.buckets.push_back(BudgetBucket { from: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
