//! The fleet-wide budget of repeated sends, as one node's share of it.
//!
//! The fleet may send `ratio` of the requests of a window plus a fixed slack again. A node spends
//! only against the requests that it has received itself and its part of the slack, so the sum over
//! all nodes stays within the budget without a message between them.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockTime;

/// Width of the steps in which use is counted.
const BUCKET_WIDTH: Duration = Duration::from_millis(250);
/// Part of its share that a node spends: the rest covers nodes that restart and forget their use.
const SPENDABLE_SHARE: f64 = 0.8;

/// The budget of the whole fleet and the number of nodes that share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShare {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends in a window beyond the ratio, of all nodes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Nodes that share the slack.
    pub nodes: usize,
}

#[derive(Debug, Clone, Copy)]
struct BudgetBucket {
    from: ClockTime,
    requests: u32,
    retries: u32,
}

/// Repeated sends of one node to one service.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    /// Invariant: in time order, none older than the window.
    buckets: VecDeque<BudgetBucket>,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: ClockTime, share: &BudgetShare) {
        self.bucket(now, share).requests += 1;
    }

    /// Takes one repeated send if the budget allows it.
    pub fn try_spend(&mut self, now: ClockTime, share: &BudgetShare) -> bool {
        if self.remaining(now, share) < 1.0 {
            return false;
        }
        self.bucket(now, share).retries += 1;
        true
    }

    /// Repeated sends that are left in the window that ends now.
    pub fn remaining(&mut self, now: ClockTime, share: &BudgetShare) -> f64 {
        self.bucket(now, share);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = share.slack / share.nodes.max(1) as f64;
        SPENDABLE_SHARE * (share.ratio * f64::from(requests) + slack) - f64::from(retries)
    }

    fn bucket(&mut self, now: ClockTime, share: &BudgetShare) -> &mut BudgetBucket {
        // A bucket stays until its last moment has left the window.
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
