//! The tokens of one slot: a token bucket, and what was granted within the window.
//!
//! The bucket bounds every span of time, so that a new home that starts with an empty one keeps the
//! bound without knowing what its predecessor granted. The record of the window bounds windows of the
//! length that the limit names, since the bucket's capacity is larger than the burst.

use std::{collections::VecDeque, time::Duration};

use super::{HandedSlot, SlotKey, messages::to_micros};
use crate::clock::ClockTime;

/// Amounts are compared up to this, since they are sums of fractions.
const ROUNDING: f64 = 1e-6;
/// Parts in which the state of a bucket is handed over.
const PARTS: f64 = 1e6;

/// Share of one slot in the limit of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotShare {
    /// Tokens a second.
    pub rate: f64,
    /// Most tokens in the bucket.
    pub capacity: f64,
    /// Most tokens within a window.
    pub window_amount: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct LogEntry {
    at: ClockTime,
    id: u64,
    amount: f64,
}

/// The tokens of one slot at its home.
#[derive(Debug, Clone)]
pub struct SlotBucket {
    share: SlotShare,
    level: f64,
    /// Time of `level`. In the future if tokens are reserved that are not there yet.
    level_at: ClockTime,
    /// Invariant: ordered by time.
    log: VecDeque<LogEntry>,
    /// Invariant: sum of the amounts in `log`.
    log_sum: f64,
}

impl SlotBucket {
    /// Creates a bucket with some tokens, at most its capacity.
    pub fn new(now: ClockTime, share: SlotShare, level: f64) -> SlotBucket {
        let level = level.clamp(0.0, share.capacity);
        SlotBucket { share, level, level_at: now, log: VecDeque::new(), log_sum: 0.0 }
    }

    /// Creates the bucket of a slot that another node was the home of.
    pub fn from_handed(now: ClockTime, share: SlotShare, handed: &HandedSlot) -> SlotBucket {
        let at = now + Duration::from_micros(handed.due);
        let mut bucket = SlotBucket::new(at, share, share.capacity * handed.level as f64 / PARTS);
        let used = share.window_amount * handed.used as f64 / PARTS;
        bucket.log.push_back(LogEntry { at, id: 0, amount: used });
        bucket.log_sum = used;
        bucket
    }

    /// Returns the state of the bucket for another node.
    pub fn hand_over(&mut self, now: ClockTime, key: SlotKey) -> HandedSlot {
        self.refill(now);
        self.forget(now);
        let level = (self.level / self.share.capacity * PARTS).floor();
        let used = (self.log_sum / self.share.window_amount * PARTS).ceil();
        let due = to_micros(self.level_at.since(now));
        HandedSlot { key, level: level as u64, used: used as u64, due }
    }

    /// Returns the tokens that are there, less those that are reserved before they are there.
    pub fn free_amount(&mut self, now: ClockTime) -> f64 {
        self.refill(now);
        self.forget(now);
        let lent = self.share.rate * self.level_at.since(now).as_secs_f64();
        self.level.min(self.share.window_amount - self.log_sum) - lent
    }

    /// Applies a changed limit. What was granted is scaled with it: the earlier limit holds for windows
    /// that reach over the change, and the later one for those after it.
    pub fn set_share(&mut self, now: ClockTime, share: SlotShare) {
        if share == self.share {
            return;
        }
        self.refill(now);
        let factor = share.window_amount / self.share.window_amount;
        self.log.iter_mut().for_each(|entry| entry.amount *= factor);
        self.log_sum *= factor;
        self.level = (self.level * share.capacity / self.share.capacity).min(share.capacity);
        self.share = share;
    }

    /// Takes tokens that are there within `max_delay`. Returns the time until then; fails with it if
    /// it is longer.
    pub fn take(
        &mut self,
        now: ClockTime,
        id: u64,
        amount: f64,
        max_delay: Duration,
    ) -> Result<Duration, Duration> {
        self.refill(now);
        self.forget(now);
        if amount > self.share.capacity + ROUNDING {
            return Err(self.share.window);
        }
        let missing = (amount - ROUNDING - self.level).max(0.0);
        let filled_at = self.level_at + seconds(missing / self.share.rate);
        let at = filled_at.max(self.allowed_at(filled_at, amount));
        let delay = at.since(now);
        if delay > max_delay {
            return Err(delay);
        }
        self.refill(at);
        self.level = (self.level - amount).max(0.0);
        self.level_at = at;
        self.log.push_back(LogEntry { at, id, amount });
        self.log_sum += amount;
        Ok(delay)
    }

    /// Takes back tokens that were granted for an ask and not used. Returns whether there were any.
    pub fn give_back(&mut self, now: ClockTime, id: u64) -> bool {
        self.forget(now);
        let entry = self.log.iter_mut().rev().find(|entry| entry.id == id && entry.amount > 0.0);
        let Some(entry) = entry else { return false };
        let amount = std::mem::take(&mut entry.amount);
        self.log_sum -= amount;
        self.level = (self.level + amount).min(self.share.capacity);
        true
    }

    /// The earliest time from `from` on at which the window has room for an amount.
    fn allowed_at(&self, from: ClockTime, amount: f64) -> ClockTime {
        let mut at = from;
        let mut sum = self.log_sum;
        for entry in &self.log {
            let ends_at = entry.at + self.share.window;
            if ends_at > at {
                if sum + amount <= self.share.window_amount + ROUNDING {
                    break;
                }
                at = ends_at;
            }
            sum -= entry.amount;
        }
        at
    }

    fn refill(&mut self, now: ClockTime) {
        if now > self.level_at {
            let added = self.share.rate * now.since(self.level_at).as_secs_f64();
            self.level = (self.level + added).min(self.share.capacity);
            self.level_at = now;
        }
    }

    fn forget(&mut self, now: ClockTime) {
        while let Some(entry) = self.log.front() {
            if entry.at + self.share.window > now {
                return;
            }
            self.log_sum -= entry.amount;
            self.log.pop_front();
        }
        self.log_sum = 0.0;
    }
}

/// Returns a time, at most a day.
fn seconds(seconds: f64) -> Duration {
    // Rounded up to the clock's microsecond, so that the tokens are there when they are due.
    Duration::from_micros((seconds.min(86_400.0) * 1e6).ceil() as u64)
}
