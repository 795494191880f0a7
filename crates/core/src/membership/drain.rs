//! The planned shutdown of an entry.

use super::DISCOVERY_LIFETIME;
use crate::clock::{ClockTime, TimerQueue};

/// How far the shutdown is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// Normal service.
    Serving,
    /// Left out of discovery responses; callers with an older response are still served.
    Announced,
    /// New requests are answered with 307 and `not_run`; the rest is finished.
    Redirecting,
    /// No request is open; the process may end.
    Finished,
}

/// What the host carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainEffect {
    /// Present the node as draining to all members.
    Announce,
    /// Redirect new requests and hand unused shares over.
    Redirect,
    /// End the process.
    Finish,
}

/// The shutdown of one entry.
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
    /// Creates the state of a serving entry.
    pub fn new() -> DrainState {
        DrainState::default()
    }

    /// The phase.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Begins the shutdown; a second begin changes nothing.
    pub fn begin(&mut self, now: ClockTime) -> Vec<DrainEffect> {
        if self.phase != DrainPhase::Serving {
            return Vec::new();
        }
        self.phase = DrainPhase::Announced;
        self.timers.schedule(now + DISCOVERY_LIFETIME, ());
        vec![DrainEffect::Announce]
    }

    /// Counts a new request; false if it must be redirected.
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

    /// Time of the next timer.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles due timers.
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
