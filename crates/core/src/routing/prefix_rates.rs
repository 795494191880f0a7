//! Measures how often prefixes are requested.

use crate::{clock::ClockTime, prefix::PieceHash};

/// Number of tracked prefixes. Each prefix has two possible slots; if both are taken, the one with
/// the lower count is replaced.
const RATE_SLOTS: usize = 8_192;
/// Half-life of a count in microseconds.
const HALF_LIFE_US: f32 = 5_000_000.0;
/// Length in microseconds of the averaging window that a decayed count corresponds to: the
/// half-life divided by ln 2.
const WINDOW_US: f32 = HALF_LIFE_US / std::f32::consts::LN_2;

#[derive(Debug, Clone, Copy, Default)]
struct RateSlot {
    /// Hash of the prefix's last piece; zero marks an empty slot.
    piece: u64,
    count: f32,
    updated: ClockTime,
}

impl RateSlot {
    fn count_at(&self, now: ClockTime) -> f32 {
        let age = now.since(self.updated).as_micros() as f32;
        self.count * (-age / HALF_LIFE_US).exp2()
    }
}

/// Exponentially decayed request counts of prefixes, in bounded memory.
#[derive(Debug, Clone)]
pub struct PrefixRates {
    slots: Vec<RateSlot>,
}

impl Default for PrefixRates {
    fn default() -> PrefixRates {
        PrefixRates { slots: vec![RateSlot::default(); RATE_SLOTS] }
    }
}

impl PrefixRates {
    /// Counts a request for the prefix that ends with `piece`, and returns the decayed count before
    /// this request.
    pub fn count_request(&mut self, now: ClockTime, piece: PieceHash) -> f32 {
        let raw = piece.as_raw();
        let first = (raw % RATE_SLOTS as u64) as usize;
        let second = first ^ 1;
        let index = if self.slots[first].piece == raw {
            first
        } else if self.slots[second].piece == raw
            || self.slots[second].count_at(now) < self.slots[first].count_at(now)
        {
            second
        } else {
            first
        };
        let slot = &mut self.slots[index];
        let before = if slot.piece == raw { slot.count_at(now) } else { 0.0 };
        *slot = RateSlot { piece: raw, count: before + 1.0, updated: now };
        before
    }

    /// Converts a decayed count to requests per second.
    pub fn requests_per_second(count: f32) -> f32 {
        count / WINDOW_US * 1_000_000.0
    }
}
