//! Tests of a fleet of failure detectors with a simulated network and clock.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};

use super::*;
use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
    lists::{EntryVm, ListDocument},
};

/// Simulated time per step. Messages are delivered one step after they are sent.
const STEP: Duration = Duration::from_millis(20);

struct MemberFleet {
    now: ClockTime,
    nodes: BTreeMap<NodeId, FailureDetector>,
    /// Pairs of nodes, lower number first, whose messages to each other are lost.
    lost_links: BTreeSet<(NodeId, NodeId)>,
    queue: VecDeque<(NodeId, NodeId, MemberMessage)>,
    rng: SmallRng,
    leaving_at: BTreeMap<NodeId, ClockTime>,
}

impl MemberFleet {
    fn new(count: u32) -> MemberFleet {
        let mut fleet = MemberFleet {
            now: ClockTime::from_millis(1),
            nodes: BTreeMap::new(),
            lost_links: BTreeSet::new(),
            queue: VecDeque::new(),
            rng: SmallRng::seed_from_u64(7),
            leaving_at: BTreeMap::new(),
        };
        for node in 1..=count {
            fleet.start(node, 1, count);
        }
        fleet
    }

    fn start(&mut self, node: u32, incarnation: u64, count: u32) {
        let process =
            NodeIncarnation { node: NodeId(node), incarnation: IncarnationId(incarnation) };
        let mut detector = FailureDetector::start(self.now, process, &mut self.rng);
        detector.set_listed_nodes(&(1..=count).map(NodeId).collect::<Vec<_>>());
        self.nodes.insert(process.node, detector);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for _ in 0..self.queue.len() {
                let (from, to, message) = self.queue.pop_front().unwrap();
                if self.lost_links.contains(&(from.min(to), from.max(to))) {
                    continue;
                }
                let Some(node) = self.nodes.get_mut(&to) else { continue };
                let effects = node.on_message(self.now, from, message, &mut self.rng);
                self.send(to, effects);
            }
            for id in self.nodes.keys().copied().collect::<Vec<_>>() {
                let node = self.nodes.get_mut(&id).unwrap();
                let effects = node.on_timer(self.now, &mut self.rng);
                self.send(id, effects);
            }
        }
    }

    fn send(&mut self, from: NodeId, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, message } => self.queue.push_back((from, to, message)),
                MemberEffect::ServerLeaving(_) => {
                    self.leaving_at.insert(from, self.now);
                }
                _ => {}
            }
        }
    }

    fn statuses(&self, node: u32) -> BTreeSet<(MemberStatus, bool)> {
        let status = |detector: &FailureDetector| {
            let change = detector.table().get(NodeId(node)).unwrap();
            (change.status, change.draining)
        };
        self.nodes
            .iter()
            .filter(|(id, _)| id.0 != node)
            .map(|(_, detector)| status(detector))
            .collect()
    }
}

/// Guards against dead members that are not detected, against live members that are declared dead
/// because one network path failed or they were suspected, and against restarted members that stay
/// dead.
#[test]
fn status_follows_the_members() {
    let mut fleet = MemberFleet::new(9);
    fleet.lost_links.insert((NodeId(1), NodeId(2)));
    fleet.run(Duration::from_secs(60));
    for node in 1..=9 {
        assert_eq!(fleet.statuses(node), [(MemberStatus::Live, false)].into(), "node {node}");
    }
    fleet.nodes.remove(&NodeId(9));
    fleet.run(Duration::from_secs(25));
    assert_eq!(fleet.statuses(9), [(MemberStatus::Dead, false)].into());
    fleet.start(9, 2, 9);
    fleet.run(Duration::from_secs(25));
    assert_eq!(fleet.statuses(9), [(MemberStatus::Live, false)].into());
    fleet.nodes.get_mut(&NodeId(8)).unwrap().drain();
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.statuses(8), [(MemberStatus::Live, true)].into());
    let effects = fleet.nodes.get_mut(&NodeId(1)).unwrap().on_vm_state(
        fleet.now,
        NodeId(7),
        VmState::Unlisted,
    );
    fleet.send(NodeId(1), effects);
    fleet.run(Duration::from_secs(25));
    assert_eq!(fleet.statuses(7), [(MemberStatus::Live, false)].into(), "a live member refutes");
}

/// Guards against two sides of a partition that keep each other dead after the partition healed.
#[test]
fn healed_partition_is_detected() {
    let mut fleet = MemberFleet::new(6);
    for (a, b) in (1..=3).flat_map(|a| (4..=6).map(move |b| (a, b))) {
        fleet.lost_links.insert((NodeId(a), NodeId(b)));
    }
    fleet.run(Duration::from_secs(60));
    assert!(fleet.statuses(4).contains(&(MemberStatus::Dead, false)));
    fleet.lost_links.clear();
    fleet.run(Duration::from_secs(60));
    for node in 1..=6 {
        assert_eq!(fleet.statuses(node), [(MemberStatus::Live, false)].into(), "node {node}");
    }
}

/// Guards against a node that still uses a backend server two seconds after another node learned
/// that the server is leaving.
#[test]
fn leaving_server_is_known_everywhere_within_two_seconds() {
    let mut fleet = MemberFleet::new(200);
    fleet.run(Duration::from_secs(3));
    let notice = LeaveNotice { server: ServerId::of_name("s1"), incarnation: IncarnationId(4) };
    let (now, node) = (fleet.now, fleet.nodes.get_mut(&NodeId(5)).unwrap());
    let effects = node.on_server_leaving(now, notice, &mut fleet.rng);
    fleet.send(NodeId(5), effects);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.leaving_at.len(), 200);
    let leaving = fleet.nodes[&NodeId(77)].leaving();
    assert!(leaving.is_leaving(notice.server, IncarnationId(4)));
    assert!(
        !leaving.is_leaving(notice.server, IncarnationId(5)),
        "a later incarnation serves again"
    );
}

/// Guards against discovery responses that contain draining or dead entries, prefer suspect ones,
/// or change the order of the others.
#[test]
fn directory_omits_draining_and_dead_entries() {
    let entry = |node: u32| EntryVm {
        node: NodeId(node),
        http_address: format!("127.0.0.1:{node}"),
        peer_address: String::new(),
        data_centre: "one".to_string(),
    };
    let document = ListDocument {
        entries: (1..=4).map(|node| (format!("e{node}"), entry(node))).collect(),
        ..ListDocument::default()
    };
    let mut table =
        MemberTable::new(NodeIncarnation { node: NodeId(1), incarnation: IncarnationId(1) });
    table.set_listed_nodes(&[1, 2, 3, 4].map(NodeId));
    let order = |table: &MemberTable| -> Vec<u32> {
        let directory = EntryDirectory::new(&document, table);
        directory.rank_entries("acme").iter().map(|entry| entry.node.0).collect()
    };
    let all = order(&table);
    assert_eq!(all.len(), 4);
    let mut change = *table.get(NodeId(all[0])).unwrap();
    change.draining = true;
    match all[0] {
        1 => table.drain(),
        _ => assert!(table.merge(change).is_some()),
    }
    assert_eq!(order(&table), all[1..], "draining");
    let suspect = NodeId(all[if all[1] == 1 { 2 } else { 1 }]);
    let known = *table.get(suspect).unwrap();
    table.merge(MemberChange { status: MemberStatus::Suspect, ..known });
    assert_eq!(order(&table).last(), Some(&suspect.0), "suspect");
    table.merge(MemberChange { status: MemberStatus::Dead, ..known });
    assert!(!order(&table).contains(&suspect.0), "dead");
    let watchers =
        (1..=4).filter(|node| EntryDirectory::new(&document, &table).is_watcher(NodeId(*node)));
    assert!(watchers.count() >= WATCHERS_PER_DATA_CENTRE);
}

/// Guards against a shutdown that redirects clients whose discovery response is still valid, or
/// that exits while a request is open.
#[test]
fn drain_waits_for_clients_and_requests() {
    let start = ClockTime::from_millis(100);
    let mut drain = DrainState::new();
    assert!(drain.try_admit());
    assert_eq!(drain.begin(start), [DrainEffect::Announce]);
    assert!(drain.begin(start).is_empty());
    assert!(drain.try_admit(), "the discovery response is still valid");
    assert!(drain.on_timer(start + Duration::from_secs(4)).is_empty());
    assert_eq!(drain.on_timer(start + DISCOVERY_LIFETIME), [DrainEffect::Redirect]);
    assert!(!drain.try_admit());
    assert!(drain.request_finished().is_empty());
    assert_eq!(drain.request_finished(), [DrainEffect::Finish]);
    assert_eq!(drain.phase(), DrainPhase::Finished);
}
