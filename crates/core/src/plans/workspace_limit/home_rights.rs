//! Whether this node may grant tokens at all, and which nodes count when homes are ranked.
//!
//! Two nodes must never grant for one slot. These rules see to it:
//!
//! - A node grants while its own record in the platform's store was renewed lately. The record lasts
//!   longer than that right. Without the store, it grants while more than half of the nodes have
//!   lately answered that they still have it among their live nodes.
//! - A node that starts, or whose right has lapsed, grants only after all nodes that count have
//!   answered that they know it. From then on they rank it.
//! - A node whose record has vanished counts until at least half of the nodes have said for
//!   [`REPLACEMENT_TIME`], without interruption, that it is gone. That half shares a node with any
//!   majority that still knows it, and this node's earlier answer has lapsed by then.

use std::{collections::BTreeMap, time::Duration};

use super::{HomeAnswer, HomeCheck, NodeName};
use crate::clock::ClockTime;

/// A renewal of the own record gives the right to grant for this long, counted from when it was sent.
/// Shorter than the lifetime of the record.
const RENEWAL_LIFETIME: Duration = Duration::from_secs(2);
/// An answer of another node counts for this long, from when it was asked.
const ANSWER_LIFETIME: Duration = Duration::from_millis(1_500);
/// Nodes have to say for this long that a node is gone before another one takes its slots. Longer than
/// [`ANSWER_LIFETIME`] by the gap between two homes.
const REPLACEMENT_TIME: Duration = Duration::from_millis(3_100);
/// Other nodes are asked when the last renewal is this old, which is more than a missed renewal.
const RENEWAL_DOUBT_TIME: Duration = Duration::from_millis(1_200);
/// Time between two rounds of questions to nodes that have to confirm something.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The same while the own record is in doubt, or a node is to be replaced.
const LONG_CHECK_INTERVAL: Duration = Duration::from_millis(450);
/// A node that has vanished is forgotten after this time, also if the others were not asked.
const GONE_LIFETIME: Duration = Duration::from_secs(60);
/// Number of vanished nodes that an answer names, so that it fits into a datagram.
const MAX_NAMED_GONE: usize = 60;

#[derive(Debug, Clone, Copy)]
struct PeerAnswer {
    asked_at: ClockTime,
    knows: bool,
}

#[derive(Debug, Clone)]
struct PeerView {
    incarnation: u64,
    /// When its record had vanished, as this node learned; `None` while it is there.
    gone_since: Option<ClockTime>,
    /// Since when at least half of the nodes have said that it is gone.
    agreed_since: Option<ClockTime>,
    /// Its last answer to this node.
    answer: Option<PeerAnswer>,
    /// The nodes that it named as gone in that answer.
    named_gone: Vec<NodeName>,
}

impl PeerView {
    fn new(incarnation: u64, gone_since: Option<ClockTime>) -> PeerView {
        PeerView {
            incarnation,
            gone_since,
            agreed_since: None,
            answer: None,
            named_gone: Vec::new(),
        }
    }

    fn answered_since(&self, from: ClockTime) -> bool {
        self.answer.is_some_and(|answer| answer.asked_at >= from)
    }

    fn is_replaced(&self, now: ClockTime) -> bool {
        self.agreed_since.is_some_and(|since| now.since(since) >= REPLACEMENT_TIME)
    }
}

/// What gives this node the right to grant, and which nodes count.
#[derive(Debug, Clone)]
pub struct HomeRights {
    own: NodeName,
    incarnation: u64,
    peers: BTreeMap<NodeName, PeerView>,
    /// Whether this node's list of nodes contains its own record, so that it contains all nodes that
    /// registered before it.
    is_listed: bool,
    renewed_at: Option<ClockTime>,
    rights_until: ClockTime,
    /// When this node began to ask all others whether they know it.
    joining_since: Option<ClockTime>,
    joined_at: Option<ClockTime>,
    /// Number of incarnations of other nodes that have vanished since this one started, and of lapses
    /// of its own right.
    losses: u64,
    checked_at: Option<ClockTime>,
}

impl HomeRights {
    /// Creates the rights of a node that has just started.
    pub fn new(own: NodeName, incarnation: u64) -> HomeRights {
        HomeRights {
            own,
            incarnation,
            peers: BTreeMap::new(),
            is_listed: false,
            renewed_at: None,
            rights_until: ClockTime::ZERO,
            joining_since: None,
            joined_at: None,
            losses: 0,
            checked_at: None,
        }
    }

    /// Name of this node.
    pub fn own(&self) -> NodeName {
        self.own
    }

    /// Replaces the list of nodes. Each is given with its incarnation and whether its record is there.
    pub fn set_members(
        &mut self,
        now: ClockTime,
        members: impl IntoIterator<Item = (NodeName, u64, bool)>,
    ) {
        let mut listed = false;
        let mut named = BTreeMap::new();
        for (name, incarnation, is_live) in members {
            if name == self.own {
                listed |= is_live && incarnation == self.incarnation;
            } else {
                named.insert(name, (incarnation, is_live));
            }
        }
        self.is_listed = listed;
        for (name, (incarnation, is_live)) in &named {
            let peer = self.peers.entry(*name);
            let peer = peer.or_insert_with(|| PeerView::new(*incarnation, None));
            if *is_live && (peer.incarnation != *incarnation || peer.gone_since.is_some()) {
                self.losses += 1;
                *peer = PeerView::new(*incarnation, None);
            }
            if !is_live && peer.gone_since.is_none() {
                peer.gone_since = Some(now);
                self.losses += 1;
            }
        }
        for (name, peer) in &mut self.peers {
            if !named.contains_key(name) && peer.gone_since.is_none() {
                peer.gone_since = Some(now);
                self.losses += 1;
            }
        }
        self.peers.retain(|name, peer| {
            let is_over = |since| now.since(since) >= GONE_LIFETIME;
            named.contains_key(name)
                || !(peer.is_replaced(now) || peer.gone_since.is_some_and(is_over))
        });
        self.update(now);
    }

    /// Records that the store has renewed or written this node's record by a call sent at `sent_at`.
    pub fn on_renewed(&mut self, now: ClockTime, sent_at: ClockTime) {
        self.renewed_at = Some(sent_at);
        self.extend(now, sent_at + RENEWAL_LIFETIME);
        self.update(now);
    }

    /// Gives up the right to grant, since this node stops.
    pub fn on_stopping(&mut self) {
        self.rights_until = ClockTime::ZERO;
        self.lapse();
        self.is_listed = false;
        self.renewed_at = None;
    }

    /// Records the answer of another node.
    pub fn on_answer(&mut self, now: ClockTime, answer: &HomeAnswer) {
        for name in &answer.gone {
            // A node that this one never knew counts until it is replaced.
            if *name != self.own && !self.peers.contains_key(name) {
                self.peers.insert(*name, PeerView::new(0, Some(now)));
                self.losses += 1;
            }
        }
        let Some(peer) = self.peers.get_mut(&answer.node) else { return };
        let is_old = peer.answer.is_some_and(|known| known.asked_at > answer.asked_at);
        if peer.incarnation != answer.incarnation || answer.asked_at > now || is_old {
            return;
        }
        peer.answer = Some(PeerAnswer { asked_at: answer.asked_at, knows: answer.knows });
        peer.named_gone.clone_from(&answer.gone);
        self.update(now);
    }

    /// Records that another node asks. One that grants although its record is not there counts, and is
    /// not replaced as long as it asks: it may know a majority that this node does not.
    pub fn on_check(&mut self, now: ClockTime, check: &HomeCheck) {
        if !check.grants || check.node == self.own {
            return;
        }
        if !self.peers.contains_key(&check.node) {
            self.losses += 1;
        }
        let peer = self.peers.entry(check.node);
        let peer = peer.or_insert_with(|| PeerView::new(check.incarnation, Some(now)));
        if peer.gone_since.is_some() {
            peer.gone_since = Some(now);
            peer.agreed_since = None;
        }
        self.update(now);
    }

    /// Answers another node, but for the slots that are handed to it.
    pub fn answer(&self, check: &HomeCheck) -> HomeAnswer {
        let peer = self.peers.get(&check.node);
        let is_known =
            |peer: &PeerView| peer.incarnation == check.incarnation && peer.gone_since.is_none();
        let gone = self.peers.iter().filter(|(_, peer)| peer.gone_since.is_some());
        HomeAnswer {
            node: self.own,
            incarnation: self.incarnation,
            asked_at: check.asked_at,
            knows: peer.is_some_and(is_known),
            gone: gone.map(|(name, _)| *name).take(MAX_NAMED_GONE).collect(),
            handed: Vec::new(),
            is_partial: self.losses > 0,
        }
    }

    /// Whether this node may grant for the slots that it is the home of.
    pub fn may_grant(&self, now: ClockTime) -> bool {
        self.joined_at.is_some() && now < self.rights_until
    }

    /// When the right to grant began that this node has now; `None` if it has none.
    pub fn joined_at(&self) -> Option<ClockTime> {
        self.joined_at
    }

    /// When this node began to ask the others whether they know it, for the right that it has or is to
    /// get.
    pub fn joining_since(&self) -> Option<ClockTime> {
        self.joining_since
    }

    /// Counts events after which the grants of another node may be known to nobody.
    pub fn losses(&self) -> u64 {
        self.losses
    }

    /// Nodes that are ranked as homes, this one included.
    pub fn counted(&self, now: ClockTime) -> impl Iterator<Item = NodeName> {
        let others = self.peers.iter().filter(move |(_, peer)| !peer.is_replaced(now));
        others.map(|(name, _)| *name).chain([self.own])
    }

    /// Nodes whose records are there, this one included.
    pub fn live(&self) -> impl Iterator<Item = NodeName> {
        let others = self.peers.iter().filter(|(_, peer)| peer.gone_since.is_none());
        others.map(|(name, _)| *name).chain([self.own])
    }

    /// Returns a check and the nodes to send it to, if one is due. `holds_slots` is whether this node
    /// grants for slots, `succeeds` whether it would for those of nodes that are gone.
    pub fn take_check(
        &mut self,
        now: ClockTime,
        holds_slots: bool,
        succeeds: bool,
    ) -> Option<(HomeCheck, Vec<NodeName>)> {
        let joining = self.joining_since.filter(|_| self.joined_at.is_none());
        let doubt = self.renewed_at.is_none_or(|at| now.since(at) >= RENEWAL_DOUBT_TIME);
        let doubts = doubt && holds_slots;
        let needs_all = doubts || (succeeds && self.joined_at.is_some());
        let interval = match joining {
            Some(_) => CHECK_INTERVAL,
            None if needs_all => LONG_CHECK_INTERVAL,
            None => return None,
        };
        if self.checked_at.is_some_and(|at| now.since(at) < interval) {
            return None;
        }
        self.checked_at = Some(now);
        let is_asked = |peer: &PeerView| {
            let confirmed = joining.is_some_and(|since| {
                peer.answered_since(since) && peer.answer.is_some_and(|answer| answer.knows)
            });
            // Without the store, this node does not learn that one that was gone has come back.
            doubts || (peer.gone_since.is_none() && (!confirmed || self.has_unreplaced(now)))
        };
        let asked = self.peers.iter().filter(|(_, peer)| is_asked(peer));
        let asked = asked.map(|(name, _)| *name).collect();
        let grants = self.may_grant(now);
        let check =
            HomeCheck { node: self.own, incarnation: self.incarnation, asked_at: now, grants };
        Some((check, asked))
    }

    /// Derives what follows from the answers and from the time.
    pub fn update(&mut self, now: ClockTime) {
        self.extend_by_majority(now);
        if now >= self.rights_until {
            self.lapse();
        }
        self.update_agreements(now);
        if self.joined_at.is_some() || !self.is_listed || now >= self.rights_until {
            return;
        }
        let since = *self.joining_since.get_or_insert(now);
        let is_confirmed = |peer: &PeerView| {
            let knows = peer.answer.is_some_and(|answer| answer.knows);
            peer.is_replaced(now)
                || (peer.gone_since.is_none() && knows && peer.answered_since(since))
        };
        if self.peers.values().all(is_confirmed) {
            self.joined_at = Some(now);
        }
    }

    fn has_unreplaced(&self, now: ClockTime) -> bool {
        self.peers.values().any(|peer| peer.gone_since.is_some() && !peer.is_replaced(now))
    }

    fn lapse(&mut self) {
        // Another node may have granted meanwhile.
        self.losses += u64::from(self.joined_at.is_some());
        self.joined_at = None;
        self.joining_since = None;
    }

    /// Extends the right to grant. It lapses first if it had ended.
    fn extend(&mut self, now: ClockTime, until: ClockTime) {
        if now >= self.rights_until {
            self.lapse();
        }
        self.rights_until = self.rights_until.max(until);
    }

    /// Extends the right to grant by the answers of more than half of the nodes.
    fn extend_by_majority(&mut self, now: ClockTime) {
        // Only a node that had the right can keep it in this way.
        if self.joined_at.is_none() || now >= self.rights_until {
            return;
        }
        let knowing = self.peers.values().filter(|peer| peer.gone_since.is_none());
        let knowing = knowing.filter_map(|peer| peer.answer.filter(|answer| answer.knows));
        let mut times: Vec<ClockTime> = knowing.map(|answer| answer.asked_at).collect();
        times.push(now);
        let needed = self.peers.len().div_ceil(2) + 1;
        times.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(oldest) = times.get(needed - 1) {
            let until = *oldest + ANSWER_LIFETIME;
            self.rights_until = self.rights_until.max(until);
        }
    }

    /// Counts for each vanished node how many say now that it is gone.
    fn update_agreements(&mut self, now: ClockTime) {
        let nodes = self.peers.len() + 1;
        let gone: Vec<(NodeName, ClockTime)> = self
            .peers
            .iter()
            .filter_map(|(name, peer)| peer.gone_since.map(|since| (*name, since)))
            .collect();
        for (name, since) in gone {
            let says_gone = |peer: &&PeerView| {
                let is_fresh = peer.answer.is_some_and(|answer| {
                    answer.asked_at >= since && now.since(answer.asked_at) < ANSWER_LIFETIME
                });
                is_fresh && peer.named_gone.contains(&name)
            };
            let agreeing = 1 + self.peers.values().filter(says_gone).count();
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            if peer.is_replaced(now) {
                continue;
            }
            if 2 * agreeing < nodes {
                peer.agreed_since = None;
            } else {
                peer.agreed_since.get_or_insert(now);
            }
        }
    }
}
