//! A hash table of which server holds which piece, with 24 bytes per record.
//!
//! A bucket is one cache line with four records. A record is stored in its home bucket or in one of
//! the next three, and each bucket counts the records that overflowed past it. A lookup therefore
//! reads one cache line for most pieces. The reads for different pieces are independent, so the
//! processor overlaps their cache misses. The table has no tombstones and does not grow: if all
//! buckets of a window are full, the oldest record is replaced.

use super::{
    PieceHash,
    bucket::{BUCKET_RECORDS, BlockRecord, CONFIRMED, IndexBucket, OVERFLOW_STEP},
    scratch::{HolderScratch, PieceSpan},
};
use smallvec::SmallVec;

use crate::{clock::ClockTime, ids::ServerKey};

/// Number of buckets that may hold a record: its home bucket and the following ones.
const WINDOW_BUCKETS: usize = 4;
/// Number of buckets for every eight records. This takes 24 bytes per record and leaves a third of
/// the slots free, so that most home buckets do not overflow.
const BUCKETS_PER_8_BLOCKS: usize = 3;
/// Maximum number of bytes per record when the index is filled to its capacity.
pub const BLOCK_BYTES_MAX: usize = 24;
/// Maximum number of servers recorded for one piece. This leaves four of the sixteen slots of a
/// window to other pieces.
pub const MAX_HOLDERS: usize = 12;
/// Lifetime in seconds of a record that comes from a routing decision and has no cache event.
/// Engines evict within seconds and publish events late.
pub const OPTIMISTIC_LIFETIME_S: u16 = 30;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Number of groups whose buckets are read before their records are evaluated.
const LOOKUP_BATCH: usize = 16;
/// Number of pieces in a group, of which a lookup reads only the last. Reading each of 64 pieces
/// took 5.9 us.
const GROUP_PIECES: usize = 4;

/// Origin of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockSource {
    /// This or another entry sent a prompt with the piece to the server.
    Decision,
    /// A cache event, or a computed prompt, shows that the server holds the piece.
    Event,
}

/// Location of a record: the distance from its home bucket, and the slot in the bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RecordLocation {
    step: usize,
    slot: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerValidity {
    epoch: u16,
    gap_count: u8,
}

/// Counts of records lost because of the table's limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IndexCounters {
    /// Number of valid records replaced because all buckets of the window were full.
    pub evicted: u64,
    /// Number of records refused or replaced because a piece already had [`MAX_HOLDERS`] holders.
    pub holders_full: u64,
}

/// The records of which server holds which piece.
#[derive(Debug, Clone)]
pub struct BlockIndex {
    buckets: Vec<IndexBucket>,
    /// Validity counters by server number.
    servers: Vec<ServerValidity>,
    occupied: usize,
    counters: IndexCounters,
}

impl BlockIndex {
    /// Creates an index for `blocks` records. Its size is fixed.
    pub fn with_capacity(blocks: usize) -> BlockIndex {
        let buckets = (blocks * BUCKETS_PER_8_BLOCKS / 8).max(2 * WINDOW_BUCKETS);
        BlockIndex {
            buckets: vec![IndexBucket::default(); buckets],
            servers: Vec::new(),
            occupied: 0,
            counters: IndexCounters::default(),
        }
    }

    /// Returns the number of records in use, including invalidated ones.
    pub fn occupied(&self) -> usize {
        self.occupied
    }

    /// Returns the size of the table in bytes.
    pub fn bytes(&self) -> usize {
        self.buckets.len() * size_of::<IndexBucket>()
    }

    /// Returns the counters of records lost because of the table's limits.
    pub fn counters(&self) -> IndexCounters {
        self.counters
    }

    /// Invalidates all records of a server in constant time, after a restart or a dropped cache.
    pub fn invalidate(&mut self, server: u16) {
        let state = self.server_mut(server);
        state.epoch = state.epoch.wrapping_add(1);
        state.gap_count = 0;
        if state.epoch == 0 {
            // After 65,536 invalidations, old records would become valid again.
            self.remove_records_of(server);
        }
    }

    /// Marks all records of a server as uncertain in constant time, after lost events.
    pub fn mark_uncertain(&mut self, server: u16) {
        let state = self.server_mut(server);
        match state.gap_count.checked_add(1) {
            Some(gap_count) => state.gap_count = gap_count,
            // A wrapped counter would make records from before the first gap certain again.
            None => self.invalidate(server),
        }
    }

    /// Records that `server` holds `piece`. An existing record is refreshed.
    pub fn insert(&mut self, now: ClockTime, server: u16, piece: PieceHash, source: BlockSource) {
        let ServerValidity { epoch, gap_count } = *self.server_mut(server);
        let flags = if source == BlockSource::Event { CONFIRMED } else { 0 };
        let refreshed = second_at(now);
        let mut record =
            BlockRecord { hash: piece.as_raw(), server, epoch, refreshed, gap_count, flags };
        let home = self.home_bucket(piece.as_raw());
        if let Some(location) = self.find_record(home, piece, server) {
            let bucket = self.bucket_at(home, location.step);
            let old = self.buckets[bucket].records[location.slot];
            if old.epoch == epoch && old.is_confirmed() && flags == 0 {
                // A routing decision only refreshes the age: a record from a cache event stays
                // confirmed, and remains uncertain if it was.
                record.gap_count = old.gap_count;
                record.flags = CONFIRMED;
            }
            self.buckets[bucket].write(location.slot, record);
            return;
        }
        let Some(location) = self.choose_slot(home, piece, server, refreshed) else { return };
        let bucket = self.bucket_at(home, location.step);
        self.clear_record(bucket, location.slot);
        self.update_overflow_counts(home, location.step, |flags| flags + OVERFLOW_STEP);
        self.buckets[bucket].write(location.slot, record);
        self.occupied += 1;
    }

    /// Removes the record that `server` holds `piece`, if it exists.
    pub fn remove(&mut self, server: u16, piece: PieceHash) {
        let home = self.home_bucket(piece.as_raw());
        if let Some(location) = self.find_record(home, piece, server) {
            self.clear_record(self.bucket_at(home, location.step), location.slot);
        }
    }

    /// Finds the servers that hold leading pieces of `pieces`, and stores them in `scratch`.
    ///
    /// Only the last piece of each group of [`GROUP_PIECES`] is looked up and represents the group,
    /// because an engine can use a piece only together with all earlier ones. The pieces after a
    /// server's last complete group are looked up one by one.
    pub fn lookup(&self, now: ClockTime, pieces: &[PieceHash], scratch: &mut HolderScratch) {
        scratch.begin();
        let second = second_at(now);
        let groups = pieces.len() / GROUP_PIECES;
        let mut masks = [0u8; LOOKUP_BATCH];
        let mut group = 0;
        let mut grown = true;
        while group < groups && grown {
            let batch = (groups - group).min(LOOKUP_BATCH);
            // The iterations are independent, so their cache misses overlap.
            for (step, mask) in masks[..batch].iter_mut().enumerate() {
                let piece = pieces[(group + step + 1) * GROUP_PIECES - 1];
                *mask = self.buckets[self.home_bucket(piece.as_raw())].matches(piece);
            }
            for &mask in &masks[..batch] {
                let span = PieceSpan { first: group * GROUP_PIECES, count: GROUP_PIECES };
                let piece = pieces[span.first + span.count - 1];
                grown = self.extend_holders(piece, Some(mask), span, second, scratch);
                group += 1;
                if !grown {
                    break;
                }
            }
        }
        self.extend_last_groups(pieces, second, scratch);
    }

    /// Looks up the single pieces after each server's last complete group.
    fn extend_last_groups(&self, pieces: &[PieceHash], second: u16, scratch: &mut HolderScratch) {
        // Servers that do not hold a complete group have not been found yet, so the first group is
        // always searched.
        let mut starts: SmallVec<[usize; MAX_HOLDERS + 1]> = SmallVec::new();
        starts.push(0);
        for holder in scratch.holders() {
            let start = usize::from(holder.pieces);
            if !starts.contains(&start) {
                starts.push(start);
            }
        }
        for start in starts {
            let end = pieces.len().min(start + GROUP_PIECES - 1);
            for (offset, &piece) in pieces[start..end].iter().enumerate() {
                let span = PieceSpan { first: start + offset, count: 1 };
                if !self.extend_holders(piece, None, span, second, scratch) {
                    break;
                }
            }
        }
    }

    /// Extends the prefixes of the servers that hold `piece`, which represents `span`. Returns
    /// whether any prefix grew.
    fn extend_holders(
        &self,
        piece: PieceHash,
        home_mask: Option<u8>,
        span: PieceSpan,
        second: u16,
        scratch: &mut HolderScratch,
    ) -> bool {
        let home = self.home_bucket(piece.as_raw());
        let mut grown = false;
        let mut known_mask = home_mask;
        for step in 0..WINDOW_BUCKETS {
            let bucket = &self.buckets[self.bucket_at(home, step)];
            let mut mask = known_mask.take().unwrap_or_else(|| bucket.matches(piece));
            while mask != 0 {
                let record = &bucket.records[mask.trailing_zeros() as usize];
                mask &= mask - 1;
                if let Some(uncertain) = self.validity_of(record, second) {
                    grown |= scratch.extend(record.server, span, uncertain);
                }
            }
            if !bucket.has_overflowed() {
                break;
            }
        }
        grown
    }

    /// Returns `None` for an invalid record, and otherwise whether the record is uncertain.
    fn validity_of(&self, record: &BlockRecord, second: u16) -> Option<bool> {
        let server = self.servers.get(record.server as usize)?;
        if server.epoch != record.epoch {
            return None;
        }
        if !record.is_confirmed() && second.wrapping_sub(record.refreshed) > OPTIMISTIC_LIFETIME_S {
            return None;
        }
        Some(server.gap_count != record.gap_count)
    }

    /// Returns the location for a new record, or `None` if the piece already has the maximum number
    /// of holders and all of them rank higher.
    fn choose_slot(
        &mut self,
        home: usize,
        piece: PieceHash,
        server: u16,
        second: u16,
    ) -> Option<RecordLocation> {
        let mut free = None;
        let mut oldest = (0u16, RecordLocation { step: 0, slot: 0 });
        let mut holders = 0;
        let mut lowest: Option<(u32, RecordLocation)> = None;
        for step in 0..WINDOW_BUCKETS {
            let bucket = &self.buckets[self.bucket_at(home, step)];
            for (slot, record) in bucket.records.iter().enumerate() {
                let location = RecordLocation { step, slot };
                if record.hash == 0 || self.validity_of(record, second).is_none() {
                    free = free.or(Some(location));
                    continue;
                }
                let age = second.wrapping_sub(record.refreshed);
                if age >= oldest.0 {
                    oldest = (age, location);
                }
                if record.hash == piece.as_raw() {
                    holders += 1;
                    let rank = holder_rank(record.server);
                    if lowest.is_none_or(|(other, _)| rank < other) {
                        lowest = Some((rank, location));
                    }
                }
            }
            if free.is_some() && !bucket.has_overflowed() {
                break;
            }
        }
        if let Some((rank, location)) = lowest.filter(|_| holders >= MAX_HOLDERS) {
            // The rank depends only on the server. The same servers therefore stay recorded for all
            // pieces of a prefix, and their prefixes have no gaps.
            self.counters.holders_full += 1;
            return (holder_rank(server) > rank).then_some(location);
        }
        if free.is_none() {
            self.counters.evicted += 1;
        }
        Some(free.unwrap_or(oldest.1))
    }

    fn find_record(&self, home: usize, piece: PieceHash, server: u16) -> Option<RecordLocation> {
        for step in 0..WINDOW_BUCKETS {
            let bucket = &self.buckets[self.bucket_at(home, step)];
            let mut mask = bucket.matches(piece);
            while mask != 0 {
                let slot = mask.trailing_zeros() as usize;
                mask &= mask - 1;
                if bucket.records[slot].server == server {
                    return Some(RecordLocation { step, slot });
                }
            }
            if !bucket.has_overflowed() {
                break;
            }
        }
        None
    }

    /// Empties a slot, and updates the overflow counts of the buckets that its record overflowed
    /// past.
    fn clear_record(&mut self, bucket: usize, slot: usize) {
        let hash = self.buckets[bucket].records[slot].hash;
        if hash == 0 {
            return;
        }
        let home = self.home_bucket(hash);
        let step = (bucket + self.buckets.len() - home) % self.buckets.len();
        self.update_overflow_counts(home, step, |flags| flags - OVERFLOW_STEP);
        self.buckets[bucket].records[slot].hash = 0;
        self.occupied -= 1;
    }

    fn update_overflow_counts(&mut self, home: usize, step: usize, change: impl Fn(u8) -> u8) {
        for earlier in 0..step {
            let bucket = self.bucket_at(home, earlier);
            let flags = &mut self.buckets[bucket].records[0].flags;
            *flags = change(*flags);
        }
    }

    fn home_bucket(&self, hash: u64) -> usize {
        ((u128::from(hash) * self.buckets.len() as u128) >> 64) as usize
    }

    fn bucket_at(&self, home: usize, step: usize) -> usize {
        let bucket = home + step;
        if bucket < self.buckets.len() { bucket } else { bucket - self.buckets.len() }
    }

    fn server_mut(&mut self, server: u16) -> &mut ServerValidity {
        let index = server as usize;
        if index >= self.servers.len() {
            self.servers.resize(index + 1, ServerValidity::default());
        }
        &mut self.servers[index]
    }

    fn remove_records_of(&mut self, server: u16) {
        for bucket in 0..self.buckets.len() {
            for slot in 0..BUCKET_RECORDS {
                if self.buckets[bucket].records[slot].server == server {
                    self.clear_record(bucket, slot);
                }
            }
        }
    }
}

/// Returns a server's table index as a 16-bit number, or `None` if it does not fit.
pub(crate) fn record_index(server: ServerKey) -> Option<u16> {
    u16::try_from(crate::arena::ArenaKey::index(server)).ok()
}

fn second_at(now: ClockTime) -> u16 {
    (now.as_micros() / MICROS_PER_SECOND) as u16
}

fn holder_rank(server: u16) -> u32 {
    u32::from(server).wrapping_add(1).wrapping_mul(0x9E37_79B1)
}

/// The finalizer of SplitMix64, a cheap hash whose output bits depend on all input bits.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
