//! Tests of applying, repairing and reporting list versions.

use rand::{SeedableRng, rngs::SmallRng};

use super::*;
use crate::{clock::ClockTime, ids::NodeId, plans::PlanLimits};

fn document(plans: &[(&str, u64)]) -> ListDocument {
    let entry = |requests| PlanEntry {
        limits: PlanLimits { requests_per_second: requests, ..PlanLimits::default() },
        weight: 1,
    };
    let plans = plans.iter().map(|(name, amount)| (name.to_string(), entry(*amount)));
    ListDocument { plans: plans.collect(), ..ListDocument::default() }
}

/// Returns versions 0 to 3 of one history and the deltas between them.
fn version_history() -> (Vec<ListSnapshot>, Vec<ListDelta>) {
    let mut snapshots = vec![ListSnapshot::default()];
    let mut deltas = Vec::new();
    for plans in [&[("a", 1)][..], &[("a", 1), ("b", 2)], &[("b", 3)]] {
        let base = snapshots.last().unwrap().clone();
        let delta = ListDelta::next(&base, &document(plans));
        snapshots.push(delta.apply(&base).unwrap());
        deltas.push(delta);
    }
    (snapshots, deltas)
}

/// Returns a version 3 whose document differs from that of `version_history`.
fn conflicting_snapshot(snapshots: &[ListSnapshot]) -> ListSnapshot {
    let document = document(&[("conflicting", 9)]);
    ListSnapshot { version: snapshots[2].version.next(&document), document }
}

/// Guards against a replica that goes back to an older version, applies a delta to the wrong base
/// or accepts a document that does not match its digest.
#[test]
fn replica_accepts_only_superseding_versions() {
    struct ApplyCase {
        name: &'static str,
        active: usize,
        update: Result<ListSnapshot, ListDelta>,
        outcome: ApplyOutcome,
        number: u64,
    }
    let (snapshots, deltas) = version_history();
    let mut forged = snapshots[3].clone();
    forged.document = document(&[("forged", 1)]);
    let mut wrong = deltas[1].clone();
    wrong.plans.put.clear();
    #[rustfmt::skip]
    let cases = [
        ApplyCase { name: "next delta", active: 1, update: Err(deltas[1].clone()), outcome: ApplyOutcome::Accepted, number: 2 },
        ApplyCase { name: "repeated delta", active: 2, update: Err(deltas[1].clone()), outcome: ApplyOutcome::AlreadyHeld, number: 2 },
        ApplyCase { name: "older delta", active: 3, update: Err(deltas[0].clone()), outcome: ApplyOutcome::AlreadyHeld, number: 3 },
        ApplyCase { name: "gap", active: 1, update: Err(deltas[2].clone()), outcome: ApplyOutcome::NeedsSnapshot, number: 1 },
        ApplyCase { name: "delta with another result", active: 1, update: Err(wrong), outcome: ApplyOutcome::NeedsSnapshot, number: 1 },
        ApplyCase { name: "later snapshot", active: 1, update: Ok(snapshots[3].clone()), outcome: ApplyOutcome::Accepted, number: 3 },
        ApplyCase { name: "older snapshot", active: 3, update: Ok(snapshots[1].clone()), outcome: ApplyOutcome::AlreadyHeld, number: 3 },
        ApplyCase { name: "forged snapshot", active: 1, update: Ok(forged), outcome: ApplyOutcome::DigestMismatch, number: 1 },
    ];
    for case in cases {
        let mut replica = ListReplica::new();
        for delta in &deltas[..case.active] {
            assert_eq!(replica.apply_delta(delta), ApplyOutcome::Accepted, "{}", case.name);
        }
        let outcome = match &case.update {
            Ok(snapshot) => replica.apply_snapshot(snapshot),
            Err(delta) => replica.apply_delta(delta),
        };
        assert_eq!(
            (outcome, replica.version().number),
            (case.outcome, case.number),
            "{}",
            case.name
        );
    }
}

/// Guards against two nodes that keep different documents with the same version number because they
/// received them in a different order.
#[test]
fn conflict_converges_to_one_document() {
    let (snapshots, _) = version_history();
    let conflicting = conflicting_snapshot(&snapshots);
    let mut replicas = [ListReplica::new(), ListReplica::new()];
    replicas[0].apply_snapshot(&snapshots[3]);
    replicas[0].apply_snapshot(&conflicting);
    replicas[1].apply_snapshot(&conflicting);
    replicas[1].apply_snapshot(&snapshots[3]);
    assert_eq!(replicas[0].snapshot(), replicas[1].snapshot());
}

/// Guards against a key-value service that was restored from an old backup and reverts an accepted
/// change.
#[test]
fn newer_active_version_is_written_back() {
    let (snapshots, _) = version_history();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut replicator = ListReplicator::start(ClockTime::ZERO, true, &mut rng);
    replicator
        .on_key_value_report(KeyValueReport::Snapshot(Box::new(snapshots[3].clone())), &mut rng);
    let head = KeyValueReport::Head { version: snapshots[1].version, revision: 7 };
    let active = snapshots[3].version;
    let expected = vec![ReplicationEffect::WriteBack { version: active, revision: 7 }];
    assert_eq!(replicator.on_key_value_report(head, &mut rng), expected);
    assert_eq!(replicator.replica().version(), active);
}

/// Guards against a node that stays behind after a lost push, and against one that asks no peer
/// when it starts without the key-value service.
#[test]
fn lagging_and_restarted_nodes_are_repaired_by_peers() {
    let (snapshots, deltas) = version_history();
    let now = ClockTime::from_millis(10);
    let mut rng = SmallRng::seed_from_u64(2);
    for (active, by_deltas) in [(0, true), (1, true), (2, true)] {
        let mut ahead = ListReplicator::start(now, false, &mut rng);
        let mut behind = ListReplicator::start(now, false, &mut rng);
        for delta in &deltas {
            ahead.on_key_value_report(KeyValueReport::Change(Box::new(delta.clone())), &mut rng);
        }
        for delta in &deltas[..active] {
            behind.on_key_value_report(KeyValueReport::Change(Box::new(delta.clone())), &mut rng);
        }
        let request = behind.on_summary(now, NodeId(1), ahead.summary());
        let [ReplicationEffect::Send { message, .. }] = &request[..] else { panic!("{request:?}") };
        let answer = ahead.on_message(now, NodeId(2), message.clone(), &mut rng);
        let [ReplicationEffect::Send { message, .. }] = &answer[..] else { panic!("{answer:?}") };
        assert_eq!(matches!(message, ListMessage::Deltas(_)), by_deltas, "active {active}");
        behind.on_message(now, NodeId(1), message.clone(), &mut rng);
        assert_eq!(behind.replica().snapshot(), &snapshots[3], "active {active}");
    }
    let mut restarted = ListReplicator::start(now, false, &mut rng);
    restarted.set_peers(vec![NodeId(1), NodeId(2)]);
    assert!(!restarted.replica().is_ready());
    assert_eq!(restarted.on_timer(now, &mut rng).len(), 2);
}
