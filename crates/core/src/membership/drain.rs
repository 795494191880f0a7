//! Planned shutdown of an entry, without failing clients or open requests.

use super::DISCOVERY_LIFETIME;
use crate::clock::{ClockTime, TimerQueue};

/// Phase of a planned shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// Normal operation; no shutdown has begun.
    Serving,
    /// The entry is no longer in discovery responses, but still serves clients with an older one.
    Announced,
    /// New requests are answered with 307 and `not_run`; open requests are completed.
    Redirecting,
    /// No request is open and the process may exit.
    Finished,
}

/// Actions that the host must perform during the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainEffect {
    /// Announce to all members that this node is draining.
    Announce,
    /// Redirect new requests and hand unused shares to other entries.
    Redirect,
    /// Exit the process.
    Finish,
}

/// State machine of an entry's planned shutdown.
#[derive(Debug, Clone)]
pub struct DrainState {
    phase: DrainPhase,
    timers: TimerQueue<()>,
    open_requests: u64,
}

impl Default for DrainState {
    fn default() -> DrainState {
        DrainState { phase: DrainPhase::Serving, timers: TimerQueue::new(), open_requests: 0 }
    }
}

impl DrainState {
    /// Creates the state of an entry in normal operation.
    pub fn new() -> DrainState {
        DrainState::default()
    }

    /// Returns the current phase.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Begins the shutdown. Has no effect if it has already begun.
    pub fn begin(&mut self, now: ClockTime) -> Vec<DrainEffect> {
        if self.phase != DrainPhase::Serving {
            return Vec::new();
        }
        self.phase = DrainPhase::Announced;
        self.timers.schedule(now + DISCOVERY_LIFETIME, ());
        vec![DrainEffect::Announce]
    }

    /// Counts a new request as open. Returns false if the request must be redirected instead.
    pub fn try_admit(&mut self) -> bool {
        let admitted = matches!(self.phase, DrainPhase::Serving | DrainPhase::Announced);
        self.open_requests += u64::from(admitted);
        admitted
    }

    /// Counts the end of an admitted request.
    pub fn request_finished(&mut self) -> Vec<DrainEffect> {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.finish_if_idle()
    }

    /// Returns the time of the next call of [`DrainState::on_timer`].
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Starts to redirect once all older discovery responses have expired.
    pub fn on_timer(&mut self, now: ClockTime) -> Vec<DrainEffect> {
        let mut effects = Vec::new();
        if self.timers.pop_due(now).is_some() {
            self.phase = DrainPhase::Redirecting;
            effects.push(DrainEffect::Redirect);
            effects.extend(self.finish_if_idle());
        }
        effects
    }

    fn finish_if_idle(&mut self) -> Vec<DrainEffect> {
        if self.phase != DrainPhase::Redirecting || self.open_requests > 0 {
            return Vec::new();
        }
        self.phase = DrainPhase::Finished;
        vec![DrainEffect::Finish]
    }
}
