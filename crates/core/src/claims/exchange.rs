//! The one call to the key-value service that a book has open.
//!
//! A book has at most one call in progress: claims that arrive meanwhile form the next batch
//! (group commit), and a lost call is resolved before the next write, so that one batch at most is
//! in doubt.

use std::time::Duration;

use super::{
    CLAIM_WRITES_PER_SECOND, ClaimTicket, DOWN_LOSSES, FIRST_BACKOFF, MAX_BACKOFF, RESTORE_HOLD,
};
use crate::clock::ClockTime;

/// A batch whose fate is not known yet.
#[derive(Debug, Clone)]
pub(super) struct OpenExchange {
    /// Names the call; each call of a batch has its own, so that late replies are recognized.
    pub(super) id: u64,
    pub(super) stage: ExchangeStage,
    pub(super) tickets: Vec<ClaimTicket>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeStage {
    Writing,
    ReadingBack,
    /// Waits to read back.
    Waiting,
}

/// Pacing of writes and health of the service.
#[derive(Debug, Clone)]
pub(super) struct ExchangePace {
    live_entries: u32,
    next_write: ClockTime,
    losses: u32,
    highest_revision: i64,
    hold_until: ClockTime,
}

impl ExchangePace {
    pub(super) fn new() -> ExchangePace {
        ExchangePace {
            live_entries: 1,
            next_write: ClockTime::ZERO,
            losses: 0,
            highest_revision: 0,
            hold_until: ClockTime::ZERO,
        }
    }

    pub(super) fn set_live_entries(&mut self, count: u32) {
        self.live_entries = count.max(1);
    }

    /// The earliest time of the next write.
    pub(super) fn next_write(&self) -> ClockTime {
        self.next_write
    }

    pub(super) fn wrote(&mut self, now: ClockTime) {
        let micros = 1_000_000 * u64::from(self.live_entries) / CLAIM_WRITES_PER_SECOND;
        self.next_write = now + Duration::from_micros(micros);
    }

    /// Notes a lost call and returns the wait before the next one.
    pub(super) fn lost(&mut self) -> Duration {
        let backoff = FIRST_BACKOFF * 2u32.pow(self.losses.min(8));
        self.losses = self.losses.saturating_add(1);
        backoff.min(MAX_BACKOFF)
    }

    /// Notes an answer of the service at `revision`.
    pub(super) fn answered(&mut self, revision: i64, now: ClockTime) {
        self.losses = 0;
        if revision < self.highest_revision {
            self.hold_until = now + RESTORE_HOLD;
        }
        self.highest_revision = revision;
    }

    pub(super) fn is_down(&self) -> bool {
        self.losses >= DOWN_LOSSES
    }

    pub(super) fn is_held(&self, now: ClockTime) -> bool {
        now < self.hold_until
    }
}
