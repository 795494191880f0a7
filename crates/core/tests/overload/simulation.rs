//! Several nodes that share servers, and clients that come back once.
//!
//! A server is a queue of work for one or several slots. A node sees at once what it sent itself and, after a delay, what the
//! others sent.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use carobvane_core::{
    clock::ClockTime,
    overload::{
        AdmissionDecision, AdmissionGate, AdmissionRequest, PressureReport, RequestGroups,
        RequestRank, UsualDeadlines, WaitTicket,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time until a node sees what another one sent, in ms.
const NEWS_DELAY_MS: u64 = 20;
/// Time until all nodes know that a server is silent, in ms.
const SILENCE_KNOWN_MS: u64 = 300;
pub const WORKSPACES: usize = 8;
const NODES: usize = 5;

/// A kind of request. The longest tenth takes twice the work.
#[derive(Clone, Copy)]
pub struct RequestKind {
    pub per_s: f64,
    pub work_ms: f64,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub priority: u8,
}

/// A load: a disturbance lasts from second 5 to second 15 of 25.
#[derive(Clone, Copy, Default)]
pub struct LoadCase {
    pub name: &'static str,
    pub kinds: [Option<RequestKind>; 2],
    /// Factors on the rates of the kinds in the disturbance.
    pub burst: [f64; 2],
    /// Factor on the rate of the first workspace.
    pub workspace_burst: f64,
    pub silent_servers: usize,
    /// Whether refused clients come back at once, instead of when they were told.
    pub servers: usize,
    /// Requests that a server runs at the same time.
    pub slots: usize,
    pub ignores_delay: bool,
    /// Whether nodes hear nothing from each other.
    pub is_isolated: bool,
}

/// Counts of the requests of a group that arrived in the disturbance.
#[derive(Debug, Clone, Copy, Default)]
pub struct GroupTally {
    pub asked: f64,
    pub on_time: f64,
    pub served: f64,
    pub refused: f64,
    /// Refused at both attempts.
    pub refused_twice: f64,
}

impl GroupTally {
    pub fn on_time_share(&self) -> f64 {
        self.on_time / self.asked.max(1.0)
    }

    pub fn served_share(&self) -> f64 {
        self.served / self.asked.max(1.0)
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct RunTally {
    pub kinds: [GroupTally; 2],
    pub longest: [GroupTally; 2],
    pub workspaces: [GroupTally; WORKSPACES],
    /// Sum of the differences between the highest and the lowest pressure at the nodes, sampled.
    pub disagreement: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClientRequest {
    kind: usize,
    workspace: usize,
    is_long: bool,
    is_return: bool,
    arrived_ms: u64,
    node_arrived_ms: u64,
    node: usize,
    ticket: Option<WaitTicket>,
}

struct SimServer {
    /// When each slot has done its work.
    free_at: Vec<f64>,
    /// Time, node and work of what was sent lately.
    recent: Vec<(u64, usize, f64)>,
}

pub struct Simulation {
    case: LoadCase,
    rng: SmallRng,
    servers: Vec<SimServer>,
    nodes: Vec<(AdmissionGate, UsualDeadlines)>,
    arrivals: BinaryHeap<Reverse<(u64, ClientRequest)>>,
    /// Reports under way, and when they arrive.
    reports: VecDeque<(u64, PressureReport)>,
    tally: RunTally,
}

impl Simulation {
    /// Replays a load with several seeds.
    pub fn run(case: LoadCase, seeds: u64) -> RunTally {
        (0..seeds).fold(RunTally::default(), |tally, seed| Self::run_seed(case, seed, tally))
    }

    fn run_seed(case: LoadCase, seed: u64, tally: RunTally) -> RunTally {
        let idle_server = || SimServer { free_at: vec![0.0; case.slots], recent: Vec::new() };
        let mut simulation = Simulation {
            case,
            rng: SmallRng::seed_from_u64(seed),
            servers: (0..case.servers).map(|_| idle_server()).collect(),
            nodes: (0..NODES).map(|_| Default::default()).collect(),
            arrivals: BinaryHeap::new(),
            reports: VecDeque::new(),
            tally,
        };
        for now in 0..25_000 {
            simulation.create_arrivals(now);
            simulation.deliver_reports(now);
            if now % 100 == 0 && Self::is_disturbed(now) {
                simulation.sample_pressure(now);
            }
            while let Some(Reverse((at, request))) = simulation.arrivals.peek().copied() {
                if at > now {
                    break;
                }
                simulation.arrivals.pop();
                simulation.handle(now, request);
            }
        }
        simulation.tally
    }

    fn sample_pressure(&mut self, now: u64) {
        let pressure = |(gate, _): &(AdmissionGate, UsualDeadlines)| {
            gate.pressure(ClockTime::from_millis(now))
        };
        let highest = self.nodes.iter().map(pressure).fold(0.0, f64::max);
        let lowest = self.nodes.iter().map(pressure).fold(1.0, f64::min);
        self.tally.disagreement += highest - lowest;
    }

    /// Delivers the reports of the nodes to all others.
    fn deliver_reports(&mut self, now: u64) {
        while self.reports.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, report)) = self.reports.pop_front() else { return };
            for (index, (gate, _)) in self.nodes.iter_mut().enumerate() {
                if index as u64 != report.sender && !self.case.is_isolated {
                    gate.on_report(ClockTime::from_millis(now), report.clone());
                }
            }
        }
    }

    fn is_disturbed(now: u64) -> bool {
        (5_000..15_000).contains(&now)
    }

    fn create_arrivals(&mut self, now: u64) {
        for kind in 0..2 {
            let Some(spec) = self.case.kinds[kind] else { continue };
            for workspace in 0..WORKSPACES {
                let mut rate = spec.per_s / WORKSPACES as f64 / 1_000.0;
                if Self::is_disturbed(now) {
                    rate *= self.case.burst[kind];
                    rate *= if workspace == 0 { self.case.workspace_burst } else { 1.0 };
                }
                if self.rng.random::<f64>() < rate {
                    let is_long = self.rng.random::<f64>() < 0.1;
                    let node = self.rng.random_range(0..NODES);
                    let request = ClientRequest {
                        kind,
                        workspace,
                        is_long,
                        is_return: false,
                        arrived_ms: now,
                        node_arrived_ms: now,
                        node,
                        ticket: None,
                    };
                    self.count(&request, |tally| tally.asked += 1.0);
                    self.arrivals.push(Reverse((now, request)));
                }
            }
        }
    }

    fn count(&mut self, request: &ClientRequest, add: impl Fn(&mut GroupTally)) {
        if Self::is_disturbed(request.arrived_ms) {
            add(&mut self.tally.kinds[request.kind]);
            add(&mut self.tally.workspaces[request.workspace]);
            if request.is_long {
                add(&mut self.tally.longest[request.kind]);
            }
        }
    }

    /// Expected wait at a server as a node sees it.
    fn seen_wait(&mut self, now: u64, server: usize, node: usize) -> f64 {
        let server = &mut self.servers[server];
        server.recent.retain(|&(at, _, _)| at + NEWS_DELAY_MS > now);
        let unseen = server.recent.iter().filter(|(_, sender, _)| *sender != node);
        let unseen: f64 = unseen.map(|&(_, _, work)| work).sum();
        let first_free = server.free_at.iter().copied().fold(f64::INFINITY, f64::min);
        (first_free - now as f64 - unseen / server.free_at.len() as f64).max(0.0)
    }

    fn handle(&mut self, now: u64, request: ClientRequest) {
        let spec = self.case.kinds[request.kind].expect("requests have a kind");
        let silent = if Self::is_disturbed(now) { self.case.silent_servers } else { 0 };
        let is_silent = |server: usize| server < silent;
        let is_known = now > 5_000 + SILENCE_KNOWN_MS;
        // A random half of the servers is compared, so that nodes rarely choose the same one.
        let usable: Vec<usize> = (0..self.case.servers)
            .filter(|&server| !(is_silent(server) && is_known) && self.rng.random())
            .collect();
        let seen: Vec<f64> =
            usable.iter().map(|&server| self.seen_wait(now, server, request.node)).collect();
        let drawn: Vec<f64> = seen.iter().map(|wait| wait + self.rng.random::<f64>()).collect();
        let best = (0..usable.len()).min_by(|&one, &other| drawn[one].total_cmp(&drawn[other]));
        let Some(best) = best else { return self.arrivals.push(Reverse((now + 1, request))) };
        let work = spec.work_ms * if request.is_long { 2.0 } else { 1.0 };
        let left = request.arrived_ms + spec.deadline_ms - now;
        let clock = ClockTime::from_millis(now);
        let (gate, deadlines) = &mut self.nodes[request.node];
        let deadline = request.arrived_ms + spec.deadline_ms - request.node_arrived_ms;
        let deadline = Duration::from_millis(deadline);
        let millis = |ms: f64| Duration::from_secs_f64(ms / 1_000.0);
        let admission = AdmissionRequest {
            rank: RequestRank::new(spec.priority, spec.priority, work),
            groups: RequestGroups {
                route: request.kind as u64,
                workspace: request.workspace as u64,
                session: None,
                prompt_tokens: (work * 70.0) as u32,
            },
            server_ms: work,
            expected: millis(seen[best] + work),
            idle: millis(work),
            target: Duration::from_millis(spec.target_ms),
            elapsed: Duration::from_millis(now - request.node_arrived_ms),
            time_left: Duration::from_millis(left),
            client_time_left: Duration::from_millis(left),
            continues: false,
            is_return: deadlines.is_return(clock, request.kind as u64, deadline),
            ticket: request.ticket,
        };
        let verdict = gate.decide(clock, &admission, &mut self.rng);
        if let Some(report) = gate.take_report(clock, "service", request.node as u64) {
            self.reports.push_back((now + NEWS_DELAY_MS, report));
        }
        match verdict.decision {
            AdmissionDecision::Admit if is_silent(usable[best]) => {}
            AdmissionDecision::Admit => self.send(now, &request, usable[best], work),
            AdmissionDecision::Wait(delay, ticket) => {
                let request = ClientRequest { ticket: Some(ticket), ..request };
                let at = now + (delay.as_millis() as u64).max(1);
                self.arrivals.push(Reverse((at, request)));
            }
            AdmissionDecision::Refuse(delay) => self.refuse(now, request, delay),
        }
    }

    fn send(&mut self, now: u64, request: &ClientRequest, server: usize, work: f64) {
        let spec = self.case.kinds[request.kind].expect("requests have a kind");
        let server = &mut self.servers[server];
        server.recent.push((now, request.node, work));
        let slot = server.free_at.iter_mut().min_by(|one, other| one.total_cmp(other));
        let slot = slot.expect("servers have slots");
        *slot = slot.max(now as f64) + work;
        let took = *slot - request.node_arrived_ms as f64;
        let in_time = *slot < (request.arrived_ms + spec.deadline_ms) as f64;
        let is_on_time = took <= spec.target_ms as f64;
        self.count(request, |tally| {
            tally.served += f64::from(in_time);
            tally.on_time += f64::from(in_time && is_on_time);
        });
    }

    fn refuse(&mut self, now: u64, request: ClientRequest, delay: Duration) {
        self.count(&request, |tally| match request.is_return {
            true => tally.refused_twice += 1.0,
            false => tally.refused += 1.0,
        });
        if request.is_return {
            return;
        }
        let spec = self.case.kinds[request.kind].expect("requests have a kind");
        let left = request.arrived_ms + spec.deadline_ms - now;
        let delay = if self.case.ignores_delay { 1 } else { delay.as_millis() as u64 };
        let at = now + delay.min(left / 3);
        let node = self.rng.random_range(0..NODES);
        let request =
            ClientRequest { is_return: true, node, node_arrived_ms: at, ticket: None, ..request };
        self.arrivals.push(Reverse((at, request)));
    }
}
