//! The nodes of the store_sync, as they add themselves in the platform's store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use carobvane_core::{clock::ClockTime, traffic::DirectoryMember};
use serde::{Deserialize, Serialize};

/// Beginning of all keys of this product.
pub const KEY_PREFIX: &str = "carobvane/";
/// Beginning of the nodes' keys.
const MEMBER_PREFIX: &str = "carobvane/members/";
/// Key of the node that orders weights.
pub const LEASE_HOLDER_KEY: &str = "carobvane/holder";
/// Key of the servers that the holder has ordered lately, written before its orders.
pub const RECENT_ORDERS_KEY: &str = "carobvane/ordered";
/// Lifetime of a node's lease.
pub const LEASE_LIFETIME: Duration = Duration::from_millis(2_500);
/// Time after the store's return in which live nodes add themselves again.
const RELIST_PERIOD: Duration = Duration::from_millis(2_500);
/// Nodes that have been seen are counted this long when budgets are shared out.
const RETENTION_PERIOD: Duration = Duration::from_secs(20);

/// What a node lists of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of its VM.
    pub name: String,
    /// Number of this life of the node.
    pub incarnation: u64,
    /// Address for callers.
    #[serde(rename = "callers")]
    pub client_address: SocketAddr,
    /// Address for other nodes.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Address for notices, which are datagrams.
    #[serde(rename = "notices")]
    pub notice_address: SocketAddr,
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
    removed_at: Option<ClockTime>,
    /// Whether it may live although its record vanished.
    presumed_live: bool,
}

/// Nodes that are known.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    members: BTreeMap<String, KnownMember>,
    store_unreachable: bool,
    relist_deadline: Option<ClockTime>,
}

impl MemberTable {
    /// Takes a node's record.
    pub fn add(&mut self, record: MemberRecord) {
        let name = record.name.clone();
        self.members.insert(name, KnownMember { record, removed_at: None, presumed_live: false });
    }

    /// A node's record is no longer there.
    pub fn mark_removed(&mut self, now: ClockTime, key: &str) {
        let presumed_live =
            self.store_unreachable || self.relist_deadline.is_some_and(|due| now < due);
        let name = key.strip_prefix(MEMBER_PREFIX).unwrap_or(key);
        if let Some(member) = self.members.get_mut(name) {
            member.removed_at = Some(now);
            member.presumed_live = presumed_live;
        }
    }

    /// Whether a key is that of a node's record.
    pub fn is_member_key(key: &str) -> bool {
        key.starts_with(MEMBER_PREFIX)
    }

    /// The store has stopped answering.
    pub fn on_store_lost(&mut self) {
        self.store_unreachable = true;
        self.relist_deadline = None;
    }

    /// The store answers again.
    pub fn on_store_back(&mut self, now: ClockTime) {
        self.store_unreachable = false;
        self.relist_deadline = Some(now + RELIST_PERIOD);
    }

    /// Drops nodes that have been away for long.
    pub fn expire(&mut self, now: ClockTime) {
        if self.relist_deadline.is_some_and(|due| now >= due) {
            self.relist_deadline = None;
            for member in self.members.values_mut() {
                member.presumed_live = false;
            }
        }
        self.members.retain(|_, member| {
            member.removed_at.is_none_or(|at| now.since(at) < RETENTION_PERIOD)
        });
    }

    /// Nodes that are listed, or whose records vanished with the store.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let live = self
            .members
            .values()
            .filter(|member| member.removed_at.is_none() || member.presumed_live);
        live.map(|member| &member.record)
    }

    /// Live nodes as the directory needs them.
    pub fn directory(&self) -> Vec<DirectoryMember> {
        let entries = self.live().map(|record| DirectoryMember {
            name: record.name.clone(),
            address: record.client_address,
            data_centre: record.data_centre.clone(),
            region: record.region.clone(),
        });
        entries.collect()
    }

    /// Number of nodes that may have spent from a shared budget lately; at least one.
    pub fn recent_node_count(&self) -> usize {
        self.members.len().max(1)
    }
}
