//! Tracks the sequence numbers of one server's cache events.

use crate::ids::IncarnationId;

/// How a cache event must be handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// Apply the event.
    Apply,
    /// Events before this one were lost: mark the server's records as uncertain, then apply the
    /// event.
    ApplyAfterGap {
        /// Number of lost events.
        missing: u64,
    },
    /// The event belongs to a later incarnation: drop all records of the server, then apply the
    /// event.
    ApplyInNewIncarnation,
    /// The event was already applied, or counted as lost: ignore it.
    Duplicate,
    /// The event belongs to an earlier incarnation: ignore it.
    OldIncarnation,
}

/// Position in the event stream of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventCursor {
    incarnation: IncarnationId,
    /// Sequence number of the next event. `None` until the first event of this incarnation, because
    /// an entry may subscribe in the middle of a stream.
    next_sequence: Option<u64>,
    /// Number of events lost since the cursor was created.
    lost_events: u64,
}

impl EventCursor {
    /// Creates a cursor for a server in the given incarnation.
    pub fn new(incarnation: IncarnationId) -> EventCursor {
        EventCursor { incarnation, next_sequence: None, lost_events: 0 }
    }

    /// Returns the incarnation whose events are followed.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Returns the number of events lost since the cursor was created.
    pub fn lost_events(&self) -> u64 {
        self.lost_events
    }

    /// Moves to a later incarnation. Returns false and changes nothing if `incarnation` is not
    /// later.
    pub fn advance_incarnation(&mut self, incarnation: IncarnationId) -> bool {
        if incarnation <= self.incarnation {
            return false;
        }
        self.incarnation = incarnation;
        self.next_sequence = None;
        true
    }

    /// Returns how to handle an event, and moves past it.
    pub fn accept_event(&mut self, incarnation: IncarnationId, sequence: u64) -> EventAction {
        if incarnation < self.incarnation {
            return EventAction::OldIncarnation;
        }
        if self.advance_incarnation(incarnation) {
            self.next_sequence = Some(sequence.saturating_add(1));
            return EventAction::ApplyInNewIncarnation;
        }
        let expected = self.next_sequence.unwrap_or(sequence);
        if sequence < expected {
            return EventAction::Duplicate;
        }
        self.next_sequence = Some(sequence.saturating_add(1));
        match sequence - expected {
            0 => EventAction::Apply,
            missing => {
                self.lost_events += missing;
                EventAction::ApplyAfterGap { missing }
            }
        }
    }
}
