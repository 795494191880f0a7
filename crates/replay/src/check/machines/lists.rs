//! Checks that no entry returns to an earlier version of the lists and that no two documents have
//! the same version number.
//!
//! Node 0 is the key-value service together with the operators; it may be restored from an old
//! backup. Nodes 1 and 2 watch it; the other entries receive the lists by pushes and probes only.
//! Before an operator's change is accepted, all entries are asked for their versions. A restored
//! service therefore accepts no change until it has received the latest version back from an entry.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    ids::NodeId,
    lists::{
        KeyValueReport, ListDelta, ListDocument, ListMessage, ListReplicator, ListSnapshot,
        ListVersion, PlanEntry, ReplicationEffect, VersionSummary,
    },
    plans::PlanLimits,
};
use rand::Rng;

use crate::check::{CheckedMachine, StepContext};

/// Number of entries; they are the nodes from 1 on.
const ENTRIES: usize = 4;
/// Number of entries that watch the key-value service: the first ones.
const WATCHERS: usize = 2;
/// Interval at which an entry sends its version to a random peer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a watcher reads the head again, as it does after an interrupted watch.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// Records whether an entry returned to an earlier version.
pub struct ListsMachine {
    bug: Option<ListsBug>,
    violation: Option<String>,
}

/// Bugs that can be planted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListsBug {
    /// An entry accepts every snapshot that it receives, even of an earlier version.
    TakeAny,
    /// The service accepts a change without asking the entries for their versions.
    BlindApply,
    /// Entries do not write the version that they hold back to a restored service.
    NoWriteBack,
}

/// A message between nodes.
#[derive(Debug, Clone)]
pub enum ListsMessage {
    /// Between entries: a message of the replicator.
    List(ListMessage),
    /// Between entries: the version that a probe carries.
    Summary(VersionSummary),
    /// Entry to service: reads the head.
    Read,
    /// Service to entry: the head, which is the latest accepted version.
    Head {
        /// The document with its version.
        snapshot: Box<ListSnapshot>,
        /// Revision at which the head was written.
        revision: i64,
    },
    /// Service to watcher: an accepted change.
    Change(Box<ListDelta>),
    /// Entry to service: replaces the head, on condition that it still has the given revision.
    WriteBack {
        /// The document with its version.
        snapshot: Box<ListSnapshot>,
        /// The revision that the head must have.
        revision: i64,
    },
    /// Operator to entry: asks which version the entry holds, for the change with this number.
    RequestVersion(u64),
    /// Entry to operator: the number of the change and the version that the entry holds.
    HeldVersion(u64, ListVersion),
}

/// State of the key-value service or of an entry.
#[derive(Default)]
pub struct ListsNode {
    replicator: Option<ListReplicator>,
    last_probe_at: ClockTime,
    last_read_at: ClockTime,
    store: ListStore,
}

/// The key-value service's head, its backups, and the pending change of an operator.
#[derive(Default)]
struct ListStore {
    head: ListSnapshot,
    revision: i64,
    backups: Vec<(ListSnapshot, i64)>,
    /// Number of the pending change. A new number makes answers to earlier requests invalid.
    pending_change: u64,
    /// The entries that have answered for the pending change.
    answered: [bool; ENTRIES + 1],
}

impl ListsMachine {
    fn apply_effects(
        &mut self,
        node: &mut ListsNode,
        before: ListVersion,
        effects: Vec<ReplicationEffect>,
        context: &mut StepContext<'_, ListsMessage>,
    ) {
        let Some(replicator) = &node.replicator else { return };
        let after = replicator.replica().version();
        if before.supersedes(&after) || before.number > after.number {
            self.violation = Some(format!(
                "node {} went from version {} to {}",
                context.index, before.number, after.number
            ));
        }
        for effect in effects {
            match effect {
                ReplicationEffect::Send { to, message } => {
                    context.send(to.0 as usize, ListsMessage::List(message));
                }
                ReplicationEffect::ReadKeyValue => context.send(0, ListsMessage::Read),
                ReplicationEffect::WriteBack { revision, .. }
                    if self.bug != Some(ListsBug::NoWriteBack) =>
                {
                    let snapshot = Box::new(replicator.replica().snapshot().clone());
                    context.send(0, ListsMessage::WriteBack { snapshot, revision });
                }
                _ => {}
            }
        }
    }

    fn receive_at_entry(
        &mut self,
        node: &mut ListsNode,
        from: usize,
        message: ListsMessage,
        context: &mut StepContext<'_, ListsMessage>,
    ) {
        let Some(replicator) = &mut node.replicator else { return };
        let before = replicator.replica().version();
        let peer = NodeId(from as u32);
        let effects = match message {
            ListsMessage::List(ListMessage::Snapshot(snapshot))
                if self.bug == Some(ListsBug::TakeAny) =>
            {
                *replicator =
                    ListReplicator::start(context.now, context.index <= WATCHERS, context.rng);
                replicator.set_peers(peers_of(context.index));
                replicator.on_key_value_report(KeyValueReport::Snapshot(snapshot), context.rng)
            }
            ListsMessage::List(message) => {
                replicator.on_message(context.now, peer, message, context.rng)
            }
            ListsMessage::Summary(summary) => replicator.on_summary(context.now, peer, summary),
            ListsMessage::Change(delta) => {
                replicator.on_key_value_report(KeyValueReport::Change(delta), context.rng)
            }
            ListsMessage::Head { snapshot, revision } => {
                let version = snapshot.version;
                let report = KeyValueReport::Head { version, revision };
                let mut effects = replicator.on_key_value_report(report, context.rng);
                if version.supersedes(&replicator.replica().version()) {
                    let report = KeyValueReport::Snapshot(snapshot);
                    effects.extend(replicator.on_key_value_report(report, context.rng));
                }
                effects
            }
            ListsMessage::RequestVersion(number) => {
                context.send(from, ListsMessage::HeldVersion(number, before));
                Vec::new()
            }
            _ => Vec::new(),
        };
        self.apply_effects(node, before, effects, context);
    }
}

impl ListStore {
    fn receive(
        &mut self,
        from: usize,
        message: ListsMessage,
        context: &mut StepContext<'_, ListsMessage>,
    ) {
        match message {
            ListsMessage::Read => {
                let snapshot = Box::new(self.head.clone());
                context.send(from, ListsMessage::Head { snapshot, revision: self.revision });
            }
            ListsMessage::WriteBack { snapshot, revision } if revision == self.revision => {
                self.replace_head(*snapshot);
            }
            ListsMessage::HeldVersion(number, version) if number == self.pending_change => {
                self.answered[from] = true;
                if version.supersedes(&self.head.version) {
                    self.pending_change += 1;
                } else if self.answered[1..].iter().all(|answered| *answered) {
                    self.accept_change(context);
                }
            }
            _ => {}
        }
    }

    /// Makes a backup and replaces the head.
    fn replace_head(&mut self, snapshot: ListSnapshot) {
        self.backups.push((self.head.clone(), self.revision));
        self.head = snapshot;
        self.revision += 1;
        // Cancels the pending change, which was prepared for the previous head.
        self.pending_change += 1;
    }

    /// Accepts a change with a random limit and reports it to the watchers.
    fn accept_change(&mut self, context: &mut StepContext<'_, ListsMessage>) {
        let limits = PlanLimits { requests_per_second: context.rng.random(), ..Default::default() };
        let document = ListDocument {
            plans: [("gold".to_string(), PlanEntry { limits, weight: 1 })].into(),
            ..ListDocument::default()
        };
        let delta = ListDelta::next(&self.head, &document);
        for watcher in 1..=WATCHERS {
            context.send(watcher, ListsMessage::Change(Box::new(delta.clone())));
        }
        self.replace_head(ListSnapshot { version: delta.to, document });
    }
}

fn peers_of(index: usize) -> Vec<NodeId> {
    (1..=ENTRIES).filter(|peer| *peer != index).map(|peer| NodeId(peer as u32)).collect()
}

impl CheckedMachine for ListsMachine {
    type Node = ListsNode;
    type Message = ListsMessage;
    type Bug = ListsBug;

    const NAME: &'static str = "lists";
    const BUGS: &'static [(&'static str, ListsBug)] = &[
        ("take-any", ListsBug::TakeAny),
        ("blind-apply", ListsBug::BlindApply),
        ("no-write-back", ListsBug::NoWriteBack),
    ];
    const NODES: usize = ENTRIES + 1;
    const FAULT_FREE_NODES: usize = 1;
    const MAX_ADVANCE_MICROS: u64 = 3_000_000;

    fn create(bug: Option<ListsBug>) -> ListsMachine {
        ListsMachine { bug, violation: None }
    }

    fn start(
        &mut self,
        context: &mut StepContext<'_, ListsMessage>,
        _previous: Option<ListsNode>,
    ) -> ListsNode {
        let mut node = ListsNode {
            last_probe_at: context.now,
            last_read_at: context.now,
            ..Default::default()
        };
        if context.index > 0 {
            let watches = context.index <= WATCHERS;
            let mut replicator = ListReplicator::start(context.now, watches, context.rng);
            replicator.set_peers(peers_of(context.index));
            node.replicator = Some(replicator);
        }
        node
    }

    fn receive(
        &mut self,
        node: &mut ListsNode,
        from: usize,
        message: ListsMessage,
        context: &mut StepContext<'_, ListsMessage>,
    ) {
        match context.index {
            0 => node.store.receive(from, message, context),
            _ => self.receive_at_entry(node, from, message, context),
        }
    }

    fn tick(&mut self, node: &mut ListsNode, context: &mut StepContext<'_, ListsMessage>) {
        let Some(replicator) = &mut node.replicator else { return };
        let before = replicator.replica().version();
        let effects = replicator.on_timer(context.now, context.rng);
        if context.now.since(node.last_probe_at) >= PROBE_INTERVAL {
            node.last_probe_at = context.now;
            let peers = peers_of(context.index);
            let peer = peers[context.rng.random_range(0..peers.len())];
            context.send(peer.0 as usize, ListsMessage::Summary(replicator.summary()));
        }
        if context.index <= WATCHERS && context.now.since(node.last_read_at) >= REREAD_INTERVAL {
            node.last_read_at = context.now;
            context.send(0, ListsMessage::Read);
        }
        self.apply_effects(node, before, effects, context);
    }

    fn perform_action(
        &mut self,
        node: &mut ListsNode,
        context: &mut StepContext<'_, ListsMessage>,
    ) {
        if context.index > 0 {
            return;
        }
        let store = &mut node.store;
        if context.rng.random_ratio(1, 4) && !store.backups.is_empty() {
            let backup = context.rng.random_range(0..store.backups.len());
            (store.head, store.revision) = store.backups[backup].clone();
            store.backups.truncate(backup);
            store.pending_change += 1;
        } else if self.bug == Some(ListsBug::BlindApply) {
            store.accept_change(context);
        } else {
            store.pending_change += 1;
            store.answered = [false; ENTRIES + 1];
            for entry in 1..=ENTRIES {
                context.send(entry, ListsMessage::RequestVersion(store.pending_change));
            }
        }
    }

    fn check_invariant(&self, nodes: &[Option<ListsNode>], _now: ClockTime) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let replicators = nodes.iter().flatten().filter_map(|node| node.replicator.as_ref());
        let mut held: Vec<ListVersion> =
            replicators.map(|replicator| replicator.replica().version()).collect();
        held.sort();
        let conflict = held
            .windows(2)
            .find(|pair| pair[0].number == pair[1].number && pair[0].digest != pair[1].digest);
        match conflict {
            Some(pair) => Err(format!("two documents have the version number {}", pair[0].number)),
            None => Ok(()),
        }
    }

    fn check_after_settling(
        &self,
        nodes: &[Option<ListsNode>],
        _now: ClockTime,
    ) -> Result<(), String> {
        let head = nodes[0].as_ref().map_or(0, |node| node.store.head.version.number);
        let replicators = nodes.iter().flatten().filter_map(|node| node.replicator.as_ref());
        let held: Vec<u64> =
            replicators.map(|replicator| replicator.replica().version().number).collect();
        if held.iter().any(|number| *number != head) {
            return Err(format!(
                "entries hold versions {held:?} after settling, the service holds {head}"
            ));
        }
        Ok(())
    }
}
