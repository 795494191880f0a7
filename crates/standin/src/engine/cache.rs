//! The bounded prefix cache of a simulated engine.

use std::collections::{BTreeMap, HashMap};

/// A piece under its salt.
pub type CacheKey = (u64, u64);

/// Prompt pieces in least-recently-used order.
#[derive(Debug, Clone, Default)]
pub struct PieceCache {
    capacity: usize,
    tick: u64,
    /// Invariant: has exactly one entry in `order` for each of its ticks.
    ticks: HashMap<CacheKey, u64>,
    order: BTreeMap<u64, CacheKey>,
}

impl PieceCache {
    /// Creates an empty cache for `capacity` pieces.
    pub fn new(capacity: usize) -> PieceCache {
        PieceCache { capacity, ..PieceCache::default() }
    }

    /// Number of leading `hashes` in the cache under `salt`.
    pub fn prefix_hit(&self, salt: u64, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.ticks.contains_key(&(salt, **hash))).count()
    }

    /// Whether the cache holds a piece.
    pub fn contains(&self, salt: u64, hash: u64) -> bool {
        self.ticks.contains_key(&(salt, hash))
    }

    /// Stores or refreshes a chain. Returns the hashes that entered and the pieces that left.
    ///
    /// Children are touched before their parents, so that eviction removes a chain from its end.
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

    /// Drops everything.
    pub fn clear(&mut self) {
        self.ticks.clear();
        self.order.clear();
    }

    /// Number of pieces held.
    pub fn len(&self) -> usize {
        self.ticks.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.ticks.is_empty()
    }
}
