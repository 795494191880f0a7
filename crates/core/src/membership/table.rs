//! The known status of every member, and the changes that still have to be disseminated.

use std::collections::BTreeMap;

use super::{MemberChange, MemberStatus};
use crate::ids::{IncarnationId, NodeId, NodeIncarnation};

/// Maximum number of changes per message. Six changes of at most 22 bytes each fit into a small
/// datagram together with the other fields.
const MAX_CHANGES_PER_MESSAGE: usize = 6;
/// Number of messages that a change is sent with for each doubling of the member count.
const RETRANSMITS_PER_DOUBLING: u32 = 3;

/// What this node knows about one other member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberRecord {
    /// The most recent change.
    pub change: MemberChange,
}

/// The status of all members as this node knows it.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: MemberChange,
    /// Other nodes by number. Bounded: contains only nodes set by `set_listed_nodes`.
    members: BTreeMap<NodeId, MemberRecord>,
    /// Changes to disseminate, with the number of messages that they are still to be sent with.
    pending: Vec<(MemberChange, u32)>,
}

impl MemberTable {
    /// Creates the table of a new incarnation, which knows no other member.
    pub fn new(process: NodeIncarnation) -> MemberTable {
        let own = MemberChange {
            node: process.node,
            incarnation: process.incarnation,
            refutation: 0,
            status: MemberStatus::Live,
            draining: false,
        };
        let mut table = MemberTable { own, members: BTreeMap::new(), pending: Vec::new() };
        table.queue_broadcast(own);
        table
    }

    /// Returns the status that this node announces about itself.
    pub fn own(&self) -> &MemberChange {
        &self.own
    }

    /// Returns the status of a member, or of this node itself.
    pub fn get(&self, node: NodeId) -> Option<&MemberChange> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.members.get(&node).map(|member| &member.change)
    }

    /// Iterates over the other members, including dead ones.
    pub fn others(&self) -> impl Iterator<Item = &MemberChange> {
        self.members.values().map(|member| &member.change)
    }

    /// Iterates over the other members that are not dead.
    pub fn reachable(&self) -> impl Iterator<Item = NodeId> + '_ {
        let alive = self.others().filter(|change| change.status != MemberStatus::Dead);
        alive.map(|change| change.node)
    }

    /// Number of members that are not dead, including this node.
    pub fn reachable_count(&self) -> usize {
        self.reachable().count() + 1
    }

    /// Sets the nodes of the active lists. New nodes are assumed to be live; nodes that are no
    /// longer listed are forgotten.
    pub fn set_listed_nodes(&mut self, listed: &[NodeId]) {
        self.members.retain(|node, _| listed.contains(node));
        for &node in listed.iter().filter(|node| **node != self.own.node) {
            let change = MemberChange {
                node,
                incarnation: IncarnationId(0),
                refutation: 0,
                status: MemberStatus::Live,
                draining: false,
            };
            self.members.entry(node).or_insert(MemberRecord { change });
        }
    }

    /// Merges a received change. Returns the resulting status if it differs from the known one.
    pub fn merge(&mut self, change: MemberChange) -> Option<MemberChange> {
        if change.node == self.own.node {
            return self.refute(change);
        }
        // Changes about unlisted nodes are ignored, which bounds the table.
        let known = &mut self.members.get_mut(&change.node)?.change;
        let merged = merge_changes(known, &change);
        if merged == *known {
            return None;
        }
        *known = merged;
        self.queue_broadcast(merged);
        Some(merged)
    }

    /// Records that a message arrived from `sender`. An incarnation that is newer than the known
    /// one is live; returns its status.
    pub fn observe_incarnation(&mut self, sender: NodeIncarnation) -> Option<MemberChange> {
        let known = self.members.get(&sender.node)?.change;
        if sender.incarnation <= known.incarnation {
            return None;
        }
        self.merge(MemberChange {
            node: sender.node,
            incarnation: sender.incarnation,
            refutation: 0,
            status: MemberStatus::Live,
            draining: false,
        })
    }

    /// Announces that this node is draining.
    pub fn drain(&mut self) {
        self.own.draining = true;
        self.queue_broadcast(self.own);
    }

    /// Returns the changes to send with one message and counts the message for each of them.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        // Changes that were sent least often go first.
        self.pending.sort_by_key(|(_, sends_left)| std::cmp::Reverse(*sends_left));
        let count = self.pending.len().min(MAX_CHANGES_PER_MESSAGE);
        let changes = self.pending[..count].iter().map(|(change, _)| *change).collect();
        for (_, sends_left) in &mut self.pending[..count] {
            *sends_left -= 1;
        }
        self.pending.retain(|(_, sends_left)| *sends_left > 0);
        changes
    }

    fn refute(&mut self, change: MemberChange) -> Option<MemberChange> {
        let suspected = change.incarnation == self.own.incarnation
            && change.refutation >= self.own.refutation
            && change.status != MemberStatus::Live;
        if suspected {
            self.own.refutation = change.refutation + 1;
            self.queue_broadcast(self.own);
        }
        None
    }

    fn queue_broadcast(&mut self, change: MemberChange) {
        let doublings = usize::BITS - self.reachable_count().leading_zeros();
        self.pending.retain(|(queued, _)| queued.node != change.node);
        self.pending.push((change, RETRANSMITS_PER_DOUBLING * doublings));
    }
}

/// Merges two changes about one member; see [`MemberChange`] for the precedence.
fn merge_changes(known: &MemberChange, change: &MemberChange) -> MemberChange {
    let rank = |change: &MemberChange| (change.incarnation, change.refutation, change.status);
    let mut merged = if rank(change) > rank(known) { *change } else { *known };
    if known.incarnation == change.incarnation {
        merged.draining = known.draining || change.draining;
    }
    merged
}
