//! When a node probes a server of which there are reports that it does not respond.

use std::time::Duration;

use crate::clock::ClockTime;

/// Number of nodes that probe one server: the first in rendezvous order. With two, the loss of one node
/// leaves half of the probes.
pub const PROBERS: u32 = 2;
/// Time between two probes of one server by all nodes together.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two first probes of one node, when reports come and go.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// The probes of one server by this node.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbeSchedule {
    last_at: Option<ClockTime>,
    /// `None` while there are no reports, so that the first one is followed by a probe at once.
    next_at: Option<ClockTime>,
}

impl ProbeSchedule {
    /// Records that there are no reports any more.
    pub fn on_cleared(&mut self) {
        self.next_at = None;
    }

    /// Whether this node should probe the server now; if so, the probe counts as sent. `rank` is the
    /// position of the node in the server's rendezvous order, `nodes` the number of nodes.
    pub fn is_due(&mut self, now: ClockTime, rank: u32, nodes: usize) -> bool {
        let probers = PROBERS.min(u32::try_from(nodes.max(1)).unwrap_or(PROBERS));
        let paused = self.last_at.is_some_and(|at| now.since(at) < MIN_PAUSE);
        if rank >= probers || paused || self.next_at.is_some_and(|at| now < at) {
            return false;
        }
        // The first probes are sent together, as they decide; later ones take turns.
        let turn = if self.next_at.is_none() { rank + 1 } else { probers };
        self.last_at = Some(now);
        self.next_at = Some(now + PROBE_INTERVAL * turn);
        true
    }
}
