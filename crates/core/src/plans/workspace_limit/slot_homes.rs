//! The slots that this node is the home of, and the homes of all slots.

use std::{collections::BTreeMap, time::Duration};

use super::{
    AskOutcome, HANDOVER_GAP, HandedSlot, HomeAnswer, NamedLimit, NodeName, SLOTS, SlotBucket,
    SlotKey, SlotShare, TokenAsk, WorkspaceId, WorkspaceLimit,
    home_rights::HomeRights,
    messages::{from_milli, to_micros, to_signed_milli},
};
use crate::clock::ClockTime;

/// Number of slots that an answer hands over, so that it fits into a datagram.
const MAX_HANDED: usize = 12;

/// The slots of all limited workspaces, as this node sees them.
#[derive(Debug, Clone, Default)]
pub struct SlotHomes {
    window: Duration,
    version: u64,
    limits: BTreeMap<WorkspaceId, WorkspaceLimit>,
    /// Limits of later versions of the configuration, as other nodes named them.
    told: BTreeMap<WorkspaceId, (u64, NamedLimit)>,
    /// Invariant: this node is the home of these.
    held: BTreeMap<SlotKey, SlotBucket>,
    /// State of slots that have passed to other nodes. One of these may have granted since, and hands over a
    /// later state itself; the smaller of the two counts.
    closed: BTreeMap<SlotKey, HandedSlot>,
    /// State of slots that their earlier homes have handed to this node.
    handed: BTreeMap<SlotKey, HandedSlot>,
    /// Whether there may be grants of which nobody has told.
    is_partial: bool,
    /// Value of [`HomeRights::losses`] up to which `closed` and `handed` are complete.
    losses: u64,
    /// When this node began the join to which `handed` belongs.
    handed_since: Option<ClockTime>,
    /// Home of each slot among the live nodes.
    homes: BTreeMap<SlotKey, NodeName>,
    /// Slots of which this node is the first among the nodes that count.
    own_slots: Vec<SlotKey>,
    /// Whether this node is to take over slots of nodes that are gone.
    succeeds: bool,
    /// What `homes` and `own_slots` were derived from.
    ranked: (Vec<NodeName>, Vec<NodeName>),
}

impl SlotHomes {
    /// Creates an empty table for windows of a given length.
    pub fn new(window: Duration) -> SlotHomes {
        SlotHomes { window, ..SlotHomes::default() }
    }

    /// Replaces the limits of all workspaces.
    pub fn set_limits(
        &mut self,
        now: ClockTime,
        version: u64,
        limits: BTreeMap<WorkspaceId, WorkspaceLimit>,
    ) {
        self.version = version;
        self.limits = limits;
        self.told.retain(|_, (told, _)| *told > version);
        self.ranked = Default::default();
        let limits = &self.limits;
        self.held.retain(|key, _| limits.contains_key(&key.workspace));
        self.closed.retain(|key, _| limits.contains_key(&key.workspace));
        self.apply_shares(now);
    }

    /// Whether any workspace has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Version of the configuration that the limits are from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limit of a workspace.
    pub fn limit(&self, workspace: WorkspaceId) -> Option<&WorkspaceLimit> {
        self.limits.get(&workspace)
    }

    /// Returns the share of each slot of a workspace.
    pub fn share(&self, workspace: WorkspaceId) -> Option<SlotShare> {
        let mut limit = *self.limits.get(&workspace)?;
        if let Some((_, told)) = self.told.get(&workspace) {
            limit.rate = limit.rate.min(told.rate);
            limit.burst = limit.burst.min(told.burst);
        }
        Some(limit.slot_share(self.window))
    }

    /// Returns the live node that ranks first for a slot.
    pub fn home(&self, key: SlotKey) -> Option<NodeName> {
        self.homes.get(&key).copied()
    }

    /// Whether this node grants for any slot.
    pub fn holds_slots(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether this node is to take over slots of nodes that are gone.
    pub fn succeeds(&self) -> bool {
        self.succeeds
    }

    /// Number of slots that this node grants for.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Opens and closes slots as the rights and the ranking of this node say.
    pub fn update(&mut self, now: ClockTime, rights: &HomeRights, first_start: bool) {
        self.rank(now, rights);
        if self.handed_since != rights.joining_since() {
            self.handed_since = rights.joining_since();
            self.handed.clear();
            self.is_partial = false;
        }
        if self.losses != rights.losses() {
            self.losses = rights.losses();
            self.closed.clear();
            self.handed.clear();
        }
        if !rights.may_grant(now) {
            self.held.clear();
            self.closed.clear();
            return;
        }
        let Some(joined_at) = rights.joined_at() else { return };
        let lost = self.held.keys().filter(|key| !self.own_slots.contains(key));
        for key in lost.copied().collect::<Vec<_>>() {
            self.close(now, key);
        }
        // After any loss, a state that is handed over may be older than grants of which nobody knows.
        let is_complete = rights.losses() == 0 && !self.is_partial;
        for key in self.own_slots.clone() {
            self.closed.remove(&key);
            if self.held.contains_key(&key) {
                continue;
            }
            let Some(share) = self.share(key.workspace) else { continue };
            let bucket = match self.handed.remove(&key) {
                Some(handed) if is_complete => SlotBucket::from_handed(now, share, &handed),
                None if is_complete && first_start => SlotBucket::new(now, share, share.capacity),
                _ if now.since(joined_at) >= HANDOVER_GAP => SlotBucket::new(now, share, 0.0),
                _ => continue,
            };
            self.held.insert(key, bucket);
        }
        if now.since(joined_at) >= HANDOVER_GAP {
            self.handed.clear();
        }
    }

    /// Takes what another node hands to this one.
    pub fn take_handed(&mut self, answer: &HomeAnswer) {
        let is_old = self.handed_since.is_none_or(|since| answer.asked_at < since);
        if !answer.knows || is_old {
            return;
        }
        self.is_partial |= answer.is_partial;
        for handed in &answer.handed {
            let known = self.handed.entry(handed.key).or_insert(*handed);
            known.level = known.level.min(handed.level);
            known.used = known.used.max(handed.used);
            known.due = known.due.max(handed.due);
        }
    }

    /// Adds to an answer what this node hands to the one that asks.
    pub fn hand_over(&self, to: NodeName, answer: &mut HomeAnswer) {
        let closed = self.closed.values();
        let mut closed = closed.filter(|state| first(state.key, &self.ranked.0) == Some(to));
        answer.handed = closed.by_ref().take(MAX_HANDED).copied().collect();
        answer.is_partial |= closed.next().is_some();
    }

    /// Grants tokens, if this node is the home of the slot and may grant.
    pub fn grant(&mut self, now: ClockTime, ask: &TokenAsk) -> AskOutcome {
        self.learn_limit(now, ask);
        let Some(bucket) = self.held.get_mut(&ask.key) else { return AskOutcome::NotHome };
        let level = to_signed_milli(bucket.free_amount(now));
        if ask.amount == 0 {
            return AskOutcome::Short { wait: 0, level };
        }
        let max_delay = Duration::from_micros(ask.max_delay);
        match bucket.take(now, ask.id, from_milli(ask.amount), max_delay) {
            Ok(delay) => AskOutcome::Granted(to_micros(delay)),
            Err(wait) => AskOutcome::Short { wait: to_micros(wait), level },
        }
    }

    /// Takes tokens back. Returns whether there were any.
    pub fn give_back(&mut self, now: ClockTime, key: SlotKey, id: u64) -> bool {
        self.held.get_mut(&key).is_some_and(|bucket| bucket.give_back(now, id))
    }

    fn learn_limit(&mut self, now: ClockTime, ask: &TokenAsk) {
        let Some(limit) = ask.limit else { return };
        let workspace = ask.key.workspace;
        let known = self.told.get(&workspace).map_or(0, |(version, _)| *version);
        let is_usable = limit.rate > 0.0 && limit.rate.is_finite() && limit.burst >= 0.0;
        if ask.version > self.version.max(known) && is_usable {
            self.told.insert(workspace, (ask.version, limit));
            self.apply_shares(now);
        }
    }

    fn apply_shares(&mut self, now: ClockTime) {
        let workspaces: Vec<SlotKey> = self.held.keys().copied().collect();
        for key in workspaces {
            let share = self.share(key.workspace);
            if let (Some(share), Some(bucket)) = (share, self.held.get_mut(&key)) {
                bucket.set_share(now, share);
            }
        }
    }

    fn close(&mut self, now: ClockTime, key: SlotKey) {
        let Some(mut bucket) = self.held.remove(&key) else { return };
        let state = bucket.hand_over(now, key);
        self.closed.insert(key, state);
    }

    /// Ranks the nodes anew if they or the workspaces have changed.
    fn rank(&mut self, now: ClockTime, rights: &HomeRights) {
        let counted: Vec<NodeName> = rights.counted(now).collect();
        let live: Vec<NodeName> = rights.live().collect();
        if self.ranked.0 == counted && self.ranked.1 == live {
            return;
        }
        self.homes.clear();
        self.own_slots.clear();
        self.succeeds = false;
        for workspace in self.limits.keys() {
            for slot in 0..SLOTS {
                let key = SlotKey { workspace: *workspace, slot };
                let home = first(key, &live);
                let holder = first(key, &counted);
                if holder == Some(rights.own()) {
                    self.own_slots.push(key);
                }
                self.succeeds |= home == Some(rights.own()) && holder != home;
                self.homes.extend(home.map(|home| (key, home)));
            }
        }
        self.ranked = (counted, live);
    }
}

fn first(key: SlotKey, nodes: &[NodeName]) -> Option<NodeName> {
    nodes.iter().copied().max_by_key(|node| key.rank(*node))
}
