//! Nodes that choose servers and inform each other late, and servers with queues.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use carobvane_core::{
    clock::ClockTime,
    traffic::{DEFAULT_PRIORITY, PlacementChoice, ServerLoad, SpeedSample},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    node::{FleetNode, prompt},
    server::ModelServer,
};

pub const SERVICE: &str = "engines";
/// A node gives up a server that has not responded for this long.
const TIMEOUT_US: u64 = 500_000;

/// What is special about the loads that servers report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reports {
    Right,
    Missing,
    /// Always the same: idle.
    False,
    /// As of half a second ago.
    Old,
}

/// A fleet and its load.
#[derive(Debug, Clone, Copy)]
pub struct FleetCase {
    pub name: &'static str,
    pub nodes: usize,
    /// Shortest and longest delay of notices, in ms.
    pub delays_ms: (u64, u64),
    pub servers: usize,
    pub slots: usize,
    /// Speeds of the slowest and the fastest server.
    pub speeds: (f64, f64),
    /// Long and short prompts a second, all nodes together.
    pub rates: (f64, f64),
    /// Factors on these rates in the second half.
    pub burst: (f64, f64),
    /// Share of the servers that are silent in the second half.
    pub silent: f64,
    pub reports: Reports,
    /// Whether a client asks again at once after a rejection.
    pub retries: bool,
    /// Whether the first node hears nothing from the others.
    pub has_deaf_node: bool,
}

#[derive(Debug, Clone)]
enum Event {
    Arrival {
        is_long: bool,
    },
    Sent {
        node: usize,
        server: usize,
        request: u64,
        tokens: u32,
    },
    Answered {
        node: usize,
        server: usize,
        request: u64,
        load: Option<ServerLoad>,
        speed: Option<SpeedSample>,
    },
    Response {
        node: usize,
        server: usize,
        request: u64,
    },
    End {
        node: usize,
        server: usize,
        request: u64,
    },
    Timeout {
        node: usize,
        server: usize,
        request: u64,
    },
}

#[derive(Clone, Copy)]
struct OpenRequest {
    choice: PlacementChoice,
    sent_us: u64,
    is_long: bool,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub struct FleetOutcome {
    pub requests: u64,
    /// Requests that servers or nodes turned away at least once.
    pub rejected: u64,
    pub refused: u64,
    /// Requests by the time to their first event, in ms, of long and short prompts.
    pub long_ms: Vec<f64>,
    pub short_ms: Vec<f64>,
    /// Work of each responding server, relative to its share of the capacity.
    pub shares: Vec<f64>,
    /// Choices of the first node, by server.
    pub first_node_choices: BTreeMap<usize, u64>,
}

pub struct Fleet {
    case: FleetCase,
    nodes: Vec<FleetNode>,
    servers: Vec<ModelServer>,
    events: BTreeMap<(u64, u64), Event>,
    open: BTreeMap<u64, OpenRequest>,
    /// Requests that count as in flight; one that timed out ends later at the server.
    in_flight: BTreeSet<u64>,
    now_us: u64,
    sequence: u64,
    rng: SmallRng,
    outcome: FleetOutcome,
}

impl Fleet {
    pub fn new(case: FleetCase, seed: u64) -> Fleet {
        let (slowest, fastest) = case.speeds;
        let step = (fastest - slowest) / (case.servers - 1) as f64;
        let servers = (0..case.servers).map(|index| ModelServer {
            speed: slowest + step * index as f64,
            ..ModelServer::default()
        });
        Fleet {
            case,
            nodes: (0..case.nodes as u64)
                .map(|index| FleetNode::new(&case, seed + index))
                .collect(),
            servers: servers.collect(),
            events: BTreeMap::new(),
            open: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            now_us: 0,
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            outcome: FleetOutcome::default(),
        }
    }

    /// Runs for some seconds. The first one, in which speeds are learnt, does not count.
    pub fn run(mut self, seconds: u64) -> FleetOutcome {
        let (end_us, half_us) = (seconds * 1_000_000, seconds * 500_000);
        for is_long in [true, false] {
            let (rate, burst) = match is_long {
                true => (self.case.rates.0, self.case.burst.0),
                false => (self.case.rates.1, self.case.burst.1),
            };
            let mut at_us = 0;
            while at_us < end_us {
                let factor = if at_us < half_us { 1.0 } else { burst };
                let gap: f64 = -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln();
                at_us += (gap / (rate * factor) * 1e6) as u64 + 1;
                self.schedule(at_us, Event::Arrival { is_long });
            }
        }
        let mut counted = false;
        while let Some(((at_us, _), event)) = self.events.pop_first() {
            self.now_us = at_us;
            if at_us > half_us {
                let silent = (self.case.servers as f64 * self.case.silent) as usize;
                self.servers.iter_mut().take(silent).for_each(|server| server.is_silent = true);
            }
            if at_us > 1_500_000 && !counted {
                counted = true;
                self.outcome = FleetOutcome::default();
                self.servers.iter_mut().for_each(|server| server.work_ms = 0.0);
            }
            self.apply(event);
        }
        let sound = self.servers.iter().filter(|server| !server.is_silent);
        let work_ms: f64 = sound.clone().map(|server| server.work_ms).sum();
        let speed: f64 = sound.clone().map(|server| server.speed).sum();
        let share = |server: &ModelServer| server.work_ms / work_ms / (server.speed / speed);
        self.outcome.shares = sound.map(share).collect();
        self.outcome
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_us, self.sequence), event);
    }

    fn apply(&mut self, event: Event) {
        let now = ClockTime::from_micros(self.now_us);
        match event {
            Event::Arrival { is_long } => {
                let node = self.rng.random_range(0..self.nodes.len());
                self.outcome.requests += 1;
                self.send(node, is_long, &mut Vec::new());
            }
            Event::Sent { node, server, request, tokens } => {
                let node = &mut self.nodes[node];
                node.planner.rates.on_peer_request(now, SERVICE, tokens);
                let known = node.registry.get_mut(node.keys[server]).expect("it is listed");
                known.prefill_backlog.add(now, request, tokens, DEFAULT_PRIORITY);
            }
            Event::Answered { node, server, request, load, speed } => {
                let node = &mut self.nodes[node];
                let key = node.keys[server];
                let known = node.registry.get_mut(key).expect("it is listed");
                let own = known.prefill_backlog.remove(request).unwrap_or(0);
                load.into_iter().for_each(|load| known.health.on_load_report(now, load));
                if let Some(sample) = speed {
                    let own_share = f64::from(own) / f64::from(sample.work_tokens.max(1));
                    node.planner.on_sample(now, &mut node.registry, key, sample, own_share);
                }
            }
            Event::Response { node, server, request } => self.on_response(node, server, request),
            Event::End { node, server, request } => {
                if !self.in_flight.remove(&request) {
                    return;
                }
                let node = &mut self.nodes[node];
                node.registry.get_mut(node.keys[server]).expect("it is listed").in_flight -= 1;
            }
            Event::Timeout { node, server, request } => {
                let Some(open) = self.open.remove(&request) else { return };
                for index in 0..self.nodes.len() {
                    let node = &mut self.nodes[index];
                    let known = node.registry.get_mut(node.keys[server]).expect("it is listed");
                    known.health.on_peer_no_response(now);
                }
                let known = &mut self.nodes[node];
                let known = known.registry.get_mut(known.keys[server]).expect("it is listed");
                known.health.on_no_response(now);
                self.tell(node, server, request, None, None);
                self.apply(Event::End { node, server, request });
                self.send(node, open.is_long, &mut vec![server]);
            }
        }
    }

    /// Lets a node send a request to the server that it chooses.
    fn send(&mut self, node: usize, is_long: bool, tried: &mut Vec<usize>) {
        let now = ClockTime::from_micros(self.now_us);
        let nodes = self.case.nodes;
        let Some(choice) = self.nodes[node].choose(now, nodes, is_long, tried) else {
            self.outcome.refused += 1;
            return;
        };
        let known = &mut self.nodes[node];
        let server = known.keys.iter().position(|key| *key == choice.server).expect("it is listed");
        let tokens = prompt(is_long).prompt_tokens - choice.cached_tokens;
        self.sequence += 1;
        let request = self.sequence;
        known.planner.rates.on_own_request(now, SERVICE, tokens);
        let listed = known.registry.get_mut(choice.server).expect("it is listed");
        listed.prefill_backlog.add(now, request, tokens, DEFAULT_PRIORITY);
        listed.in_flight += 1;
        self.in_flight.insert(request);
        if node == 0 {
            *self.outcome.first_node_choices.entry(server).or_default() += 1;
        }
        for other in self.others(node) {
            let delay_us = self.notice_delay_us();
            self.schedule(
                self.now_us + delay_us,
                Event::Sent { node: other, server, request, tokens },
            );
        }
        self.open.insert(request, OpenRequest { choice, sent_us: self.now_us, is_long });
        self.schedule(self.now_us + TIMEOUT_US, Event::Timeout { node, server, request });
        if self.servers[server].is_silent {
            return;
        }
        let slots = self.case.slots;
        let output = if is_long { 9.0 } else { 49.0 };
        match self.servers[server].start(self.now_us, tokens, output, slots) {
            Some((first_us, end_us)) => {
                self.schedule(first_us, Event::Response { node, server, request });
                self.schedule(end_us, Event::End { node, server, request });
            }
            None => {
                self.outcome.rejected += 1;
                self.open.remove(&request);
                let load = self.load(server);
                self.tell(node, server, request, load, None);
                self.apply(Event::End { node, server, request });
                let known = &mut self.nodes[node];
                let listed = known.registry.get_mut(choice.server).expect("it is listed");
                listed.health.on_rejected(now);
                tried.push(server);
                if self.case.retries && tried.len() < 3 {
                    self.send(node, is_long, tried);
                }
            }
        }
    }

    fn on_response(&mut self, node: usize, server: usize, request: u64) {
        let Some(open) = self.open.remove(&request) else { return };
        let took = Duration::from_micros(self.now_us - open.sent_us);
        let times =
            if open.is_long { &mut self.outcome.long_ms } else { &mut self.outcome.short_ms };
        times.push(took.as_secs_f64() * 1_000.0);
        let now = ClockTime::from_micros(self.now_us);
        let load = self.load(server);
        let known = &mut self.nodes[node];
        known.registry.get_mut(open.choice.server).expect("it is listed").health.on_response(now);
        let registry = &mut known.registry;
        let speed = known.planner.on_response(now, registry, SERVICE, &open.choice, took);
        self.tell(node, server, request, load, speed);
    }

    /// Informs all nodes, this one at once.
    fn tell(
        &mut self,
        node: usize,
        server: usize,
        request: u64,
        load: Option<ServerLoad>,
        speed: Option<SpeedSample>,
    ) {
        self.apply(Event::Answered { node, server, request, load, speed: None });
        for other in self.others(node) {
            let delay_us = self.notice_delay_us();
            let event = Event::Answered { node: other, server, request, load, speed };
            self.schedule(self.now_us + delay_us, event);
        }
    }

    fn notice_delay_us(&mut self) -> u64 {
        let (shortest, longest) = self.case.delays_ms;
        self.rng.random_range(shortest * 1_000..longest * 1_000)
    }

    fn others(&self, node: usize) -> Vec<usize> {
        let first = usize::from(self.case.has_deaf_node);
        (first..self.nodes.len()).filter(|other| *other != node).collect()
    }

    fn load(&mut self, server: usize) -> Option<ServerLoad> {
        let slots = self.case.slots;
        let server = &mut self.servers[server];
        let load = server.load(self.now_us, slots);
        server.loads.insert(self.now_us, load);
        match self.case.reports {
            Reports::Right => Some(load),
            Reports::Missing => None,
            Reports::False => Some(ServerLoad { running: 0, waiting: 0, ..load }),
            Reports::Old => {
                let before = self.now_us.saturating_sub(500_000);
                server.loads.range(..=before).next_back().map(|(_, load)| *load)
            }
        }
    }
}
