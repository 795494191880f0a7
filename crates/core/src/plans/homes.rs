//! The home entries of a plan and their shares, as functions of the list version alone.

use super::{LimitKind, PlanLimits};
use crate::{ids::NodeId, lists::ListDocument, rendezvous::rendezvous_score};

/// Most home entries of a plan. Nine keep a plan at 8/9 when one entry is lost.
pub const MAX_HOMES: usize = 9;

/// The home entries of a plan, best first: by rendezvous hashing over all entry VMs.
pub fn home_entries(document: &ListDocument, plan: &str) -> Vec<NodeId> {
    let score = |node: NodeId| rendezvous_score(plan.as_bytes(), u64::from(node.0));
    let mut nodes: Vec<NodeId> = document.entries.values().map(|entry| entry.node).collect();
    nodes.sort_by_key(|node| std::cmp::Reverse((score(*node), *node)));
    nodes.truncate(MAX_HOMES);
    nodes
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
