//! The nodes of the fleet, as they register themselves in the platform's store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use carobvane_core::{clock::ClockTime, traffic::EntryNode};
use serde::{Deserialize, Serialize};

use crate::fleet::wire::WireFormat;

/// Prefix of all keys that the nodes write.
pub const KEY_PREFIX: &str = "carobvane/";
/// Prefix of the keys of node records.
const MEMBER_PREFIX: &str = "carobvane/members/";
/// Key that the holder of the rollout lease writes.
pub const LEASE_HOLDER_KEY: &str = "carobvane/holder";
/// Key of the servers that were ordered to load weights lately, written before the orders are sent.
pub const RECENT_ORDERS_KEY: &str = "carobvane/ordered";
/// Lifetime of the rollout lease.
pub const ROLLOUT_LEASE_LIFETIME: Duration = Duration::from_millis(1_400);
/// Lifetime of the lease of a node's record.
pub const LEASE_LIFETIME: Duration = Duration::from_millis(2_500);
/// Time that live nodes get to register again after the store is back.
const REREGISTRATION_PERIOD: Duration = Duration::from_millis(2_500);
/// A node that has vanished is still counted for this long when the retry budget is divided among
/// the nodes.
const RETENTION_PERIOD: Duration = Duration::from_secs(20);

/// A node that told that it reaches no server counts as such for this long; it tells again sooner.
const UNLINKED_LIFETIME: Duration = Duration::from_millis(1_500);

/// What a node registers about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the node's VM.
    pub name: String,
    /// Distinguishes this run of the node from earlier ones.
    pub incarnation: u64,
    /// Address that clients connect to.
    #[serde(rename = "callers")]
    pub client_address: SocketAddr,
    /// Address that other nodes read the store copy from.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// UDP address that other nodes send notices to.
    #[serde(rename = "notices")]
    pub notice_address: SocketAddr,
    /// Bandwidth of the node's link, in Mbit/s.
    pub link_mbps: u32,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Region of the VM.
    pub region: String,
    /// Formats of notices that the node reads, by their numbers; empty in records of earlier builds.
    #[serde(default)]
    pub formats: Vec<u32>,
    /// Whether the node's build grants tokens of workspaces' limits.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub grants_tokens: bool,
    /// Whether the node's build records the software versions of services in the platform's store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub records_software: bool,
}

impl MemberRecord {
    /// Returns the store key of a node's record.
    pub fn key(name: &str) -> String {
        format!("{MEMBER_PREFIX}{name}")
    }
}

/// A node as a receiver of notices.
#[derive(Debug, Clone, Copy)]
pub struct NoticeReceiver<'a> {
    /// Record of the node.
    pub record: &'a MemberRecord,
    /// Format of notices to the node; `None` if its build is not known yet.
    pub format: Option<WireFormat>,
    /// When this incarnation became known.
    pub known_since: ClockTime,
}

#[derive(Debug, Clone)]
struct KnownMember {
    record: MemberRecord,
    /// When the record of this incarnation became known.
    known_since: ClockTime,
    /// Format of notices to the node; `None` if its build is not known yet.
    format: Option<WireFormat>,
    /// When the record vanished from the store; `None` while it is there.
    removed_at: Option<ClockTime>,
    /// Whether the node may be alive although its record vanished, since the store was down.
    presumed_live: bool,
}

/// Nodes that are registered or were until recently.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    members: BTreeMap<String, KnownMember>,
    store_unreachable: bool,
    reregistration_deadline: Option<ClockTime>,
    /// Nodes that reach no server, and until when they count as such unless they tell again.
    unlinked: BTreeMap<String, ClockTime>,
}

impl MemberTable {
    /// Adds or replaces a node's record.
    pub fn add(&mut self, now: ClockTime, record: MemberRecord) {
        let name = record.name.clone();
        let known = self.members.get(&name);
        let known = known.filter(|known| known.record.incarnation == record.incarnation);
        let format =
            WireFormat::best_of(&record.formats).or_else(|| known.and_then(|known| known.format));
        let known_since = known.map_or(now, |known| known.known_since);
        let member =
            KnownMember { record, known_since, format, removed_at: None, presumed_live: false };
        self.members.insert(name, member);
    }

    /// Records in which format a node writes and reads, as its answer has shown.
    pub fn on_format_shown(&mut self, name: &str, incarnation: u64, format: WireFormat) {
        let member = self.members.get_mut(name);
        if let Some(member) = member.filter(|member| member.record.incarnation == incarnation) {
            member.format.get_or_insert(format);
        }
    }

    /// Returns the live nodes with the format of notices to each, and since when it is known.
    pub fn receivers(&self) -> impl Iterator<Item = NoticeReceiver<'_>> {
        self.live_members().map(|member| NoticeReceiver {
            record: &member.record,
            format: member.format,
            known_since: member.known_since,
        })
    }

    /// Returns the format of the node that sends notices from an address; `None` if it is not known.
    pub fn format_at(&self, address: SocketAddr) -> Option<WireFormat> {
        let mut members = self.members.values();
        members.find(|member| member.record.notice_address == address)?.format
    }

    /// Records that a node's record vanished. During an outage of the store, and shortly after it,
    /// the node is presumed alive.
    pub fn mark_removed(&mut self, now: ClockTime, key: &str) {
        let presumed_live =
            self.store_unreachable || self.reregistration_deadline.is_some_and(|due| now < due);
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

    /// Starts to presume nodes alive whose records vanish, since the store does not respond.
    pub fn on_store_lost(&mut self) {
        self.store_unreachable = true;
        self.reregistration_deadline = None;
    }

    /// Begins the period in which live nodes register again.
    pub fn on_store_back(&mut self, now: ClockTime) {
        self.store_unreachable = false;
        self.reregistration_deadline = Some(now + REREGISTRATION_PERIOD);
    }

    /// Drops nodes that have been gone for the retention period, and ends the presumption that
    /// nodes without a record are alive.
    pub fn expire(&mut self, now: ClockTime) {
        if self.reregistration_deadline.is_some_and(|due| now >= due) {
            self.reregistration_deadline = None;
            for member in self.members.values_mut() {
                member.presumed_live = false;
            }
        }
        self.unlinked.retain(|_, until| now < *until);
        self.members.retain(|_, member| {
            member.removed_at.is_none_or(|at| now.since(at) < RETENTION_PERIOD)
        });
    }

    /// Returns the nodes that are registered or presumed alive.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.live_members().map(|member| &member.record)
    }

    /// Returns the nodes that grant tokens of workspaces' limits, each with whether it is registered or
    /// presumed alive.
    pub fn granters(&self) -> impl Iterator<Item = (&MemberRecord, bool)> {
        let granters = self.members.values().filter(|member| member.record.grants_tokens);
        granters.map(|member| (&member.record, member.removed_at.is_none() || member.presumed_live))
    }

    /// Whether all registered nodes record the software versions of services.
    pub fn all_record_software(&self) -> bool {
        self.live().all(|record| record.records_software)
    }

    fn live_members(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values().filter(|member| member.removed_at.is_none() || member.presumed_live)
    }

    /// Records that a node reaches no server, as it has told.
    pub fn on_unlinked(&mut self, now: ClockTime, name: String) {
        self.unlinked.insert(name, now + UNLINKED_LIFETIME);
    }

    /// Returns the live nodes that reach servers as far as they have told.
    pub fn linked(&self, now: ClockTime) -> impl Iterator<Item = &MemberRecord> {
        let is_unlinked =
            move |name: &str| self.unlinked.get(name).is_some_and(|until| now < *until);
        self.live().filter(move |record| !is_unlinked(&record.name))
    }

    /// Returns the live nodes that reach servers, in the form that the directory needs; all live nodes if
    /// none does.
    pub fn directory(&self, now: ClockTime) -> Vec<EntryNode> {
        let mut records: Vec<&MemberRecord> = self.linked(now).collect();
        if records.is_empty() {
            records = self.live().collect();
        }
        let entries = records.into_iter().map(|record| EntryNode {
            name: record.name.clone(),
            address: record.client_address,
            data_centre: record.data_centre.clone(),
            region: record.region.clone(),
        });
        entries.collect()
    }

    /// Number of nodes that may have spent from the shared retry budget lately; at least 1.
    pub fn recent_node_count(&self) -> usize {
        self.members.len().max(1)
    }
}
