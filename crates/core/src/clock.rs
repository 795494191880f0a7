//! Time as data, and the one timer service that every waiting part subscribes to.
//!
//! The library never reads a clock. Hosts pass a [`ClockTime`] with each input, and tests advance
//! it by hand.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Microseconds on the host's monotonic clock.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The origin of the clock.
    pub const ZERO: ClockTime = ClockTime(0);

    /// Creates a time from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> ClockTime {
        ClockTime(micros)
    }

    /// Creates a time from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> ClockTime {
        ClockTime(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: ClockTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for ClockTime {
    type Output = ClockTime;

    fn add(self, duration: Duration) -> ClockTime {
        ClockTime(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for ClockTime {
    type Output = ClockTime;

    fn sub(self, duration: Duration) -> ClockTime {
        ClockTime(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// Delivers subscribed keys when they are due.
///
/// A subscription is not cancelled: the subscriber checks its own state when the key comes back,
/// which keeps the service free of handles that outlive their owners.
#[derive(Debug, Clone)]
pub struct TimerQueue<K> {
    /// Invariant: `sequence` is unique, so that keys due at the same time come back in the order
    /// of their subscription.
    heap: BinaryHeap<Reverse<TimerEntry<K>>>,
    sequence: u64,
}

#[derive(Debug, Clone)]
struct TimerEntry<K> {
    due: ClockTime,
    sequence: u64,
    key: K,
}

impl<K> PartialEq for TimerEntry<K> {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}

impl<K> Eq for TimerEntry<K> {}

impl<K> PartialOrd for TimerEntry<K> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<K> Ord for TimerEntry<K> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

impl<K> Default for TimerQueue<K> {
    fn default() -> TimerQueue<K> {
        TimerQueue { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<K> TimerQueue<K> {
    /// Creates a service without subscriptions.
    pub fn new() -> TimerQueue<K> {
        TimerQueue::default()
    }

    /// Asks for `key` back at `due`.
    pub fn schedule(&mut self, due: ClockTime, key: K) {
        self.sequence += 1;
        self.heap.push(Reverse(TimerEntry { due, sequence: self.sequence, key }));
    }

    /// The time of the earliest subscription.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.heap.peek().map(|entry| entry.0.due)
    }

    /// Takes one key that is due at `now`.
    pub fn pop_due(&mut self, now: ClockTime) -> Option<K> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.0.key)
    }

    /// Number of open subscriptions.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no subscription is open.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
