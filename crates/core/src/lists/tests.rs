//! Tables of offers, repairs and service reports.

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

/// Versions 1, 2, 3 of one line, and the deltas that lead to them.
fn line() -> (Vec<ListSnapshot>, Vec<ListDelta>) {
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

/// A second document with number 3.
fn rival(snapshots: &[ListSnapshot]) -> ListSnapshot {
    let document = document(&[("rival", 9)]);
    ListSnapshot { version: snapshots[2].version.next(&document), document }
}

/// Guards against a replica that goes back, skips a base or takes a document without its digest.
#[test]
fn replica_accepts_only_superseding_versions() {
    struct OfferCase {
        name: &'static str,
        held: usize,
        offer: Result<ListSnapshot, ListDelta>,
        outcome: ApplyOutcome,
        number: u64,
    }
    let (snapshots, deltas) = line();
    let mut forged = snapshots[3].clone();
    forged.document = document(&[("forged", 1)]);
    let mut wrong = deltas[1].clone();
    wrong.plans.put.clear();
    #[rustfmt::skip]
    let cases = [
        OfferCase { name: "next delta", held: 1, offer: Err(deltas[1].clone()), outcome: ApplyOutcome::Accepted, number: 2 },
        OfferCase { name: "repeated delta", held: 2, offer: Err(deltas[1].clone()), outcome: ApplyOutcome::AlreadyHeld, number: 2 },
        OfferCase { name: "older delta", held: 3, offer: Err(deltas[0].clone()), outcome: ApplyOutcome::AlreadyHeld, number: 3 },
        OfferCase { name: "gap", held: 1, offer: Err(deltas[2].clone()), outcome: ApplyOutcome::NeedsSnapshot, number: 1 },
        OfferCase { name: "delta with another result", held: 1, offer: Err(wrong), outcome: ApplyOutcome::NeedsSnapshot, number: 1 },
        OfferCase { name: "later snapshot", held: 1, offer: Ok(snapshots[3].clone()), outcome: ApplyOutcome::Accepted, number: 3 },
        OfferCase { name: "older snapshot", held: 3, offer: Ok(snapshots[1].clone()), outcome: ApplyOutcome::AlreadyHeld, number: 3 },
        OfferCase { name: "forged snapshot", held: 1, offer: Ok(forged), outcome: ApplyOutcome::DigestMismatch, number: 1 },
    ];
    for case in cases {
        let mut replica = ListReplica::new();
        for delta in &deltas[..case.held] {
            assert_eq!(replica.apply_delta(delta), ApplyOutcome::Accepted, "{}", case.name);
        }
        let outcome = match &case.offer {
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

/// Guards against two nodes that keep different documents under one number.
#[test]
fn conflict_ends_with_one_document() {
    let (snapshots, _) = line();
    let rival = rival(&snapshots);
    let mut replicas = [ListReplica::new(), ListReplica::new()];
    replicas[0].apply_snapshot(&snapshots[3]);
    replicas[0].apply_snapshot(&rival);
    replicas[1].apply_snapshot(&rival);
    replicas[1].apply_snapshot(&snapshots[3]);
    assert_eq!(replicas[0].snapshot(), replicas[1].snapshot());
}

/// Guards against a restored key-value service that reverts an accepted change.
#[test]
fn service_with_an_older_head_gets_the_held_version_back() {
    let (snapshots, _) = line();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut replicator = ListReplicator::start(ClockTime::ZERO, true, &mut rng);
    replicator
        .on_key_value_report(KeyValueReport::Snapshot(Box::new(snapshots[3].clone())), &mut rng);
    let head = KeyValueReport::Head { version: snapshots[1].version, revision: 7 };
    let held = snapshots[3].version;
    let expected = vec![ReplicationEffect::WriteBack { version: held, revision: 7 }];
    assert_eq!(replicator.on_key_value_report(head, &mut rng), expected);
    assert_eq!(replicator.replica().version(), held);
}

/// Guards against a node that stays behind after a lost push, and one that starts without the
/// key-value service.
#[test]
fn lagging_and_restarted_nodes_are_repaired_by_peers() {
    let (snapshots, deltas) = line();
    let now = ClockTime::from_millis(10);
    let mut rng = SmallRng::seed_from_u64(2);
    for (held, by_deltas) in [(0, true), (1, true), (2, true)] {
        let mut ahead = ListReplicator::start(now, false, &mut rng);
        let mut behind = ListReplicator::start(now, false, &mut rng);
        for delta in &deltas {
            ahead.on_key_value_report(KeyValueReport::Change(Box::new(delta.clone())), &mut rng);
        }
        for delta in &deltas[..held] {
            behind.on_key_value_report(KeyValueReport::Change(Box::new(delta.clone())), &mut rng);
        }
        let request = behind.on_summary(now, NodeId(1), ahead.summary());
        let [ReplicationEffect::Send { message, .. }] = &request[..] else { panic!("{request:?}") };
        let answer = ahead.on_message(now, NodeId(2), message.clone(), &mut rng);
        let [ReplicationEffect::Send { message, .. }] = &answer[..] else { panic!("{answer:?}") };
        assert_eq!(matches!(message, ListMessage::Deltas(_)), by_deltas, "held {held}");
        behind.on_message(now, NodeId(1), message.clone(), &mut rng);
        assert_eq!(behind.replica().snapshot(), &snapshots[3], "held {held}");
    }
    let mut restarted = ListReplicator::start(now, false, &mut rng);
    restarted.set_peers(vec![NodeId(1), NodeId(2)]);
    assert!(!restarted.replica().is_ready());
    assert_eq!(restarted.on_timer(now, &mut rng).len(), 2);
}
