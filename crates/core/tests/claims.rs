//! Tests of `ClaimCoordinator` with a simulated clock and simulated replies of the key-value
//! service.

use carobvane_core::{
    claims::{
        BatchItem, BodyFingerprint, CLAIM_WRITES_PER_SECOND, ClaimAnswer, ClaimCoordinator,
        ClaimEffect, ClaimHandle, ClaimKey, ClaimRecord, ClaimRequest, ClaimState, ClaimWriter,
        DispatchOutcome, ExistingClaim, MAX_BATCH_ITEMS, MAX_CLAIMS, MAX_STORED_RESPONSE_BYTES,
        MAX_WAITING_WHILE_DOWN, NotRunCause, StoredResponse, UnknownCause,
    },
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

const OWN: NodeIncarnation = NodeIncarnation { node: NodeId(1), incarnation: IncarnationId(5) };
const OTHER: NodeIncarnation = NodeIncarnation { node: NodeId(2), incarnation: IncarnationId(9) };

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn key(name: &str) -> ClaimKey {
    ClaimKey::new("irazabal", "bookings", name)
}

fn body(content: &str) -> BodyFingerprint {
    BodyFingerprint::new("POST", "/book", content.as_bytes())
}

fn response(bytes: usize) -> StoredResponse {
    StoredResponse { status: 201, content_type: "text/plain".to_owned(), body: vec![7; bytes] }
}

fn existing(
    name: &str,
    incarnation: NodeIncarnation,
    sequence: u64,
    state: ClaimState,
) -> ExistingClaim {
    let writer = ClaimWriter { incarnation, sequence };
    let record = Some(ClaimRecord { writer, fingerprint: body("a"), state });
    ExistingClaim { key: key(name), revision: 7, record }
}

/// A coordinator and the effects that it has returned.
struct TestCoordinator {
    coordinator: ClaimCoordinator,
    effects: Vec<ClaimEffect>,
}

impl TestCoordinator {
    fn new() -> TestCoordinator {
        TestCoordinator { coordinator: ClaimCoordinator::new(OWN), effects: Vec::new() }
    }

    fn submit(&mut self, name: &str, now: u64) -> Result<ClaimHandle, ClaimAnswer> {
        let request = ClaimRequest {
            key: key(name),
            fingerprint: body("a"),
            dispatch_by: at(10_000),
            deadline: at(20_000),
        };
        self.coordinator.submit(request, at(now), &mut self.effects)
    }

    /// Takes all effects and returns the id of the first call among them, with its number of items
    /// or keys.
    fn take_call(&mut self) -> Option<(u64, usize)> {
        self.effects.drain(..).find_map(|effect| match effect {
            ClaimEffect::Write { call_id, items } => Some((call_id, items.len())),
            ClaimEffect::ReadBack { call_id, keys } => Some((call_id, keys.len())),
            _ => None,
        })
    }

    fn answers(&self) -> Vec<ClaimAnswer> {
        let answer = |effect: &ClaimEffect| match effect {
            ClaimEffect::Answer { answer, .. } => Some(answer.clone()),
            _ => None,
        };
        self.effects.iter().filter_map(answer).collect()
    }

    fn dispatches(&self) -> usize {
        let dispatch = |effect: &&ClaimEffect| matches!(effect, ClaimEffect::Dispatch { .. });
        self.effects.iter().filter(dispatch).count()
    }
}

/// Guards against the dispatch of a request whose claim belongs to another writer, and against a
/// wrong answer to that request.
#[test]
fn conflict_answers() {
    struct Case {
        name: &'static str,
        existing: Option<ExistingClaim>,
        dispatches: usize,
        answers: Vec<ClaimAnswer>,
    }
    let done = || ClaimState::Done(response(3));
    let unknown = ClaimAnswer::OutcomeUnknown(UnknownCause::ClaimedElsewhere);
    let mut mismatch = existing("k", OTHER, 1, done());
    mismatch.record.as_mut().unwrap().fingerprint = body("b");
    let cases = [
        Case {
            name: "own write with a lost acknowledgement",
            existing: Some(existing("k", OWN, 1, ClaimState::Claimed)),
            dispatches: 1,
            answers: vec![],
        },
        Case {
            name: "another request of this entry",
            existing: Some(existing("k", OWN, 2, ClaimState::Claimed)),
            dispatches: 0,
            answers: vec![unknown.clone()],
        },
        Case {
            name: "an earlier incarnation of this entry",
            existing: Some(existing(
                "k",
                NodeIncarnation { incarnation: IncarnationId(4), ..OWN },
                1,
                ClaimState::Claimed,
            )),
            dispatches: 0,
            answers: vec![unknown.clone()],
        },
        Case {
            name: "another entry without result",
            existing: Some(existing("k", OTHER, 1, ClaimState::Claimed)),
            dispatches: 0,
            answers: vec![unknown.clone()],
        },
        Case {
            name: "another entry with result",
            existing: Some(existing("k", OTHER, 1, done())),
            dispatches: 0,
            answers: vec![ClaimAnswer::Stored(response(3))],
        },
        Case {
            name: "another body",
            existing: Some(mismatch),
            dispatches: 0,
            answers: vec![ClaimAnswer::BodyMismatch],
        },
        Case {
            name: "a value that cannot be decoded",
            existing: Some(ExistingClaim { key: key("k"), revision: 7, record: None }),
            dispatches: 0,
            answers: vec![unknown],
        },
        Case { name: "nothing", existing: None, dispatches: 0, answers: vec![] },
    ];
    for case in cases {
        let mut test = TestCoordinator::new();
        test.submit("k", 0).expect("the coordinator accepts the request");
        let (call_id, _) = test.take_call().expect("the first claim is written at once");
        let found = case.existing.into_iter().collect::<Vec<_>>();
        test.coordinator.on_existing(call_id, 8, &found, at(1), &mut test.effects);
        assert_eq!((test.dispatches(), test.answers()), (case.dispatches, case.answers), "{}", {
            case.name
        });
    }
}

/// Guards against a lost acknowledgement after which the request is answered or dispatched before a
/// read-back proves who holds the claim, or is never resolved.
#[test]
fn lost_acknowledgement_is_read_back() {
    let mut test = TestCoordinator::new();
    test.submit("k", 0).expect("the coordinator accepts the request");
    let (write, _) = test.take_call().expect("the first claim is written at once");
    test.coordinator.on_call_lost(write, at(100));
    test.coordinator.on_timer(at(149), &mut test.effects);
    assert_eq!(test.effects, vec![]);
    // The late acknowledgement belongs to a call that already counts as lost.
    test.coordinator.on_written(write, 7, at(149), &mut test.effects);
    assert_eq!(test.effects, vec![]);
    test.coordinator.on_timer(at(150), &mut test.effects);
    let (read, keys) = test.take_call().expect("the read-back is due");
    assert_eq!(keys, 1);
    // A read-back without an answer within the call timeout counts as lost, and the next wait is
    // twice as long.
    test.coordinator.on_timer(at(1_150), &mut test.effects);
    test.coordinator.on_timer(at(1_249), &mut test.effects);
    assert_eq!(test.effects, vec![]);
    test.coordinator.on_timer(at(1_250), &mut test.effects);
    let (again, _) = test.take_call().expect("the second read-back is due");
    let own = [existing("k", OWN, 1, ClaimState::Claimed)];
    test.coordinator.on_existing(read, 7, &own, at(1_251), &mut test.effects);
    assert_eq!(test.dispatches(), 0);
    test.coordinator.on_existing(again, 7, &own, at(1_252), &mut test.effects);
    test.coordinator.on_existing(again, 7, &own, at(1_253), &mut test.effects);
    assert_eq!(test.dispatches(), 1);
}

/// Guards against a dispatch after `dispatch_by` when a paused process resumes and handles the
/// acknowledgement late, and against a claim that is kept although its request did not run.
#[test]
fn expired_claim_is_released() {
    struct Case {
        name: &'static str,
        tick_first: bool,
    }
    for case in [
        Case { name: "acknowledgement first", tick_first: false },
        Case { name: "timer first", tick_first: true },
    ] {
        let mut test = TestCoordinator::new();
        test.submit("k", 9_500).expect("the coordinator accepts the request");
        let (write, _) = test.take_call().expect("the first claim is written at once");
        if case.tick_first {
            test.coordinator.on_timer(at(10_000), &mut test.effects);
        }
        test.coordinator.on_written(write, 7, at(10_000), &mut test.effects);
        test.coordinator.on_timer(at(10_001), &mut test.effects);
        let expired = ClaimAnswer::NotRun(NotRunCause::Expired);
        assert_eq!((test.dispatches(), test.answers()), (0, vec![expired]), "{}", case.name);
        let released = test.effects.iter().any(|effect| match effect {
            ClaimEffect::Write { items, .. } => {
                matches!(items[..], [BatchItem::Release { key: released, .. }] if released == key("k"))
            }
            _ => false,
        });
        assert!(released, "{}", case.name);
    }
}

/// Guards against a batch that failed because of one conflict and delays its other claims, or
/// dispatches their requests without a second write.
#[test]
fn failed_batch_is_retried_without_conflicts() {
    let mut test = TestCoordinator::new();
    test.submit("first", 0).expect("the coordinator accepts the request");
    let (first, _) = test.take_call().expect("the first claim is written at once");
    for name in ["a", "b", "c"] {
        test.submit(name, 1).expect("the coordinator accepts the request");
    }
    test.coordinator.on_written(first, 2, at(500), &mut test.effects);
    let (batch, items) = test.take_call().expect("the pace allows the next write");
    assert_eq!(items, 3);
    let conflict = [existing("b", OTHER, 1, ClaimState::Claimed)];
    test.coordinator.on_existing(batch, 7, &conflict, at(600), &mut test.effects);
    assert_eq!((test.dispatches(), test.answers().len()), (0, 1));
    let (retry, items) = test.take_call().expect("the pace allows the next write");
    assert_eq!(items, 2);
    test.coordinator.on_written(retry, 8, at(700), &mut test.effects);
    assert_eq!(test.dispatches(), 2);
}

/// Guards against a wrong answer to a request that is resent to the same entry, in each phase of
/// the first one.
#[test]
fn resend_to_the_same_entry() {
    let in_progress = Err(ClaimAnswer::OutcomeUnknown(UnknownCause::InProgress));
    let mut test = TestCoordinator::new();
    let handle = test.submit("k", 0).expect("the coordinator accepts the request");
    assert_eq!(test.submit("k", 1), in_progress);
    let (write, _) = test.take_call().expect("the first claim is written at once");
    test.coordinator.on_written(write, 7, at(2), &mut test.effects);
    assert_eq!(test.submit("k", 3), in_progress);
    let other = ClaimRequest {
        key: key("k"),
        fingerprint: body("b"),
        dispatch_by: at(10_000),
        deadline: at(20_000),
    };
    let mismatch = test.coordinator.submit(other, at(3), &mut test.effects);
    assert_eq!(mismatch, Err(ClaimAnswer::BodyMismatch));
    let outcome = DispatchOutcome::Response(response(3));
    test.coordinator.on_dispatch_outcome(handle, outcome.clone(), at(4), &mut test.effects);
    test.coordinator.on_dispatch_outcome(handle, outcome, at(4), &mut test.effects);
    assert_eq!(test.answers(), [ClaimAnswer::Response(response(3))]);
    assert_eq!(test.submit("k", 5), Err(ClaimAnswer::Stored(response(3))));
}

/// Guards against unbounded memory, and against many requests that wait until their deadline while
/// the key-value service is down.
#[test]
fn full_coordinator_and_down_store_reject() {
    let mut full = TestCoordinator::new();
    for number in 0..MAX_CLAIMS {
        full.submit(&number.to_string(), 0).expect("the coordinator accepts the request");
    }
    assert_eq!(full.submit("more", 0), Err(ClaimAnswer::NotRun(NotRunCause::Full)));

    let mut down = TestCoordinator::new();
    down.submit("k", 0).expect("the coordinator accepts the request");
    for now in (0..6_000).step_by(10) {
        down.coordinator.on_timer(at(now), &mut down.effects);
    }
    assert!(down.coordinator.stats().store_down);
    for number in 0..MAX_WAITING_WHILE_DOWN {
        down.submit(&number.to_string(), 6_000).expect("a few requests may wait");
    }
    assert_eq!(down.submit("more", 6_000), Err(ClaimAnswer::NotRun(NotRunCause::StoreDown)));
}

/// Guards against claims that are created after the key-value service was restored and may have
/// lost some, and against keeping responses that are too large to be stored.
#[test]
fn restored_store_and_large_response() {
    let mut test = TestCoordinator::new();
    let handle = test.submit("k", 0).expect("the coordinator accepts the request");
    let (write, _) = test.take_call().expect("the first claim is written at once");
    test.coordinator.on_written(write, 100, at(1), &mut test.effects);
    let large = response(MAX_STORED_RESPONSE_BYTES + 1);
    test.coordinator.on_dispatch_outcome(
        handle,
        DispatchOutcome::Response(large),
        at(2),
        &mut test.effects,
    );
    assert_eq!(test.coordinator.stats().claims, 0);
    test.submit("l", 1_000).expect("the coordinator accepts the request");
    let (write, _) = test.take_call().expect("the pace allows the next write");
    test.coordinator.on_written(write, 99, at(1_001), &mut test.effects);
    let paused = ClaimAnswer::NotRun(NotRunCause::StoreRestored);
    assert_eq!((test.dispatches(), test.answers()), (0, vec![paused.clone()]));
    assert_eq!(test.submit("m", 1_002), Err(paused));
}

/// Guards against an entry that writes faster than its share of the fleet's rate, at 400 requests a
/// second over nine entries, with acknowledgements after 3 ms and results after 5 ms.
#[test]
fn nine_entries_stay_within_the_write_rate() {
    const ENTRIES: u64 = 9;
    const SECONDS: u64 = 20;
    let mut test = TestCoordinator::new();
    test.coordinator.set_live_entries(ENTRIES as u32);
    let (mut writes, mut runs, mut largest, mut submitted) = (0, 0, 0, 0);
    let mut due = Vec::new();
    for now in 0..SECONDS * 1_000 {
        // This entry's share of 400 requests a second.
        if now * 400 / ENTRIES / 1_000 > submitted {
            submitted += 1;
            let name = submitted.to_string();
            let (dispatch_by, deadline) = (at(now + 5_000), at(now + 10_000));
            let request =
                ClaimRequest { key: key(&name), fingerprint: body("a"), dispatch_by, deadline };
            test.coordinator
                .submit(request, at(now), &mut test.effects)
                .expect("the coordinator accepts the request");
        }
        test.coordinator.on_timer(at(now), &mut test.effects);
        due.retain(|(time, done): &(u64, ClaimEffect)| {
            if *time <= now {
                match done {
                    ClaimEffect::Write { call_id, .. } => {
                        let revision = 2 + now as i64;
                        test.coordinator.on_written(*call_id, revision, at(now), &mut test.effects);
                    }
                    ClaimEffect::Dispatch { handle, .. } => {
                        let outcome = DispatchOutcome::Response(response(200));
                        test.coordinator.on_dispatch_outcome(
                            *handle,
                            outcome,
                            at(now),
                            &mut test.effects,
                        );
                    }
                    _ => {}
                }
            }
            *time > now
        });
        for effect in test.effects.drain(..) {
            match &effect {
                ClaimEffect::Write { items, .. } => {
                    writes += 1;
                    largest = largest.max(items.len());
                    due.push((now + 3, effect));
                }
                ClaimEffect::Dispatch { .. } => due.push((now + 5, effect)),
                ClaimEffect::Answer { answer: ClaimAnswer::Response(_), .. } => runs += 1,
                _ => {}
            }
        }
    }
    assert!(writes <= SECONDS * CLAIM_WRITES_PER_SECOND / ENTRIES + 1, "{writes} writes");
    assert!(runs + 20 >= submitted, "{runs} of {submitted} requests ran");
    assert!(largest <= MAX_BATCH_ITEMS, "{largest} items in a batch");
}
