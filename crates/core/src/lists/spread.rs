//! How a version reaches every node.
//!
//! A node that learns a version from the key-value service or from a push sends the delta to
//! three peers. Pushes miss a few nodes by chance; those see the difference in the version
//! summary of the next probe and ask its sender. A node that restarts asks peers first, and the
//! key-value service after a jitter, so that restarts in one second do not meet at the service.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use super::{ListDelta, ListHolder, ListSnapshot, ListVersion, OfferOutcome, VersionSummary};
use crate::{
    clock::{ClockTime, TimerService},
    ids::NodeId,
};

/// Peers that a new delta is pushed to. With 3, a push reaches about 94 % of the nodes.
pub const PUSH_PEERS: usize = 3;
/// How long an answer to a repair request is awaited before another peer is asked.
pub const REPAIR_TIMEOUT: Duration = Duration::from_millis(500);
/// Reads of the key-value service after a start are spread over this time.
pub const SERVICE_READ_JITTER: Duration = Duration::from_secs(1);

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
pub enum ServiceReport {
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
pub enum SpreadEffect {
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
    ReadService,
    /// The service holds less than this node (restored from an old copy): write the held
    /// snapshot back as head and snapshot, if `lists/head` still has `revision`. `apply` stays
    /// rejected until the head is no lower than the versions that entries report.
    WriteBack {
        /// The held version.
        version: ListVersion,
        /// Revision of `lists/head` to compare.
        revision: i64,
    },
    /// Two documents have one number; the one that outranks is kept. An error for the log.
    Conflict {
        /// The version kept.
        kept: ListVersion,
        /// The version dropped.
        dropped: ListVersion,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SpreadTimer {
    AskPeers,
    ReadService,
}

/// The list part of one node.
#[derive(Debug, Clone)]
pub struct ListSpread {
    holder: ListHolder,
    peers: Vec<NodeId>,
    timers: TimerService<SpreadTimer>,
    /// No other repair request is sent before this time.
    repair_until: ClockTime,
    /// Whether this node reads and watches the key-value service.
    watches: bool,
}

impl ListSpread {
    /// Starts a node: peers are asked at once, the service after a jitter.
    pub fn start(now: ClockTime, watches: bool, rng: &mut impl Rng) -> ListSpread {
        let mut timers = TimerService::new();
        timers.subscribe(now, SpreadTimer::AskPeers);
        let jitter = rng.random_range(0..=SERVICE_READ_JITTER.as_micros() as u64);
        timers.subscribe(now + Duration::from_micros(jitter), SpreadTimer::ReadService);
        ListSpread {
            holder: ListHolder::new(),
            peers: Vec::new(),
            timers,
            repair_until: ClockTime::ZERO,
            watches,
        }
    }

    /// What the node holds.
    pub fn holder(&self) -> &ListHolder {
        &self.holder
    }

    /// Replaces the live peers.
    pub fn set_peers(&mut self, peers: Vec<NodeId>) {
        self.peers = peers;
    }

    /// Sets whether this node watches the service; a new watcher reads the head.
    pub fn set_watches(&mut self, now: ClockTime, watches: bool) {
        if watches && !self.watches {
            self.timers.subscribe(now, SpreadTimer::ReadService);
        }
        self.watches = watches;
    }

    /// The summary for this node's probes.
    pub fn summary(&self) -> VersionSummary {
        self.holder.version().summary()
    }

    /// Time of the next timer.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles due timers.
    pub fn on_timer(&mut self, now: ClockTime, rng: &mut impl Rng) -> Vec<SpreadEffect> {
        let mut effects = Vec::new();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                SpreadTimer::AskPeers if !self.holder.is_ready() => {
                    let have = self.holder.version();
                    for &to in self.peers.choose_multiple(rng, PUSH_PEERS) {
                        let message = ListMessage::RepairRequest { have };
                        effects.push(SpreadEffect::Send { to, message });
                    }
                    self.timers.subscribe(now + REPAIR_TIMEOUT, SpreadTimer::AskPeers);
                }
                SpreadTimer::AskPeers => {}
                // A node that does not watch reads the service only while it holds nothing.
                SpreadTimer::ReadService if self.watches => effects.push(SpreadEffect::ReadService),
                SpreadTimer::ReadService if !self.holder.is_ready() => {
                    effects.push(SpreadEffect::ReadService);
                    self.timers.subscribe(now + SERVICE_READ_JITTER, SpreadTimer::ReadService);
                }
                SpreadTimer::ReadService => {}
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
    ) -> Vec<SpreadEffect> {
        if summary <= self.summary() || now < self.repair_until {
            return Vec::new();
        }
        self.repair_until = now + REPAIR_TIMEOUT;
        vec![self.repair_request(from)]
    }

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        now: ClockTime,
        from: NodeId,
        message: ListMessage,
        rng: &mut impl Rng,
    ) -> Vec<SpreadEffect> {
        let mut effects = Vec::new();
        match message {
            ListMessage::Push(delta) => match self.take_delta(&delta, &mut effects) {
                OfferOutcome::Accepted => self.push(&delta, Some(from), rng, &mut effects),
                OfferOutcome::NeedsSnapshot => {
                    effects.extend(self.on_summary(now, from, delta.to.summary()));
                }
                _ => {}
            },
            ListMessage::RepairRequest { have } => effects.extend(self.repair(from, &have)),
            ListMessage::Deltas(deltas) => {
                self.repair_until = now;
                for delta in &deltas {
                    if self.take_delta(delta, &mut effects) == OfferOutcome::NeedsSnapshot {
                        effects.push(self.repair_request(from));
                        break;
                    }
                }
            }
            ListMessage::Snapshot(snapshot) => {
                self.repair_until = now;
                self.take_snapshot(&snapshot, &mut effects);
            }
        }
        effects
    }

    /// Handles what this node read from the key-value service.
    pub fn on_service(&mut self, report: ServiceReport, rng: &mut impl Rng) -> Vec<SpreadEffect> {
        let mut effects = Vec::new();
        match report {
            ServiceReport::Change(delta) => match self.take_delta(&delta, &mut effects) {
                OfferOutcome::Accepted => self.push(&delta, None, rng, &mut effects),
                // Also when the held document has the same number and outranks: the head read
                // that follows leads to the write-back.
                OfferOutcome::NeedsSnapshot | OfferOutcome::ConflictKept => {
                    effects.push(SpreadEffect::ReadService);
                }
                _ => {}
            },
            ServiceReport::Head { version, revision } => {
                let held = self.holder.version();
                if held.outranks(&version) {
                    effects.push(SpreadEffect::WriteBack { version: held, revision });
                }
            }
            ServiceReport::Snapshot(snapshot) => {
                let base = self.holder.snapshot().clone();
                if self.take_snapshot(&snapshot, &mut effects) == OfferOutcome::Accepted
                    && base.version.digest == snapshot.version.parent
                {
                    let delta = ListDelta::next(&base, &snapshot.document);
                    self.push(&delta, None, rng, &mut effects);
                }
            }
        }
        effects
    }

    fn take_delta(&mut self, delta: &ListDelta, effects: &mut Vec<SpreadEffect>) -> OfferOutcome {
        let held = self.holder.version();
        let outcome = self.holder.offer_delta(delta);
        report_outcome(outcome, held, delta.to, effects);
        outcome
    }

    fn take_snapshot(
        &mut self,
        snapshot: &ListSnapshot,
        effects: &mut Vec<SpreadEffect>,
    ) -> OfferOutcome {
        let held = self.holder.version();
        let outcome = self.holder.offer_snapshot(snapshot);
        report_outcome(outcome, held, snapshot.version, effects);
        outcome
    }

    fn push(
        &self,
        delta: &ListDelta,
        from: Option<NodeId>,
        rng: &mut impl Rng,
        effects: &mut Vec<SpreadEffect>,
    ) {
        // One more is drawn because the sender may be among them.
        let drawn = self.peers.choose_multiple(rng, PUSH_PEERS + 1);
        let peers = drawn.filter(|peer| Some(**peer) != from).take(PUSH_PEERS);
        effects.extend(peers.map(|&to| SpreadEffect::Send {
            to,
            message: ListMessage::Push(Box::new(delta.clone())),
        }));
    }

    fn repair_request(&self, to: NodeId) -> SpreadEffect {
        let message = ListMessage::RepairRequest { have: self.holder.version() };
        SpreadEffect::Send { to, message }
    }

    fn repair(&self, to: NodeId, have: &ListVersion) -> Option<SpreadEffect> {
        if !self.holder.version().outranks(have) {
            return None;
        }
        let message = match self.holder.deltas_since(have) {
            Some(deltas) => ListMessage::Deltas(deltas),
            None => ListMessage::Snapshot(Box::new(self.holder.snapshot().clone())),
        };
        Some(SpreadEffect::Send { to, message })
    }
}

fn report_outcome(
    outcome: OfferOutcome,
    held: ListVersion,
    offered: ListVersion,
    effects: &mut Vec<SpreadEffect>,
) {
    let replaced = held.number == offered.number && outcome == OfferOutcome::Accepted;
    if replaced {
        effects.push(SpreadEffect::Conflict { kept: offered, dropped: held });
    }
    match outcome {
        OfferOutcome::Accepted => effects.push(SpreadEffect::Activate(offered)),
        OfferOutcome::ConflictKept => {
            effects.push(SpreadEffect::Conflict { kept: held, dropped: offered });
        }
        _ => {}
    }
}
