//! The discovery response, and other choices that follow from members and lists.

use std::{cmp::Reverse, time::Duration};

use super::{MemberStatus, MemberTable};
use crate::{
    ids::NodeId,
    lists::{EntryVm, ListDocument},
    rendezvous::rendezvous_score,
};

/// How long callers keep a discovery response.
pub const DISCOVERY_LIFETIME: Duration = Duration::from_secs(5);
/// Nodes of a data centre that watch the lists in the key-value service.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Addresses in a discovery response.
const MAX_DISCOVERY_ENTRIES: usize = 9;

/// Orders entries for callers.
#[derive(Debug, Clone, Copy)]
pub struct EntryDirectory<'a> {
    document: &'a ListDocument,
    table: &'a MemberTable,
}

impl<'a> EntryDirectory<'a> {
    /// Creates a directory over the active lists and members.
    pub fn new(document: &'a ListDocument, table: &'a MemberTable) -> EntryDirectory<'a> {
        EntryDirectory { document, table }
    }

    /// Entries for a workspace, best first: live ones in rendezvous order of the workspace, then
    /// suspects. Draining and dead entries are left out.
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

    /// Whether `node` is one of the watchers of its data centre.
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
