//! Choices that every node derives from the lists and the known members: the order of entries in a
//! discovery response, and which nodes watch the key-value service.

use std::{cmp::Reverse, time::Duration};

use super::{MemberStatus, MemberTable};
use crate::{
    ids::NodeId,
    lists::{EntryVm, ListDocument},
    rendezvous::rendezvous_score,
};

/// Time for which clients cache a discovery response.
pub const DISCOVERY_LIFETIME: Duration = Duration::from_secs(5);
/// Number of nodes per data centre that watch the lists in the key-value service.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Maximum number of addresses in a discovery response.
const MAX_DISCOVERY_ENTRIES: usize = 9;

/// Chooses entries from the active lists by the known status of members.
#[derive(Debug, Clone, Copy)]
pub struct EntryDirectory<'a> {
    document: &'a ListDocument,
    table: &'a MemberTable,
}

impl<'a> EntryDirectory<'a> {
    /// Creates a directory over the active lists and the known members.
    pub fn new(document: &'a ListDocument, table: &'a MemberTable) -> EntryDirectory<'a> {
        EntryDirectory { document, table }
    }

    /// Returns the entries that clients of a workspace should use, best first: live entries in the
    /// workspace's rendezvous order, then suspect ones. Draining and dead entries are omitted.
    pub fn rank_entries(&self, workspace: &str) -> Vec<&'a EntryVm> {
        let mut ranked: Vec<_> = self
            .document
            .entries
            .values()
            .filter_map(|entry| {
                let change = self.table.get(entry.node)?;
                if change.draining || change.status == MemberStatus::Dead {
                    return None;
                }
                let score = rendezvous_score(workspace.as_bytes(), u64::from(entry.node.0));
                Some((change.status, Reverse(score), entry))
            })
            .collect();
        ranked.sort_by_key(|(status, score, entry)| (*status, *score, entry.node));
        ranked.truncate(MAX_DISCOVERY_ENTRIES);
        ranked.into_iter().map(|(_, _, entry)| entry).collect()
    }

    /// Whether `node` is one of the nodes of its data centre that watch the key-value service:
    /// those that fewer than [`WATCHERS_PER_DATA_CENTRE`] live nodes precede in rendezvous order.
    pub fn is_watcher(&self, node: NodeId) -> bool {
        let Some((_, own)) = self.document.entry_by_node(node) else { return false };
        let score = |node: NodeId| (rendezvous_score(b"lists", u64::from(node.0)), node);
        let better = self.document.entries.values().filter(|entry| {
            let live = |change: &&super::MemberChange| change.status == MemberStatus::Live;
            entry.data_centre == own.data_centre
                && self.table.get(entry.node).filter(live).is_some()
                && score(entry.node) > score(node)
        });
        better.count() < WATCHERS_PER_DATA_CENTRE
    }
}
