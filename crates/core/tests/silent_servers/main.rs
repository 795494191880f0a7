//! Servers that fall silent, found out by 80 nodes together.

mod simulation;

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    traffic::{
        LinkState, PROBERS, ProbeSchedule, ReportRule, ServerSilence, SilenceChange, overdue_after,
    },
};
use simulation::{NODES, SERVERS, SilenceCase, Simulation};

const SEEDS: u64 = 3;
/// Servers that are silent in most cases.
const QUARTER: usize = SERVERS / 4;
/// Each tick of a simulation at which a node avoids a server counts as this time.
const TICK_MS: u64 = 100;

fn millis(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

fn usual() -> SilenceCase {
    SilenceCase {
        name: "usual",
        silent: Vec::new(),
        cut_node: None,
        isolated_nodes: 0,
        older_nodes: 0,
        lost_responses: 0.0,
        length_ms: 10_000,
    }
}

fn quarter() -> SilenceCase {
    let silent = (0..QUARTER).map(|server| (server, 3_000, 9_000)).collect();
    SilenceCase { name: "a quarter", silent, ..usual() }
}

/// Guards against nodes that each run into each silent server, against servers that stay out after they
/// answer again, and against probes without bound.
#[test]
fn few_requests_run_into_silent_servers() {
    struct Case {
        silence: SilenceCase,
        /// Bounds for each server, and for the mean of all silent ones.
        lost: usize,
        mean_lost: usize,
        probes: usize,
        /// Whether every server is avoided until it answers.
        until_it_answers: bool,
    }
    let usual_bounds =
        Case { silence: quarter(), lost: 14, mean_lost: 7, probes: 9, until_it_answers: true };
    let cut = SilenceCase { name: "beside a node without links", cut_node: Some(3), ..quarter() };
    let isolated = SilenceCase { name: "beside isolated nodes", isolated_nodes: 8, ..quarter() };
    let older = SilenceCase { name: "half are of an older build", older_nodes: 40, ..quarter() };
    let cases = [
        Case { silence: cut, ..usual_bounds },
        // An isolated node finds out by itself, and does so again and again.
        Case {
            silence: isolated,
            lost: 30,
            mean_lost: 20,
            until_it_answers: false,
            ..usual_bounds
        },
        // No node probes a server if its first two are of the older build.
        Case { silence: older, lost: 30, mean_lost: 14, until_it_answers: false, ..usual_bounds },
        usual_bounds,
    ];
    for case in cases {
        for seed in 0..SEEDS {
            let name = format!("{}, seed {seed}", case.silence.name);
            let outcome = Simulation::run(case.silence.clone(), seed);
            let lost = &outcome.lost_requests[..QUARTER];
            assert!(lost.iter().all(|count| *count <= case.lost), "{name}: {lost:?}");
            let mean = lost.iter().sum::<usize>() / QUARTER;
            assert!(mean <= case.mean_lost, "{name}: {lost:?}");
            let probes = &outcome.probes;
            assert!(probes.iter().all(|count| *count <= case.probes), "{name}: {probes:?}");
            for server in (0..QUARTER).filter(|_| case.until_it_answers) {
                let avoided_at = outcome.avoided_at[server].expect("it is avoided");
                let back_at = outcome.back_at[server].expect("it is back");
                assert!(avoided_at <= 4_800, "{name}: server {server} at {avoided_at}");
                assert!((9_000..=9_500).contains(&back_at), "{name}: server {server} at {back_at}");
            }
        }
    }
}

/// Guards against servers that are avoided although they answer: a response is lost now and then, a node
/// has lost its links, or a server pauses for a second.
#[test]
fn servers_that_answer_are_used() {
    let pauses = (0..QUARTER).map(|server| (server, 3_000, 4_000)).collect();
    let cases = [
        usual(),
        SilenceCase { name: "lost responses", lost_responses: 0.02, ..usual() },
        SilenceCase { name: "a node without links", cut_node: Some(3), ..usual() },
        SilenceCase { name: "silent for one second", silent: pauses, ..usual() },
    ];
    for case in cases {
        for seed in 0..SEEDS {
            let name = format!("{}, seed {seed}", case.name);
            let outcome = Simulation::run(case.clone(), seed);
            for (server, wrongly_ms) in outcome.wrongly_avoided_ms.iter().enumerate() {
                let paused = case.silent.iter().any(|(silent, ..)| *silent == server);
                let bound_ms = if paused { 5 * TICK_MS * NODES as u64 } else { 0 };
                assert!(*wrongly_ms <= bound_ms, "{name}: server {server} for {wrongly_ms} ms");
            }
            let probes: usize = outcome.probes.iter().sum();
            assert!(probes <= 3 * SERVERS, "{name}: {probes} probes");
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A node reports that it did not hear the server for some ms.
    Report(u64, u64),
    Heard,
    /// A notice that the server was heard some ms ago.
    HeardBefore(u64),
    Wait(u64),
}

/// Guards against one node that condemns a server, against reports that outlive a sign of life, and
/// against a server that stays out for want of notices.
#[test]
fn two_nodes_make_a_server_silent_until_it_is_heard() {
    use Step::{Heard, HeardBefore, Report, Wait};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        nodes: usize,
        silent: bool,
    }
    let case = |name, steps, silent| Case { name, steps, nodes: NODES, silent };
    let cases = [
        case("one node", &[Report(1, 300), Report(1, 400), Wait(300)], false),
        case("two nodes", &[Report(1, 300), Report(2, 300)], true),
        case("at once", &[Report(1, 50), Report(2, 50)], false),
        case("after a while", &[Report(1, 50), Report(2, 50), Wait(250)], true),
        case("heard after", &[Report(1, 300), Report(2, 300), Heard], false),
        case("heard between", &[Report(1, 300), Heard, Report(2, 300)], false),
        case("heard meanwhile", &[Report(1, 300), HeardBefore(200), Report(2, 300)], false),
        case("heard before", &[Report(1, 300), Report(2, 300), HeardBefore(400)], true),
        case("not renewed", &[Report(1, 300), Report(2, 300), Wait(5_000)], false),
        case(
            "renewed",
            &[Report(1, 300), Report(2, 300), Wait(3_000), Report(3, 9), Wait(4_000)],
            true,
        ),
        Case { nodes: 1, ..case("the only node", &[Report(1, 300)], true) },
        case(
            "many",
            &[Report(1, 300), Report(2, 300), Report(3, 1), Report(4, 1), Report(5, 1)],
            true,
        ),
    ];
    for case in cases {
        let mut silence = ServerSilence::default();
        let mut now = millis(50_000);
        for step in case.steps {
            match *step {
                Report(node, ms) => silence.on_report(now, node, now - Duration::from_millis(ms)),
                Heard => silence.on_heard(now),
                HeardBefore(ms) => silence.on_heard(now - Duration::from_millis(ms)),
                Wait(ms) => now = now + Duration::from_millis(ms),
            }
            silence.update(now, case.nodes);
        }
        assert_eq!(silence.is_silent(), case.silent, "{}", case.name);
        silence.on_heard(now + Duration::from_millis(1));
        let back = case.silent.then_some(SilenceChange::Back);
        assert_eq!(silence.update(now, case.nodes), back, "{}", case.name);
    }
}

/// Guards against a silent server that every node goes on to report, or that none does.
#[test]
fn only_probes_are_reported_once_a_server_is_silent() {
    for is_probe in [false, true] {
        let mut silence = ServerSilence::default();
        let now = millis(50_000);
        silence.on_own_failure(now, is_probe);
        assert_eq!(silence.take_own_failure(), Some(now));
        for node in [1, 2] {
            silence.on_report(now, node, now - Duration::from_millis(300));
        }
        silence.update(now, NODES);
        silence.on_own_failure(now, is_probe);
        assert_eq!(silence.take_own_failure(), is_probe.then_some(now));
        silence.on_own_failure(now, is_probe);
        silence.on_heard(now + Duration::from_millis(1));
        assert_eq!(silence.take_own_failure(), None, "it was heard since");
    }
}

/// Guards against probes of all nodes, and against more than about one a second.
#[test]
fn two_nodes_take_turns_to_probe() {
    for (nodes, at_start) in [(1, 1), (2, 2), (NODES, 2)] {
        let mut schedules = vec![ProbeSchedule::default(); nodes];
        let mut probes = Vec::new();
        for at in (0..10_000).step_by(100) {
            for (rank, schedule) in schedules.iter_mut().enumerate() {
                if schedule.is_due(millis(50_000 + at), rank as u32, nodes) {
                    assert!((rank as u32) < PROBERS);
                    probes.push(at);
                }
            }
        }
        let first = probes.iter().filter(|at| **at == 0).count();
        assert_eq!(first, at_start, "{nodes} nodes");
        let later: Vec<u64> = probes.into_iter().filter(|at| *at > 0).collect();
        assert_eq!(later, (1..10).map(|second| second * 1_000).collect::<Vec<u64>>());
        schedules[0].on_cleared();
        assert!(!schedules[0].is_due(millis(59_100), 0, nodes), "reports that come and go");
    }
}

/// Guards against a node that is cut off and condemns servers for the others.
#[test]
fn a_node_that_may_be_cut_off_reports_nothing() {
    struct Case {
        heard_ms_ago: Option<u64>,
        links: LinkState,
        nodes: usize,
        may_report: bool,
    }
    let case =
        |heard_ms_ago, links, nodes, may_report| Case { heard_ms_ago, links, nodes, may_report };
    let cases = [
        case(Some(100), LinkState::Working, 80, true),
        case(Some(100), LinkState::Lost, 80, false),
        case(Some(1_500), LinkState::Working, 80, false),
        case(None, LinkState::Working, 80, false),
        case(Some(100), LinkState::Working, 1, false),
    ];
    for case in cases {
        let now = millis(50_000);
        let mut rule = ReportRule::default();
        if let Some(ms) = case.heard_ms_ago {
            rule.on_peer_heard(now - Duration::from_millis(ms));
        }
        let may_report = rule.may_report(now, case.links, case.nodes);
        assert_eq!(may_report, case.may_report, "{:?} {:?}", case.heard_ms_ago, case.links);
    }
}

/// Guards against long prompts that cast doubt on a server while it computes them.
#[test]
fn a_request_is_overdue_only_after_its_expected_time() {
    for (expected, target, overdue) in [(10, 300, 250), (10, 1_200, 300), (400, 1_200, 800)] {
        let limit = overdue_after(Duration::from_millis(expected), Duration::from_millis(target));
        assert_eq!(limit, Duration::from_millis(overdue));
    }
}
