//! Tests of the relaying of notices, and a simulation of it beside direct sending.

mod simulation;

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    traffic::{DuplicateFilter, RelayPeer, RelayPlan, RelayTable, RelayTarget},
};

use simulation::{Fault, FleetSetup, Spreading, simulate};

const START: ClockTime = ClockTime::from_millis(1_000);

fn peer(name: &str, data_centre: &str, link_mbps: u32) -> RelayPeer {
    let incarnation = carobvane_core::rendezvous::rendezvous_score(name.as_bytes(), 1);
    RelayPeer::new(name, incarnation, data_centre, link_mbps, START)
}

/// Nodes of two data centres; this node is the third one by bandwidth in its own.
fn peers() -> Vec<RelayPeer> {
    vec![
        peer("a1", "a", 200),
        peer("a2", "a", 100),
        peer("a4", "a", 20),
        peer("a5", "a", 10),
        peer("b1", "b", 200),
        peer("b2", "b", 100),
    ]
}

fn plan_at(table: &RelayTable, now: ClockTime) -> RelayPlan {
    table.plan(now, peer("a3", "a", 50), &peers())
}

/// Guards against notices that are sent to a relay that has ended, until its record is gone.
#[test]
fn silent_relays_are_passed_over() {
    struct Case {
        name: &'static str,
        /// Nodes that were heard just now, by their positions.
        heard: &'static [usize],
        relays: &'static [RelayTarget],
        remote: &'static [usize],
    }
    use RelayTarget::{Own, Peer};
    let cases = [
        Case { name: "all", heard: &[0, 1, 4, 5], relays: &[Peer(0), Peer(1)], remote: &[5] },
        Case { name: "first silent", heard: &[1, 4, 5], relays: &[Peer(1), Own], remote: &[5] },
        Case { name: "both silent", heard: &[4, 5], relays: &[Own], remote: &[4] },
        Case {
            name: "remote silent",
            heard: &[0, 1, 5],
            relays: &[Peer(0), Peer(1)],
            remote: &[5],
        },
        Case { name: "none heard", heard: &[], relays: &[Own], remote: &[4] },
    ];
    for case in cases {
        let mut table = RelayTable::default();
        let later = START + Duration::from_secs(10);
        for &index in case.heard {
            table.on_heard(later, peers()[index].incarnation);
        }
        let plan = plan_at(&table, later);
        assert_eq!(plan.relays, case.relays, "{}", case.name);
        assert_eq!(plan.remote_relays, case.remote, "{}", case.name);
        assert_eq!(plan.neighbours, [0, 1, 2, 3], "{}", case.name);
    }
}

/// Guards against a new node that is passed over as a relay before it can have been heard.
#[test]
fn new_nodes_count_as_live() {
    let plan = plan_at(&RelayTable::default(), START);
    assert_eq!(plan.relays, [RelayTarget::Peer(0), RelayTarget::Peer(1)]);
}

/// Guards against heartbeats from all nodes to all: only candidates send them.
#[test]
fn only_candidates_send_heartbeats() {
    let plan = plan_at(&RelayTable::default(), START);
    assert_eq!(plan.heartbeat_targets, [0, 1, 2, 3, 4, 5]);
    let last = RelayTable::default().plan(START, peer("a6", "a", 1), &peers());
    assert!(last.heartbeat_targets.is_empty());
}

/// Guards against notices that are applied twice, and against late ones that are taken for new.
#[test]
fn repeated_segments_are_found() {
    let mut filter = DuplicateFilter::default();
    let arrivals =
        [(5, true), (5, false), (7, true), (6, true), (6, false), (200, true), (7, false)];
    for (number, is_new) in arrivals {
        assert_eq!(filter.is_new(1, number), is_new, "segment {number}");
    }
    assert!(filter.is_new(2, 5), "segments of another node");
}

/// Guards against notices of a node that restarts often and fills the memory of all others.
#[test]
fn remembered_nodes_are_bounded() {
    let mut filter = DuplicateFilter::default();
    for origin in 0..100_000 {
        assert!(filter.is_new(origin, 0));
    }
}

/// Guards against a fleet whose nodes spend their time on the datagrams of all others.
#[test]
fn relays_save_datagrams() {
    let relayed = simulate(&FleetSetup::quiet(300, Spreading::Relayed)).datagrams_per_node;
    let direct = simulate(&FleetSetup::quiet(300, Spreading::Direct)).datagrams_per_node;
    assert!(relayed * 5.0 < direct, "relayed {relayed}, direct {direct}");
}

/// Guards against urgent notices that do not reach every node in touch within 300 ms.
#[test]
fn urgent_notices_reach_all_nodes() {
    struct Case {
        name: &'static str,
        fault: Fault,
    }
    let cases = [
        Case { name: "none", fault: Fault::None },
        Case { name: "first relays dead", fault: Fault::Dead },
        Case { name: "first relays frozen", fault: Fault::Frozen },
        Case { name: "first relays cut off one way", fault: Fault::CutOneWay },
        Case { name: "restart of all nodes", fault: Fault::AllRestarted },
    ];
    for case in cases {
        for nodes in [60, 300] {
            let quiet = FleetSetup::quiet(nodes, Spreading::Relayed);
            let outcome = simulate(&FleetSetup { fault: case.fault, ..quiet });
            assert_eq!(outcome.complete, 1.0, "{}, {nodes} nodes: {outcome:?}", case.name);
        }
    }
}

/// Guards against urgent notices that are lost for good: their senders repeat them.
#[test]
fn repetitions_make_up_for_loss() {
    for nodes in [60, 300] {
        let quiet = FleetSetup::quiet(nodes, Spreading::Relayed);
        let outcome = simulate(&FleetSetup { loss: 0.03, fault: Fault::Dead, ..quiet });
        assert_eq!(outcome.complete_after_repetitions, 1.0, "{nodes} nodes: {outcome:?}");
    }
}
