//! The batch that a coordinator has in flight, and the pace of its calls to the key-value service.
//!
//! A coordinator has at most one batch in flight. Claims that arrive meanwhile form the next one
//! (group commit), and a lost write is resolved before the next write, so that at most one batch
//! has an unknown outcome.

use std::time::Duration;

use super::{
    CLAIM_WRITES_PER_SECOND, ClaimHandle, DOWN_AFTER_LOST_CALLS, FIRST_READ_BACK_BACKOFF,
    MAX_READ_BACK_BACKOFF, RESTORE_PAUSE,
};
use crate::clock::ClockTime;

/// A batch that was sent and whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(super) struct InFlightBatch {
    /// Identifies the present call. The write and each read-back of a batch have different ids, so
    /// that a late reply to an earlier call is recognized.
    pub(super) call_id: u64,
    pub(super) stage: BatchStage,
    pub(super) handles: Vec<ClaimHandle>,
}

/// What happens to the batch now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchStage {
    /// The write was sent.
    Writing,
    /// A read-back was sent.
    ReadingBack,
    /// A call was lost, and the next read-back is not due yet.
    Waiting,
}

/// Limits the rate of writes and tracks whether the key-value service is usable.
#[derive(Debug, Clone)]
pub(super) struct CallPacer {
    /// Live entries, which share [`CLAIM_WRITES_PER_SECOND`].
    live_entries: u32,
    next_write: ClockTime,
    /// Lost calls since the last answer.
    lost_in_a_row: u32,
    /// Revision of the last answer.
    last_revision: i64,
    /// No claims are created before this time.
    paused_until: ClockTime,
}

impl CallPacer {
    pub(super) fn new() -> CallPacer {
        CallPacer {
            live_entries: 1,
            next_write: ClockTime::ZERO,
            lost_in_a_row: 0,
            last_revision: 0,
            paused_until: ClockTime::ZERO,
        }
    }

    pub(super) fn set_live_entries(&mut self, count: u32) {
        self.live_entries = count.max(1);
    }

    /// Returns the earliest time of the next write.
    pub(super) fn next_write(&self) -> ClockTime {
        self.next_write
    }

    /// Records a write at `now` and delays the next one to keep this entry's share of the rate.
    pub(super) fn on_write(&mut self, now: ClockTime) {
        let micros = 1_000_000 * u64::from(self.live_entries) / CLAIM_WRITES_PER_SECOND;
        self.next_write = now + Duration::from_micros(micros);
    }

    /// Records a lost call and returns the wait before the next read-back.
    pub(super) fn on_lost(&mut self) -> Duration {
        let backoff = FIRST_READ_BACK_BACKOFF * 2u32.pow(self.lost_in_a_row.min(8));
        self.lost_in_a_row = self.lost_in_a_row.saturating_add(1);
        backoff.min(MAX_READ_BACK_BACKOFF)
    }

    /// Records an answer of the key-value service at `revision`. A lower revision than before means
    /// that the service lost writes, so the creation of claims pauses.
    pub(super) fn on_answer(&mut self, revision: i64, now: ClockTime) {
        self.lost_in_a_row = 0;
        if revision < self.last_revision {
            self.paused_until = now + RESTORE_PAUSE;
        }
        self.last_revision = revision;
    }

    /// Whether the key-value service counts as down.
    pub(super) fn is_down(&self) -> bool {
        self.lost_in_a_row >= DOWN_AFTER_LOST_CALLS
    }

    /// Whether no claims may be created now.
    pub(super) fn is_paused(&self, now: ClockTime) -> bool {
        now < self.paused_until
    }
}
