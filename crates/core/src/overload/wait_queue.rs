//! Requests that wait at the node for a server to have room.
//!
//! A wait of some ten ms costs a client less than a refusal and a retry. The queue is short, so that
//! it only bridges the time until a server is expected to have room.

use std::{collections::BTreeMap, time::Duration};

use super::RequestRank;
use crate::clock::ClockTime;

/// Maximum number of requests that wait for one service at a node. Each looks for a server again
/// several times.
const MAX_WAITING: usize = 16;
/// Time between two attempts of the first request in the queue. Notices take about as long.
const FIRST_INTERVAL: Duration = Duration::from_millis(15);
/// Longest time between two attempts of any other one, since those before it may leave.
const MAX_INTERVAL: Duration = Duration::from_millis(60);

/// Place of a request in the queue, in the order of admission: by rank, returning clients before new
/// ones, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    rank: RequestRank,
    is_new: bool,
    number: u64,
}

/// The requests that wait for one service, and until when.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    /// Invariant: at most [`MAX_WAITING`].
    waiting: BTreeMap<WaitTicket, ClockTime>,
    next_number: u64,
}

impl WaitQueue {
    /// Creates a ticket that is behind all requests of the same rank.
    pub fn ticket(&mut self, rank: RequestRank, is_return: bool) -> WaitTicket {
        self.next_number += 1;
        WaitTicket { rank, is_new: !is_return, number: self.next_number }
    }

    /// Number of requests that wait and go before the ticket.
    pub fn place(&self, ticket: WaitTicket) -> usize {
        self.waiting.range(..ticket).count()
    }

    /// Returns until when a request waits; `None` if it does not.
    pub fn waits_until(&self, ticket: WaitTicket) -> Option<ClockTime> {
        self.waiting.get(&ticket).copied()
    }

    /// Adds a request that waits until a time. Returns whether there was room. If the queue
    /// is full, the least urgent request is removed.
    pub fn enter(&mut self, now: ClockTime, ticket: WaitTicket, until: ClockTime) -> bool {
        self.waiting.retain(|_, until| *until >= now);
        self.waiting.insert(ticket, until);
        if self.waiting.len() <= MAX_WAITING {
            return true;
        }
        self.waiting.pop_last().is_some_and(|(last, _)| last != ticket)
    }

    /// Removes a request that has been admitted or refused, or whose client has left.
    pub fn leave(&mut self, ticket: WaitTicket) {
        self.waiting.remove(&ticket);
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Time after which a request looks for a server again, if there is room for another one every
    /// `gap`.
    pub(super) fn interval(place: usize, gap: Duration) -> Duration {
        (gap * place as u32).clamp(FIRST_INTERVAL, MAX_INTERVAL)
    }
}
