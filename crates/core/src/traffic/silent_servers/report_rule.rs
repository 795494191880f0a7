//! Which observations a node reports to the others.

use std::time::Duration;

use crate::{clock::ClockTime, traffic::LinkState};

/// A node that got no notice of another one for this long may be the one that is cut off. In a fleet,
/// watchers send one several times a second.
const MAX_PEER_SILENCE: Duration = Duration::from_millis(1_500);
/// A request is overdue after this multiple of its expected time.
const OVERDUE_FACTOR: f64 = 2.0;
/// Part of the target latency after which a request may be overdue.
const OVERDUE_FRACTION: f64 = 0.25;
/// A request is not overdue before this time.
const MIN_OVERDUE: Duration = Duration::from_millis(250);

/// What a node has to know of itself before it reports a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportRule {
    peer_heard_at: Option<ClockTime>,
}

impl ReportRule {
    /// Records a notice of another node.
    pub fn on_peer_heard(&mut self, now: ClockTime) {
        self.peer_heard_at = Some(now);
    }

    /// Whether the node may report servers to others, of which [`ServerLinks`](crate::traffic::ServerLinks)
    /// has found that they are to blame: another server was heard after the failure. `nodes` is the number
    /// of live ones, this one included.
    pub fn may_report(&self, now: ClockTime, links: LinkState, nodes: usize) -> bool {
        let hears_peers = self.peer_heard_at.is_some_and(|at| now.since(at) < MAX_PEER_SILENCE);
        links != LinkState::Lost && nodes > 1 && hears_peers
    }
}

/// Time after which a request without a response casts doubt on a server that nobody has heard meanwhile.
pub fn overdue_after(expected: Duration, target_latency: Duration) -> Duration {
    let part = target_latency.mul_f64(OVERDUE_FRACTION);
    expected.mul_f64(OVERDUE_FACTOR).max(part).max(MIN_OVERDUE)
}
