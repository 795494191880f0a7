//! Which server holds which piece, in 16 bytes a record.
//!
//! The table has two choices of bucket for each hash and eight records a bucket, with the hashes
//! of a bucket in one cache line. A lookup therefore reads two lines that do not depend on each
//! other, so the processor overlaps the misses of a whole chain. There are no tombstones and no
//! growth: a full pair of buckets replaces its oldest record.

use super::{PieceHash, scratch::HolderScratch};
use crate::{clock::ClockTime, ids::ServerKey};

/// Records in a bucket; eight hashes fill a cache line of 64 bytes.
const BUCKET_RECORDS: usize = 8;
/// Records a bucket is sized for, which leaves one in eight free for uneven buckets.
const BUCKET_TARGET: usize = 7;
/// Bytes a block never exceeds at the capacity that the index is created for.
pub const BLOCK_BYTES_MAX: usize = 24;
/// Servers recorded for one block. Four of the sixteen records in a pair of buckets stay free for
/// other blocks.
pub const MAX_HOLDERS: usize = 12;
/// Seconds for which the entry's own decision counts as a record without a cache event. Engines
/// evict within seconds and publish events late.
pub const OPTIMISTIC_LIFETIME_S: u16 = 30;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Pieces whose buckets are read before their records are judged.
const LOOKUP_BATCH: usize = 16;

/// Why a record exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockSource {
    /// The entry sent a prompt with this piece to the server.
    Decision,
    /// The server published a cache event.
    Event,
}

#[derive(Debug, Clone, Copy, Default)]
struct BlockRecord {
    server: u16,
    /// Counter of the server's lives; a record with another value is void.
    epoch: u16,
    /// Second of the last refresh, modulo 65,536.
    seen: u16,
    /// Counter of the server's event gaps; a record with another value is uncertain.
    gap: u8,
    /// Whether a cache event confirmed the record.
    confirmed: bool,
}

#[derive(Debug, Clone, Default)]
#[repr(align(64))]
struct IndexBucket {
    /// Zero marks an empty record.
    hashes: [u64; BUCKET_RECORDS],
    records: [BlockRecord; BUCKET_RECORDS],
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerEpoch {
    epoch: u16,
    gap: u8,
}

/// Counters for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IndexCounters {
    /// Live records replaced because both buckets were full.
    pub evicted: u64,
    /// Records refused or replaced because a block had [`MAX_HOLDERS`] holders.
    pub holders_full: u64,
}

/// Records of which server holds which piece.
#[derive(Debug, Clone)]
pub struct BlockIndex {
    buckets: Vec<IndexBucket>,
    /// By server index.
    servers: Vec<ServerEpoch>,
    occupied: usize,
    counters: IndexCounters,
}

impl BlockIndex {
    /// Creates an index for `blocks` records. It never grows.
    pub fn with_capacity(blocks: usize) -> BlockIndex {
        let buckets = blocks.div_ceil(BUCKET_TARGET).max(2);
        BlockIndex {
            buckets: vec![IndexBucket::default(); buckets],
            servers: Vec::new(),
            occupied: 0,
            counters: IndexCounters::default(),
        }
    }

    /// Records in use, void ones included.
    pub fn occupied(&self) -> usize {
        self.occupied
    }

    /// Bytes of the table.
    pub fn bytes(&self) -> usize {
        self.buckets.len() * size_of::<IndexBucket>()
    }

    /// Counters for metrics.
    pub fn counters(&self) -> IndexCounters {
        self.counters
    }

    /// Voids all records of a server in constant time, for a new life or a dropped cache.
    pub fn invalidate(&mut self, server: u16) {
        let state = self.server_mut(server);
        state.epoch = state.epoch.wrapping_add(1);
        state.gap = 0;
        if state.epoch == 0 {
            // After 65,536 lives an old record would look current again.
            self.purge(server);
        }
    }

    /// Makes all records of a server uncertain in constant time, after lost events.
    pub fn mark_uncertain(&mut self, server: u16) {
        let state = self.server_mut(server);
        match state.gap.checked_add(1) {
            Some(gap) => state.gap = gap,
            // The counter is full: records of the first gap would look certain again.
            None => self.invalidate(server),
        }
    }

    /// Records that `server` holds `piece`, or refreshes the record.
    pub fn insert(&mut self, now: ClockTime, server: u16, piece: PieceHash, source: BlockSource) {
        let ServerEpoch { epoch, gap } = *self.server_mut(server);
        let confirmed = source == BlockSource::Event;
        let seen = second_of(now);
        let pair = self.pair(piece);
        if let Some((bucket, slot)) = self.find(pair, piece, server) {
            let record = &mut self.buckets[bucket].records[slot];
            let current = record.epoch == epoch;
            // A decision refreshes the age only: what the server published stays as certain as
            // it was.
            let keep = current && record.confirmed && !confirmed;
            let gap = if keep { record.gap } else { gap };
            *record = BlockRecord { server, epoch, seen, gap, confirmed: confirmed || keep };
            return;
        }
        let record = BlockRecord { server, epoch, seen, gap, confirmed };
        let Some((bucket, slot)) = self.place(pair, piece, server, seen) else { return };
        let bucket = &mut self.buckets[bucket];
        self.occupied += usize::from(bucket.hashes[slot] == 0);
        bucket.hashes[slot] = piece.as_raw();
        bucket.records[slot] = record;
    }

    /// Removes the record that `server` holds `piece`.
    pub fn remove(&mut self, server: u16, piece: PieceHash) {
        if let Some((bucket, slot)) = self.find(self.pair(piece), piece, server) {
            self.buckets[bucket].hashes[slot] = 0;
            self.occupied -= 1;
        }
    }

    /// Finds the servers that hold leading pieces of `pieces`, into `scratch`.
    pub fn lookup(&self, now: ClockTime, pieces: &[PieceHash], scratch: &mut HolderScratch) {
        scratch.begin();
        let second = second_of(now);
        let mut masks = [(0u8, 0u8); LOOKUP_BATCH];
        for (batch, chunk) in pieces.chunks(LOOKUP_BATCH).enumerate() {
            // No iteration of this loop depends on another, so their cache misses overlap.
            for (mask, &piece) in masks.iter_mut().zip(chunk) {
                let (first, second) = self.pair(piece);
                *mask = (self.matches(first, piece), self.matches(second, piece));
            }
            for (offset, (&piece, &mask)) in chunk.iter().zip(&masks).enumerate() {
                let number = batch * LOOKUP_BATCH + offset;
                if !self.extend_holders(piece, mask, number, second, scratch) {
                    return;
                }
            }
        }
    }

    /// Judges the records of one piece. Returns whether any server's prefix grew.
    fn extend_holders(
        &self,
        piece: PieceHash,
        (first_mask, second_mask): (u8, u8),
        number: usize,
        second: u16,
        scratch: &mut HolderScratch,
    ) -> bool {
        let pair = self.pair(piece);
        let mut grown = false;
        let second_mask = if pair.0 == pair.1 { 0 } else { second_mask };
        for (bucket, mut mask) in [(pair.0, first_mask), (pair.1, second_mask)] {
            while mask != 0 {
                let slot = mask.trailing_zeros() as usize;
                mask &= mask - 1;
                let record = &self.buckets[bucket].records[slot];
                let Some(uncertain) = self.judge(record, second) else { continue };
                grown |= scratch.extend(record.server, number, uncertain);
            }
        }
        grown
    }

    /// Whether a record counts, and if so whether it is uncertain.
    fn judge(&self, record: &BlockRecord, second: u16) -> Option<bool> {
        let server = self.servers.get(record.server as usize)?;
        if server.epoch != record.epoch {
            return None;
        }
        if !record.confirmed && second.wrapping_sub(record.seen) > OPTIMISTIC_LIFETIME_S {
            return None;
        }
        Some(server.gap != record.gap)
    }

    /// The slot for a new record, or none if the block has enough holders of a higher rank.
    fn place(
        &mut self,
        pair: (usize, usize),
        piece: PieceHash,
        server: u16,
        second: u16,
    ) -> Option<(usize, usize)> {
        let mut free = None;
        let mut free_count = [0usize; 2];
        let mut oldest = (0u16, (pair.0, 0));
        let mut holders = 0;
        let mut lowest: Option<(u32, (usize, usize))> = None;
        for (side, bucket) in [pair.0, pair.1].into_iter().enumerate() {
            for slot in 0..BUCKET_RECORDS {
                let hash = self.buckets[bucket].hashes[slot];
                let record = self.buckets[bucket].records[slot];
                if hash == 0 || self.judge(&record, second).is_none() {
                    free_count[side] += 1;
                    // The emptier bucket is filled first, which keeps both choices useful.
                    if free_count[side] > free_count[1 - side] {
                        free = Some((bucket, slot));
                    }
                    continue;
                }
                let age = second.wrapping_sub(record.seen);
                if age >= oldest.0 {
                    oldest = (age, (bucket, slot));
                }
                if hash == piece.as_raw() {
                    holders += 1;
                    let rank = holder_rank(record.server);
                    if lowest.is_none_or(|(other, _)| rank < other) {
                        lowest = Some((rank, (bucket, slot)));
                    }
                }
            }
        }
        if let Some((rank, place)) = lowest.filter(|_| holders >= MAX_HOLDERS) {
            // The rank depends on the server alone, so the same servers stay recorded for every
            // piece of a prefix and their prefixes get no holes.
            self.counters.holders_full += 1;
            return (holder_rank(server) > rank).then_some(place);
        }
        if free.is_none() {
            self.counters.evicted += 1;
        }
        Some(free.unwrap_or(oldest.1))
    }

    fn find(&self, pair: (usize, usize), piece: PieceHash, server: u16) -> Option<(usize, usize)> {
        for bucket in [pair.0, pair.1] {
            let mut mask = self.matches(bucket, piece);
            while mask != 0 {
                let slot = mask.trailing_zeros() as usize;
                mask &= mask - 1;
                if self.buckets[bucket].records[slot].server == server {
                    return Some((bucket, slot));
                }
            }
        }
        None
    }

    /// One bit for each record of the bucket with this hash.
    fn matches(&self, bucket: usize, piece: PieceHash) -> u8 {
        let hashes = &self.buckets[bucket].hashes;
        let mut mask = 0;
        for (slot, &hash) in hashes.iter().enumerate() {
            mask |= u8::from(hash == piece.as_raw()) << slot;
        }
        mask
    }

    fn pair(&self, piece: PieceHash) -> (usize, usize) {
        let count = self.buckets.len() as u128;
        let spread = |hash: u64| ((u128::from(hash) * count) >> 64) as usize;
        (spread(piece.as_raw()), spread(mix(piece.as_raw())))
    }

    fn server_mut(&mut self, server: u16) -> &mut ServerEpoch {
        let index = server as usize;
        if index >= self.servers.len() {
            self.servers.resize(index + 1, ServerEpoch::default());
        }
        &mut self.servers[index]
    }

    fn purge(&mut self, server: u16) {
        for bucket in &mut self.buckets {
            for slot in 0..BUCKET_RECORDS {
                if bucket.hashes[slot] != 0 && bucket.records[slot].server == server {
                    bucket.hashes[slot] = 0;
                    self.occupied -= 1;
                }
            }
        }
    }
}

/// The table index of a server as records hold it; absent beyond 65,535 servers.
pub(crate) fn record_index(server: ServerKey) -> Option<u16> {
    u16::try_from(crate::arena::ArenaKey::index(server)).ok()
}

fn second_of(now: ClockTime) -> u16 {
    (now.as_micros() / MICROS_PER_SECOND) as u16
}

fn holder_rank(server: u16) -> u32 {
    u32::from(server).wrapping_add(1).wrapping_mul(0x9E37_79B1)
}

/// Finalizer of SplitMix64: a cheap mix whose output bits depend on all input bits.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
