//! The one call to the key-value service that a coordinator has in flight.
//!
//! A coordinator has at most one call in progress: claims that arrive meanwhile form the next batch
//! (group commit), and a lost call is resolved before the next write, so that one batch at most is
//! in doubt.

use std::time::Duration;

use super::{
    CLAIM_WRITES_PER_SECOND, ClaimHandle, DOWN_AFTER_LOST_CALLS, FIRST_READ_BACK_BACKOFF,
    MAX_READ_BACK_BACKOFF, RESTORE_PAUSE,
};
use crate::clock::ClockTime;

/// A batch whose fate is not known yet.
#[derive(Debug, Clone)]
pub(super) struct InFlightCall {
    /// Names the call; each call of a batch has its own, so that late replies are recognized.
    pub(super) id: u64,
    pub(super) stage: CallStage,
    pub(super) handles: Vec<ClaimHandle>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallStage {
    Writing,
    ReadingBack,
    /// Waits to read back.
    Waiting,
}

/// Pacing of writes and health of the service.
#[derive(Debug, Clone)]
pub(super) struct CallPacer {
    live_entries: u32,
    next_write: ClockTime,
    lost_in_a_row: u32,
    highest_revision: i64,
    paused_until: ClockTime,
}

impl CallPacer {
    pub(super) fn new() -> CallPacer {
        CallPacer {
            live_entries: 1,
            next_write: ClockTime::ZERO,
            lost_in_a_row: 0,
            highest_revision: 0,
            paused_until: ClockTime::ZERO,
        }
    }

    pub(super) fn set_live_entries(&mut self, count: u32) {
        self.live_entries = count.max(1);
    }

    /// The earliest time of the next write.
    pub(super) fn next_write(&self) -> ClockTime {
        self.next_write
    }

    pub(super) fn on_write(&mut self, now: ClockTime) {
        let micros = 1_000_000 * u64::from(self.live_entries) / CLAIM_WRITES_PER_SECOND;
        self.next_write = now + Duration::from_micros(micros);
    }

    /// Notes a lost call and returns the wait before the next one.
    pub(super) fn on_lost(&mut self) -> Duration {
        let backoff = FIRST_READ_BACK_BACKOFF * 2u32.pow(self.lost_in_a_row.min(8));
        self.lost_in_a_row = self.lost_in_a_row.saturating_add(1);
        backoff.min(MAX_READ_BACK_BACKOFF)
    }

    /// Notes an answer of the service at `revision`.
    pub(super) fn on_answer(&mut self, revision: i64, now: ClockTime) {
        self.lost_in_a_row = 0;
        if revision < self.highest_revision {
            self.paused_until = now + RESTORE_PAUSE;
        }
        self.highest_revision = revision;
    }

    pub(super) fn is_down(&self) -> bool {
        self.lost_in_a_row >= DOWN_AFTER_LOST_CALLS
    }

    pub(super) fn is_paused(&self, now: ClockTime) -> bool {
        now < self.paused_until
    }
}
