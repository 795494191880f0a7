//! What is believed of each member, and the statements that still have to be passed on.

use std::collections::BTreeMap;

use super::{MemberChange, MemberStatus};
use crate::ids::{IncarnationId, NodeId, NodeIncarnation};

/// Statements on one message. Six of at most 22 bytes fit a small datagram next to the rest.
const MAX_CHANGES_PER_MESSAGE: usize = 6;
/// A statement rides on this many messages for each doubling of the members.
const RETRANSMITS_PER_DOUBLING: u32 = 3;

/// A member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberRecord {
    /// The latest statement.
    pub change: MemberChange,
}

/// All members as this node believes them.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: MemberChange,
    /// Other nodes. Bounded by the entry VMs of the lists and those that spoke to this node.
    members: BTreeMap<NodeId, MemberRecord>,
    /// Statements with the number of messages that they still ride on.
    pending: Vec<(MemberChange, u32)>,
}

impl MemberTable {
    /// Creates the table of a life that knows no other member.
    pub fn new(life: NodeIncarnation) -> MemberTable {
        let own = MemberChange {
            node: life.node,
            incarnation: life.incarnation,
            refutation: 0,
            status: MemberStatus::Live,
            draining: false,
        };
        let mut table = MemberTable { own, members: BTreeMap::new(), pending: Vec::new() };
        table.queue_broadcast(own);
        table
    }

    /// This node as it presents itself.
    pub fn own(&self) -> &MemberChange {
        &self.own
    }

    /// The statement about a member, including this node.
    pub fn get(&self, node: NodeId) -> Option<&MemberChange> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.members.get(&node).map(|member| &member.change)
    }

    /// Other members, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &MemberChange> {
        self.members.values().map(|member| &member.change)
    }

    /// Other members that are not dead.
    pub fn reachable(&self) -> impl Iterator<Item = NodeId> + '_ {
        let alive = self.others().filter(|change| change.status != MemberStatus::Dead);
        alive.map(|change| change.node)
    }

    /// Number of members that are not dead, this node included.
    pub fn reachable_count(&self) -> usize {
        self.reachable().count() + 1
    }

    /// Replaces the listed nodes: new ones are assumed live, unlisted ones are forgotten.
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

    /// Takes a statement. Returns what is believed now, if it changed.
    pub fn merge(&mut self, change: MemberChange) -> Option<MemberChange> {
        if change.node == self.own.node {
            return self.refute(change);
        }
        // Statements about unlisted nodes are dropped, which bounds the table.
        let known = &mut self.members.get_mut(&change.node)?.change;
        let merged = merge_changes(known, &change);
        if merged == *known {
            return None;
        }
        *known = merged;
        self.queue_broadcast(merged);
        Some(merged)
    }

    /// A member spoke: a life not seen before is live.
    pub fn observe_incarnation(&mut self, life: NodeIncarnation) -> Option<MemberChange> {
        let known = self.members.get(&life.node)?.change;
        if life.incarnation <= known.incarnation {
            return None;
        }
        self.merge(MemberChange {
            node: life.node,
            incarnation: life.incarnation,
            refutation: 0,
            status: MemberStatus::Live,
            draining: false,
        })
    }

    /// Presents this node as draining.
    pub fn drain(&mut self) {
        self.own.draining = true;
        self.queue_broadcast(self.own);
    }

    /// Statements for one message; each is counted as sent once more.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        // The least sent first.
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
        let against = change.incarnation == self.own.incarnation
            && change.refutation >= self.own.refutation
            && change.status != MemberStatus::Live;
        if against {
            self.own.refutation = change.refutation + 1;
            self.queue_broadcast(self.own);
        }
        None
    }

    fn queue_broadcast(&mut self, change: MemberChange) {
        let doublings = usize::BITS - self.reachable_count().leading_zeros();
        self.pending.retain(|(pending, _)| pending.node != change.node);
        self.pending.push((change, RETRANSMITS_PER_DOUBLING * doublings));
    }
}

/// The merge_changes of two statements about one member.
fn merge_changes(known: &MemberChange, change: &MemberChange) -> MemberChange {
    let rank = |change: &MemberChange| (change.incarnation, change.refutation, change.status);
    let mut merged = if rank(change) > rank(known) { *change } else { *known };
    if known.incarnation == change.incarnation {
        merged.draining = known.draining || change.draining;
    }
    merged
}
