//! The bounded prefix cache of a simulated engine, with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

/// Salt and hash of a piece.
pub type CacheKey = (u64, u64);

/// Cached prompt pieces in order of their last use.
#[derive(Debug, Clone, Default)]
pub struct PieceCache {
    /// Maximum number of pieces.
    capacity: usize,
    /// Logical clock, incremented by each use of a piece.
    tick: u64,
    /// Tick of the last use of each piece. Invariant: `order` is the inverse map.
    ticks: HashMap<CacheKey, u64>,
    /// Piece by the tick of its last use; the first one is evicted next.
    order: BTreeMap<u64, CacheKey>,
}

impl PieceCache {
    /// Creates an empty cache for `capacity` pieces.
    pub fn new(capacity: usize) -> PieceCache {
        PieceCache { capacity, ..PieceCache::default() }
    }

    /// Returns how many of the leading `hashes` are cached under `salt`. Does not count as a use.
    pub fn prefix_hit(&self, salt: u64, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.ticks.contains_key(&(salt, **hash))).count()
    }

    /// Returns whether a piece is cached.
    pub fn contains(&self, salt: u64, hash: u64) -> bool {
        self.ticks.contains_key(&(salt, hash))
    }

    /// Inserts the pieces of a prompt, or marks them as used. Returns the hashes that were inserted
    /// and the pieces that were evicted.
    ///
    /// Later pieces are marked as used before earlier ones, so that eviction starts at the end of a
    /// prompt: a piece is of no use without those before it.
    pub fn store_chain(&mut self, salt: u64, hashes: &[u64]) -> (Vec<u64>, Vec<CacheKey>) {
        let mut entered = Vec::new();
        for hash in hashes.iter().rev() {
            let key = (salt, *hash);
            self.tick += 1;
            match self.ticks.insert(key, self.tick) {
                Some(earlier) => {
                    self.order.remove(&earlier);
                }
                None => entered.push(*hash),
            }
            self.order.insert(self.tick, key);
        }
        entered.reverse();
        let mut left = Vec::new();
        while self.ticks.len() > self.capacity {
            let Some((_, key)) = self.order.pop_first() else { break };
            self.ticks.remove(&key);
            left.push(key);
        }
        (entered, left)
    }

    /// Removes all pieces.
    pub fn clear(&mut self) {
        self.ticks.clear();
        self.order.clear();
    }

    /// Returns the number of cached pieces.
    pub fn len(&self) -> usize {
        self.ticks.len()
    }

    /// Returns whether no piece is cached.
    pub fn is_empty(&self) -> bool {
        self.ticks.is_empty()
    }
}
