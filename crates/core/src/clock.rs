//! Time values and timers.
//!
//! The library never reads a clock. Hosts pass a [`ClockTime`] with each input, and tests advance
//! time explicitly.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in time in microseconds on the host's monotonic clock. Arithmetic saturates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
#[cbor(transparent)]
pub struct ClockTime(#[n(0)] u64);

impl ClockTime {
    /// Origin of the clock.
    pub const ZERO: ClockTime = ClockTime(0);

    /// Creates a time from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> ClockTime {
        ClockTime(micros)
    }

    /// Creates a time from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> ClockTime {
        ClockTime(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
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

/// Queue of one-shot timers, each of which returns a key when it is due.
///
/// Timers cannot be cancelled. The owner checks its own state when a key is returned, so the queue
/// needs no handles that could outlive their owners.
#[derive(Debug, Clone)]
pub struct TimerQueue<K> {
    /// Invariant: `sequence` is unique, so that keys due at the same time are returned in the order
    /// in which they were scheduled.
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
    /// Creates a queue without timers.
    pub fn new() -> TimerQueue<K> {
        TimerQueue::default()
    }

    /// Schedules a timer that returns `key` at `due`.
    pub fn schedule(&mut self, due: ClockTime, key: K) {
        self.sequence += 1;
        self.heap.push(Reverse(TimerEntry { due, sequence: self.sequence, key }));
    }

    /// Returns the due time of the earliest timer.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.heap.peek().map(|entry| entry.0.due)
    }

    /// Removes the earliest timer if it is due at `now`, and returns its key.
    pub fn pop_due(&mut self, now: ClockTime) -> Option<K> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.0.key)
    }

    /// Number of pending timers.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
