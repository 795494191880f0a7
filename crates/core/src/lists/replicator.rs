//! Replicates list versions between nodes by gossip.
//!
//! A node that receives a new version from the key-value service or from a peer pushes the delta to
//! three random peers. Pushes miss a few nodes by chance. Those nodes notice the newer version in
//! the summary on the next probe and request the missing deltas from its sender. A restarted node
//! asks its peers first and reads the key-value service after a random delay, so that simultaneous
//! restarts do not overload the service.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use super::{ApplyOutcome, ListDelta, ListReplica, ListSnapshot, ListVersion, VersionSummary};
use crate::{
    clock::{ClockTime, TimerQueue},
    ids::NodeId,
};

/// Number of random peers that each new delta is pushed to. With 3, a push reaches about 94 % of
/// the nodes.
pub const PUSH_FANOUT: usize = 3;
/// Time to wait for the response to a repair request before another one may be sent.
pub const REPAIR_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest random delay of a node's first read of the key-value service after it starts.
pub const KEY_VALUE_READ_JITTER: Duration = Duration::from_secs(1);

/// Messages that two nodes exchange to replicate the lists.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ListMessage {
    /// Pushes a newly accepted version as a delta.
    Push(Box<ListDelta>),
    /// Requests every version after the sender's.
    RepairRequest {
        /// The sender's active version.
        have: ListVersion,
    },
    /// Response to a repair request: consecutive deltas from the requested version on.
    Deltas(Vec<ListDelta>),
    /// Response to a repair request whose deltas are no longer kept: the whole document.
    Snapshot(Box<ListSnapshot>),
}

/// Data that a node read from the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyValueReport {
    /// A change key was written.
    Change(Box<ListDelta>),
    /// Current value of `lists/head`, with its revision for compare-and-swap.
    Head {
        /// The version in `lists/head`; version 0 if the key does not exist.
        version: ListVersion,
        /// Revision of `lists/head`; 0 if the key does not exist.
        revision: i64,
    },
    /// The stored snapshot: the whole document.
    Snapshot(Box<ListSnapshot>),
}

/// Actions that the host must perform after an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicationEffect {
    /// Send a message to a peer.
    Send {
        /// Receiving node.
        to: NodeId,
        /// Message to send.
        message: ListMessage,
    },
    /// A new version became active in the replica; the host starts to use its document.
    Activate(ListVersion),
    /// Read `lists/head` and the deltas or the snapshot it refers to, and pass them to
    /// [`ListReplicator::on_key_value_report`].
    ReadKeyValue,
    /// The service stores an older version than this node, because it was restored from an old
    /// backup: write the active snapshot back as head and snapshot, if `lists/head` still has
    /// `revision`. `apply` is rejected until the head is at least the versions that entries report.
    WriteBack {
        /// Version to write, which is the active one.
        version: ListVersion,
        /// Expected revision of `lists/head`; the write fails if it differs.
        revision: i64,
    },
    /// Two different documents have the same version number; the superseding one is kept. The host
    /// logs this as an error.
    Conflict {
        /// Version that stays active.
        kept: ListVersion,
        /// Version that is discarded.
        dropped: ListVersion,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplicationTimer {
    /// Requests the lists from peers, until a version arrives.
    AskPeers,
    /// Reads the key-value service.
    ReadKeyValue,
}

/// State machine that keeps one node's lists up to date.
#[derive(Debug, Clone)]
pub struct ListReplicator {
    replica: ListReplica,
    peers: Vec<NodeId>,
    timers: TimerQueue<ReplicationTimer>,
    /// Earliest time of the next repair request that a version summary may trigger.
    next_repair_at: ClockTime,
    /// Whether this node watches the key-value service.
    is_watcher: bool,
}

impl ListReplicator {
    /// Starts with empty lists. Peers are asked at the first timer, the key-value service after a
    /// random delay of at most [`KEY_VALUE_READ_JITTER`].
    pub fn start(now: ClockTime, is_watcher: bool, rng: &mut impl Rng) -> ListReplicator {
        let mut timers = TimerQueue::new();
        timers.schedule(now, ReplicationTimer::AskPeers);
        let jitter = rng.random_range(0..=KEY_VALUE_READ_JITTER.as_micros() as u64);
        timers.schedule(now + Duration::from_micros(jitter), ReplicationTimer::ReadKeyValue);
        ListReplicator {
            replica: ListReplica::new(),
            peers: Vec::new(),
            timers,
            next_repair_at: ClockTime::ZERO,
            is_watcher,
        }
    }

    /// Returns this node's copy of the lists.
    pub fn replica(&self) -> &ListReplica {
        &self.replica
    }

    /// Sets the live peers, which deltas are pushed to.
    pub fn set_peers(&mut self, peers: Vec<NodeId>) {
        self.peers = peers;
    }

    /// Sets whether this node watches the key-value service. A node that becomes a watcher reads
    /// the head at its next timer.
    pub fn set_watcher(&mut self, now: ClockTime, is_watcher: bool) {
        if is_watcher && !self.is_watcher {
            self.timers.schedule(now, ReplicationTimer::ReadKeyValue);
        }
        self.is_watcher = is_watcher;
    }

    /// Returns the version summary to send on this node's probes.
    pub fn summary(&self) -> VersionSummary {
        self.replica.version().summary()
    }

    /// Returns the time of the next call of [`ListReplicator::on_timer`].
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles every timer that is due at `now`.
    pub fn on_timer(&mut self, now: ClockTime, rng: &mut impl Rng) -> Vec<ReplicationEffect> {
        let mut effects = Vec::new();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                ReplicationTimer::AskPeers if !self.replica.is_ready() => {
                    let have = self.replica.version();
                    for &to in self.peers.choose_multiple(rng, PUSH_FANOUT) {
                        let message = ListMessage::RepairRequest { have };
                        effects.push(ReplicationEffect::Send { to, message });
                    }
                    self.timers.schedule(now + REPAIR_TIMEOUT, ReplicationTimer::AskPeers);
                }
                ReplicationTimer::AskPeers => {}
                // A node that is no watcher reads the service only until it has a version.
                ReplicationTimer::ReadKeyValue if self.is_watcher => {
                    effects.push(ReplicationEffect::ReadKeyValue)
                }
                ReplicationTimer::ReadKeyValue if !self.replica.is_ready() => {
                    effects.push(ReplicationEffect::ReadKeyValue);
                    self.timers
                        .schedule(now + KEY_VALUE_READ_JITTER, ReplicationTimer::ReadKeyValue);
                }
                ReplicationTimer::ReadKeyValue => {}
            }
        }
        effects
    }

    /// Handles the version summary on a peer's probe. Requests a repair if the peer is ahead and no
    /// other request is pending.
    pub fn on_summary(
        &mut self,
        now: ClockTime,
        from: NodeId,
        summary: VersionSummary,
    ) -> Vec<ReplicationEffect> {
        if summary <= self.summary() || now < self.next_repair_at {
            return Vec::new();
        }
        self.next_repair_at = now + REPAIR_TIMEOUT;
        vec![self.request_repair(from)]
    }

    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        now: ClockTime,
        from: NodeId,
        message: ListMessage,
        rng: &mut impl Rng,
    ) -> Vec<ReplicationEffect> {
        let mut effects = Vec::new();
        match message {
            ListMessage::Push(delta) => match self.apply_delta(&delta, &mut effects) {
                ApplyOutcome::Accepted => self.push(&delta, Some(from), rng, &mut effects),
                ApplyOutcome::NeedsSnapshot => {
                    effects.extend(self.on_summary(now, from, delta.to.summary()));
                }
                _ => {}
            },
            ListMessage::RepairRequest { have } => effects.extend(self.answer_repair(from, &have)),
            ListMessage::Deltas(deltas) => {
                self.next_repair_at = now;
                for delta in &deltas {
                    if self.apply_delta(delta, &mut effects) == ApplyOutcome::NeedsSnapshot {
                        effects.push(self.request_repair(from));
                        break;
                    }
                }
            }
            ListMessage::Snapshot(snapshot) => {
                self.next_repair_at = now;
                self.apply_snapshot(&snapshot, &mut effects);
            }
        }
        effects
    }

    /// Handles data that this node read from the key-value service.
    pub fn on_key_value_report(
        &mut self,
        report: KeyValueReport,
        rng: &mut impl Rng,
    ) -> Vec<ReplicationEffect> {
        let mut effects = Vec::new();
        match report {
            KeyValueReport::Change(delta) => match self.apply_delta(&delta, &mut effects) {
                ApplyOutcome::Accepted => self.push(&delta, None, rng, &mut effects),
                // Reading the head also resolves a conflict: if the active version supersedes the
                // stored one, the read leads to a write-back.
                ApplyOutcome::NeedsSnapshot | ApplyOutcome::ConflictRejected => {
                    effects.push(ReplicationEffect::ReadKeyValue);
                }
                _ => {}
            },
            KeyValueReport::Head { version, revision } => {
                let active = self.replica.version();
                if active.supersedes(&version) {
                    effects.push(ReplicationEffect::WriteBack { version: active, revision });
                }
            }
            KeyValueReport::Snapshot(snapshot) => {
                let base = self.replica.snapshot().clone();
                if self.apply_snapshot(&snapshot, &mut effects) == ApplyOutcome::Accepted
                    && base.version.digest == snapshot.version.parent
                {
                    let delta = ListDelta::next(&base, &snapshot.document);
                    self.push(&delta, None, rng, &mut effects);
                }
            }
        }
        effects
    }

    fn apply_delta(
        &mut self,
        delta: &ListDelta,
        effects: &mut Vec<ReplicationEffect>,
    ) -> ApplyOutcome {
        let active = self.replica.version();
        let outcome = self.replica.apply_delta(delta);
        push_outcome_effects(outcome, active, delta.to, effects);
        outcome
    }

    fn apply_snapshot(
        &mut self,
        snapshot: &ListSnapshot,
        effects: &mut Vec<ReplicationEffect>,
    ) -> ApplyOutcome {
        let active = self.replica.version();
        let outcome = self.replica.apply_snapshot(snapshot);
        push_outcome_effects(outcome, active, snapshot.version, effects);
        outcome
    }

    fn push(
        &self,
        delta: &ListDelta,
        from: Option<NodeId>,
        rng: &mut impl Rng,
        effects: &mut Vec<ReplicationEffect>,
    ) {
        // One more peer is drawn because the sender may be among them.
        let drawn = self.peers.choose_multiple(rng, PUSH_FANOUT + 1);
        let peers = drawn.filter(|peer| Some(**peer) != from).take(PUSH_FANOUT);
        effects.extend(peers.map(|&to| ReplicationEffect::Send {
            to,
            message: ListMessage::Push(Box::new(delta.clone())),
        }));
    }

    fn request_repair(&self, to: NodeId) -> ReplicationEffect {
        let message = ListMessage::RepairRequest { have: self.replica.version() };
        ReplicationEffect::Send { to, message }
    }

    fn answer_repair(&self, to: NodeId, have: &ListVersion) -> Option<ReplicationEffect> {
        if !self.replica.version().supersedes(have) {
            return None;
        }
        let message = match self.replica.deltas_since(have) {
            Some(deltas) => ListMessage::Deltas(deltas),
            None => ListMessage::Snapshot(Box::new(self.replica.snapshot().clone())),
        };
        Some(ReplicationEffect::Send { to, message })
    }
}

/// Adds the effects of applying `offered` to a replica whose active version was `active`.
fn push_outcome_effects(
    outcome: ApplyOutcome,
    active: ListVersion,
    offered: ListVersion,
    effects: &mut Vec<ReplicationEffect>,
) {
    let replaced = active.number == offered.number && outcome == ApplyOutcome::Accepted;
    if replaced {
        effects.push(ReplicationEffect::Conflict { kept: offered, dropped: active });
    }
    match outcome {
        ApplyOutcome::Accepted => effects.push(ReplicationEffect::Activate(offered)),
        ApplyOutcome::ConflictRejected => {
            effects.push(ReplicationEffect::Conflict { kept: active, dropped: offered });
        }
        _ => {}
    }
}
