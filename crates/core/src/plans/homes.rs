//! The home entries of a plan and their shares, as functions of the list version alone.

use super::{LimitKind, PlanLimits};
use crate::{ids::NodeId, lists::ListDocument, rendezvous::rendezvous_score};

/// Most home entries of a plan. Nine keep a plan at 8/9 when one entry is lost.
pub const MAX_HOMES: usize = 9;

/// The home entries of a plan, best first: by rendezvous hashing over all entry VMs.
pub fn home_entries(document: &ListDocument, plan: &str) -> Vec<NodeId> {
    let rank = |node: NodeId| {
        std::cmp::Reverse((rendezvous_score(plan.as_bytes(), u64::from(node.0)), node))
    };
    let mut ranked: Vec<_> = document.entries.values().map(|entry| rank(entry.node)).collect();
    if ranked.len() > MAX_HOMES {
        ranked.select_nth_unstable(MAX_HOMES);
        ranked.truncate(MAX_HOMES);
    }
    ranked.sort();
    ranked.into_iter().map(|std::cmp::Reverse((_, node))| node).collect()
}

/// The share of each limit of the home at `position` among `homes`.
///
/// The shares of all positions add up to the amounts; the first homes take the remainder.
pub fn home_share(limits: &PlanLimits, homes: usize, position: usize) -> [u64; 3] {
    LimitKind::ALL.map(|kind| {
        let (amount, homes) = (limits.amount(kind), homes as u64);
        amount / homes + u64::from((position as u64) < amount % homes)
    })
}
