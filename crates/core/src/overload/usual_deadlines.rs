//! Recognises clients that were refused and come back.
//!
//! Nothing on the wire marks them, but they have spent a part of their time. A request with clearly
//! less time than the usual one of its route therefore counts as a return. The guess only lets a
//! request use the room that is kept for promised returns.

use std::{collections::HashMap, time::Duration};

use crate::clock::ClockTime;

/// Time after which a longer deadline that does not occur any more is forgotten.
const MEMORY: Duration = Duration::from_secs(30);
/// Largest number of routes. Requests of further ones do not count as returns.
const MAX_ROUTES: usize = 256;
/// Clients return at the earliest after this time.
const MIN_SPENT: Duration = Duration::from_millis(100);

/// The usual deadline of the requests of each route.
#[derive(Debug, Clone, Default)]
pub struct UsualDeadlines {
    /// Longest recent deadline of each route, and when it occurred last.
    longest: HashMap<u64, (Duration, ClockTime)>,
}

impl UsualDeadlines {
    /// Records the deadline of a request, and returns whether the request is probably a return.
    pub fn is_return(&mut self, now: ClockTime, route: u64, deadline: Duration) -> bool {
        if self.longest.len() >= MAX_ROUTES && !self.longest.contains_key(&route) {
            self.longest.retain(|_, (_, seen_at)| now.since(*seen_at) < MEMORY);
            if self.longest.len() >= MAX_ROUTES {
                return false;
            }
        }
        let (longest, seen_at) = self.longest.entry(route).or_insert((deadline, now));
        if deadline >= *longest || now.since(*seen_at) >= MEMORY {
            (*longest, *seen_at) = (deadline, now);
        }
        deadline + MIN_SPENT <= *longest
    }
}
