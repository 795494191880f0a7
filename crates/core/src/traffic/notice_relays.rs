//! Decides through which nodes notices reach all others.
//!
//! In a large fleet, a node sends its notices to a relay in its data centre. The relay joins those
//! of many nodes and sends them to the nodes of its data centre, and to one relay in each other data
//! centre, which does so there. The number of datagrams that a node sends and receives then follows
//! from the size of the notices rather than from the number of nodes. Any node relays what it is
//! asked to, so nodes need not agree on who the relays are.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use crate::{clock::ClockTime, rendezvous::rendezvous_score};

/// Number of other nodes from which on notices are relayed.
pub const MIN_RELAYED_NODES: usize = 40;
/// Nodes of a data centre that may be its relay, in their order.
const CANDIDATES: usize = 3;
/// Interval at which candidates show that they are alive.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A candidate that was not heard for this long is passed over. Two heartbeats may be lost.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(800);

/// A node as far as relaying depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayPeer {
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Identifies the data centre.
    data_centre: u64,
    /// Position among the candidates: high bandwidth comes first, as a relay sends to many.
    rank: (u32, u64),
    /// When this node learned of the incarnation.
    known_since: ClockTime,
}

impl RelayPeer {
    /// Describes the node `name` of a data centre.
    pub fn new(
        name: &str,
        incarnation: u64,
        data_centre: &str,
        link_mbps: u32,
        known_since: ClockTime,
    ) -> RelayPeer {
        RelayPeer {
            incarnation,
            data_centre: rendezvous_score(data_centre.as_bytes(), 0),
            rank: (link_mbps, rendezvous_score(name.as_bytes(), 0)),
            known_since,
        }
    }
}

/// A relay of this node's data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayTarget {
    /// This node.
    Own,
    /// Another node, by its position in the list that the plan was made for.
    Peer(usize),
}

/// Where notices go. Numbers are positions in the list of other nodes that the plan was made for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// Relays of this data centre: the first one takes all notices, the second one those that must
    /// not be lost as well.
    pub relays: Vec<RelayTarget>,
    /// The other nodes of this data centre.
    pub neighbours: Vec<usize>,
    /// The node of each other data centre to which this node relays.
    pub remote_relays: Vec<usize>,
    /// Nodes to which this node shows that it is alive; empty unless it is a candidate.
    pub heartbeat_targets: Vec<usize>,
}

/// When other nodes were heard last.
#[derive(Debug, Clone, Default)]
pub struct RelayTable {
    heard: HashMap<u64, ClockTime>,
}

impl RelayTable {
    /// Records that a datagram of a node has arrived.
    pub fn on_heard(&mut self, now: ClockTime, incarnation: u64) {
        self.heard.insert(incarnation, now);
    }

    /// Forgets nodes that were not heard for long.
    pub fn expire(&mut self, now: ClockTime) {
        self.heard.retain(|_, at| now.since(*at) < 2 * CANDIDATE_TIMEOUT);
    }

    /// Plans where the notices of this node, and those that it relays, go.
    pub fn plan(&self, now: ClockTime, own: RelayPeer, peers: &[RelayPeer]) -> RelayPlan {
        let mut plan = RelayPlan::default();
        let mut order: Vec<usize> = (0..peers.len()).collect();
        order.sort_unstable_by_key(|&index| (peers[index].data_centre, Reverse(peers[index].rank)));
        let local = order.iter().filter(|&&index| peers[index].data_centre == own.data_centre);
        plan.neighbours = local.copied().collect();
        plan.relays = self.local_relays(now, own, peers, &plan.neighbours);
        let ahead = plan.neighbours.iter().filter(|&&index| peers[index].rank > own.rank).count();
        let is_first = plan.relays.first() == Some(&RelayTarget::Own);
        let is_candidate = ahead < CANDIDATES;
        if is_candidate {
            plan.heartbeat_targets.clone_from(&plan.neighbours);
        }
        let by_data_centre =
            order.chunk_by(|&one, &other| peers[one].data_centre == peers[other].data_centre);
        for data_centre in by_data_centre {
            if peers[data_centre[0]].data_centre == own.data_centre {
                continue;
            }
            let candidates = &data_centre[..data_centre.len().min(CANDIDATES)];
            if is_candidate {
                plan.heartbeat_targets.extend_from_slice(candidates);
            }
            let mut live = candidates.iter().filter(|&&index| self.is_live(now, &peers[index]));
            // Notices that two relays pass on take different ways, as the remote one may have ended.
            let first = live.next();
            let chosen = if is_first { first } else { live.next().or(first) };
            plan.remote_relays.push(chosen.copied().unwrap_or(candidates[0]));
        }
        plan
    }

    /// Returns the first two live candidates of this node's data centre, or the first one of all if
    /// none is live. `neighbours` are the other nodes there, in the order of their ranks.
    fn local_relays(
        &self,
        now: ClockTime,
        own: RelayPeer,
        peers: &[RelayPeer],
        neighbours: &[usize],
    ) -> Vec<RelayTarget> {
        let ahead = neighbours.partition_point(|&index| peers[index].rank > own.rank);
        let mut candidates: Vec<RelayTarget> =
            neighbours.iter().take(CANDIDATES).map(|&index| RelayTarget::Peer(index)).collect();
        if ahead < CANDIDATES {
            candidates.insert(ahead.min(candidates.len()), RelayTarget::Own);
            candidates.truncate(CANDIDATES);
        }
        let is_live = |target: &&RelayTarget| match target {
            RelayTarget::Own => true,
            RelayTarget::Peer(index) => self.is_live(now, &peers[*index]),
        };
        let live: Vec<RelayTarget> = candidates.iter().filter(is_live).take(2).copied().collect();
        if live.is_empty() { candidates.into_iter().take(1).collect() } else { live }
    }

    fn is_live(&self, now: ClockTime, peer: &RelayPeer) -> bool {
        let heard_at = self.heard.get(&peer.incarnation).copied();
        let since = heard_at.map_or(peer.known_since, |at| at.max(peer.known_since));
        now.since(since) < CANDIDATE_TIMEOUT
    }
}

/// Number of segments of each node that are told apart.
const WINDOW: u64 = u64::BITS as u64;
/// Maximum number of nodes whose segments are remembered. Nodes that restart get new entries.
const MAX_ORIGINS: usize = 4_096;

/// Finds notices that arrive a second time, as those that must not be lost are sent on two ways.
#[derive(Debug, Clone, Default)]
pub struct DuplicateFilter {
    /// For each node, the highest number of a segment that has arrived, and as bits which of the
    /// numbers up to it have.
    seen: HashMap<u64, (u64, u64)>,
}

impl DuplicateFilter {
    /// Records segment `number` of the node `origin`. Returns whether it arrives for the first time.
    /// A number far below the highest one counts as a repetition.
    pub fn is_new(&mut self, origin: u64, number: u64) -> bool {
        if self.seen.len() >= MAX_ORIGINS && !self.seen.contains_key(&origin) {
            self.seen.clear();
        }
        let (highest, bits) = self.seen.entry(origin).or_insert((number, 0));
        if number > *highest {
            let distance = u32::try_from(number - *highest).unwrap_or(u32::MAX);
            *bits = bits.checked_shl(distance).unwrap_or(0);
            *highest = number;
        }
        let age = *highest - number;
        if age >= WINDOW || *bits & (1 << age) != 0 {
            return false;
        }
        *bits |= 1 << age;
        true
    }
}
