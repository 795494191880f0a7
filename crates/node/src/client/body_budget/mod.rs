//! Decides which bodies of clients' requests get memory, without I/O and without a clock.
//!
//! Load pattern: many large bodies arrive at once, and most stop before their end. Every body may take
//! a guaranteed size; beyond it, all bodies share one amount. When that is short, the bodies without
//! progress are ended first, new large bodies wait while half of it is taken, and the others
//! may use the rest to come to their end.

pub mod memory_plan;

use std::{collections::BTreeMap, time::Duration};

use carobvane_core::clock::ClockTime;

/// A body is without progress if it got less than [`MIN_PROGRESS_BYTES`] in this time.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes that count as progress. A client at 8 kbit/s still makes it.
const MIN_PROGRESS_BYTES: usize = 1_024;
/// Chunks of a body before their mean size matters.
const MIN_JUDGED_CHUNKS: usize = 4_096;
/// Smallest mean size of the chunks of a body with many, in bytes. Clients that write token by token
/// send larger ones.
const MIN_MEAN_CHUNK_BYTES: usize = 4;

/// Memory that bodies may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Bytes that each body may take in any case.
    pub guaranteed_bytes: usize,
    /// Bytes that all bodies together may take beyond the guaranteed ones.
    pub shared_bytes: usize,
}

/// Identifies a body in the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyKey(u64);

/// What a body that wants more memory gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrowDecision {
    /// The memory is taken.
    Granted,
    /// There is not enough now. Ask again when other bodies have ended.
    Wait {
        /// Whether another body has just been marked to end for it.
        has_dropped: bool,
    },
    /// The body must end, since others need its memory and it makes no progress.
    Dropped,
}

#[derive(Debug)]
struct BodyRecord {
    /// Bytes beyond the guaranteed ones.
    shared: usize,
    /// Bytes that had arrived at the last progress.
    progressed_bytes: usize,
    progressed_at: ClockTime,
    /// Whether the body waits for memory; then its client may not be to blame.
    is_waiting: bool,
    has_arrived: bool,
    is_dropped: bool,
}

/// Memory of all bodies of a node.
#[derive(Debug)]
pub struct BodyBudget {
    limits: BodyLimits,
    bodies: BTreeMap<BodyKey, BodyRecord>,
    /// Invariant: the sum of `shared` over all bodies.
    taken: usize,
    next_key: u64,
}

impl BodyBudget {
    /// Creates a budget that nothing is taken from.
    pub fn new(limits: BodyLimits) -> BodyBudget {
        BodyBudget { limits, bodies: BTreeMap::new(), taken: 0, next_key: 0 }
    }

    /// Returns the size of the largest body that fits if there is no other one.
    pub fn max_body_bytes(&self) -> usize {
        self.limits.guaranteed_bytes + self.limits.shared_bytes
    }

    /// Returns the shared bytes that are taken.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// Adds a body of which nothing has arrived.
    pub fn open(&mut self, now: ClockTime) -> BodyKey {
        let key = BodyKey(self.next_key);
        self.next_key += 1;
        let record = BodyRecord {
            shared: 0,
            progressed_bytes: 0,
            progressed_at: now,
            is_waiting: false,
            has_arrived: false,
            is_dropped: false,
        };
        self.bodies.insert(key, record);
        key
    }

    /// Takes memory for a body that has `bytes` bytes with those that arrived last. A body that is
    /// told to wait asks again with the same number.
    pub fn grow(&mut self, now: ClockTime, key: BodyKey, bytes: usize) -> GrowDecision {
        let limits = self.limits;
        let Some(body) = self.bodies.get_mut(&key) else { return GrowDecision::Dropped };
        if body.is_dropped {
            return GrowDecision::Dropped;
        }
        if body.is_waiting || bytes >= body.progressed_bytes + MIN_PROGRESS_BYTES {
            body.progressed_bytes = bytes;
            body.progressed_at = now;
        }
        let wanted = bytes.saturating_sub(limits.guaranteed_bytes).max(body.shared);
        let others = self.taken - body.shared;
        // A body that has begun may use what new ones may not, so that it can end.
        let limit = if body.shared == 0 { limits.shared_bytes / 2 } else { limits.shared_bytes };
        if wanted == body.shared || others + wanted <= limit {
            body.shared = wanted;
            body.is_waiting = false;
            self.taken = others + wanted;
            return GrowDecision::Granted;
        }
        body.is_waiting = true;
        GrowDecision::Wait { has_dropped: self.drop_stalled(now) }
    }

    /// Marks the body that has been without progress for the longest time, unless the memory of another
    /// one that was marked is still to be returned. Returns whether one was marked now.
    fn drop_stalled(&mut self, now: ClockTime) -> bool {
        if self.bodies.values().any(|body| body.is_dropped) {
            return false;
        }
        let arriving =
            |body: &&mut BodyRecord| body.shared > 0 && !body.has_arrived && !body.is_waiting;
        let stalled = self.bodies.values_mut().filter(arriving);
        let stalled = stalled.filter(|body| now.since(body.progressed_at) >= STALL_TIME);
        let longest = stalled.min_by_key(|body| body.progressed_at);
        longest.map(|body| body.is_dropped = true).is_some()
    }

    /// Whether the body must end.
    pub fn is_dropped(&self, key: BodyKey) -> bool {
        self.bodies.get(&key).is_none_or(|body| body.is_dropped)
    }

    /// Records that a body has arrived in whole. It keeps its memory until it is closed. Returns false
    /// if the body must end.
    pub fn finish(&mut self, key: BodyKey) -> bool {
        match self.bodies.get_mut(&key) {
            Some(body) if !body.is_dropped => {
                body.has_arrived = true;
                true
            }
            _ => false,
        }
    }

    /// Returns the memory of a body.
    pub fn close(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.remove(&key) {
            self.taken -= body.shared;
        }
    }
}

/// Whether the chunks of a body are so small that they cost far more than its bytes.
pub fn are_chunks_too_small(chunks: usize, bytes: usize) -> bool {
    chunks > MIN_JUDGED_CHUNKS && bytes / chunks < MIN_MEAN_CHUNK_BYTES
}

#[cfg(test)]
mod tests;
