//! The nodes of the fleet, as they list themselves in the platform's store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use carobvane_core::{clock::ClockTime, traffic::EntryNode};
use serde::{Deserialize, Serialize};

/// Beginning of all keys of this product.
pub const OWN_PREFIX: &str = "carobvane/";
/// Beginning of the nodes' keys.
const MEMBER_PREFIX: &str = "carobvane/members/";
/// Key of the node that orders weights.
pub const HOLDER_KEY: &str = "carobvane/holder";
/// Key of the servers that the holder has ordered lately, written before its orders.
pub const ORDERED_KEY: &str = "carobvane/ordered";
/// Lifetime of a node's lease.
pub const LEASE_TIME: Duration = Duration::from_millis(2_500);
/// Time after the store's return in which live nodes list themselves again.
const RELIST_TIME: Duration = Duration::from_millis(2_500);
/// Nodes that have been seen are counted this long when budgets are shared out.
const COUNTED_TIME: Duration = Duration::from_secs(20);

/// What a node lists of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of its VM.
    pub name: String,
    /// Number of this life of the node.
    pub incarnation: u64,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for notices, which are datagrams.
    pub notices: SocketAddr,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
}

impl MemberRecord {
    /// Key of the record.
    pub fn key(name: &str) -> String {
        format!("{MEMBER_PREFIX}{name}")
    }
}

#[derive(Debug, Clone)]
struct KnownMember {
    record: MemberRecord,
    /// When its record vanished; `None` while it is listed.
    unlisted: Option<ClockTime>,
    /// Whether it may live although its record vanished.
    lapsed: bool,
}

/// Nodes that are known.
#[derive(Debug, Clone, Default)]
pub struct MemberBook {
    members: BTreeMap<String, KnownMember>,
    store_away: bool,
    relisted_at: Option<ClockTime>,
}

impl MemberBook {
    /// Takes a node's record.
    pub fn list(&mut self, record: MemberRecord) {
        let name = record.name.clone();
        self.members.insert(name, KnownMember { record, unlisted: None, lapsed: false });
    }

    /// A node's record is no longer there.
    pub fn unlist(&mut self, now: ClockTime, key: &str) {
        let lapsed = self.store_away || self.relisted_at.is_some_and(|due| now < due);
        let name = key.strip_prefix(MEMBER_PREFIX).unwrap_or(key);
        if let Some(member) = self.members.get_mut(name) {
            member.unlisted = Some(now);
            member.lapsed = lapsed;
        }
    }

    /// Whether a key is that of a node's record.
    pub fn is_member_key(key: &str) -> bool {
        key.starts_with(MEMBER_PREFIX)
    }

    /// The store has stopped answering.
    pub fn on_store_lost(&mut self) {
        self.store_away = true;
        self.relisted_at = None;
    }

    /// The store answers again.
    pub fn on_store_back(&mut self, now: ClockTime) {
        self.store_away = false;
        self.relisted_at = Some(now + RELIST_TIME);
    }

    /// Drops nodes that have been away for long.
    pub fn settle(&mut self, now: ClockTime) {
        if self.relisted_at.is_some_and(|due| now >= due) {
            self.relisted_at = None;
            for member in self.members.values_mut() {
                member.lapsed = false;
            }
        }
        self.members
            .retain(|_, member| member.unlisted.is_none_or(|at| now.since(at) < COUNTED_TIME));
    }

    /// Nodes that are listed, or whose records vanished with the store.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let live =
            self.members.values().filter(|member| member.unlisted.is_none() || member.lapsed);
        live.map(|member| &member.record)
    }

    /// Live nodes as the directory needs them.
    pub fn directory(&self) -> Vec<EntryNode> {
        let entries = self.live().map(|record| EntryNode {
            name: record.name.clone(),
            address: record.callers,
            data_centre: record.data_centre.clone(),
            region: record.region.clone(),
        });
        entries.collect()
    }

    /// Number of nodes that may have spent from a shared budget lately; at least one.
    pub fn most_nodes(&self) -> usize {
        self.members.len().max(1)
    }
}
