//! Nodes that send requests to servers and exchange notices, with delay and loss.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use carobvane_core::{
    arena::KeyArena,
    clock::ClockTime,
    ids::ServerKey,
    rendezvous::node_rank,
    traffic::{
        BLAME_DELAY, HEARD_NOTICE_AGE, LinkCheck, LinkFailure, LinkState, ReportRule, ServerLinks,
        ServerSilence, overdue_after,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const NODES: usize = 80;
pub const SERVERS: usize = 60;
/// Mean time between two requests of all clients: 416 a second.
const REQUEST_GAP_MS: f64 = 1.0 / 0.416;
const RESPONSE_MS: u64 = 60;
const CONNECT_TIMEOUT_MS: u64 = 300;
const TARGET: Duration = Duration::from_millis(500);
/// Failed requests to a server at one node keep it from sending more there for this long.
const OWN_BACKOFF_MS: u64 = 300;
const START_MS: u64 = 10_000;

#[derive(Debug, Clone)]
pub struct SilenceCase {
    pub name: &'static str,
    /// Servers that are silent, from when to when, in ms after the start.
    pub silent: Vec<(usize, u64, u64)>,
    /// Node whose links break after two seconds.
    pub cut_node: Option<usize>,
    /// Number of nodes that hear no notices, and whose notices arrive nowhere.
    pub isolated_nodes: usize,
    /// Number of nodes that send only `Silent`, for connections that fail.
    pub older_nodes: usize,
    /// Share of requests whose response is lost although the server sent it.
    pub lost_responses: f64,
    pub length_ms: u64,
}

/// What happened, by server.
#[derive(Debug, Default)]
pub struct SilenceOutcome {
    /// Requests that were sent while the server did not respond.
    pub lost_requests: Vec<usize>,
    pub probes: Vec<usize>,
    /// When 90 % of the nodes first avoided the server, in ms after the start.
    pub avoided_at: Vec<Option<u64>>,
    /// When 90 % of the nodes used it again after that.
    pub back_at: Vec<Option<u64>>,
    /// Time, in ms, summed over nodes, for which a server that responded was avoided.
    pub wrongly_avoided_ms: Vec<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    /// The response arrives at a node.
    Response {
        node: usize,
        server: usize,
    },
    ConnectTimeout {
        node: usize,
        server: usize,
        sent_ms: u64,
    },
    Overdue {
        node: usize,
        server: usize,
        sent_ms: u64,
    },
    ProbeEnd {
        node: usize,
        server: usize,
        sent_ms: u64,
    },
    Notice {
        from: usize,
        server: usize,
        kind: Notice,
    },
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Notice {
    Answered,
    Heard,
    Unheard { ms: u64 },
    Silent,
}

struct SimNode {
    links: ServerLinks,
    rule: ReportRule,
    silence: Vec<ServerSilence>,
    backoff_until: HashMap<usize, u64>,
}

pub struct Simulation {
    case: SilenceCase,
    rng: SmallRng,
    keys: Vec<ServerKey>,
    nodes: Vec<SimNode>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    now_ms: u64,
    pub outcome: SilenceOutcome,
}

fn time(ms: u64) -> ClockTime {
    ClockTime::from_millis(START_MS + ms)
}

impl Simulation {
    pub fn run(case: SilenceCase, seed: u64) -> SilenceOutcome {
        let mut arena: KeyArena<ServerKey, ()> = KeyArena::default();
        let keys = (0..SERVERS).map(|_| arena.insert(())).collect();
        let node = || SimNode {
            links: ServerLinks::default(),
            rule: ReportRule::default(),
            silence: vec![ServerSilence::default(); SERVERS],
            backoff_until: HashMap::new(),
        };
        let mut simulation = Simulation {
            case,
            rng: SmallRng::seed_from_u64(seed),
            keys,
            nodes: (0..NODES).map(|_| node()).collect(),
            events: BinaryHeap::new(),
            count: 0,
            now_ms: 0,
            outcome: SilenceOutcome {
                lost_requests: vec![0; SERVERS],
                probes: vec![0; SERVERS],
                avoided_at: vec![None; SERVERS],
                back_at: vec![None; SERVERS],
                wrongly_avoided_ms: vec![0; SERVERS],
            },
        };
        simulation.schedule(0, Event::Request);
        simulation.schedule(0, Event::Tick);
        while let Some(Reverse((at, _, event))) = simulation.events.pop() {
            if at >= simulation.case.length_ms {
                break;
            }
            simulation.now_ms = at;
            simulation.handle(event);
        }
        simulation.outcome
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now_ms + delay_ms, self.count, event)));
    }

    /// When a server that is asked now responds next.
    fn responds_at(&self, server: usize) -> u64 {
        let mut silences = self.case.silent.iter();
        let silence = silences.find(|(silent, from, to)| {
            *silent == server && (*from..*to).contains(&(self.now_ms + RESPONSE_MS))
        });
        silence.map_or(self.now_ms, |(_, _, to)| *to) + RESPONSE_MS
    }

    fn is_cut(&self, node: usize) -> bool {
        self.case.cut_node == Some(node) && self.now_ms >= 2_000
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => {
                let gap = -self.rng.random_range(1e-9..1.0_f64).ln() * REQUEST_GAP_MS;
                self.schedule(gap.round() as u64, Event::Request);
                self.send_request();
            }
            Event::Response { node, server } => self.hear(node, server),
            Event::ConnectTimeout { node, server, sent_ms } => {
                self.fail(node, server, sent_ms, LinkFailure::ConnectTimedOut, false);
            }
            Event::Overdue { node, server, sent_ms } => {
                if !self.nodes[node].silence[server].was_heard_since(time(sent_ms)) {
                    self.fail(node, server, sent_ms, LinkFailure::Silent, false);
                }
            }
            Event::ProbeEnd { node, server, sent_ms } => {
                if !self.nodes[node].silence[server].was_heard_since(time(sent_ms)) {
                    self.fail(node, server, sent_ms, LinkFailure::Silent, true);
                }
            }
            Event::Notice { from, server, kind } => self.deliver(from, server, kind),
            Event::Tick => {
                self.schedule(100, Event::Tick);
                (0..NODES).for_each(|node| self.tick(node));
                self.measure();
            }
        }
    }

    fn send_request(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let now = self.now_ms;
        let state = &self.nodes[node];
        if state.links.state() == LinkState::Lost {
            return;
        }
        let usable: Vec<usize> = (0..SERVERS)
            .filter(|server| {
                let rests = state.backoff_until.get(server).is_some_and(|until| now < *until);
                !rests && !state.silence[*server].is_silent()
            })
            .collect();
        let server = usable[self.rng.random_range(0..usable.len())];
        self.nodes[node].links.on_sent(time(now));
        let answers_at = self.responds_at(server);
        if answers_at > now + RESPONSE_MS {
            self.outcome.lost_requests[server] += 1;
        }
        let is_lost = self.rng.random_bool(self.case.lost_responses);
        let fails = answers_at > now + RESPONSE_MS || self.is_cut(node);
        if fails && self.rng.random_bool(0.5) {
            self.schedule(CONNECT_TIMEOUT_MS, Event::ConnectTimeout { node, server, sent_ms: now });
            return;
        }
        if !is_lost && !self.is_cut(node) {
            self.schedule(answers_at - now, Event::Response { node, server });
        }
        let overdue = overdue_after(Duration::from_millis(RESPONSE_MS), TARGET).as_millis() as u64;
        self.schedule(overdue, Event::Overdue { node, server, sent_ms: now });
    }

    fn hear(&mut self, node: usize, server: usize) {
        let now = time(self.now_ms);
        let state = &mut self.nodes[node];
        state.links.on_heard(now, self.keys[server]);
        state.links.on_ended();
        let was_suspected = state.silence[server].is_suspected();
        state.silence[server].on_heard(now);
        state.silence[server].update(now, NODES);
        self.broadcast(node, server, Notice::Answered);
        if was_suspected {
            self.broadcast(node, server, Notice::Heard);
        }
        self.report_blamed(node);
    }

    fn fail(
        &mut self,
        node: usize,
        server: usize,
        sent_ms: u64,
        failure: LinkFailure,
        probe: bool,
    ) {
        let now = time(self.now_ms);
        let state = &mut self.nodes[node];
        state.backoff_until.insert(server, self.now_ms + OWN_BACKOFF_MS);
        state.silence[server].on_own_failure(time(sent_ms), probe);
        state.links.on_failure(now, self.keys[server], failure, true);
        self.report_blamed(node);
    }

    fn report_blamed(&mut self, node: usize) {
        let now = time(self.now_ms);
        let is_older = node < self.case.older_nodes;
        let blamed = self.nodes[node].links.take_blamed();
        for server in blamed {
            let index = self.keys.iter().position(|key| *key == server.server).expect("a server");
            if server.failure.shows_silence() {
                self.broadcast(node, index, Notice::Silent);
            }
            let state_links = self.nodes[node].links.state();
            let state = &mut self.nodes[node];
            let Some(since) = state.silence[index].take_own_failure() else { continue };
            if state_links == LinkState::Lost {
                continue;
            }
            state.silence[index].on_report(now, node as u64, since);
            state.silence[index].update(now, NODES);
            if !is_older && state.rule.may_report(now, state_links, NODES) {
                let ms = now.since(since).as_millis() as u64;
                self.broadcast(node, index, Notice::Unheard { ms });
            }
        }
    }

    fn broadcast(&mut self, from: usize, server: usize, kind: Notice) {
        let delay = self.rng.random_range(2..60);
        self.schedule(delay, Event::Notice { from, server, kind });
    }

    fn deliver(&mut self, from: usize, server: usize, kind: Notice) {
        let now = time(self.now_ms);
        let is_isolated = |node: usize| node >= NODES - self.case.isolated_nodes;
        if is_isolated(from) {
            return;
        }
        for node in (0..NODES).filter(|node| *node != from && !is_isolated(*node)) {
            if self.rng.random_bool(0.03) {
                continue;
            }
            let state = &mut self.nodes[node];
            state.rule.on_peer_heard(now);
            let silence = &mut state.silence[server];
            match kind {
                Notice::Answered => silence.on_heard(now - HEARD_NOTICE_AGE),
                Notice::Heard => silence.on_heard(now),
                Notice::Unheard { ms } => {
                    silence.on_report(now, from as u64, now - Duration::from_millis(ms));
                }
                Notice::Silent => silence.on_report(now, from as u64, now - BLAME_DELAY),
            }
            silence.update(now, NODES);
        }
    }

    fn tick(&mut self, node: usize) {
        let now = time(self.now_ms);
        if self.nodes[node].links.needs_check(now) {
            let check = if self.is_cut(node) { LinkCheck::OthersReach } else { LinkCheck::Reached };
            self.nodes[node].links.on_checked(now, check);
            self.report_blamed(node);
        }
        for server in 0..SERVERS {
            let state = &mut self.nodes[node];
            state.silence[server].update(now, NODES);
            let may_probe = state.links.state() != LinkState::Lost && node >= self.case.older_nodes;
            if !state.silence[server].is_suspected() || !may_probe {
                continue;
            }
            let names: Vec<String> = (0..NODES).map(|name| format!("n{name}")).collect();
            let key = format!("i{server}");
            let others = names.iter().map(String::as_str);
            let rank = node_rank(key.as_bytes(), &names[node], others);
            if !state.silence[server].probes.is_due(now, rank, NODES) {
                continue;
            }
            self.outcome.probes[server] += 1;
            let sent_ms = self.now_ms;
            let answers_at = self.responds_at(server);
            if answers_at < self.now_ms + 900 && !self.is_cut(node) {
                self.schedule(answers_at - self.now_ms, Event::Response { node, server });
            }
            self.schedule(300, Event::ProbeEnd { node, server, sent_ms });
        }
    }

    fn measure(&mut self) {
        let now = self.now_ms;
        for server in 0..SERVERS {
            let avoiding = |state: &&SimNode| state.silence[server].is_silent();
            let avoiding = self.nodes.iter().filter(avoiding).count();
            let responds = self.responds_at(server) == now + RESPONSE_MS;
            if responds {
                self.outcome.wrongly_avoided_ms[server] += 100 * avoiding as u64;
            }
            let (avoided_at, back_at) =
                (&mut self.outcome.avoided_at[server], &mut self.outcome.back_at[server]);
            if avoided_at.is_none() && avoiding * 10 >= NODES * 9 {
                *avoided_at = Some(now);
            }
            if avoided_at.is_some() && avoiding * 10 <= NODES {
                back_at.get_or_insert(now);
            }
        }
    }
}
