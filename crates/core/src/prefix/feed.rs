//! Order of one server's cache events.

use crate::ids::IncarnationId;

/// What to do with a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedVerdict {
    /// Apply it.
    Apply,
    /// `missing` events before it were lost: mark the server's records uncertain, then apply it.
    ApplyAfterGap {
        /// Number of lost events.
        missing: u64,
    },
    /// It belongs to a later life of the server: drop all records of the server, then apply it.
    ApplyInNewLife,
    /// It was applied before, or was given up as lost: ignore it.
    Duplicate,
    /// It belongs to an earlier life of the server: ignore it.
    OldIncarnation,
}

/// Position in one server's event stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventFeed {
    incarnation: IncarnationId,
    /// Sequence number of the next event; absent until the first event of this life, because an
    /// entry may subscribe in the middle of a stream.
    next: Option<u64>,
    /// Events lost since creation.
    lost: u64,
}

impl EventFeed {
    /// Creates a feed for a server in the given life.
    pub fn new(incarnation: IncarnationId) -> EventFeed {
        EventFeed { incarnation, next: None, lost: 0 }
    }

    /// The life that the feed follows.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Events lost since creation.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Moves to a later life. Returns false, and changes nothing, for the same or an earlier one.
    pub fn advance(&mut self, incarnation: IncarnationId) -> bool {
        if incarnation <= self.incarnation {
            return false;
        }
        self.incarnation = incarnation;
        self.next = None;
        true
    }

    /// Judges an event and moves past it.
    pub fn accept(&mut self, incarnation: IncarnationId, sequence: u64) -> FeedVerdict {
        if incarnation < self.incarnation {
            return FeedVerdict::OldIncarnation;
        }
        if self.advance(incarnation) {
            self.next = Some(sequence.saturating_add(1));
            return FeedVerdict::ApplyInNewLife;
        }
        let expected = self.next.unwrap_or(sequence);
        if sequence < expected {
            return FeedVerdict::Duplicate;
        }
        self.next = Some(sequence.saturating_add(1));
        match sequence - expected {
            0 => FeedVerdict::Apply,
            missing => {
                self.lost += missing;
                FeedVerdict::ApplyAfterGap { missing }
            }
        }
    }
}
