//! The rate of requests to a server that names a limit, over all nodes together. Time and network are
//! simulated.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    traffic::{LimitRank, LimitStatement, ServerLimit},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STEP: Duration = Duration::from_millis(2);
/// Length of a history.
const LENGTH: Duration = Duration::from_secs(40);
/// Time from the first limit until it is judged.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// A server may get this multiple of its limit in a window, and some requests more.
const MAX_RATE_FACTOR: f64 = 1.5;
const MAX_EXTRA_REQUESTS: f64 = 5.0;
/// Share of the limit that must be used while requests wait at all nodes.
const MIN_USED_SHARE: f64 = 0.75;
/// Time between two repeated notices of a node.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
const SEEDS: u64 = 5;

/// Where requests wait for the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Demand {
    /// At all nodes, at every moment.
    AllNodes,
    /// At one node.
    OneNode,
    /// At one node, another one every three seconds.
    Moving,
    /// At all nodes, each two seconds a burst.
    Bursts,
}

/// What happens to the nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    Nothing,
    /// A node restarts, every four seconds.
    Restarts,
    /// The first node receives no notices.
    OneDeaf,
    /// All notices of the first node are lost.
    OneMute,
    /// A node is suspended for three seconds, every six seconds.
    Suspensions,
    /// Half of the nodes leave after ten seconds.
    Leaves,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    nodes: usize,
    /// Requests a second that the server takes.
    limit: f64,
    /// The limit from the middle of the history on.
    later_limit: f64,
    demand: Demand,
    /// Probability that a datagram is lost.
    loss: f64,
    disturbance: Disturbance,
    is_use_judged: bool,
}

const CALM: Case = Case {
    name: "one a second",
    nodes: 9,
    limit: 1.0,
    later_limit: 1.0,
    demand: Demand::AllNodes,
    loss: 0.0,
    disturbance: Disturbance::Nothing,
    is_use_judged: true,
};

const CASES: [Case; 17] = [
    CALM,
    Case { name: "less than one a second", limit: 0.3, later_limit: 0.3, ..CALM },
    Case { name: "fraction", limit: 1.2, later_limit: 1.2, ..CALM },
    Case { name: "many a second", limit: 40.0, later_limit: 40.0, ..CALM },
    Case { name: "one node has requests", demand: Demand::OneNode, ..CALM },
    Case {
        name: "requests move between nodes",
        limit: 4.0,
        later_limit: 4.0,
        demand: Demand::Moving,
        ..CALM
    },
    Case {
        name: "bursts",
        limit: 3.0,
        later_limit: 3.0,
        demand: Demand::Bursts,
        is_use_judged: false,
        ..CALM
    },
    Case { name: "limit falls", limit: 20.0, later_limit: 1.0, is_use_judged: false, ..CALM },
    Case { name: "limit rises", limit: 1.0, later_limit: 10.0, ..CALM },
    Case { name: "lost datagrams", limit: 2.0, later_limit: 2.0, loss: 0.3, ..CALM },
    Case {
        name: "restarts",
        limit: 2.0,
        later_limit: 2.0,
        loss: 0.1,
        disturbance: Disturbance::Restarts,
        is_use_judged: false,
        ..CALM
    },
    Case { name: "one node hears nothing", disturbance: Disturbance::OneDeaf, ..CALM },
    Case { name: "one node is not heard", disturbance: Disturbance::OneMute, ..CALM },
    Case { name: "suspended nodes", disturbance: Disturbance::Suspensions, ..CALM },
    Case { name: "nodes leave", disturbance: Disturbance::Leaves, ..CALM },
    Case { name: "86 nodes, one has requests", nodes: 86, demand: Demand::OneNode, ..CALM },
    Case { name: "86 nodes", nodes: 86, limit: 2.0, later_limit: 2.0, loss: 0.05, ..CALM },
];

struct Notice {
    arrives_at: ClockTime,
    to: usize,
    sender: u64,
    sent: u64,
    statement: LimitStatement,
}

struct Simulation {
    case: Case,
    rng: SmallRng,
    now: ClockTime,
    nodes: Vec<ServerLimit>,
    /// Numbers of the nodes' incarnations.
    incarnations: Vec<u64>,
    notices: Vec<Notice>,
    sent: Vec<ClockTime>,
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            case,
            rng: SmallRng::seed_from_u64(seed),
            now: ClockTime::from_millis(10_000),
            nodes: vec![ServerLimit::default(); case.nodes],
            incarnations: (0..case.nodes as u64).collect(),
            notices: Vec::new(),
            sent: Vec::new(),
        };
        (0..case.nodes).for_each(|node| simulation.learn(node));
        simulation
    }

    fn play(mut self) -> Vec<ClockTime> {
        let start = self.now;
        while self.now.since(start) < LENGTH {
            let elapsed = self.now.since(start);
            self.deliver(elapsed);
            if self.case.disturbance == Disturbance::Restarts
                && is_multiple(elapsed, Duration::from_secs(4))
            {
                let node = self.rng.random_range(0..self.case.nodes);
                self.nodes[node] = ServerLimit::default();
                self.incarnations[node] += 1_000;
                self.learn(node);
            }
            if elapsed == LENGTH / 2 && self.case.limit != self.case.later_limit {
                // A response to a request that was sent just now names the new limit.
                let node = self.rng.random_range(0..self.case.nodes);
                let sent_at = self.now;
                self.now = self.now + STEP;
                self.nodes[node].on_response(self.now, sent_at, Some(self.case.later_limit));
                self.broadcast(node);
            }
            if is_multiple(elapsed, REPEAT_INTERVAL) {
                for node in 0..self.case.nodes {
                    if self.is_active(node, elapsed) && self.nodes[node].take_repeat() {
                        self.broadcast(node);
                    }
                }
            }
            // Requests reach the nodes in any order.
            let first = self.rng.random_range(0..self.case.nodes);
            let nodes = self.case.nodes;
            for node in (0..nodes).map(|node| (node + first) % nodes) {
                if self.is_active(node, elapsed) && self.has_request(node, elapsed) {
                    self.try_send(node);
                }
            }
            self.now = self.now + STEP;
        }
        self.sent
    }

    fn learn(&mut self, node: usize) {
        self.nodes[node].on_response(self.now, self.now, Some(self.case.limit));
        self.nodes[node].set_rank(LimitRank { position: node as u32 });
    }

    fn is_active(&self, node: usize, elapsed: Duration) -> bool {
        match self.case.disturbance {
            Disturbance::Leaves => elapsed < Duration::from_secs(10) || node.is_multiple_of(2),
            Disturbance::Suspensions => {
                let (turn, time) = (elapsed.as_secs() / 6, elapsed.as_secs() % 6);
                time >= 3 || node != turn as usize % self.case.nodes
            }
            _ => true,
        }
    }

    fn has_request(&mut self, node: usize, elapsed: Duration) -> bool {
        match self.case.demand {
            Demand::AllNodes => true,
            Demand::OneNode => node + 1 == self.case.nodes,
            Demand::Moving => node == (elapsed.as_secs() / 3) as usize % self.case.nodes,
            Demand::Bursts => elapsed.as_millis() % 2_000 < 10,
        }
    }

    fn try_send(&mut self, node: usize) {
        if self.nodes[node].wait(self.now).is_zero() && self.nodes[node].on_sent(self.now) {
            self.sent.push(self.now);
            self.broadcast(node);
        }
    }

    fn broadcast(&mut self, from: usize) {
        let statement = self.nodes[from].statement();
        let (sender, sent) = (self.incarnations[from], self.nodes[from].own_sent());
        for to in (0..self.case.nodes).filter(|to| *to != from) {
            let delay = Duration::from_millis(self.rng.random_range(2..15));
            let is_cut = match self.case.disturbance {
                Disturbance::OneDeaf => to == 0,
                Disturbance::OneMute => from == 0,
                _ => false,
            };
            if !is_cut && !self.rng.random_bool(self.case.loss) {
                self.notices.push(Notice {
                    arrives_at: self.now + delay,
                    to,
                    sender,
                    sent,
                    statement,
                });
            }
        }
    }

    fn deliver(&mut self, elapsed: Duration) {
        let now = self.now;
        // Notices to a suspended node wait for it.
        let (due, waiting) = std::mem::take(&mut self.notices)
            .into_iter()
            .partition(|notice| notice.arrives_at <= now && self.is_active(notice.to, elapsed));
        self.notices = waiting;
        let due: Vec<Notice> = due;
        for notice in due {
            let node = &mut self.nodes[notice.to];
            node.on_told(now, notice.statement);
            node.on_other_sent(now, notice.sender, notice.sent);
        }
    }
}

fn is_multiple(elapsed: Duration, period: Duration) -> bool {
    elapsed.as_millis().is_multiple_of(period.as_millis())
}

/// Returns the largest number of requests in a window that begins after `from`.
fn max_in_window(sent: &[ClockTime], from: ClockTime, until: ClockTime) -> usize {
    let starts = sent.iter().filter(|at| **at >= from && **at + WINDOW <= until);
    let counts = starts
        .map(|start| sent.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count());
    counts.max().unwrap_or(0)
}

/// Guards against nodes that together send a server more requests than it takes, and against a limit
/// that is left unused while requests wait.
#[test]
fn nodes_share_the_limit_of_a_server() {
    let mut failures = Vec::new();
    for case in CASES {
        for seed in 0..SEEDS {
            let simulation = Simulation::new(case, seed);
            let start = simulation.now;
            let sent = simulation.play();
            let middle = start + LENGTH / 2;
            let end = start + LENGTH;
            let parts = [
                (case.limit, start + STABLE_TIME, middle),
                (case.later_limit, middle + STABLE_TIME + WINDOW, end),
            ];
            for (limit, from, until) in parts {
                let allowed = limit * WINDOW.as_secs_f64() * MAX_RATE_FACTOR + MAX_EXTRA_REQUESTS;
                let most = max_in_window(&sent, from, until);
                let count = sent.iter().filter(|at| **at >= from && **at < until).count();
                let share = count as f64 / (limit * until.since(from).as_secs_f64());
                let is_used = !case.is_use_judged || share >= MIN_USED_SHARE;
                if most as f64 > allowed || !is_used {
                    failures.push(format!(
                        "{}, seed {seed}: {most} in a window, allowed {allowed}, used {share:.2}",
                        case.name
                    ));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a limit that ends or rises because of a response to a request that was sent before
/// the limit was known.
#[test]
fn only_newer_responses_raise_a_limit() {
    struct Case {
        name: &'static str,
        /// Time in ms at which the request was sent, and the limit that its response names.
        responses: &'static [(u64, Option<f64>)],
        rate: Option<f64>,
    }
    let cases = [
        Case { name: "named", responses: &[(900, Some(2.0))], rate: Some(2.0) },
        Case {
            name: "not named by a later one",
            responses: &[(900, Some(2.0)), (1_500, None)],
            rate: None,
        },
        Case {
            name: "not named by an earlier one",
            responses: &[(900, Some(2.0)), (800, None)],
            rate: Some(2.0),
        },
        Case {
            name: "higher in a later one",
            responses: &[(900, Some(2.0)), (1_500, Some(5.0))],
            rate: Some(5.0),
        },
        Case {
            name: "higher in an earlier one",
            responses: &[(900, Some(2.0)), (800, Some(5.0))],
            rate: Some(2.0),
        },
        Case {
            name: "lower in an earlier one",
            responses: &[(900, Some(2.0)), (800, Some(1.0))],
            rate: Some(1.0),
        },
        Case {
            name: "named by an earlier one after the end",
            responses: &[(900, Some(2.0)), (1_500, None), (1_400, Some(2.0))],
            rate: Some(2.0),
        },
        Case {
            name: "named again",
            responses: &[(900, Some(2.0)), (1_500, None), (3_500, Some(3.0))],
            rate: Some(3.0),
        },
    ];
    for case in cases {
        let mut limit = ServerLimit::default();
        // Each response arrives one second after the one before it.
        for (index, (sent_at, rate)) in case.responses.iter().enumerate() {
            let now = ClockTime::from_millis(1_000 * (index as u64 + 1));
            let sent_at = ClockTime::from_millis(*sent_at);
            limit.on_response(now, sent_at, *rate);
        }
        assert_eq!(limit.rate(), case.rate, "{}", case.name);
    }
}

/// Guards against a server that is never asked again because its limit leaves no request.
#[test]
fn server_without_any_allowed_request_is_asked_seldom() {
    let mut limit = ServerLimit::default();
    let start = ClockTime::from_millis(1_000);
    limit.on_response(start, start, Some(0.0));
    let wait = limit.wait(start);
    assert!(wait > Duration::ZERO && wait < Duration::from_secs(10), "{wait:?}");
}
