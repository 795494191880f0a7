//! The parts of a purchase of tokens, one for each home that is asked.

use std::time::Duration;

use super::{AskOutcome, GRANT_LIFETIME, NodeName, SlotKey, SlotShare, messages::from_milli};
use crate::clock::ClockTime;

/// What has come of a part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PartState {
    /// No answer has come yet.
    Pending,
    /// The home has granted it.
    Granted {
        /// When the tokens are due.
        ready_at: ClockTime,
        /// When the grant expires.
        valid_until: ClockTime,
    },
    /// The home has too few tokens.
    Short {
        /// Time until it has them.
        wait: Duration,
        /// Tokens that it has.
        level: f64,
    },
    /// The home did not answer or does not grant for the slot, or the part was given back.
    Failed,
}

/// Tokens that one home was asked for.
#[derive(Debug, Clone, Copy)]
pub struct AskedPart {
    /// Id of the ask.
    pub id: u64,
    /// Slot.
    pub key: SlotKey,
    /// Node that was asked.
    pub home: NodeName,
    /// When it was asked.
    pub asked_at: ClockTime,
    /// What has come of it.
    pub state: PartState,
}

impl AskedPart {
    /// Records the answer of the home.
    pub fn apply(&mut self, now: ClockTime, outcome: AskOutcome) {
        self.state = match outcome {
            AskOutcome::Granted(delay) => {
                let delay = Duration::from_micros(delay);
                let valid_until = self.asked_at + delay + GRANT_LIFETIME;
                PartState::Granted { ready_at: now + delay, valid_until }
            }
            AskOutcome::Short { wait, level } => PartState::Short {
                wait: Duration::from_micros(wait),
                level: level as f64 / 1_000.0,
            },
            AskOutcome::NotHome => PartState::Failed,
        };
    }

    /// Whether its tokens were granted.
    pub fn is_granted(&self) -> bool {
        matches!(self.state, PartState::Granted { .. })
    }
}

/// When all parts are due and when the first of their grants expires; `None` unless all are granted.
pub fn due_time(now: ClockTime, parts: &[AskedPart]) -> Option<(ClockTime, ClockTime)> {
    let mut ready = now;
    let mut valid: Option<ClockTime> = None;
    for part in parts {
        let PartState::Granted { ready_at, valid_until } = part.state else { return None };
        ready = ready.max(ready_at);
        valid = Some(valid.map_or(valid_until, |valid| valid.min(valid_until)));
    }
    Some((ready, valid?))
}

/// Whether grants are used after their expiry; only in tests.
#[cfg(not(test))]
pub fn ignores_expiry() -> bool {
    false
}

#[cfg(test)]
pub(super) use super::tests::ignores_expiry;

/// Tokens of a slot after some time, by those that it has now.
pub fn part_after(wait: Duration, level: f64, share: &SlotShare) -> f64 {
    // Both sides round to thousandths.
    let there = level + share.rate * wait.as_secs_f64() - from_milli(1);
    there.clamp(0.0, share.capacity)
}

/// Time until slots with these levels together have an amount; `None` if they never do.
pub fn wait_for(amount: f64, levels: &[(u8, f64)], share: &SlotShare) -> Option<Duration> {
    let sum = |wait: Duration| {
        levels.iter().map(|(_, level)| part_after(wait, *level, share)).sum::<f64>()
    };
    if sum(Duration::ZERO) >= amount {
        return Some(Duration::ZERO);
    }
    let (mut low, mut high) = (Duration::ZERO, share.window * 4);
    if sum(high) < amount {
        return None;
    }
    while high - low > Duration::from_micros(500) {
        let middle = (low + high) / 2;
        if sum(middle) >= amount { high = middle } else { low = middle }
    }
    Some(high)
}
