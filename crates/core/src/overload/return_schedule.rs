//! When refused clients are told to come back, and the room that is kept for them.
//!
//! Refused clients that all come back after the same time find the same full servers. Each is given
//! the first interval in which its return still has room.

use std::{collections::VecDeque, time::Duration};

use rand::Rng;

use crate::clock::ClockTime;

/// Length of an interval of the schedule.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of intervals, including the [`LATE_INTERVALS`] past ones. No client is told to wait longer.
const MAX_INTERVALS: usize = 64;
/// Shortest retry delay. Load reports and notices need about this long to show a change.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Share of the admitted requests of an interval that may be returns.
const RETURN_SHARE: f64 = 0.5;
/// Largest share of the room that is kept for returns. New requests that are refused for it become
/// returns themselves, so a larger one would send all requests away once.
const MAX_RESERVED_SHARE: f64 = 0.12;
/// Number of bands into which promises are divided by the urgency of their requests.
const BANDS: usize = 4;
/// Time constant of the average rate of admitted requests, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Returns are expected for this many intervals after the promised one.
const LATE_INTERVALS: usize = 2;

/// The times at which a return is of use to its client.
#[derive(Debug, Clone, Copy)]
pub struct ReturnWindow {
    /// Time after which the request can probably be served.
    pub earliest: Duration,
    /// Longest time that the client waits before it returns.
    pub latest: Duration,
}

/// Promised returns to one service through this node.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    /// Promised returns that have not come, by interval and band. The first [`LATE_INTERVALS`]
    /// intervals are past.
    promised: VecDeque<[u32; BANDS]>,
    /// Number of the interval of the first entry since the origin of the clock.
    first: u64,
    /// Value of the average rate of admitted requests at `rate_at`.
    admit_rate: f64,
    rate_at: ClockTime,
}

impl ReturnSchedule {
    /// Records that a request was admitted. `is_return` fulfils a promise.
    pub fn on_admitted(&mut self, now: ClockTime, position: f64, is_return: bool) {
        self.admit_rate = self.rate(now) + 1.0 / RATE_TIME_CONSTANT_S;
        self.rate_at = now;
        if is_return {
            self.advance(now);
            let due = self.promised.iter_mut().take(LATE_INTERVALS + 1);
            let mut due = due.map(|bands| &mut bands[band(position)]).filter(|count| **count > 0);
            if let Some(count) = due.next() {
                *count -= 1;
            }
        }
    }

    /// Promises a return to a request at a place among all work, and returns the retry delay.
    pub fn promise(
        &mut self,
        now: ClockTime,
        window: ReturnWindow,
        position: f64,
        rng: &mut impl Rng,
    ) -> Duration {
        self.advance(now);
        let longest = INTERVAL * (MAX_INTERVALS - LATE_INTERVALS - 1) as u32;
        let latest = window.latest.clamp(MIN_DELAY, longest);
        let earliest = window.earliest.clamp(MIN_DELAY, latest);
        let (first, last) = (self.index_of(now + earliest), self.index_of(now + latest));
        // Without room, the returns are spread evenly, as at least some of them will be served.
        let emptiest =
            || (first..=last).min_by_key(|&index| self.promised[index].iter().sum::<u32>());
        let index = self.first_with_room(now, first, last).or_else(emptiest).unwrap_or(first);
        self.promised[index][band(position)] += 1;
        let start_us = (self.first + index as u64) * INTERVAL.as_micros() as u64;
        let start = ClockTime::from_micros(start_us).since(now);
        (start + INTERVAL.mul_f64(rng.random())).clamp(earliest, latest)
    }

    /// Returns the first interval up to which fewer returns are promised than can be served.
    fn first_with_room(&self, now: ClockTime, first: usize, last: usize) -> Option<usize> {
        let capacity = self.rate(now) * INTERVAL.as_secs_f64() * RETURN_SHARE;
        let mut promised = 0.0;
        self.promised.iter().enumerate().take(last + 1).find_map(|(index, bands)| {
            promised += f64::from(bands.iter().sum::<u32>());
            let intervals = index.saturating_sub(LATE_INTERVALS) as f64;
            (index >= first && promised < capacity * intervals + 1.0).then_some(index)
        })
    }

    /// Share of the room of a new request that is kept for returns that are due now and at least as
    /// urgent.
    pub fn reserved_share(&mut self, now: ClockTime, position: f64) -> f64 {
        self.advance(now);
        let due = self.promised.iter().take(LATE_INTERVALS + 1);
        let due: u32 = due.flat_map(|bands| &bands[..=band(position)]).sum();
        let seconds = INTERVAL.as_secs_f64() * (LATE_INTERVALS + 1) as f64;
        let admitted = (self.rate(now) * seconds).max(1.0);
        (f64::from(due) / admitted).min(MAX_RESERVED_SHARE)
    }

    /// Admitted requests a second, averaged.
    pub fn rate(&self, now: ClockTime) -> f64 {
        self.admit_rate * (-now.since(self.rate_at).as_secs_f64() / RATE_TIME_CONSTANT_S).exp()
    }

    fn index_of(&self, at: ClockTime) -> usize {
        let interval = at.as_micros() / INTERVAL.as_micros() as u64;
        (interval.saturating_sub(self.first) as usize).min(MAX_INTERVALS - 1)
    }

    fn advance(&mut self, now: ClockTime) {
        let current = now.as_micros() / INTERVAL.as_micros() as u64;
        let first = current.saturating_sub(LATE_INTERVALS as u64);
        let passed = first.saturating_sub(self.first).min(MAX_INTERVALS as u64) as usize;
        self.promised.drain(..passed.min(self.promised.len()));
        self.first = self.first.max(first);
        self.promised.resize(MAX_INTERVALS, [0; BANDS]);
    }
}

fn band(position: f64) -> usize {
    ((position * BANDS as f64) as usize).min(BANDS - 1)
}
