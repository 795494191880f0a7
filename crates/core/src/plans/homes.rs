//! The home entries of a plan and their shares. Both depend only on the lists, so all entries with
//! the same list version agree on them.

use super::{LimitKind, PlanLimits};
use crate::{ids::NodeId, lists::ListDocument, rendezvous::rendezvous_score};

/// Most home entries of a plan. With nine, a plan keeps 8/9 of its amounts when one entry fails.
pub const MAX_HOMES: usize = 9;

/// Returns the home entries of a plan, best first, by rendezvous hashing over all entry VMs.
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

/// Returns the share of each limit for the home entry at `position` among `homes` entries.
///
/// The shares of all positions add up to the amounts; the first home entries get the remainder.
pub fn home_share(limits: &PlanLimits, homes: usize, position: usize) -> [u64; 3] {
    LimitKind::ALL.map(|kind| {
        let (amount, homes) = (limits.amount(kind), homes as u64);
        amount / homes + u64::from((position as u64) < amount % homes)
    })
}
