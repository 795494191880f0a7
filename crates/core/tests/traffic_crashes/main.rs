//! Requests that crash the servers that run them, as the nodes of a fleet count them.

mod builds;
mod fixture;
mod parts;
mod sharing;

use std::time::Duration;

use carobvane_core::{
    ids::ServerKey,
    traffic::{CrashEvent, CrashVerdict, MAX_CRASHES, RunEnd},
};

use crate::fixture::{BUILD, FLOOD, Fixture, SILENCE, incarnation, millis, request};

/// Guards against a request that crashes server after server, and against rejecting requests that
/// merely ran during a crash.
#[test]
fn a_request_that_crashed_three_servers_is_rejected() {
    struct Case {
        name: &'static str,
        runs: &'static [(usize, RunEnd)],
        crashes: usize,
        verdict: CrashVerdict,
    }
    use RunEnd::{Broken, Completed, Refused};
    let cases = [
        Case {
            name: "two servers",
            runs: &[(1, Broken), (2, Broken)],
            crashes: 2,
            verdict: CrashVerdict::Allow,
        },
        Case {
            name: "three servers",
            runs: &[(1, Broken), (2, Broken), (3, Broken)],
            crashes: 3,
            verdict: CrashVerdict::Reject,
        },
        Case {
            name: "one server that starts again as the same incarnation",
            runs: &[(1, Broken), (1, Broken), (1, Broken)],
            crashes: 3,
            verdict: CrashVerdict::Reject,
        },
        Case {
            name: "completed once between the crashes",
            runs: &[(1, Broken), (2, Broken), (4, Completed), (3, Broken)],
            crashes: 3,
            verdict: CrashVerdict::Reject,
        },
        Case {
            name: "completed often between the crashes, and shortly before the last",
            runs: &[
                (1, Broken),
                (2, Broken),
                (4, Completed),
                (4, Completed),
                (4, Completed),
                (4, Completed),
                (4, Completed),
                (4, Completed),
                (4, Completed),
                (4, Completed),
                (3, Broken),
            ],
            crashes: 0,
            verdict: CrashVerdict::Allow,
        },
        Case {
            name: "rejected or failed between the crashes",
            runs: &[(1, Broken), (2, Broken), (4, Refused), (3, Broken)],
            crashes: 3,
            verdict: CrashVerdict::Reject,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        for (server, end) in case.runs {
            fixture.run(0, *server, *end);
        }
        assert_eq!(fixture.crashes(), case.crashes, "{}", case.name);
        assert_eq!(fixture.verdict(), case.verdict, "{}", case.name);
    }
}

/// Guards against counting one death twice, because two copies of a request ran at the server or two
/// nodes report it.
#[test]
fn one_death_counts_once() {
    let mut fixture = Fixture::new();
    let server = fixture.servers[1];
    let runs = [0; 3]
        .map(|_| fixture.tracker.start_run(&request(0).into(), server, incarnation(1), BUILD));
    for run in runs {
        fixture.tracker.end_run(fixture.now, run, RunEnd::Broken, true, &mut fixture.events);
    }
    assert_eq!(fixture.crashes(), 1);
    let mut other = Fixture::new();
    other.run(0, 1, RunEnd::Broken);
    let report = other.tracker.report(request(0)).expect("a crash was counted");
    fixture.tracker.merge_reported(fixture.now, &report, &mut fixture.events);
    assert_eq!(fixture.crashes(), 1);
}

/// Guards against a server that ends in silence without being counted, and against counting a run
/// that only timed out or whose client left.
#[test]
fn run_without_a_response_counts_only_if_its_server_ended() {
    struct Case {
        name: &'static str,
        /// What becomes known after the run has ended.
        then: fn(&mut Fixture, ServerKey),
        crashes: usize,
    }
    let cases = [
        Case { name: "nothing", then: |_, _| {}, crashes: 0 },
        Case {
            name: "server ends",
            then: |fixture, server| {
                fixture.advance(Duration::from_secs(4));
                fixture.tracker.tick(fixture.now);
                fixture.tracker.on_server_ended(fixture.now, server, &mut fixture.events);
            },
            crashes: 1,
        },
        Case {
            name: "connections break",
            then: |fixture, server| {
                fixture.tracker.on_server_lost(fixture.now, server, &mut fixture.events);
            },
            crashes: 1,
        },
        Case {
            name: "server responds, then connections break",
            then: |fixture, server| {
                fixture.advance(Duration::from_millis(10));
                fixture.tracker.on_server_alive(server, fixture.now);
                fixture.tracker.on_server_lost(fixture.now, server, &mut fixture.events);
            },
            crashes: 0,
        },
        Case {
            name: "response to an earlier request, then the server ends",
            then: |fixture, server| {
                fixture.tracker.on_server_alive(server, millis(500));
                fixture.tracker.on_server_ended(fixture.now, server, &mut fixture.events);
            },
            crashes: 1,
        },
        Case {
            name: "silent for a second or so",
            then: |fixture, server| {
                fixture.advance(Duration::from_millis(1_600));
                assert_eq!(fixture.tracker.tick(fixture.now), []);
                fixture.tracker.on_server_alive(server, fixture.now);
                fixture.advance(SILENCE);
                assert_eq!(fixture.tracker.tick(fixture.now), []);
                fixture.tracker.on_server_lost(fixture.now, server, &mut fixture.events);
            },
            crashes: 0,
        },
        Case {
            name: "silent and unreachable",
            then: |fixture, server| {
                fixture.advance(SILENCE);
                assert_eq!(fixture.tracker.tick(fixture.now), [server]);
                fixture.tracker.on_server_checked(fixture.now, server, false, &mut fixture.events);
            },
            crashes: 1,
        },
        Case {
            name: "silent and reachable",
            then: |fixture, server| {
                fixture.advance(SILENCE);
                fixture.tracker.tick(fixture.now);
                fixture.tracker.on_server_checked(fixture.now, server, true, &mut fixture.events);
                fixture.tracker.on_server_lost(fixture.now, server, &mut fixture.events);
            },
            crashes: 0,
        },
        Case {
            name: "silent and reachable again, and a new incarnation",
            then: |fixture, server| {
                fixture.advance(SILENCE);
                fixture.tracker.tick(fixture.now);
                fixture.tracker.on_server_checked(fixture.now, server, true, &mut fixture.events);
                fixture.tracker.on_server_alive(server, fixture.now);
                fixture.tracker.on_server_ended(fixture.now, server, &mut fixture.events);
            },
            crashes: 1,
        },
        Case {
            name: "server ends much later",
            then: |fixture, server| {
                fixture.advance(Duration::from_secs(20));
                fixture.tracker.tick(fixture.now);
                fixture.tracker.on_server_ended(fixture.now, server, &mut fixture.events);
            },
            crashes: 0,
        },
        Case {
            name: "the request completes once elsewhere, then the server ends",
            then: |fixture, server| {
                fixture.run(0, 2, RunEnd::Completed);
                fixture.tracker.on_server_ended(fixture.now, server, &mut fixture.events);
            },
            crashes: 1,
        },
        Case {
            name: "the request completes often elsewhere, then the server ends",
            then: |fixture, server| {
                fixture.complete(0);
                fixture.tracker.on_server_ended(fixture.now, server, &mut fixture.events);
            },
            crashes: 0,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        fixture.run(0, 1, RunEnd::Unanswered);
        let server = fixture.servers[1];
        (case.then)(&mut fixture, server);
        assert_eq!(fixture.crashes(), case.crashes, "{}", case.name);
    }
}

/// Guards against copies of a request that run at the same time and crash more servers than one
/// request may.
#[test]
fn suspect_runs_only_as_often_as_it_may_still_crash() {
    struct Case {
        name: &'static str,
        broken: usize,
        unanswered: usize,
        running: usize,
        verdict: CrashVerdict,
    }
    let case = |name, broken, unanswered, running, verdict| Case {
        name,
        broken,
        unanswered,
        running,
        verdict,
    };
    let cases = [
        case("no suspect", 0, 0, 5, CrashVerdict::Allow),
        case("one crash", 1, 0, 1, CrashVerdict::Allow),
        case("one crash, two running", 1, 0, 2, CrashVerdict::Wait),
        case("two crashes, one running", 2, 0, 1, CrashVerdict::Wait),
        case("one crash, two without a response", 1, 2, 0, CrashVerdict::Wait),
        case("three without a response", 0, 3, 0, CrashVerdict::Wait),
        case("three crashes", 3, 0, 0, CrashVerdict::Reject),
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        (0..case.broken).for_each(|server| fixture.run(0, server, RunEnd::Broken));
        (0..case.unanswered).for_each(|server| fixture.run(0, 3 + server, RunEnd::Unanswered));
        let server = fixture.servers[7];
        for _ in 0..case.running {
            fixture.tracker.start_run(&request(0).into(), server, incarnation(7), BUILD);
        }
        assert_eq!(fixture.verdict(), case.verdict, "{}", case.name);
    }
}

/// Guards against an innocent request that is rejected forever, and against a crashing one that
/// crashes three servers again after each quarantine.
#[test]
fn one_run_is_allowed_after_each_quarantine() {
    let mut fixture = Fixture::new();
    (0..MAX_CRASHES).for_each(|server| fixture.run(0, server, RunEnd::Broken));
    for (further, quarantine) in [120, 240, 480].into_iter().enumerate() {
        fixture.advance(Duration::from_secs(quarantine - 1));
        fixture.tracker.tick(fixture.now);
        assert_eq!(fixture.verdict(), CrashVerdict::Reject, "after {quarantine} s");
        fixture.advance(Duration::from_secs(1));
        assert_eq!(fixture.verdict(), CrashVerdict::Allow, "after {quarantine} s");
        let server = fixture.servers[4];
        let run =
            fixture.tracker.start_run(&request(0).into(), server, incarnation(4 + further), BUILD);
        assert_eq!(fixture.verdict(), CrashVerdict::Wait, "one run at a time");
        fixture.tracker.end_run(fixture.now, run, RunEnd::Broken, true, &mut fixture.events);
        assert_eq!(fixture.verdict(), CrashVerdict::Reject);
    }
    fixture.advance(Duration::from_secs(960));
    fixture.run(0, 5, RunEnd::Completed);
    assert_eq!(fixture.crashes(), 0);
}

/// Guards against a request that crashes servers again because many requests that merely ran beside
/// others took its place in the table.
#[test]
fn full_table_keeps_requests_with_the_most_crashes() {
    let mut fixture = Fixture::new();
    (0..MAX_CRASHES).for_each(|server| fixture.run(0, server, RunEnd::Broken));
    (1..=2 * FLOOD).for_each(|number| fixture.run(number, 4, RunEnd::Broken));
    assert_eq!(fixture.verdict(), CrashVerdict::Reject);
    let dropped = fixture.events.iter().filter(|event| matches!(event, CrashEvent::Dropped { .. }));
    assert_eq!(dropped.count(), FLOOD + 1);
}
