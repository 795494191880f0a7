//! Requests that wait at the node.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    overload::{
        AdmissionDecision, AdmissionGate, AdmissionRequest, RequestGroups, RequestRank, WaitQueue,
    },
};
use rand::{SeedableRng, rngs::SmallRng};

const MS: Duration = Duration::from_millis(1);

/// Guards against an order of the queue other than by rank, returns and arrival, and against a queue
/// that grows, or in which less urgent requests keep urgent ones out.
#[test]
fn the_queue_is_short_and_ordered() {
    let rank = |priority| RequestRank::new(priority, priority, 10.0);
    let mut queue = WaitQueue::default();
    let (now, until) = (ClockTime::from_millis(1_000), ClockTime::from_millis(1_100));
    let tickets = [(2, false), (1, false), (1, true), (0, false), (1, false)]
        .map(|(priority, is_return)| queue.ticket(rank(priority), is_return));
    assert!(tickets.iter().all(|&ticket| queue.enter(now, ticket, until)));
    assert_eq!(tickets.map(|ticket| queue.place(ticket)), [4, 2, 1, 0, 3]);
    for _ in 0..11 {
        let ticket = queue.ticket(rank(1), false);
        assert!(queue.enter(now, ticket, until));
    }
    let refused = queue.ticket(rank(3), false);
    assert!(!queue.enter(now, refused, until), "the least urgent of too many");
    let urgent = queue.ticket(rank(0), false);
    assert!(queue.enter(now, urgent, until), "takes the place of the least urgent");
    assert_eq!((queue.len(), queue.waits_until(tickets[0])), (16, None));
    queue.leave(urgent);
    assert_eq!(queue.len(), 15, "its client has left");
    let late = queue.ticket(rank(0), false);
    assert!(queue.enter(now + MS * 200, late, until + MS * 200));
    assert_eq!(queue.len(), 1, "requests whose time is over do not stay");
}

/// Guards against a request that waits although it cannot be on time afterwards or that waits until its
/// deadline, and against a refusal of one that only has to wait for some ms.
#[test]
fn requests_wait_only_while_they_can_be_on_time() {
    struct Case {
        name: &'static str,
        wait_ms: u32,
        elapsed_ms: u32,
        waits: bool,
    }
    let cases = [
        Case { name: "room", wait_ms: 100, elapsed_ms: 0, waits: false },
        Case { name: "nearly room", wait_ms: 318, elapsed_ms: 0, waits: true },
        Case { name: "much too long a queue", wait_ms: 600, elapsed_ms: 0, waits: false },
        Case { name: "no time left", wait_ms: 318, elapsed_ms: 400, waits: false },
    ];
    for case in cases {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut gate = AdmissionGate::default();
        let mut request = AdmissionRequest {
            rank: RequestRank::new(0, 0, 35.0),
            groups: RequestGroups::default(),
            server_ms: 35.0,
            expected: MS * 35,
            idle: MS * 35,
            target: MS * 500,
            elapsed: MS * case.elapsed_ms,
            time_left: MS * 10_000,
            client_time_left: MS * 10_000,
            continues: false,
            is_return: false,
            ticket: None,
        };
        let start = 50_000;
        for at in 0..200 {
            // Each of these has room.
            request.expected = MS * 300;
            gate.decide(ClockTime::from_millis(start - 2_000 + at * 10), &request, &mut rng);
        }
        request.expected = MS * (case.wait_ms + 35);
        let mut now = ClockTime::from_millis(start);
        let mut waited = false;
        // The wait at the servers does not change.
        while let AdmissionDecision::Wait(interval, ticket) =
            gate.decide(now, &request, &mut rng).decision
        {
            (waited, request.ticket) = (true, Some(ticket));
            now = now + interval;
            request.elapsed += interval;
            assert!(now.since(ClockTime::from_millis(start)) <= MS * 125, "{}", case.name);
        }
        assert_eq!(waited, case.waits, "{}", case.name);
        assert_eq!(gate.waiting_count(), 0, "{}", case.name);
    }
}

/// Guards against a place in the queue that stays taken after its client has left, and against new
/// requests that go before one of their rank that waits.
#[test]
fn new_requests_go_behind_those_that_wait() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut gate = AdmissionGate::default();
    let request = |wait_ms: u32| AdmissionRequest {
        rank: RequestRank::new(0, 0, 35.0),
        groups: RequestGroups::default(),
        server_ms: 35.0,
        expected: MS * (35 + wait_ms),
        idle: MS * 35,
        target: MS * 500,
        elapsed: Duration::ZERO,
        time_left: MS * 10_000,
        client_time_left: MS * 10_000,
        continues: false,
        is_return: false,
        ticket: None,
    };
    let at = |ms: u64| ClockTime::from_millis(50_000 + ms);
    for ms in 0..200 {
        gate.decide(at(ms * 10), &request(260), &mut rng);
    }
    let first = gate.decide(at(2_000), &request(318), &mut rng).decision;
    let AdmissionDecision::Wait(_, ticket) = first else { panic!("{first:?}") };
    let second = gate.decide(at(2_001), &request(200), &mut rng).decision;
    assert!(matches!(second, AdmissionDecision::Wait(..)), "{second:?}");
    let returned = AdmissionRequest { ticket: Some(ticket), ..request(200) };
    let first = gate.decide(at(2_002), &returned, &mut rng).decision;
    assert_eq!(first, AdmissionDecision::Admit);
    let AdmissionDecision::Wait(_, ticket) = second else { panic!("{second:?}") };
    gate.on_left(ticket);
    assert_eq!(gate.waiting_count(), 0);
}
