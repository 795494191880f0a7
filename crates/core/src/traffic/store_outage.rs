//! Whether the platform's store is away.
//!
//! Single calls fail in ordinary operation: a watch is cut, an idle connection is closed, an answer is
//! late. Entries in the store lapse only if their owners cannot write them for a good part of their
//! lifetime, so an outage is a time of at least that length in which the store answered nobody.

use std::time::Duration;

use crate::clock::ClockTime;

/// A change of what a node believes of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageChange {
    /// An outage is on; entries that are removed from now on may have lapsed.
    Began,
    /// The store answered again after this long. The owners of lapsed entries may write them again.
    Ended(Duration),
}

/// Decides from the outcomes of all calls whether the store is away.
#[derive(Debug, Clone)]
pub struct StoreOutage {
    /// Shortest outage in which an entry may lapse.
    lapse_time: Duration,
    /// When the store last answered this node or, as far as this node was told, another one.
    answered_at: ClockTime,
    /// Whether this node's calls fail: the latest one did, or none was answered yet.
    is_failing: bool,
    /// Whether an outage is on.
    is_away: bool,
}

impl StoreOutage {
    /// Creates the state of a node that starts.
    pub fn new(now: ClockTime, lapse_time: Duration) -> StoreOutage {
        StoreOutage { lapse_time, answered_at: now, is_failing: true, is_away: false }
    }

    /// Whether the latest call of this node was answered.
    pub fn is_reachable(&self) -> bool {
        !self.is_failing
    }

    /// Whether an outage is on.
    pub fn is_away(&self) -> bool {
        self.is_away
    }

    /// Records that a call of this node failed.
    pub fn on_failure(&mut self, now: ClockTime) -> Option<OutageChange> {
        self.is_failing = true;
        self.check(now)
    }

    /// Records that the store answered a call of this node.
    pub fn on_answer(&mut self, now: ClockTime) -> Option<OutageChange> {
        let change = self.end(now, now);
        self.is_failing = false;
        change
    }

    /// Records that the store answered another node at `at`.
    pub fn on_other_answer(&mut self, now: ClockTime, at: ClockTime) -> Option<OutageChange> {
        if at <= self.answered_at { None } else { self.end(now, at) }
    }

    /// Notices an outage that has become long enough. Called before removals are judged.
    pub fn check(&mut self, now: ClockTime) -> Option<OutageChange> {
        let begins = !self.is_away && self.is_long(now);
        self.is_away |= begins;
        begins.then_some(OutageChange::Began)
    }

    /// Ends an outage with an answer at `at`.
    fn end(&mut self, now: ClockTime, at: ClockTime) -> Option<OutageChange> {
        // The outage counts even if nothing has noticed it while it was on.
        let was_away = self.is_away || self.is_long(at);
        let lasted = now.since(self.answered_at);
        self.answered_at = at;
        self.is_away = false;
        was_away.then_some(OutageChange::Ended(lasted))
    }

    fn is_long(&self, now: ClockTime) -> bool {
        self.is_failing && now.since(self.answered_at) >= self.lapse_time
    }
}
