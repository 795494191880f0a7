//! Buckets of the block index, one cache line each.

use super::PieceHash;

/// Number of records in a bucket. Four records of 16 bytes fill a cache line.
pub(super) const BUCKET_RECORDS: usize = 4;
/// Flag in [`BlockRecord::flags`]: a cache event confirmed the record.
pub(super) const CONFIRMED: u8 = 1;
/// Increment of a bucket's overflow count, which is stored in the flags of its first record above
/// the [`CONFIRMED`] bit.
pub(super) const OVERFLOW_STEP: u8 = 2;

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BlockRecord {
    /// Hash of the piece; zero marks an empty slot.
    pub(super) hash: u64,
    pub(super) server: u16,
    /// The server's epoch at the last refresh. The record is invalid if the server's epoch has
    /// changed.
    pub(super) epoch: u16,
    /// Time of the last refresh in seconds, modulo 65,536.
    pub(super) refreshed: u16,
    /// The server's count of event gaps at the last refresh. The record is uncertain if that count
    /// has changed.
    pub(super) gap_count: u8,
    /// [`CONFIRMED`], and in the first record of a bucket also the bucket's overflow count. At most
    /// twelve records can overflow past a bucket, so the count fits.
    pub(super) flags: u8,
}

impl BlockRecord {
    pub(super) fn is_confirmed(&self) -> bool {
        self.flags & CONFIRMED != 0
    }
}

#[derive(Debug, Clone, Default)]
#[repr(align(64))]
pub(super) struct IndexBucket {
    pub(super) records: [BlockRecord; BUCKET_RECORDS],
}

impl IndexBucket {
    /// Returns whether records whose home is this bucket or an earlier one are stored in a later
    /// bucket.
    pub(super) fn has_overflowed(&self) -> bool {
        self.records[0].flags >= OVERFLOW_STEP
    }

    /// Returns a bit mask of the records with this hash.
    pub(super) fn matches(&self, piece: PieceHash) -> u8 {
        let mut mask = 0;
        for (slot, record) in self.records.iter().enumerate() {
            mask |= u8::from(record.hash == piece.as_raw()) << slot;
        }
        mask
    }

    /// Writes a record without changing the bucket's overflow count.
    pub(super) fn write(&mut self, slot: usize, record: BlockRecord) {
        let kept = self.records[slot].flags & !CONFIRMED;
        self.records[slot] = BlockRecord { flags: kept | record.flags & CONFIRMED, ..record };
    }
}
