//! Notices that this node was suspended, so that what it then reads is not taken for new.

use std::time::Duration;

use crate::clock::ClockTime;

/// A node that did nothing for this long was suspended. Its timers are due more often.
const MIN_SUSPENSION: Duration = Duration::from_millis(1_500);
/// Time after a suspension in which what arrived during it may still be read.
const CATCH_UP_PERIOD: Duration = Duration::from_secs(1);

/// Detects suspensions of this node.
#[derive(Debug, Clone, Default)]
pub struct SuspensionDetector {
    /// When this node last did something; `None` before the first time.
    last_active_at: Option<ClockTime>,
    /// Begin and end of the last suspension.
    last: Option<(ClockTime, ClockTime)>,
}

impl SuspensionDetector {
    /// Records that this node is active. To be called at least every [`MIN_SUSPENSION`]. Returns the
    /// length of the suspension that ends now, if any.
    pub fn on_active(&mut self, now: ClockTime) -> Option<Duration> {
        let last_active_at = self.last_active_at.replace(now)?;
        let length = now.since(last_active_at);
        if length < MIN_SUSPENSION {
            return None;
        }
        self.last = Some((last_active_at, now));
        Some(length)
    }

    /// Returns how long ago something that is read now may have arrived.
    pub fn max_age(&self, now: ClockTime) -> Duration {
        match self.last {
            Some((begin, end)) if now.since(end) < CATCH_UP_PERIOD => now.since(begin),
            _ => Duration::ZERO,
        }
    }
}
