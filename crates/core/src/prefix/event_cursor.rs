//! Order of one server's cache events.

use crate::ids::IncarnationId;

/// What to do with a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// Apply it.
    Apply,
    /// `missing` events before it were lost_events: mark the server's records uncertain, then apply it.
    ApplyAfterGap {
        /// Number of lost events.
        missing: u64,
    },
    /// It belongs to a later life of the server: drop all records of the server, then apply it.
    ApplyInNewIncarnation,
    /// It was applied before, or was given up as lost_events: ignore it.
    Duplicate,
    /// It belongs to an earlier life of the server: ignore it.
    OldIncarnation,
}

/// Position in one server's event stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventCursor {
    incarnation: IncarnationId,
    /// Sequence number of the next event; absent until the first event of this life, because an
    /// entry may subscribe in the middle of a stream.
    next_sequence: Option<u64>,
    /// Events lost since creation.
    lost_events: u64,
}

impl EventCursor {
    /// Creates a feed for a server in the given life.
    pub fn new(incarnation: IncarnationId) -> EventCursor {
        EventCursor { incarnation, next_sequence: None, lost_events: 0 }
    }

    /// The life that the feed follows.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Events lost since creation.
    pub fn lost_events(&self) -> u64 {
        self.lost_events
    }

    /// Moves to a later life. Returns false, and changes nothing, for the same or an earlier one.
    pub fn advance_incarnation(&mut self, incarnation: IncarnationId) -> bool {
        if incarnation <= self.incarnation {
            return false;
        }
        self.incarnation = incarnation;
        self.next_sequence = None;
        true
    }

    /// Judges an event and moves past it.
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
