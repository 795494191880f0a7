//! Requests that crash the servers that run them, as the nodes of a fleet count them.

use std::time::Duration;

use carobvane_core::{
    arena::KeyArena,
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    suspects::{RequestSuspects, ServerBuild, SuspectFingerprint},
    traffic::{CrashEvent, CrashReport, CrashTracker, CrashVerdict, MAX_CRASHES, RunEnd},
};

/// Time by which a silent server has been found out.
const SILENCE: Duration = Duration::from_millis(2_100);
/// Number of other requests that fill the table of a tracker.
const FLOOD: usize = 2_048;

/// Number of whole responses that refute the crashes of a request.
const REFUTING_RUNS: usize = 8;
/// Build of all servers.
const BUILD: ServerBuild = ServerBuild::UNKNOWN;

fn millis(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

fn request(number: usize) -> SuspectFingerprint {
    SuspectFingerprint::new("workspace", &number.to_le_bytes())
}

/// A tracker, its servers and the time.
struct Fixture {
    tracker: CrashTracker,
    servers: Vec<ServerKey>,
    events: Vec<CrashEvent>,
    now: ClockTime,
}

impl Fixture {
    fn new() -> Fixture {
        let mut arena = KeyArena::<ServerKey, ()>::default();
        let servers = (0..8).map(|_| arena.insert(())).collect();
        let (tracker, events) = (CrashTracker::default(), Vec::new());
        Fixture { tracker, servers, events, now: millis(1_000) }
    }

    /// Runs a request at the server with this number.
    fn run(&mut self, number: usize, server: usize, end: RunEnd) {
        let key = self.servers[server];
        let run = self.tracker.start_run(&request(number).into(), key, incarnation(server), BUILD);
        self.tracker.end_run(self.now, run, end, true, &mut self.events);
    }

    /// Runs a request at server 5 as often as it takes to refute its crashes.
    fn complete(&mut self, number: usize) {
        (0..REFUTING_RUNS).for_each(|_| self.run(number, 5, RunEnd::Completed));
    }

    /// Lets so much time pass that completed runs say nothing of the next crash.
    fn forget_runs(&mut self) {
        for _ in 0..2 {
            self.advance(Duration::from_secs(5));
            self.tracker.tick(self.now);
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    fn crashes(&self) -> usize {
        self.tracker.crash_count(request(0))
    }

    fn verdict(&self) -> CrashVerdict {
        self.tracker.verdict(self.now, &request(0).into(), |_| 0, |_| None).verdict
    }
}

/// Number of the incarnation of a server, the same on all nodes.
fn incarnation(server: usize) -> u64 {
    1_000 * (server as u64 + 1)
}

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

/// Guards against nodes that disagree on a request because reports were lost, repeated or reordered.
#[test]
fn nodes_agree_whatever_the_order_of_reports() {
    let mut reports = Vec::new();
    let mut origin = Fixture::new();
    for step in 0..4 {
        match step {
            2 => {
                origin.complete(0);
                origin.forget_runs();
            }
            _ => origin.run(0, step + 1, RunEnd::Broken),
        }
        reports.push(origin.tracker.report(request(0)).expect("a crash was counted"));
    }
    let orders: [&[usize]; 5] =
        [&[0, 1, 2, 3], &[3, 2, 1, 0], &[3], &[3, 3, 0, 0, 2], &[1, 3, 2, 2, 0]];
    for order in orders {
        let mut node = Fixture::new();
        node.run(0, 6, RunEnd::Broken);
        for &index in order {
            node.tracker.merge_reported(node.now, &reports[index], &mut node.events);
        }
        assert_eq!(node.crashes(), 2, "{order:?}");
        // The node tells the others what the reports lacked.
        let repeats = node.tracker.take_repeats();
        assert_eq!(repeats.len(), 1, "{order:?}");
        origin.tracker.merge_reported(origin.now, &repeats[0], &mut origin.events);
        assert_eq!(origin.crashes(), 2, "{order:?}");
    }
}

/// Guards against a record that never reaches the store, or reaches it from every node at once.
#[test]
fn records_of_several_crashes_are_written_by_the_nodes_that_saw_them() {
    const GRACE: Duration = Duration::from_secs(2);
    let mut observer = Fixture::new();
    observer.run(0, 1, RunEnd::Broken);
    assert_eq!(observer.tracker.unstored(observer.now, GRACE), [], "a single crash is not kept");
    observer.run(0, 2, RunEnd::Broken);
    let written = observer.tracker.unstored(observer.now, GRACE);
    assert_eq!(written.len(), 1);

    let mut other = Fixture::new();
    other.tracker.merge_reported(other.now, &written[0], &mut other.events);
    assert_eq!(other.tracker.unstored(other.now, GRACE), [], "the observer writes it");
    other.advance(GRACE);
    assert_eq!(other.tracker.unstored(other.now, GRACE), written, "the observer may be gone");

    let mut copied = Fixture::new();
    copied.tracker.merge_copied(copied.now, &written[0], &mut copied.events);
    copied.advance(GRACE);
    assert_eq!(copied.tracker.unstored(copied.now, GRACE), [], "a copy may be old");

    let stored = |tracker: &mut CrashTracker, report: &CrashReport| {
        tracker.merge_stored(millis(9_000), report, &mut Vec::new());
    };
    stored(&mut observer.tracker, &written[0]);
    assert_eq!(observer.tracker.unstored(observer.now, GRACE), []);
    observer.complete(0);
    let withdrawn = observer.tracker.unstored(observer.now, GRACE);
    assert_eq!(withdrawn.len(), 1, "a restarted node must learn of the completion");
    stored(&mut observer.tracker, &withdrawn[0]);
    observer.tracker.on_stored_removed(request(0));
    assert_eq!(observer.tracker.unstored(observer.now, GRACE), [], "nothing left to keep");
}

/// Returns the suspects of a request with these prompt parts.
fn with_parts(number: usize, parts: &[u64]) -> RequestSuspects {
    let parts = parts.iter().map(|part| SuspectFingerprint::of_part(*part));
    RequestSuspects::new(request(number), parts)
}

/// Guards against a response that clears parts which it did not run with, or leaves one blamed that
/// it did run with, and against blaming parts for servers that ended together for another reason.
#[test]
fn whole_responses_clear_exactly_the_parts_that_they_ran_with() {
    use RunEnd::{Broken, Completed, Refused, Unanswered};
    /// A run: its parts, its server and its end.
    type PartRun = (&'static [u64], usize, RunEnd);
    struct Case {
        name: &'static str,
        runs: &'static [PartRun],
        /// Parts of a request, and the verdict on it.
        verdicts: &'static [(&'static [u64], CrashVerdict)],
    }
    use CrashVerdict::{Allow, Reject};
    let cases = [
        Case {
            name: "three crashes, one after the other",
            runs: &[(&[1, 2], 1, Broken), (&[1, 2], 2, Broken), (&[1, 2], 3, Broken)],
            verdicts: &[(&[1, 2], Reject), (&[2, 1, 9], Reject), (&[1], Allow), (&[2], Allow)],
        },
        Case {
            name: "the first part completes elsewhere",
            runs: &[
                (&[1, 2], 1, Broken),
                (&[1, 2], 2, Broken),
                (&[1, 2], 3, Broken),
                (&[1, 3], 4, Completed),
            ],
            verdicts: &[(&[1, 2], Reject), (&[2], Reject), (&[1], Allow), (&[1, 3], Allow)],
        },
        Case {
            name: "no whole response",
            runs: &[
                (&[1, 2], 1, Broken),
                (&[1, 2], 2, Broken),
                (&[1, 2], 3, Broken),
                (&[2], 4, Refused),
                (&[2], 5, Unanswered),
            ],
            verdicts: &[(&[1, 2], Reject)],
        },
        Case {
            name: "the parts beside it differ",
            runs: &[(&[1, 2], 1, Broken), (&[1, 3, 2], 2, Broken), (&[4, 2], 3, Broken)],
            verdicts: &[(&[2], Reject), (&[9, 2], Reject), (&[1, 3], Allow), (&[4], Allow)],
        },
        Case {
            name: "completed once between the crashes",
            runs: &[
                (&[1, 2], 1, Broken),
                (&[1, 2], 2, Broken),
                (&[1, 2], 3, Completed),
                (&[1, 2], 4, Broken),
            ],
            verdicts: &[(&[1, 2], Reject)],
        },
        Case {
            name: "completed often between the crashes",
            runs: &[
                (&[1, 2], 1, Broken),
                (&[1, 2], 2, Broken),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 4, Broken),
            ],
            verdicts: &[(&[1, 2], Allow)],
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        for (number, (parts, server, end)) in case.runs.iter().enumerate() {
            let suspects = with_parts(number, parts);
            let key = fixture.servers[*server];
            let run = fixture.tracker.start_run(&suspects, key, incarnation(*server), BUILD);
            fixture.tracker.end_run(fixture.now, run, *end, true, &mut fixture.events);
        }
        for (parts, verdict) in case.verdicts {
            let suspects = with_parts(99, parts);
            let ruling = fixture.tracker.verdict(fixture.now, &suspects, |_| 0, |_| None);
            assert_eq!(ruling.verdict, *verdict, "{}: {parts:?}", case.name);
        }
    }
}

/// Guards against blaming a part that many requests share for servers that ended together, and against
/// never blaming one that crashes many servers at once.
#[test]
fn servers_that_end_together_blame_only_from_the_fifth_on() {
    for (servers, verdict) in [(4, CrashVerdict::Allow), (5, CrashVerdict::Reject)] {
        let mut fixture = Fixture::new();
        let runs: Vec<_> = (0..servers)
            .map(|server| {
                let suspects = with_parts(server, &[1]);
                let key = fixture.servers[server];
                fixture.tracker.start_run(&suspects, key, incarnation(server), BUILD)
            })
            .collect();
        for run in runs {
            fixture.tracker.end_run(fixture.now, run, RunEnd::Broken, true, &mut fixture.events);
        }
        let ruling = fixture.tracker.verdict(fixture.now, &with_parts(99, &[1]), |_| 0, |_| None);
        assert_eq!(ruling.verdict, verdict, "{servers} servers");
    }
}

/// Guards against a whole response from a server of another build that clears the crashes of a request.
#[test]
fn crashes_are_refuted_only_at_servers_of_the_same_build() {
    struct Case {
        name: &'static str,
        crashed: ServerBuild,
        completed: ServerBuild,
        crashes: usize,
    }
    let build = |software, weights| ServerBuild::new(Some(software), Some(WeightsVersion(weights)));
    let unknown = ServerBuild::UNKNOWN;
    let cases = [
        Case { name: "same", crashed: build("v1", 1), completed: build("v1", 1), crashes: 0 },
        Case { name: "software", crashed: build("v1", 1), completed: build("v2", 1), crashes: 3 },
        Case { name: "weights", crashed: build("v1", 1), completed: build("v1", 2), crashes: 3 },
        Case { name: "completed unknown", crashed: build("v1", 1), completed: unknown, crashes: 3 },
        Case { name: "crashed unknown", crashed: unknown, completed: build("v1", 1), crashes: 0 },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        let mut run = |server: usize, build, end| {
            let key = fixture.servers[server];
            let incarnation = incarnation(server);
            let run = fixture.tracker.start_run(&request(0).into(), key, incarnation, build);
            fixture.tracker.end_run(fixture.now, run, end, true, &mut fixture.events);
        };
        (0..MAX_CRASHES).for_each(|server| run(server, case.crashed, RunEnd::Broken));
        (0..REFUTING_RUNS).for_each(|_| run(5, case.completed, RunEnd::Completed));
        assert_eq!(fixture.crashes(), case.crashes, "{}", case.name);
    }
}
