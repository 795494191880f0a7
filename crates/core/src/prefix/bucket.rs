//! A cache line of the block index.

use super::PieceHash;

/// Records in a bucket; four records of 16 bytes fill a cache line.
pub(super) const BUCKET_RECORDS: usize = 4;
/// Bit of [`BlockRecord::flags`]: a cache event confirmed the record.
pub(super) const CONFIRMED: u8 = 1;
/// Step of the bucket's count of passing records, in the flags of its first record.
pub(super) const OVERFLOW_STEP: u8 = 2;

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BlockRecord {
    /// Zero marks an empty record.
    pub(super) hash: u64,
    pub(super) server: u16,
    /// Counter of the server's lives; a record with another value is void.
    pub(super) epoch: u16,
    /// Second of the last refresh, modulo 65,536.
    pub(super) seen: u16,
    /// Counter of the server's event gaps; a record with another value is uncertain.
    pub(super) gap: u8,
    /// [`CONFIRMED`], and in a bucket's first record the bucket's count of passing records. At most
    /// twelve records can pass a bucket, so the count does not overflow.
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
    /// Whether records of this home or an earlier one stand in a later bucket.
    pub(super) fn has_overflowed(&self) -> bool {
        self.records[0].flags >= OVERFLOW_STEP
    }

    /// One bit for each record with this hash.
    pub(super) fn matches(&self, piece: PieceHash) -> u8 {
        let mut mask = 0;
        for (slot, record) in self.records.iter().enumerate() {
            mask |= u8::from(record.hash == piece.as_raw()) << slot;
        }
        mask
    }

    /// Writes a record and keeps the bucket's count.
    pub(super) fn write(&mut self, slot: usize, record: BlockRecord) {
        let kept = self.records[slot].flags & !CONFIRMED;
        self.records[slot] = BlockRecord { flags: kept | record.flags & CONFIRMED, ..record };
    }
}
