//! How a version reaches every node.
//!
//! A node that learns a version from the key-value service or from a push sends the delta to
//! three peers. Pushes miss a few nodes by chance; those see the difference in the version
//! summary of the next probe and ask its sender. A node that restarts asks peers first, and the
//! key-value service after a jitter, so that restarts in one second do not meet at the service.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use super::{ApplyOutcome, ListDelta, ListReplica, ListSnapshot, ListVersion, VersionSummary};
use crate::{
    clock::{ClockTime, TimerQueue},
    ids::NodeId,
};

/// Peers that a new delta is pushed to. With 3, a push reaches about 94 % of the nodes.
pub const PUSH_FANOUT: usize = 3;
/// How long an answer to a answer_repair request is awaited before another peer is asked.
pub const REPAIR_TIMEOUT: Duration = Duration::from_millis(500);
/// Reads of the key-value service after a start are replicator over this time.
pub const KEY_VALUE_READ_JITTER: Duration = Duration::from_secs(1);

/// Messages between the list parts of two nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMessage {
    /// A new version.
    Push(Box<ListDelta>),
    /// Asks for what is later than the sender's version.
    RepairRequest {
        /// The version that the sender holds.
        have: ListVersion,
    },
    /// The deltas from the requested version on.
    Deltas(Vec<ListDelta>),
    /// The whole document.
    Snapshot(Box<ListSnapshot>),
}

/// What a watching node read from the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyValueReport {
    /// A change key appeared.
    Change(Box<ListDelta>),
    /// The head as read, with its revision for compare-and-swap.
    Head {
        /// The version in `lists/head`; version 0 if the key does not exist.
        version: ListVersion,
        /// Revision of `lists/head`; 0 if the key does not exist.
        revision: i64,
    },
    /// The whole document.
    Snapshot(Box<ListSnapshot>),
}

/// What the host carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicationEffect {
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: ListMessage,
    },
    /// The held document changed; the host puts it into use.
    Activate(ListVersion),
    /// Read `lists/head`, and the deltas or the snapshot behind it, and report them.
    ReadKeyValue,
    /// The service holds less than this node (restored from an old copy): write the held
    /// snapshot back as head and snapshot, if `lists/head` still has `revision`. `apply` stays
    /// rejected until the head is no lower than the versions that entries report.
    WriteBack {
        /// The held version.
        version: ListVersion,
        /// Revision of `lists/head` to compare.
        revision: i64,
    },
    /// Two documents have one number; the one that supersedes is kept. An error for the log.
    Conflict {
        /// The version kept.
        kept: ListVersion,
        /// The version dropped.
        dropped: ListVersion,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplicationTimer {
    AskPeers,
    ReadKeyValue,
}

/// The list part of one node.
#[derive(Debug, Clone)]
pub struct ListReplicator {
    replica: ListReplica,
    peers: Vec<NodeId>,
    timers: TimerQueue<ReplicationTimer>,
    /// No other answer_repair request is sent before this time.
    next_repair_at: ClockTime,
    /// Whether this node reads and is_watcher the key-value service.
    is_watcher: bool,
}

impl ListReplicator {
    /// Starts a node: peers are asked at once, the service after a jitter.
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

    /// What the node holds.
    pub fn replica(&self) -> &ListReplica {
        &self.replica
    }

    /// Replaces the live peers.
    pub fn set_peers(&mut self, peers: Vec<NodeId>) {
        self.peers = peers;
    }

    /// Sets whether this node is_watcher the service; a new watcher reads the head.
    pub fn set_watcher(&mut self, now: ClockTime, is_watcher: bool) {
        if is_watcher && !self.is_watcher {
            self.timers.schedule(now, ReplicationTimer::ReadKeyValue);
        }
        self.is_watcher = is_watcher;
    }

    /// The summary for this node's probes.
    pub fn summary(&self) -> VersionSummary {
        self.replica.version().summary()
    }

    /// Time of the next timer.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles due timers.
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
                // A node that does not watch reads the service only while it holds nothing.
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

    /// Handles the version summary of a peer's probe.
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

    /// Handles a message of a peer.
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

    /// Handles what this node read from the key-value service.
    pub fn on_key_value_report(
        &mut self,
        report: KeyValueReport,
        rng: &mut impl Rng,
    ) -> Vec<ReplicationEffect> {
        let mut effects = Vec::new();
        match report {
            KeyValueReport::Change(delta) => match self.apply_delta(&delta, &mut effects) {
                ApplyOutcome::Accepted => self.push(&delta, None, rng, &mut effects),
                // Also when the held document has the same number and supersedes: the head read
                // that follows leads to the write-back.
                ApplyOutcome::NeedsSnapshot | ApplyOutcome::ConflictRejected => {
                    effects.push(ReplicationEffect::ReadKeyValue);
                }
                _ => {}
            },
            KeyValueReport::Head { version, revision } => {
                let held = self.replica.version();
                if held.supersedes(&version) {
                    effects.push(ReplicationEffect::WriteBack { version: held, revision });
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
        let held = self.replica.version();
        let outcome = self.replica.apply_delta(delta);
        push_outcome_effects(outcome, held, delta.to, effects);
        outcome
    }

    fn apply_snapshot(
        &mut self,
        snapshot: &ListSnapshot,
        effects: &mut Vec<ReplicationEffect>,
    ) -> ApplyOutcome {
        let held = self.replica.version();
        let outcome = self.replica.apply_snapshot(snapshot);
        push_outcome_effects(outcome, held, snapshot.version, effects);
        outcome
    }

    fn push(
        &self,
        delta: &ListDelta,
        from: Option<NodeId>,
        rng: &mut impl Rng,
        effects: &mut Vec<ReplicationEffect>,
    ) {
        // One more is drawn because the sender may be among them.
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

fn push_outcome_effects(
    outcome: ApplyOutcome,
    held: ListVersion,
    offered: ListVersion,
    effects: &mut Vec<ReplicationEffect>,
) {
    let replaced = held.number == offered.number && outcome == ApplyOutcome::Accepted;
    if replaced {
        effects.push(ReplicationEffect::Conflict { kept: offered, dropped: held });
    }
    match outcome {
        ApplyOutcome::Accepted => effects.push(ReplicationEffect::Activate(offered)),
        ApplyOutcome::ConflictRejected => {
            effects.push(ReplicationEffect::Conflict { kept: held, dropped: offered });
        }
        _ => {}
    }
}
